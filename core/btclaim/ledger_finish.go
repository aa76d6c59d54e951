package btclaim

// handleFinished records a run's answer and drops the oldest answers beyond
// AnswerBytes.
func (l *Ledger) handleFinished(e RunFinished) []LedgerEffect {
	r, ok := l.runs.get(e.Claim)
	if !ok || r.phase != phaseRunning {
		return nil
	}
	r.phase = phaseAnswerKept
	r.bytes = max(0, e.Bytes)
	l.keptAnswers = append(l.keptAnswers, r)
	l.keptBytes += r.bytes
	if r.bytes > l.settings.MaxAnswer {
		return l.dropAnswer(r)
	}
	var effects []LedgerEffect
	for l.keptBytes > l.settings.AnswerBytes {
		effects = append(effects, l.dropAnswer(l.oldestAnswer())...)
	}
	return effects
}

// oldestAnswer skips answers that were dropped out of order.
func (l *Ledger) oldestAnswer() *runRecord {
	for l.keptAnswers[0].phase != phaseAnswerKept {
		l.keptAnswers = l.keptAnswers[1:]
	}
	return l.keptAnswers[0]
}

func (l *Ledger) dropAnswer(r *runRecord) []LedgerEffect {
	r.phase = phaseAnswerDropped
	l.keptBytes -= r.bytes
	for len(l.keptAnswers) > 0 && l.keptAnswers[0].phase != phaseAnswerKept {
		l.keptAnswers = l.keptAnswers[1:]
	}
	return []LedgerEffect{DropAnswer{Claim: r.claim}}
}

func (l *Ledger) handleLost(c Claim) {
	if r, ok := l.runs.get(c); ok && r.phase == phaseRunning {
		r.phase = phaseAnswerLost
	}
}

// handleNotSent seals a started run of which nothing reached the target, so that its
// home may grant the claim to another executor. A run that was already reported as
// finished or lost may have run and isn't sealed.
func (l *Ledger) handleNotSent(e RunNotSent) []LedgerEffect {
	r, ok := l.runs.get(e.Grant.Claim)
	if !ok {
		return []LedgerEffect{refusal(e.Grant, GrantForgotten)}
	}
	same := r.grant.Attempt == e.Grant.Attempt && r.grant.Executor == e.Grant.Executor
	running := l.assert.That(r.phase == phaseRunning && same, SealsOnlyRunInProgress,
		"ledger %s: attempt %d of %s isn't the running one", l.settings.Self, e.Grant.Attempt, e.Grant.Claim.Key)
	if !running {
		return []LedgerEffect{refusal(e.Grant, AnswerLost)}
	}
	r.phase = phaseSealed
	return []LedgerEffect{l.seal(e.Grant, e.Reason)}
}
