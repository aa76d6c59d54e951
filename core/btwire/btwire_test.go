package btwire_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/core/btwire"
)

func grant() btclaim.Grant {
	issued := time.Date(2026, 3, 1, 12, 0, 0, 123456789, time.UTC)
	return btclaim.Grant{
		Claim:    btclaim.Claim{Service: "pages", Account: "volunteers", Key: "k"},
		Executor: btid.Executor{Target: "pages-1", Incarnation: 7},
		Attempt:  1,
		IssuedAt: issued,
		NotAfter: issued.Add(time.Millisecond),
	}
}

// A grant's times decide whether its request may still start. Encoding them in whole
// seconds would move that decision.
func TestTimesKeepTheirNanoseconds(t *testing.T) {
	data, err := btwire.Encode(grant())
	assert.NilError(t, err)
	got, err := btwire.Decode[btclaim.Grant](data)
	assert.NilError(t, err)
	assert.Assert(t, got.IssuedAt.Equal(grant().IssuedAt))
	assert.Assert(t, got.NotAfter.Equal(grant().NotAfter))
}

// Decoders differ in which value of a duplicate key they use, so a peer's message with one
// must be rejected. Items of indefinite length are rejected, too.
func TestDuplicateKeysAndIndefiniteLengthsAreRejected(t *testing.T) {
	cases := map[string][]byte{
		"duplicate key":     []byte("\xa2\x66target\x61a\x66target\x61b"),
		"indefinite length": []byte("\xbf\x66target\x61a\xff"),
	}
	for name, data := range cases {
		_, err := btwire.Decode[btid.Executor](data)
		assert.ErrorIs(t, err, btwire.ErrMalformed, name)
		assert.ErrorContains(t, err, "cbor: ", name)
	}
}

func FuzzDecode(f *testing.F) {
	data, err := btwire.Encode(grant())
	assert.NilError(f, err)
	f.Add([]byte(data))
	f.Add([]byte{0xa1, 0x65})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := btwire.Decode[btclaim.Grant](data)
		if err == nil {
			assert.NilError(t, got.Validate())
			return
		}
		assert.ErrorIs(t, err, btwire.ErrMalformed)
	})
}
