package btswitch

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"bilberrytide/core/btbundle"
)

// choose decides, once all ranks have promised, which map the round brings them
// to. The choice is free as far as safety goes, since every rank is held before
// any goes on; it prefers what costs least.
func (l *Lead) choose() {
	r := l.round
	l.checkUnheld()
	if l.settled() {
		r.running = true
		l.chooseProposal()
		return
	}
	l.idle = true
	for _, digest := range l.candidates() {
		encoded := l.maps[digest]
		if l.usable(encoded) {
			l.take(digest, encoded)
			return
		}
	}
	r.reason = ReasonNoMap
	l.out = append(l.out, MapNeeded{Group: r.members.Group})
	l.end(Aborted)
}

// settled tells whether every rank runs on one agreed map.
func (l *Lead) settled() bool {
	for _, k := range l.round.ranks {
		if k.state.Held || k.state.InForce.Members != l.round.members.Digest {
			return false
		}
	}
	return l.round.sameInForce()
}

// chooseProposal brings a running group to the proposed map, if there is one.
func (l *Lead) chooseProposal() {
	r := l.round
	r.digest = r.ranks[0].state.InForce.Map
	if l.proposal == nil {
		l.end(Unneeded)
		return
	}
	digest := btbundle.DigestOf(l.proposal.Map)
	r.proposal = l.proposal
	if digest == r.digest {
		l.end(Unneeded)
		return
	}
	r.digest = digest
	if !l.usable(l.proposal.Map) {
		r.reason = ReasonMap
		l.end(Aborted)
		return
	}
	l.take(digest, l.proposal.Map)
}

// take starts staging the map.
func (l *Lead) take(digest btbundle.Digest, encoded []byte) {
	r := l.round
	r.digest = digest
	r.encoded = encoded
	if l.proposal != nil && btbundle.DigestOf(l.proposal.Map) == digest {
		r.proposal = l.proposal
	}
	if l.variant.releaseOnPromise && r.sameInForce() && r.proposal == nil {
		r.aborting = true
	}
	l.enter(0)
}

func (l *Lead) usable(encoded []byte) bool {
	if len(encoded) == 0 || len(encoded) > MaxMapBytes {
		return false
	}
	return l.check == nil || l.check(l.round.members, encoded) == nil
}

// candidates lists the maps for a group that is held, best first: the one that
// ranks still run on, those that rounds put in force, the proposal, and last the
// engines' own initial ones.
func (l *Lead) candidates() []btbundle.Digest {
	var list []btbundle.Digest
	list = append(list, l.inForce(func(s EngineState) bool { return !s.Held && s.InForce.Agreed() })...)
	list = append(list, l.inForce(func(s EngineState) bool { return s.InForce.Agreed() })...)
	if l.proposal != nil {
		digest := btbundle.DigestOf(l.proposal.Map)
		l.maps[digest] = l.proposal.Map
		list = append(list, digest)
	}
	return append(list, l.inForce(func(EngineState) bool { return true })...)
}

// inForce lists the maps in force at the matching ranks, the commonest first.
func (l *Lead) inForce(match func(EngineState) bool) []btbundle.Digest {
	counts := make(map[btbundle.Digest]int)
	for _, k := range l.round.ranks {
		if match(k.state) && !k.state.InForce.IsZero() {
			counts[k.state.InForce.Map]++
		}
	}
	list := sortedDigests(counts)
	slices.SortStableFunc(list, func(a, b btbundle.Digest) int { return cmp.Compare(counts[b], counts[a]) })
	return list
}

// checkUnheld asserts that the ranks that may step have one map in force.
func (l *Lead) checkUnheld() {
	r := l.round
	var first *Version
	for i, k := range r.ranks {
		running := !k.state.Held && k.state.InForce.Members == r.members.Digest
		if !running {
			continue
		}
		if first == nil {
			first = &r.ranks[i].state.InForce
		}
		l.assert.That(k.state.InForce.SameMap(*first), UnheldSingleMap,
			"%v: %s runs on %s, another on %s", r.ballot, r.members.Ranks[i], k.state.InForce.Map, first.Map)
	}
}

func sortedDigests[V any](m map[btbundle.Digest]V) []btbundle.Digest {
	return slices.SortedFunc(maps.Keys(m), func(a, b btbundle.Digest) int { return bytes.Compare(a[:], b[:]) })
}
