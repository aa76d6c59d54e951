// Package btcall lets the processes of a fleet without keys call each other:
// CBOR messages over HTTP, checked when they are decoded.
package btcall

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"bilberrytide/core/btwire"
)

// ErrCall is wrapped by the error of every call that has no usable answer.
var ErrCall = errors.New("peer call")

// ErrNotReached is wrapped besides where no connection could be had.
var ErrNotReached = errors.New("peer not reached")

// ErrStatus is wrapped besides where the peer refused.
var ErrStatus = errors.New("refused with status")

const (
	// maxMessage bounds a message: a map of 72 ranks, 12 layers and 3 experts
	// each takes some 8 KB, counts of 1,728 experts as much.
	maxMessage = 4 << 20
	// dialTime bounds connecting to a peer of the same region.
	dialTime = 250 * time.Millisecond
	// idleTime is how long a connection to a peer is kept.
	idleTime = 10 * time.Second
	// readHeaderTime bounds the reading of a call's header.
	readHeaderTime = 5 * time.Second
)

// Client calls peers. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTime}).DialContext,
		IdleConnTimeout:     idleTime,
		MaxIdleConnsPerHost: 2,
		DisableCompression:  true,
	}}}
}

// Call sends a message to a peer and decodes its answer. The error wraps
// ErrCall.
func Call[A btwire.Validator](ctx context.Context, c *Client, to netip.AddrPort, path string, message btwire.Validator) (A, error) {
	var none A
	data, err := btwire.Encode(message)
	if err != nil {
		return none, fmt.Errorf("%w: %s: %w", ErrCall, path, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, bytes.NewReader(data))
	if err != nil {
		return none, fmt.Errorf("%w: %s: %w", ErrCall, path, err)
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return none, fmt.Errorf("%w: %s%s: %w", ErrCall, to, path, notReached(err))
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxMessage))
	if err != nil {
		return none, fmt.Errorf("%w: %s%s: %w", ErrCall, to, path, err)
	}
	if answer.StatusCode != http.StatusOK {
		return none, fmt.Errorf("%w: %s%s: %w: %d %s", ErrCall, to, path, ErrStatus, answer.StatusCode, bytes.TrimSpace(body))
	}
	decoded, err := btwire.Decode[A](body)
	if err != nil {
		return none, fmt.Errorf("%w: %s%s: %w", ErrCall, to, path, err)
	}
	return decoded, nil
}

func notReached(err error) error {
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotReached, err)
	}
	return err
}

// Handle returns a handler that decodes a message and encodes the answer.
func Handle[Q, A btwire.Validator](answer func(context.Context, Q) (A, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(io.LimitReader(r.Body, maxMessage))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		message, err := btwire.Decode[Q](data)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		result, err := answer(r.Context(), message)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		encoded, err := btwire.Encode(result)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		// The peer that left is the only error.
		_, _ = w.Write(encoded)
	})
}

// Listen listens at an address of this host.
func Listen(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

// Serve answers calls on the listener until the context ends.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTime}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
