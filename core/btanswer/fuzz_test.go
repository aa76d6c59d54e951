package btanswer_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"bilberrytide/core/btanswer"
	"bilberrytide/core/btassert"
)

// FuzzFrame feeds two frames of any bytes to an assembler after a known piece:
// they add nothing but the bytes that follow, and never make a whole answer of
// one that its end doesn't agree with.
func FuzzFrame(f *testing.F) {
	cutter := btanswer.NewFramer(request(1))
	head := cutter.Next([]byte("seats "))
	rest, last := cutter.Next([]byte("two")), cutter.Last(false)
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
