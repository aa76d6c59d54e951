package btstandin

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// LeavingHeader is "1" in every answer of a target that is leaving.
const LeavingHeader = "X-Leaving"

const (
	// defaultRest is the rest that a refusal asks for if the fault names none.
	defaultRest = time.Second
	// restGrace is how long after the refusal that asks for a rest requests may still
	// arrive that were sent before it, restAllowance the number of requests that may
	// arrive within the rest after that.
	restGrace     = 500 * time.Millisecond
	restAllowance = 2
	// leavingServeTime is how long a leaving target accepts requests after its first
	// answer that announces it.
	leavingServeTime = 2 * time.Second
	// maxViolations bounds the violations that are kept.
	maxViolations = 16
)

// notices checks the requests that arrive at a target against what its answers have
// announced. All of them come from one agent. It is safe for concurrent use.
type notices struct {
	clock Clock

	mutex        sync.Mutex
	rests        []*restWindow
	leavingSince time.Time
	violations   []string
}

// restWindow is the time for which a target wants no requests.
type restWindow struct {
	from, until time.Time
	arrivals    int
}

func newNotices(clock Clock) *notices { return &notices{clock: clock} }

// recordArrival checks a request that arrives now.
func (n *notices) recordArrival() {
	now := n.clock.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var current []*restWindow
	over := 0
	for _, w := range n.rests {
		if !now.Before(w.until) {
			continue
		}
		current = append(current, w)
		if !now.Before(w.from) {
			w.arrivals++
			over = max(over, w.arrivals)
		}
	}
	n.rests = current
	if over > restAllowance {
		n.violate("%d requests arrived within a rest", over)
	}
	if late := now.Sub(n.leavingSince) - leavingServeTime; !n.leavingSince.IsZero() && late > 0 {
		n.violate("a request arrived %s after the time for which a leaving target serves", late)
	}
}

// violate records a violation. The mutex must be held.
func (n *notices) violate(format string, args ...any) {
	if len(n.violations) < maxViolations {
		n.violations = append(n.violations, fmt.Sprintf(format, args...))
	}
}

// begin checks a request that arrives under a fault, and answers it if the fault refuses
// it. It returns false if it did.
func (n *notices) begin(w http.ResponseWriter, fault requestFault) bool {
	n.recordArrival()
	if fault.refuse {
		n.refuse(w, fault)
	}
	return !fault.refuse
}

// refuse answers 503 and asks for a rest, unless the fault omits it.
func (n *notices) refuse(w http.ResponseWriter, fault requestFault) {
	if fault.omitRest {
		writeError(w, http.StatusServiceUnavailable, "refused")
		return
	}
	rest := defaultRest
	if fault.retryAfter > 0 {
		rest = time.Duration(fault.retryAfter * float64(time.Second))
	}
	now := n.clock.Now()
	n.mutex.Lock()
	if rest > restGrace {
		n.rests = append(n.rests, &restWindow{from: now.Add(restGrace), until: now.Add(rest)})
	}
	n.mutex.Unlock()
	w.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
	writeError(w, http.StatusServiceUnavailable, "refused")
}

// announce adds the announcement that the target is leaving, if it is, to an answer.
func (n *notices) announce(w http.ResponseWriter, leaving bool) {
	if !leaving {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.leavingSince.IsZero() {
		n.leavingSince = n.clock.Now()
	}
	w.Header().Set(LeavingHeader, "1")
}

// restart forgets the announcements, as a restarted target begins without any.
func (n *notices) restart() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.rests = nil
	n.leavingSince = time.Time{}
}

// list returns the violations.
func (n *notices) list() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return append([]string(nil), n.violations...)
}
