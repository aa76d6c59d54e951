package btpeer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"

	"github.com/quic-go/quic-go"
)

// resetLabel derives the key by which a process that restarts tells peers at
// once that their connections to its earlier incarnation are gone.
const resetLabel = "bilberrytide stateless reset"

// Node accepts and dials connections over one UDP socket. It is safe for
// concurrent use.
type Node struct {
	options   Options
	counters  counters
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	dialler   *dialler

	mu       sync.Mutex
	handlers map[Kind]Handler
	accepted map[*accepted]struct{}
	closing  bool

	// ctx ends when the node is closed by force; it governs every handler.
	ctx    context.Context
	cancel context.CancelFunc
	// work counts handlers and the streams opened here.
	work *gauge
	// connections counts the accepted connections.
	connections *gauge
}

// New opens the socket. Connections made before Serve wait for it. The error
// wraps ErrListen.
func New(o Options) (*Node, error) {
	if o.Keys == nil {
		return nil, fmt.Errorf("%w: no keys", ErrListen)
	}
	o = o.withDefaults()
	secret, err := o.Keys.Current().SecretKey(resetLabel)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrListen, err)
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(o.Listen))
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrListen, o.Listen, err)
	}
	resetKey := quic.StatelessResetKey(secret)
	transport := &quic.Transport{Conn: socket, StatelessResetKey: &resetKey}
	listener, err := transport.Listen(o.Keys.ServerTLS(protocol), o.accepting())
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("%w: %s: %v", ErrListen, o.Listen, err)
	}
	return newNode(o, socket, transport, listener), nil
}

func newNode(o Options, socket *net.UDPConn, transport *quic.Transport, listener *quic.Listener) *Node {
	n := &Node{
		options:     o,
		counters:    newCounters(o.Registry),
		socket:      socket,
		transport:   transport,
		listener:    listener,
		handlers:    make(map[Kind]Handler),
		accepted:    make(map[*accepted]struct{}),
		work:        newGauge(),
		connections: newGauge(),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.dialler = newDialler(n.ctx, o, &n.counters, n.connect)
	go n.dialler.sweep()
	return n
}

// Address returns the socket's address.
func (n *Node) Address() netip.AddrPort {
	return n.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Identity returns the node's own identity.
func (n *Node) Identity() Identity { return n.options.Keys.Identity() }

// Handle sets the handler of a kind. It is called before Serve and panics on a
// malformed or repeated kind, which is a fault in the program.
func (n *Node) Handle(k Kind, h Handler) {
	if err := k.Validate(); err != nil {
		panic("btpeer: " + err.Error())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, found := n.handlers[k]; found {
		panic("btpeer: second handler for kind " + string(k))
	}
	n.handlers[k] = h
}

func (n *Node) handler(k Kind) (Handler, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, found := n.handlers[k]
	return h, found
}

func (n *Node) isClosing() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closing
}

// Open opens a stream to the peer over a pooled connection. No byte of the
// stream leaves before the first Send or CloseWrite.
//
// The context governs the stream until Close. Every error wraps ErrNotSent;
// ErrIdentity is wrapped too where another process, or one that is not
// trusted, listens at the address. While connecting to a peer keeps failing,
// Open fails at once until the backoff has passed.
func (n *Node) Open(ctx context.Context, to Endpoint, k Kind) (*Stream, error) {
	if n.isClosing() {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrClosed)
	}
	l, raw, err := n.openRaw(ctx, to)
	if err != nil {
		return nil, err
	}
	n.work.add(1)
	n.counters.opened.Inc(1)
	s := &Stream{node: n, stream: raw, peer: to, kind: k, ctx: ctx, opening: true}
	s.released = func() {
		n.dialler.release(l)
		n.work.add(-1)
	}
	s.detach = context.AfterFunc(ctx, s.Cancel)
	return s, nil
}

// openRaw takes a second connection where a pooled one turns out to be dead.
func (n *Node) openRaw(ctx context.Context, to Endpoint) (*link, *quic.Stream, error) {
	const attempts = 2
	var lastErr error
	for range attempts {
		l, err := n.dialler.take(ctx, to, n.options.Keys.Current().Generation)
		if err != nil {
			return nil, nil, err
		}
		raw, err := l.conn.OpenStreamSync(ctx)
		if err == nil {
			return l, raw, nil
		}
		n.dialler.release(l)
		if ctx.Err() != nil {
			return nil, nil, fmt.Errorf("%w: no stream to %s: %w", ErrNotSent, to, context.Cause(ctx))
		}
		n.dialler.drop(l)
		lastErr = err
	}
	return nil, nil, fmt.Errorf("%w: no stream to %s: %v", ErrNotSent, to, lastErr)
}

// connect dials the peer and waits for its greeting, which proves that it has
// accepted this process's certificate too.
func (n *Node) connect(ctx context.Context, to Endpoint) (*quic.Conn, *quic.ReceiveStream, error) {
	address := net.UDPAddrFromAddrPort(to.Address)
	settings := n.options.Keys.ClientTLS(to.Identity, protocol)
	conn, err := n.transport.Dial(ctx, address, settings, n.options.dialling())
	if err != nil {
		return nil, nil, err
	}
	control, err := conn.AcceptUniStream(ctx)
	if err == nil {
		err = readGreeting(control)
	}
	if err != nil {
		_ = conn.CloseWithError(closeProtocol, "no greeting")
		return nil, nil, err
	}
	return conn, control, nil
}

// Close shuts the node down gracefully: it takes no new streams, tells peers to
// go elsewhere, lets handlers and the streams opened here finish, and returns
// when every peer has received what was sent to it. When the context ends
// before that, the rest is cut off and the context's error is returned.
func (n *Node) Close(ctx context.Context) error {
	n.mu.Lock()
	n.closing = true
	for a := range n.accepted {
		a.sayGoodbye()
	}
	n.mu.Unlock()
	err := n.work.wait(ctx)
	n.dialler.close()
	if err == nil {
		// Peers close their connections once they have read their streams' ends.
		err = n.connections.wait(ctx)
	}
	n.cutAll()
	n.cancel()
	return errors.Join(err, n.listener.Close(), n.transport.Close(), n.socket.Close())
}

// cutAll closes what connections are left, so that peers hear of it at once:
// closing the transport alone tells them nothing.
func (n *Node) cutAll() {
	n.dialler.cut()
	for _, a := range n.inbound() {
		_ = a.conn.CloseWithError(closeNormal, "")
	}
}

// inbound returns the accepted connections.
func (n *Node) inbound() []*accepted {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Keys(n.accepted))
}

// Serve accepts connections and serves their streams until Close, or until the
// context ends, which ends every handler's context. It returns nil then.
func (n *Node) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, n.cancel)
	defer stop()
	for {
		conn, err := n.listener.Accept(n.ctx)
		if n.ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) || errors.Is(err, quic.ErrTransportClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: %v", ErrListen, err)
		}
		n.admit(conn)
	}
}

func remoteAddress(conn *quic.Conn) netip.AddrPort {
	address, ok := conn.RemoteAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	port := address.AddrPort()
	return netip.AddrPortFrom(port.Addr().Unmap(), port.Port())
}

func tlsState(conn *quic.Conn) tls.ConnectionState { return conn.ConnectionState().TLS }
