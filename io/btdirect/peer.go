package btdirect

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrytide/core/btgossip"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btrate"
	"bilberrytide/io/btcall"
)

// Paths of the calls to an entry.
const (
	// PathRoster is the path on which an entry gives agents the roster of a service.
	PathRoster = "/v1/roster"
	// PathLoad is the path on which an entry receives the load reports of group leads.
	PathLoad = "/v1/load"
	// pathHello is the path on which an entry receives the hellos of other entries.
	pathHello = "/v1/hello"
)

const (
	// helloInterval is how often an entry sends hellos; helloTimeout limits the wait
	// for the reply.
	helloInterval = 500 * time.Millisecond
	helloTimeout  = 400 * time.Millisecond
	// listReaders is how many entries read the list of targets from the source: the first
	// ones in the reading order. The others receive it from them. There are several, so
	// that the loss of one causes no delay.
	listReaders = 3
	// peerListTTL is how old a list that another entry has read may be. An entry without
	// one as recent as this reads the source itself half a second later at the latest
	// (btgossip.Membership.ExtraWait).
	peerListTTL = 1300 * time.Millisecond
)

// peers exchanges state with the other entries.
type peers struct {
	entry *Entry
	calls *btcall.Client

	mu         sync.Mutex
	membership *btgossip.Membership
	random     *rand.Rand
	// seeds are the seeds of the settings in force.
	seeds []netip.AddrPort
	// knewOthers is set once another entry has been known.
	knewOthers bool
}

func newPeers(e *Entry) *peers {
	return &peers{
		entry:      e,
		calls:      btcall.NewClient(),
		membership: btgossip.New(e.options.Settings.Peer),
		random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		seeds:      e.options.Settings.Seeds,
	}
}

// serve answers calls of the fleet's processes until the context ends.
func (p *peers) serve(ctx context.Context, listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle("POST "+PathRoster, btcall.Handle(p.handleRoster))
	mux.Handle("POST "+PathLoad, btcall.Handle(p.handleLoad))
	mux.Handle("POST "+pathHello, btcall.Handle(p.handleHello))
	mux.Handle("POST "+pathQuarantine, btcall.Handle(p.handleQuarantine))
	return btcall.Serve(ctx, listener, mux)
}

// run sends hellos until the context ends.
func (p *peers) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.entry.fleet.observeEntries(p.list())
		for _, to := range p.contacts() {
			go p.sendHello(ctx, to)
		}
		sleep(ctx, p.interval())
	}
}

// interval returns the time until the next hellos.
func (p *peers) interval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.membership.Searches() {
		return btgossip.SearchInterval
	}
	return helloInterval
}

// reading returns this entry's part in reading the source.
func (p *peers) reading() reading {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	return reading{rank: p.membership.Rank(), extraWait: p.membership.ExtraWait(listReaders), substitutes: p.membership.Substitutes(listReaders)}
}

// contacts returns the entries to send a hello to.
func (p *peers) contacts() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	return p.membership.Peers(p.seeds, listReaders, p.random)
}

// setSeeds replaces the seeds.
func (p *peers) setSeeds(seeds []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// sendHello sends one hello and applies the reply.
func (p *peers) sendHello(ctx context.Context, to netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	rates := p.entry.fleet.ratesSummary()
	targets, cells := p.entry.cache.digests()
	h := hello{
		From:       p.entry.options.Settings.Peer,
		Catalog:    p.entry.cache.version(),
		Targets:    targets,
		Cells:      cells,
		Quarantine: p.entry.quarantine.Digest(),
		Parts:      p.entry.quarantine.parts.Digest(),
		Rates:      rates.Digest,
		RateCells:  rates.Cells,
		News:       p.entry.recentRates(),
		WantsSlack: !p.entry.knowsSlackPart(),
	}
	askedAt := p.entry.options.Clock()
	reply, err := btcall.Call[helloReply](ctx, p.calls, to, pathHello, h)
	if err != nil {
		// An entry that is gone expires once nobody has received a hello from it for a while.
		p.entry.meter.Counter(metricHellos + "failed").Inc(1)
		p.observeReply(to, false)
		return
	}
	p.mergeSightings(askedAt, to, reply.Entries)
	p.observeReply(to, reply.List.fresh())
	if len(reply.Catalog) > 0 {
		p.entry.cache.mergeCatalog(reply.Catalog, to)
	}
	p.entry.cache.mergeList(reply.List, targets, askedAt, to)
	p.entry.quarantine.mergeReply(reply, to)
	p.entry.mergeRates(reply.Rates, askedAt, to)
	p.entry.receiveSlack(reply.Slack, to)
}

// metricListTargets counts the records of targets sent to other entries,
// metricRosterTargets those sent to agents.
const (
	metricListTargets   = "list.targets_sent"
	metricRosterTargets = "roster.targets_sent"
)

// metricHellos is the prefix of the counters of hellos by result.
const metricHellos = "peers.greetings_"

// handleHello answers another entry's hello.
func (p *peers) handleHello(_ context.Context, h hello) (helloReply, error) {
	// The hello may have been in transit for this long, so its records count as that
	// much older.
	p.entry.mergeRates(h.News, p.entry.options.Clock().Add(-helloTimeout), h.From)
	list := p.entry.cache.ownList(h.Targets, h.Cells)
	p.entry.meter.Counter(metricListTargets).Inc(int64(len(list.Targets)))
	entries := p.observeHello(h.From)
	var slack slackGrant
	if h.WantsSlack {
		slack = p.entry.grantSlack(h.From)
	}
	return helloReply{
		Entries:    entries,
		Slack:      slack,
		Catalog:    p.entry.cache.catalogAfter(h.Catalog),
		List:       list,
		Quarantine: p.entry.quarantine.ExportIfChanged(h.Quarantine),
		KnowsAll:   p.entry.quarantine.hasFullHistory(),
		Suspects:   p.entry.quarantine.ExportSuspects(),
		Parts:      p.entry.quarantine.parts.ExportIfChanged(h.Parts),
		Rates:      p.entry.ratesFor(btrate.Summary{Digest: h.Rates, Cells: h.RateCells}),
	}, nil
}

// observeHello records a hello, and returns the sightings for the reply.
func (p *peers) observeHello(from netip.AddrPort) []btgossip.Sighting {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.entry.options.Clock()
	p.logChanges(p.membership.Observe(now, from))
	return p.membership.Sample(now, p.random)
}

// mergeSightings records that an entry has replied, and merges the sightings that it
// sent.
func (p *peers) mergeSightings(askedAt time.Time, from netip.AddrPort, sightings []btgossip.Sighting) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.entry.options.Clock()
	p.logChanges(p.membership.Observe(now, from))
	p.logChanges(p.membership.Merge(now, askedAt, sightings))
}

// observeReply records whether an entry's reply had a list that it has just read itself.
func (p *peers) observeReply(from netip.AddrPort, hasList bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.membership.ObserveReply(from, hasList)
}

// expire removes entries that nobody has received a hello from recently. p.mu must be held.
func (p *peers) expire() { p.logChanges(p.membership.Expire(p.entry.options.Clock())) }

// logChanges logs which entries became known or were forgotten.
func (p *peers) logChanges(changes []btgossip.Change) {
	for _, c := range changes {
		p.knewOthers = p.knewOthers || c.Known
		if c.Known {
			p.entry.log.Info("entry known", "entry", c.Address)
			continue
		}
		p.entry.log.Info("entry forgotten", "entry", c.Address, "age_ms", c.Age.Milliseconds())
	}
}

// count returns the number of other entries known.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.membership.Count()
}

// hasOtherSeeds reports whether any seed is another entry. An entry without one learns of the
// others when they contact it.
func (p *peers) hasOtherSeeds() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.entry.options.Settings.Peer
	return slices.ContainsFunc(p.seeds, func(a netip.AddrPort) bool { return a != self })
}

// hasKnownOthers reports whether another entry has been known since this one started.
func (p *peers) hasKnownOthers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.knewOthers
}

// list returns the other entries known, ordered by address.
func (p *peers) list() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	return p.membership.List()
}

// handleRoster answers an agent's request for a roster.
func (p *peers) handleRoster(_ context.Context, q RosterRequest) (btinventory.Roster, error) {
	r, err := p.entry.cache.roster(rosterKey{service: q.Service, group: q.Group})
	if err != nil {
		return btinventory.Roster{}, err
	}
	answer := r.answer(q)
	entries := append(p.list(), p.entry.options.Settings.Peer)
	p.entry.meter.Counter(metricRosterTargets).Inc(int64(len(answer.Targets)))
	answer.EntriesDigest = entriesDigest(entries)
	if answer.EntriesDigest != q.KnownEntries {
		answer.Entries = entries
	}
	return answer, nil
}

// entriesDigest returns the digest of the addresses, whatever their order.
func entriesDigest(entries []netip.AddrPort) uint64 {
	var digest uint64
	for _, e := range entries {
		digest ^= xxhash.Sum64String(e.String())
	}
	return digest
}

// handleLoad applies a lead's load report and returns the service's latency ratio.
func (p *peers) handleLoad(_ context.Context, l LoadReport) (LatencyRatio, error) {
	if p.entry.fleet.applyLoadReport(l) {
		p.entry.log.Info("group open", "service", l.Service, "epoch", l.Epoch, "evidence", "lead")
	}
	if total, known := p.entry.fleet.totalRequests(l.Service); known {
		p.entry.admission.observeTotal(l.Service, total)
	}
	return p.entry.admission.latencyRatio(l.Service), nil
}
