package btannounce_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"bilberrytide/core/btannounce"
	"bilberrytide/core/btbundle"
)

// FuzzMessages decodes any bytes as each kind of message: the result is an
// error or a message that stays valid when it is encoded and decoded again.
func FuzzMessages(f *testing.F) {
	revision := btbundle.Revision{Version: 3, Digest: btbundle.DigestOf([]byte("x"))}
	for _, seed := range []any{
		btannounce.Announcement{Revision: revision, Reads: []btannounce.Read{{Reader: "entry/e1", Age: time.Second}}},
		btannounce.Announcement{Reads: make([]btannounce.Read, btannounce.MaxReads+1)},
		btannounce.Ask{Revision: revision},
		btannounce.Pack([]byte("version = 1\n")),
	} {
		data, err := cbor.Marshal(seed)
		assert.NilError(f, err)
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		checkReencoded[btannounce.Announcement](t, data)
		checkReencoded[btannounce.Ask](t, data)
		checkReencoded[btannounce.File](t, data)
		var file btannounce.File
		if cbor.Unmarshal(data, &file) == nil && file.Validate() == nil {
			raw, err := file.Unpack()
			assert.Assert(t, err != nil || len(raw) <= btbundle.MaxBytes)
		}
	})
}

func checkReencoded[M interface{ Validate() error }](t *testing.T, data []byte) {
	var first, second M
	if cbor.Unmarshal(data, &first) != nil || first.Validate() != nil {
		return
	}
	again, err := cbor.Marshal(first)
	assert.NilError(t, err)
	assert.NilError(t, cbor.Unmarshal(again, &second))
	assert.NilError(t, second.Validate())
}
