package btbundle_test

import (
	"time"

	"bilberrytide/core/btbundle"
)

// naive verifies the files that it receives like a register, but installs them
// by a simpler rule. The tests use it to show what such a rule breaks.
type naive struct {
	current  *btbundle.Approved
	verified map[string]*btbundle.Approved
	accepts  func(current, offered *btbundle.Approved, source btbundle.Source) bool
}

// trustService accepts whatever the configuration service holds, and higher
// versions from peers.
func trustService(current, offered *btbundle.Approved, source btbundle.Source) bool {
	return source.FromService() || offered.Revision().Version > current.Revision().Version
}

// compareVersions accepts a higher version and keeps the first of two equal
// ones.
func compareVersions(current, offered *btbundle.Approved, _ btbundle.Source) bool {
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

// verify returns nil for files that are not approved. It caches its results.
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
