package btanswer_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"bilberrytide/core/btanswer"
	"bilberrytide/core/btassert"
)

// FuzzFrame decodes two frames from arbitrary bytes and adds them after a valid one. They
// may only add bytes at the next offset, and the answer may only be complete if its total
// matches.
func FuzzFrame(f *testing.F) {
	framer := btanswer.NewFramer(request(1))
	head := framer.Next([]byte("seats "))
	rest, last := framer.Next([]byte("two")), framer.Last(false)
	for _, frames := range [][2]btanswer.Frame{
		{rest, last}, {last, rest}, {head, last},
		{rest, {ID: request(2), Offset: 9, End: &btanswer.End{Total: 9}}},
		{{ID: request(1), Offset: ^uint64(0), Data: []byte("x")}, {ID: request(1), Offset: 6, End: &btanswer.End{Total: 6, Truncated: true}}},
	} {
		one, err := cbor.Marshal(frames[0])
		assert.NilError(f, err)
		two, err := cbor.Marshal(frames[1])
		assert.NilError(f, err)
		f.Add(one, two)
		f.Add(one[:len(one)/2], two)
	}
	f.Fuzz(func(t *testing.T, one, two []byte) {
		a := btanswer.NewAssembler(request(1), btassert.New(btassert.Panic()))
		_, err := a.Add(head)
		assert.NilError(t, err)
		for _, data := range [][]byte{one, two} {
			var frame btanswer.Frame
			before := a.Offset()
			if cbor.Unmarshal(data, &frame) != nil || frame.Validate() != nil {
				continue
			}
			piece, err := a.Add(frame)
			assert.Equal(t, a.Offset(), before+uint64(len(piece.Data)))
			if frame.ID != request(1) {
				assert.Assert(t, len(piece.Data) == 0 && !piece.Complete && err == nil)
			}
			assert.Assert(t, !piece.Complete || err == nil && frame.End != nil && frame.End.Total == a.Offset())
		}
	})
}
