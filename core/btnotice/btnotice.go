// Package btnotice reads what targets announce about themselves in their answers: that
// they want no requests from this host for some time, and that they are leaving.
//
// A rest applies to the one host whose request was refused, so it is never passed on to
// other processes.
package btnotice

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bilberrytide/core/btrate"
)

const (
	// MaxRest is the longest rest that is accepted; a longer one is malformed.
	MaxRest = 24 * time.Hour
	// maxShownLength bounds a malformed value in logs, in bytes.
	maxShownLength = 40
	// leavingValue is the value that announces that a target is leaving.
	leavingValue = "1"
)

// Notice is what one answer of a target announces.
type Notice struct {
	// Rest is for how long after the answer the target wants no requests from this host;
	// zero if it asks for none.
	Rest time.Duration
	// Leaving reports that the target is about to shut down.
	Leaving bool
	// Malformed is the quoted value of a rest that can't be parsed, which is ignored.
	Malformed string
}

// Announces reports whether the answer announces anything.
func (n Notice) Announces() bool { return n.Rest > 0 || n.Leaving || n.Malformed != "" }

// Parse returns the notice of an answer with the status. The arguments retryAfter and
// leaving are the values of the fields; there are none if the answer lacks the field. A
// Retry-After counts only in an answer 503.
func Parse(status int, retryAfter, leaving []string) Notice {
	var n Notice
	for _, value := range leaving {
		n.Leaving = n.Leaving || strings.TrimSpace(value) == leavingValue
	}
	if status != http.StatusServiceUnavailable || len(retryAfter) == 0 {
		return n
	}
	rest, err := parseRest(retryAfter)
	if err != nil {
		text := strings.Join(retryAfter, ", ")
		n.Malformed = strconv.Quote(text[:min(len(text), maxShownLength)])
		return n
	}
	n.Rest = rest
	return n
}

// parseRest parses a single decimal number of seconds.
func parseRest(values []string) (time.Duration, error) {
	if len(values) > 1 {
		return 0, fmt.Errorf("%d values", len(values))
	}
	seconds, ok := btrate.ParseDecimal(strings.TrimSpace(values[0]))
	if !ok || seconds > MaxRest.Seconds() {
		return 0, fmt.Errorf("not a number of seconds up to %v", MaxRest.Seconds())
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
