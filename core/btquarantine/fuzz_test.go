package btquarantine_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btquarantine"
	"bilberrytide/core/btwire"
)

// FuzzDecodeRecords guards against messages of another process that make a register
// exceed its limits or export invalid records.
func FuzzDecodeRecords(f *testing.F) {
	r := btquarantine.New(btquarantine.DefaultPolicy())
	r.RecordCrash(start, request(1), 1, btquarantine.Answering)
	r.RecordCrash(start, request(1), 2, btquarantine.Sent)
	r.RecordServed(start, request(1))
	r.RecordCrash(after(1), request(2), 3, btquarantine.Answering)
	data, err := btwire.Encode(r.Export(after(1)))
	assert.NilError(f, err)
	f.Add([]byte(data))
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := btwire.Decode[btquarantine.Records](data)
		if err != nil {
			return
		}
		r := btquarantine.New(btquarantine.DefaultPolicy())
		r.Merge(start, records)
		assert.Assert(t, r.Len() <= btquarantine.MaxRecords)
		exported := r.Export(start)
		assert.NilError(t, exported.Validate())
		again := btquarantine.New(btquarantine.DefaultPolicy())
		again.Merge(start, exported)
		assert.Assert(t, again.Len() <= r.Len())
	})
}
