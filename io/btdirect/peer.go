package btdirect

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"bilberrytide/core/btgossip"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btrate"
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
)

// peers knows the other entries.
type peers struct {
	entry *Entry
	calls *btcall.Client

	mu       sync.Mutex
	register *btgossip.Membership
	random   *rand.Rand
	// seeds are those of the settings in force.
	seeds []netip.AddrPort
}

func newPeers(e *Entry) *peers {
	return &peers{
		entry:    e,
		calls:    btcall.NewClient(),
		register: btgossip.New(e.options.Settings.Peer),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		seeds:    e.options.Settings.Seeds,
	}
}

// serve answers the fleet's own processes until the context ends.
func (p *peers) serve(ctx context.Context) error {
	listener, err := p.entry.options.Listen(p.entry.options.Settings.Peer)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("POST "+PathRoster, btcall.Handle(p.roster))
	mux.Handle("POST "+PathLoad, btcall.Handle(p.load))
	mux.Handle("POST "+pathHello, btcall.Handle(p.hear))
	mux.Handle("POST "+pathQuarantine, btcall.Handle(p.hearQuarantine))
	return btcall.Serve(ctx, listener, mux)
}

// run makes the entry known until the context ends.
func (p *peers) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.entry.fleet.observe(p.list())
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

// contacts is whom the entry greets.
func (p *peers) contacts() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	return p.register.Peers(p.seeds, readers, p.random)
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
	rates := p.entry.fleet.ratesSummary()
	h := hello{
		From:       p.entry.options.Settings.Peer,
		Catalog:    p.entry.knowledge.version(),
		Targets:    p.entry.knowledge.digest(),
		Quarantine: p.entry.quarantine.Digest(),
		Rates:      rates.Digest,
		RateCells:  rates.Cells,
		News:       p.entry.ratesNews(),
	}
	asked := p.entry.options.Clock()
	w, err := btcall.Call[welcome](ctx, p.calls, to, pathHello, h)
	if err != nil {
		// An entry that is away is forgotten by its age.
		p.entry.meter.Counter(metricGreetings + "failed").Inc(1)
		return
	}
	p.heard(asked, to, w.Entries)
	if len(w.Catalog) > 0 {
		p.entry.knowledge.learn(w.Catalog, to)
	}
	p.entry.knowledge.learnList(w.List, asked, to)
	p.entry.quarantine.learn(w, to)
	p.entry.learnRates(w.Rates, asked, to)
}

// metricGreetings counts what came of greetings.
const metricGreetings = "peers.greetings_"

// hear answers another entry's hello.
func (p *peers) hear(_ context.Context, h hello) (welcome, error) {
	// It may have been as long on its way, so that it is taken for that much older.
	p.entry.learnRates(h.News, p.entry.options.Clock().Add(-helloTime), h.From)
	return welcome{
		Entries:    p.greeted(h.From),
		Catalog:    p.entry.knowledge.newerThan(h.Catalog),
		List:       p.entry.knowledge.readList(h.Targets),
		Quarantine: p.entry.quarantine.NewerThan(h.Quarantine),
		KnowsAll:   p.entry.quarantine.knowsAll(),
		Suspects:   p.entry.quarantine.Suspects(),
		Rates:      p.entry.tellRates(btrate.Summary{Digest: h.Rates, Cells: h.RateCells}),
	}, nil
}

// greeted notes that an entry has greeted, and returns what it is told of others.
func (p *peers) greeted(from netip.AddrPort) []btgossip.Sighting {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.entry.options.Clock()
	p.note(p.register.Observe(now, from))
	return p.register.Sample(now, p.random)
}

// heard notes that an entry has answered, and takes in what it tells of others.
func (p *peers) heard(asked time.Time, from netip.AddrPort, told []btgossip.Sighting) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.entry.options.Clock()
	p.note(p.register.Observe(now, from))
	p.note(p.register.Merge(now, asked, told))
}

// expire forgets entries that nobody has heard from. The lock is held.
func (p *peers) expire() { p.note(p.register.Expire(p.entry.options.Clock())) }

// note logs who has become known or was forgotten.
func (p *peers) note(changes []btgossip.Change) {
	for _, c := range changes {
		if c.Known {
			p.entry.log.Info("entry known", "entry", c.Address)
			continue
		}
		p.entry.log.Info("entry forgotten", "entry", c.Address, "age_ms", c.Age.Milliseconds())
	}
}

// count returns how many entries are known, without this one.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.register.Count()
}

// list lists the entries known, without this one, in order.
func (p *peers) list() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	return p.register.List()
}

// roster answers an agent.
func (p *peers) roster(_ context.Context, q RosterRequest) (btinventory.Roster, error) {
	r, err := p.entry.knowledge.rosterOf(q.Service)
	if err != nil {
		return r, err
	}
	if r.Digest == q.Known {
		r.Targets = nil
		r.Group = nil
	}
	r.Entries = append(p.list(), p.entry.options.Settings.Peer)
	return r, nil
}

// load takes a group's load in.
func (p *peers) load(_ context.Context, l LoadReport) (Strain, error) {
	if p.entry.fleet.applyLoadReport(l) {
		p.entry.log.Info("group open", "service", l.Service, "epoch", l.Epoch, "evidence", "lead")
	}
	if total, known := p.entry.fleet.total(l.Service); known {
		p.entry.admission.hear(l.Service, total)
	}
	return p.entry.admission.strain(l.Service), nil
}
