// Package bttoml decodes TOML documents and reports all of their errors at
// once, each with its line and key.
//
// The TOML library stops at the first wrong value. This package overwrites that
// value with spaces, so that the offsets of all other bytes stay the same, and
// decodes again until no wrong value is left.
package bttoml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a document.
type Problem struct {
	// Line counts from 1; 0 stands for the document as a whole.
	Line int `json:"line"`
	// Key is the path of the key, such as "targets[2].address"; empty if the
	// problem concerns no key.
	Key string `json:"key"`
	// Text states what is wrong and what is expected.
	Text string `json:"text"`
}

// String returns the problem as "line 7: targets[2].address: text".
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

// Problems is the error that lists every problem of a document.
type Problems []Problem

// Error returns the problems, one on each line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems sorted by line, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	sorted := slices.Clone(p)
	slices.SortStableFunc(sorted, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return sorted
}

// Checker collects problems in the relations between a document's values.
type Checker struct {
	positions *Positions
	problems  Problems
}

// NewChecker returns a checker that looks up lines in positions.
func NewChecker(positions *Positions) *Checker { return &Checker{positions: positions} }

// Require adds a problem for the key if holds is false, and returns holds.
func (c *Checker) Require(holds bool, key, format string, args ...any) bool {
	if !holds {
		problem := Problem{Line: c.positions.Line(key), Key: key, Text: fmt.Sprintf(format, args...)}
		c.problems = append(c.problems, problem)
	}
	return holds
}

// Problems returns the problems found so far.
func (c *Checker) Problems() Problems { return c.problems }
