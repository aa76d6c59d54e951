package btannounce

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"bilberrytide/core/btbundle"
)

// File is the compressed signed file of the bundle in force at the sender;
// empty if none is. Its signatures vouch for it, not the sender.
type File struct {
	Gzip []byte `cbor:"gzip" json:"-"`
}

// Pack compresses a signed file. Equal input always gives equal output.
func Pack(raw []byte) File {
	if len(raw) == 0 {
		return File{}
	}
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestCompression)
	if err != nil {
		// Only an invalid level gives an error.
		panic(err)
	}
	// Writes to a bytes.Buffer never fail.
	_, _ = w.Write(raw)
	_ = w.Close()
	return File{Gzip: packed.Bytes()}
}

// Unpack returns the signed file; nil for an empty one. It stops expanding and
// fails beyond btbundle.MaxBytes, the largest size of a signed file. The error
// wraps ErrMessage.
func (f File) Unpack() ([]byte, error) {
	if len(f.Gzip) == 0 {
		return nil, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(f.Gzip))
	if err != nil {
		return nil, fmt.Errorf("%w: file: %w", ErrMessage, err)
	}
	raw, err := io.ReadAll(io.LimitReader(r, btbundle.MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: file: %w", ErrMessage, err)
	}
	if len(raw) > btbundle.MaxBytes {
		return nil, fmt.Errorf("%w: file of over %d bytes", ErrMessage, btbundle.MaxBytes)
	}
	return raw, nil
}

// Validate returns an error for a file larger than any signed bundle.
func (f File) Validate() error {
	if len(f.Gzip) > btbundle.MaxBytes {
		return fmt.Errorf("%w: file of %d bytes, at most %d", ErrMessage, len(f.Gzip), btbundle.MaxBytes)
	}
	return nil
}
