// Package btwire defines the encoding that all processes share: CBOR, with times to
// the nanosecond. Encode and Decode are for messages embedded in others; the transport
// between processes uses the same modes.
package btwire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed is wrapped by every error of Encode and Decode.
var ErrMalformed = errors.New("malformed embedded message")

// maxNesting is the maximum nesting depth of a message's arrays and maps.
const maxNesting = 16

// maxItems is the maximum number of elements in one array or map of an embedded message.
const maxItems = 1 << 16

var (
	encoding = mustMode(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.UserBufferEncMode())
	decoding = DecodeMode(maxItems)
)

// EncodeMode returns the CBOR options for encoding that all processes share.
func EncodeMode() cbor.UserBufferEncMode { return encoding }

// DecodeMode returns the CBOR options for decoding a peer's messages: no duplicate keys
// in a map, no items of indefinite length, and at most items elements in one array or map.
func DecodeMode(items int) cbor.DecMode {
	return mustMode(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: items,
		MaxMapPairs:      items,
	}.DecMode())
}

// mustMode panics if the library rejects the options, which is a programming error.
func mustMode[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

// Validator is a message with a check that Decode runs.
type Validator interface {
	Validate() error
}

// ValidateList validates a list of embedded messages: there may be at most so many, and
// each must be valid. The error for too many wraps malformed.
func ValidateList[M Validator](list []M, most int, malformed error) error {
	if len(list) > most {
		return fmt.Errorf("%w: %d of them, at most %d", malformed, len(list), most)
	}
	for _, m := range list {
		if err := m.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// Encode returns the message in CBOR. The error wraps ErrMalformed.
func Encode(message Validator) (cbor.RawMessage, error) {
	data, err := encoding.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return data, nil
}

// Decode decodes and validates a message. The error wraps ErrMalformed.
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
