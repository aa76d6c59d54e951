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

// ledgerInterval is how often expired records are dropped.
const ledgerInterval = time.Second

// keptAnswer is the stored answer of a request that may run only once.
type keptAnswer struct {
	status int
	header btserve.Header
	body   []byte
	// dropped reports that the answer isn't kept.
	dropped bool
}

// size returns what the answer takes, in bytes. That of a dropped one is more than any answer
// may have that is kept.
func (a keptAnswer) size() int {
	if a.dropped {
		return maxKeptAnswerBytes + 1
	}
	size := len(a.body)
	for name, values := range a.header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// ledger runs the claim ledger and stores the answers that it keeps.
type ledger struct {
	clock btloop.Clock

	mu      sync.Mutex
	core    *btclaim.Ledger
	answers map[btclaim.Claim]keptAnswer
}

func newLedger(settings btclaim.LedgerSettings, clock btloop.Clock, assert *btassert.Asserter) *ledger {
	return &ledger{
		clock:   clock,
		core:    btclaim.NewLedger(clock(), settings, assert),
		answers: map[btclaim.Claim]keptAnswer{},
	}
}

func (l *ledger) run(ctx context.Context) {
	t := time.NewTicker(ledgerInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.handle(btclaim.Tick{})
		}
	}
}

// handle passes an event to the ledger and returns its reply. The reply is nil if there
// is none, as for a malformed grant.
func (l *ledger) handle(event btclaim.LedgerEvent) btclaim.LedgerEffect {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handleLocked(event)
}

func (l *ledger) handleLocked(event btclaim.LedgerEvent) btclaim.LedgerEffect {
	var reply btclaim.LedgerEffect
	for _, effect := range l.core.Step(l.clock(), event) {
		if drop, ok := effect.(btclaim.DropAnswer); ok {
			delete(l.answers, drop.Claim)
			continue
		}
		reply = effect
	}
	return reply
}

// storeAnswer stores the answer of a run that has ended.
func (l *ledger) storeAnswer(claim btclaim.Claim, a keptAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[claim] = a
	l.handleLocked(btclaim.RunFinished{Claim: claim, Bytes: a.size()})
}

// loadAnswer returns the stored answer of a claim.
func (l *ledger) loadAnswer(claim btclaim.Claim) (keptAnswer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, found := l.answers[claim]
	return a, found
}
