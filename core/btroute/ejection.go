package btroute

import (
	"cmp"
	"slices"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
)

// Ejector decides which targets of one service are out of rotation.
type Ejector struct {
	config  EjectionConfig
	service btid.Service
	assert  *btassert.Asserter
	targets map[btid.Target]*standing
	names   []btid.Target
	out     int
	checked time.Time
	latest  time.Time
}

var _ btcore.Machine[EjectionEvent, EjectionEffect] = (*Ejector)(nil)

// standing is one target's record.
type standing struct {
	failures int
	mean     time.Duration
	samples  int
	// cause is why it is out.
	cause Cause
	out   bool
	since time.Time
	until time.Time
	// returned is when the target came back last.
	returned time.Time
	probing  time.Time
	// streak counts times out in a row.
	streak   int
	withheld bool
}

// NewEjector returns an ejector that knows no target.
func NewEjector(c EjectionConfig, service btid.Service, a *btassert.Asserter) *Ejector {
	return &Ejector{config: c, service: service, assert: a, targets: map[btid.Target]*standing{}}
}

// MaxEjected returns how many targets may be out at once.
func (e *Ejector) MaxEjected() int {
	return int(min(max(e.config.MaxShare, 0), 1) * float64(len(e.names)))
}

// EjectedCount returns how many targets are out.
func (e *Ejector) EjectedCount() int { return e.out }

// Ejected tells whether the target is out.
func (e *Ejector) Ejected(name btid.Target) bool {
	s, ok := e.targets[name]
	return ok && s.out
}

// ProbeDue tells whether a target that is out may be tried with one request.
func (e *Ejector) ProbeDue(now time.Time, name btid.Target) bool {
	s, ok := e.targets[name]
	return ok && s.out && !now.Before(s.until) && !now.Before(s.probing)
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
		effects = e.members(now, e.names)
	case EjectionMembers:
		effects = e.members(now, v.Targets)
	case Failure:
		effects = e.failure(now, v)
	case Success:
		effects = e.success(now, v.Target)
	case LatencySample:
		effects = e.measure(now, v)
	case ProbeSent:
		if s, ok := e.targets[v.Target]; ok {
			s.probing = now.Add(e.config.ProbeTimeout)
		}
	}
	e.assert.That(e.out <= e.MaxEjected(), InvariantEjectionCap,
		"service %s: %d of %d targets ejected, at most %d", e.service, e.out, len(e.names), e.MaxEjected())
	return effects
}

// members replaces the set of targets. Where the cap shrinks with it, those out
// longest come back.
func (e *Ejector) members(now time.Time, names []btid.Target) []EjectionEffect {
	e.names = slices.Clone(names)
	slices.Sort(e.names)
	e.names = slices.Compact(e.names)
	kept := make(map[btid.Target]*standing, len(e.names))
	var out []btid.Target
	for _, name := range e.names {
		s, ok := e.targets[name]
		if !ok {
			s = &standing{}
		}
		kept[name] = s
		if s.out {
			out = append(out, name)
		}
	}
	e.targets, e.out = kept, len(out)
	slices.SortStableFunc(out, func(a, b btid.Target) int {
		return cmp.Compare(kept[a].since.UnixNano(), kept[b].since.UnixNano())
	})
	var effects []EjectionEffect
	for _, name := range out[:max(e.out-e.MaxEjected(), 0)] {
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
	if s.out {
		return e.probeFailed(now, f.Target, s, FailedProbe)
	}
	if s.failures < e.config.Failures {
		return nil
	}
	return e.eject(now, f.Target, s, ConsecutiveFailures, 0)
}

// success ends a row of failures. It takes back a target that was out for
// failing; one that was slow has yet to be measured.
func (e *Ejector) success(now time.Time, name btid.Target) []EjectionEffect {
	s, ok := e.targets[name]
	if !ok {
		return nil
	}
	s.failures = 0
	if !s.out {
		s.withheld = false
		return nil
	}
	if s.cause == Slow || s.cause == SlowProbe || now.Before(s.until) {
		return nil
	}
	return []EjectionEffect{e.restore(now, name, ProbeAnswered)}
}

func (e *Ejector) measure(now time.Time, m LatencySample) []EjectionEffect {
	s, ok := e.targets[m.Target]
	if !ok {
		return nil
	}
	if s.out {
		return e.probeMeasured(now, m, s)
	}
	s.samples++
	weight := max(e.config.Smoothing, 1/float64(s.samples))
	s.mean += time.Duration(weight * float64(m.Latency-s.mean))
	if now.Sub(e.checked) < e.config.CheckInterval {
		return nil
	}
	e.checked = now
	return e.checkSlow(now)
}

// probeMeasured takes a target back in unless it is still slow. An answer that
// arrives before the time is over was sent before the ejection.
func (e *Ejector) probeMeasured(now time.Time, m LatencySample, s *standing) []EjectionEffect {
	if now.Before(s.until) {
		return nil
	}
	if median, ok := e.median(); ok && m.Latency > e.limit(median) {
		return e.probeFailed(now, m.Target, s, SlowProbe)
	}
	return []EjectionEffect{e.restore(now, m.Target, ProbeAnswered)}
}

// probeFailed prolongs the time out. Failures of requests that were sent before
// the ejection don't count again.
func (e *Ejector) probeFailed(now time.Time, name btid.Target, s *standing, cause Cause) []EjectionEffect {
	if now.Before(s.until) {
		return nil
	}
	e.sentence(now, s)
	s.cause = cause
	return []EjectionEffect{Ejected{Service: e.service, Target: name, Until: s.until, Cause: cause, Evidence: e.evidence(s, 0)}}
}

// sentence sets the time out, doubled with each in a row.
func (e *Ejector) sentence(now time.Time, s *standing) {
	if !s.out && now.Sub(s.returned) > 2*e.length(s.streak) {
		s.streak = 0
	}
	s.streak++
	s.until = now.Add(e.length(s.streak))
	s.probing = time.Time{}
}

func (e *Ejector) length(streak int) time.Duration {
	length := e.config.Duration
	for range streak - 1 {
		if length >= e.config.MaxDuration {
			break
		}
		length *= 2
	}
	return min(length, e.config.MaxDuration)
}

func (e *Ejector) eject(now time.Time, name btid.Target, s *standing, cause Cause, median time.Duration) []EjectionEffect {
	evidence := e.evidence(s, median)
	if e.out+1 > e.MaxEjected() {
		if s.withheld {
			return nil
		}
		s.withheld = true
		return []EjectionEffect{Withheld{Service: e.service, Target: name, Cause: cause, Evidence: evidence}}
	}
	e.sentence(now, s)
	s.out, s.since, s.withheld, s.cause = true, now, false, cause
	e.out++
	return []EjectionEffect{Ejected{Service: e.service, Target: name, Until: s.until, Cause: cause, Evidence: evidence}}
}

func (e *Ejector) restore(now time.Time, name btid.Target, cause Cause) EjectionEffect {
	s := e.targets[name]
	restored := Restored{Service: e.service, Target: name, Cause: cause, EjectedFor: now.Sub(s.since)}
	s.out, s.returned = false, now
	s.failures, s.samples, s.mean = 0, 0, 0
	e.out--
	return restored
}
