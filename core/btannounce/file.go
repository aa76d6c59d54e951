package btannounce

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"bilberrytide/core/btbundle"
)

// File carries the signed file that is in force at the sender, compressed;
// empty where nothing is. Its signatures, not the sender, vouch for it.
type File struct {
	Gzip []byte `cbor:"gzip" json:"-"`
}

// Pack compresses a signed file. The same bytes always give the same file.
func Pack(raw []byte) File {
	if len(raw) == 0 {
		return File{}
	}
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestCompression)
	if err != nil {
		// The level is a constant of the library.
		panic(err)
	}
	// A buffer takes every byte.
	_, _ = w.Write(raw)
	_ = w.Close()
	return File{Gzip: packed.Bytes()}
}

// Unpack returns the signed file; nil for an empty one. It stops at the largest
// size that a bundle with its signatures has, whatever the bytes claim. The
// error wraps ErrMessage.
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

// Validate reports a file that is larger than any bundle with its signatures.
func (f File) Validate() error {
	if len(f.Gzip) > btbundle.MaxBytes {
		return fmt.Errorf("%w: file of %d bytes, at most %d", ErrMessage, len(f.Gzip), btbundle.MaxBytes)
	}
	return nil
}
