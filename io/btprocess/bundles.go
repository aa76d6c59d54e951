package btprocess

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bilberrytide/core/btannounce"
	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btreader"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btplatform"
)

const (
	registerTick  = 250 * time.Millisecond
	announceEvery = time.Second
	announceWait  = time.Second
	fetchWait     = time.Second
)

// Bundles keeps the bundle in force in one process: it reads the configuration
// service when it is this process's turn, hears from peers, and tells them.
type Bundles struct {
	options  BundlesOptions
	self     btpeer.Identity
	watcher  *btplatform.Watcher
	loop     *btloop.Loop[btbundle.RegisterEvent, btbundle.RegisterEffect]
	current  atomic.Pointer[inForce]
	onChange []func(*btbundle.Approved)
	started  time.Time

	mu     sync.Mutex
	random *rand.Rand
	// changed is closed, and replaced, when a bundle comes into force.
	changed chan struct{}
	// lastRefusal is the last refused bundle told; the register's loop owns it.
	lastRefusal string
	// boot is the service's first value, whose entries are asked before it is
	// believed.
	boot *btbundle.Approved
	// turns decides who reads the configuration service.
	turns *btreader.Selector
	// rounds counts the rounds of announcements.
	rounds int
}

// inForce is a bundle, its compressed file and how it lists this process.
type inForce struct {
	approved *btbundle.Approved
	file     func() btannounce.File
	listing  Listing
}

// BundlesOptions are the dependencies of Bundles.
type BundlesOptions struct {
	DataCentre btid.DataCentre
	// Host is the host that the process runs on, as its settings have it.
	Host     btid.Host
	Node     *btpeer.Node
	Platform *btplatform.Client
	// Key is the configuration key under which the bundle is published.
	Key       string
	Approvers btbundle.Approvers
	// Seeds are the entries to ask while nothing is in force.
	Seeds     []btpeer.Endpoint
	Meter     *btmetric.Meter
	Decisions *btmetric.Decisions
	Log       *slog.Logger
	Clock     btloop.Clock
	Assert    *btassert.Asserter
	Random    *rand.Rand
}

// NewBundles returns bundles with nothing in force and sets the node's
// handlers.
func NewBundles(o BundlesOptions) *Bundles {
	b := &Bundles{
		options: o,
		self:    o.Node.Identity(),
		random:  o.Random,
		changed: make(chan struct{}),
		started: o.Clock(),
	}
	b.turns = btreader.New(btbundle.Peer(b.self.String()), peersOf(o.Seeds), b.started, o.Random)
	register := btbundle.NewRegister(btbundle.DefaultRegisterConfig(o.Approvers), o.Assert, fork(o.Random))
	b.loop = btloop.New(register, o.Clock, b.apply)
	b.watcher = btplatform.NewWatcher(btplatform.WatcherOptions{
		Client:   o.Platform,
		Key:      o.Key,
		Deliver:  b.offer,
		Registry: o.Meter.Registry(),
		Log:      o.Log,
		Wait:     btreader.WatchTimeout,
	})
	o.Node.Handle(KindAnnounce, btpeer.Answer(b.answerAnnounce))
	o.Node.Handle(KindBundle, btpeer.Answer(b.answerFetch))
	return b
}

// fork returns a source that another goroutine may use.
func fork(r *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(r.Uint64(), r.Uint64())) }

// Current returns the bundle in force, or nil.
func (b *Bundles) Current() *btbundle.Approved {
	if now := b.current.Load(); now != nil {
		return now.approved
	}
	return nil
}

// OnChange has f called with each bundle that comes into force, one at a time.
// It is called before Run.
func (b *Bundles) OnChange(f func(*btbundle.Approved)) { b.onChange = append(b.onChange, f) }

// Changed returns a channel that is closed when the next bundle is in force.
func (b *Bundles) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Run keeps the bundle up to date until the context ends.
func (b *Bundles) Run(ctx context.Context) error {
	if len(b.options.Seeds) > 0 {
		b.loop.Post(btbundle.Started{Peers: peersOf(b.options.Seeds)})
	}
	go b.loop.Every(ctx, registerTick, func() btbundle.RegisterEvent { return btbundle.Tick{} })
	go b.announce(ctx)
	b.read(ctx)
	return nil
}

func peersOf(endpoints []btpeer.Endpoint) []btbundle.Peer {
	var peers []btbundle.Peer
	for _, e := range endpoints {
		peers = append(peers, btbundle.Peer(e.Identity.String()))
	}
	return peers
}

// apply carries out one effect of the register.
func (b *Bundles) apply(effect btbundle.RegisterEffect) {
	o := b.options
	switch e := effect.(type) {
	case btbundle.InForce:
		b.inForce(e)
	case btbundle.Fetch:
		go b.fetch(e)
	case btbundle.Refused:
		b.refused(e)
	case btbundle.Conflict:
		b.conflict(e)
	case btbundle.Deferred:
		o.Log.Info("bundle held until peers answer", "bundle_version", e.Revision.Version)
	}
}

func (b *Bundles) inForce(e btbundle.InForce) {
	raw := e.Approved.Raw
	file := sync.OnceValue(func() btannounce.File { return btannounce.Pack(raw) })
	b.tell(e)
	listing := b.list(e.Approved)
	// Whoever sees the bundle also sees the listing and the decisions on it.
	b.current.Store(&inForce{approved: e.Approved, file: file, listing: listing})
	for _, f := range b.onChange {
		f(e.Approved)
	}
	b.mu.Lock()
	close(b.changed)
	b.changed = make(chan struct{})
	b.mu.Unlock()
}

// tell counts and logs a bundle that came into force.
func (b *Bundles) tell(e btbundle.InForce) {
	o := b.options
	order := e.Approved.Revision()
	o.Meter.Gauge("bundle.version").Update(int64(order.Version))
	o.Log.Info("bundle in force", "bundle_version", order.Version, "digest", order.Digest, "source", e.Source, "approvers", e.Approved.Signers)
	o.Decisions.Add(btmetric.Decision{
		Time:     o.Clock(),
		Act:      "bundle_in_force",
		Subject:  fmt.Sprintf("bundle %d", order.Version),
		Cause:    "an approved bundle that is higher than the one before; source: " + e.Source.String(),
		Evidence: fmt.Sprintf("previous version %d, approved by %v", e.Previous.Revision().Version, e.Approved.Signers),
		Expected: "all processes have it in force within seconds",
	})
}

// refused counts and logs a refused bundle. An operator's fault leaves a line
// among the decisions, once until another comes; what races and restarts bring
// about does not.
func (b *Bundles) refused(e btbundle.Refused) {
	o := b.options
	o.Meter.Refused(e.Reason)
	o.Log.Warn("bundle refused", "reason", e.Reason, "source", e.Source, "error", e.Err)
	if !slices.Contains(operatorFaults, e.Reason) {
		return
	}
	cause := fmt.Sprintf("%s: %v", e.Reason, e.Err)
	if cause == b.lastRefusal {
		return
	}
	b.lastRefusal = cause
	o.Decisions.Add(btmetric.Decision{
		Time:     o.Clock(),
		Act:      "bundle_refused",
		Subject:  "a bundle from " + e.Source.String(),
		Cause:    cause,
		Evidence: fmt.Sprintf("version %d is in force", b.Current().Revision().Version),
		Expected: "the bundle in force stays until one that is approved and whole comes",
	})
}

// operatorFaults are the refusals that a person has to see to.
var operatorFaults = []btrequest.Reason{
	btbundle.ReasonTooLarge,
	btbundle.ReasonSignature,
	btbundle.ReasonMalformed,
}

func (b *Bundles) conflict(e btbundle.Conflict) {
	o := b.options
	o.Meter.Counter("bundle.conflicts").Inc(1)
	o.Log.Error("two approved bundles have one version", "bundle_version", e.Version, "kept", e.Kept, "lost", e.Lost, "source", e.Source)
	o.Decisions.Add(btmetric.Decision{
		Time:     o.Clock(),
		Act:      "bundle_conflict",
		Subject:  fmt.Sprintf("bundle %d", e.Version),
		Cause:    "two approved bundles have this version; the higher digest is in force everywhere",
		Evidence: fmt.Sprintf("kept %s, lost %s", e.Kept, e.Lost),
		Expected: "operators approve a next version that holds the changes of both",
	})
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
