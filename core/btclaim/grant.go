package btclaim

import (
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// untimedRetentionDivisor: a request whose key holds no time is refused when it
// reaches its home later than retention/untimedRetentionDivisor after the entry
// accepted it. Callers may repeat such keys for half the retention.
const untimedRetentionDivisor = 4

// record is what a home stores of one claim.
type record struct {
	content  btbundle.Digest
	executor btid.Executor
	attempt  uint32
	// released means that the last attempt is sealed, or that there was none.
	released  bool
	issuedAt  time.Time
	notAfter  time.Time
	heldUntil time.Time
	// transferred means that the claim's next home was sent the record. That home
	// may have granted further attempts, so the record alone no longer decides
	// anything.
	transferred bool
}

func (r *record) grant(c Claim) *Grant {
	return &Grant{
		Claim:    c,
		Content:  r.content,
		Executor: r.executor,
		Attempt:  r.attempt,
		IssuedAt: r.issuedAt,
		NotAfter: r.notAfter,
	}
}

// query is an entry's request for a grant: an Acquire, or a Release whose seal has
// been applied.
type query struct {
	request  btid.Request
	ask      uint32
	claim    Claim
	content  btbundle.Digest
	executor btid.Executor
}

func (q query) grantReply(g *Grant) AcquireReply {
	return AcquireReply{Request: q.request, Ask: q.ask, Grant: g}
}

// unknownReply refuses without evidence that the claim didn't run.
func (q query) unknownReply(r btrequest.Reason, after time.Duration) AcquireReply {
	return AcquireReply{
		Request:    q.request,
		Ask:        q.ask,
		Outcome:    btrequest.Unknown,
		Reason:     r,
		RetryAfter: after,
	}
}

// notRunReply refuses on evidence that the claim didn't run, which holds for the
// given time.
func (q query) notRunReply(r btrequest.Reason, hold time.Duration) AcquireReply {
	return AcquireReply{
		Request:    q.request,
		Ask:        q.ask,
		Outcome:    btrequest.NotRun,
		Reason:     r,
		RetryAfter: hold,
		Hold:       hold,
	}
}

func (h *Home) acquire(a Acquire) []HomeEffect {
	q := query{
		request:  a.Request,
		ask:      a.Ask,
		claim:    a.Claim,
		content:  a.Content,
		executor: a.Executor,
	}
	if a.Claim.Service != h.settings.Service {
		return []HomeEffect{q.unknownReply(NotHome, 0)}
	}
	if r, ok := h.records.get(q.claim); ok {
		return h.replyKnown(q, r)
	}
	if reply, refused := h.precheck(q); refused {
		return []HomeEffect{reply}
	}
	if _, timed := q.claim.Key.Time(); !timed && h.clock.wall.Sub(a.Accepted) > h.rules.Retention/untimedRetentionDivisor {
		return []HomeEffect{q.unknownReply(KeyExpired, 0)}
	}
	return h.decideNew(q)
}

// precheck refuses what this home can't decide whatever its records say: claims of
// other homes, all claims without the lease, and keys whose time is out of range.
func (h *Home) precheck(q query) (AcquireReply, bool) {
	if home, _ := HomeOf(h.currentEpoch(), q.claim); home != h.settings.Self {
		reply := q.unknownReply(NotHome, h.rules.Lease)
		reply.Home = home
		return reply, true
	}
	if !h.lease.held {
		return q.unknownReply(LeaseMissing, h.rules.Lease), true
	}
	made, timed := q.claim.Key.Time()
	if !timed {
		return AcquireReply{}, false
	}
	if h.clock.wall.Sub(made) > h.rules.Retention {
		return q.unknownReply(KeyExpired, 0), true
	}
	ahead := made.Sub(h.clock.wall)
	if ahead > 2*h.rules.ClockError+h.settings.Hold {
		// No home's clock is far enough ahead for the home to have granted the key, or
		// to grant it before the hold ends.
		return q.notRunReply(KeyInFuture, h.settings.Hold), true
	}
	if ahead > h.rules.ClockError {
		return q.unknownReply(KeyInFuture, ahead), true
	}
	return AcquireReply{}, false
}

// replyKnown answers for a claim that has a record. An open grant is returned with
// or without a lease: it exists already, and its executor makes sure that it runs at
// most once.
func (h *Home) replyKnown(q query, r *record) []HomeEffect {
	if q.content != r.content {
		return []HomeEffect{q.unknownReply(KeyReused, 0)}
	}
	if !r.released {
		return []HomeEffect{q.grantReply(r.grant(q.claim))}
	}
	if reply, refused := h.precheck(q); refused {
		return []HomeEffect{reply}
	}
	if r.transferred {
		return h.decideByLookup(q)
	}
	if held := r.heldUntil.Sub(h.clock.now); held > 0 && q.executor.Incarnation != 0 {
		return []HomeEffect{q.notRunReply(Held, held)}
	}
	return []HomeEffect{h.grantOrHold(q, r)}
}

// grantOrHold grants a claim that is neither granted nor held. Without an executor it
// holds the claim instead, so that not_run stays true for that time.
func (h *Home) grantOrHold(q query, r *record) AcquireReply {
	if q.executor.Incarnation == 0 {
		r.heldUntil = h.clock.now.Add(h.settings.Hold)
		return q.notRunReply(NoExecutor, h.settings.Hold)
	}
	single := h.assert.That(r.released && !h.clock.now.Before(r.heldUntil), SingleGrant,
		"home %s: attempt %d of %s is open or held", h.settings.Self, r.attempt, q.claim.Key)
	if !single || !h.assertQuorum() {
		return q.unknownReply(LeaseMissing, h.rules.Lease)
	}
	r.released = false
	r.attempt++
	r.executor = q.executor
	r.issuedAt = h.clock.wall
	r.notAfter = r.issuedAt.Add(h.rules.GrantLifetime)
	return q.grantReply(r.grant(q.claim))
}

// assertQuorum counts the votes independently of the lease's own bookkeeping.
func (h *Home) assertQuorum() bool {
	holds := true
	for _, s := range h.lease.voterSets {
		votes := 0
		for _, t := range s.voters {
			vote, ok := h.lease.votes[t]
			if ok && h.clock.now.Sub(vote.sentAt) < withClockMargin(h.rules.Lease) {
				votes++
			}
		}
		holds = h.assert.That(2*votes > len(s.voters), LeaseMajority,
			"home %s: %d of %d votes", h.settings.Self, votes, len(s.voters)) && holds
	}
	return holds
}

// release applies a seal and grants the next attempt.
func (h *Home) release(m Release) []HomeEffect {
	q := query{
		request:  m.Request,
		ask:      m.Ask,
		claim:    m.Sealed.Claim,
		content:  m.Content,
		executor: m.Next,
	}
	if q.claim.Service != h.settings.Service {
		return []HomeEffect{q.unknownReply(NotHome, 0)}
	}
	if reply, refused := h.precheck(q); refused {
		return []HomeEffect{reply}
	}
	r, ok := h.records.get(q.claim)
	if !ok {
		return []HomeEffect{q.unknownReply(NoRecord, 0)}
	}
	if !r.released && m.Sealed.matches(*r.grant(q.claim)) {
		r.released = true
	}
	if !r.released && m.Sealed.Attempt >= r.attempt {
		return []HomeEffect{q.unknownReply(SealMismatch, 0)}
	}
	return h.replyKnown(q, r)
}

// decideNew decides a claim without a record.
func (h *Home) decideNew(q query) []HomeEffect {
	if h.clock.now.Before(h.newClaimsRefusedUntil) || h.records.full() {
		return []HomeEffect{h.recordsFullReply(q)}
	}
	if !h.ungrantedBefore(q.claim, h.expiredBefore) {
		return []HomeEffect{q.unknownReply(HistoryLost, 0)}
	}
	if h.ungrantedBefore(q.claim, h.lease.since) {
		return []HomeEffect{h.grantOrHold(q, h.newRecord(q))}
	}
	return h.decideByLookup(q)
}

// decideByLookup asks the earlier homes about a claim that neither the record nor the
// key's time decides.
func (h *Home) decideByLookup(q query) []HomeEffect {
	if !h.historyComplete(q.claim) {
		return []HomeEffect{q.unknownReply(HistoryLost, h.historyRetryAfter())}
	}
	return h.lookUp(q)
}

// historyComplete reports whether the claim can't have been granted by an earlier
// incarnation of this home or by a home of an epoch that the bundle no longer lists.
func (h *Home) historyComplete(c Claim) bool {
	return h.ungrantedBefore(c, h.since) && h.ungrantedBefore(c, h.lease.exclusiveSince(&h.clock))
}

// recordsFullReply refuses a claim because there is no memory for another record.
// Where it can promise not_run without one, it closes this home to all new claims for
// the time of the hold.
func (h *Home) recordsFullReply(q query) AcquireReply {
	if !h.ungrantedBefore(q.claim, h.lease.since) || !h.ungrantedBefore(q.claim, h.expiredBefore) {
		return q.unknownReply(RecordsFull, h.settings.Hold)
	}
	h.newClaimsRefusedUntil = h.clock.now.Add(h.settings.Hold)
	return q.notRunReply(RecordsFull, h.settings.Hold)
}

// ungrantedBefore reports whether no home can have granted the claim before the
// instant. Homes refuse keys made later than their clock plus the clock error, and
// their clock differs from this one by at most as much again. A key without a time
// may be as old as the retention, during which its caller may use it.
func (h *Home) ungrantedBefore(c Claim, instant time.Time) bool {
	made, timed := c.Key.Time()
	if !timed {
		made = h.clock.wall.Add(-h.rules.Retention)
	}
	return made.Sub(instant) > 2*h.rules.ClockError
}

// historyRetryAfter returns how long it takes until a key made at that time passes
// ungrantedBefore for the start of the lease, also if its caller's clock is off by
// the clock error.
func (h *Home) historyRetryAfter() time.Duration {
	return max(0, h.lease.since.Add(3*h.rules.ClockError).Sub(h.clock.wall))
}

func (h *Home) newRecord(q query) *record {
	r := &record{content: q.content, released: true}
	h.records.add(h.clock.wall, q.claim, r)
	return r
}
