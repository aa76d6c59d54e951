package btdirect

import (
	"sync"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btretry"
)

// budget is the retry budget of one service, safe for concurrent use.
type budget struct {
	mu     sync.Mutex
	window *btretry.Window
}

func (b *budget) request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window.CountRequest(now)
}

func (b *budget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window.Take(now)
}

func (b *budget) configure(c btretry.WindowConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window.Configure(c)
}

const (
	// budgetShare is the part of this entry's own share that it uses: what it
	// counts as sent may be counted by others a little earlier or later.
	budgetShare = 0.85
	// slackEntries is the number of entries that the slack is divided by beside
	// those that are known, as some may not be.
	slackEntries = 2
)

// budget returns the service's retry budget, with the slack that this entry has
// of it now. An entry that has only just started knows few others, and one that is
// gone may have used its part: so the most that were ever known count, and the
// part shrinks as more become known.
func (e *Entry) budget(name btid.Service) *budget {
	known := e.entries()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mostEntries = max(e.mostEntries, known)
	r := e.options.Settings.Retry
	config := btretry.WindowConfig{
		Share:  r.Share * budgetShare,
		Slack:  r.Slack * budgetShare / float64(e.mostEntries+slackEntries),
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
