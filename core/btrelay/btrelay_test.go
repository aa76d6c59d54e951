package btrelay_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btrelay"
)

var start = time.Unix(1000, 0)

// address returns the address of member n.
func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 8232)
}

func addresses(n int) []netip.AddrPort {
	list := make([]netip.AddrPort, n)
	for i := range list {
		list[i] = address(i)
	}
	return list
}

func sizes() []int { return []int{1, 2, 16, 32, 33, 64, 72, 192, 512} }

// TestMembersAgreeOnLeadAtAnySize guards against members that disagree on the lead, and against a
// host that receives from more than about the square root of the group.
func TestMembersAgreeOnLeadAtAnySize(t *testing.T) {
	for _, n := range sizes() {
		members := addresses(n)
		senders := make(map[netip.AddrPort]int)
		relays := make(map[netip.AddrPort]bool)
		for _, self := range members {
			tree := btrelay.New(self)
			tree.SetMembers(members)
			relay, known := tree.Relay(start)
			assert.Assert(t, known)
			senders[relay]++
			relays[relay] = true
			lead, _ := tree.Lead(start)
			assert.Equal(t, lead, members[0], "%d members", n)
		}
		for relay, received := range senders {
			assert.Assert(t, received <= btrelay.BlockSize(n), "%d members: %v receives from %d members", n, relay, received)
		}
		if n > btrelay.MaxSingleBlock {
			assert.Equal(t, senders[members[0]], 1, "%d members: the lead receives reports of its own block", n)
			assert.Equal(t, len(relays), btrelay.Blocks(n)+1)
		}
		if n > btrelay.MaxSingleBlock {
			assert.Assert(t, btrelay.BlockSize(n)*btrelay.BlockSize(n) < 2*n, "%d members", n)
		}
	}
}

func TestTreeWithoutMembersHasNoLead(t *testing.T) {
	tree := btrelay.New(address(3))
	_, known := tree.Lead(start)
	assert.Assert(t, !known)
	_, known = tree.Relay(start)
	assert.Assert(t, !known)
}

// TestUnlistedMemberIsItsOwnRelay covers a member that has just started and isn't
// listed yet.
func TestUnlistedMemberIsItsOwnRelay(t *testing.T) {
	tree := btrelay.New(address(500))
	tree.SetMembers(addresses(192))
	relay, known := tree.Relay(start)
	assert.Assert(t, known)
	assert.Equal(t, relay, address(500))
}

// TestUnresponsiveRelayIsSkipped guards against replacing a relay after one late answer, and
// against reporting on to a relay that has missed two in a row. A skipped relay is used
// again after SkipDuration.
func TestUnresponsiveRelayIsSkipped(t *testing.T) {
	tree := btrelay.New(address(20))
	tree.SetMembers(addresses(192))
	relay, _ := tree.Relay(start)
	assert.Equal(t, relay, address(14))
	assert.Assert(t, !tree.NoteMiss(start, relay))
	tree.NoteAnswer(relay)
	assert.Assert(t, !tree.NoteMiss(start, relay))
	assert.Assert(t, tree.NoteMiss(start, relay))
	next, _ := tree.Relay(start)
	assert.Equal(t, next, address(15))
	// The lead isn't affected by a skipped relay.
	lead, _ := tree.Lead(start)
	assert.Equal(t, lead, address(0))
	back, _ := tree.Relay(start.Add(btrelay.SkipDuration))
	assert.Equal(t, back, address(14))
}

func TestCollectorKeepsLatestMessages(t *testing.T) {
	c := btrelay.NewCollector[int, string]()
	c.Put(start, 2, "old")
	c.Put(start, 1, "one")
	c.Put(start.Add(10*time.Millisecond), 2, "two")
	now := start.Add(30 * time.Millisecond)
	taken := c.Take(now, time.Second)
	assert.DeepEqual(t, taken, []btrelay.Collected[int, string]{
		{From: 1, Message: "one", Age: 30 * time.Millisecond},
		{From: 2, Message: "two", Age: 20 * time.Millisecond},
	})
	assert.Equal(t, len(c.Take(now, time.Second)), 0)
	// The messages couldn't be forwarded, and a newer one has arrived meanwhile.
	c.Put(now, 2, "new")
	c.PutBack(now, taken)
	taken = c.Take(now.Add(20*time.Millisecond), 40*time.Millisecond)
	assert.DeepEqual(t, taken, []btrelay.Collected[int, string]{{From: 2, Message: "new", Age: 20 * time.Millisecond}})
}

func ExampleTree() {
	tree := btrelay.New(address(100))
	tree.SetMembers(addresses(192))
	relay, _ := tree.Relay(start)
	lead, _ := tree.Lead(start)
	fmt.Println(relay, lead)
	// Output: 10.0.0.98:8232 10.0.0.0:8232
}
