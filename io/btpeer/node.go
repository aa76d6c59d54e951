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

// resetLabel is the label for deriving the stateless reset key. The key survives a
// restart, so that the new process can tell peers at once that connections to its
// predecessor are gone.
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
	inbound  map[*inboundConn]struct{}
	closing  bool

	// ctx ends when the node is closed abruptly or has closed. It is the parent of every
	// handler's context.
	ctx    context.Context
	cancel context.CancelFunc
	// inFlight counts running handlers and the open streams that this node has opened.
	inFlight *waitCounter
	// inboundCount counts the accepted connections.
	inboundCount *waitCounter
}

// New opens the socket and returns a node. Connections that arrive before Serve wait for
// it. Errors wrap ErrListen.
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
	listener, err := transport.Listen(o.Keys.ServerTLS(protocol), o.acceptConfig())
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("%w: %s: %v", ErrListen, o.Listen, err)
	}
	return newNode(o, socket, transport, listener), nil
}

func newNode(o Options, socket *net.UDPConn, transport *quic.Transport, listener *quic.Listener) *Node {
	n := &Node{
		options:      o,
		counters:     newCounters(o.Registry),
		socket:       socket,
		transport:    transport,
		listener:     listener,
		handlers:     make(map[Kind]Handler),
		inbound:      make(map[*inboundConn]struct{}),
		inFlight:     newWaitCounter(),
		inboundCount: newWaitCounter(),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.dialler = newDialler(n.ctx, o, &n.counters, n.connect)
	go n.dialler.runSweeps()
	return n
}

// Address returns the socket's address.
func (n *Node) Address() netip.AddrPort {
	return n.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Identity returns the node's own identity.
func (n *Node) Identity() Identity { return n.options.Keys.Identity() }

// Handle registers the handler of a kind. It must be called before Serve. It panics on
// an invalid or already registered kind, which is a programming error.
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

// Open opens a stream to the peer over a pooled connection. No byte of the stream is sent
// before the first Send or CloseWrite.
//
// When the context ends before Close, the stream is cancelled. Every error wraps
// ErrNotSent. It also wraps ErrIdentity if another process, or one that isn't trusted,
// listens at the address. After a failure to connect to the peer, Open fails at once until
// the backoff has passed.
func (n *Node) Open(ctx context.Context, to Endpoint, k Kind) (*Stream, error) {
	if n.isClosing() {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrClosed)
	}
	pc, raw, err := n.openStream(ctx, to)
	if err != nil {
		return nil, err
	}
	n.inFlight.add(1)
	n.counters.opened.Inc(1)
	s := &Stream{node: n, stream: raw, peer: to, kind: k, ctx: ctx, opening: true}
	s.onClose = func() {
		n.dialler.release(pc)
		n.inFlight.add(-1)
	}
	s.stopCancel = context.AfterFunc(ctx, s.Cancel)
	return s, nil
}

// openStream opens a QUIC stream to the peer. It tries a second connection if the first
// one turns out to be dead.
func (n *Node) openStream(ctx context.Context, to Endpoint) (*pooledConn, *quic.Stream, error) {
	const attempts = 2
	var lastErr error
	for range attempts {
		pc, err := n.dialler.acquire(ctx, to, n.options.Keys.Current().Generation)
		if err != nil {
			return nil, nil, err
		}
		raw, err := pc.conn.OpenStreamSync(ctx)
		if err == nil {
			return pc, raw, nil
		}
		n.dialler.release(pc)
		if ctx.Err() != nil {
			return nil, nil, fmt.Errorf("%w: no stream to %s: %w", ErrNotSent, to, context.Cause(ctx))
		}
		n.dialler.retireConn(pc)
		lastErr = err
	}
	return nil, nil, fmt.Errorf("%w: no stream to %s: %v", ErrNotSent, to, lastErr)
}

// connect dials the peer and waits for its greeting, which proves that the peer has
// accepted this process's certificate.
func (n *Node) connect(ctx context.Context, to Endpoint) (*quic.Conn, *quic.ReceiveStream, error) {
	address := net.UDPAddrFromAddrPort(to.Address)
	settings := n.options.Keys.ClientTLS(to.Identity, protocol)
	conn, err := n.transport.Dial(ctx, address, settings, n.options.dialConfig())
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

// Close shuts the node down gracefully. It refuses new streams, sends peers a goodbye,
// lets handlers and the streams that this node has opened finish, and returns when every
// peer has received what was sent to it. If the context ends before that, the remaining
// connections are closed and the error wraps the context's cause.
func (n *Node) Close(ctx context.Context) error {
	n.mu.Lock()
	n.closing = true
	for ic := range n.inbound {
		ic.sendGoodbye()
	}
	n.mu.Unlock()
	err := n.inFlight.wait(ctx)
	n.dialler.close()
	if err == nil {
		// Peers close their connections once they have read their streams' ends.
		err = n.inboundCount.wait(ctx)
	}
	n.closeConns()
	n.cancel()
	return errors.Join(err, n.listener.Close(), n.transport.Close(), n.socket.Close())
}

// closeConns closes the remaining connections, so that peers are notified at once:
// closing the transport alone doesn't notify them.
func (n *Node) closeConns() {
	n.dialler.closeAll()
	for _, ic := range n.inboundConns() {
		_ = ic.conn.CloseWithError(closeNormal, "")
	}
}

// inboundConns returns the accepted connections.
func (n *Node) inboundConns() []*inboundConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Keys(n.inbound))
}

// Serve accepts connections and serves their streams. It returns nil after Close or when
// the context ends, which also ends every handler's context.
func (n *Node) Serve(ctx context.Context) error {
	stopCancel := context.AfterFunc(ctx, n.cancel)
	defer stopCancel()
	for {
		conn, err := n.listener.Accept(n.ctx)
		if n.ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) || errors.Is(err, quic.ErrTransportClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: %v", ErrListen, err)
		}
		n.acceptConn(conn)
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
