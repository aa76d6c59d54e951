package btroute

import (
	"cmp"
	"slices"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
)

// Ejector decides which targets of one service are ejected from rotation.
type Ejector struct {
	config    EjectionConfig
	service   btid.Service
	assert    *btassert.Asserter
	targets   map[btid.Target]*targetState
	names     []btid.Target
	ejected   int
	checkedAt time.Time
	latest    time.Time
}

var _ btcore.Machine[EjectionEvent, EjectionEffect] = (*Ejector)(nil)

// targetState is the ejection state of one target.
type targetState struct {
	failures int
	mean     time.Duration
	samples  int
	// cause is the reason for the current ejection.
	cause        Cause
	ejected      bool
	ejectedAt    time.Time
	ejectedUntil time.Time
	// restoredAt is when the target was last restored.
	restoredAt    time.Time
	probeDeadline time.Time
	// streak counts consecutive ejections.
	streak   int
	withheld bool
}

// NewEjector returns an ejector without targets.
func NewEjector(c EjectionConfig, service btid.Service, a *btassert.Asserter) *Ejector {
	return &Ejector{config: c, service: service, assert: a, targets: map[btid.Target]*targetState{}}
}

// MaxEjected returns how many targets may be ejected at once.
func (e *Ejector) MaxEjected() int {
	return int(min(max(e.config.MaxShare, 0), 1) * float64(len(e.names)))
}

// EjectedCount returns how many targets are ejected.
func (e *Ejector) EjectedCount() int { return e.ejected }

// Ejected reports whether the target is ejected.
func (e *Ejector) Ejected(name btid.Target) bool {
	s, ok := e.targets[name]
	return ok && s.ejected
}

// ProbeDue reports whether an ejected target may be tested with a request: its
// ejection time has passed and no probe is pending.
func (e *Ejector) ProbeDue(now time.Time, name btid.Target) bool {
	s, ok := e.targets[name]
	return ok && s.ejected && !now.Before(s.ejectedUntil) && !now.Before(s.probeDeadline)
}

// Step applies one event.
func (e *Ejector) Step(now time.Time, event EjectionEvent) []EjectionEffect {
	if now.Before(e.latest) {
		now = e.latest
	}
	e.latest = now
	var effects []EjectionEffect
	switch v := event.(type) {
	case EjectionConfigured:
		e.config = v.Ejection
		effects = e.setMembers(now, e.names)
	case EjectionMembers:
		effects = e.setMembers(now, v.Targets)
	case Failure:
		effects = e.failure(now, v)
	case Success:
		effects = e.success(now, v.Target)
	case LatencySample:
		effects = e.addSample(now, v)
	case ProbeSent:
		if s, ok := e.targets[v.Target]; ok {
			s.probeDeadline = now.Add(e.config.ProbeTimeout)
		}
	}
	e.assert.That(e.ejected <= e.MaxEjected(), InvariantEjectionCap,
		"service %s: %d of %d targets ejected, at most %d", e.service, e.ejected, len(e.names), e.MaxEjected())
	return effects
}

// setMembers replaces the set of targets. If the cap falls below the number of
// ejected targets, the ones ejected longest ago are restored.
func (e *Ejector) setMembers(now time.Time, names []btid.Target) []EjectionEffect {
	e.names = slices.Clone(names)
	slices.Sort(e.names)
	e.names = slices.Compact(e.names)
	kept := make(map[btid.Target]*targetState, len(e.names))
	var ejected []btid.Target
	for _, name := range e.names {
		s, ok := e.targets[name]
		if !ok {
			s = &targetState{}
		}
		kept[name] = s
		if s.ejected {
			ejected = append(ejected, name)
		}
	}
	e.targets, e.ejected = kept, len(ejected)
	slices.SortStableFunc(ejected, func(a, b btid.Target) int {
		return cmp.Compare(kept[a].ejectedAt.UnixNano(), kept[b].ejectedAt.UnixNano())
	})
	var effects []EjectionEffect
	for _, name := range ejected[:max(e.ejected-e.MaxEjected(), 0)] {
		effects = append(effects, e.restore(now, name, CapShrank))
	}
	return effects
}

func (e *Ejector) failure(now time.Time, f Failure) []EjectionEffect {
	s, ok := e.targets[f.Target]
	if !ok {
		return nil
	}
	s.failures++
	if s.ejected {
		return e.probeFailed(now, f.Target, s, FailedProbe)
	}
	if s.failures < e.config.Failures {
		return nil
	}
	return e.eject(now, f.Target, s, ConsecutiveFailures, 0)
}

// success ends a run of failures. It restores a target that was ejected for
// failures; one that was ejected as slow needs a latency sample first.
func (e *Ejector) success(now time.Time, name btid.Target) []EjectionEffect {
	s, ok := e.targets[name]
	if !ok {
		return nil
	}
	s.failures = 0
	if !s.ejected {
		s.withheld = false
		return nil
	}
	if s.cause == Slow || s.cause == SlowProbe || now.Before(s.ejectedUntil) {
		return nil
	}
	return []EjectionEffect{e.restore(now, name, ProbeAnswered)}
}

func (e *Ejector) addSample(now time.Time, m LatencySample) []EjectionEffect {
	s, ok := e.targets[m.Target]
	if !ok {
		return nil
	}
	if s.ejected {
		return e.probeSampled(now, m, s)
	}
	s.samples++
	weight := max(e.config.Smoothing, 1/float64(s.samples))
	s.mean += time.Duration(weight * float64(m.Latency-s.mean))
	if now.Sub(e.checkedAt) < e.config.CheckInterval {
		return nil
	}
	e.checkedAt = now
	return e.ejectSlow(now)
}

// probeSampled restores the target unless it is still slow. An answer that arrives
// before the ejection time has passed belongs to a request from before the ejection.
func (e *Ejector) probeSampled(now time.Time, m LatencySample, s *targetState) []EjectionEffect {
	if now.Before(s.ejectedUntil) {
		return nil
	}
	if median, ok := e.median(); ok && m.Latency > e.slowThreshold(median) {
		return e.probeFailed(now, m.Target, s, SlowProbe)
	}
	return []EjectionEffect{e.restore(now, m.Target, ProbeAnswered)}
}

// probeFailed extends the ejection. Failures of requests from before the ejection
// are not counted again.
func (e *Ejector) probeFailed(now time.Time, name btid.Target, s *targetState, cause Cause) []EjectionEffect {
	if now.Before(s.ejectedUntil) {
		return nil
	}
	e.setEjectionTime(now, s)
	s.cause = cause
	return []EjectionEffect{Ejected{Service: e.service, Target: name, Until: s.ejectedUntil, Cause: cause, Evidence: e.evidence(s, 0)}}
}

// setEjectionTime starts a new ejection period, doubled for each consecutive one.
// A target that stayed in rotation for more than twice its last period starts over.
func (e *Ejector) setEjectionTime(now time.Time, s *targetState) {
	if !s.ejected && now.Sub(s.restoredAt) > 2*e.ejectionTime(s.streak) {
		s.streak = 0
	}
	s.streak++
	s.ejectedUntil = now.Add(e.ejectionTime(s.streak))
	s.probeDeadline = time.Time{}
}

// ejectionTime returns the length of the streak-th consecutive ejection.
func (e *Ejector) ejectionTime(streak int) time.Duration {
	length := e.config.Duration
	for range streak - 1 {
		if length >= e.config.MaxDuration {
			break
		}
		length *= 2
	}
	return min(length, e.config.MaxDuration)
}

// eject puts the target out of rotation, unless the cap is reached.
func (e *Ejector) eject(now time.Time, name btid.Target, s *targetState, cause Cause, median time.Duration) []EjectionEffect {
	evidence := e.evidence(s, median)
	if e.ejected+1 > e.MaxEjected() {
		if s.withheld {
			return nil
		}
		s.withheld = true
		return []EjectionEffect{Withheld{Service: e.service, Target: name, Cause: cause, Evidence: evidence}}
	}
	e.setEjectionTime(now, s)
	s.ejected, s.ejectedAt, s.withheld, s.cause = true, now, false, cause
	e.ejected++
	return []EjectionEffect{Ejected{Service: e.service, Target: name, Until: s.ejectedUntil, Cause: cause, Evidence: evidence}}
}

// restore returns the target to rotation and discards its failures and samples.
func (e *Ejector) restore(now time.Time, name btid.Target, cause Cause) EjectionEffect {
	s := e.targets[name]
	restored := Restored{Service: e.service, Target: name, Cause: cause, EjectedFor: now.Sub(s.ejectedAt)}
	s.ejected, s.restoredAt = false, now
	s.failures, s.samples, s.mean = 0, 0, 0
	e.ejected--
	return restored
}
