package btrate

import (
	"strconv"
	"strings"
)

const (
	// MaxPerSecond caps a rate. It is far above what any target serves.
	MaxPerSecond = 1e6
	// maxDecimalLength bounds the length of a number, maxShownLength that of a malformed
	// rate in logs, in bytes.
	maxDecimalLength = 32
	maxShownLength   = 40
)

// Advertisement is the rate in one answer of a target.
type Advertisement struct {
	// PerSecond is the rate, in requests per second of all callers together.
	PerSecond float64
	// Present reports that the answer contains a rate. An answer without one ends an
	// earlier limit.
	Present bool
	// Malformed is the quoted value of a rate that can't be parsed. Such an answer
	// changes nothing.
	Malformed string
}

// ParseAdvertisement parses the values of the header with the rate; there are none if
// the target advertises no rate. A value is a decimal number of digits with at most one
// point. The lowest of several values counts; if one of them is malformed, none does.
func ParseAdvertisement(values []string) Advertisement {
	var a Advertisement
	for _, text := range values {
		r, ok := ParseDecimal(strings.TrimSpace(text))
		if !ok {
			return Advertisement{Malformed: strconv.Quote(text[:min(len(text), maxShownLength)])}
		}
		r = min(r, MaxPerSecond)
		if !a.Present || r < a.PerSecond {
			a = Advertisement{PerSecond: r, Present: true}
		}
	}
	return a
}

// ParseDecimal parses a non-negative decimal number of digits with at most one point, and
// reports whether the text is one.
func ParseDecimal(text string) (float64, bool) {
	if len(text) > maxDecimalLength || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	r, err := strconv.ParseFloat(text, 64)
	return r, err == nil
}
