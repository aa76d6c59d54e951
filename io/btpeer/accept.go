package btpeer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"sync"

	"github.com/quic-go/quic-go"

	"bilberrytide/io/btkeys"
)

// The accepting side of a connection opens one stream on it, the control stream. Its
// first byte is the greeting. Its end is the goodbye: the accepting side accepts no more
// streams, and the dialling side closes the connection when those in flight have ended.
const greeting byte = 'b'

func readGreeting(control *quic.ReceiveStream) error {
	var first [1]byte
	if _, err := io.ReadFull(control, first[:]); err != nil {
		return err
	}
	if first[0] != greeting {
		return fmt.Errorf("%w: greeting %#x", ErrMalformed, first[0])
	}
	return nil
}

// inboundConn is a connection that a peer has dialled.
type inboundConn struct {
	node        *Node
	conn        *quic.Conn
	peer        Endpoint
	control     *quic.SendStream
	goodbyeOnce sync.Once
}

func (ic *inboundConn) sendGoodbye() { ic.goodbyeOnce.Do(func() { _ = ic.control.Close() }) }

// acceptConn registers a connection whose certificate the handshake has verified, greets
// the peer and serves its streams. It closes the connection if the node is closing or has
// MaxConnections.
func (n *Node) acceptConn(conn *quic.Conn) {
	id, err := btkeys.PeerIdentity(tlsState(conn))
	if err != nil {
		n.counters.identity.Inc(1)
		_ = conn.CloseWithError(closeRefused, "identity")
		return
	}
	control, err := conn.OpenUniStream()
	if err != nil {
		_ = conn.CloseWithError(closeProtocol, "control stream")
		return
	}
	ic := &inboundConn{node: n, conn: conn, control: control, peer: Endpoint{Identity: id, Address: remoteAddress(conn)}}
	if !n.register(ic) {
		n.counters.connRefused.Inc(1)
		_ = conn.CloseWithError(closeRefused, "no room")
		return
	}
	n.counters.accepted.Inc(1)
	_, _ = control.Write([]byte{greeting})
	go ic.serve()
}

func (n *Node) register(ic *inboundConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing || len(n.inbound) >= n.options.MaxConnections {
		return false
	}
	n.inbound[ic] = struct{}{}
	n.inboundCount.add(1)
	return true
}

func (n *Node) unregister(ic *inboundConn) {
	n.mu.Lock()
	delete(n.inbound, ic)
	n.mu.Unlock()
	n.inboundCount.add(-1)
}

// serve accepts and serves streams until the connection or the node is closed.
func (ic *inboundConn) serve() {
	defer ic.node.unregister(ic)
	for {
		raw, err := ic.conn.AcceptStream(ic.node.ctx)
		if err != nil {
			_ = ic.conn.CloseWithError(closeNormal, "")
			return
		}
		if !ic.node.beginHandler() {
			ic.node.counters.streamRefused.Inc(1)
			raw.CancelRead(codeRefused)
			raw.CancelWrite(codeRefused)
			continue
		}
		go ic.serveStream(raw)
	}
}

// beginHandler counts one more handler in flight and returns true, unless the node is
// closing.
func (n *Node) beginHandler() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing {
		return false
	}
	n.inFlight.add(1)
	return true
}

func (ic *inboundConn) serveStream(raw *quic.Stream) {
	defer ic.node.inFlight.add(-1)
	ctx, cancel := context.WithCancelCause(ic.node.ctx)
	defer cancel(nil)
	stop := context.AfterFunc(raw.Context(), func() { cancelHandler(raw, cancel) })
	defer stop()
	s := &Stream{node: ic.node, stream: raw, peer: ic.peer, ctx: ctx, accepted: true}
	handler, ok := s.readOpening()
	if !ok {
		return
	}
	ic.node.counters.served.Inc(1)
	if err := s.callHandler(handler); err != nil {
		ic.node.counters.failed.Inc(1)
		ic.node.options.Log.Debug("handler failed", "peer", ic.peer.String(), "kind", string(s.kind), "error", err)
		s.reset(codeFailed)
		return
	}
	_ = raw.Close()
	if !s.peerEnded.Load() {
		raw.CancelRead(codeFinished)
	}
}

// cancelHandler cancels a handler's context if the peer has cancelled the stream or the
// connection is lost, but not if the handler has ended its own direction.
func cancelHandler(raw *quic.Stream, cancel context.CancelCauseFunc) {
	cause := context.Cause(raw.Context())
	var reset *quic.StreamError
	if errors.Is(cause, quic.ErrStreamClosed) || errors.As(cause, &reset) && !reset.Remote {
		return
	}
	cancel(fmt.Errorf("%w: %v", ErrLost, cause))
}

func (s *Stream) readOpening() (Handler, bool) {
	b := getBuffer()
	defer putBuffer(b)
	first, err := receive[opening](s, b)
	if err != nil {
		s.countMalformed(err)
		s.reset(codeCancelled)
		return nil, false
	}
	s.kind = first.Kind
	handler, found := s.node.handler(first.Kind)
	if !found {
		s.node.counters.unknownKind.Inc(1)
		s.node.options.Log.Warn("unknown kind", "peer", s.peer.String(), "kind", string(first.Kind))
		s.reset(codeUnknownKind)
		return nil, false
	}
	return handler, true
}

// callHandler calls the handler and turns a panic into an error, so that one request
// can't crash the process.
func (s *Stream) callHandler(handler Handler) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			s.node.counters.panicked.Inc(1)
			s.node.options.Log.Error("handler panicked", "peer", s.peer.String(), "kind", string(s.kind),
				"cause", fmt.Sprint(cause), "stack", string(bytes.TrimSpace(debug.Stack())))
			err = fmt.Errorf("%w: panic: %v", ErrFailed, cause)
		}
	}()
	return handler(s.ctx, s.peer.Identity, s)
}
