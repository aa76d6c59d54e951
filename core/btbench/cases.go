package btbench

import "time"

// Offered loads as multiples of the measured capacity.
const (
	normalLoad    = 0.7
	faultedLoad   = 0.6
	overload      = 2.0
	afterOverload = 0.5
	lockstepLoad  = 0.55
	// saturation is a request rate far above any capacity.
	saturation = 1000
)

// Capacity returns the requests a second that the healthy fleet answers under the policy
// when the offered load is far above that.
func Capacity(f Fleet, p PolicyConfig, seed uint64) float64 {
	w := DefaultWorkload(seed, saturation)
	w.Length = 20 * time.Second
	return Replay(f, Case{Name: "capacity", Load: w}, p, Trace(w)).Throughput
}

// Cases returns the healthy, faulted and overloaded cases for a fleet of the
// given capacity in requests a second.
func Cases(seed uint64, capacity float64) []Case {
	faulted := DefaultWorkload(seed, faultedLoad*capacity)
	from := 15 * time.Second
	peak := DefaultWorkload(seed, afterOverload*capacity)
	peak.PeakRate = overload * capacity
	peak.PeakFrom, peak.PeakUntil = 10*time.Second, 25*time.Second
	steady := DefaultWorkload(seed, overload*capacity)
	return []Case{
		{Name: "healthy", Load: DefaultWorkload(seed, normalLoad*capacity)},
		{Name: "slow_target", Load: faulted, Faults: Faults{From: from, SlowTarget: 5}},
		{Name: "dead_data_centre", Load: faulted, Faults: Faults{From: from, DeadDataCentre: true}},
		{Name: "reports_lag_2s", Load: faulted, Faults: Faults{From: 0, ReportLag: 2 * time.Second}},
		{Name: "cache_events_late", Load: faulted, Faults: Faults{From: 0, EventDelay: 5 * time.Second, EventLoss: 0.2}},
		{Name: "peak_by_queue", Load: peak, RetryTiming: ByQueue},
		{Name: "peak_reserved", Load: peak, RetryTiming: ByReservation},
		{Name: "peak_reserved_any_entry", Load: peak, RetryTiming: ByReservation, RetryAnyEntry: true},
		{Name: "steady_by_queue", Load: steady, RetryTiming: ByQueue},
		{Name: "steady_reserved", Load: steady, RetryTiming: ByReservation},
	}
}

// LockstepCase returns a fleet that is one lock-step group and a case without faults.
func LockstepCase(seed uint64, capacity float64) (Fleet, Case) {
	f := DefaultFleet()
	f.Lockstep = true
	return f, Case{Name: "lockstep_group", Load: DefaultWorkload(seed, lockstepLoad*capacity)}
}
