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
	// isolationInterval is the interval at which an entry exchanges records with one of
	// its neighbours, so that an entry that was unreachable or has restarted has all
	// records within some seconds.
	isolationInterval = time.Second
	// isolationTimeout limits one exchange. An agent waits for it before it reports that
	// an answer broke off, which delays the entry's next attempt.
	isolationTimeout = 200 * time.Millisecond

	reasonIsolationFailed btrequest.Reason = "quarantine_telling_failed"
)

// Isolated is the message by which a process sends its records of requests that crash
// targets.
type Isolated struct {
	// Digest identifies all records that the sender has.
	Digest uint64 `cbor:"digest"`
	// Records are new records; in an answer, those that the asking process may lack.
	Records btquarantine.Records `cbor:"records,omitempty"`
	// Suspects are the requests that a single crash puts on hold for a limited time.
	Suspects btquarantine.Suspects `cbor:"suspects,omitempty"`
}

// update returns the records and suspects of the message.
func (i Isolated) update() btquarantine.Update {
	return btquarantine.Update{Records: i.Records, Suspects: i.Suspects}
}

// Validate returns an error if the records or suspects are invalid.
func (i Isolated) Validate() error { return i.update().Validate() }

// Isolation holds a process's records of requests that crash targets and exchanges them
// with other processes.
type Isolation struct {
	*btisolation.Isolation
	bundles *Bundles
}

// NewIsolation returns the Isolation of the process that b belongs to, and registers its
// handler with the node.
func NewIsolation(b *Bundles) *Isolation {
	i := &Isolation{Isolation: btisolation.New(btquarantine.DefaultPolicy(), b.options.Clock, b.options.Log), bundles: b}
	b.options.Node.Handle(KindIsolation, btpeer.Answer(i.handle))
	return i
}

// handle merges the records of another process, forwards them if any was new, and
// answers with those that the other may lack.
func (i *Isolation) handle(_ context.Context, from btpeer.Identity, received Isolated) (Isolated, error) {
	if i.Merge(received.update(), from.String()) {
		i.Forward(received.update())
	}
	return Isolated{Digest: i.Digest(), Records: i.ExportIfChanged(received.Digest), Suspects: i.ExportSuspects()}, nil
}

// send sends the update's records to all neighbours, each in its own goroutine.
func (i *Isolation) send(ctx context.Context, u btquarantine.Update) {
	for _, to := range i.neighbours() {
		go i.Exchange(ctx, to, u.Records)
	}
}

func (i *Isolation) neighbours() []btpeer.Endpoint {
	current := i.bundles.Current()
	if current == nil {
		return nil
	}
	return Neighbours(current, i.bundles.self, i.bundles.options.DataCentre)
}

// Exchange sends the records to an entry and merges those of its answer. It returns when
// the entry has answered or after isolationTimeout; a failure is only counted.
func (i *Isolation) Exchange(ctx context.Context, to btpeer.Endpoint, records btquarantine.Records) {
	ctx, cancel := context.WithTimeout(ctx, isolationTimeout)
	defer cancel()
	o := i.bundles.options
	message := Isolated{Digest: i.Digest(), Records: records, Suspects: i.ExportSuspects()}
	answer, err := btpeer.Call[Isolated, Isolated](ctx, o.Node, to, KindIsolation, message)
	if err != nil {
		o.Meter.Refused(reasonIsolationFailed)
		return
	}
	i.Merge(answer.update(), to.Identity.String())
}

// Run sends new records to the neighbours until the context ends.
func (i *Isolation) Run(ctx context.Context) { i.Isolation.Run(ctx, i.send) }

// RunExchanges exchanges records with the neighbours in turn, one at each interval,
// until the context ends.
func (i *Isolation) RunExchanges(ctx context.Context) {
	ticker := time.NewTicker(isolationInterval)
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
