package btanswer_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btanswer"
	"bilberrytide/core/btassert"
	"bilberrytide/core/btid"
)

const (
	seeds         = 400
	maxPieces     = 12
	maxPieceBytes = 40
	faultShare    = 0.3
)

func request(number uint64) btid.Request {
	return btid.Request{Entry: "e1", Incarnation: 1, Number: number}
}

// randomAnswer returns random bytes and the frames that carry them.
func randomAnswer(r *rand.Rand, id btid.Request) ([]byte, []btanswer.Frame) {
	framer := btanswer.NewFramer(id)
	var data []byte
	var frames []btanswer.Frame
	for range 1 + r.IntN(maxPieces) {
		piece := make([]byte, 1+r.IntN(maxPieceBytes))
		for i := range piece {
			piece[i] = byte(r.Uint32())
		}
		data = append(data, piece...)
		frames = append(frames, framer.Next(piece))
	}
	return data, append(frames, framer.Last(false))
}

// injectFaults adds foreign and repeated frames, and may drop or swap frames.
func injectFaults(r *rand.Rand, own, foreign []btanswer.Frame) []btanswer.Frame {
	var out []btanswer.Frame
	for i, f := range own {
		if r.Float64() < faultShare {
			out = append(out, foreign[r.IntN(len(foreign))])
		}
		if r.Float64() < faultShare/10 {
			continue
		}
		out = append(out, f)
		if r.Float64() < faultShare {
			out = append(out, own[r.IntN(i+1)])
		}
	}
	if len(out) > 1 && r.Float64() < faultShare {
		i := r.IntN(len(out) - 1)
		out[i], out[i+1] = out[i+1], out[i]
	}
	return out
}

type assembler interface {
	Add(f btanswer.Frame) (btanswer.Piece, error)
}

// assemble returns the bytes that a caller receives, and whether the answer is reported
// as complete.
func assemble(a assembler, frames []btanswer.Frame) ([]byte, bool) {
	var got []byte
	for _, f := range frames {
		piece, err := a.Add(f)
		got = append(got, piece.Data...)
		if err != nil || piece.Complete {
			return got, err == nil
		}
	}
	return got, false
}

// violation describes how an answer differs from what the assembler guarantees; empty if
// it doesn't.
func violation(got, want []byte, complete bool) string {
	if complete && !bytes.Equal(got, want) {
		return "reported as complete and is not"
	}
	if !bytes.HasPrefix(want, got) {
		return "has bytes that are not the answer's"
	}
	return ""
}

// unchecked forwards all frames until one with an end, for comparison.
type unchecked struct{}

func (unchecked) Add(f btanswer.Frame) (btanswer.Piece, error) {
	return btanswer.Piece{Data: f.Data, Complete: f.End != nil}, nil
}

// Frames are lost, repeated, swapped and mixed with another request's. The assembler must
// forward only a prefix of the right answer and report it as complete only if it is, which a
// relay without checks doesn't.
func TestAssemblerDetectsFaults(t *testing.T) {
	var completed, uncheckedViolations int
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 1))
		want, own := randomAnswer(r, request(1))
		_, foreign := randomAnswer(r, request(2))
		frames := injectFaults(r, own, foreign)
		a := btanswer.NewAssembler(request(1), btassert.New(btassert.Panic()))
		got, complete := assemble(a, frames)
		assert.Equal(t, violation(got, want, complete), "", "seed %d", seed)
		if complete {
			completed++
		}
		got, complete = assemble(unchecked{}, frames)
		if violation(got, want, complete) != "" {
			uncheckedViolations++
		}
	}
	t.Logf("%d seeds: %d complete answers; a relay without checks was wrong %d times", seeds, completed, uncheckedViolations)
	assert.Assert(t, completed > seeds/4, "too few complete answers: %d", completed)
	assert.Assert(t, uncheckedViolations > seeds/4, "too few faults injected: a relay without checks was wrong %d times", uncheckedViolations)
}

func TestInvalidEndIsReported(t *testing.T) {
	id := request(1)
	cases := []struct {
		name string
		end  btanswer.End
	}{
		{"cut by the target", btanswer.End{Total: 2, Truncated: true}},
		{"total too high", btanswer.End{Total: 3}},
		{"checksum of other bytes", btanswer.End{Total: 2, Checksum: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := btanswer.NewAssembler(id, btassert.New(btassert.Panic()))
			_, err := a.Add(btanswer.NewFramer(id).Next([]byte("ab")))
			assert.NilError(t, err)
			piece, err := a.Add(btanswer.Frame{ID: id, Offset: 2, End: &c.end})
			assert.ErrorIs(t, err, btanswer.ErrIncomplete)
			assert.Assert(t, !piece.Complete)
		})
	}
}

func ExampleAssembler() {
	id := btid.Request{Entry: "e1", Incarnation: 7, Number: 1}
	framer := btanswer.NewFramer(id)
	first := framer.Next([]byte("two seats "))
	second := framer.Next([]byte("confirmed"))
	a := btanswer.NewAssembler(id, btassert.New(btassert.Panic()))
	for _, f := range []btanswer.Frame{first, first, second, framer.Last(false)} {
		piece, err := a.Add(f)
		fmt.Printf("%q whole=%t cut=%t\n", piece.Data, piece.Complete, errors.Is(err, btanswer.ErrIncomplete))
	}
	// Output:
	// "two seats " whole=false cut=false
	// "" whole=false cut=false
	// "confirmed" whole=false cut=false
	// "" whole=true cut=false
}
