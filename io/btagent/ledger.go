package btagent

import (
	"context"
	"sync"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btclaim"
	"bilberrytide/core/btserve"
	"bilberrytide/io/btloop"
)

// ledgerTick is how often expired records are dropped.
const ledgerTick = time.Second

// answer is a kept answer of a request that may run only once.
type answer struct {
	status int
	header btserve.Header
	body   []byte
}

// ledger drives the claim ledger and stores the answers that it keeps.
type ledger struct {
	clock btloop.Clock

	mu      sync.Mutex
	machine *btclaim.Ledger
	answers map[btclaim.Claim]answer
}

func newLedger(settings btclaim.LedgerSettings, clock btloop.Clock, assert *btassert.Asserter) *ledger {
	return &ledger{
		clock:   clock,
		machine: btclaim.NewLedger(clock(), settings, assert),
		answers: map[btclaim.Claim]answer{},
	}
}

func (l *ledger) run(ctx context.Context) {
	t := time.NewTicker(ledgerTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.ask(btclaim.Tick{})
		}
	}
}

// ask hands the ledger one event and returns its word; nil where it has none,
// as for a malformed grant.
func (l *ledger) ask(event btclaim.LedgerEvent) btclaim.LedgerEffect {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.step(event)
}

func (l *ledger) step(event btclaim.LedgerEvent) btclaim.LedgerEffect {
	var word btclaim.LedgerEffect
	for _, effect := range l.machine.Step(l.clock(), event) {
		if drop, ok := effect.(btclaim.DropAnswer); ok {
			delete(l.answers, drop.Claim)
			continue
		}
		word = effect
	}
	return word
}

// keep stores the answer of a run that has ended.
func (l *ledger) keep(claim btclaim.Claim, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[claim] = a
	l.step(btclaim.RunFinished{Claim: claim, Bytes: len(a.body)})
}

// saved returns the kept answer of a claim.
func (l *ledger) saved(claim btclaim.Claim) (answer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, found := l.answers[claim]
	return a, found
}
