package btprocess

import (
	"context"
	"time"

	"bilberrytide/core/btquarantine"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btisolation"
	"bilberrytide/io/btpeer"
)

const (
	// isolationEvery is how often an entry compares what it knows with a neighbour, so
	// that one which was away or started anew hears all within some seconds.
	isolationEvery = time.Second
	// isolationWait bounds one comparison. An agent waits for it before it has a
	// request that broke off tried elsewhere.
	isolationWait = 200 * time.Millisecond

	reasonIsolationFailed btrequest.Reason = "quarantine_telling_failed"
)

// Isolated tells what a process knows of requests that end targets.
type Isolated struct {
	// Digest identifies all that the sender knows.
	Digest uint64 `cbor:"digest"`
	// Records are the news, or in an answer what the asking process may lack.
	Records btquarantine.Records `cbor:"records,omitempty"`
	// Suspects are the requests that one end alone holds for a while.
	Suspects btquarantine.Suspects `cbor:"suspects,omitempty"`
}

// news is what it tells.
func (i Isolated) news() btquarantine.Update {
	return btquarantine.Update{Records: i.Records, Suspects: i.Suspects}
}

// Validate reports records that can't hold.
func (i Isolated) Validate() error { return i.news().Validate() }

// Isolation is what a process of the fleet knows of requests that end targets, and how
// it tells others.
type Isolation struct {
	*btisolation.Isolation
	bundles *Bundles
}

// NewIsolation returns one for the process that has the bundles, and sets the node's
// handler.
func NewIsolation(b *Bundles) *Isolation {
	i := &Isolation{Isolation: btisolation.New(btquarantine.DefaultPolicy(), b.options.Clock, b.options.Log), bundles: b}
	b.options.Node.Handle(KindIsolation, btpeer.Answer(i.answer))
	return i
}

// answer takes another process's news in, and passes on what is new.
func (i *Isolation) answer(_ context.Context, from btpeer.Identity, heard Isolated) (Isolated, error) {
	if i.Merge(heard.news(), from.String()) {
		i.Forward(heard.news())
	}
	return Isolated{Digest: i.Digest(), Records: i.ExportIfChanged(heard.Digest), Suspects: i.ExportSuspects()}, nil
}

// tell tells the neighbours.
func (i *Isolation) tell(ctx context.Context, n btquarantine.Update) {
	for _, to := range i.neighbours() {
		go i.Exchange(ctx, to, n.Records)
	}
}

func (i *Isolation) neighbours() []btpeer.Endpoint {
	current := i.bundles.Current()
	if current == nil {
		return nil
	}
	return Neighbours(current, i.bundles.self, i.bundles.options.DataCentre)
}

// Exchange tells an entry of the records and hears what it knows besides. It returns when
// the entry has answered or the time for it is over.
func (i *Isolation) Exchange(ctx context.Context, to btpeer.Endpoint, records btquarantine.Records) {
	ctx, cancel := context.WithTimeout(ctx, isolationWait)
	defer cancel()
	o := i.bundles.options
	message := Isolated{Digest: i.Digest(), Records: records, Suspects: i.ExportSuspects()}
	answer, err := btpeer.Call[Isolated, Isolated](ctx, o.Node, to, KindIsolation, message)
	if err != nil {
		o.Meter.Refused(reasonIsolationFailed)
		return
	}
	i.Merge(answer.news(), to.Identity.String())
}

// Run tells the neighbours of news until the context ends.
func (i *Isolation) Run(ctx context.Context) { i.Isolation.Run(ctx, i.tell) }

// RunExchanges compares with one neighbour after the other until the context ends.
func (i *Isolation) RunExchanges(ctx context.Context) {
	ticker := time.NewTicker(isolationEvery)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if list := i.neighbours(); len(list) > 0 {
			i.Exchange(ctx, list[round%len(list)], nil)
		}
	}
}
