// Package btpeer connects the processes of the system with each other.
//
// A Node holds one UDP socket, over which it both accepts and dials QUIC
// connections with mutual TLS 1.3. Connections are pooled; each request has a
// stream of its own. On a stream both sides send messages: a length of four
// bytes, big endian, then one CBOR item. The first frame of a stream names its
// Kind and thereby the Handler on the other side.
//
// Errors tell what a caller may conclude. ErrNotSent means that no byte of the
// request has left this process; ErrRefused that the peer has turned it away
// before any handler saw it. Both prove that the request was not run, see
// NotRun. After ErrLost it may have been.
package btpeer

import (
	"context"
	"fmt"
	"net/netip"

	"bilberrytide/core/btid"
	"bilberrytide/io/btkeys"
)

// Kind names what a stream is for, in snake case.
type Kind string

// Validate reports a kind that can't be registered. The error wraps
// ErrUnknownKind.
func (k Kind) Validate() error {
	if err := btid.CheckName(string(k)); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownKind, err)
	}
	return nil
}

// Validator is a message that checks itself after it was decoded.
type Validator interface {
	Validate() error
}

// Role tells what a process does.
type Role = btkeys.Role

const (
	// Entry is the role of processes that take callers' requests.
	Entry = btkeys.Entry
	// Agent is the role of the processes beside targets.
	Agent = btkeys.Agent
)

// Identity is who a peer is, as its certificate proves.
type Identity = btkeys.Identity

// Endpoint is a peer and where it listens.
type Endpoint struct {
	Identity Identity
	Address  netip.AddrPort
}

// String writes the endpoint as it stands in logs and errors.
func (e Endpoint) String() string { return e.Identity.String() + "@" + e.Address.String() }

// Handler serves one stream that a peer has opened. The context ends when the
// peer cancels the stream or goes away, and when the node is closed by force.
// When the handler returns nil the stream is ended; when it returns an error,
// or panics, the stream is reset and the peer gets ErrFailed. The stream must
// not be used after the handler has returned.
type Handler func(ctx context.Context, from Identity, s *Stream) error
