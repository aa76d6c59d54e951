package btbundle

import (
	"errors"
	"fmt"

	"bilberrytide/core/btbundle/bttoml"
)

// ErrTooLarge is wrapped by the error of a bundle over MaxBytes.
var ErrTooLarge = errors.New("bundle too large")

// Problem is one error in a bundle, with its line and the path of its key.
type Problem = bttoml.Problem

// Problems is the error that lists every problem of a bundle.
type Problems = bttoml.Problems

// Decode decodes a bundle's TOML document and checks it. The error is Problems,
// which lists every problem, or wraps ErrTooLarge.
//
// Values are checked against each other only once each of them fits its key: a
// document with malformed values gets only the list of those.
func Decode(document []byte) (*Bundle, error) {
	b, _, err := Inspect(document)
	return b, err
}

// Inspect decodes like Decode and also returns advice: what is accepted, but is
// probably not what the operator intended.
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
	c.checkAll()
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
