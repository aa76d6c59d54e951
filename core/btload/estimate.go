package btload

import "time"

// Estimate is what a target would do with a request.
type Estimate struct {
	// FirstToken is the expected time to the first token.
	FirstToken time.Duration
	// SlotWait is the part of it spent waiting for a slot.
	SlotWait time.Duration
	// CachedTokens is how many prompt tokens are believed to be in the cache.
	CachedTokens int
	// Outstanding is how many requests are believed to run or wait.
	Outstanding int
	// BacklogTokens is how many prompt tokens are believed to be processed first.
	BacklogTokens int64
}

// fleet holds what is learned over all targets, for those not measured yet.
type fleet struct {
	config                          Config
	prefill, decode, output, prompt average
}

// prefillRate returns seconds per prompt token at the average target.
func (f *fleet) prefillRate() float64 { return f.prefill.or(f.config.Prefill.Seconds()) }

// decodeRate returns seconds per generated token at the average target.
func (f *fleet) decodeRate() float64 { return f.decode.or(f.config.Decode.Seconds()) }

// Estimate returns the expected service of a request of so many prompt tokens
// with the given prefix chain. It changes nothing and allocates nothing.
func (t *Target) Estimate(now time.Time, tokens int, prefixes []uint64) Estimate {
	cached := min(t.cache.hits(prefixes)*ChunkTokens, tokens)
	perToken := t.prefill.or(t.fleet.prefillRate())
	step := t.step()
	e := Estimate{
		CachedTokens:  cached,
		Outstanding:   t.outstanding(),
		BacklogTokens: t.ahead(now, perToken),
	}
	e.SlotWait = t.wait(e.Outstanding, perToken)
	backlog := time.Duration(float64(e.BacklogTokens) * perToken * float64(time.Second))
	own := time.Duration(float64(tokens-cached) * perToken * float64(time.Second))
	// Prompts ahead are processed while slots are waited for, so the longer of
	// the two counts.
	e.FirstToken = max(e.SlotWait, backlog) + own + step
	return e
}

// minStep is the shortest step believed. Answers that arrive in one piece look
// as if their tokens took no time.
const minStep = time.Microsecond

func (t *Target) step() time.Duration {
	if t.report.StepTime > 0 {
		return t.report.StepTime
	}
	return max(seconds(t.decode.or(t.fleet.decodeRate())), minStep)
}

// outstanding returns the requests running and waiting: the report's, plus those
// sent since, less those ended since, and never fewer than this entry's own.
func (t *Target) outstanding() int {
	reported := t.report.Running + t.report.Waiting
	if t.uncorrected {
		return reported
	}
	return max(reported+t.sentSince-len(t.ended), len(t.flights))
}

// ahead returns the prompt tokens to be processed before a new request's. The
// report's share shrinks at the target's rate since the sample.
func (t *Target) ahead(now time.Time, perToken float64) int64 {
	if t.uncorrected {
		return t.report.OutstandingTokens
	}
	processed := int64(now.Sub(t.sampledAt).Seconds() / perToken)
	since := max(t.report.OutstandingTokens+t.unstartedSince-processed, 0)
	return max(since, t.unstarted)
}

// wait returns the time until a slot is free.
func (t *Target) wait(outstanding int, perToken float64) time.Duration {
	slots := t.report.Slots
	if slots == 0 || outstanding < slots {
		return 0
	}
	queued := outstanding + 1 - slots
	output := t.fleet.output.or(float64(t.fleet.config.OutputTokens))
	hold := t.decode.or(t.fleet.decodeRate())*output + perToken*t.fleet.prompt.or(0)
	return seconds(float64(queued) * hold / float64(slots))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
