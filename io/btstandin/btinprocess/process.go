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

// hostListInterval is the interval at which entries read the host list.
const hostListInterval = 200 * time.Millisecond

// maxDecisions is the number of latest decisions that a process keeps.
const maxDecisions = 32

// panicOnViolation panics, and so fails the test, if a process violates an
// invariant.
var panicOnViolation = btassert.New(btassert.Panic())

// Process holds the components that entries and agents have in common.
type Process struct {
	Node      *btpeer.Node
	Bundles   *btprocess.Bundles
	Decisions *btmetric.Decisions
	Meter     *btmetric.Meter
	platform  *btplatform.Client
	random    *rand.Rand
}

// Node returns a node with a certificate for the identity, on a free port.
func (f *Fleet) Node(id btpeer.Identity) *btpeer.Node { return f.NodeAt(id, anyPort) }

// NodeAt returns a node that listens at the address.
func (f *Fleet) NodeAt(id btpeer.Identity, listen netip.AddrPort) *btpeer.Node {
	issued, err := f.authority.Issue(id, time.Now(), certificateValidity)
	assert.NilError(f.TB, err)
	files, err := issued.Write(f.TB.TempDir())
	assert.NilError(f.TB, err)
	keys, err := btkeys.New(btkeys.Options{Files: files})
	assert.NilError(f.TB, err)
	meter := btmetric.New(nil)
	f.Meters[id.Name] = meter
	node, err := btpeer.New(btpeer.Options{
		Listen: listen, Keys: keys, Registry: meter.Registry(), Log: f.nodeLog.With("node", id.Name),
		DialTimeout: peerTimeout, IdleTimeout: peerTimeout,
	})
	assert.NilError(f.TB, err)
	return node
}

// Process returns the components of a process that uses the node, without starting
// them. The seeds are the entries that it asks for the bundle.
func (f *Fleet) Process(node *btpeer.Node, seeds ...btpeer.Endpoint) *Process {
	f.seed++
	name := node.Identity().Name
	p := &Process{
		Node:      node,
		Decisions: btmetric.NewDecisions(maxDecisions, discardLog),
		Meter:     f.Meters[name],
		random:    rand.New(rand.NewPCG(1, f.seed)),
	}
	p.platform = btplatform.New(btplatform.Options{Address: f.platformAddress, Registry: p.Meter.Registry()})
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
		Log:        discardLog,
		Clock:      time.Now,
		Assert:     panicOnViolation,
		Random:     rand.New(rand.NewPCG(2, f.seed)),
	})
	return p
}

// elapsed is the processes' boot clock, which advances while hosts are suspended.
func (f *Fleet) elapsed() time.Time { return time.Now().Add(f.suspended()) }

func (f *Fleet) suspended() time.Duration { return time.Duration(f.Suspended.Load()) }

// Entry is a running entry.
type Entry struct {
	*btentry.Entry
	Node *btpeer.Node
	// URL is the base URL for callers.
	URL string
	// Kill ends the entry at once, without an orderly stop.
	Kill func()
}

// StartEntry starts an entry that uses the node.
func (f *Fleet) StartEntry(node *btpeer.Node) *Entry {
	p := f.Process(node)
	listener, err := net.Listen("tcp", anyPort.String())
	assert.NilError(f.TB, err)
	entry := btentry.New(btentry.Options{
		Name:             btid.Entry(node.Identity().Name),
		DataCentre:       DataCentre,
		HostListInterval: hostListInterval,
		BalancerLag:      f.BalancerLag,
		Listener:         listener,
		Node:             node,
		Bundles:          p.Bundles,
		Platform:         p.platform,
		Meter:            p.Meter,
		Decisions:        p.Decisions,
		Log:              discardLog,
		Clock:            time.Now,
		Elapsed:          f.elapsed,
		Assert:           panicOnViolation,
		Random:           p.random,
	})
	return &Entry{Entry: entry, Node: node, URL: "http://" + listener.Addr().String(), Kill: f.Run(node, entry.Run)}
}

// Agent is a running agent.
type Agent struct {
	*btagent.Agent
	Node *btpeer.Node
	// Kill ends the agent at once, without an orderly stop.
	Kill func()
}

// StartAgent starts an agent that uses the node and the system clock.
func (f *Fleet) StartAgent(node *btpeer.Node) *Agent { return f.StartAgentWithClock(node, time.Now) }

// StartAgentWithClock starts an agent that uses the node and the given clock.
func (f *Fleet) StartAgentWithClock(node *btpeer.Node, clock btloop.Clock) *Agent {
	p := f.Process(node)
	agent := btagent.New(btagent.Options{
		Target:     btid.Target(node.Identity().Name),
		DataCentre: DataCentre,
		Node:       node,
		Bundles:    p.Bundles,
		Meter:      p.Meter,
		Decisions:  p.Decisions,
		Log:        discardLog,
		Clock:      clock,
		Elapsed:    func() time.Time { return clock().Add(f.suspended()) },
		Assert:     panicOnViolation,
		Random:     p.random,
	})
	return &Agent{Agent: agent, Node: node, Kill: f.Run(node, agent.Run)}
}
