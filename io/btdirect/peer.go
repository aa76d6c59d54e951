package btdirect

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btwire"
	"bilberrytide/io/btcall"
)

// Paths of the calls to an entry.
const (
	// PathRoster is where an entry tells agents of the fleet.
	PathRoster = "/v1/roster"
	// PathLoad is where an entry hears of a group from the group's lead.
	PathLoad = "/v1/load"
	// pathHello is where entries hear of each other.
	pathHello = "/v1/hello"
)

const (
	// helloEvery is how often an entry makes itself known; helloTime bounds the
	// answer.
	helloEvery = 500 * time.Millisecond
	helloTime  = 400 * time.Millisecond
	// readers is how many entries read the list of targets while all is well; the
	// others hear it from them. More than one, so that a reader which is lost
	// costs nothing.
	readers = 3
	// heardFresh is how old a list may be that another entry has read. An entry
	// that hears none so fresh reads itself; so a change is known everywhere
	// within two seconds at the most.
	heardFresh = 1300 * time.Millisecond
	// peerAway is after how long without a word an entry is forgotten.
	peerAway = 4 * time.Second
	// maxPeers bounds the entries that are remembered.
	maxPeers = 1024
)

// RosterQuestion asks an entry for a service's targets.
type RosterQuestion struct {
	Service btid.Service `cbor:"service"`
	// Known is the digest of the roster that the agent has.
	Known uint64 `cbor:"known"`
}

// errQuestion means that a question names no service.
var errQuestion = errors.New("question without a service")

// Validate reports a question that names no service.
func (q RosterQuestion) Validate() error {
	if q.Service == "" {
		return errQuestion
	}
	return nil
}

// Load is what a group's lead tells entries of the group.
type Load struct {
	Service btid.Service `cbor:"service"`
	Epoch   uint64       `cbor:"epoch"`
	// Open tells that the group is whole.
	Open  bool         `cbor:"open"`
	Ranks []TargetLoad `cbor:"ranks"`
}

// TargetLoad is the load of one member.
type TargetLoad struct {
	_       struct{}       `cbor:",toarray"`
	Address netip.AddrPort `cbor:"address"`
	// Requests are those that run and those that wait.
	Requests int `cbor:"requests"`
	// Pace is above 1 where the engine is slow.
	Pace float32 `cbor:"pace"`
}

// Validate reports a load of no service.
func (l Load) Validate() error {
	if l.Service == "" {
		return errQuestion
	}
	return nil
}

// Strain answers a lead: how near the service's answers come to what callers are
// promised, as this entry sees it.
type Strain struct {
	// Value is what nearly all pauses and first events stay below, as a share of
	// the time that they may take. It is of no use without Streams.
	Value float64 `cbor:"value"`
	// Streams is how many of the service's streams the entry relays.
	Streams int `cbor:"streams"`
}

// errStrain means that a strain is no share or counts no streams.
var errStrain = errors.New("strain must be a number from zero on, and so must its streams")

// Validate reports a strain that can't have been measured.
func (s Strain) Validate() error {
	if !(s.Value >= 0) || math.IsInf(s.Value, 0) || s.Streams < 0 {
		return errStrain
	}
	return nil
}

// hello makes an entry known to another and asks for others.
type hello struct {
	From netip.AddrPort `cbor:"from"`
	// Catalog is the version in force at the sender, Targets the digest of the
	// targets that it knows.
	Catalog uint64 `cbor:"catalog"`
	Targets uint64 `cbor:"targets"`
}

// Validate reports a hello from nowhere.
func (h hello) Validate() error {
	if !h.From.IsValid() {
		return fmt.Errorf("hello without an address")
	}
	return nil
}

// welcome answers a hello.
type welcome struct {
	Entries []netip.AddrPort `cbor:"entries"`
	// Catalog is set where the sender of the hello has an older one.
	Catalog []byte `cbor:"catalog,omitempty"`
	// List is what the entry has read itself.
	List ReadList `cbor:"list"`
}

// ReadList is what an entry has read of the list of targets.
type ReadList struct {
	// Revision is the list's, Age how long ago it was read; an entry that has not
	// read it itself has no revision.
	Revision uint64        `cbor:"revision"`
	Age      time.Duration `cbor:"age"`
	// Targets are left out where the asking entry knows the same ones.
	Targets []btinventory.Target `cbor:"targets,omitempty"`
	Same    bool                 `cbor:"same,omitempty"`
}

// Validate reports a welcome with too many entries.
func (w welcome) Validate() error {
	if len(w.Entries) > maxPeers {
		return fmt.Errorf("welcome with %d entries", len(w.Entries))
	}
	if w.List.Age < 0 {
		return fmt.Errorf("welcome with a list read in %s", -w.List.Age)
	}
	for _, t := range w.List.Targets {
		if err := t.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// peers knows the other entries.
type peers struct {
	entry *Entry
	calls *btcall.Client

	mu   sync.Mutex
	seen map[netip.AddrPort]time.Time
	// seeds are those of the settings in force.
	seeds []netip.AddrPort
}

func newPeers(e *Entry) *peers {
	return &peers{entry: e, calls: btcall.NewClient(), seen: make(map[netip.AddrPort]time.Time), seeds: e.options.Settings.Seeds}
}

// serve answers the fleet's own processes until the context ends.
func (p *peers) serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", p.entry.options.Settings.Peer.String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("POST "+PathRoster, btcall.Handle(p.roster))
	mux.Handle("POST "+PathLoad, btcall.Handle(p.load))
	mux.Handle("POST "+pathHello, btcall.Handle(p.hear))
	return btcall.Serve(ctx, listener, mux)
}

// run makes the entry known until the context ends.
func (p *peers) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, to := range p.contacts() {
			go p.greet(ctx, to)
		}
		sleep(ctx, helloEvery)
	}
}

// reads tells whether this entry is one of those that read the list: the first
// in order of addresses.
func (p *peers) reads() bool {
	before := 0
	for _, a := range p.list() {
		if a.Compare(p.entry.options.Settings.Peer) < 0 {
			before++
		}
	}
	return before < readers
}

// firstReader returns an entry that reads the list, by turns.
func (p *peers) firstReader() (netip.AddrPort, bool) {
	list := p.list()
	if len(list) == 0 {
		return netip.AddrPort{}, false
	}
	return list[rand.IntN(min(readers, len(list)))], true
}

// contacts is whom the entry greets: the seeds, one that reads the list, and one
// other that it knows, so that what the seeds don't know spreads too.
func (p *peers) contacts() []netip.AddrPort {
	self := p.entry.options.Settings.Peer
	known := p.list()
	p.mu.Lock()
	list := slices.Clone(p.seeds)
	p.mu.Unlock()
	if len(known) > 0 {
		list = append(list, known[rand.IntN(len(known))])
	}
	if reader, found := p.firstReader(); found {
		list = append(list, reader)
	}
	list = slices.DeleteFunc(list, func(a netip.AddrPort) bool { return a == self })
	slices.SortFunc(list, netip.AddrPort.Compare)
	return slices.Compact(list)
}

// reseed puts other seeds in force.
func (p *peers) reseed(seeds []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// greet sends one hello and takes the answer in.
func (p *peers) greet(ctx context.Context, to netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, helloTime)
	defer cancel()
	h := hello{From: p.entry.options.Settings.Peer, Catalog: p.entry.knowledge.version(), Targets: p.entry.knowledge.digest()}
	asked := p.entry.options.Clock()
	w, err := btcall.Call[welcome](ctx, p.calls, to, pathHello, h)
	if err != nil {
		// An entry that is away is forgotten by its age.
		p.entry.meter.Counter(metricGreetings + "failed").Inc(1)
		return
	}
	p.saw(to)
	for _, e := range w.Entries {
		p.heardOf(e)
	}
	if len(w.Catalog) > 0 {
		p.entry.knowledge.learn(w.Catalog, to)
	}
	p.entry.knowledge.learnList(w.List, asked, to)
}

// metricGreetings counts what came of greetings.
const metricGreetings = "peers.greetings_"

// hear answers another entry's hello.
func (p *peers) hear(_ context.Context, h hello) (welcome, error) {
	p.saw(h.From)
	return welcome{
		Entries: p.list(),
		Catalog: p.entry.knowledge.newerThan(h.Catalog),
		List:    p.entry.knowledge.readList(h.Targets),
	}, nil
}

// saw notes an entry that has answered or asked.
func (p *peers) saw(a netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.seen[a]; !known {
		if len(p.seen) >= maxPeers {
			return
		}
		p.entry.log.Info("entry known", "entry", a)
	}
	p.seen[a] = p.entry.options.Clock()
}

// heardOf notes an entry that another knows; it is greeted and, if it doesn't
// answer, forgotten.
func (p *peers) heardOf(a netip.AddrPort) {
	if a == p.entry.options.Settings.Peer {
		return
	}
	p.mu.Lock()
	_, known := p.seen[a]
	p.mu.Unlock()
	if !known {
		p.saw(a)
	}
}

// count returns how many entries are known, without this one.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.seen)
}

// list lists the entries known, without this one, in order.
func (p *peers) list() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.entry.options.Clock()
	list := make([]netip.AddrPort, 0, len(p.seen))
	for a, at := range p.seen {
		if now.Sub(at) > peerAway {
			delete(p.seen, a)
			p.entry.log.Info("entry forgotten", "entry", a, "age_ms", now.Sub(at).Milliseconds())
			continue
		}
		list = append(list, a)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

// errNothingKnown means that the entry has read no list yet.
var errNothingKnown = errors.New("no list of targets read yet")

// roster answers an agent.
func (p *peers) roster(_ context.Context, q RosterQuestion) (btinventory.Roster, error) {
	index := p.entry.knowledge.index.Load()
	if index == nil {
		return btinventory.Roster{}, errNothingKnown
	}
	r := btinventory.Roster{Targets: p.entry.knowledge.targetsOf(q.Service)}
	if s, found := index.Service(q.Service); found && s.Engine != nil {
		r.Group = s.Engine.Group
	}
	data, err := btwire.Encode(r)
	if err != nil {
		return btinventory.Roster{}, err
	}
	r.Digest = xxhash.Sum64(data)
	if r.Digest == q.Known {
		r.Targets = nil
		r.Group = nil
	}
	r.Entries = append(p.list(), p.entry.options.Settings.Peer)
	return r, nil
}

// load takes a group's load in.
func (p *peers) load(_ context.Context, l Load) (Strain, error) {
	if p.entry.fleet.hear(l) {
		p.entry.log.Info("group open", "service", l.Service, "epoch", l.Epoch, "evidence", "lead")
	}
	if total, known := p.entry.fleet.total(l.Service); known {
		p.entry.admission.hear(l.Service, total)
	}
	return p.entry.admission.strain(l.Service), nil
}
