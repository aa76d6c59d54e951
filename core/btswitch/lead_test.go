package btswitch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btswitch"
)

// runLead proposes a map to the lead of two ranks, answers each message that it
// sends, and returns the orders that it requested.
func runLead(t *testing.T, answer func(to btid.Target, i *btswitch.Instruct) btswitch.Message) []btswitch.Op {
	t.Helper()
	self := btid.Executor{Target: "t00", Incarnation: 5_000}
	members := twoRanks(t)
	lead := btswitch.NewLead(self, members, btswitch.Defaults(), nil, rand.New(rand.NewPCG(1, 1)), btassert.New(btassert.Panic()))
	now := time.Unix(1, 0)
	lead.Step(now, btswitch.Propose{Map: []byte("new")})
	queue := lead.Step(now, btswitch.Elected{Lead: "t00"})
	var orders []btswitch.Op
	for ; len(queue) > 0; queue = queue[1:] {
		send, ok := queue[0].(btswitch.Send)
		if !ok {
			continue
		}
		if i := send.Message.Instruct; i != nil {
			orders = append(orders, i.Op)
		}
		queue = append(queue, lead.Step(now, btswitch.Received{Message: answer(send.To, send.Message.Instruct)})...)
	}
	return orders
}

func twoRanks(t *testing.T) btswitch.Members {
	t.Helper()
	members, err := btswitch.NewMembers(1, btbundle.Group{Name: "g", Ranks: []btid.Target{"t00", "t01"}, Barrier: true})
	assert.NilError(t, err)
	return members
}

// A commit of an earlier round may reach a rank after the rank's promise. A round
// that then fails must not release the other rank on its old map, as the group
// would run on two maps.
func TestNoAbortAfterDelayedCommit(t *testing.T) {
	members := twoRanks(t)
	version := func(name string, number uint64) btswitch.Version {
		return btswitch.Version{Map: btbundle.DigestOf([]byte(name)), Members: members.Digest, Ballot: header(members, number).Ballot}
	}
	for _, late := range []bool{false, true} {
		requested := runLead(t, func(to btid.Target, i *btswitch.Instruct) btswitch.Message {
			h := header(members, 1)
			h.From.Target = to
			state := btswitch.EngineState{InForce: version("old", 1)}
			switch {
			case i == nil:
				return btswitch.Message{Promise: &btswitch.Promise{Header: h, State: state}}
			case i.Op == btswitch.Arm:
				return btswitch.Message{Refusal: &btswitch.Refusal{Header: h, Op: i.Op, Reason: btswitch.ReasonOrderUnknown}}
			case late && to == "t01":
				state.InForce = version("late", 2)
			}
			return btswitch.Message{Ack: &btswitch.Ack{Header: h, Op: i.Op, State: state}}
		})
		want := []btswitch.Op{btswitch.Stage, btswitch.Stage, btswitch.Arm, btswitch.Arm}
		if !late {
			want = append(want, btswitch.Abort, btswitch.Abort)
		}
		assert.DeepEqual(t, requested, want)
	}
}
