// Package btrelay decides over which agents the members of a large lock-step group
// reach its lead, so that no host talks to every other one.
//
// The members are listed in the order of their addresses and cut into blocks of
// about the root of their number. A member reports to its block's relay, the first
// member of the block that answers; a relay hands on what it has heard in one
// message to the lead, the first member of all that answers, and carries the lead's
// commands to its block. So each host hears from and tells about the root of the
// group. A small group is one block, whose relay is the lead.
//
// Relays are soft state: every member chooses by the same rule from the list that
// all know, and a relay holds nothing that the next reports don't bring again. Two
// members may choose different relays for a while; both then hand on what they hear.
package btrelay

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// MaxSingleBlock is up to how many members report to the lead directly. A relay costs
	// a report interval of delay and saves what counts wait for: those of 32 members
	// with 1,536 experts are told each 0.25 s to a lead and each 0.05 s to a relay. On
	// six pairs of simulated days of high load with groups of 32 the mean worth was
	// 0.703 with one block of 32 and 0.738 with six blocks.
	MaxSingleBlock = 16
	// MissLimit is how many reports in a row a relay or lead may leave unanswered.
	MissLimit = 2
	// SkipDuration is how long one that was taken for gone is passed over.
	SkipDuration = 3 * time.Second
)

const (
	// minReportInterval is the pace at which a member reports and a relay hands on.
	minReportInterval = 150 * time.Millisecond
	// maxReportsPerSecond bounds what a relay is told, a twentieth of a core's work;
	// statesPerSecond bounds what a lead is, some 80 B each: a fifth of a link of 6
	// Mbit/s.
	maxReportsPerSecond = 250
	maxStatesPerSecond  = 2000
	// maxCountsPerSecond is how many counts of experts' choices one host is told by all
	// that tell it, a byte each: between a fourth and a fifth of a link of 6 or 8
	// Mbit/s.
	maxCountsPerSecond = 200_000
)

// ReportInterval returns how often the members of a block of so many report.
func ReportInterval(block int) time.Duration {
	return max(minReportInterval, time.Duration(block)*time.Second/maxReportsPerSecond)
}

// ForwardInterval returns how often the relays of a group of so many members hand on.
func ForwardInterval(members int) time.Duration {
	return max(minReportInterval, time.Duration(members)*time.Second/maxStatesPerSecond)
}

// CountsInterval returns how often each of so many senders tells so many counts.
func CountsInterval(senders, counts int) time.Duration {
	return time.Duration(senders*counts) * time.Second / maxCountsPerSecond
}

// BlockSize returns how many members a block of a group has. Blocks of the root of
// the number make what a relay and what the lead hears equally many.
func BlockSize(members int) int {
	if members <= MaxSingleBlock {
		return members
	}
	return int(math.Ceil(math.Sqrt(float64(members))))
}

// Blocks returns how many blocks a group is cut into.
func Blocks(members int) int {
	if members == 0 {
		return 0
	}
	size := BlockSize(members)
	return (members + size - 1) / size
}

// Tree chooses the relay and the lead of one member. It is not safe for concurrent
// use.
type Tree struct {
	self    netip.AddrPort
	members []netip.AddrPort
	// misses counts unanswered messages in a row, away tells until when a member is
	// passed over.
	misses       map[netip.AddrPort]int
	skippedUntil map[netip.AddrPort]time.Time
}

// New returns the tree as the member of the address sees it. It knows no members.
func New(self netip.AddrPort) *Tree {
	return &Tree{self: self, misses: make(map[netip.AddrPort]int), skippedUntil: make(map[netip.AddrPort]time.Time)}
}

// SetMembers takes the group's members in.
func (t *Tree) SetMembers(members []netip.AddrPort) {
	t.members = slices.Clone(members)
	slices.SortFunc(t.members, netip.AddrPort.Compare)
	t.members = slices.Compact(t.members)
}

// Lead returns the group's lead; false while no members are known. A member that
// knows none follows nobody and doesn't lead either: after all processes had started
// at once, each of 16 agents led for a second, and they outranked each other's
// rounds.
func (t *Tree) Lead(now time.Time) (netip.AddrPort, bool) {
	return t.firstAvailable(now, t.members)
}

// Relay returns whom the member reports to; false while no members are known. The
// lead is no relay where its block has another member, as it hears all the others:
// by encoded bytes a lead of 192 takes 408 KB/s, and would take 646 with the reports
// and counts of its block.
func (t *Tree) Relay(now time.Time) (netip.AddrPort, bool) {
	block := t.block()
	lead, known := t.Lead(now)
	if len(t.members) > MaxSingleBlock && known && lead != t.self {
		block = slices.DeleteFunc(slices.Clone(block), func(m netip.AddrPort) bool { return m == lead })
	}
	return t.firstAvailable(now, block)
}

// firstAvailable returns the firstAvailable of the members that isn't away, or this one.
func (t *Tree) firstAvailable(now time.Time, members []netip.AddrPort) (netip.AddrPort, bool) {
	for _, m := range members {
		if m == t.self || !now.Before(t.skippedUntil[m]) {
			return m, true
		}
	}
	return t.self, len(members) > 0
}

// block returns the members of the own block. One that isn't listed is a block of
// its own.
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

// BlockSize returns how many members the own block has.
func (t *Tree) BlockSize() int { return BlockSize(len(t.members)) }

// Blocks returns how many blocks the group has.
func (t *Tree) Blocks() int { return Blocks(len(t.members)) }

// NoteAnswer notes that a relay or lead has answered.
func (t *Tree) NoteAnswer(m netip.AddrPort) { delete(t.misses, m) }

// NoteMiss notes that a relay or lead has not answered, and tells whether it is taken
// for gone now.
func (t *Tree) NoteMiss(now time.Time, m netip.AddrPort) bool {
	t.misses[m]++
	if t.misses[m] < MissLimit {
		return false
	}
	delete(t.misses, m)
	t.skippedUntil[m] = now.Add(SkipDuration)
	return true
}
