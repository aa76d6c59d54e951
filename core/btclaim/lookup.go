package btclaim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// pendingLookup collects the answers of a claim's earlier homes. The answers hold
// only within the lease term in which they were requested: until it ends no earlier
// home can grant, so "never granted" stays true.
type pendingLookup struct {
	term    uint64
	number  uint64
	until   time.Time
	replies map[btid.Target]*LookupReply
	waiting []query
}

// earlierHomes returns the claim's other homes in all listed epochs, sorted.
func (h *Home) earlierHomes(c Claim) []btid.Target {
	var homes []btid.Target
	for _, e := range h.rules.Epochs {
		home, _ := HomeOf(e, c)
		if home != h.settings.Self {
			homes = append(homes, home)
		}
	}
	slices.Sort(homes)
	return slices.Compact(homes)
}

// lookUp asks the earlier homes, once for all queries that wait for the same claim.
func (h *Home) lookUp(q query) []HomeEffect {
	if h.waiting >= h.settings.MaxWaiting {
		return []HomeEffect{q.unknownReply(WaitingFull, h.settings.LookupTimeout)}
	}
	homes := h.earlierHomes(q.claim)
	if len(homes) == 0 {
		return h.decideWithoutLookup(q)
	}
	h.waiting++
	if p, ok := h.pendingLookups[q.claim]; ok {
		p.waiting = append(p.waiting, q)
		return nil
	}
	return h.sendLookups(q, homes)
}

// decideWithoutLookup decides a claim for which no other home is listed. A record of
// it can only have been transferred to a home of an epoch that is no longer listed.
func (h *Home) decideWithoutLookup(q query) []HomeEffect {
	if _, ok := h.records.get(q.claim); ok {
		return []HomeEffect{q.unknownReply(HistoryLost, 0)}
	}
	return []HomeEffect{h.grantOrHold(q, h.newRecord(q))}
}

func (h *Home) sendLookups(q query, homes []btid.Target) []HomeEffect {
	h.lastLookup++
	p := &pendingLookup{
		term:    h.lease.term,
		number:  h.lastLookup,
		until:   h.clock.now.Add(h.settings.LookupTimeout),
		replies: make(map[btid.Target]*LookupReply),
		waiting: []query{q},
	}
	h.pendingLookups[q.claim] = p
	var effects []HomeEffect
	for _, t := range homes {
		p.replies[t] = nil
		effects = append(effects, Lookup{
			From:        h.settings.Self,
			To:          t,
			Claim:       q.claim,
			Number:      p.number,
			Incarnation: h.settings.Incarnation,
		})
	}
	return effects
}

// answerLookup sends the claim's next home the record of this incarnation. A home that
// holds the lease for the claim ignores the lookup: the sender's own lease must have
// expired.
func (h *Home) answerLookup(l Lookup) []HomeEffect {
	if l.To != h.settings.Self || l.Claim.Service != h.settings.Service {
		return nil
	}
	if home, _ := HomeOf(h.currentEpoch(), l.Claim); home == h.settings.Self && h.lease.held {
		return nil
	}
	reply := LookupReply{
		From:        h.settings.Self,
		To:          l.From,
		Claim:       l.Claim,
		Number:      l.Number,
		Incarnation: l.Incarnation,
		Since:       h.since,
		Retention:   h.rules.Retention,
	}
	if h.expiredBefore.After(h.since) {
		reply.Since = h.expiredBefore
	}
	r, ok := h.records.get(l.Claim)
	if !ok {
		reply.Hold = h.remainingHold(h.newClaimsRefusedUntil)
		return []HomeEffect{reply}
	}
	r.transferred = true
	reply.Hold = h.remainingHold(r.heldUntil)
	reply.Record = r.export(l.Claim)
	return []HomeEffect{reply}
}

func (r *record) export(c Claim) *Record {
	exported := &Record{Content: r.content, Released: r.released}
	if r.attempt > 0 {
		exported.Grant = r.grant(c)
	}
	return exported
}

func (h *Home) remainingHold(until time.Time) time.Duration {
	return min(max(0, until.Sub(h.clock.now)), maxHold)
}

func (h *Home) handleLookupReply(l LookupReply) []HomeEffect {
	if l.To != h.settings.Self || l.Incarnation != h.settings.Incarnation {
		return nil
	}
	p, ok := h.pendingLookups[l.Claim]
	if !ok || p.number != l.Number {
		return nil
	}
	if _, asked := p.replies[l.From]; !asked {
		return nil
	}
	p.replies[l.From] = &l
	for _, r := range p.replies {
		if r == nil {
			return nil
		}
	}
	return h.finishLookup(l.Claim, p)
}

// finishLookup answers the waiting queries once all earlier homes have answered.
func (h *Home) finishLookup(c Claim, p *pendingLookup) []HomeEffect {
	h.removeLookup(c, p)
	reason := h.checkReplies(c, p)
	var effects []HomeEffect
	for _, q := range p.waiting {
		effects = append(effects, h.replyWaiting(q, reason)...)
	}
	return effects
}

// checkReplies checks that the replies cover every earlier lease holder and merges
// their records. It returns the reason if it can't, or "".
func (h *Home) checkReplies(c Claim, p *pendingLookup) btrequest.Reason {
	if !h.lease.held || h.lease.term != p.term {
		return LeaseMissing
	}
	if !h.historyComplete(c) {
		return HistoryLost
	}
	for _, r := range p.replies {
		complete := h.ungrantedBefore(c, r.Since) && r.Retention >= h.rules.Retention
		if r.Record == nil && !complete {
			return HistoryLost
		}
	}
	return h.mergeRecords(c, p)
}

// mergeRecords stores the newest record, an earlier home's or its own, with the
// longest hold of any of them. A hold without a record can't be stored and refuses
// the claim.
func (h *Home) mergeRecords(c Claim, p *pendingLookup) btrequest.Reason {
	var hold time.Duration
	var newest *Record
	own, known := h.records.get(c)
	if known {
		hold = h.remainingHold(own.heldUntil)
		newest = own.export(c)
	}
	for _, t := range slices.Sorted(maps.Keys(p.replies)) {
		reply := p.replies[t]
		hold = max(hold, reply.Hold)
		if reply.Record.newerThan(newest) {
			newest = reply.Record
		}
	}
	switch {
	case newest == nil && hold > 0:
		return Held
	case known:
		*own = newest.toRecord(h.clock.now.Add(hold))
	case h.records.full():
		return RecordsFull
	case newest != nil:
		r := newest.toRecord(h.clock.now.Add(hold))
		h.records.add(h.clock.wall, c, &r)
	}
	return ""
}

// newerThan orders records by attempt; for the same attempt a released record is
// newer than an open one.
func (r *Record) newerThan(other *Record) bool {
	if r == nil || other == nil {
		return r != nil
	}
	if r.attempt() != other.attempt() {
		return r.attempt() > other.attempt()
	}
	return r.Released && !other.Released
}

func (r *Record) toRecord(heldUntil time.Time) record {
	restored := record{content: r.Content, released: r.Released, heldUntil: heldUntil}
	if g := r.Grant; g != nil {
		restored.attempt = g.Attempt
		restored.executor = g.Executor
		restored.issuedAt = g.IssuedAt
		restored.notAfter = g.NotAfter
	}
	return restored
}

func (r *Record) attempt() uint32 {
	if r.Grant == nil {
		return 0
	}
	return r.Grant.Attempt
}

// replyWaiting answers a query after its lookup, from the record if there is one by
// now.
func (h *Home) replyWaiting(q query, reason btrequest.Reason) []HomeEffect {
	if reason != "" {
		return []HomeEffect{q.unknownReply(reason, h.rules.Lease)}
	}
	if r, ok := h.records.get(q.claim); ok {
		return h.replyKnown(q, r)
	}
	if reply, refused := h.precheck(q); refused {
		return []HomeEffect{reply}
	}
	return []HomeEffect{h.grantOrHold(q, h.newRecord(q))}
}

// expireLookups refuses the queries whose earlier homes didn't answer in time.
func (h *Home) expireLookups() []HomeEffect {
	var late []Claim
	for c, p := range h.pendingLookups {
		if !h.clock.now.Before(p.until) {
			late = append(late, c)
		}
	}
	return h.refuseLookups(late, EarlierHomeUnresponsive)
}

// cancelLookups refuses all waiting queries: replies requested under other rules
// prove nothing.
func (h *Home) cancelLookups() []HomeEffect {
	return h.refuseLookups(slices.Collect(maps.Keys(h.pendingLookups)), LeaseMissing)
}

func (h *Home) refuseLookups(claims []Claim, reason btrequest.Reason) []HomeEffect {
	slices.SortFunc(claims, func(a, b Claim) int {
		return cmp.Compare(h.pendingLookups[a].number, h.pendingLookups[b].number)
	})
	var effects []HomeEffect
	for _, c := range claims {
		p := h.pendingLookups[c]
		h.removeLookup(c, p)
		for _, q := range p.waiting {
			effects = append(effects, q.unknownReply(reason, h.rules.Lease))
		}
	}
	return effects
}

func (h *Home) removeLookup(c Claim, p *pendingLookup) {
	delete(h.pendingLookups, c)
	h.waiting -= len(p.waiting)
}
