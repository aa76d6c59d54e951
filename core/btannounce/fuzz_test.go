package btannounce_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"bilberrytide/core/btannounce"
	"bilberrytide/core/btbundle"
)

// FuzzMessages decodes any bytes as each message: they give an error, or a
// message that stays valid when it is sent on.
func FuzzMessages(f *testing.F) {
	order := btbundle.Revision{Version: 3, Digest: btbundle.DigestOf([]byte("x"))}
	for _, seed := range []any{
		btannounce.Announcement{Revision: order, Reads: []btannounce.Read{{Reader: "entry/e1", Age: time.Second}}},
		btannounce.Announcement{Reads: make([]btannounce.Read, btannounce.MaxReads+1)},
		btannounce.Ask{Revision: order},
		btannounce.Pack([]byte("version = 1\n")),
	} {
		data, err := cbor.Marshal(seed)
		assert.NilError(f, err)
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		sentOn[btannounce.Announcement](t, data)
		sentOn[btannounce.Ask](t, data)
		sentOn[btannounce.File](t, data)
		var file btannounce.File
		if cbor.Unmarshal(data, &file) == nil && file.Validate() == nil {
			raw, err := file.Unpack()
			assert.Assert(t, err != nil || len(raw) <= btbundle.MaxBytes)
		}
	})
}

func sentOn[M interface{ Validate() error }](t *testing.T, data []byte) {
	var first, second M
	if cbor.Unmarshal(data, &first) != nil || first.Validate() != nil {
		return
	}
	again, err := cbor.Marshal(first)
	assert.NilError(t, err)
	assert.NilError(t, cbor.Unmarshal(again, &second))
	assert.NilError(t, second.Validate())
}
