// Package btanswer makes sure that a caller receives the whole answer to its
// own request and nothing else.
//
// The agent cuts an answer into frames. Every frame carries the request's
// identity and the offset of its bytes; the last one carries the total length
// and a checksum over all bytes. The entry's Assembler passes on only bytes
// that belong to its request and stand at the next offset, and calls an answer
// whole only when total and checksum agree.
package btanswer

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"bilberrytide/core/btid"
)

// MaxFrameBytes is the most data that one frame carries.
const MaxFrameBytes = 64 << 10

// ErrFrame is wrapped by the error of every malformed frame.
var ErrFrame = errors.New("malformed answer frame")

// Frame is a piece of one answer.
type Frame struct {
	ID btid.Request `cbor:"id"`
	// Offset is the position of the first byte of Data in the answer.
	Offset uint64 `cbor:"offset"`
	Data   []byte `cbor:"data,omitempty"`
	// End is set on the last frame only.
	End *End `cbor:"end,omitempty"`
}

// End closes an answer.
type End struct {
	// Total is the length of the whole answer in bytes.
	Total uint64 `cbor:"total"`
	// Checksum is the xxHash64 of the whole answer.
	Checksum uint64 `cbor:"checksum"`
	// Truncated tells that the target's answer broke off after Total bytes, so that
	// the answer must never be passed off as whole.
	Truncated bool `cbor:"cut,omitempty"`
}

// Validate reports a frame that no agent sends.
func (f Frame) Validate() error {
	if err := f.ID.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrFrame, err)
	}
	if len(f.Data) > MaxFrameBytes {
		return fmt.Errorf("%w: %d bytes of data, at most %d", ErrFrame, len(f.Data), MaxFrameBytes)
	}
	if len(f.Data) == 0 && f.End == nil {
		return fmt.Errorf("%w: neither data nor end", ErrFrame)
	}
	if f.End != nil && f.End.Total != f.Offset+uint64(len(f.Data)) {
		return fmt.Errorf("%w: end at %d of %d bytes", ErrFrame, f.Offset+uint64(len(f.Data)), f.End.Total)
	}
	return nil
}

// Framer cuts one answer into frames.
type Framer struct {
	id     btid.Request
	offset uint64
	sum    *xxhash.Digest
}

// NewFramer returns a cutter for the answer to the request.
func NewFramer(id btid.Request) *Framer {
	return &Framer{id: id, sum: xxhash.New()}
}

// Next returns the frame that carries data, which must hold 1 to MaxFrameBytes
// bytes and is not copied.
func (c *Framer) Next(data []byte) Frame {
	f := Frame{ID: c.id, Offset: c.offset, Data: data}
	c.offset += uint64(len(data))
	_, _ = c.sum.Write(data)
	return f
}

// Last returns the frame that ends the answer; cut tells that the target's
// answer broke off.
func (c *Framer) Last(cut bool) Frame {
	end := End{Total: c.offset, Checksum: c.sum.Sum64(), Truncated: cut}
	return Frame{ID: c.id, Offset: c.offset, End: &end}
}
