package btentry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btlimit"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
)

const (
	// shareTimeout limits one ask for a share; the next one follows soon.
	shareTimeout = 500 * time.Millisecond
	// shareInterval is how often shares are requested and returned.
	shareInterval = 100 * time.Millisecond
)

// errNoShare means that the home has no answer to an ask.
var errNoShare = errors.New("no share")

// limiter enforces the limits of client accounts across all entries.
type limiter struct {
	entry *Entry

	mu     sync.Mutex
	holder *btlimit.Holder
	home   *btlimit.AccountHome
}

var _ filter = (*limiter)(nil)

func newLimiter(e *Entry) *limiter {
	o := e.options
	settings := btlimit.DefaultSettings()
	l := &limiter{
		entry:  e,
		holder: btlimit.NewHolder(settings, o.Name, e.incarnation, o.Clock(), forkRandom(o.Random)),
		home:   btlimit.NewAccountHome(settings, o.Name, o.Clock(), o.Assert),
	}
	o.Node.Handle(btprocess.KindShare, btpeer.Answer(l.handleAsk))
	return l
}

func (l *limiter) handle(ctx context.Context, x *exchange, next handler) *btrequest.Refusal {
	refusal := l.acquire(x)
	if refusal == nil {
		defer l.release(x.id)
		return next(ctx, x)
	}
	if !x.keyed() {
		return refusal
	}
	// An earlier request with this key may have run, so only the key home knows whether
	// this one can be reported as not run.
	x.limitRefusal = refusal
	return next(ctx, x)
}

func (l *limiter) acquire(x *exchange) *btrequest.Refusal {
	until := l.entry.options.Clock().Add(l.entry.timeLeft(x.deadline))
	event := btlimit.Acquire{ID: x.id, Account: x.account.Name, Deadline: until}
	for _, effect := range l.step(event) {
		if e, ok := effect.(btlimit.Refused); ok && e.ID == x.id {
			return btrequest.Refuse(e.Reason, e.RetryAfter, "client account %s is at its limit", x.account.Name)
		}
	}
	return nil
}

func (l *limiter) release(id btid.Request) { l.step(btlimit.Release{ID: id}) }

func (l *limiter) run(ctx context.Context) {
	for sleep(ctx, shareInterval) {
		l.step(btlimit.Tick{})
	}
}

// step passes an event to the holder, sends its asks and returns its effects.
func (l *limiter) step(event btlimit.HolderEvent) []btlimit.HolderEffect {
	l.mu.Lock()
	effects := l.holder.Step(l.entry.options.Clock(), event)
	l.mu.Unlock()
	for _, effect := range effects {
		switch e := effect.(type) {
		case btlimit.SendAsk:
			go l.sendAsk(e)
		case btlimit.Ignored:
			l.entry.options.Meter.Refused(e.Reason)
		}
	}
	return effects
}

// configure applies the limits of a bundle.
func (l *limiter) configure(a *btbundle.Approved) {
	limits := limitsFromBundle(a)
	l.stepHome(limits)
	l.step(limits)
}

func limitsFromBundle(a *btbundle.Approved) btlimit.Limits {
	limits := btlimit.Limits{MaxRequestDuration: a.Bundle.Timeouts.RequestMax.Duration}
	for _, e := range a.Bundle.Entries {
		limits.Entries = append(limits.Entries, e.Name)
	}
	for _, c := range a.Bundle.Accounts {
		limits.Accounts = append(limits.Accounts, btlimit.Limit{
			Account:     c.Name,
			Rate:        c.Rate,
			Burst:       c.Burst,
			Concurrency: c.Concurrency,
		})
	}
	return limits
}

// sendAsk sends an ask to the home of the account, which may be this entry.
func (l *limiter) sendAsk(e btlimit.SendAsk) {
	lease, err := l.requestLease(e)
	if err != nil {
		l.entry.options.Meter.Refused(reasonShareTimedOut)
		return
	}
	l.step(btlimit.LeaseReceived{Lease: lease})
}

const reasonShareTimedOut btrequest.Reason = "share_home_silent"

func (l *limiter) requestLease(e btlimit.SendAsk) (btlimit.ShareLease, error) {
	if e.To == l.entry.options.Name {
		return l.grantLease(e.Ask)
	}
	current := l.entry.options.Bundles.Current()
	endpoint, found := btprocess.EntryEndpoint(current.Index, e.To)
	if !found {
		return btlimit.ShareLease{}, errNoShare
	}
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	return btpeer.Call[btlimit.ShareAsk, btlimit.ShareLease](ctx, l.entry.options.Node, endpoint, btprocess.KindShare, e.Ask)
}

func (l *limiter) handleAsk(_ context.Context, from btpeer.Identity, ask btlimit.ShareAsk) (btlimit.ShareLease, error) {
	if from != btprocess.EntryIdentity(ask.From) {
		return btlimit.ShareLease{}, fmt.Errorf("ask of entry %s from %s", ask.From, from)
	}
	return l.grantLease(ask)
}

// grantLease passes an ask to the account home in this entry and returns its lease.
func (l *limiter) grantLease(ask btlimit.ShareAsk) (btlimit.ShareLease, error) {
	for _, effect := range l.stepHome(btlimit.AskReceived{Ask: ask}) {
		switch e := effect.(type) {
		case btlimit.SendLease:
			return e.Lease, nil
		case btlimit.Ignored:
			l.entry.options.Meter.Refused(e.Reason)
		}
	}
	return btlimit.ShareLease{}, errNoShare
}

func (l *limiter) stepHome(event btlimit.HomeEvent) []btlimit.HomeEffect {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.Step(l.entry.options.Clock(), event)
}
