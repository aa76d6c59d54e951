// Package btkeys issues, loads and verifies the certificates by which the processes of
// the system authenticate each other.
//
// The operator has one certificate authority (Authority), off the fleet's hosts, and
// issues one certificate to each process. The certificate's common name is the
// process's identity: "entry/<name>" or "agent/<target>". A running process
// reads its certificate, its key and the authority's certificates through a
// Source, which reloads the files when they change, so that certificates are
// rotated without a restart.
package btkeys

import (
	"errors"
	"fmt"
	"strings"

	"bilberrytide/core/btid"
)

var (
	// ErrIdentity is wrapped if a certificate's common name isn't a valid identity, or
	// isn't the expected one.
	ErrIdentity = errors.New("wrong identity")
	// ErrUntrusted is wrapped if a peer's certificate isn't signed by the authority, isn't
	// valid at this time, or is missing.
	ErrUntrusted = errors.New("untrusted certificate")
	// ErrFiles is wrapped if certificate or key files can't be read, parsed or written, or
	// don't match.
	ErrFiles = errors.New("unusable key files")
)

// Role is the role of a process.
type Role string

const (
	// Entry is the role of processes that take callers' requests.
	Entry Role = "entry"
	// Agent is the role of processes that run next to a target.
	Agent Role = "agent"
)

// Valid reports whether the role is Entry or Agent.
func (r Role) Valid() bool { return r == Entry || r == Agent }

// Identity identifies a process by its role and the name of the entry or target.
type Identity struct {
	Role Role   `cbor:"role" json:"role"`
	Name string `cbor:"name" json:"name"`
}

// ParseIdentity parses "<role>/<name>". The error wraps ErrIdentity.
func ParseIdentity(text string) (Identity, error) {
	role, name, found := strings.Cut(text, "/")
	if !found {
		return Identity{}, fmt.Errorf("%w: %q is not <role>/<name>", ErrIdentity, text)
	}
	id := Identity{Role: Role(role), Name: name}
	return id, id.Validate()
}

// String formats the identity as in certificates: "<role>/<name>".
func (i Identity) String() string { return string(i.Role) + "/" + i.Name }

// Validate returns an error that wraps ErrIdentity if the role or the name is invalid.
func (i Identity) Validate() error {
	if !i.Role.Valid() {
		return fmt.Errorf("%w: role %q is neither %q nor %q", ErrIdentity, i.Role, Entry, Agent)
	}
	if err := btid.CheckName(i.Name); err != nil {
		return fmt.Errorf("%w: %w", ErrIdentity, err)
	}
	return nil
}
