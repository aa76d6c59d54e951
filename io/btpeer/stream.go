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
// The side that opened a stream must call Close. Its context governs the
// stream: when it ends, both directions are reset and the context of the peer's
// handler ends as well.
type Stream struct {
	node   *Node
	stream *quic.Stream
	peer   Endpoint
	kind   Kind
	ctx    context.Context

	// opening is set until the first write, which carries the opening frame
	// along, so that an open stream that is never used costs nothing.
	opening  bool
	accepted bool
	sent     atomic.Bool
	ended    atomic.Bool
	header   [headerBytes]byte

	closing  sync.Once
	detach   func() bool
	released func()
}

// Peer returns the peer; for an accepted stream the address is the one that
// the peer's packets come from.
func (s *Stream) Peer() Endpoint { return s.peer }

// Kind returns what the stream is for.
func (s *Stream) Kind() Kind { return s.kind }

// Context returns the context that governs the stream.
func (s *Stream) Context() context.Context { return s.ctx }

// unsent tells whether nothing that was handed to the stream can have left.
func (s *Stream) unsent() bool { return !s.accepted && !s.sent.Load() }

// Send writes one message at once. It returns when the message is on its way,
// which is no proof that it arrived.
//
// Errors: ErrTooLarge, ErrMalformed where it can't be encoded, ErrNotSent,
// ErrLost, ErrFinished, and what the peer's reset stands for.
func Send[T any](s *Stream, message T) error {
	b := takeBuffer()
	defer giveBuffer(b)
	if err := s.appendOpening(b); err != nil {
		return err
	}
	if err := appendFrame(b, message, s.node.options.MaxMessage); err != nil {
		return s.notEncoded(err)
	}
	return s.write(b)
}

// notEncoded adds that nothing was sent where that is so.
func (s *Stream) notEncoded(err error) error {
	if s.unsent() {
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
		return s.convert("send", s.ctx.Err())
	}
	// Until the library says that it took no byte, the other goroutine of this
	// stream must not conclude that nothing was sent.
	earlier := s.sent.Swap(true)
	n, err := s.stream.Write(b.Bytes())
	if n == 0 && err != nil {
		s.sent.Store(earlier)
		return s.convert("send", err)
	}
	s.opening = false
	if err != nil {
		return s.convert("send", err)
	}
	return nil
}

// Receive reads and checks the next message. It returns io.EOF itself when the
// peer has ended its direction. Bytes that are no valid message reset the
// stream, are counted, and give ErrMalformed.
//
// Errors: ErrMalformed, ErrLost, ErrNotSent where nothing was ever sent, and
// what the peer's reset stands for.
func Receive[T Validator](s *Stream) (T, error) {
	b := takeBuffer()
	defer giveBuffer(b)
	message, err := receive[T](s, b)
	if err == nil {
		return message, nil
	}
	if err == io.EOF {
		s.ended.Store(true)
		return message, err
	}
	s.countMalformed(err)
	return message, s.convert("receive", err)
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

// CloseWrite ends this side's direction; the peer receives io.EOF after the
// last message. Receiving goes on.
func (s *Stream) CloseWrite() error {
	if s.opening && !s.accepted {
		b := takeBuffer()
		defer giveBuffer(b)
		if err := s.appendOpening(b); err != nil {
			return err
		}
		if err := s.write(b); err != nil {
			return err
		}
	}
	// The library's only error is that the direction was reset already; where
	// the peer did so, receiving tells why.
	_ = s.stream.Close()
	return nil
}

// Wait reads until the peer has ended its direction, which proves that its
// handler has returned without an error. A message that still comes gives
// ErrMalformed.
func (s *Stream) Wait() error {
	_, err := s.stream.Read(s.header[:1])
	switch err {
	case io.EOF:
		s.ended.Store(true)
		return nil
	case nil:
		err = fmt.Errorf("%w: a message after the last one", ErrMalformed)
		s.countMalformed(err)
		return err
	default:
		return s.convert("wait for", err)
	}
}

// Cancel resets both directions: what was not delivered yet is dropped, and the
// context of the peer's handler ends.
func (s *Stream) Cancel() { s.reset(codeCancelled) }

func (s *Stream) reset(code quic.StreamErrorCode) {
	s.stream.CancelRead(code)
	s.stream.CancelWrite(code)
}

// Close frees the stream. A stream whose end was not received (io.EOF, or nil
// from Wait) is cancelled at the peer. Close may be called more than once.
func (s *Stream) Close() {
	s.closing.Do(func() {
		if s.detach != nil {
			s.detach()
		}
		if s.ended.Load() {
			_ = s.stream.Close()
		} else {
			s.Cancel()
		}
		if s.released != nil {
			s.released()
		}
	})
}
