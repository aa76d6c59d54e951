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

// Decision is an action that the system took by itself, such as an ejection, a drain or
// a change of expert map.
type Decision struct {
	// Number numbers a process's decisions from 1, so that a gap shows what the ring no
	// longer holds.
	Number uint64    `json:"number"`
	Time   time.Time `json:"time"`
	// Act is the action, in snake case.
	Act string `json:"act"`
	// Subject is what the action applies to: a target, a group, a bundle.
	Subject string `json:"subject"`
	// Cause is the reason, in a sentence.
	Cause string `json:"cause"`
	// Evidence holds the values that led to the decision.
	Evidence string `json:"evidence"`
	// Expected is the intended effect.
	Expected string `json:"expected"`
}

// Decisions is a bounded ring of the latest decisions. It is safe for concurrent use.
type Decisions struct {
	log  *slog.Logger
	mu   sync.Mutex
	ring []Decision
	next uint64
}

// NewDecisions returns a ring of the given size, at least one, that also logs each
// decision.
func NewDecisions(size int, log *slog.Logger) *Decisions {
	return &Decisions{ring: make([]Decision, max(size, 1)), log: log}
}

// Add numbers, stores and logs a decision.
func (d *Decisions) Add(decision Decision) {
	d.mu.Lock()
	decision.Number = d.next + 1
	d.ring[d.next%uint64(len(d.ring))] = decision
	d.next++
	d.mu.Unlock()
	d.log.Info("decision", "act", decision.Act, "subject", decision.Subject,
		"cause", decision.Cause, "evidence", decision.Evidence, "expected", decision.Expected)
}

// List returns the stored decisions, oldest first.
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

// ServeHTTP serves the list as JSON.
func (d *Decisions) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.List())
}

var _ http.Handler = (*Decisions)(nil)
