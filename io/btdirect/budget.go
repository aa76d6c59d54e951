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

func (b *budget) configure(now time.Time, c btretry.WindowConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window.Configure(now, c)
}

// grant takes a part of the slack for another entry.
func (b *budget) grant(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window.Grant(now)
}

// receive adds slack that another entry has granted.
func (b *budget) receive(now time.Time, granted float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window.Receive(now, granted)
}

// budget returns the service's retry budget, with this entry's present part of the limits.
func (e *Entry) budget(name btid.Service) *budget {
	now := e.options.Clock()
	entries, settled := e.estimatedEntries(), e.settled(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.allotment.Update(now, entries, settled)
	b, found := e.budgets[name]
	if !found {
		b = &budget{window: e.allotment.NewWindow(now)}
		e.budgets[name] = b
		return b
	}
	b.configure(now, e.allotment.Config())
	return b
}

// settled reports whether this entry knows the other ones and they know it. One that none
// has answered since it started isn't, unless there are no others.
func (e *Entry) settled(now time.Time) bool {
	return !e.peers.hasOtherSeeds() || e.peers.hasKnownOthers() && e.fleet.settled(now)
}

// Names of the gauges of a service's retry budget at this entry; the service's name
// follows. metricBudgetRequests is how many retries the requests still pay for,
// metricBudgetSlack how many this entry's part of the slack does, and metricBudgetEntries
// by how many entries the slack is divided.
const (
	metricBudgetRequests = "retry_budget.requests_left."
	metricBudgetSlack    = "retry_budget.slack_left."
	metricBudgetEntries  = "retry_budget.entries."
)

// budgetAttributes updates the gauges of the service's retry budget and returns what it
// has left, for a log line.
func (x *exchange) budgetAttributes() []any {
	e, name := x.entry, x.service.Name
	now := e.options.Clock()
	u := e.budget(name).usage(now)
	entries, settled := e.budgetEntries(), e.knowsSlackPart()
	e.meter.Gauge(metricBudgetRequests + string(name)).Update(int64(u.RequestsLeft))
	e.meter.Gauge(metricBudgetSlack + string(name)).Update(int64(u.SlackLeft))
	e.meter.Gauge(metricBudgetEntries + string(name)).Update(int64(entries))
	return []any{
		"budget_requests", u.Requests, "budget_retries", u.Retries,
		"budget_requests_left", u.RequestsLeft, "budget_slack_left", u.SlackLeft,
		"budget_entries", entries, "budget_settled", settled,
		"process_age_ms", now.Sub(e.startedAt).Milliseconds(),
	}
}
