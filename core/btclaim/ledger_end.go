package btclaim

// finish notes a run's answer and keeps to the budget, oldest answers first.
func (l *Ledger) finish(e RunFinished) []LedgerEffect {
	r, ok := l.runs.get(e.Claim)
	if !ok || r.phase != phaseRunning {
		return nil
	}
	r.phase = phaseKept
	r.bytes = max(0, e.Bytes)
	l.kept = append(l.kept, r)
	l.keptBytes += r.bytes
	if r.bytes > l.settings.MaxAnswer {
		return l.drop(r)
	}
	var effects []LedgerEffect
	for l.keptBytes > l.settings.AnswerBytes {
		effects = append(effects, l.drop(l.oldest())...)
	}
	return effects
}

// oldest skips answers that were dropped out of turn.
func (l *Ledger) oldest() *run {
	for l.kept[0].phase != phaseKept {
		l.kept = l.kept[1:]
	}
	return l.kept[0]
}

func (l *Ledger) drop(r *run) []LedgerEffect {
	r.phase = phaseDropped
	l.keptBytes -= r.bytes
	for len(l.kept) > 0 && l.kept[0].phase != phaseKept {
		l.kept = l.kept[1:]
	}
	return []LedgerEffect{DropAnswer{Claim: r.claim}}
}

func (l *Ledger) lose(c Claim) {
	if r, ok := l.runs.get(c); ok && r.phase == phaseRunning {
		r.phase = phaseLost
	}
}

// unsend seals a started run of which the target saw nothing, so that its home
// may grant another executor. Once its end was told, it may have run.
func (l *Ledger) unsend(e RunNotSent) []LedgerEffect {
	r, ok := l.runs.get(e.Grant.Claim)
	if !ok {
		return []LedgerEffect{refusal(e.Grant, GrantForgotten)}
	}
	same := r.grant.Attempt == e.Grant.Attempt && r.grant.Executor == e.Grant.Executor
	running := l.assert.That(r.phase == phaseRunning && same, SealsNoEndedRun,
		"ledger %s: attempt %d of %s isn't the one that runs", l.settings.Self, e.Grant.Attempt, e.Grant.Claim.Key)
	if !running {
		return []LedgerEffect{refusal(e.Grant, AnswerLost)}
	}
	r.phase = phaseSealed
	return []LedgerEffect{l.seal(e.Grant, e.Reason)}
}
