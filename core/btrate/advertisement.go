package btrate

import (
	"strconv"
	"strings"
)

const (
	// MaxPerSecond bounds a rate, far above what any target serves; a higher one is taken
	// as this.
	MaxPerSecond = 1e6
	// maxDecimalLength bounds the digits of a rate, maxShown what logs show of one that can't
	// be read, in bytes.
	maxDecimalLength = 32
	maxShownLength   = 40
)

// Advertisement is what one answer of a target says of the rate that it takes.
type Advertisement struct {
	// PerSecond is the rate, in requests of all callers together.
	PerSecond float64
	// Present tells that the answer names a rate. One that doesn't ends an earlier limit.
	Present bool
	// Malformed is what an answer has in the place of a rate that can't be read; such
	// an answer changes nothing.
	Malformed string
}

// ParseAdvertisement reads the values of an answer's field for the rate, of which there are none
// where the target names no rate: numbers of digits with at most one point. Of several the
// lowest counts; where one of them can't be read none does.
func ParseAdvertisement(values []string) Advertisement {
	var a Advertisement
	for _, text := range values {
		r, ok := parseDecimal(strings.TrimSpace(text))
		if !ok {
			return Advertisement{Malformed: strconv.Quote(text[:min(len(text), maxShownLength)])}
		}
		if !a.Present || r < a.PerSecond {
			a = Advertisement{PerSecond: r, Present: true}
		}
	}
	return a
}

// parseDecimal reads a number of digits with at most one point, from zero on.
func parseDecimal(text string) (float64, bool) {
	if len(text) > maxDecimalLength || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	r, err := strconv.ParseFloat(text, 64)
	return min(r, MaxPerSecond), err == nil
}
