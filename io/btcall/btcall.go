// Package btcall implements calls between the processes of a fleet that has no keys:
// CBOR messages over HTTP, validated when they are decoded.
package btcall

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"bilberrytide/core/btwire"
	"bilberrytide/io/btbound"
)

// ErrCall is wrapped by the error of every call without a valid answer.
var ErrCall = errors.New("peer call")

// ErrNotReached is wrapped as well if no connection could be opened.
var ErrNotReached = errors.New("peer not reached")

// ErrStatus is wrapped as well if the peer answered with an error status.
var ErrStatus = errors.New("refused with status")

const (
	// maxMessageBytes limits the size of a message. A map of 72 ranks, 12 layers and 3
	// experts each takes some 8 KB, the counts of 1,728 experts as much.
	maxMessageBytes = 4 << 20
	// dialTimeout limits the time to connect to a peer in the same region.
	dialTimeout = 250 * time.Millisecond
	// idleTimeout is how long an idle connection to a peer is kept.
	idleTimeout = 10 * time.Second
	// readHeaderTimeout limits the time to read the header of a call, readBodyTimeout that
	// to read its message.
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 5 * time.Second
)

// Client calls peers. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: btbound.New(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: 2,
		DisableCompression:  true,
	})}}
}

// Call sends a message to a peer and decodes the answer. Its errors wrap ErrCall.
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
		return none, fmt.Errorf("%w: %s%s: %w", ErrCall, to, path, wrapDialError(err))
	}
	defer answer.Body.Close()
	body, err := btbound.ReadAll(answer.Body, maxMessageBytes)
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

// wrapDialError adds ErrNotReached to an error of connecting.
func wrapDialError(err error) error {
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotReached, err)
	}
	return err
}

// Handle returns a handler that decodes a message, calls answer and encodes the result.
// An invalid message gets status 400, an error of answer status 503 with its text.
func Handle[Q, A btwire.Validator](answer func(context.Context, Q) (A, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := readMessage(w, r)
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
		// Writing fails only if the peer has disconnected.
		_, _ = w.Write(encoded)
	})
}

// readMessage reads the message of a call. After an error the deadline stays, since the
// server reads on to find the end of the message.
func readMessage(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(readBodyTimeout)); err != nil {
		return nil, err
	}
	data, err := btbound.ReadAll(r.Body, maxMessageBytes)
	if err != nil {
		return nil, err
	}
	return data, control.SetReadDeadline(time.Time{})
}

// Serve handles calls on the listener until the context ends.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: btbound.MaxHeaderBytes}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(RetryAccept(listener))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
