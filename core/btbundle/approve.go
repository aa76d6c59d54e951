package btbundle

import (
	"bytes"
	"cmp"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"

	"bilberrytide/core/btid"
)

// ErrApprovers is wrapped by the error of a trust anchor that can't be used.
var ErrApprovers = errors.New("approvers refused")

// PublicKey is an approver's Ed25519 public key, written in base64.
type PublicKey [ed25519.PublicKeySize]byte

// MarshalText writes the key in base64.
func (k PublicKey) MarshalText() ([]byte, error) {
	return []byte(base64.StdEncoding.EncodeToString(k[:])), nil
}

// UnmarshalText reads a key in base64. The error wraps ErrApprovers.
func (k *PublicKey) UnmarshalText(text []byte) error {
	raw, err := base64.StdEncoding.Strict().DecodeString(string(text))
	if err != nil || len(raw) != len(k) {
		return fmt.Errorf("%w: a public key is 32 bytes in base64, as the keygen command prints it", ErrApprovers)
	}
	*k = PublicKey(raw)
	return nil
}

// ID names the key as signatures do.
func (k PublicKey) ID() KeyID { return KeyIDOf(k[:]) }

// Approver is one person whose signature counts.
type Approver struct {
	// Name is for people: it stands in logs.
	Name string `toml:"name" json:"name"`
	// Key is the public key that the approver's signatures verify with.
	Key PublicKey `toml:"key" json:"key"`
}

// Approvers is the trust anchor. It comes from a process's settings, never
// from a bundle that it judges.
type Approvers struct {
	// Required is how many approvers must have signed; 0 stands for 1.
	Required int `toml:"required" json:"required"`
	// Keys lists whose signatures count.
	Keys []Approver `toml:"keys" json:"keys"`
}

// Validate reports approvers who can't approve anything. The error wraps
// ErrApprovers.
func (a Approvers) Validate() error {
	if len(a.Keys) == 0 {
		return fmt.Errorf("%w: no key is listed", ErrApprovers)
	}
	if a.Required < 0 || a.Required > len(a.Keys) {
		return fmt.Errorf("%w: %d signatures are required of %d keys", ErrApprovers, a.Required, len(a.Keys))
	}
	seen := map[PublicKey]bool{}
	for _, k := range a.Keys {
		if seen[k.Key] {
			return fmt.Errorf("%w: the key of %q is listed twice", ErrApprovers, k.Name)
		}
		seen[k.Key] = true
	}
	return nil
}

// Revision is a bundle's place in the order in which bundles replace each other.
type Revision struct {
	Version btid.BundleVersion `cbor:"version" json:"version"`
	Digest  Digest             `cbor:"digest" json:"digest"`
}

// Compare orders by version, then by digest.
func (o Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(o.Version, other.Version), bytes.Compare(o.Digest[:], other.Digest[:]))
}

// Validate reports an order that no process could announce: a version without
// a digest, or a digest without a version.
func (o Revision) Validate() error {
	if (o.Version == 0) != o.Digest.IsZero() {
		return fmt.Errorf("bundle order: version %d with digest %s", o.Version, o.Digest)
	}
	return nil
}

// Approved is a bundle that was verified whole. Only Approvers.Verify makes
// one; it is shared between goroutines and must not be changed.
type Approved struct {
	Bundle *Bundle
	// Digest is that of the document without its signatures.
	Digest Digest
	// Raw is the signed file as it was verified, for peers that ask for it.
	Raw []byte
	// Index answers the request path's lookups.
	Index *Index
	// Signers names the approvers whose signatures verified.
	Signers []string

	verified bool
}

// Verified tells whether Approvers.Verify made this value.
func (a *Approved) Verified() bool { return a != nil && a.verified }

// Revision returns the bundle's place in the order; nil has the lowest.
func (a *Approved) Revision() Revision {
	if a == nil {
		return Revision{}
	}
	return Revision{Version: a.Bundle.Version, Digest: a.Digest}
}

// Verify checks the signatures, then the document. Signatures of unknown keys
// don't count; a wrong one of a known key refuses the file. The error wraps
// ErrSignature, ErrTooLarge or ErrApprovers, or is Problems.
func (a Approvers) Verify(signed Signed) (*Approved, error) {
	if err := a.Validate(); err != nil {
		return nil, err
	}
	raw := signed.Bytes()
	if err := checkSize(raw); err != nil {
		return nil, err
	}
	signers, err := a.signers(signed)
	if err != nil {
		return nil, err
	}
	bundle, err := Decode(signed.Document)
	if err != nil {
		return nil, err
	}
	return &Approved{
		Bundle:   bundle,
		Digest:   DigestOf(signed.Document),
		Raw:      raw,
		Index:    NewIndex(bundle),
		Signers:  signers,
		verified: true,
	}, nil
}

// signers names the approvers who signed, each once, in the order of the keys.
func (a Approvers) signers(signed Signed) ([]string, error) {
	var signers []string
	for _, k := range a.Keys {
		has := false
		for _, s := range signed.Signatures {
			if s.KeyID != k.Key.ID() {
				continue
			}
			if !ed25519.Verify(k.Key[:], signed.Document, s.Bytes[:]) {
				return nil, fmt.Errorf("%w: that of %q doesn't fit the document: either was changed", ErrSignature, k.Name)
			}
			has = true
		}
		if has {
			signers = append(signers, k.Name)
		}
	}
	required := max(a.Required, 1)
	if len(signers) < required {
		return nil, fmt.Errorf("%w: %d of the known approvers signed, %d must; the file has %s",
			ErrSignature, len(signers), required, a.describe(signed))
	}
	return signers, nil
}

// describe tells what signatures a file has, so that a wrong approver can be
// told from a file that nobody signed.
func (a Approvers) describe(signed Signed) string {
	if len(signed.Signatures) == 0 {
		return "no signature"
	}
	ids := make([]string, 0, len(signed.Signatures))
	for _, s := range signed.Signatures {
		ids = append(ids, s.KeyID.String())
	}
	return "signatures of the keys " + strings.Join(ids, ", ")
}
