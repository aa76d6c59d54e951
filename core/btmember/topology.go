package btmember

import (
	"slices"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrendezvous"
)

// FanOut limits how many peers a process exchanges membership messages with.
type FanOut struct {
	// Watchers is how many entries each agent sends its heartbeats to. A fleet with
	// no more entries than this needs no summaries.
	Watchers int
	// Branching is the largest number of children of a node in a summary tree.
	Branching int
}

// DefaultFanOut returns limits that make a full mesh of up to eight entries.
func DefaultFanOut() FanOut { return FanOut{Watchers: 8, Branching: 3} }

// EntryLocation is the data centre of an entry.
type EntryLocation struct {
	Entry      btid.Entry
	DataCentre btid.DataCentre
}

// Link is a stream of summaries from an entry to a peer.
type Link struct {
	To     btid.Entry
	Origin btid.DataCentre
	// Targets are the targets of the origin that the summaries cover.
	Targets []btid.Target
}

// Topology determines which processes send heartbeats and summaries to which
// entries. Every process computes the same topology from the same bundle.
//
// An agent sends its heartbeats to FanOut.Watchers entries, those of its own data
// centre first. For each origin data centre, the entries of every data centre form
// a tree in rendezvous order, which spreads the load of the inner nodes and
// dedicates no entry to relaying. In the origin data centre, summaries go up the
// tree from the watchers to its root; the root sends them to the roots of the other
// data centres, and all roots send them down their trees.
type Topology struct {
	fanOut  FanOut
	entries []EntryLocation
	targets []TargetLocation
	// entriesByCentre is the entries of each data centre; centres is its sorted
	// keys.
	entriesByCentre map[btid.DataCentre][]btid.Entry
	centres         []btid.DataCentre
}

// NewTopology returns the topology of the entries and targets of one bundle.
func NewTopology(fanOut FanOut, entries []EntryLocation, targets []TargetLocation) *Topology {
	p := &Topology{
		fanOut:          FanOut{Watchers: max(fanOut.Watchers, 1), Branching: max(fanOut.Branching, 1)},
		entries:         entries,
		targets:         targets,
		entriesByCentre: map[btid.DataCentre][]btid.Entry{},
	}
	for _, e := range entries {
		p.entriesByCentre[e.DataCentre] = append(p.entriesByCentre[e.DataCentre], e.Entry)
	}
	for name := range p.entriesByCentre {
		p.centres = append(p.centres, name)
	}
	slices.Sort(p.centres)
	return p
}

// FullMesh reports whether every entry receives the heartbeats of every agent
// directly.
func (p *Topology) FullMesh() bool { return len(p.entries) <= p.fanOut.Watchers }

// Watchers returns the entries to which the target's agent sends its heartbeats.
func (p *Topology) Watchers(target TargetLocation) []btid.Entry {
	local := p.entriesByCentre[target.DataCentre]
	order := btrendezvous.Order(string(target.Target), local)
	if len(order) < p.fanOut.Watchers {
		remote := btrendezvous.Order(string(target.Target), p.entriesOutside(target.DataCentre))
		order = append(order, remote...)
	}
	return order[:min(len(order), p.fanOut.Watchers)]
}

func (p *Topology) entriesOutside(centre btid.DataCentre) []btid.Entry {
	var remote []btid.Entry
	for _, e := range p.entries {
		if e.DataCentre != centre {
			remote = append(remote, e.Entry)
		}
	}
	return remote
}

// Watched returns the targets whose heartbeats the entry receives directly.
func (p *Topology) Watched(entry btid.Entry) []btid.Target {
	var watched []btid.Target
	for _, t := range p.targets {
		if slices.Contains(p.Watchers(t), entry) {
			watched = append(watched, t.Target)
		}
	}
	return watched
}

// Links returns the streams of summaries that the entry sends, ordered by origin.
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
		links = append(links, p.originLinks(self, origin, byOrigin[origin])...)
	}
	return links
}

func (p *Topology) originLinks(self EntryLocation, origin btid.DataCentre, targets []TargetLocation) []Link {
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
	// If the origin has no entries, entries of other data centres receive its
	// heartbeats. Only those in the origin's home data centre represent it; the others
	// send summaries only down the tree of their own data centre.
	if p.homeCentre(origin) != self.DataCentre {
		return links
	}
	if at > 0 {
		if up := p.subtreeTargets(tree, at, targets); len(up) > 0 {
			links = append(links, Link{To: tree[(at-1)/p.fanOut.Branching], Origin: origin, Targets: up})
		}
		return links
	}
	for _, centre := range p.centres {
		if centre != self.DataCentre {
			links = append(links, Link{To: p.tree(origin, centre)[0], Origin: origin, Targets: all})
		}
	}
	return links
}

// homeCentre returns the data centre whose tree collects the state of an origin's
// targets: the origin itself if it has entries, else one that is chosen by
// rendezvous hashing.
func (p *Topology) homeCentre(origin btid.DataCentre) btid.DataCentre {
	if len(p.entriesByCentre[origin]) > 0 {
		return origin
	}
	home, _ := btrendezvous.First("home/"+string(origin), p.centres)
	return home
}

// tree returns the entries of a data centre in the order of the origin's tree: the
// children of node i start at index branching*i+1.
func (p *Topology) tree(origin, centre btid.DataCentre) []btid.Entry {
	return btrendezvous.Order("tree/"+string(origin), p.entriesByCentre[centre])
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

// subtreeTargets returns the targets that the node or one of its descendants
// watches.
func (p *Topology) subtreeTargets(tree []btid.Entry, at int, targets []TargetLocation) []btid.Target {
	subtree := map[btid.Entry]bool{}
	for stack := []int{at}; len(stack) > 0; {
		i := stack[len(stack)-1]
		stack = append(stack[:len(stack)-1], p.children(tree, i)...)
		subtree[tree[i]] = true
	}
	var found []btid.Target
	for _, t := range targets {
		if slices.ContainsFunc(p.Watchers(t), func(e btid.Entry) bool { return subtree[e] }) {
			found = append(found, t.Target)
		}
	}
	return found
}
