// Package btwire holds the one encoding that all processes share: CBOR, with
// times to the nanosecond. Encode and Decode are for messages that travel inside
// others; the transport between processes takes its modes from here.
package btwire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed is wrapped by the error of bytes that are no valid message.
var ErrMalformed = errors.New("malformed embedded message")

// maxNesting is how deep the arrays and maps of a message may nest.
const maxNesting = 16

// maxItems bounds one array or map of an embedded message.
const maxItems = 1 << 16

var (
	encoding = mustMode(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.UserBufferEncMode())
	decoding = DecodeMode(maxItems)
)

// EncodeMode returns the encoding that all processes share.
func EncodeMode() cbor.UserBufferEncMode { return encoding }

// DecodeMode returns what a process accepts from a peer: no key twice in a map,
// no item of indefinite length, and at most items elements in one array or map.
func DecodeMode(items int) cbor.DecMode {
	return mustMode(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: items,
		MaxMapPairs:      items,
	}.DecMode())
}

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

// ValidateList checks a list of messages that one message holds: that there are at most so
// many, and each of them. The error of too many wraps the given one.
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
