package btswitch_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btswitch"
)

// A group of one rank switches to a map. The example carries out the effects that
// an agent carries out with its sockets and timers.
func Example() {
	self := btid.Executor{Target: "himal-00", Incarnation: 1}
	members, _ := btswitch.NewMembers(1, btbundle.Group{Name: "assistant", Ranks: []btid.Target{"himal-00"}, Barrier: true})
	asserter := btassert.New(btassert.Panic())
	member := btswitch.NewMember(self, members, btswitch.Defaults(), nil, asserter)
	lead := btswitch.NewLead(self, members, btswitch.Defaults(), nil, rand.New(rand.NewPCG(1, 1)), asserter)
	rank := newEngine(engineKind{barrier: true, versions: true})
	now := time.Unix(0, 0)

	var toMember func(btswitch.MemberEvent)
	var toLead func(btswitch.LeadEvent)
	deliver := func(m btswitch.Message) {
		if m.ForLead() {
			toLead(btswitch.Received{Message: m})
		} else {
			toMember(btswitch.Received{Message: m})
		}
	}
	toMember = func(event btswitch.MemberEvent) {
		for _, effect := range member.Step(now, event) {
			switch e := effect.(type) {
			case btswitch.Send:
				deliver(e.Message)
			case btswitch.Read:
				toMember(btswitch.EngineRead{Number: e.Number, State: rank.state})
			case btswitch.Order:
				fmt.Println("order:", e.Op)
				rank.apply(e)
				rank.loaded(e.Version)
				toMember(btswitch.OrderDone{Fencing: e.Fencing})
			}
		}
	}
	toLead = func(event btswitch.LeadEvent) {
		for _, effect := range lead.Step(now, event) {
			switch e := effect.(type) {
			case btswitch.Send:
				deliver(e.Message)
			case btswitch.RoundResult:
				fmt.Println(e.Outcome, "because", e.Cause)
			}
		}
	}
	toLead(btswitch.Propose{Map: []byte("a map"), Cause: "first map"})
	toLead(btswitch.Elected{Lead: self.Target})
	// Output:
	// order: stage
	// order: arm
	// order: commit
	// committed because first map
}
