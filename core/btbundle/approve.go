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

// ErrApprovers is wrapped by the error of every invalid trust anchor.
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

// ID returns the identifier by which signatures name the key.
func (k PublicKey) ID() KeyID { return KeyIDOf(k[:]) }

// Approver is one person whose signature is accepted.
type Approver struct {
	// Name identifies the approver in logs.
	Name string `toml:"name" json:"name"`
	// Key is the public key that verifies the approver's signatures.
	Key PublicKey `toml:"key" json:"key"`
}

// Approvers is the trust anchor. It comes from a process's settings, never from
// a bundle that is verified against it.
type Approvers struct {
	// Required is how many approvers must have signed; 0 stands for 1.
	Required int `toml:"required" json:"required"`
	// Keys lists the approvers whose signatures are accepted.
	Keys []Approver `toml:"keys" json:"keys"`
}

// Validate returns an error if no bundle could be verified against the anchor
// or a key is listed twice. The error wraps ErrApprovers.
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

// Revision identifies a bundle by version and digest. A bundle replaces only
// bundles with a lower revision.
type Revision struct {
	Version btid.BundleVersion `cbor:"version" json:"version"`
	Digest  Digest             `cbor:"digest" json:"digest"`
}

// Compare compares by version, then by digest.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Version, other.Version), bytes.Compare(r.Digest[:], other.Digest[:]))
}

// Validate returns an error for a version without a digest or a digest without
// a version; no process announces such a revision.
func (r Revision) Validate() error {
	if (r.Version == 0) != r.Digest.IsZero() {
		return fmt.Errorf("bundle revision: version %d with digest %s", r.Version, r.Digest)
	}
	return nil
}

// Approved is a verified bundle. Only Approvers.Verify creates one; it is
// shared between goroutines and must not be modified.
type Approved struct {
	Bundle *Bundle
	// Digest is that of the document without its signatures.
	Digest Digest
	// Raw is the signed file as it was verified, for peers that fetch it.
	Raw []byte
	// Index holds the lookup tables for the request path.
	Index *Index
	// Signers names the approvers whose signatures verified.
	Signers []string

	verified bool
}

// Verified reports whether Approvers.Verify created this value.
func (a *Approved) Verified() bool { return a != nil && a.verified }

// Revision returns the bundle's revision; that of nil is the lowest.
func (a *Approved) Revision() Revision {
	if a == nil {
		return Revision{}
	}
	return Revision{Version: a.Bundle.Version, Digest: a.Digest}
}

// Verify checks the signatures, then the document. It ignores signatures of
// unknown keys; an invalid signature of a known key makes it reject the file.
// The error wraps ErrSignature, ErrTooLarge or ErrApprovers, or is Problems.
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

// signers returns the names of the approvers who signed, each once, in the
// order of the keys.
func (a Approvers) signers(signed Signed) ([]string, error) {
	var signers []string
	for _, k := range a.Keys {
		hasSigned := false
		for _, s := range signed.Signatures {
			if s.KeyID != k.Key.ID() {
				continue
			}
			if !ed25519.Verify(k.Key[:], signed.Document, s.Bytes[:]) {
				return nil, fmt.Errorf("%w: that of %q doesn't match the document: either was changed", ErrSignature, k.Name)
			}
			hasSigned = true
		}
		if hasSigned {
			signers = append(signers, k.Name)
		}
	}
	required := max(a.Required, 1)
	if len(signers) < required {
		return nil, fmt.Errorf("%w: %d of the known approvers signed, %d must; the file has %s",
			ErrSignature, len(signers), required, a.describeSignatures(signed))
	}
	return signers, nil
}

// describeSignatures lists the file's signatures for an error, so that a file
// signed by unknown keys differs from an unsigned one.
func (a Approvers) describeSignatures(signed Signed) string {
	if len(signed.Signatures) == 0 {
		return "no signature"
	}
	ids := make([]string, 0, len(signed.Signatures))
	for _, s := range signed.Signatures {
		ids = append(ids, s.KeyID.String())
	}
	return "signatures of the keys " + strings.Join(ids, ", ")
}
