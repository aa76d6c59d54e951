package btpeer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// Stream is one exchange of messages with a peer. One goroutine may send while
// another receives.
//
// The side that opened a stream must call Close. When the context that it passed to Open
// ends, both directions are reset and the context of the peer's handler ends as well.
type Stream struct {
	node   *Node
	stream *quic.Stream
	peer   Endpoint
	kind   Kind
	ctx    context.Context

	// opening is set until the first write, which includes the opening frame, so that a
	// stream that is opened but never used sends nothing.
	opening   bool
	accepted  bool
	sent      atomic.Bool
	peerEnded atomic.Bool
	header    [headerBytes]byte

	closeOnce  sync.Once
	stopCancel func() bool
	onClose    func()
}

// Peer returns the peer. For an accepted stream, the address is the source of the peer's
// packets, which need not be where it listens.
func (s *Stream) Peer() Endpoint { return s.peer }

// Kind returns the stream's kind.
func (s *Stream) Kind() Kind { return s.kind }

// Context returns the stream's context: the handler's for an accepted stream, otherwise
// the one passed to Open.
func (s *Stream) Context() context.Context { return s.ctx }

// nothingSent reports whether it is certain that no byte of the stream has been sent.
func (s *Stream) nothingSent() bool { return !s.accepted && !s.sent.Load() }

// Send writes one message without delay. It returns when the message has been passed to
// the transport, which doesn't mean that it has arrived.
//
// Errors: ErrTooLarge, ErrMalformed if the message can't be encoded, ErrNotSent, ErrLost,
// ErrFinished, and the error for the code with which the peer reset the stream.
func Send[T any](s *Stream, message T) error {
	b := getBuffer()
	defer putBuffer(b)
	if err := s.appendOpening(b); err != nil {
		return err
	}
	if err := appendFrame(b, message, s.node.options.MaxMessage); err != nil {
		return s.encodeError(err)
	}
	return s.write(b)
}

// encodeError wraps an error of encoding, with ErrNotSent if nothing was sent.
func (s *Stream) encodeError(err error) error {
	if s.nothingSent() {
		return fmt.Errorf("%w: %s to %s: %w", ErrNotSent, s.kind, s.peer, err)
	}
	return fmt.Errorf("%s to %s: %w", s.kind, s.peer, err)
}

func (s *Stream) appendOpening(b *bytes.Buffer) error {
	if !s.opening {
		return nil
	}
	return appendFrame(b, opening{Kind: s.kind}, s.node.options.MaxMessage)
}

func (s *Stream) write(b *bytes.Buffer) error {
	if s.ctx.Err() != nil {
		return s.wrapError("send", s.ctx.Err())
	}
	// sent is set before the write, so that a goroutine that receives meanwhile doesn't
	// conclude that nothing was sent. It is reset if the library accepted no byte.
	before := s.sent.Swap(true)
	n, err := s.stream.Write(b.Bytes())
	if n == 0 && err != nil {
		s.sent.Store(before)
		return s.wrapError("send", err)
	}
	s.opening = false
	if err != nil {
		return s.wrapError("send", err)
	}
	return nil
}

// Receive reads and validates the next message. It returns io.EOF, not wrapped, when the
// peer has ended its direction. An invalid message is counted and logged, and the stream
// is reset.
//
// Errors: ErrMalformed, ErrLost, ErrNotSent if this side has sent nothing, and the error
// for the code with which the peer reset the stream.
func Receive[T Validator](s *Stream) (T, error) {
	b := getBuffer()
	defer putBuffer(b)
	message, err := receive[T](s, b)
	if err == nil {
		return message, nil
	}
	if err == io.EOF {
		s.peerEnded.Store(true)
		return message, err
	}
	s.countMalformed(err)
	return message, s.wrapError("receive", err)
}

func receive[T Validator](s *Stream, b *bytes.Buffer) (T, error) {
	if err := readFrame(s.stream, &s.header, b, s.node.options.MaxMessage); err != nil {
		var none T
		return none, err
	}
	return decode[T](b.Bytes())
}

func (s *Stream) countMalformed(err error) {
	if !errors.Is(err, ErrMalformed) {
		return
	}
	s.node.counters.malformed.Inc(1)
	if errors.Is(err, ErrTooLarge) {
		s.node.counters.tooLarge.Inc(1)
	}
	s.node.options.Log.Warn("malformed message", "peer", s.peer.String(), "kind", string(s.kind), "error", err)
	s.reset(codeMalformed)
}

// CloseWrite ends this side's direction. The peer receives io.EOF after the last message.
// Receiving is still possible.
func (s *Stream) CloseWrite() error {
	if s.opening && !s.accepted {
		b := getBuffer()
		defer putBuffer(b)
		if err := s.appendOpening(b); err != nil {
			return err
		}
		if err := s.write(b); err != nil {
			return err
		}
	}
	// The library's only error is that the direction has already been reset. If the peer
	// did that, Receive returns the reason.
	_ = s.stream.Close()
	return nil
}

// Wait reads until the peer has ended its direction, which proves that its handler has
// returned without an error. It returns ErrMalformed if another message arrives.
func (s *Stream) Wait() error {
	_, err := s.stream.Read(s.header[:1])
	switch err {
	case io.EOF:
		s.peerEnded.Store(true)
		return nil
	case nil:
		err = fmt.Errorf("%w: a message after the last one", ErrMalformed)
		s.countMalformed(err)
		return err
	default:
		return s.wrapError("wait for", err)
	}
}

// Cancel resets both directions: data that hasn't been delivered is dropped, and the
// context of the peer's handler ends.
func (s *Stream) Cancel() { s.reset(codeCancelled) }

func (s *Stream) reset(code quic.StreamErrorCode) {
	s.stream.CancelRead(code)
	s.stream.CancelWrite(code)
}

// Close releases the stream. Unless the peer's end of the stream was received (io.EOF
// from Receive or nil from Wait), it also cancels the stream. Close may be called more
// than once.
func (s *Stream) Close() {
	s.closeOnce.Do(func() {
		if s.stopCancel != nil {
			s.stopCancel()
		}
		if s.peerEnded.Load() {
			_ = s.stream.Close()
		} else {
			s.Cancel()
		}
		if s.onClose != nil {
			s.onClose()
		}
	})
}
