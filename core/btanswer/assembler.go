package btanswer

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// Names of the invariants that the assembler asserts.
const (
	// InvariantOwnAnswer holds when no byte of another request is passed on.
	InvariantOwnAnswer btassert.Name = "answer_own"
	// InvariantWhole holds when an answer called whole has its total length.
	InvariantWhole btassert.Name = "answer_whole"
)

// Reasons for frames that are dropped and for answers that end short.
const (
	// ReasonForeignFrame counts frames of another request.
	ReasonForeignFrame btrequest.Reason = "foreign_frame"
	// ReasonRepeatedFrame counts frames whose bytes were passed on before.
	ReasonRepeatedFrame btrequest.Reason = "repeated_frame"
	// ReasonLateFrame counts frames that came after the end.
	ReasonLateFrame btrequest.Reason = "late_frame"
	// ReasonAnswerCut is for an answer that broke off.
	ReasonAnswerCut btrequest.Reason = "answer_cut"
	// ReasonAnswerCorrupt is for a total or checksum that does not agree.
	ReasonAnswerCorrupt btrequest.Reason = "answer_corrupt"
)

// ErrIncomplete means that the answer is not whole: a gap, a target that broke off, or
// a total or checksum that does not agree.
var ErrIncomplete = errors.New("answer is not whole")

// Piece is what one frame adds to the answer.
type Piece struct {
	// Data is to be passed to the caller; empty where the frame adds nothing.
	Data []byte
	// Dropped names why the frame, or a part of it, was not used.
	Dropped btrequest.Reason
	// Complete tells that the answer is complete and checked.
	Complete bool
}

// Assembler puts one answer together from frames that may belong to another
// request, come twice, or break off.
type Assembler struct {
	id     btid.Request
	assert *btassert.Asserter
	next   uint64
	sum    *xxhash.Digest
	ended  bool
}

// NewAssembler returns an assembler for the answer to the request.
func NewAssembler(id btid.Request, assert *btassert.Asserter) *Assembler {
	return &Assembler{id: id, assert: assert, sum: xxhash.New()}
}

// Offset returns how many bytes of the answer were passed on.
func (a *Assembler) Offset() uint64 { return a.next }

// Add applies one frame. A frame of another request, a repeated one and one
// after the end add nothing. The error wraps ErrCut: the answer has ended and
// must not be passed off as whole.
func (a *Assembler) Add(f Frame) (Piece, error) {
	if f.ID != a.id {
		return Piece{Dropped: ReasonForeignFrame}, nil
	}
	if a.ended {
		return Piece{Dropped: ReasonLateFrame}, nil
	}
	if f.Offset > a.next {
		a.ended = true
		return Piece{Dropped: ReasonAnswerCut}, fmt.Errorf("%w: frame at %d, expected %d", ErrIncomplete, f.Offset, a.next)
	}
	piece := a.take(f)
	if f.End == nil {
		return piece, nil
	}
	return a.finish(piece, *f.End)
}

// take passes on the bytes of the frame that are new.
func (a *Assembler) take(f Frame) Piece {
	known := a.next - f.Offset
	if known > 0 && known >= uint64(len(f.Data)) {
		return Piece{Dropped: ReasonRepeatedFrame}
	}
	fresh := f.Data[known:]
	a.assert.That(f.ID == a.id, InvariantOwnAnswer, "frame of %s passed on to %s", f.ID, a.id)
	a.next += uint64(len(fresh))
	_, _ = a.sum.Write(fresh)
	return Piece{Data: fresh}
}

func (a *Assembler) finish(piece Piece, end End) (Piece, error) {
	a.ended = true
	if end.Truncated {
		piece.Dropped = ReasonAnswerCut
		return piece, fmt.Errorf("%w: the target broke off after %d bytes", ErrIncomplete, end.Total)
	}
	if end.Total != a.next || end.Checksum != a.sum.Sum64() {
		piece.Dropped = ReasonAnswerCorrupt
		return piece, fmt.Errorf("%w: have %d bytes of %d, or a checksum that does not agree", ErrIncomplete, a.next, end.Total)
	}
	piece.Complete = a.assert.That(a.next == end.Total, InvariantWhole, "%s: %d of %d bytes", a.id, a.next, end.Total)
	return piece, nil
}
