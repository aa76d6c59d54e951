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
	// MaxSignatures is the largest number of signatures in one signed file.
	MaxSignatures = 16

	trailerPrefix = "# signature "
	algorithm     = "ed25519"
)

// KeyID identifies a public key: the first eight bytes of its SHA-256 digest.
type KeyID [8]byte

// KeyIDOf returns the key's identifier.
func KeyIDOf(key ed25519.PublicKey) KeyID {
	digest := DigestOf(key)
	return KeyID(digest[:8])
}

// String returns the identifier in hexadecimal.
func (k KeyID) String() string { return hex.EncodeToString(k[:]) }

// MarshalText returns the identifier in hexadecimal.
func (k KeyID) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Signature is one approver's signature of a document's exact bytes.
type Signature struct {
	KeyID KeyID
	Bytes [ed25519.SignatureSize]byte
}

// Signed is a signed file: a TOML document followed by one trailer line for
// each signature, "# signature ed25519 <key id> <base64>".
type Signed struct {
	// Document is every byte before the first trailer line.
	Document   []byte
	Signatures []Signature
}

// ParseSigned splits a signed file into document and signatures. A file without
// trailer lines is an unsigned document. The error wraps ErrSignature or
// ErrTooLarge.
func ParseSigned(data []byte) (Signed, error) {
	if err := checkSize(data); err != nil {
		return Signed{}, err
	}
	start := trailerStart(data)
	signed := Signed{Document: bytes.Clone(data[:start])}
	for len(data) > start {
		line, rest, terminated := bytes.Cut(data[start:], []byte("\n"))
		if !terminated {
			return Signed{}, fmt.Errorf("%w: the last line is incomplete", ErrSignature)
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

// trailerStart returns the offset of the first trailer line, or the length of
// the data if there is none.
func trailerStart(data []byte) int {
	if bytes.HasPrefix(data, []byte(trailerPrefix)) {
		return 0
	}
	if at := bytes.Index(data, []byte("\n"+trailerPrefix)); at >= 0 {
		return at + 1
	}
	return len(data)
}

func parseTrailer(line []byte) (Signature, error) {
	fields := bytes.Fields(line)
	if len(fields) != 5 || !bytes.HasPrefix(line, []byte(trailerPrefix)) {
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

// Bytes returns the signed file. The document must end with a newline, see
// TerminateDocument.
func (s Signed) Bytes() []byte {
	data := bytes.Clone(s.Document)
	for _, signature := range s.Signatures {
		encoded := base64.StdEncoding.EncodeToString(signature.Bytes[:])
		data = fmt.Appendf(data, "%s%s %s %s\n", trailerPrefix, algorithm, signature.KeyID, encoded)
	}
	return data
}

// TerminateDocument returns the document with a newline at its end, as the
// first signature must begin a line.
func TerminateDocument(document []byte) []byte {
	if bytes.HasSuffix(document, []byte("\n")) {
		return document
	}
	return append(bytes.Clone(document), '\n')
}

// Sign signs the exact bytes of the document.
func Sign(document []byte, key ed25519.PrivateKey) Signature {
	public := key.Public().(ed25519.PublicKey)
	raw := ed25519.Sign(key, document)
	return Signature{KeyID: KeyIDOf(public), Bytes: [ed25519.SignatureSize]byte(raw)}
}
