package btbundle_test

import (
	"time"

	"bilberrytide/core/btbundle"
)

// naive verifies what it is offered, but puts it in force by a simpler rule.
type naive struct {
	current  *btbundle.Approved
	verified map[string]*btbundle.Approved
	accepts  func(current, offered *btbundle.Approved, source btbundle.Source) bool
}

// believesService takes whatever the configuration service holds.
func believesService(current, offered *btbundle.Approved, source btbundle.Source) bool {
	return source.FromService() || offered.Revision().Version > current.Revision().Version
}

// versionOnly takes a higher version, and keeps the first of two equal ones.
func versionOnly(current, offered *btbundle.Approved, _ btbundle.Source) bool {
	return offered.Revision().Version > current.Revision().Version
}

func (n *naive) InForce() *btbundle.Approved { return n.current }

func (n *naive) Step(_ time.Time, event btbundle.RegisterEvent) []btbundle.RegisterEffect {
	switch e := event.(type) {
	case btbundle.Announced:
		if e.Version > n.current.Revision().Version {
			return []btbundle.RegisterEffect{btbundle.Fetch{From: e.From, Version: e.Version, Digest: e.Digest}}
		}
	case btbundle.Received:
		return n.offered(e)
	}
	return nil
}

func (n *naive) offered(e btbundle.Received) []btbundle.RegisterEffect {
	approved := n.verify(e.Raw)
	if approved == nil || approved.Digest == n.current.Revision().Digest || !n.accepts(n.current, approved, e.Source) {
		return nil
	}
	effect := btbundle.InForce{Approved: approved, Previous: n.current, Source: e.Source}
	n.current = approved
	return []btbundle.RegisterEffect{effect}
}

// verify returns nil for bytes that nobody approved; it keeps its answers.
func (n *naive) verify(raw []byte) *btbundle.Approved {
	if approved, ok := n.verified[string(raw)]; ok {
		return approved
	}
	parsed, _ := btbundle.ParseSigned(raw)
	approved, err := approvers(keyPair(0)).Verify(parsed)
	if err != nil {
		approved = nil
	}
	n.verified[string(raw)] = approved
	return approved
}
