package btbundle

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
)

// ErrDigest is wrapped by the error of every malformed digest.
var ErrDigest = errors.New("malformed digest")

// Digest is a SHA-256 digest, written in hexadecimal.
type Digest [sha256.Size]byte

// DigestOf returns the digest of the bytes.
func DigestOf(data []byte) Digest { return sha256.Sum256(data) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// IsZero reports whether the digest is unset.
func (d Digest) IsZero() bool { return d == Digest{} }

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses 64 hexadecimal digits. The error wraps ErrDigest.
func (d *Digest) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDigest, err)
	}
	if len(raw) != len(d) {
		return fmt.Errorf("%w: %d bytes instead of %d", ErrDigest, len(raw), len(d))
	}
	copy(d[:], raw)
	return nil
}
