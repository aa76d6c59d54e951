package btclaim_test

import (
	"time"

	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// naiveHome decides by its hash only: it grants any key without a record. With replies it
// caches the replies of earlier homes, "I no longer grant in this range", and grants only
// keys newer than its start and than these replies.
type naiveHome struct {
	self    btid.Target
	rules   btclaim.Rules
	replies map[btid.Target]time.Time
	since   time.Time
	records map[btclaim.Claim]*btclaim.Grant
}

func naiveHashHome(_ *cluster, a *agent, r btclaim.Rules) homeMachine {
	return &naiveHome{self: a.target, rules: r, records: make(map[btclaim.Claim]*btclaim.Grant)}
}

func naiveReplyHome(cl *cluster, a *agent, r btclaim.Rules) homeMachine {
	h := naiveHashHome(cl, a, r).(*naiveHome)
	h.replies = make(map[btid.Target]time.Time)
	h.since = a.localTime()
	return h
}

func (n *naiveHome) homeOf(c btclaim.Claim) btid.Target {
	home, _ := btclaim.HomeOf(n.rules.Epochs[len(n.rules.Epochs)-1], c)
	return home
}

func (n *naiveHome) Step(now time.Time, e btclaim.HomeEvent) []btclaim.HomeEffect {
	switch m := e.(type) {
	case btclaim.RulesChanged:
		n.rules = m.Rules
	case btclaim.Lookup:
		if n.homeOf(m.Claim) != n.self {
			reply := btclaim.LookupReply{From: n.self, To: m.From, Claim: m.Claim, Since: n.since}
			return []btclaim.HomeEffect{reply}
		}
	case btclaim.LookupReply:
		n.replies[m.From] = now
	case btclaim.Acquire:
		return n.acquire(now, m)
	case btclaim.Release:
		g := n.records[m.Sealed.Claim]
		if g != nil && g.Attempt == m.Sealed.Attempt && m.Next.Incarnation != 0 {
			n.records[m.Sealed.Claim] = n.grant(now, m.Sealed.Claim, m.Next, g.Attempt+1)
		}
		if g := n.records[m.Sealed.Claim]; g != nil {
			return []btclaim.HomeEffect{btclaim.AcquireReply{Request: m.Request, Ask: m.Ask, Grant: g}}
		}
	}
	return nil
}

func (n *naiveHome) acquire(now time.Time, m btclaim.Acquire) []btclaim.HomeEffect {
	reply := btclaim.AcquireReply{Request: m.Request, Ask: m.Ask, Outcome: btrequest.Unknown, Reason: btclaim.NotHome}
	var asks []btclaim.HomeEffect
	if n.replies != nil {
		asks = n.missingLookups(m.Claim)
	}
	g := n.records[m.Claim]
	if g == nil && n.homeOf(m.Claim) == n.self && m.Executor.Incarnation != 0 && len(asks) == 0 && n.provablyNew(now, m.Claim) {
		g = n.grant(now, m.Claim, m.Executor, 1)
		n.records[m.Claim] = g
	}
	reply.Grant = g
	return append(asks, reply)
}

func (n *naiveHome) grant(now time.Time, c btclaim.Claim, e btid.Executor, attempt uint32) *btclaim.Grant {
	return &btclaim.Grant{
		Claim:    c,
		Executor: e,
		Attempt:  attempt,
		IssuedAt: now,
		NotAfter: now.Add(n.rules.GrantLifetime),
	}
}

func (n *naiveHome) missingLookups(c btclaim.Claim) []btclaim.HomeEffect {
	var asks []btclaim.HomeEffect
	for _, e := range n.rules.Epochs {
		home, _ := btclaim.HomeOf(e, c)
		if _, ok := n.replies[home]; !ok && home != n.self {
			asks = append(asks, btclaim.Lookup{From: n.self, To: home, Claim: c})
		}
	}
	return asks
}

func (n *naiveHome) provablyNew(now time.Time, c btclaim.Claim) bool {
	if n.replies == nil {
		return true
	}
	made, timed := c.Key.Time()
	margin := 2 * n.rules.ClockError
	if !timed || made.Sub(now) > n.rules.ClockError || made.Sub(n.since) <= margin {
		return false
	}
	for _, e := range n.rules.Epochs {
		home, _ := btclaim.HomeOf(e, c)
		if home != n.self && made.Sub(n.replies[home]) <= margin {
			return false
		}
	}
	return true
}
