package btload

import (
	"time"

	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
)

// Tracker keeps the load of all targets as seen by one entry. It is not safe
// for concurrent use.
type Tracker struct {
	config  Config
	fleets  map[btid.Service]*fleet
	targets map[btid.Target]*Target
	latest  time.Time
}

var _ btcore.Machine[Event, Effect] = (*Tracker)(nil)

// minLearnedTokens is the shortest prompt from which a prefill rate is learned.
const minLearnedTokens = 32

// New returns a tracker that knows no target.
func New(c Config) *Tracker {
	return &Tracker{
		config:  c,
		fleets:  map[btid.Service]*fleet{},
		targets: map[btid.Target]*Target{},
	}
}

// Target returns the state of the service's named target, made new where it is
// unknown. What is learned of one target is the starting point for others of
// its service only, as services run different models.
func (r *Tracker) Target(service btid.Service, name btid.Target) *Target {
	f, ok := r.fleets[service]
	if !ok {
		f = &fleet{config: r.config}
		r.fleets[service] = f
	}
	t, ok := r.targets[name]
	if !ok {
		t = &Target{name: name, uncorrected: r.config.Uncorrected, cache: newView(r.config.MaxPrefixes)}
		r.targets[name] = t
	}
	t.fleet = f
	return t
}

// Len returns how many targets are tracked.
func (r *Tracker) Len() int { return len(r.targets) }

// Step applies one event. Events of unknown targets and requests are ignored.
func (r *Tracker) Step(now time.Time, event Event) []Effect {
	if now.Before(r.latest) {
		now = r.latest
	}
	r.latest = now
	t, ok := r.targets[event.AboutTarget()]
	if !ok {
		return nil
	}
	switch e := event.(type) {
	case Reported:
		return t.reportedAt(now, e.Report)
	case LevelRelayed:
		t.told(now, e)
	case CacheReported:
		return r.cached(t, e.Batch)
	case Sent:
		return r.sent(now, t, e)
	case Started:
		return r.started(now, t, e)
	case Finished:
		return r.finished(now, t, e)
	case Removed:
		delete(r.targets, e.Target)
	}
	return nil
}

func (t *Target) reportedAt(now time.Time, report Report) []Effect {
	if t.take(now, report) {
		return nil
	}
	return []Effect{ReportIgnored{Target: t.name}}
}

func (r *Tracker) cached(t *Target, batch CacheEvents) []Effect {
	missing := t.cache.apply(batch, r.config.MaxGap)
	if missing == 0 {
		return nil
	}
	return []Effect{CacheEventsMissed{Target: t.name, Missing: missing, Cleared: missing > r.config.MaxGap}}
}

func (r *Tracker) sent(now time.Time, t *Target, e Sent) []Effect {
	var effects []Effect
	if len(t.flights) >= r.config.MaxInFlight {
		oldest := t.flights[0].number
		t.end(now, oldest, r.config.MaxInFlight)
		effects = append(effects, InFlightOverflow{Target: t.name, Number: oldest})
	}
	estimate := t.Estimate(now, e.Tokens, e.Prefixes)
	t.send(flight{
		number:   e.Number,
		sentAt:   now,
		prompt:   e.Tokens,
		tokens:   e.Tokens - estimate.CachedTokens,
		expected: estimate.FirstToken,
		wait:     estimate.SlotWait,
		ahead:    estimate.BacklogTokens,
	})
	for _, prefix := range e.Prefixes {
		t.cache.add(prefix)
	}
	return effects
}

func (r *Tracker) started(now time.Time, t *Target, e Started) []Effect {
	f, ok := t.start(now, e.Number)
	if !ok {
		return nil
	}
	latency := now.Sub(f.sentAt)
	work := float64(int64(f.tokens) + f.ahead)
	if f.wait == 0 && work >= minLearnedTokens {
		r.learnPrefill(t, latency, work)
	}
	t.fleet.prompt.add(float64(f.tokens), r.config.Smoothing)
	return []Effect{FirstTokenMeasured{
		Target:   t.name,
		Tokens:   f.prompt,
		Latency:  latency,
		Expected: f.expected,
	}}
}

func (r *Tracker) learnPrefill(t *Target, latency time.Duration, work float64) {
	spent := max(latency-t.step(), time.Microsecond)
	perToken := spent.Seconds() / work
	t.prefill.add(perToken, r.config.Smoothing)
	t.fleet.prefill.add(perToken, r.config.Smoothing)
}

func (r *Tracker) finished(now time.Time, t *Target, e Finished) []Effect {
	f, ok := t.end(now, e.Number, r.config.MaxInFlight)
	if !ok || e.Refused || f.startedAt.IsZero() || e.OutputTokens <= 1 {
		return nil
	}
	perToken := now.Sub(f.startedAt) / time.Duration(e.OutputTokens-1)
	t.decode.add(perToken.Seconds(), r.config.Smoothing)
	t.fleet.decode.add(perToken.Seconds(), r.config.Smoothing)
	t.fleet.output.add(float64(e.OutputTokens), r.config.Smoothing)
	return []Effect{DecodeMeasured{Target: t.name, PerToken: perToken}}
}
