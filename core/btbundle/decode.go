package btbundle

import (
	"errors"
	"fmt"

	"bilberrytide/core/btbundle/bttoml"
)

// ErrTooLarge is wrapped by the error of a bundle over MaxBytes.
var ErrTooLarge = errors.New("bundle too large")

// Problem is one fault of a bundle, with its line and the path of its key.
type Problem = bttoml.Problem

// Problems is the error that lists every fault of a bundle.
type Problems = bttoml.Problems

// Decode reads a bundle's TOML document and checks it whole. The error is
// Problems, with every fault, or wraps ErrTooLarge.
//
// Checks between values start once each value fits its key: a document with
// malformed values gets the list of these first.
func Decode(document []byte) (*Bundle, error) {
	b, _, err := Inspect(document)
	return b, err
}

// Inspect is Decode that also returns advice: what is accepted, but likely
// isn't what an operator wants.
func Inspect(document []byte) (*Bundle, Problems, error) {
	if err := checkSize(document); err != nil {
		return nil, nil, err
	}
	b := new(Bundle)
	positions, problems := bttoml.Decode(document, b)
	if !problems.OnlyUnknownKeys() {
		return nil, nil, problems.Err()
	}
	advice := bttoml.NewChecker(positions)
	c := checker{Checker: bttoml.NewChecker(positions), advice: advice, bundle: b}
	c.check()
	problems = append(problems, c.Problems()...)
	if err := problems.Err(); err != nil {
		return nil, nil, err
	}
	return b, advice.Problems(), nil
}

func checkSize(data []byte) error {
	if len(data) > MaxBytes {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(data), MaxBytes)
	}
	return nil
}
