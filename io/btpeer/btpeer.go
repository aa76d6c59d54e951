// Package btpeer exchanges messages between the processes of the system over QUIC.
//
// A Node has one UDP socket, over which it both accepts and dials QUIC
// connections with mutual TLS 1.3. Connections are pooled, and each request has a
// stream of its own. On a stream both sides send messages in frames: a length of four
// bytes, big endian, then one CBOR item. The first frame of a stream names its
// Kind, which selects the Handler on the other side.
//
// Errors tell what a caller may conclude. ErrNotSent means that no byte of the
// request has left this process. ErrRefused and ErrUnknownKind mean that the peer has
// rejected it before calling a handler. All three prove that the request was not run, see
// NotRun. After ErrLost it may have been run.
package btpeer

import (
	"context"
	"fmt"
	"net/netip"

	"bilberrytide/core/btid"
	"bilberrytide/io/btkeys"
)

// Kind names the purpose of a stream, in snake case.
type Kind string

// Validate returns an error that wraps ErrUnknownKind if the kind isn't a valid name.
func (k Kind) Validate() error {
	if err := btid.CheckName(string(k)); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownKind, err)
	}
	return nil
}

// Validator is a message with a check that runs after it is decoded.
type Validator interface {
	Validate() error
}

// Role is the role of a process.
type Role = btkeys.Role

const (
	// Entry is the role of processes that take callers' requests.
	Entry = btkeys.Entry
	// Agent is the role of processes that run next to a target.
	Agent = btkeys.Agent
)

// Identity is a peer's role and name, as its certificate proves.
type Identity = btkeys.Identity

// Endpoint is a peer's identity and the address at which it listens.
type Endpoint struct {
	Identity Identity
	Address  netip.AddrPort
}

// String formats the endpoint for logs and errors.
func (e Endpoint) String() string { return e.Identity.String() + "@" + e.Address.String() }

// Handler serves one stream that a peer has opened. The context ends when the peer
// cancels the stream, when its connection is lost, and when the node is closed abruptly.
// When the handler returns nil, the stream is ended. When it returns an error or panics,
// the stream is reset and the peer gets ErrFailed. The stream must not be used after the
// handler has returned.
type Handler func(ctx context.Context, from Identity, s *Stream) error
