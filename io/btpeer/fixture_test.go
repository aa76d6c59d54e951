package btpeer_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"bilberrytide/io/btkeys"
	"bilberrytide/io/btpeer"
)

const kindEcho btpeer.Kind = "echo"

var (
	entryID = btpeer.Identity{Role: btpeer.Entry, Name: "e1"}
	agentID = btpeer.Identity{Role: btpeer.Agent, Name: "t1"}
	local   = netip.MustParseAddrPort("127.0.0.1:0")
)

type text struct {
	Text string `cbor:"text"`
	Data []byte `cbor:"data,omitempty"`
}

func (t text) Validate() error {
	if t.Text == "invalid" {
		return errors.New("invalid text")
	}
	return nil
}

// fleet issues keys and starts nodes, which are closed when the test ends.
type fleet struct {
	tb        testing.TB
	authority *btkeys.Authority
}

func newFleet(tb testing.TB) *fleet {
	tb.Helper()
	authority, err := btkeys.NewAuthority("fleet", time.Now(), time.Hour)
	assert.NilError(tb, err)
	return &fleet{tb: tb, authority: authority}
}

func (f *fleet) keys(id btpeer.Identity) *btkeys.Source {
	f.tb.Helper()
	issued, err := f.authority.Issue(id, time.Now(), time.Hour)
	assert.NilError(f.tb, err)
	files, err := issued.Write(f.tb.TempDir())
	assert.NilError(f.tb, err)
	source, err := btkeys.New(btkeys.Options{Files: files})
	assert.NilError(f.tb, err)
	return source
}

type peer struct {
	*btpeer.Node
	registry metrics.Registry
	keys     *btkeys.Source
}

func (p *peer) endpoint() btpeer.Endpoint {
	return btpeer.Endpoint{Identity: p.Identity(), Address: p.Address()}
}

func (p *peer) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, p.registry).Count()
}

// node returns a node. Handlers may be added until serve is called.
func (f *fleet) node(id btpeer.Identity, change func(*btpeer.Options)) *peer {
	f.tb.Helper()
	p := &peer{registry: metrics.NewRegistry(), keys: f.keys(id)}
	o := btpeer.Options{Listen: local, Keys: p.keys, Registry: p.registry}
	if change != nil {
		change(&o)
	}
	node, err := btpeer.New(o)
	assert.NilError(f.tb, err)
	p.Node = node
	f.tb.Cleanup(func() { closeAbruptly(node) })
	return p
}

func (f *fleet) serve(p *peer) {
	var group sync.WaitGroup
	group.Go(func() { assert.Check(f.tb, p.Serve(context.Background())) })
	f.tb.Cleanup(group.Wait)
	// Cleanups run in reverse order: the node must be closed before the wait.
	f.tb.Cleanup(func() { closeAbruptly(p.Node) })
}

// holdAfterFirst returns a handler that sends one message, waits until its context ends
// and sends the cause to ended.
func holdAfterFirst(ended chan<- error) btpeer.Handler {
	return func(ctx context.Context, _ btpeer.Identity, s *btpeer.Stream) error {
		if err := btpeer.Send(s, text{Text: "first"}); err != nil {
			return err
		}
		<-ctx.Done()
		if ended != nil {
			ended <- context.Cause(ctx)
		}
		return ctx.Err()
	}
}

// openAndReceive opens a stream, ends this side's direction and receives one
// message, so that the handler is known to run.
func openAndReceive(tb testing.TB, ctx context.Context, from *peer, to btpeer.Endpoint, k btpeer.Kind) *btpeer.Stream {
	tb.Helper()
	s, err := from.Open(ctx, to, k)
	assert.NilError(tb, err)
	tb.Cleanup(s.Close)
	assert.NilError(tb, s.CloseWrite())
	_, err = btpeer.Receive[text](s)
	assert.NilError(tb, err)
	return s
}

// call calls the peer's echo handler.
func call(from *peer, to btpeer.Endpoint, request text) (text, error) {
	return btpeer.Call[text, text](context.Background(), from.Node, to, kindEcho, request)
}

// closeAbruptly closes a node without waiting for what is in flight.
func closeAbruptly(n *btpeer.Node) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.Close(ended)
}

func echo(_ context.Context, _ btpeer.Identity, t text) (text, error) { return t, nil }

// pair returns an entry and a serving agent that echoes and has the handlers.
func pair(tb testing.TB, handlers map[btpeer.Kind]btpeer.Handler) (entry, agent *peer) {
	tb.Helper()
	f := newFleet(tb)
	entry = f.node(entryID, nil)
	agent = f.node(agentID, nil)
	agent.Handle(kindEcho, btpeer.Answer(echo))
	for k, h := range handlers {
		agent.Handle(k, h)
	}
	f.serve(agent)
	return entry, agent
}

// relay forwards datagrams between one client and a server, except while it is frozen.
type relay struct {
	front, back *net.UDPConn
	frozen      atomic.Bool
}

func newRelay(tb testing.TB, to netip.AddrPort) *relay {
	tb.Helper()
	front, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	assert.NilError(tb, err)
	back, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	assert.NilError(tb, err)
	r := &relay{front: front, back: back}
	tb.Cleanup(func() { _ = errors.Join(front.Close(), back.Close()) })
	go r.forward()
	return r
}

func (r *relay) address() netip.AddrPort { return r.front.LocalAddr().(*net.UDPAddr).AddrPort() }

// setFrozen starts or stops dropping every datagram.
func (r *relay) setFrozen(frozen bool) { r.frozen.Store(frozen) }

func (r *relay) forward() {
	var once sync.Once
	data := make([]byte, 1<<16)
	for {
		n, client, err := r.front.ReadFromUDPAddrPort(data)
		if err != nil {
			return
		}
		once.Do(func() { go r.forwardBack(client) })
		if !r.frozen.Load() {
			_, _ = r.back.Write(data[:n])
		}
	}
}

func (r *relay) forwardBack(client netip.AddrPort) {
	data := make([]byte, 1<<16)
	for {
		n, err := r.back.Read(data)
		if err != nil {
			return
		}
		if !r.frozen.Load() {
			_, _ = r.front.WriteToUDPAddrPort(data[:n], client)
		}
	}
}

// rotate replaces the peer's files by a certificate of this fleet's authority, and
// reloads them.
func (f *fleet) rotate(p *peer) {
	f.tb.Helper()
	issued, err := f.authority.Issue(p.Identity(), time.Now(), time.Hour)
	assert.NilError(f.tb, err)
	_, err = issued.Write(filepath.Dir(p.keys.Files().Key))
	assert.NilError(f.tb, err)
	changed, err := p.keys.Reload()
	assert.NilError(f.tb, err)
	assert.Assert(f.tb, changed)
}

// nodeTrusting returns a node with a certificate of this fleet that trusts the other
// peer's authority.
func (f *fleet) nodeTrusting(id btpeer.Identity, other *peer) *peer {
	f.tb.Helper()
	files := f.keys(id).Files()
	files.Authority = other.keys.Files().Authority
	source, err := btkeys.New(btkeys.Options{Files: files})
	assert.NilError(f.tb, err)
	return f.node(id, func(o *btpeer.Options) { o.Keys = source })
}
