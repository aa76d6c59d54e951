package btcall_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btcall"
)

type note struct {
	Text string `cbor:"text"`
}

var errEmpty = errors.New("empty note")

func (n note) Validate() error {
	if n.Text == "" {
		return errEmpty
	}
	return nil
}

func serve(t *testing.T, h http.Handler) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func TestCallRoundTrip(t *testing.T) {
	to := serve(t, btcall.Handle(func(_ context.Context, n note) (note, error) { return note{Text: n.Text + "!"}, nil }))
	got, err := btcall.Call[note](t.Context(), btcall.NewClient(), to, "/x", note{Text: "a"})
	assert.NilError(t, err)
	assert.Equal(t, got.Text, "a!")
}

// A message that fails its validation, or an answer that isn't CBOR, must be an error
// and not an empty value.
func TestMalformedMessagesAreRefused(t *testing.T) {
	to := serve(t, btcall.Handle(func(_ context.Context, n note) (note, error) { return n, nil }))
	_, err := btcall.Call[note](t.Context(), btcall.NewClient(), to, "/x", note{})
	assert.ErrorIs(t, err, btcall.ErrStatus)
	junk := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte{0xff, 0x00}) }))
	_, err = btcall.Call[note](t.Context(), btcall.NewClient(), junk, "/x", note{Text: "a"})
	assert.ErrorIs(t, err, btcall.ErrCall)
}

// The caller logs the error, so the text of the handler's error must reach it.
func TestRefusalContainsTheError(t *testing.T) {
	to := serve(t, btcall.Handle(func(context.Context, note) (note, error) { return note{}, errors.New("not now") }))
	_, err := btcall.Call[note](t.Context(), btcall.NewClient(), to, "/x", note{Text: "a"})
	assert.ErrorIs(t, err, btcall.ErrStatus)
	assert.ErrorContains(t, err, "not now")
}

// A refused connection must differ from a call that may have been handled.
func TestUnreachablePeer(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	to := netip.MustParseAddrPort(s.Listener.Addr().String())
	s.Close()
	_, err := btcall.Call[note](t.Context(), btcall.NewClient(), to, "/x", note{Text: "a"})
	assert.ErrorIs(t, err, btcall.ErrNotReached)
}
