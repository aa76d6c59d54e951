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

// answer returns random bytes and the frames that carry them.
func answer(r *rand.Rand, id btid.Request) ([]byte, []btanswer.Frame) {
	cutter := btanswer.NewFramer(id)
	var whole []byte
	var frames []btanswer.Frame
	for range 1 + r.IntN(maxPieces) {
		piece := make([]byte, 1+r.IntN(maxPieceBytes))
		for i := range piece {
			piece[i] = byte(r.Uint32())
		}
		whole = append(whole, piece...)
		frames = append(frames, cutter.Next(piece))
	}
	return whole, append(frames, cutter.Last(false))
}

// disturb mixes in foreign frames and repeats, and may drop or swap frames.
func disturb(r *rand.Rand, own, foreign []btanswer.Frame) []btanswer.Frame {
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

// run returns what a caller received, and whether it was told that the answer
// is whole.
func run(a assembler, frames []btanswer.Frame) ([]byte, bool) {
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

// violation tells how an answer breaks the promise, or is empty.
func violation(got, want []byte, whole bool) string {
	if whole && !bytes.Equal(got, want) {
		return "called whole and is not"
	}
	if !bytes.HasPrefix(want, got) {
		return "bytes that are not the answer's"
	}
	return ""
}

// naive passes on whatever arrives until a frame with an end.
type naive struct{}

func (naive) Add(f btanswer.Frame) (btanswer.Piece, error) {
	return btanswer.Piece{Data: f.Data, Complete: f.End != nil}, nil
}

func TestDisturbedAnswers(t *testing.T) {
	var wholes, naiveViolations int
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 1))
		want, own := answer(r, request(1))
		_, foreign := answer(r, request(2))
		frames := disturb(r, own, foreign)
		a := btanswer.NewAssembler(request(1), btassert.New(btassert.Panic()))
		got, whole := run(a, frames)
		assert.Equal(t, violation(got, want, whole), "", "seed %d", seed)
		if whole {
			wholes++
		}
		got, whole = run(naive{}, frames)
		if violation(got, want, whole) != "" {
			naiveViolations++
		}
	}
	t.Logf("%d seeds: %d whole answers; a relay without checks broke the promise %d times", seeds, wholes, naiveViolations)
	assert.Assert(t, wholes > seeds/4, "too few whole answers: %d", wholes)
	assert.Assert(t, naiveViolations > seeds/4, "the run does not disturb enough: %d", naiveViolations)
}

func TestEnds(t *testing.T) {
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
	cutter := btanswer.NewFramer(id)
	first := cutter.Next([]byte("two seats "))
	second := cutter.Next([]byte("confirmed"))
	a := btanswer.NewAssembler(id, btassert.New(btassert.Panic()))
	for _, f := range []btanswer.Frame{first, first, second, cutter.Last(false)} {
		piece, err := a.Add(f)
		fmt.Printf("%q whole=%t cut=%t\n", piece.Data, piece.Complete, errors.Is(err, btanswer.ErrIncomplete))
	}
	// Output:
	// "two seats " whole=false cut=false
	// "" whole=false cut=false
	// "confirmed" whole=false cut=false
	// "" whole=true cut=false
}
