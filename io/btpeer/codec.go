package btpeer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"sync"

	"bilberrytide/core/btwire"
)

const (
	// headerBytes is the size of a frame's length.
	headerBytes = 4
	// readStep bounds how much memory a length alone can claim: a buffer grows
	// as the bytes it was promised arrive.
	readStep = 64 << 10
	// keepBuffer is the largest buffer that goes back to the pool.
	keepBuffer = 256 << 10
	// maxElements bounds one array or map of a message.
	maxElements = 1 << 20
)

var (
	encoding = btwire.EncodeMode()
	decoding = btwire.DecodeMode(maxElements)

	buffers = newPool(func() *bytes.Buffer { return new(bytes.Buffer) })
)

// pool keeps values for reuse.
type pool[T any] struct {
	values sync.Pool
}

func newPool[T any](make func() T) *pool[T] {
	return &pool[T]{values: sync.Pool{New: func() any { return make() }}}
}

func (p *pool[T]) take() T      { return p.values.Get().(T) }
func (p *pool[T]) give(v T)     { p.values.Put(v) }
func takeBuffer() *bytes.Buffer { return buffers.take() }

func giveBuffer(b *bytes.Buffer) {
	if b.Cap() > keepBuffer {
		return
	}
	b.Reset()
	buffers.give(b)
}

// appendFrame encodes the message with its length behind what b holds. On an
// error b is as it was.
func appendFrame(b *bytes.Buffer, message any, limit int) error {
	start := b.Len()
	var header [headerBytes]byte
	_, _ = b.Write(header[:])
	if err := encoding.MarshalToBuffer(message, b); err != nil {
		b.Truncate(start)
		return fmt.Errorf("%w: encode %T: %v", ErrMalformed, message, err)
	}
	size := b.Len() - start - headerBytes
	if size > limit {
		b.Truncate(start)
		return fmt.Errorf("%w: %T has %d bytes, at most %d", ErrTooLarge, message, size, limit)
	}
	binary.BigEndian.PutUint32(b.Bytes()[start:], uint32(size))
	return nil
}

// readFrame reads one frame's body into the empty buffer b. It returns io.EOF
// where the stream ended before the frame.
func readFrame(r io.Reader, header *[headerBytes]byte, b *bytes.Buffer, limit int) error {
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return truncated(err)
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	if size > int64(limit) {
		return fmt.Errorf("%w: %w: frame of %d bytes, at most %d", ErrMalformed, ErrTooLarge, size, limit)
	}
	if size == 0 {
		return fmt.Errorf("%w: empty frame", ErrMalformed)
	}
	for left := int(size); left > 0; {
		step := min(left, readStep)
		b.Grow(step)
		part := b.AvailableBuffer()[:step]
		if _, err := io.ReadFull(r, part); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return truncated(err)
		}
		_, _ = b.Write(part)
		left -= step
	}
	return nil
}

func truncated(err error) error {
	if err == io.ErrUnexpectedEOF {
		return fmt.Errorf("%w: the stream ended inside a frame", ErrMalformed)
	}
	return err
}

// decode reads one CBOR item and lets the message check itself. Whatever the
// bytes are, the result is a valid message or an error wrapping ErrMalformed.
func decode[T Validator](data []byte) (message T, err error) {
	defer func() {
		// A check may panic on a shape it didn't think of, such as null for a
		// pointer; a peer's bytes must never end the process.
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %T: %v", ErrMalformed, message, cause)
		}
	}()
	if err := decoding.Unmarshal(data, &message); err != nil {
		return message, fmt.Errorf("%w: %T: %v", ErrMalformed, message, err)
	}
	if err := message.Validate(); err != nil {
		return message, fmt.Errorf("%w: %T: %w", ErrMalformed, message, err)
	}
	return message, nil
}

// opening is the first frame of every stream.
type opening struct {
	Kind Kind `cbor:"kind"`
}

// Validate reports a kind that can't be one.
func (o opening) Validate() error { return o.Kind.Validate() }
