// Package btrelay chooses the agents through which the members of a large lock-step
// group reach its lead, so that no host communicates with every other one.
//
// The members are sorted by address and split into blocks of about the square root of
// their number. A member reports to its block's relay, the first responsive member
// of the block. A relay forwards the collected reports in one message to the lead, the
// first responsive one of all members, and forwards the lead's commands to its block. So
// the number of peers of each host is about the square root of the group size. A small
// group is one block, whose relay is the lead.
//
// Relays are soft state: every member applies the same rule to the same list, and a
// relay holds no state that the next reports don't restore. Two members may briefly
// choose different relays; both then forward what they receive.
package btrelay

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// MaxSingleBlock is the largest group whose members report to the lead directly. A
	// relay adds a report interval of delay but reduces the interval between counts, which
	// grows with the members that report to one agent: in larger groups maps would follow
	// the demand later.
	MaxSingleBlock = 16
	// MissLimit is the number of consecutive reports a relay or lead may leave
	// unanswered before it is skipped.
	MissLimit = 2
	// SkipDuration is how long an unresponsive relay or lead is skipped.
	SkipDuration = 3 * time.Second
)

const (
	// minReportInterval is the shortest interval at which a member reports and a relay
	// forwards.
	minReportInterval = 150 * time.Millisecond
	// maxReportsPerSecond bounds the reports a relay receives, a twentieth of a core's
	// work. maxStatesPerSecond bounds the states a lead receives, about 80 B each: a
	// fifth of a link of 6 Mbit/s.
	maxReportsPerSecond = 250
	maxStatesPerSecond  = 2000
	// maxCountsPerSecond bounds the counts of expert activations that one host receives
	// from all senders, at a byte each: between a fourth and a fifth of a link of 6 or
	// 8 Mbit/s.
	maxCountsPerSecond = 200_000
)

// ReportInterval returns the interval between reports of each member of a block of the
// given size.
func ReportInterval(block int) time.Duration {
	return max(minReportInterval, time.Duration(block)*time.Second/maxReportsPerSecond)
}

// ForwardInterval returns the interval at which the relays of a group of the given size
// forward reports.
func ForwardInterval(members int) time.Duration {
	return max(minReportInterval, time.Duration(members)*time.Second/maxStatesPerSecond)
}

// CountsInterval returns the interval at which each of the given number of senders
// sends that many counts.
func CountsInterval(senders, counts int) time.Duration {
	return time.Duration(senders*counts) * time.Second / maxCountsPerSecond
}

// BlockSize returns the number of members in a block. With the square root of the group
// size, a relay and the lead receive equally many messages.
func BlockSize(members int) int {
	if members <= MaxSingleBlock {
		return members
	}
	return int(math.Ceil(math.Sqrt(float64(members))))
}

// Blocks returns the number of blocks of a group.
func Blocks(members int) int {
	if members == 0 {
		return 0
	}
	size := BlockSize(members)
	return (members + size - 1) / size
}

// Tree chooses the relay and the lead for one member. It is not safe for concurrent
// use.
type Tree struct {
	self    netip.AddrPort
	members []netip.AddrPort
	// misses counts consecutive unanswered messages; skippedUntil is the time until
	// which a member is skipped.
	misses       map[netip.AddrPort]int
	skippedUntil map[netip.AddrPort]time.Time
}

// New returns the tree as seen by the member at the address, without members.
func New(self netip.AddrPort) *Tree {
	return &Tree{self: self, misses: make(map[netip.AddrPort]int), skippedUntil: make(map[netip.AddrPort]time.Time)}
}

// SetMembers replaces the list of the group's members.
func (t *Tree) SetMembers(members []netip.AddrPort) {
	t.members = slices.Clone(members)
	slices.SortFunc(t.members, netip.AddrPort.Compare)
	t.members = slices.Compact(t.members)
}

// Lead returns the group's lead; false while no members are known. A member without a
// list has no lead: after a simultaneous start, each of 16 agents would otherwise act as
// the lead for a second, and they would preempt each other's rounds.
func (t *Tree) Lead(now time.Time) (netip.AddrPort, bool) {
	return t.firstAvailable(now, t.members)
}

// Relay returns the member to report to; false while no members are known. The lead
// isn't a relay if its block has another member, as it already receives the reports of
// all other blocks. By encoded bytes the lead of a group of 192 receives 408 KB/s, and
// would receive 646 KB/s with the reports and counts of its block.
func (t *Tree) Relay(now time.Time) (netip.AddrPort, bool) {
	block := t.block()
	lead, known := t.Lead(now)
	if len(t.members) > MaxSingleBlock && known && lead != t.self {
		block = slices.DeleteFunc(slices.Clone(block), func(m netip.AddrPort) bool { return m == lead })
	}
	return t.firstAvailable(now, block)
}

// firstAvailable returns the first member that isn't skipped, or this one.
func (t *Tree) firstAvailable(now time.Time, members []netip.AddrPort) (netip.AddrPort, bool) {
	for _, m := range members {
		if m == t.self || !now.Before(t.skippedUntil[m]) {
			return m, true
		}
	}
	return t.self, len(members) > 0
}

// block returns the members of this member's block. A member that isn't listed is a
// block of its own.
func (t *Tree) block() []netip.AddrPort {
	i, found := slices.BinarySearchFunc(t.members, t.self, netip.AddrPort.Compare)
	switch {
	case len(t.members) == 0:
		return nil
	case len(t.members) <= MaxSingleBlock:
		return t.members
	case !found:
		return []netip.AddrPort{t.self}
	}
	size := BlockSize(len(t.members))
	start := i / size * size
	return t.members[start:min(start+size, len(t.members))]
}

// BlockSize returns the block size of the group.
func (t *Tree) BlockSize() int { return BlockSize(len(t.members)) }

// Blocks returns the number of blocks of the group.
func (t *Tree) Blocks() int { return Blocks(len(t.members)) }

// NoteAnswer records that a relay or lead has answered.
func (t *Tree) NoteAnswer(m netip.AddrPort) { delete(t.misses, m) }

// NoteMiss records that a relay or lead hasn't answered, and reports whether it is
// skipped from now on.
func (t *Tree) NoteMiss(now time.Time, m netip.AddrPort) bool {
	t.misses[m]++
	if t.misses[m] < MissLimit {
		return false
	}
	delete(t.misses, m)
	t.skippedUntil[m] = now.Add(SkipDuration)
	return true
}
