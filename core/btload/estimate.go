package btload

import "time"

// Estimate is the expected handling of a request by a target.
type Estimate struct {
	// FirstToken is the expected time to the first token.
	FirstToken time.Duration
	// SlotWait is the expected wait for a free slot.
	SlotWait time.Duration
	// CachedTokens is how many prompt tokens are expected to be in the cache.
	CachedTokens int
	// Outstanding is how many requests are expected to be running or queued.
	Outstanding int
	// BacklogTokens is how many prompt tokens are expected to be processed first.
	BacklogTokens int64
}

// serviceRates holds averages over a service's targets. They stand in for targets
// that have no measurements of their own.
type serviceRates struct {
	config                                        Config
	prefill, decode, outputTokens, uncachedTokens average
}

// prefillRate returns the mean seconds per prompt token.
func (s *serviceRates) prefillRate() float64 { return s.prefill.valueOr(s.config.Prefill.Seconds()) }

// decodeRate returns the mean seconds per generated token.
func (s *serviceRates) decodeRate() float64 { return s.decode.valueOr(s.config.Decode.Seconds()) }

// Estimate returns the estimate for a prompt of the given length and prefix chain. It
// changes nothing and does not allocate.
func (t *Target) Estimate(now time.Time, tokens int, prefixes []uint64) Estimate {
	cached := min(t.cache.cachedChunks(prefixes)*ChunkTokens, tokens)
	perToken := t.prefill.valueOr(t.rates.prefillRate())
	step := t.stepTime()
	e := Estimate{
		CachedTokens:  cached,
		Outstanding:   t.outstanding(),
		BacklogTokens: t.backlogTokens(now, perToken),
	}
	e.SlotWait = t.slotWait(e.Outstanding, perToken)
	backlog := time.Duration(float64(e.BacklogTokens) * perToken * float64(time.Second))
	prefill := time.Duration(float64(tokens-cached) * perToken * float64(time.Second))
	// The backlog is processed while requests wait for slots, so only the longer of
	// the two times counts.
	e.FirstToken = max(e.SlotWait, backlog) + prefill + step
	return e
}

// minStepTime is the lower bound of a learned step time. An answer that arrives in
// one piece would otherwise suggest that its tokens took no time.
const minStepTime = time.Microsecond

func (t *Target) stepTime() time.Duration {
	if t.report.StepTime > 0 {
		return t.report.StepTime
	}
	return max(seconds(t.decode.valueOr(t.rates.decodeRate())), minStepTime)
}

// outstanding returns the requests running and queued: those in the report, plus
// those sent and minus those ended since, but at least this entry's own.
func (t *Target) outstanding() int {
	reported := t.report.Running + t.report.Waiting
	if t.uncorrected {
		return reported
	}
	return max(reported+t.unreported-len(t.endedAfterSample), len(t.inFlight))
}

// backlogTokens returns the prompt tokens to be processed before those of a new
// request. The reported part decreases with the time since the sample.
func (t *Target) backlogTokens(now time.Time, perToken float64) int64 {
	if t.uncorrected {
		return t.report.OutstandingTokens
	}
	processed := int64(now.Sub(t.sampledAt).Seconds() / perToken)
	since := max(t.report.OutstandingTokens+t.unreportedTokens-processed, 0)
	return max(since, t.pendingTokens)
}

// slotWait returns the expected time until a slot is free.
func (t *Target) slotWait(outstanding int, perToken float64) time.Duration {
	slots := t.report.Slots
	if slots == 0 || outstanding < slots {
		return 0
	}
	queued := outstanding + 1 - slots
	output := t.rates.outputTokens.valueOr(float64(t.rates.config.OutputTokens))
	slotTime := t.decode.valueOr(t.rates.decodeRate())*output + perToken*t.rates.uncachedTokens.valueOr(0)
	return seconds(float64(queued) * slotTime / float64(slots))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
