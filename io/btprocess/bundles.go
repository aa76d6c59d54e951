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
	registerTickInterval = 250 * time.Millisecond
	announceInterval     = time.Second
	announceTimeout      = time.Second
	fetchTimeout         = time.Second
)

// Bundles keeps the bundle in force in one process up to date. It reads the
// configuration service when it is this process's turn, and exchanges announcements
// with peers. It is safe for concurrent use.
type Bundles struct {
	options  BundlesOptions
	self     btpeer.Identity
	watcher  *btplatform.Watcher
	loop     *btloop.Loop[btbundle.RegisterEvent, btbundle.RegisterEffect]
	current  atomic.Pointer[installedBundle]
	onChange []func(*btbundle.Approved)
	started  time.Time

	mu     sync.Mutex
	random *rand.Rand
	// changed is closed, and replaced, when a bundle comes into force.
	changed chan struct{}
	// lastRefusal is the cause of the last refusal that was recorded as a decision. Only
	// the register's loop uses it.
	lastRefusal string
	// bootstrap is the bundle that the configuration service returned while none was in
	// force. Its entries are asked for a newer one before it comes into force.
	bootstrap *btbundle.Approved
	// turns decides whether this process reads the configuration service.
	turns *btreader.Selector
	// round is the number of the current round of announcements.
	round int
}

// installedBundle is the bundle in force, its file, compressed on first use, and how it
// lists this process.
type installedBundle struct {
	approved *btbundle.Approved
	file     func() btannounce.File
	listing  Listing
}

// BundlesOptions are the dependencies of Bundles.
type BundlesOptions struct {
	DataCentre btid.DataCentre
	// Host is the host on which the process runs, from its settings.
	Host     btid.Host
	Node     *btpeer.Node
	Platform *btplatform.Client
	// Key is the configuration key under which the bundle is published.
	Key       string
	Approvers btbundle.Approvers
	// Seeds are the entries to ask while no bundle is in force.
	Seeds     []btpeer.Endpoint
	Meter     *btmetric.Meter
	Decisions *btmetric.Decisions
	Log       *slog.Logger
	Clock     btloop.Clock
	Assert    *btassert.Asserter
	Random    *rand.Rand
}

// NewBundles returns a Bundles with no bundle in force and registers its handlers with
// the node.
func NewBundles(o BundlesOptions) *Bundles {
	b := &Bundles{
		options: o,
		self:    o.Node.Identity(),
		random:  o.Random,
		changed: make(chan struct{}),
		started: o.Clock(),
	}
	b.turns = btreader.New(btbundle.Peer(b.self.String()), peersFrom(o.Seeds), b.started, o.Random)
	register := btbundle.NewRegister(btbundle.DefaultRegisterConfig(o.Approvers), o.Assert, forkRandom(o.Random))
	b.loop = btloop.New(register, o.Clock, b.apply)
	b.watcher = btplatform.NewWatcher(btplatform.WatcherOptions{
		Client:   o.Platform,
		Key:      o.Key,
		Deliver:  b.deliver,
		Registry: o.Meter.Registry(),
		Log:      o.Log,
		Wait:     btreader.WatchTimeout,
	})
	o.Node.Handle(KindAnnounce, btpeer.Answer(b.handleAnnounce))
	o.Node.Handle(KindBundle, btpeer.Answer(b.handleFetch))
	return b
}

// forkRandom returns a new source, seeded from r, for use by another goroutine.
func forkRandom(r *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(r.Uint64(), r.Uint64())) }

// Current returns the bundle in force, or nil.
func (b *Bundles) Current() *btbundle.Approved {
	if installed := b.current.Load(); installed != nil {
		return installed.approved
	}
	return nil
}

// OnChange registers f, which is called with each bundle that comes into force, one
// call at a time. It must be called before Run.
func (b *Bundles) OnChange(f func(*btbundle.Approved)) { b.onChange = append(b.onChange, f) }

// Changed returns a channel that is closed when the next bundle comes into force.
func (b *Bundles) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Run keeps the bundle up to date until the context ends. It returns nil.
func (b *Bundles) Run(ctx context.Context) error {
	if len(b.options.Seeds) > 0 {
		b.loop.Post(btbundle.Started{Peers: peersFrom(b.options.Seeds)})
	}
	go b.loop.Every(ctx, registerTickInterval, func() btbundle.RegisterEvent { return btbundle.Tick{} })
	go b.runAnnouncements(ctx)
	b.runReads(ctx)
	return nil
}

func peersFrom(endpoints []btpeer.Endpoint) []btbundle.Peer {
	var peers []btbundle.Peer
	for _, e := range endpoints {
		peers = append(peers, btbundle.Peer(e.Identity.String()))
	}
	return peers
}

// apply executes one effect of the register.
func (b *Bundles) apply(effect btbundle.RegisterEffect) {
	o := b.options
	switch e := effect.(type) {
	case btbundle.InForce:
		b.install(e)
	case btbundle.Fetch:
		go b.fetch(e)
	case btbundle.Refused:
		b.recordRefusal(e)
	case btbundle.Conflict:
		b.recordConflict(e)
	case btbundle.Deferred:
		o.Log.Info("bundle held until peers answer", "bundle_version", e.Revision.Version)
	}
}

func (b *Bundles) install(e btbundle.InForce) {
	raw := e.Approved.Raw
	file := sync.OnceValue(func() btannounce.File { return btannounce.Pack(raw) })
	b.recordInstall(e)
	listing := b.updateListing(e.Approved)
	// The store comes after the listing and the decisions are recorded, so that a reader
	// that sees the new bundle sees them too.
	b.current.Store(&installedBundle{approved: e.Approved, file: file, listing: listing})
	for _, f := range b.onChange {
		f(e.Approved)
	}
	b.mu.Lock()
	close(b.changed)
	b.changed = make(chan struct{})
	b.mu.Unlock()
}

// recordInstall updates the metric, the log and the decisions for a bundle that comes
// into force.
func (b *Bundles) recordInstall(e btbundle.InForce) {
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

// recordRefusal counts and logs a refused bundle. A refusal that an operator has to
// resolve is also recorded as a decision, unless it repeats the last one. Refusals that
// races and restarts cause are not.
func (b *Bundles) recordRefusal(e btbundle.Refused) {
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

// operatorFaults are the reasons for refusal that an operator has to resolve.
var operatorFaults = []btrequest.Reason{
	btbundle.ReasonTooLarge,
	btbundle.ReasonSignature,
	btbundle.ReasonMalformed,
}

func (b *Bundles) recordConflict(e btbundle.Conflict) {
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

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
