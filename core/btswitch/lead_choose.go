package btswitch

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"bilberrytide/core/btbundle"
)

// chooseMap selects the round's map once all ranks have promised. Any choice is
// safe, since every rank is held before any continues; the preference is for the
// cheapest.
func (l *Lead) chooseMap() {
	r := l.round
	l.assertUnheldSingleMap()
	if l.runsOneMap() {
		r.groupRunning = true
		l.chooseProposal()
		return
	}
	l.recoveryNeeded = true
	for _, digest := range l.recoveryMaps() {
		encoded := l.knownMaps[digest]
		if l.usable(encoded) {
			l.stageMap(digest, encoded)
			return
		}
	}
	r.reason = ReasonNoMap
	l.effects = append(l.effects, MapNeeded{Group: r.members.Group})
	l.endRound(Aborted)
}

// runsOneMap reports whether no rank is held and all have the same agreed map of
// the present members in force.
func (l *Lead) runsOneMap() bool {
	for _, k := range l.round.ranks {
		if k.state.Held || k.state.InForce.Members != l.round.members.Digest {
			return false
		}
	}
	return l.round.sameInForce()
}

// chooseProposal selects the proposed map for a running group. It ends the round
// if there is no proposal, it is in force already or it is invalid.
func (l *Lead) chooseProposal() {
	r := l.round
	r.mapDigest = r.ranks[0].state.InForce.Map
	if l.proposal == nil {
		l.endRound(Unneeded)
		return
	}
	digest := btbundle.DigestOf(l.proposal.Map)
	r.proposal = l.proposal
	if digest == r.mapDigest {
		l.endRound(Unneeded)
		return
	}
	r.mapDigest = digest
	if !l.usable(l.proposal.Map) {
		r.reason = ReasonMap
		l.endRound(Aborted)
		return
	}
	l.stageMap(digest, l.proposal.Map)
}

// stageMap starts the round's first phase with the map.
func (l *Lead) stageMap(digest btbundle.Digest, encoded []byte) {
	r := l.round
	r.mapDigest = digest
	r.encodedMap = encoded
	if l.proposal != nil && btbundle.DigestOf(l.proposal.Map) == digest {
		r.proposal = l.proposal
	}
	if l.variant.releaseOnPromise && r.sameInForce() && r.proposal == nil {
		r.aborting = true
	}
	l.startPhase(0)
}

func (l *Lead) usable(encoded []byte) bool {
	if len(encoded) == 0 || len(encoded) > MaxMapBytes {
		return false
	}
	return l.check == nil || l.check(l.round.members, encoded) == nil
}

// recoveryMaps lists the candidate maps for a group that can't step, best first:
// maps that ranks still run on, maps that earlier rounds put in force, the
// proposal, and last the engines' initial maps.
func (l *Lead) recoveryMaps() []btbundle.Digest {
	var list []btbundle.Digest
	list = append(list, l.mapsInForce(func(s EngineState) bool { return !s.Held && s.InForce.Agreed() })...)
	list = append(list, l.mapsInForce(func(s EngineState) bool { return s.InForce.Agreed() })...)
	if l.proposal != nil {
		digest := btbundle.DigestOf(l.proposal.Map)
		l.knownMaps[digest] = l.proposal.Map
		list = append(list, digest)
	}
	return append(list, l.mapsInForce(func(EngineState) bool { return true })...)
}

// mapsInForce lists the maps in force at the matching ranks, most common first.
func (l *Lead) mapsInForce(match func(EngineState) bool) []btbundle.Digest {
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

// assertUnheldSingleMap asserts that all ranks that may step have the same map in
// force.
func (l *Lead) assertUnheldSingleMap() {
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
