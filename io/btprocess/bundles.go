package btprocess

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bilberrytide/core/btannounce"
	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btplatform"
)

const (
	registerTick   = 250 * time.Millisecond
	announceEvery  = time.Second
	announceWait   = time.Second
	fetchWait      = 3 * time.Second
	startupPeers   = 3
	announcedPeers = 2
)

// Bundles keeps the bundle in force in one process: it reads the configuration
// service when it is this process's turn, hears from peers, and tells them.
type Bundles struct {
	self     btpeer.Identity
	place    btid.DataCentre
	node     *btpeer.Node
	watcher  *btplatform.Watcher
	approve  btbundle.Approvers
	policy   btbundle.ReaderPolicy
	meter    *btmetric.Meter
	decided  *btmetric.Decisions
	log      *slog.Logger
	clock    btloop.Clock
	loop     *btloop.Loop[btbundle.RegisterEvent, btbundle.RegisterEffect]
	current  atomic.Pointer[btbundle.Approved]
	onChange []func(*btbundle.Approved)
	started  time.Time

	mu     sync.Mutex
	random *rand.Rand
	reads  map[btbundle.Peer]time.Time
	// boot is the service's first value, whose entries are asked before it is
	// believed.
	boot *btbundle.Approved
}

// BundlesOptions are the dependencies of Bundles.
type BundlesOptions struct {
	DataCentre btid.DataCentre
	Node       *btpeer.Node
	Platform   *btplatform.Client
	// Key is the configuration key under which the bundle is published.
	Key       string
	Approvers btbundle.Approvers
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
		self:    o.Node.Identity(),
		place:   o.DataCentre,
		node:    o.Node,
		approve: o.Approvers,
		policy:  btbundle.DefaultReaderPolicy(),
		meter:   o.Meter,
		decided: o.Decisions,
		log:     o.Log,
		clock:   o.Clock,
		random:  o.Random,
		started: o.Clock(),
		reads:   map[btbundle.Peer]time.Time{},
	}
	register := btbundle.NewRegister(btbundle.DefaultRegisterConfig(o.Approvers), o.Assert, fork(o.Random))
	b.loop = btloop.New(register, o.Clock, b.apply)
	b.watcher = btplatform.NewWatcher(btplatform.WatcherOptions{
		Client:   o.Platform,
		Key:      o.Key,
		Deliver:  b.offer,
		Registry: o.Meter.Registry(),
		Log:      o.Log,
	})
	o.Node.Handle(KindAnnounce, btpeer.Answer(b.answerAnnounce))
	o.Node.Handle(KindBundle, btpeer.Answer(b.answerFetch))
	return b
}

// fork returns a source that another goroutine may use.
func fork(r *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(r.Uint64(), r.Uint64())) }

// Current returns the bundle in force, or nil.
func (b *Bundles) Current() *btbundle.Approved { return b.current.Load() }

// OnChange has f called with each bundle that comes into force, one at a time.
// It is called before Run.
func (b *Bundles) OnChange(f func(*btbundle.Approved)) { b.onChange = append(b.onChange, f) }

// Announcement returns what this process tells others.
func (b *Bundles) Announcement() btannounce.Announcement {
	age := btannounce.Never
	if read := b.watcher.State().Contact; !read.IsZero() {
		age = max(0, b.clock().Sub(read))
	}
	return btannounce.Announcement{Order: b.Current().Order(), ReadAge: age}
}

// Heard takes what a peer announced.
func (b *Bundles) Heard(from btpeer.Identity, a btannounce.Announcement) {
	peer := btbundle.Peer(from.String())
	if a.ReadAge != btannounce.Never {
		b.mu.Lock()
		b.reads[peer] = b.clock().Add(-a.ReadAge)
		b.mu.Unlock()
	}
	b.loop.Post(btbundle.Heard{Version: a.Order.Version, Digest: a.Order.Digest, From: peer})
}

// Run keeps the bundle up to date until the context ends.
func (b *Bundles) Run(ctx context.Context) error {
	go b.loop.Every(ctx, registerTick, func() btbundle.RegisterEvent { return btbundle.Tick{} })
	go b.announce(ctx)
	b.read(ctx)
	return nil
}

// read watches the service while it is this process's turn.
func (b *Bundles) read(ctx context.Context) {
	for ctx.Err() == nil {
		if b.turn() {
			b.watch(ctx)
		}
		wait(ctx, announceEvery)
	}
}

// watch follows the service until it is another's turn.
func (b *Bundles) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var watching errgroup.Group
	watching.Go(func() error { return b.watcher.Run(ctx) })
	for ctx.Err() == nil && b.turn() {
		wait(ctx, announceEvery)
	}
	cancel()
	_ = watching.Wait()
}

// offer hands the register the service's value; the first one also tells whom
// to ask before it is believed.
func (b *Bundles) offer(ctx context.Context, value btplatform.Value) {
	if b.Current() == nil {
		b.ask(ctx, value.Data)
	}
	b.loop.Post(btbundle.Offered{Raw: value.Data})
}

func (b *Bundles) ask(ctx context.Context, raw []byte) {
	signed, err := btbundle.ParseSigned(raw)
	if err != nil {
		return
	}
	boot, err := b.approve.Verify(signed)
	if err != nil {
		return
	}
	b.mu.Lock()
	b.boot = boot
	b.mu.Unlock()
	endpoints := b.choose(boot, startupPeers)
	var peers []btbundle.Peer
	for _, e := range endpoints {
		peers = append(peers, btbundle.Peer(e.Identity.String()))
	}
	b.loop.Post(btbundle.Started{Peers: peers})
	for _, e := range endpoints {
		go b.exchange(ctx, e)
	}
}

// turn tells whether this process reads the service now.
func (b *Bundles) turn() bool {
	current := b.Current()
	if current == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	self := btbundle.Peer(b.self.String())
	members := []btbundle.Reader{{Name: self, LastRead: b.watcher.State().Contact}}
	for _, e := range current.Bundle.Entries {
		name := btbundle.Peer(EntryIdentity(e.Name).String())
		if e.DataCentre != b.place || name == self {
			continue
		}
		members = append(members, btbundle.Reader{Name: name, LastRead: b.reads[name]})
	}
	return b.policy.Reads(b.clock(), b.started, self, members)
}

// apply carries out one effect of the register.
func (b *Bundles) apply(effect btbundle.RegisterEffect) {
	switch e := effect.(type) {
	case btbundle.InForce:
		b.inForce(e)
	case btbundle.Fetch:
		go b.fetch(e)
	case btbundle.Refused:
		b.meter.Refused(e.Reason)
		b.log.Warn("bundle refused", "reason", e.Reason, "source", e.Source, "error", e.Err)
	case btbundle.Conflict:
		b.conflict(e)
	case btbundle.Held:
		b.log.Info("bundle held until peers answer", "bundle_version", e.Order.Version)
	}
}

func (b *Bundles) inForce(e btbundle.InForce) {
	b.current.Store(e.Approved)
	order := e.Approved.Order()
	b.meter.Gauge("bundle.version").Update(int64(order.Version))
	b.log.Info("bundle in force", "bundle_version", order.Version, "digest", order.Digest, "source", e.Source, "approvers", e.Approved.Signers)
	b.decided.Add(btmetric.Decision{
		Time:     b.clock(),
		Act:      "bundle_in_force",
		Subject:  fmt.Sprintf("bundle %d", order.Version),
		Cause:    "an approved bundle that is higher than the one before came from the " + e.Source.String(),
		Evidence: fmt.Sprintf("previous version %d, approved by %v", e.Previous.Order().Version, e.Approved.Signers),
		Expected: "all processes have it in force within seconds",
	})
	for _, f := range b.onChange {
		f(e.Approved)
	}
}

func (b *Bundles) conflict(e btbundle.Conflict) {
	b.meter.Counter("bundle.conflicts").Inc(1)
	b.log.Error("two approved bundles have one version", "bundle_version", e.Version, "kept", e.Kept, "lost", e.Lost, "source", e.Source)
	b.decided.Add(btmetric.Decision{
		Time:     b.clock(),
		Act:      "bundle_conflict",
		Subject:  fmt.Sprintf("bundle %d", e.Version),
		Cause:    "two approved bundles have this version; the higher digest is in force everywhere",
		Evidence: fmt.Sprintf("kept %s, lost %s", e.Kept, e.Lost),
		Expected: "operators approve a next version that holds the changes of both",
	})
}

// fetch gets the signed file that a peer announced.
func (b *Bundles) fetch(f btbundle.Fetch) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchWait)
	defer cancel()
	to, found := b.endpoint(f.From)
	if !found {
		b.loop.Post(btbundle.FetchFailed{From: f.From, Asked: f.Order(), Err: fmt.Errorf("no address for %s", f.From)})
		return
	}
	file, err := btpeer.Call[btannounce.Ask, btannounce.File](ctx, b.node, to, KindBundle, btannounce.Ask{Order: f.Order()})
	if err != nil {
		b.loop.Post(btbundle.FetchFailed{From: f.From, Asked: f.Order(), Err: err})
		return
	}
	b.loop.Post(btbundle.Offered{Raw: file.Raw, Source: btbundle.Source{Peer: f.From}, Asked: f.Order()})
}

func (b *Bundles) answerFetch(context.Context, btpeer.Identity, btannounce.Ask) (btannounce.File, error) {
	current := b.Current()
	if current == nil {
		return btannounce.File{}, nil
	}
	return btannounce.File{Raw: current.Raw}, nil
}

func (b *Bundles) answerAnnounce(_ context.Context, from btpeer.Identity, a btannounce.Announcement) (btannounce.Announcement, error) {
	b.Heard(from, a)
	return b.Announcement(), nil
}

// announce exchanges announcements with a few entries chosen anew each time, so
// that news reaches all in a number of rounds that grows with the logarithm of
// the fleet.
func (b *Bundles) announce(ctx context.Context) {
	for ctx.Err() == nil {
		if known := b.known(); known != nil {
			for _, e := range b.choose(known, announcedPeers) {
				go b.exchange(ctx, e)
			}
		}
		wait(ctx, announceEvery)
	}
}

func (b *Bundles) exchange(ctx context.Context, to btpeer.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, announceWait)
	defer cancel()
	a, err := btpeer.Call[btannounce.Announcement, btannounce.Announcement](ctx, b.node, to, KindAnnounce, b.Announcement())
	if err != nil {
		b.meter.Refused(reasonAnnounceFailed)
		return
	}
	b.Heard(to.Identity, a)
}

const reasonAnnounceFailed btrequest.Reason = "announce_failed"

// known returns the bundle by which peers' addresses are known.
func (b *Bundles) known() *btbundle.Approved {
	if current := b.Current(); current != nil {
		return current
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.boot
}

// choose returns a few other entries: one of the same data centre first.
func (b *Bundles) choose(a *btbundle.Approved, count int) []btpeer.Endpoint {
	var near, all []btpeer.Endpoint
	for _, e := range a.Bundle.Entries {
		endpoint := btpeer.Endpoint{Identity: EntryIdentity(e.Name), Address: e.Address}
		if endpoint.Identity == b.self {
			continue
		}
		if e.DataCentre == b.place {
			near = append(near, endpoint)
		}
		all = append(all, endpoint)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	chosen := all[:min(count, len(all))]
	if len(near) > 0 && len(chosen) > 0 {
		first := near[b.random.IntN(len(near))]
		for i := range chosen {
			if chosen[i] == first {
				return chosen
			}
		}
		chosen[0] = first
	}
	return chosen
}

func (b *Bundles) endpoint(peer btbundle.Peer) (btpeer.Endpoint, bool) {
	known := b.known()
	if known == nil {
		return btpeer.Endpoint{}, false
	}
	return EndpointOf(known.Index, peer)
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
