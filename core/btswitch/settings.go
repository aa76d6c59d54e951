package btswitch

import "time"

// Settings has the time limits and intervals of a round; Defaults returns a usable
// set.
type Settings struct {
	// TickInterval is the longest time between two Tick events.
	TickInterval time.Duration
	// PauseThreshold is the gap between two events above which a member assumes that
	// its process was paused; several times TickInterval.
	PauseThreshold time.Duration
	// RetryInterval is the time after which an unanswered message is resent.
	RetryInterval time.Duration
	// OrderTimeout bounds a call to the engine. A Stage that an engine answers
	// only once the map is loaded has StageTimeout instead.
	OrderTimeout time.Duration
	// StageTimeout bounds the loading of a map's weights at the engines.
	StageTimeout time.Duration
	// SettleDelay is how long a member makes no call to its engine after its own
	// start and after an order of unknown outcome. Only an engine that checks
	// neither fencing numbers nor the versions in orders needs it, and then it must
	// exceed the time that an order can be in flight.
	SettleDelay time.Duration
	// PrepareTimeout bounds the prepare phase.
	PrepareTimeout time.Duration
	// HoldTimeout bounds the phase that holds the ranks; the lead then aborts.
	HoldTimeout time.Duration
	// FinishTimeout bounds an abort and each phase past the commit point; the lead
	// then starts another round.
	FinishTimeout time.Duration
	// MeanBackoff is the mean wait after a failed round; it doubles with each
	// consecutive failure.
	MeanBackoff time.Duration
	// IdleTimeout is how long a member's engine must be unable to step, with no
	// message from a lead, before the member reports it.
	IdleTimeout time.Duration
	// PollInterval is the time between two reads of the engine while no round needs
	// one.
	PollInterval time.Duration
}

// Defaults returns the settings for agents with a network latency of milliseconds.
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
