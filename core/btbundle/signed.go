package btbundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
)

// ErrSignature is wrapped by the error of every malformed, missing or wrong
// signature.
var ErrSignature = errors.New("bundle signature refused")

const (
	// MaxSignatures is the most signatures that one signed file may carry.
	MaxSignatures = 16

	trailer   = "# signature "
	algorithm = "ed25519"
)

// KeyID names a public key: the first eight bytes of its SHA-256 digest.
type KeyID [8]byte

// KeyIDOf returns the key's name.
func KeyIDOf(key ed25519.PublicKey) KeyID {
	digest := DigestOf(key)
	return KeyID(digest[:8])
}

// String writes the name in hexadecimal.
func (k KeyID) String() string { return hex.EncodeToString(k[:]) }

// MarshalText writes the name in hexadecimal.
func (k KeyID) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Signature is one approver's signature of a document's exact bytes.
type Signature struct {
	KeyID KeyID
	Bytes [ed25519.SignatureSize]byte
}

// Signed is a signed file: a TOML document and one trailer line a signature,
// "# signature ed25519 <key id> <base64>".
type Signed struct {
	// Document is every byte before the first trailer line.
	Document   []byte
	Signatures []Signature
}

// ParseSigned takes a signed file apart. A file without trailer lines is a
// document without signatures. The error wraps ErrSignature or ErrTooLarge.
func ParseSigned(data []byte) (Signed, error) {
	if err := checkSize(data); err != nil {
		return Signed{}, err
	}
	start := trailerStart(data)
	signed := Signed{Document: bytes.Clone(data[:start])}
	for len(data) > start {
		line, rest, whole := bytes.Cut(data[start:], []byte("\n"))
		if !whole {
			return Signed{}, fmt.Errorf("%w: the last line is cut", ErrSignature)
		}
		signature, err := parseTrailer(line)
		if err != nil {
			return Signed{}, err
		}
		signed.Signatures = append(signed.Signatures, signature)
		if len(signed.Signatures) > MaxSignatures {
			return Signed{}, fmt.Errorf("%w: over %d signatures", ErrSignature, MaxSignatures)
		}
		start = len(data) - len(rest)
	}
	return signed, nil
}

// trailerStart returns the offset of the first trailer line, or the length.
func trailerStart(data []byte) int {
	if bytes.HasPrefix(data, []byte(trailer)) {
		return 0
	}
	if at := bytes.Index(data, []byte("\n"+trailer)); at >= 0 {
		return at + 1
	}
	return len(data)
}

func parseTrailer(line []byte) (Signature, error) {
	fields := bytes.Fields(line)
	if len(fields) != 5 || !bytes.HasPrefix(line, []byte(trailer)) {
		return Signature{}, fmt.Errorf("%w: %.60q is no signature line; nothing may follow the first one", ErrSignature, line)
	}
	if string(fields[2]) != algorithm {
		return Signature{}, fmt.Errorf("%w: unknown algorithm %.20q", ErrSignature, fields[2])
	}
	id, err := hex.DecodeString(string(fields[3]))
	if err != nil || len(id) != len(KeyID{}) {
		return Signature{}, fmt.Errorf("%w: malformed key id %.40q", ErrSignature, fields[3])
	}
	raw, err := base64.StdEncoding.Strict().DecodeString(string(fields[4]))
	if err != nil || len(raw) != ed25519.SignatureSize {
		return Signature{}, fmt.Errorf("%w: malformed signature of key %s", ErrSignature, fields[3])
	}
	return Signature{KeyID: KeyID(id), Bytes: [ed25519.SignatureSize]byte(raw)}, nil
}

// Bytes writes the signed file. The document must end with a line end, as
// TerminateDocument sees to.
func (s Signed) Bytes() []byte {
	data := bytes.Clone(s.Document)
	for _, signature := range s.Signatures {
		encoded := base64.StdEncoding.EncodeToString(signature.Bytes[:])
		data = fmt.Appendf(data, "%s%s %s %s\n", trailer, algorithm, signature.KeyID, encoded)
	}
	return data
}

// TerminateDocument returns the document with a line end at its end, which a
// signature line must follow.
func TerminateDocument(document []byte) []byte {
	if bytes.HasSuffix(document, []byte("\n")) {
		return document
	}
	return append(bytes.Clone(document), '\n')
}

// Sign signs the document's exact bytes.
func Sign(document []byte, key ed25519.PrivateKey) Signature {
	public := key.Public().(ed25519.PublicKey)
	raw := ed25519.Sign(key, document)
	return Signature{KeyID: KeyIDOf(public), Bytes: [ed25519.SignatureSize]byte(raw)}
}
