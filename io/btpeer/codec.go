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
	// headerBytes is the size of a frame's header, which is the length of its body.
	headerBytes = 4
	// maxReadChunk, in bytes, limits how much memory a frame's length alone can make the
	// reader allocate: the buffer grows as the bytes arrive.
	maxReadChunk = 64 << 10
	// maxPooledBuffer is the capacity, in bytes, of the largest buffer that is returned to
	// the pool.
	maxPooledBuffer = 256 << 10
	// maxElements limits the elements of an array or map in a message.
	maxElements = 1 << 20
)

var (
	encMode = btwire.EncodeMode()
	decMode = btwire.DecodeMode(maxElements)

	buffers = newPool(func() *bytes.Buffer { return new(bytes.Buffer) })
)

// pool is a typed sync.Pool.
type pool[T any] struct {
	values sync.Pool
}

func newPool[T any](make func() T) *pool[T] {
	return &pool[T]{values: sync.Pool{New: func() any { return make() }}}
}

func (p *pool[T]) get() T      { return p.values.Get().(T) }
func (p *pool[T]) put(v T)     { p.values.Put(v) }
func getBuffer() *bytes.Buffer { return buffers.get() }

func putBuffer(b *bytes.Buffer) {
	if b.Cap() > maxPooledBuffer {
		return
	}
	b.Reset()
	buffers.put(b)
}

// appendFrame appends a frame with the message to b. On an error, b is unchanged.
func appendFrame(b *bytes.Buffer, message any, limit int) error {
	start := b.Len()
	var header [headerBytes]byte
	_, _ = b.Write(header[:])
	if err := encMode.MarshalToBuffer(message, b); err != nil {
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

// readFrame reads one frame's body into the empty buffer b. It returns io.EOF if the
// stream ended before the frame.
func readFrame(r io.Reader, header *[headerBytes]byte, b *bytes.Buffer, limit int) error {
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return truncationError(err)
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	if size > int64(limit) {
		return fmt.Errorf("%w: %w: frame of %d bytes, at most %d", ErrMalformed, ErrTooLarge, size, limit)
	}
	if size == 0 {
		return fmt.Errorf("%w: empty frame", ErrMalformed)
	}
	for remaining := int(size); remaining > 0; {
		chunk := min(remaining, maxReadChunk)
		b.Grow(chunk)
		buffer := b.AvailableBuffer()[:chunk]
		if _, err := io.ReadFull(r, buffer); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return truncationError(err)
		}
		_, _ = b.Write(buffer)
		remaining -= chunk
	}
	return nil
}

func truncationError(err error) error {
	if err == io.ErrUnexpectedEOF {
		return fmt.Errorf("%w: the stream ended inside a frame", ErrMalformed)
	}
	return err
}

// decode decodes one CBOR item and validates the message. Any bytes give either a valid
// message or an error that wraps ErrMalformed.
func decode[T Validator](data []byte) (message T, err error) {
	defer func() {
		// Validate may panic on a value that it doesn't expect, such as null for a
		// pointer. Bytes from a peer must never crash the process.
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %T: %v", ErrMalformed, message, cause)
		}
	}()
	if err := decMode.Unmarshal(data, &message); err != nil {
		return message, fmt.Errorf("%w: %T: %v", ErrMalformed, message, err)
	}
	if err := message.Validate(); err != nil {
		return message, fmt.Errorf("%w: %T: %w", ErrMalformed, message, err)
	}
	return message, nil
}

// opening is the first message on every stream.
type opening struct {
	Kind Kind `cbor:"kind"`
}

// Validate returns an error if the kind isn't a valid name.
func (o opening) Validate() error { return o.Kind.Validate() }
