package btrank

import (
	"context"
	"time"
)

// stopTimeout is how long a planned stop waits for the end of a round, and
// stopCheckInterval how often it checks.
const (
	stopTimeout       = 4 * time.Second
	stopCheckInterval = 10 * time.Millisecond
)

// Stop begins a planned stop: Run returns as soon as this agent leads no round, after
// some seconds at the latest. Further calls do nothing.
func (a *Agent) Stop() {
	a.stopOnce.Do(func() {
		a.log.Info("stop begun", "in_round", !a.lead.endRounds())
		close(a.stopRequested)
	})
}

// awaitStop returns when a planned stop is complete or the context ends. An agent that
// ended between ordering a hold and releasing the group would pause all streams of the
// group until another agent leads.
func (a *Agent) awaitStop(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-a.stopRequested:
	}
	bounded, cancel := context.WithTimeout(ctx, min(stopTimeout, a.options.Settings.StopGrace/2))
	defer cancel()
	for bounded.Err() == nil && !a.lead.endRounds() {
		sleep(bounded, stopCheckInterval)
	}
}
