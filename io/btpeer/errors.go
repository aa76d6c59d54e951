package btpeer

import (
	"context"
	"errors"
	"fmt"

	"github.com/quic-go/quic-go"

	"bilberrytide/io/btkeys"
)

var (
	// ErrNotSent means that provably no byte of the request has left this
	// process towards the peer.
	ErrNotSent = errors.New("not sent")
	// ErrRefused means that the peer has turned the stream away before any
	// handler saw it: it is closing, or has no room.
	ErrRefused = errors.New("refused by peer")
	// ErrUnknownKind means that the peer has no handler for the stream's kind;
	// no handler saw the request.
	ErrUnknownKind = errors.New("unknown kind")
	// ErrLost means that contact was lost after something was sent.
	ErrLost = errors.New("contact lost")
	// ErrFailed means that the peer's handler ended with an error of its own.
	ErrFailed = errors.New("failed at peer")
	// ErrFinished means that the peer's handler has returned and reads no more;
	// what it sent before can still be received.
	ErrFinished = errors.New("finished at peer")
	// ErrMalformed means that bytes could not be decoded, by this side or by the
	// peer, or that a message did not pass its own check.
	ErrMalformed = errors.New("malformed message")
	// ErrTooLarge means that a message is larger than the limit. Errors about
	// received messages wrap ErrMalformed as well.
	ErrTooLarge = errors.New("message too large")
	// ErrIdentity means that the process at the address is not the one that the
	// endpoint names, or is not trusted.
	ErrIdentity = errors.New("peer identity refused")
	// ErrClosed means that this node is closed.
	ErrClosed = errors.New("node closed")
	// ErrListen means that the node's socket could not be opened.
	ErrListen = errors.New("cannot listen")
)

// NotRun tells whether the error proves that no handler of the peer saw the
// request, so that it may be sent again elsewhere whatever it is.
func NotRun(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrRefused) || errors.Is(err, ErrUnknownKind)
}

// Codes on the wire: why a stream was reset, or a connection closed.
const (
	codeCancelled   quic.StreamErrorCode = 1
	codeFinished    quic.StreamErrorCode = 2
	codeFailed      quic.StreamErrorCode = 3
	codeMalformed   quic.StreamErrorCode = 4
	codeUnknownKind quic.StreamErrorCode = 5
	codeRefused     quic.StreamErrorCode = 6

	closeNormal   quic.ApplicationErrorCode = 0
	closeRefused  quic.ApplicationErrorCode = 1
	closeProtocol quic.ApplicationErrorCode = 2
)

// resetClass maps the peer's reason for resetting a stream. codeRefused and
// codeUnknownKind are only ever sent before a handler is called.
func resetClass(code quic.StreamErrorCode) error {
	switch code {
	case codeFinished:
		return ErrFinished
	case codeFailed:
		return ErrFailed
	case codeMalformed:
		return ErrMalformed
	case codeUnknownKind:
		return ErrUnknownKind
	case codeRefused:
		return ErrRefused
	default:
		return ErrLost
	}
}

// convert turns an error of the QUIC library into one of this package.
func (s *Stream) convert(operation string, err error) error {
	if errors.Is(err, ErrMalformed) {
		return fmt.Errorf("%s %s with %s: %w", operation, s.kind, s.peer, err)
	}
	var reset *quic.StreamError
	if errors.As(err, &reset) && reset.Remote {
		return fmt.Errorf("%w: %s %s with %s: reset with code %d",
			resetClass(reset.ErrorCode), operation, s.kind, s.peer, reset.ErrorCode)
	}
	class := ErrLost
	if s.unsent() {
		class = ErrNotSent
	}
	if s.ctx.Err() != nil {
		return fmt.Errorf("%w: %s %s with %s: %w", class, operation, s.kind, s.peer, context.Cause(s.ctx))
	}
	return fmt.Errorf("%w: %s %s with %s: %v", class, operation, s.kind, s.peer, err)
}

// dialError converts an error of connecting; nothing of a request was sent.
func dialError(to Endpoint, err error) error {
	var alert *quic.TransportError
	switch {
	case errors.Is(err, btkeys.ErrIdentity), errors.Is(err, btkeys.ErrUntrusted):
		return fmt.Errorf("%w: dial %s: %w: %v", ErrNotSent, to, ErrIdentity, err)
	case errors.As(err, &alert) && alert.Remote && alert.ErrorCode.IsCryptoError():
		return fmt.Errorf("%w: dial %s: %w: the peer refused this process: %v", ErrNotSent, to, ErrIdentity, err)
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return fmt.Errorf("%w: dial %s: %w", ErrNotSent, to, err)
	default:
		return fmt.Errorf("%w: dial %s: %v", ErrNotSent, to, err)
	}
}
