package btswitch

import "time"

// Settings bounds the waiting in a round. Defaults gives usable ones.
type Settings struct {
	// TickInterval is the longest time between two TickInterval events.
	TickInterval time.Duration
	// PauseThreshold is the gap between two events from which on a member takes
	// its process for having been paused; several times TickInterval.
	PauseThreshold time.Duration
	// RetryInterval is the time after which an unanswered message is sent again.
	RetryInterval time.Duration
	// OrderTimeout bounds one call to the engine, but for a Stage that is
	// answered only once it has loaded.
	OrderTimeout time.Duration
	// StageTimeout bounds the loading of a map's weights at the engines.
	StageTimeout time.Duration
	// SettleDelay is how long a member leaves its engine alone after its own start and
	// after an order of unknown outcome. It is needed only for an engine that
	// checks neither fencing numbers nor the versions in orders; it then bounds
	// how long an order is in flight.
	SettleDelay time.Duration
	// PrepareTimeout bounds the promises.
	PrepareTimeout time.Duration
	// HoldTimeout bounds the phase that holds the ranks; the lead then aborts.
	HoldTimeout time.Duration
	// FinishTimeout bounds each phase after the commit point, and an abort; the
	// lead then starts another round.
	FinishTimeout time.Duration
	// MeanBackoff is the mean wait between two rounds of which the first failed.
	MeanBackoff time.Duration
	// IdleTimeout is how long a member's engine can't step, with no message from a
	// lead, before the member reports it.
	IdleTimeout time.Duration
	// PollInterval is the time between two readings of an idle member's engine.
	PollInterval time.Duration
}

// Defaults returns the settings for agents that are milliseconds apart.
func Defaults() Settings {
	return Settings{
		TickInterval:   50 * time.Millisecond,
		PauseThreshold: 500 * time.Millisecond,
		RetryInterval:  200 * time.Millisecond,
		OrderTimeout:   time.Second,
		StageTimeout:   5 * time.Minute,
		PrepareTimeout: 3 * time.Second,
		HoldTimeout:    1500 * time.Millisecond,
		FinishTimeout:  3 * time.Second,
		MeanBackoff:    500 * time.Millisecond,
		IdleTimeout:    time.Second,
		PollInterval:   500 * time.Millisecond,
	}
}
