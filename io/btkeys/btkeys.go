// Package btkeys holds the certificates by which the processes of the system
// know each other.
//
// The operator runs one certificate authority at their desk (Authority) and
// issues one certificate to each process. The certificate's common name is the
// process's identity: "entry/<name>" or "agent/<target>". A running process
// reads its certificate, its key and the authority's certificates through a
// Source, which follows the files as they change, so that certificates are
// rotated without a restart.
package btkeys

import (
	"errors"
	"fmt"
	"strings"

	"bilberrytide/core/btid"
)

var (
	// ErrIdentity is wrapped when a certificate's common name is no identity, or
	// not the identity that was asked for.
	ErrIdentity = errors.New("wrong identity")
	// ErrUntrusted is wrapped when a peer's certificate is not signed by the
	// authority, not valid at this time, or absent.
	ErrUntrusted = errors.New("untrusted certificate")
	// ErrFiles is wrapped when certificate or key files can't be used.
	ErrFiles = errors.New("unusable key files")
)

// Role tells what a process does.
type Role string

const (
	// Entry is the role of processes that take callers' requests.
	Entry Role = "entry"
	// Agent is the role of the processes beside targets.
	Agent Role = "agent"
)

// Valid tells whether the role is one of the two.
func (r Role) Valid() bool { return r == Entry || r == Agent }

// Identity is who a process is: its role, and the entry's or the target's name.
type Identity struct {
	Role Role   `cbor:"role" json:"role"`
	Name string `cbor:"name" json:"name"`
}

// ParseIdentity reads "<role>/<name>". The error wraps ErrIdentity.
func ParseIdentity(text string) (Identity, error) {
	role, name, found := strings.Cut(text, "/")
	if !found {
		return Identity{}, fmt.Errorf("%w: %q is not <role>/<name>", ErrIdentity, text)
	}
	id := Identity{Role: Role(role), Name: name}
	return id, id.Validate()
}

// String writes the identity as it stands in certificates: "<role>/<name>".
func (i Identity) String() string { return string(i.Role) + "/" + i.Name }

// Validate reports an identity that no certificate can carry. The error wraps
// ErrIdentity.
func (i Identity) Validate() error {
	if !i.Role.Valid() {
		return fmt.Errorf("%w: role %q is neither %q nor %q", ErrIdentity, i.Role, Entry, Agent)
	}
	if err := btid.CheckName(i.Name); err != nil {
		return fmt.Errorf("%w: %w", ErrIdentity, err)
	}
	return nil
}
