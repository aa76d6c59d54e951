// Package bttoml decodes TOML documents of which people must be told every
// fault at once: each with its line and its key.
//
// The library decodes strictly and stops at the first wrong value. This package
// blanks that value, keeping every byte's place, and decodes again, until
// nothing more is wrong.
package bttoml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a document.
type Problem struct {
	// Line counts from 1; 0 stands for the document as a whole.
	Line int `json:"line"`
	// Key is the path of the key, such as "targets[2].address"; empty where
	// the fault belongs to no key.
	Key string `json:"key"`
	// Text says what is wrong and what is expected.
	Text string `json:"text"`
}

// String writes the problem as "line 7: targets[2].address: text".
func (p Problem) String() string {
	var parts []string
	if p.Line > 0 {
		parts = append(parts, fmt.Sprintf("line %d", p.Line))
	}
	if p.Key != "" {
		parts = append(parts, p.Key)
	}
	return strings.Join(append(parts, p.Text), ": ")
}

// Problems is the error that lists every fault of a document by line.
type Problems []Problem

// Error writes one problem a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems in the order of their lines, or nil where there are
// none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	sorted := slices.Clone(p)
	slices.SortStableFunc(sorted, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return sorted
}

// Checker collects the problems that a document's values have with each other.
type Checker struct {
	positions *Positions
	problems  Problems
}

// NewChecker returns a checker that finds lines by positions.
func NewChecker(positions *Positions) *Checker { return &Checker{positions: positions} }

// Require adds a problem of the key unless holds is true, and returns holds.
func (c *Checker) Require(holds bool, key, format string, args ...any) bool {
	if !holds {
		problem := Problem{Line: c.positions.Line(key), Key: key, Text: fmt.Sprintf(format, args...)}
		c.problems = append(c.problems, problem)
	}
	return holds
}

// Problems returns what has been found so far.
func (c *Checker) Problems() Problems { return c.problems }
