package btclaim_test

import (
	"fmt"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
)

// A service with one key home: the home gains its lease by its own vote, grants
// a key once, and returns the same executor for a repeated request.
func Example() {
	start := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	assert := btassert.New(btassert.Panic())
	rules := btclaim.Rules{
		Epochs:        []btbundle.HomeEpoch{{Number: 1, Homes: []btid.Target{"t1"}}},
		Retention:     time.Hour,
		ClockError:    100 * time.Millisecond,
		Lease:         2 * time.Second,
		GrantLifetime: 30 * time.Second,
	}
	executor := btid.Executor{Target: "t1", Incarnation: 1}
	home, err := btclaim.NewHome(start, btclaim.DefaultHomeSettings(executor, "receipts", start), rules, assert)
	if err != nil {
		fmt.Println(err)
		return
	}
	ledger := btclaim.NewLedger(start, btclaim.DefaultLedgerSettings(executor, rules), assert)

	now := start.Add(6 * time.Second)
	home.Step(now, btclaim.Tick{})
	now = now.Add(time.Second)
	key, _ := btclaim.NewKey(now, constant{})
	ask := btclaim.Acquire{
		Request:  btid.Request{Entry: "e1", Incarnation: 1, Number: 1},
		Claim:    btclaim.Claim{Service: "receipts", Account: "families", Key: key},
		Executor: executor,
		Accepted: now,
	}
	for range 2 {
		reply := home.Step(now, ask)[0].(btclaim.AcquireReply)
		fmt.Printf("attempt %d at %s: ", reply.Grant.Attempt, reply.Grant.Executor)
		fmt.Printf("%T\n", ledger.Step(now, btclaim.RunRequested{Grant: *reply.Grant})[0])
	}
	// Output:
	// attempt 1 at t1@1: btclaim.Start
	// attempt 1 at t1@1: btclaim.InProgress
}

type constant struct{}

func (constant) Read(p []byte) (int, error) { return len(p), nil }
