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

// address is that of the n-th member.
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

// Each member has one relay and all have the same lead, whatever the size; nobody
// hears from more than about the root of the group.
func TestATreeOfAnySize(t *testing.T) {
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
		for relay, heard := range senders {
			assert.Assert(t, heard <= btrelay.BlockSize(n), "%d members: %v hears %d", n, relay, heard)
		}
		if n > btrelay.MaxSingleBlock {
			assert.Equal(t, senders[members[0]], 1, "%d members: the lead hears its own block", n)
			assert.Equal(t, len(relays), btrelay.Blocks(n)+1)
		}
		if n > btrelay.MaxSingleBlock {
			assert.Assert(t, btrelay.BlockSize(n)*btrelay.BlockSize(n) < 2*n, "%d members", n)
		}
	}
}

func TestWhoKnowsNobodyFollowsNobody(t *testing.T) {
	tree := btrelay.New(address(3))
	_, known := tree.Lead(start)
	assert.Assert(t, !known)
	_, known = tree.Relay(start)
	assert.Assert(t, !known)
}

// A member that isn't in the list yet, as it has just started, is its own relay.
func TestAMemberThatIsNotListed(t *testing.T) {
	tree := btrelay.New(address(500))
	tree.SetMembers(addresses(192))
	relay, known := tree.Relay(start)
	assert.Assert(t, known)
	assert.Equal(t, relay, address(500))
}

// One answer that is late changes nothing; two in a row have the next member of the
// block stand in, and the first one is followed again after a while.
func TestARelayThatIsSilentIsPassedOver(t *testing.T) {
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
	// The lead is another matter.
	lead, _ := tree.Lead(start)
	assert.Equal(t, lead, address(0))
	back, _ := tree.Relay(start.Add(btrelay.SkipDuration))
	assert.Equal(t, back, address(14))
}

func TestACollectorKeepsTheLastMessageOfEach(t *testing.T) {
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
	// They could not be handed on; a newer one has come meanwhile.
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
