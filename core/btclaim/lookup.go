package btclaim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// inquiry collects the answers of a claim's earlier homes. They hold only
// within the lease term in which they were asked for: until its end no earlier
// home can grant, so that "never granted" stays true.
type inquiry struct {
	term    uint64
	number  uint64
	until   time.Time
	replies map[btid.Target]*LookupReply
	waiting []question
}

// earlierHomes returns the claim's other homes in all listed epochs, in order.
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

// inquire asks the earlier homes, once for all who wait for the same claim.
func (h *Home) inquire(q question) []HomeEffect {
	if h.waiting >= h.settings.MaxWaiting {
		return []HomeEffect{q.unknown(WaitingFull, h.settings.LookupTimeout)}
	}
	homes := h.earlierHomes(q.claim)
	if len(homes) == 0 {
		return h.decideAlone(q)
	}
	h.waiting++
	if i, ok := h.inquiries[q.claim]; ok {
		i.waiting = append(i.waiting, q)
		return nil
	}
	return h.ask(q, homes)
}

// decideAlone decides a claim of which this home is the only one listed. If it
// moved, it moved to a home of an epoch that isn't listed.
func (h *Home) decideAlone(q question) []HomeEffect {
	if _, ok := h.records.get(q.claim); ok {
		return []HomeEffect{q.unknown(HistoryLost, 0)}
	}
	return []HomeEffect{h.decide(q, h.newRecord(q))}
}

func (h *Home) ask(q question, homes []btid.Target) []HomeEffect {
	h.lookups++
	i := &inquiry{
		term:    h.lease.term,
		number:  h.lookups,
		until:   h.clock.now.Add(h.settings.LookupTimeout),
		replies: make(map[btid.Target]*LookupReply),
		waiting: []question{q},
	}
	h.inquiries[q.claim] = i
	var effects []HomeEffect
	for _, t := range homes {
		i.replies[t] = nil
		effects = append(effects, Lookup{
			From:        h.settings.Self,
			To:          t,
			Claim:       q.claim,
			Number:      i.number,
			Incarnation: h.settings.Incarnation,
		})
	}
	return effects
}

// answerLookup tells the claim's next home what this incarnation of the home
// knows. A home that holds the lease for the claim is asked by a home whose own
// lease is over, and owes it nothing.
func (h *Home) answerLookup(l Lookup) []HomeEffect {
	if l.To != h.settings.Self || l.Claim.Service != h.settings.Service {
		return nil
	}
	if home, _ := HomeOf(h.current(), l.Claim); home == h.settings.Self && h.lease.held {
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
	if h.forgotten.After(h.since) {
		reply.Since = h.forgotten
	}
	r, ok := h.records.get(l.Claim)
	if !ok {
		reply.Hold = h.remaining(h.closedUntil)
		return []HomeEffect{reply}
	}
	r.moved = true
	reply.Hold = h.remaining(r.heldUntil)
	reply.Record = r.tell(l.Claim)
	return []HomeEffect{reply}
}

func (r *record) tell(c Claim) *Record {
	told := &Record{Content: r.content, Released: r.released}
	if r.attempt > 0 {
		told.Grant = r.grant(c)
	}
	return told
}

func (h *Home) remaining(until time.Time) time.Duration {
	return min(max(0, until.Sub(h.clock.now)), maxHold)
}

func (h *Home) takeLookup(l LookupReply) []HomeEffect {
	if l.To != h.settings.Self || l.Incarnation != h.settings.Incarnation {
		return nil
	}
	i, ok := h.inquiries[l.Claim]
	if !ok || i.number != l.Number {
		return nil
	}
	if _, asked := i.replies[l.From]; !asked {
		return nil
	}
	i.replies[l.From] = &l
	for _, r := range i.replies {
		if r == nil {
			return nil
		}
	}
	return h.conclude(l.Claim, i)
}

// conclude decides once all earlier homes have spoken.
func (h *Home) conclude(c Claim, i *inquiry) []HomeEffect {
	h.remove(c, i)
	reason := h.evidence(c, i)
	var effects []HomeEffect
	for _, q := range i.waiting {
		effects = append(effects, h.answerWaiting(q, reason)...)
	}
	return effects
}

// evidence checks that the answers cover every earlier holder and takes over
// what they remember. It returns why not, or no reason.
func (h *Home) evidence(c Claim, i *inquiry) btrequest.Reason {
	if !h.lease.held || h.lease.term != i.term {
		return LeaseMissing
	}
	if !h.remembers(c) {
		return HistoryLost
	}
	for _, r := range i.replies {
		complete := h.youngerThan(c, r.Since) && r.Retention >= h.rules.Retention
		if r.Record == nil && !complete {
			return HistoryLost
		}
	}
	return h.adopt(c, i)
}

// adopt takes over the newest record, an earlier home's or its own, and every
// promise to hold the claim.
func (h *Home) adopt(c Claim, i *inquiry) btrequest.Reason {
	var hold time.Duration
	var newest *Record
	own, known := h.records.get(c)
	if known {
		hold = h.remaining(own.heldUntil)
		newest = own.tell(c)
	}
	for _, t := range slices.Sorted(maps.Keys(i.replies)) {
		reply := i.replies[t]
		hold = max(hold, reply.Hold)
		if reply.Record.newerThan(newest) {
			newest = reply.Record
		}
	}
	switch {
	case newest == nil && hold > 0:
		return Held
	case known:
		*own = newest.restore(h.clock.now.Add(hold))
	case h.records.full():
		return RecordsFull
	case newest != nil:
		r := newest.restore(h.clock.now.Add(hold))
		h.records.add(h.clock.wall, c, &r)
	}
	return ""
}

// newerThan orders records by attempt, a released one after the open one.
func (r *Record) newerThan(other *Record) bool {
	if r == nil || other == nil {
		return r != nil
	}
	if r.attempt() != other.attempt() {
		return r.attempt() > other.attempt()
	}
	return r.Released && !other.Released
}

func (r *Record) restore(heldUntil time.Time) record {
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

// answerWaiting answers one who waited, by the record if there is one by now.
func (h *Home) answerWaiting(q question, reason btrequest.Reason) []HomeEffect {
	if reason != "" {
		return []HomeEffect{q.unknown(reason, h.rules.Lease)}
	}
	if r, ok := h.records.get(q.claim); ok {
		return h.known(q, r)
	}
	if reply, refused := h.refuses(q); refused {
		return []HomeEffect{reply}
	}
	return []HomeEffect{h.decide(q, h.newRecord(q))}
}

// giveUpWaiting refuses those whose earlier homes stay silent.
func (h *Home) giveUpWaiting() []HomeEffect {
	var late []Claim
	for c, i := range h.inquiries {
		if !h.clock.now.Before(i.until) {
			late = append(late, c)
		}
	}
	return h.refuseWaiting(late, EarlierHomeSilent)
}

// dropInquiries refuses all who wait: what was asked under other rules proves
// nothing now.
func (h *Home) dropInquiries() []HomeEffect {
	return h.refuseWaiting(slices.Collect(maps.Keys(h.inquiries)), LeaseMissing)
}

func (h *Home) refuseWaiting(claims []Claim, reason btrequest.Reason) []HomeEffect {
	slices.SortFunc(claims, func(a, b Claim) int {
		return cmp.Compare(h.inquiries[a].number, h.inquiries[b].number)
	})
	var effects []HomeEffect
	for _, c := range claims {
		i := h.inquiries[c]
		h.remove(c, i)
		for _, q := range i.waiting {
			effects = append(effects, q.unknown(reason, h.rules.Lease))
		}
	}
	return effects
}

func (h *Home) remove(c Claim, i *inquiry) {
	delete(h.inquiries, c)
	h.waiting -= len(i.waiting)
}
