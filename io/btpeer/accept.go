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

// The control stream is the one that the accepting side opens on a connection.
// Its first byte is the greeting. Its end is the goodbye: the accepting side
// takes no more streams, and the dialling side closes the connection when
// those in flight are done.
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

// accepted is a connection that a peer has dialled.
type accepted struct {
	node    *Node
	conn    *quic.Conn
	peer    Endpoint
	control *quic.SendStream
	goodbye sync.Once
}

func (a *accepted) sayGoodbye() { a.goodbye.Do(func() { _ = a.control.Close() }) }

// admit takes a connection whose certificate the handshake has verified.
func (n *Node) admit(conn *quic.Conn) {
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
	a := &accepted{node: n, conn: conn, control: control, peer: Endpoint{Identity: id, Address: remoteAddress(conn)}}
	if !n.register(a) {
		n.counters.connRefused.Inc(1)
		_ = conn.CloseWithError(closeRefused, "no room")
		return
	}
	n.counters.accepted.Inc(1)
	_, _ = control.Write([]byte{greeting})
	go a.serve()
}

func (n *Node) register(a *accepted) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing || len(n.accepted) >= n.options.MaxConnections {
		return false
	}
	n.accepted[a] = struct{}{}
	n.connections.add(1)
	return true
}

func (n *Node) unregister(a *accepted) {
	n.mu.Lock()
	delete(n.accepted, a)
	n.mu.Unlock()
	n.connections.add(-1)
}

// serve runs until the connection ends.
func (a *accepted) serve() {
	defer a.node.unregister(a)
	for {
		raw, err := a.conn.AcceptStream(a.node.ctx)
		if err != nil {
			_ = a.conn.CloseWithError(closeNormal, "")
			return
		}
		if !a.node.begin() {
			a.node.counters.streamRefused.Inc(1)
			raw.CancelRead(codeRefused)
			raw.CancelWrite(codeRefused)
			continue
		}
		go a.serveStream(raw)
	}
}

// begin counts a handler in, unless the node is closing.
func (n *Node) begin() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing {
		return false
	}
	n.work.add(1)
	return true
}

func (a *accepted) serveStream(raw *quic.Stream) {
	defer a.node.work.add(-1)
	ctx, cancel := context.WithCancelCause(a.node.ctx)
	defer cancel(nil)
	detach := context.AfterFunc(raw.Context(), func() { cancelHandler(raw, cancel) })
	defer detach()
	s := &Stream{node: a.node, stream: raw, peer: a.peer, ctx: ctx, accepted: true}
	handler, ok := s.readOpening()
	if !ok {
		return
	}
	a.node.counters.served.Inc(1)
	if err := s.run(handler); err != nil {
		a.node.counters.failed.Inc(1)
		a.node.options.Log.Debug("handler failed", "peer", a.peer.String(), "kind", string(s.kind), "error", err)
		s.reset(codeFailed)
		return
	}
	_ = raw.Close()
	if !s.ended.Load() {
		raw.CancelRead(codeFinished)
	}
}

// cancelHandler ends a handler's context when the peer has cancelled the
// stream or is gone, but not when the handler has ended its own direction.
func cancelHandler(raw *quic.Stream, cancel context.CancelCauseFunc) {
	cause := context.Cause(raw.Context())
	var reset *quic.StreamError
	if errors.Is(cause, quic.ErrStreamClosed) || errors.As(cause, &reset) && !reset.Remote {
		return
	}
	cancel(fmt.Errorf("%w: %v", ErrLost, cause))
}

func (s *Stream) readOpening() (Handler, bool) {
	b := takeBuffer()
	defer giveBuffer(b)
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

// run calls the handler; a panic becomes an error, so that one request can't
// end the process.
func (s *Stream) run(handler Handler) (err error) {
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
