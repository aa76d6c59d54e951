package btmember

import (
	"slices"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrendezvous"
)

// FanOut bounds how many peers a process talks to about membership.
type FanOut struct {
	// Watchers is how many entries each agent sends its heartbeats to. A fleet
	// with no more entries than that needs no summaries.
	Watchers int
	// Branching is how many children a node of a summary tree has at most.
	Branching int
}

// DefaultFanOut returns a full mesh for up to eight entries.
func DefaultFanOut() FanOut { return FanOut{Watchers: 8, Branching: 3} }

// EntryLocation is where an entry stands.
type EntryLocation struct {
	Entry      btid.Entry
	DataCentre btid.DataCentre
}

// Link is a peer to which an entry sends summaries.
type Link struct {
	To     btid.Entry
	Origin btid.DataCentre
	// Targets are those of the origin that the summaries tell of.
	Targets []btid.Target
}

// Topology is who tells whom, computed alike by every process from one bundle.
//
// An agent sends its heartbeats to Watchers entries, those of its own data
// centre first. For each origin data centre, the entries of every data centre
// form a tree in rendezvous order, so that no entry is set aside and the load
// of the inner nodes is spread. In the origin data centre summaries go up the
// tree from the watchers to its root; the root sends them to the roots of the
// other data centres, and all roots send them down.
type Topology struct {
	fanOut  FanOut
	entries []EntryLocation
	targets []TargetLocation
	// centres is the entries of each data centre, names its sorted names.
	centres map[btid.DataCentre][]btid.Entry
	names   []btid.DataCentre
}

// NewTopology returns the plan for the entries and targets of one bundle.
func NewTopology(fanOut FanOut, entries []EntryLocation, targets []TargetLocation) *Topology {
	p := &Topology{
		fanOut:  FanOut{Watchers: max(fanOut.Watchers, 1), Branching: max(fanOut.Branching, 1)},
		entries: entries,
		targets: targets,
		centres: map[btid.DataCentre][]btid.Entry{},
	}
	for _, e := range entries {
		p.centres[e.DataCentre] = append(p.centres[e.DataCentre], e.Entry)
	}
	for name := range p.centres {
		p.names = append(p.names, name)
	}
	slices.Sort(p.names)
	return p
}

// FullMesh tells whether every entry hears every agent itself.
func (p *Topology) FullMesh() bool { return len(p.entries) <= p.fanOut.Watchers }

// Watchers returns the entries that an agent sends its heartbeats to.
func (p *Topology) Watchers(target TargetLocation) []btid.Entry {
	near := p.centres[target.DataCentre]
	order := btrendezvous.Order(string(target.Target), near)
	if len(order) < p.fanOut.Watchers {
		far := btrendezvous.Order(string(target.Target), p.outside(target.DataCentre))
		order = append(order, far...)
	}
	return order[:min(len(order), p.fanOut.Watchers)]
}

func (p *Topology) outside(centre btid.DataCentre) []btid.Entry {
	var far []btid.Entry
	for _, e := range p.entries {
		if e.DataCentre != centre {
			far = append(far, e.Entry)
		}
	}
	return far
}

// Watched returns the targets whose heartbeats the entry hears itself.
func (p *Topology) Watched(entry btid.Entry) []btid.Target {
	var watched []btid.Target
	for _, t := range p.targets {
		if slices.Contains(p.Watchers(t), entry) {
			watched = append(watched, t.Target)
		}
	}
	return watched
}

// Links returns whom the entry sends summaries to, ordered by origin.
func (p *Topology) Links(self EntryLocation) []Link {
	if p.FullMesh() {
		return nil
	}
	byOrigin := map[btid.DataCentre][]TargetLocation{}
	for _, t := range p.targets {
		byOrigin[t.DataCentre] = append(byOrigin[t.DataCentre], t)
	}
	origins := make([]btid.DataCentre, 0, len(byOrigin))
	for origin := range byOrigin {
		origins = append(origins, origin)
	}
	slices.Sort(origins)
	var links []Link
	for _, origin := range origins {
		links = append(links, p.linksOf(self, origin, byOrigin[origin])...)
	}
	return links
}

func (p *Topology) linksOf(self EntryLocation, origin btid.DataCentre, targets []TargetLocation) []Link {
	all := make([]btid.Target, len(targets))
	for i, t := range targets {
		all[i] = t.Target
	}
	tree := p.tree(origin, self.DataCentre)
	at := slices.Index(tree, self.Entry)
	var links []Link
	for _, child := range p.children(tree, at) {
		links = append(links, Link{To: tree[child], Origin: origin, Targets: all})
	}
	// A data centre without entries has its heartbeats heard abroad; each such
	// watcher then acts for the origin by feeding the tree of its own.
	if p.home(origin) != self.DataCentre {
		return links
	}
	if at > 0 {
		if up := p.below(tree, at, targets); len(up) > 0 {
			links = append(links, Link{To: tree[(at-1)/p.fanOut.Branching], Origin: origin, Targets: up})
		}
		return links
	}
	for _, centre := range p.names {
		if centre != self.DataCentre {
			links = append(links, Link{To: p.tree(origin, centre)[0], Origin: origin, Targets: all})
		}
	}
	return links
}

// home is the data centre whose tree gathers what is known of an origin.
func (p *Topology) home(origin btid.DataCentre) btid.DataCentre {
	if len(p.centres[origin]) > 0 {
		return origin
	}
	home, _ := btrendezvous.First("home/"+string(origin), p.names)
	return home
}

// tree is the entries of a data centre in the order of an origin's tree: the
// children of i stand at branching*i+1 and after.
func (p *Topology) tree(origin, centre btid.DataCentre) []btid.Entry {
	return btrendezvous.Order("tree/"+string(origin), p.centres[centre])
}

func (p *Topology) children(tree []btid.Entry, at int) []int {
	var children []int
	for i := range p.fanOut.Branching {
		if child := p.fanOut.Branching*at + 1 + i; child < len(tree) {
			children = append(children, child)
		}
	}
	return children
}

// below returns the targets heard by the entry or by those under it.
func (p *Topology) below(tree []btid.Entry, at int, targets []TargetLocation) []btid.Target {
	under := map[btid.Entry]bool{}
	for stack := []int{at}; len(stack) > 0; {
		i := stack[len(stack)-1]
		stack = append(stack[:len(stack)-1], p.children(tree, i)...)
		under[tree[i]] = true
	}
	var below []btid.Target
	for _, t := range targets {
		if slices.ContainsFunc(p.Watchers(t), func(e btid.Entry) bool { return under[e] }) {
			below = append(below, t.Target)
		}
	}
	return below
}
