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
	// shareWait bounds one ask for a share; the next one follows soon.
	shareWait = 500 * time.Millisecond
	// shareTick is how often shares are asked for and given back.
	shareTick = 100 * time.Millisecond
)

// errNoShare means that the home has no answer to an ask.
var errNoShare = errors.New("no share")

// limit holds client accounts to their limits over all entries.
type limit struct {
	entry *Entry

	mu     sync.Mutex
	holder *btlimit.Holder
	home   *btlimit.AccountHome
}

var _ filter = (*limit)(nil)

func newLimit(e *Entry) *limit {
	o := e.options
	settings := btlimit.DefaultSettings()
	l := &limit{
		entry:  e,
		holder: btlimit.NewHolder(settings, o.Name, e.incarnation, o.Clock(), fork(o.Random)),
		home:   btlimit.NewAccountHome(settings, o.Name, o.Clock(), o.Assert),
	}
	o.Node.Handle(btprocess.KindShare, btpeer.Answer(l.answerShare))
	return l
}

func (l *limit) handle(ctx context.Context, x *exchange, next handler) *btrequest.Refusal {
	refusal := l.acquire(x)
	if refusal == nil {
		defer l.release(x.id)
		return next(ctx, x)
	}
	if !x.keyed() {
		return refusal
	}
	// An earlier request with this key may have run, so that only its home
	// knows whether it is true that the request was not run.
	x.limited = refusal
	return next(ctx, x)
}

func (l *limit) acquire(x *exchange) *btrequest.Refusal {
	until := l.entry.options.Clock().Add(l.entry.left(x.deadline))
	event := btlimit.Acquire{ID: x.id, Account: x.account.Name, Deadline: until}
	for _, effect := range l.step(event) {
		if e, ok := effect.(btlimit.Refused); ok && e.ID == x.id {
			return btrequest.Refuse(e.Reason, e.RetryAfter, "client account %s is at its limit", x.account.Name)
		}
	}
	return nil
}

func (l *limit) release(id btid.Request) { l.step(btlimit.Release{ID: id}) }

func (l *limit) run(ctx context.Context) {
	for wait(ctx, shareTick) {
		l.step(btlimit.Tick{})
	}
}

// step drives the holder, sends its asks, and returns its effects.
func (l *limit) step(event btlimit.HolderEvent) []btlimit.HolderEffect {
	l.mu.Lock()
	effects := l.holder.Step(l.entry.options.Clock(), event)
	l.mu.Unlock()
	for _, effect := range effects {
		switch e := effect.(type) {
		case btlimit.SendAsk:
			go l.ask(e)
		case btlimit.Ignored:
			l.entry.options.Meter.Refused(e.Reason)
		}
	}
	return effects
}

// configure puts a bundle's limits in force.
func (l *limit) configure(a *btbundle.Approved) {
	limits := limitsOf(a)
	l.stepHome(limits)
	l.step(limits)
}

func limitsOf(a *btbundle.Approved) btlimit.Limits {
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

// ask carries an ask to the account's home, which may be this entry.
func (l *limit) ask(e btlimit.SendAsk) {
	lease, err := l.carry(e)
	if err != nil {
		l.entry.options.Meter.Refused(reasonShareSilent)
		return
	}
	l.step(btlimit.LeaseReceived{Lease: lease})
}

const reasonShareSilent btrequest.Reason = "share_home_silent"

func (l *limit) carry(e btlimit.SendAsk) (btlimit.ShareLease, error) {
	if e.To == l.entry.options.Name {
		return l.lend(e.Ask)
	}
	current := l.entry.options.Bundles.Current()
	endpoint, found := btprocess.EntryEndpoint(current.Index, e.To)
	if !found {
		return btlimit.ShareLease{}, errNoShare
	}
	ctx, cancel := context.WithTimeout(context.Background(), shareWait)
	defer cancel()
	return btpeer.Call[btlimit.ShareAsk, btlimit.ShareLease](ctx, l.entry.options.Node, endpoint, btprocess.KindShare, e.Ask)
}

func (l *limit) answerShare(_ context.Context, from btpeer.Identity, ask btlimit.ShareAsk) (btlimit.ShareLease, error) {
	if from != btprocess.EntryIdentity(ask.From) {
		return btlimit.ShareLease{}, fmt.Errorf("ask of entry %s from %s", ask.From, from)
	}
	return l.lend(ask)
}

// lend has this entry's home answer an ask.
func (l *limit) lend(ask btlimit.ShareAsk) (btlimit.ShareLease, error) {
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

func (l *limit) stepHome(event btlimit.HomeEvent) []btlimit.HomeEffect {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.Step(l.entry.options.Clock(), event)
}
