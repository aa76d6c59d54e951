package btclaim

import (
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// untimedShare is the share of the retention, as its divisor, for which a
// request whose key holds no time may be under way to its home. Callers may
// repeat such keys for half the retention.
const untimedShare = 4

// record is a home's memory of one claim.
type record struct {
	content  btbundle.Digest
	executor btid.Executor
	attempt  uint32
	// released tells that the last attempt is sealed, or that there was none.
	released  bool
	issuedAt  time.Time
	notAfter  time.Time
	heldUntil time.Time
	// moved tells that the claim's next home was told of the record and may
	// have gone on from there, so that the record alone decides nothing more.
	moved bool
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

// question is an Acquire, or a Release once its seal is taken in.
type question struct {
	request  btid.Request
	ask      uint32
	claim    Claim
	content  btbundle.Digest
	executor btid.Executor
}

func (q question) grant(g *Grant) AcquireReply {
	return AcquireReply{Request: q.request, Ask: q.ask, Grant: g}
}

// unknown refuses without evidence.
func (q question) unknown(r btrequest.Reason, after time.Duration) AcquireReply {
	return AcquireReply{
		Request:    q.request,
		Ask:        q.ask,
		Outcome:    btrequest.Unknown,
		Reason:     r,
		RetryAfter: after,
	}
}

// notRun refuses on evidence, which stays true for as long as hold.
func (q question) notRun(r btrequest.Reason, hold time.Duration) AcquireReply {
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
	q := question{
		request:  a.Request,
		ask:      a.Ask,
		claim:    a.Claim,
		content:  a.Content,
		executor: a.Executor,
	}
	if a.Claim.Service != h.settings.Service {
		return []HomeEffect{q.unknown(NotHome, 0)}
	}
	if r, ok := h.records.get(q.claim); ok {
		return h.known(q, r)
	}
	if reply, refused := h.refuses(q); refused {
		return []HomeEffect{reply}
	}
	if _, timed := q.claim.Key.Time(); !timed && h.clock.wall.Sub(a.Accepted) > h.rules.Retention/untimedShare {
		return []HomeEffect{q.unknown(KeyExpired, 0)}
	}
	return h.first(q)
}

// refuses holds what every question must pass before its home may decide it.
func (h *Home) refuses(q question) (AcquireReply, bool) {
	if home, _ := HomeOf(h.current(), q.claim); home != h.settings.Self {
		reply := q.unknown(NotHome, h.rules.Lease)
		reply.Home = home
		return reply, true
	}
	if !h.lease.held {
		return q.unknown(LeaseMissing, h.rules.Lease), true
	}
	made, timed := q.claim.Key.Time()
	if !timed {
		return AcquireReply{}, false
	}
	if h.clock.wall.Sub(made) > h.rules.Retention {
		return q.unknown(KeyExpired, 0), true
	}
	ahead := made.Sub(h.clock.wall)
	if ahead > 2*h.rules.ClockError+h.settings.Hold {
		// No clock is so far ahead that its home could have granted the key, or
		// will before the hold is over.
		return q.notRun(KeyInFuture, h.settings.Hold), true
	}
	if ahead > h.rules.ClockError {
		return q.unknown(KeyInFuture, ahead), true
	}
	return AcquireReply{}, false
}

// known answers for a claim that has a record. An open grant is told with or
// without a lease: it is a fact, and running it is the executor's to refuse.
func (h *Home) known(q question, r *record) []HomeEffect {
	if q.content != r.content {
		return []HomeEffect{q.unknown(KeyReused, 0)}
	}
	if !r.released {
		return []HomeEffect{q.grant(r.grant(q.claim))}
	}
	if reply, refused := h.refuses(q); refused {
		return []HomeEffect{reply}
	}
	if r.moved {
		return h.prove(q)
	}
	if held := r.heldUntil.Sub(h.clock.now); held > 0 && q.executor.Incarnation != 0 {
		return []HomeEffect{q.notRun(Held, held)}
	}
	return []HomeEffect{h.decide(q, r)}
}

// decide grants a claim that is free, or holds it where there is nobody to
// grant it to.
func (h *Home) decide(q question, r *record) AcquireReply {
	if q.executor.Incarnation == 0 {
		r.heldUntil = h.clock.now.Add(h.settings.Hold)
		return q.notRun(NoExecutor, h.settings.Hold)
	}
	single := h.assert.That(r.released && !h.clock.now.Before(r.heldUntil), SingleGrant,
		"home %s: attempt %d of %s is open or held", h.settings.Self, r.attempt, q.claim.Key)
	if !single || !h.assertMajority() {
		return q.unknown(LeaseMissing, h.rules.Lease)
	}
	r.released = false
	r.attempt++
	r.executor = q.executor
	r.issuedAt = h.clock.wall
	r.notAfter = r.issuedAt.Add(h.rules.GrantLifetime)
	return q.grant(r.grant(q.claim))
}

// assertMajority counts the votes anew, apart from the lease's own reckoning.
func (h *Home) assertMajority() bool {
	holds := true
	for _, e := range h.lease.electorate {
		votes := 0
		for _, t := range e.voters {
			vote, ok := h.lease.votes[t]
			if ok && h.clock.now.Sub(vote.sentAt) < usable(h.rules.Lease) {
				votes++
			}
		}
		holds = h.assert.That(2*votes > len(e.voters), LeaseMajority,
			"home %s: %d of %d votes", h.settings.Self, votes, len(e.voters)) && holds
	}
	return holds
}

// release takes a seal in and grants the next attempt.
func (h *Home) release(m Release) []HomeEffect {
	q := question{
		request:  m.Request,
		ask:      m.Ask,
		claim:    m.Sealed.Claim,
		content:  m.Content,
		executor: m.Next,
	}
	if q.claim.Service != h.settings.Service {
		return []HomeEffect{q.unknown(NotHome, 0)}
	}
	if reply, refused := h.refuses(q); refused {
		return []HomeEffect{reply}
	}
	r, ok := h.records.get(q.claim)
	if !ok {
		return []HomeEffect{q.unknown(NoRecord, 0)}
	}
	if !r.released && m.Sealed.matches(*r.grant(q.claim)) {
		r.released = true
	}
	if !r.released && m.Sealed.Attempt >= r.attempt {
		return []HomeEffect{q.unknown(SealMismatch, 0)}
	}
	return h.known(q, r)
}

// first decides a claim that this home has no record of.
func (h *Home) first(q question) []HomeEffect {
	if h.clock.now.Before(h.closedUntil) || h.records.full() {
		return []HomeEffect{h.full(q)}
	}
	if !h.youngerThan(q.claim, h.forgotten) {
		return []HomeEffect{q.unknown(HistoryLost, 0)}
	}
	if h.youngerThan(q.claim, h.lease.since) {
		return []HomeEffect{h.decide(q, h.newRecord(q))}
	}
	return h.prove(q)
}

// prove looks for evidence where neither a record nor the key's youth decides.
func (h *Home) prove(q question) []HomeEffect {
	if !h.remembers(q.claim) {
		return []HomeEffect{q.unknown(HistoryLost, h.historyReturns())}
	}
	return h.inquire(q)
}

// remembers tells whether neither an earlier incarnation of this home nor a
// home of an epoch that its bundle doesn't list can have granted the claim.
func (h *Home) remembers(c Claim) bool {
	return h.youngerThan(c, h.since) && h.youngerThan(c, h.lease.exclusiveSince(&h.clock))
}

// full refuses for want of memory. The promise not to grant takes none: for a
// while no unseen claim is granted at all.
func (h *Home) full(q question) AcquireReply {
	if !h.youngerThan(q.claim, h.lease.since) || !h.youngerThan(q.claim, h.forgotten) {
		return q.unknown(RecordsFull, h.settings.Hold)
	}
	h.closedUntil = h.clock.now.Add(h.settings.Hold)
	return q.notRun(RecordsFull, h.settings.Hold)
}

// youngerThan tells whether no clock's home can have granted the claim before
// the instant. Homes refuse keys made later than their clock plus the clock
// error, and their clock differs from this one by as much again. A key without
// a time may be as old as the retention, in which its caller may use it.
func (h *Home) youngerThan(c Claim, instant time.Time) bool {
	made, timed := c.Key.Time()
	if !timed {
		made = h.clock.wall.Add(-h.rules.Retention)
	}
	return made.Sub(instant) > 2*h.rules.ClockError
}

// historyReturns is when a key made now will be younger than the lease.
func (h *Home) historyReturns() time.Duration {
	return max(0, h.lease.since.Add(3*h.rules.ClockError).Sub(h.clock.wall))
}

func (h *Home) newRecord(q question) *record {
	r := &record{content: q.content, released: true}
	h.records.add(h.clock.wall, q.claim, r)
	return r
}
