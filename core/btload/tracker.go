package btload

import (
	"time"

	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
)

// Tracker estimates the load of all targets as seen by one entry. It is not safe
// for concurrent use.
type Tracker struct {
	config   Config
	services map[btid.Service]*serviceRates
	targets  map[btid.Target]*Target
	latest   time.Time
}

var _ btcore.Machine[Event, Effect] = (*Tracker)(nil)

// minLearnedTokens is the fewest prompt tokens from which a prefill rate is learned.
const minLearnedTokens = 32

// New returns a tracker without targets.
func New(c Config) *Tracker {
	return &Tracker{
		config:   c,
		services: map[btid.Service]*serviceRates{},
		targets:  map[btid.Target]*Target{},
	}
}

// Target returns the named target of the service, creating it if needed. Learned
// rates are shared only within a service, because services run different models.
func (r *Tracker) Target(service btid.Service, name btid.Target) *Target {
	f, ok := r.services[service]
	if !ok {
		f = &serviceRates{config: r.config}
		r.services[service] = f
	}
	t, ok := r.targets[name]
	if !ok {
		t = &Target{name: name, uncorrected: r.config.Uncorrected, cache: newCacheView(r.config.MaxPrefixes)}
		r.targets[name] = t
	}
	t.rates = f
	return t
}

// Len returns how many targets are tracked.
func (r *Tracker) Len() int { return len(r.targets) }

// Step applies one event. Events for unknown targets or requests are ignored.
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
		return t.applyReport(now, e.Report)
	case LevelRelayed:
		t.applyLevel(now, e)
	case CacheReported:
		return r.applyCacheEvents(t, e.Batch)
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

func (t *Target) applyReport(now time.Time, report Report) []Effect {
	if t.replaceReport(now, report) {
		return nil
	}
	return []Effect{ReportIgnored{Target: t.name}}
}

func (r *Tracker) applyCacheEvents(t *Target, batch CacheEvents) []Effect {
	missing := t.cache.apply(batch, r.config.MaxGap)
	if missing == 0 {
		return nil
	}
	return []Effect{CacheEventsMissed{Target: t.name, Missing: missing, Cleared: missing > r.config.MaxGap}}
}

func (r *Tracker) sent(now time.Time, t *Target, e Sent) []Effect {
	var effects []Effect
	if len(t.inFlight) >= r.config.MaxInFlight {
		oldest := t.inFlight[0].number
		t.removeInFlight(now, oldest, r.config.MaxInFlight)
		effects = append(effects, InFlightOverflow{Target: t.name, Number: oldest})
	}
	estimate := t.Estimate(now, e.Tokens, e.Prefixes)
	t.addInFlight(inFlightRequest{
		number:         e.Number,
		sentAt:         now,
		promptTokens:   e.Tokens,
		uncachedTokens: e.Tokens - estimate.CachedTokens,
		expected:       estimate.FirstToken,
		slotWait:       estimate.SlotWait,
		backlogTokens:  estimate.BacklogTokens,
	})
	for _, prefix := range e.Prefixes {
		t.cache.add(prefix)
	}
	return effects
}

func (r *Tracker) started(now time.Time, t *Target, e Started) []Effect {
	f, ok := t.markStarted(now, e.Number)
	if !ok {
		return nil
	}
	latency := now.Sub(f.sentAt)
	work := float64(int64(f.uncachedTokens) + f.backlogTokens)
	if f.slotWait == 0 && work >= minLearnedTokens {
		r.learnPrefillRate(t, latency, work)
	}
	t.rates.uncachedTokens.add(float64(f.uncachedTokens), r.config.Smoothing)
	return []Effect{FirstTokenMeasured{
		Target:   t.name,
		Tokens:   f.promptTokens,
		Latency:  latency,
		Expected: f.expected,
	}}
}

func (r *Tracker) learnPrefillRate(t *Target, latency time.Duration, work float64) {
	spent := max(latency-t.stepTime(), time.Microsecond)
	perToken := spent.Seconds() / work
	t.prefill.add(perToken, r.config.Smoothing)
	t.rates.prefill.add(perToken, r.config.Smoothing)
}

func (r *Tracker) finished(now time.Time, t *Target, e Finished) []Effect {
	f, ok := t.removeInFlight(now, e.Number, r.config.MaxInFlight)
	if !ok || e.Refused || f.startedAt.IsZero() || e.OutputTokens <= 1 {
		return nil
	}
	perToken := now.Sub(f.startedAt) / time.Duration(e.OutputTokens-1)
	t.decode.add(perToken.Seconds(), r.config.Smoothing)
	t.rates.decode.add(perToken.Seconds(), r.config.Smoothing)
	t.rates.outputTokens.add(float64(e.OutputTokens), r.config.Smoothing)
	return []Effect{DecodeMeasured{Target: t.name, PerToken: perToken}}
}
