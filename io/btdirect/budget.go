package btdirect

import (
	"sync"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btretry"
)

// budget is the retry budget of one service. It is safe for concurrent use.
type budget struct {
	mu     sync.Mutex
	window *btretry.Window
}

func (b *budget) countRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window.CountRequest(now)
}

func (b *budget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window.Take(now)
}

func (b *budget) usage(now time.Time) btretry.Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window.Usage(now)
}

func (b *budget) configure(c btretry.WindowConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window.Configure(c)
}

const (
	// ownBudgetShare is the part of its share that this entry uses. The margin is
	// needed because others may count a request that this entry sent a little earlier
	// or later.
	ownBudgetShare = 0.85
	// extraEntries is added to the number of known entries when the slack is divided,
	// as some entries may not be known.
	extraEntries = 2
)

// budget returns the service's retry budget, with this entry's present share of the
// slack. An entry that has just started knows few of the others, and one that has left
// may have used its share. So the slack is divided by the largest number of entries
// ever known, and the share shrinks as more become known.
func (e *Entry) budget(name btid.Service) *budget {
	estimated := e.estimatedEntries()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peakEntries = max(e.peakEntries, estimated)
	r := e.options.Settings.Retry
	config := btretry.WindowConfig{
		Share:  r.Share * ownBudgetShare,
		Slack:  r.Slack * ownBudgetShare / float64(e.peakEntries+extraEntries),
		Window: r.Window,
	}
	b, found := e.budgets[name]
	if !found {
		b = &budget{window: btretry.NewWindow(config)}
		e.budgets[name] = b
		return b
	}
	b.configure(config)
	return b
}

// Names of the gauges of a service's retry budget at this entry; the service's name
// follows. metricBudgetRetries is how many retries of the window are taken,
// metricBudgetAllowed how many it allows, and metricBudgetEntries by how many entries the
// slack is divided.
const (
	metricBudgetRetries = "retry_budget.retries."
	metricBudgetAllowed = "retry_budget.allowed."
	metricBudgetEntries = "retry_budget.entries."
)

// budgetAttributes updates the gauges of the service's retry budget and returns what it
// has left, for a log line.
func (x *exchange) budgetAttributes() []any {
	e, name := x.entry, x.service.Name
	u := e.budget(name).usage(e.options.Clock())
	entries := e.budgetEntries()
	e.meter.Gauge(metricBudgetRetries + string(name)).Update(int64(u.Retries))
	e.meter.Gauge(metricBudgetAllowed + string(name)).Update(int64(u.Allowed))
	e.meter.Gauge(metricBudgetEntries + string(name)).Update(int64(entries))
	return []any{
		"budget_requests", u.Requests, "budget_retries", u.Retries, "budget_allowed", u.Allowed,
		"budget_entries", entries, "process_age_ms", e.options.Clock().Sub(e.startedAt).Milliseconds(),
	}
}

// budgetEntries returns the number of entries by which the slack is divided.
func (e *Entry) budgetEntries() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peakEntries + extraEntries
}
