// Package btanswer frames answers so that a caller receives the complete answer to
// its own request and nothing else.
//
// The agent splits an answer into frames. Every frame carries the request's ID
// and the offset of its bytes; the last one carries the total length and a
// checksum over all bytes. The entry's Assembler forwards only bytes that belong
// to its request and follow those before, and reports an answer as complete only
// if total and checksum match.
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

// End carries the length and checksum of an answer in its last frame.
type End struct {
	// Total is the length of the answer in bytes.
	Total uint64 `cbor:"total"`
	// Checksum is the xxHash64 of the answer.
	Checksum uint64 `cbor:"checksum"`
	// Truncated tells that the target's answer ended early, after Total bytes, so that
	// the answer must not be reported as complete.
	Truncated bool `cbor:"cut,omitempty"`
}

// Validate returns an error if the frame has no request ID, is empty or too large, or if
// its end doesn't fit its offset. It wraps ErrFrame.
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

// Framer splits one answer into frames.
type Framer struct {
	id     btid.Request
	offset uint64
	hash   *xxhash.Digest
}

// NewFramer returns a framer for the answer to the request.
func NewFramer(id btid.Request) *Framer {
	return &Framer{id: id, hash: xxhash.New()}
}

// Next returns the frame that carries data, which must hold 1 to MaxFrameBytes
// bytes and is not copied.
func (f *Framer) Next(data []byte) Frame {
	frame := Frame{ID: f.id, Offset: f.offset, Data: data}
	f.offset += uint64(len(data))
	_, _ = f.hash.Write(data)
	return frame
}

// Last returns the frame that ends the answer; truncated tells that the target's
// answer ended early.
func (f *Framer) Last(truncated bool) Frame {
	end := End{Total: f.offset, Checksum: f.hash.Sum64(), Truncated: truncated}
	return Frame{ID: f.id, Offset: f.offset, End: &end}
}
