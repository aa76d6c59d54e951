package btpeer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btpeer"
)

// TestCallAndStream checks that a call gets its answer and that a stream delivers all
// messages in order, over one connection.
func TestCallAndStream(t *testing.T) {
	const frames = 100
	entry, agent := pair(t, map[btpeer.Kind]btpeer.Handler{
		"count": func(_ context.Context, from btpeer.Identity, s *btpeer.Stream) error {
			for i := range frames {
				if err := btpeer.Send(s, text{Text: fmt.Sprint(from, i)}); err != nil {
					return err
				}
			}
			return nil
		},
	})
	got, err := call(entry, agent.endpoint(), text{Text: "hello"})
	assert.NilError(t, err)
	assert.Equal(t, got.Text, "hello")

	s, err := entry.Open(t.Context(), agent.endpoint(), "count")
	assert.NilError(t, err)
	defer s.Close()
	assert.NilError(t, s.CloseWrite())
	for i := range frames {
		got, err := btpeer.Receive[text](s)
		assert.NilError(t, err)
		assert.Equal(t, got.Text, fmt.Sprint(entryID, i))
	}
	_, err = btpeer.Receive[text](s)
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, entry.count(btpeer.MetricDialled), int64(1))
}

// TestLargeMessages checks that a message of 1 MiB arrives whole, and that one over the
// limit isn't sent.
func TestLargeMessages(t *testing.T) {
	entry, agent := pair(t, nil)
	data := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	got, err := call(entry, agent.endpoint(), text{Data: data})
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got.Data, data))

	_, err = call(entry, agent.endpoint(), text{Data: make([]byte, btpeer.DefaultMaxMessage+1)})
	assert.ErrorIs(t, err, btpeer.ErrTooLarge)
	assert.ErrorIs(t, err, btpeer.ErrNotSent)
}

// TestReceiverRefusesOversizedMessage guards against a receiver that relies on the
// sender's limit. The error must not satisfy NotRun.
func TestReceiverRefusesOversizedMessage(t *testing.T) {
	f := newFleet(t)
	entry := f.node(entryID, nil)
	agent := f.node(agentID, func(o *btpeer.Options) { o.MaxMessage = 1000 })
	agent.Handle(kindEcho, btpeer.Answer(echo))
	f.serve(agent)
	_, err := call(entry, agent.endpoint(), text{Data: make([]byte, 1001)})
	assert.ErrorIs(t, err, btpeer.ErrMalformed)
	assert.Assert(t, !btpeer.NotRun(err))
	assert.Equal(t, agent.count(btpeer.MetricTooLarge), int64(1))
}

// TestInvalidMessage guards against a handler that is called with a message whose
// Validate returns an error.
func TestInvalidMessage(t *testing.T) {
	entry, agent := pair(t, nil)
	_, err := call(entry, agent.endpoint(), text{Text: "invalid"})
	assert.ErrorIs(t, err, btpeer.ErrMalformed)
	assert.Equal(t, agent.count(btpeer.MetricMalformed), int64(1))
}

// TestUnknownKind guards against a request of a kind without a handler that the caller
// takes for possibly run.
func TestUnknownKind(t *testing.T) {
	entry, agent := pair(t, nil)
	_, err := btpeer.Call[text, text](t.Context(), entry.Node, agent.endpoint(), "nothing", text{})
	assert.ErrorIs(t, err, btpeer.ErrUnknownKind)
	assert.Assert(t, btpeer.NotRun(err))
	assert.Equal(t, agent.count(btpeer.MetricUnknownKind), int64(1))
}

// TestIdentityMismatchIsRefused guards against a request to the wrong process, when another
// process now listens at the address.
func TestIdentityMismatchIsRefused(t *testing.T) {
	entry, agent := pair(t, nil)
	wrong := agent.endpoint()
	wrong.Identity.Name = "t2"
	_, err := call(entry, wrong, text{})
	assert.ErrorIs(t, err, btpeer.ErrNotSent)
	assert.ErrorIs(t, err, btpeer.ErrIdentity)
	assert.Equal(t, agent.count(btpeer.MetricServed), int64(0))
}

// TestUntrustedPeersAreRefused guards against a caller that believes that its request may
// have been run although the peer doesn't trust it, whether or not it trusts the peer.
func TestUntrustedPeersAreRefused(t *testing.T) {
	_, agent := pair(t, nil)
	untrusted := newFleet(t)
	for _, p := range []*peer{untrusted.node(entryID, nil), untrusted.nodeTrusting(entryID, agent)} {
		_, err := call(p, agent.endpoint(), text{})
		assert.ErrorIs(t, err, btpeer.ErrIdentity)
		assert.ErrorIs(t, err, btpeer.ErrNotSent)
	}
	assert.Equal(t, agent.count(btpeer.MetricServed), int64(0))
}

// TestHandlerErrorAndPanic guards against a handler's error that the caller takes for
// proof that the request was not run, and against a panic that ends the process.
func TestHandlerErrorAndPanic(t *testing.T) {
	entry, agent := pair(t, map[btpeer.Kind]btpeer.Handler{
		"panic": func(context.Context, btpeer.Identity, *btpeer.Stream) error { panic("boom") },
		"error": func(context.Context, btpeer.Identity, *btpeer.Stream) error { return btpeer.ErrUnknownKind },
	})
	for _, k := range []btpeer.Kind{"panic", "error"} {
		_, err := btpeer.Call[text, text](t.Context(), entry.Node, agent.endpoint(), k, text{})
		assert.ErrorIs(t, err, btpeer.ErrFailed)
		assert.Assert(t, !btpeer.NotRun(err), "a handler's error must not satisfy NotRun")
	}
	assert.Equal(t, agent.count(btpeer.MetricPanicked), int64(1))
	_, err := call(entry, agent.endpoint(), text{})
	assert.NilError(t, err)
}

// TestKeyRotationWithoutRestart guards against a change of keys that breaks streams in
// flight or leaves new streams on a connection with the old keys.
func TestKeyRotationWithoutRestart(t *testing.T) {
	release := make(chan struct{})
	entry, agent := pair(t, map[btpeer.Kind]btpeer.Handler{
		"slow": func(_ context.Context, _ btpeer.Identity, s *btpeer.Stream) error {
			_ = btpeer.Send(s, text{})
			<-release
			return btpeer.Send(s, text{Text: "late"})
		},
	})
	s := openAndReceive(t, t.Context(), entry, agent.endpoint(), "slow")
	// Both sides move to another authority. A new connection replaces the pooled one,
	// which stays open for its stream.
	next := newFleet(t)
	next.rotate(entry)
	next.rotate(agent)
	_, err := call(entry, agent.endpoint(), text{})
	assert.NilError(t, err)
	assert.Equal(t, entry.count(btpeer.MetricDialled), int64(2))
	close(release)
	got, err := btpeer.Receive[text](s)
	assert.NilError(t, err)
	assert.Equal(t, got.Text, "late")
}
