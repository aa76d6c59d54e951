package btpeer_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"bilberrytide/io/btpeer"
)

// TestDialFailureIsNotSentAndBacksOff guards against calls to an unreachable peer that
// each wait for a dial: after the first failure they must fail at once with ErrNotSent.
func TestDialFailureIsNotSentAndBacksOff(t *testing.T) {
	f := newFleet(t)
	entry := f.node(entryID, func(o *btpeer.Options) {
		o.DialTimeout = 50 * time.Millisecond
		o.Redial.First = time.Hour
		o.Redial.Last = time.Hour
	})
	silent, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	assert.NilError(t, err)
	defer func() { assert.Check(t, silent.Close()) }()
	to := btpeer.Endpoint{Identity: agentID, Address: silent.LocalAddr().(*net.UDPAddr).AddrPort()}
	for range 3 {
		_, err = call(entry, to, text{})
		assert.ErrorIs(t, err, btpeer.ErrNotSent)
	}
	assert.Equal(t, entry.count(btpeer.MetricDialFailed), int64(1))
	assert.Equal(t, entry.count(btpeer.MetricBackedOff), int64(2))
}

// TestRedialAfterPeerComesUp guards against a peer that stays unreachable for a caller that failed
// to connect to it once.
func TestRedialAfterPeerComesUp(t *testing.T) {
	f := newFleet(t)
	entry := f.node(entryID, func(o *btpeer.Options) {
		o.DialTimeout = 50 * time.Millisecond
		o.Redial.First = time.Nanosecond
		o.Redial.Last = time.Nanosecond
	})
	spare := f.node(agentID, nil)
	to := spare.endpoint()
	closeAbruptly(spare.Node)
	_, err := call(entry, to, text{})
	assert.ErrorIs(t, err, btpeer.ErrNotSent)

	agent := f.node(agentID, func(o *btpeer.Options) { o.Listen = to.Address })
	agent.Handle(kindEcho, btpeer.Answer(echo))
	f.serve(agent)
	for err != nil && t.Context().Err() == nil {
		_, err = call(entry, to, text{})
	}
	assert.NilError(t, err)
}

// TestFrozenPeerMidStreamIsLost guards against a stream that hangs when the peer's
// packets stop: only the idle timeout tells the caller and the handler.
func TestFrozenPeerMidStreamIsLost(t *testing.T) {
	f := newFleet(t)
	ended := make(chan error, 1)
	agent := f.node(agentID, func(o *btpeer.Options) { o.IdleTimeout = 200 * time.Millisecond })
	agent.Handle("hold", holdAfterFirst(ended))
	f.serve(agent)
	entry := f.node(entryID, func(o *btpeer.Options) {
		o.IdleTimeout = 200 * time.Millisecond
		o.KeepAlive = 50 * time.Millisecond
	})
	r := newRelay(t, agent.Address())
	s := openAndReceive(t, t.Context(), entry, btpeer.Endpoint{Identity: agentID, Address: r.address()}, "hold")
	r.setFrozen(true)
	_, err := btpeer.Receive[text](s)
	assert.ErrorIs(t, err, btpeer.ErrLost)
	assert.Assert(t, !btpeer.NotRun(err))
	assert.ErrorIs(t, <-ended, btpeer.ErrLost)
}

// TestRestartedPeerIsNoticedAtOnce guards against a restart that callers detect only by
// the idle timeout, an hour in this test. The restarted process answers packets of its
// predecessor's connections with a stateless reset.
func TestRestartedPeerIsNoticedAtOnce(t *testing.T) {
	f := newFleet(t)
	entry := f.node(entryID, func(o *btpeer.Options) {
		o.IdleTimeout = time.Hour
		o.KeepAlive = 20 * time.Millisecond
	})
	agent := f.node(agentID, func(o *btpeer.Options) { o.IdleTimeout = time.Hour })
	agent.Handle("hold", holdAfterFirst(nil))
	f.serve(agent)
	r := newRelay(t, agent.Address())
	s := openAndReceive(t, t.Context(), entry, btpeer.Endpoint{Identity: agentID, Address: r.address()}, "hold")

	r.setFrozen(true) // drops the first process's last packet
	closeAbruptly(agent.Node)
	again, err := btpeer.New(btpeer.Options{Listen: agent.Address(), Keys: agent.keys})
	assert.NilError(t, err)
	defer closeAbruptly(again)
	r.setFrozen(false)
	_, err = btpeer.Receive[text](s)
	assert.ErrorIs(t, err, btpeer.ErrLost)
}

// TestCancelReachesPeer guards against a handler that continues after the caller has cancelled.
func TestCancelReachesPeer(t *testing.T) {
	ended := make(chan error, 1)
	entry, agent := pair(t, map[btpeer.Kind]btpeer.Handler{"hold": holdAfterFirst(ended)})
	ctx, cancel := context.WithCancel(t.Context())
	s := openAndReceive(t, ctx, entry, agent.endpoint(), "hold")
	cancel()
	assert.ErrorIs(t, <-ended, btpeer.ErrLost)
	_, err := btpeer.Receive[text](s)
	assert.ErrorIs(t, err, btpeer.ErrLost)
	assert.ErrorIs(t, err, context.Canceled)
}

// TestCancelledBeforeSendIsNotSent guards against a cancellation before the first byte,
// or while no connection is open, that is reported as a possibly run request.
func TestCancelledBeforeSendIsNotSent(t *testing.T) {
	entry, agent := pair(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	s, err := entry.Open(ctx, agent.endpoint(), kindEcho)
	assert.NilError(t, err)
	defer s.Close()
	cancel()
	assert.ErrorIs(t, btpeer.Send(s, text{}), btpeer.ErrNotSent)
	nobody := btpeer.Endpoint{Identity: agentID, Address: local}
	_, err = entry.Open(ctx, nobody, kindEcho)
	assert.ErrorIs(t, err, btpeer.ErrNotSent)
}

// TestGracefulCloseFinishesStreams guards against a Close that cuts off streams in flight
// or returns before the peer has received the last message.
func TestGracefulCloseFinishesStreams(t *testing.T) {
	const size = 1 << 20
	release := make(chan struct{})
	entry, agent := pair(t, map[btpeer.Kind]btpeer.Handler{
		"slow": func(_ context.Context, _ btpeer.Identity, s *btpeer.Stream) error {
			_ = btpeer.Send(s, text{Text: "started"})
			<-release
			return btpeer.Send(s, text{Data: make([]byte, size)})
		},
	})
	s := openAndReceive(t, t.Context(), entry, agent.endpoint(), "slow")
	closed := make(chan error, 1)
	go func() { closed <- agent.Close(context.Background()) }()
	// New calls are refused while the stream in flight continues.
	var err error
	for err == nil {
		_, err = call(entry, agent.endpoint(), text{})
	}
	assert.Assert(t, btpeer.NotRun(err), "%v", err)
	close(release)
	last, err := btpeer.Receive[text](s)
	assert.NilError(t, err)
	assert.Assert(t, cmp.Len(last.Data, size))
	assert.NilError(t, s.Wait())
	s.Close()
	assert.NilError(t, <-closed)
}

// TestCloseIsLimitedByContext guards against a Close that waits for handlers beyond its context.
func TestCloseIsLimitedByContext(t *testing.T) {
	entry, agent := pair(t, map[btpeer.Kind]btpeer.Handler{"hold": holdAfterFirst(nil)})
	s := openAndReceive(t, t.Context(), entry, agent.endpoint(), "hold")
	ctx, cancel := context.WithCancelCause(t.Context())
	cause := errors.New("drain is over")
	cancel(cause)
	assert.ErrorIs(t, agent.Close(ctx), cause)
	_, err := btpeer.Receive[text](s)
	assert.ErrorIs(t, err, btpeer.ErrLost)
}

// TestPoolIsBoundedAndIdleConnectionsClose guards against idle connections that stay open, or that
// count as lost when they are closed here.
func TestPoolIsBoundedAndIdleConnectionsClose(t *testing.T) {
	f := newFleet(t)
	entry := f.node(entryID, func(o *btpeer.Options) {
		o.MaxPooled = 1
		o.PoolIdle = 20 * time.Millisecond
	})
	for _, name := range []string{"t1", "t2", "t1"} {
		agent := f.node(btpeer.Identity{Role: btpeer.Agent, Name: name}, nil)
		agent.Handle(kindEcho, btpeer.Answer(echo))
		f.serve(agent)
		_, err := call(entry, agent.endpoint(), text{})
		assert.NilError(t, err)
	}
	for entry.Stats().Dialled > 0 {
		assert.NilError(t, t.Context().Err())
		time.Sleep(time.Millisecond) // until the sweep has closed the last one
	}
	assert.Equal(t, entry.count(btpeer.MetricDialled), int64(3))
	assert.Equal(t, entry.count(btpeer.MetricLost), int64(0))
}
