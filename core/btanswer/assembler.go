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
	// InvariantOwnAnswer: no byte of another request's answer is forwarded.
	InvariantOwnAnswer btassert.Name = "answer_own"
	// InvariantWhole: an answer reported as complete has its total length.
	InvariantWhole btassert.Name = "answer_whole"
)

// Reasons for dropped frames and for incomplete answers.
const (
	// ReasonForeignFrame is for frames of another request.
	ReasonForeignFrame btrequest.Reason = "foreign_frame"
	// ReasonRepeatedFrame is for frames whose bytes were forwarded before.
	ReasonRepeatedFrame btrequest.Reason = "repeated_frame"
	// ReasonLateFrame is for frames that arrive after the end.
	ReasonLateFrame btrequest.Reason = "late_frame"
	// ReasonAnswerCut is for an answer that ended early or lacks bytes.
	ReasonAnswerCut btrequest.Reason = "answer_cut"
	// ReasonAnswerCorrupt is for an answer whose total or checksum doesn't match.
	ReasonAnswerCorrupt btrequest.Reason = "answer_corrupt"
)

// ErrIncomplete is wrapped by the error of an answer with a gap, one that the target
// truncated, and one whose total or checksum doesn't match.
var ErrIncomplete = errors.New("answer is incomplete")

// Piece is what one frame adds to the answer.
type Piece struct {
	// Data is to be forwarded to the caller; empty if the frame adds nothing.
	Data []byte
	// Dropped is why the frame, or the end that it carries, was not used; empty otherwise.
	Dropped btrequest.Reason
	// Complete tells that the answer has ended and its total and checksum match.
	Complete bool
}

// Assembler assembles one answer from frames, of which some may belong to another
// request, be repeated or be missing.
type Assembler struct {
	id     btid.Request
	assert *btassert.Asserter
	offset uint64
	hash   *xxhash.Digest
	ended  bool
}

// NewAssembler returns an assembler for the answer to the request.
func NewAssembler(id btid.Request, assert *btassert.Asserter) *Assembler {
	return &Assembler{id: id, assert: assert, hash: xxhash.New()}
}

// Offset returns the number of bytes of the answer that were forwarded.
func (a *Assembler) Offset() uint64 { return a.offset }

// Add applies one frame. A frame of another request, a repeated one and one
// after the end add nothing. The error wraps ErrIncomplete: the answer has ended and
// must not be reported as complete.
func (a *Assembler) Add(f Frame) (Piece, error) {
	if f.ID != a.id {
		return Piece{Dropped: ReasonForeignFrame}, nil
	}
	if a.ended {
		return Piece{Dropped: ReasonLateFrame}, nil
	}
	if f.Offset > a.offset {
		a.ended = true
		return Piece{Dropped: ReasonAnswerCut}, fmt.Errorf("%w: frame at %d, expected %d", ErrIncomplete, f.Offset, a.offset)
	}
	piece := a.appendNew(f)
	if f.End == nil {
		return piece, nil
	}
	return a.finish(piece, *f.End)
}

// appendNew returns the bytes of the frame that were not forwarded before.
func (a *Assembler) appendNew(f Frame) Piece {
	repeated := a.offset - f.Offset
	if repeated > 0 && repeated >= uint64(len(f.Data)) {
		return Piece{Dropped: ReasonRepeatedFrame}
	}
	data := f.Data[repeated:]
	a.assert.That(f.ID == a.id, InvariantOwnAnswer, "frame of %s forwarded to %s", f.ID, a.id)
	a.offset += uint64(len(data))
	_, _ = a.hash.Write(data)
	return Piece{Data: data}
}

func (a *Assembler) finish(piece Piece, end End) (Piece, error) {
	a.ended = true
	if end.Truncated {
		piece.Dropped = ReasonAnswerCut
		return piece, fmt.Errorf("%w: the target truncated it after %d bytes", ErrIncomplete, end.Total)
	}
	if end.Total != a.offset || end.Checksum != a.hash.Sum64() {
		piece.Dropped = ReasonAnswerCorrupt
		return piece, fmt.Errorf("%w: have %d bytes of %d, or the checksum does not match", ErrIncomplete, a.offset, end.Total)
	}
	piece.Complete = a.assert.That(a.offset == end.Total, InvariantWhole, "%s: %d of %d bytes", a.id, a.offset, end.Total)
	return piece, nil
}
