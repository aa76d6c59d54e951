package btmetric

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"time"
)

// DefaultDecisions is how many decisions a process keeps.
const DefaultDecisions = 256

// Decision is one act that the system took by itself, such as an ejection, a
// drain or a change of expert map.
type Decision struct {
	// Number counts a process's decisions from 1, so that a gap shows what the
	// ring no longer holds.
	Number uint64    `json:"number"`
	Time   time.Time `json:"time"`
	// Act names what was done, in snake case.
	Act string `json:"act"`
	// Subject is what it was done to: a target, a group, a bundle.
	Subject string `json:"subject"`
	// Cause is why, in a sentence.
	Cause string `json:"cause"`
	// Evidence holds the values that led to it.
	Evidence string `json:"evidence"`
	// Expected is what the act should bring about.
	Expected string `json:"expected"`
}

// Decisions is a bounded ring of the latest decisions. It is safe for
// concurrent use.
type Decisions struct {
	log  *slog.Logger
	mu   sync.Mutex
	ring []Decision
	next uint64
}

// NewDecisions returns a ring of so many decisions, at least one, that also
// writes a line for each to the log.
func NewDecisions(size int, log *slog.Logger) *Decisions {
	return &Decisions{ring: make([]Decision, max(size, 1)), log: log}
}

// Add keeps the decision and sets its number.
func (d *Decisions) Add(decision Decision) {
	d.mu.Lock()
	decision.Number = d.next + 1
	d.ring[d.next%uint64(len(d.ring))] = decision
	d.next++
	d.mu.Unlock()
	d.log.Info("decision", "act", decision.Act, "subject", decision.Subject,
		"cause", decision.Cause, "evidence", decision.Evidence, "expected", decision.Expected)
}

// List returns the decisions that are still held, oldest first.
func (d *Decisions) List() []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	size := uint64(len(d.ring))
	first := d.next - min(d.next, size)
	list := make([]Decision, 0, d.next-first)
	for i := first; i < d.next; i++ {
		list = append(list, d.ring[i%size])
	}
	return list
}

// ServeHTTP answers with the list as JSON.
func (d *Decisions) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.List())
}

var _ http.Handler = (*Decisions)(nil)
