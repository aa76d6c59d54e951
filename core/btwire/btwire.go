// Package btwire encodes and decodes messages that travel inside others, in the
// one form that all processes share: CBOR, with times to the nanosecond.
package btwire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed is wrapped by the error of bytes that are no valid message.
var ErrMalformed = errors.New("malformed embedded message")

// The limits of an embedded message's shape.
const (
	maxNesting = 16
	maxItems   = 1 << 16
)

var (
	encoding = mustMode(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode())
	decoding = mustMode(cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxItems,
		MaxMapPairs:      maxItems,
	}.DecMode())
)

// mustMode panics on options that the library refuses, which is a fault in the
// program.
func mustMode[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

// Validator is a message that checks itself after it was decoded.
type Validator interface {
	Validate() error
}

// Encode returns the message in CBOR.
func Encode(message Validator) (cbor.RawMessage, error) {
	data, err := encoding.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return data, nil
}

// Decode reads and checks a message. The error wraps ErrMalformed.
func Decode[T Validator](data cbor.RawMessage) (T, error) {
	var message T
	if err := decoding.Unmarshal(data, &message); err != nil {
		return message, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := message.Validate(); err != nil {
		return message, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return message, nil
}
