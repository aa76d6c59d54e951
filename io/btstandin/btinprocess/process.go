package btinprocess

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btid"
	"bilberrytide/io/btagent"
	"bilberrytide/io/btentry"
	"bilberrytide/io/btkeys"
	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btplatform"
	"bilberrytide/io/btprocess"
)

// hostsEvery is how often entries read the host list.
const hostsEvery = 200 * time.Millisecond

// keptDecisions is how many decisions a process keeps.
const keptDecisions = 32

// panics fails a test whose process violates an invariant.
var panics = btassert.New(btassert.Panic())

// Process is what an entry and an agent are made of.
type Process struct {
	Node      *btpeer.Node
	Bundles   *btprocess.Bundles
	Decisions *btmetric.Decisions
	Meter     *btmetric.Meter
	platform  *btplatform.Client
	random    *rand.Rand
}

// Node returns a node with a certificate of the identity, on a free port.
func (f *Fleet) Node(id btpeer.Identity) *btpeer.Node { return f.NodeAt(id, free) }

// NodeAt returns a node that listens at the address.
func (f *Fleet) NodeAt(id btpeer.Identity, listen netip.AddrPort) *btpeer.Node {
	issued, err := f.authority.Issue(id, time.Now(), life)
	assert.NilError(f.TB, err)
	files, err := issued.Write(f.TB.TempDir())
	assert.NilError(f.TB, err)
	keys, err := btkeys.New(btkeys.Options{Files: files})
	assert.NilError(f.TB, err)
	meter := btmetric.New(nil)
	f.Meters[id.Name] = meter
	node, err := btpeer.New(btpeer.Options{Listen: listen, Keys: keys, Registry: meter.Registry()})
	assert.NilError(f.TB, err)
	return node
}

// Process returns a process behind the node that has not started. The seeds are
// the entries that it asks for the bundle.
func (f *Fleet) Process(node *btpeer.Node, seeds ...btpeer.Endpoint) *Process {
	f.seed++
	name := node.Identity().Name
	p := &Process{
		Node:      node,
		Decisions: btmetric.NewDecisions(keptDecisions, quiet),
		Meter:     f.Meters[name],
		random:    rand.New(rand.NewPCG(1, f.seed)),
	}
	p.platform = btplatform.New(btplatform.Options{Address: f.platform, Registry: p.Meter.Registry()})
	p.Bundles = btprocess.NewBundles(btprocess.BundlesOptions{
		DataCentre: DataCentre,
		Host:       HostOf(name),
		Node:       node,
		Platform:   p.platform,
		Key:        configKey,
		Approvers:  f.Approvers,
		Seeds:      seeds,
		Meter:      p.Meter,
		Decisions:  p.Decisions,
		Log:        quiet,
		Clock:      time.Now,
		Assert:     panics,
		Random:     rand.New(rand.NewPCG(2, f.seed)),
	})
	return p
}

// elapsed is the processes' clock that runs on while their hosts are suspended.
func (f *Fleet) elapsed() time.Time { return time.Now().Add(f.suspended()) }

func (f *Fleet) suspended() time.Duration { return time.Duration(f.Suspended.Load()) }

// Entry is an entry that runs.
type Entry struct {
	*btentry.Entry
	Node *btpeer.Node
	// URL is where callers reach it.
	URL string
	// Kill ends it at once, like a killed one.
	Kill func()
}

// StartEntry starts an entry behind the node.
func (f *Fleet) StartEntry(node *btpeer.Node) *Entry {
	p := f.Process(node)
	listener, err := net.Listen("tcp", free.String())
	assert.NilError(f.TB, err)
	entry := btentry.New(btentry.Options{
		Name:             btid.Entry(node.Identity().Name),
		DataCentre:       DataCentre,
		HostListInterval: hostsEvery,
		Listener:         listener,
		Node:             node,
		Bundles:          p.Bundles,
		Platform:         p.platform,
		Meter:            p.Meter,
		Decisions:        p.Decisions,
		Log:              quiet,
		Clock:            time.Now,
		Elapsed:          f.elapsed,
		Assert:           panics,
		Random:           p.random,
	})
	return &Entry{Entry: entry, Node: node, URL: "http://" + listener.Addr().String(), Kill: f.Run(node, entry.Run)}
}

// Agent is an agent that runs.
type Agent struct {
	*btagent.Agent
	Node *btpeer.Node
	// Kill ends it at once, like a killed one.
	Kill func()
}

// StartAgent starts an agent behind the node.
func (f *Fleet) StartAgent(node *btpeer.Node) *Agent { return f.StartAgentWithClock(node, time.Now) }

// StartAgentWithClock starts an agent behind the node that goes by the clock.
func (f *Fleet) StartAgentWithClock(node *btpeer.Node, clock btloop.Clock) *Agent {
	p := f.Process(node)
	agent := btagent.New(btagent.Options{
		Target:     btid.Target(node.Identity().Name),
		DataCentre: DataCentre,
		Node:       node,
		Bundles:    p.Bundles,
		Meter:      p.Meter,
		Decisions:  p.Decisions,
		Log:        quiet,
		Clock:      clock,
		Elapsed:    func() time.Time { return clock().Add(f.suspended()) },
		Assert:     panics,
		Random:     p.random,
	})
	return &Agent{Agent: agent, Node: node, Kill: f.Run(node, agent.Run)}
}
