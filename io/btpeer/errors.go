package btpeer

import (
	"context"
	"errors"
	"fmt"

	"github.com/quic-go/quic-go"

	"bilberrytide/io/btkeys"
)

var (
	// ErrNotSent means that it is certain that no byte of the request has been sent to
	// the peer.
	ErrNotSent = errors.New("not sent")
	// ErrRefused means that the peer has rejected the stream before calling a handler,
	// because it is closing.
	ErrRefused = errors.New("refused by peer")
	// ErrUnknownKind means that the peer has no handler for the stream's kind, so that no
	// handler received the request.
	ErrUnknownKind = errors.New("unknown kind")
	// ErrLost means that the connection or stream was lost after something was sent.
	ErrLost = errors.New("contact lost")
	// ErrFailed means that the peer's handler returned an error or panicked.
	ErrFailed = errors.New("failed at peer")
	// ErrFinished means that the peer's handler has returned and reads no more. What it
	// sent before can still be received.
	ErrFinished = errors.New("finished at peer")
	// ErrMalformed means that this side or the peer could not decode a message, or that
	// its Validate returned an error.
	ErrMalformed = errors.New("malformed message")
	// ErrTooLarge means that a message is larger than the limit. For received messages the
	// error also wraps ErrMalformed.
	ErrTooLarge = errors.New("message too large")
	// ErrIdentity means that the process at the address has another identity than the
	// endpoint, or that one of the two processes doesn't trust the other.
	ErrIdentity = errors.New("peer identity refused")
	// ErrClosed means that this node is closed.
	ErrClosed = errors.New("node closed")
	// ErrListen means that the node's socket could not be opened.
	ErrListen = errors.New("cannot listen")
)

// NotRun reports whether the error proves that no handler of the peer received the
// request. Any request may then be sent again elsewhere, even if it isn't idempotent.
func NotRun(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrRefused) || errors.Is(err, ErrUnknownKind)
}

// Codes on the wire that tell why a stream was reset or a connection was closed.
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

// resetError returns the error for the code with which the peer reset a stream. Peers
// send codeRefused and codeUnknownKind only before they call a handler.
func resetError(code quic.StreamErrorCode) error {
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

// wrapError turns an error of the QUIC library into one that wraps an error of this
// package.
func (s *Stream) wrapError(operation string, err error) error {
	if errors.Is(err, ErrMalformed) {
		return fmt.Errorf("%s %s with %s: %w", operation, s.kind, s.peer, err)
	}
	var reset *quic.StreamError
	if errors.As(err, &reset) && reset.Remote {
		return fmt.Errorf("%w: %s %s with %s: reset with code %d",
			resetError(reset.ErrorCode), operation, s.kind, s.peer, reset.ErrorCode)
	}
	sentinel := ErrLost
	if s.nothingSent() {
		sentinel = ErrNotSent
	}
	if s.ctx.Err() != nil {
		return fmt.Errorf("%w: %s %s with %s: %w", sentinel, operation, s.kind, s.peer, context.Cause(s.ctx))
	}
	return fmt.Errorf("%w: %s %s with %s: %v", sentinel, operation, s.kind, s.peer, err)
}

// dialError turns an error of dialling into one that wraps ErrNotSent: no part of a
// request was sent.
func dialError(to Endpoint, err error) error {
	var transportErr *quic.TransportError
	switch {
	case errors.Is(err, btkeys.ErrIdentity), errors.Is(err, btkeys.ErrUntrusted):
		return fmt.Errorf("%w: dial %s: %w: %v", ErrNotSent, to, ErrIdentity, err)
	case errors.As(err, &transportErr) && transportErr.Remote && transportErr.ErrorCode.IsCryptoError():
		return fmt.Errorf("%w: dial %s: %w: the peer refused this process: %v", ErrNotSent, to, ErrIdentity, err)
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return fmt.Errorf("%w: dial %s: %w", ErrNotSent, to, err)
	default:
		return fmt.Errorf("%w: dial %s: %v", ErrNotSent, to, err)
	}
}
