package btdirect

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btloop"
)

// Stages of an open request, for logs.
const (
	// stageReading: the body is being read, or the request refused.
	stageReading = "reading"
	// stageWaiting: it waits for a group, a slot or another attempt.
	stageWaiting = "waiting"
	// stageSent: a target has the request and nothing of its answer was relayed.
	stageSent = "sent"
	// stageAnswering: a part of the answer was relayed; the target has to send the rest.
	stageAnswering = "answering"
	// stageWriting: the caller has to accept what the target has sent.
	stageWriting = "writing"
)

// openRequest is what the log says of a request that is open. It is safe for concurrent
// use.
type openRequest struct {
	id         string
	receivedAt time.Time

	mu       sync.Mutex
	route    string
	kind     btcatalog.Kind
	deadline time.Time
	accepted bool
	// end ends the request's handling with an answer; nil before it is accepted.
	end      func()
	target   btinventory.ID
	passedOn bool
	writing  bool
	// lastEvent is the ID of the last event that the target sent, progressAt when the
	// last part of the answer was sent to the caller.
	lastEvent  string
	progressAt time.Time
	// outcome is set by the handler, cut by a stop that ends the request.
	outcome outcome
	cut     btrequest.Reason
}

// outcome is how the handling of a request ended.
type outcome struct {
	answered, refused bool
	// failed is the reason for which no target's complete success was relayed.
	failed btrequest.Reason
}

// setRoute records the route and until when the request must be answered.
func (r *openRequest) setRoute(route *btcatalog.Route, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.route, r.kind, r.deadline = route.Name, route.Kind, deadline
}

// setAccepted records that the request isn't refused because of a stop, and how it can be
// ended with an answer.
func (r *openRequest) setAccepted(end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted, r.end = true, end
}

// unanswered reports whether the request is accepted and nothing of an answer has been sent.
func (r *openRequest) unanswered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	stage := r.stage()
	return stage == stageWaiting || stage == stageSent
}

func (r *openRequest) isAccepted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// attempt records an attempt at a target.
func (r *openRequest) attempt(t btinventory.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target, r.passedOn = t, true
}

// attemptEnded records the end of an attempt, and whether a target may have run the
// request.
func (r *openRequest) attemptEnded(mayHaveRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target, r.passedOn = "", mayHaveRun
}

// write records that a part of the answer is being sent to the caller, up to the event.
func (r *openRequest) write(lastEvent string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing, r.lastEvent = true, lastEvent
}

// written records that the caller's connection has taken that part.
func (r *openRequest) written(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing, r.progressAt = false, now
}

// setOutcome records how the handling ended. A refusal replaces the failure that led to
// it.
func (r *openRequest) setOutcome(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcome = o
}

// cutReason returns the reason for which a stop has ended the request, or "".
func (r *openRequest) cutReason() btrequest.Reason {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

// stage returns the request's stage. The mutex must be held.
func (r *openRequest) stage() string {
	switch {
	case r.writing || r.outcome != outcome{}:
		return stageWriting
	case !r.accepted:
		return stageReading
	case !r.progressAt.IsZero():
		return stageAnswering
	case r.target != "":
		return stageSent
	}
	return stageWaiting
}

// attributes returns log attributes of a request that is open.
func (r *openRequest) attributes(now time.Time) []any {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := []any{"request", r.id, "reason", r.cut, "route", r.route, "kind", r.kind, "stage", r.stage(),
		"age_ms", now.Sub(r.receivedAt).Milliseconds(), "passed_on", r.passedOn}
	if !r.deadline.IsZero() {
		a = append(a, "left_ms", r.deadline.Sub(now).Milliseconds())
	}
	if r.target != "" {
		a = append(a, "target", r.target)
	}
	if r.lastEvent != "" {
		a = append(a, "last_event", r.lastEvent)
	}
	if !r.progressAt.IsZero() {
		a = append(a, "event_age_ms", now.Sub(r.progressAt).Milliseconds())
	}
	return a
}

// openRequests holds the requests that were read and whose answer is not completely
// written yet, by their connections: HTTP/1 has at most one on each. It is safe for
// concurrent use.
type openRequests struct {
	clock btloop.Clock

	mu       sync.Mutex
	requests map[net.Conn]*openRequest
	// stopping is set by beginStop; the counts are of requests that ended since then.
	stopping          bool
	answered, refused int
	cut               map[btrequest.Reason]int
}

func newOpenRequests(clock btloop.Clock) *openRequests {
	return &openRequests{clock: clock, requests: make(map[net.Conn]*openRequest), cut: make(map[btrequest.Reason]int)}
}

// add adds a request that was received on a connection.
func (o *openRequests) add(c net.Conn, id string, receivedAt time.Time) *openRequest {
	r := &openRequest{id: id, receivedAt: receivedAt}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[c] = r
	return r
}

// fail records the failure of a connection's request and returns the request's ID.
func (o *openRequests) fail(c net.Conn, reason btrequest.Reason) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, found := o.requests[c]
	if !found {
		return ""
	}
	r.setOutcome(outcome{failed: reason})
	return r.id
}

// decided reports whether the handling of a connection's request has an outcome.
func (o *openRequests) decided(c net.Conn) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, found := o.requests[c]
	if !found {
		// A stop has cut it.
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcome != outcome{}
}

// connectionDone removes the request of a connection that is idle or closed.
func (o *openRequests) connectionDone(c net.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, found := o.requests[c]
	if !found {
		return
	}
	delete(o.requests, c)
	if o.stopping {
		o.count(r)
	}
}

// none reports whether no request is open.
func (o *openRequests) none() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.requests) == 0
}

// anyAccepted reports whether a request is open that a stop doesn't refuse.
func (o *openRequests) anyAccepted() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.requests {
		if r.isAccepted() {
			return true
		}
	}
	return false
}

// unanswered returns the accepted requests of whose answer nothing has been sent.
func (o *openRequests) unanswered() []*openRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []*openRequest
	for _, r := range o.requests {
		if r.unanswered() {
			found = append(found, r)
		}
	}
	return found
}

// count counts a request that has ended. The mutex must be held.
func (o *openRequests) count(r *openRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.cut != "":
		o.cut[r.cut]++
	case r.outcome.answered:
		o.answered++
	case r.outcome.refused:
		o.refused++
	case r.outcome.failed != "":
		o.cut[r.outcome.failed]++
	default:
		o.cut[ReasonCallerGone]++
	}
}

// beginStop begins to count how requests end.
func (o *openRequests) beginStop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopping = true
}

// cutAll marks all open requests as cut for the reason, and returns them in the order of
// their receipt.
func (o *openRequests) cutAll(reason btrequest.Reason) []*openRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := slices.SortedFunc(maps.Values(o.requests), func(a, b *openRequest) int { return a.receivedAt.Compare(b.receivedAt) })
	clear(o.requests)
	for _, r := range all {
		r.mu.Lock()
		r.cut = reason
		r.mu.Unlock()
		o.count(r)
	}
	return all
}

// ageClasses are the upper bounds of the classes by which ages are counted in logs.
var ageClasses = []time.Duration{time.Second, 3 * time.Second, 8 * time.Second}

// ageClass returns the name of an age's class.
func ageClass(age time.Duration) string {
	for _, bound := range ageClasses {
		if age < bound {
			return "under_" + bound.String()
		}
	}
	return "older"
}

// summary returns log attributes that count the open requests by kind, stage and age.
func (o *openRequests) summary() []any {
	now := o.clock()
	kinds, stages, ages := map[string]int{}, map[string]int{}, map[string]int{}
	oldest := time.Duration(0)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.requests {
		age := now.Sub(r.receivedAt)
		oldest = max(oldest, age)
		ages[ageClass(age)]++
		r.mu.Lock()
		kinds[string(r.kind)]++
		stages[r.stage()]++
		r.mu.Unlock()
	}
	return []any{"open", len(o.requests), "kinds", counts(kinds), "stages", counts(stages), "ages", counts(ages), "oldest_ms", oldest.Milliseconds()}
}

// outcomes returns log attributes with how requests have ended since beginStop.
func (o *openRequests) outcomes() []any {
	o.mu.Lock()
	defer o.mu.Unlock()
	total := 0
	for _, n := range o.cut {
		total += n
	}
	return []any{"answered", o.answered, "refused", o.refused, "cut", total, "cut_reasons", counts(o.cut)}
}

// counts formats counts in the order of their names. A name is empty for requests whose
// route isn't known yet.
func counts[K ~string](m map[K]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		shown := string(name)
		if shown == "" {
			shown = "unknown"
		}
		parts = append(parts, fmt.Sprintf("%s:%d", shown, m[name]))
	}
	return strings.Join(parts, " ")
}
