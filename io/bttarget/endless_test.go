package bttarget_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btbound"
	"bilberrytide/io/btbound/btendless"
	"bilberrytide/io/bttarget"
)

const (
	loopback = "127.0.0.1"
	okHead   = "HTTP/1.1 200 OK\r\n"
	// headBytes is how much of the heads before a body is read at most.
	headBytes = (btbound.MaxInformational + 1) * btbound.MaxHeaderBytes
)

// deadline is that of the requests, far beyond btbound.HeadTimeout.
const deadline = 20 * time.Second

// TestEndlessHeads guards against a head without end that takes memory without bound, or
// the whole deadline of a request that another target could serve.
func TestEndlessHeads(t *testing.T) {
	const drip = 20 * time.Millisecond
	cases := map[string]btendless.Answer{
		"status line":              btendless.Endless("HTTP/1.1 200 ", strings.Repeat("x", 4096), 0),
		"status line dripped":      btendless.Endless("HTTP/1.1 200 ", "x", drip),
		"one field":                btendless.Endless(okHead+"X: ", strings.Repeat("x", 4096), 0),
		"many fields":              btendless.Endless(okHead, strings.Repeat("X: 1\r\n", 500), 0),
		"fields dripped":           btendless.Endless(okHead, "X: 1\r\n", drip),
		"bytes dripped":            btendless.Endless("H", "T", drip),
		"begun":                    func(w io.Writer) error { _, err := io.WriteString(w, okHead); return err },
		"informational":            btendless.Endless("", "HTTP/1.1 103 Early Hints\r\n\r\n", 0),
		"informational dripped":    btendless.Endless("", "HTTP/1.1 100 Continue\r\n\r\n", drip),
		"dripped after the first":  btendless.Endless("HTTP/1.1 100 Continue\r\n\r\n", "H", drip),
		"large informational ones": btendless.Endless("", "HTTP/1.1 103 Early Hints\r\nX: "+strings.Repeat("x", 60<<10)+"\r\n\r\n", 0),
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := btendless.New(t, loopback, answer)
			c := bttarget.New(bttarget.Options{Endpoint: s.Address})
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			_, err := c.Do(ctx, bttarget.Request{Method: http.MethodPost, URI: "/", Body: []byte("x")})
			assert.ErrorIs(t, err, bttarget.ErrLost)
			assert.Assert(t, !bttarget.ClosedByTarget(err), "%v", err)
			s.CheckClosed(t, 5*btbound.HeadTimeout, headBytes)
		})
	}
}

// TestSlowTargetsAreServed guards against a bound on the head that ends the request of a
// target at work, which sends nothing, or an informational answer and then nothing.
func TestSlowTargetsAreServed(t *testing.T) {
	for _, first := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
		t.Run(fmt.Sprint(len(first)), func(t *testing.T) {
			t.Parallel()
			s := btendless.New(t, loopback, func(w io.Writer) error {
				_, _ = io.WriteString(w, first)
				time.Sleep(btbound.HeadTimeout * 3 / 2)
				_, err := io.WriteString(w, okHead+"Content-Length: 2\r\n\r\n")
				time.Sleep(btbound.HeadTimeout * 3 / 2)
				_, _ = io.WriteString(w, "ok")
				return err
			})
			c := bttarget.New(bttarget.Options{Endpoint: s.Address})
			answer, err := c.Do(t.Context(), bttarget.Request{Method: http.MethodPost, URI: "/"})
			assert.NilError(t, err)
			data, err := io.ReadAll(answer.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(data), "ok")
			assert.NilError(t, answer.Body.Close())
			c.Close()
		})
	}
}

// TestSwitchedProtocolIsLost guards against an answer 101, whose body net/http reads without
// regard to the request's context: a request would never end.
func TestSwitchedProtocolIsLost(t *testing.T) {
	s := btendless.New(t, loopback, func(w io.Writer) error {
		_, err := io.WriteString(w, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n")
		return err
	})
	c := bttarget.New(bttarget.Options{Endpoint: s.Address})
	_, err := c.Do(t.Context(), bttarget.Request{Method: http.MethodPost, URI: "/", Body: []byte("x")})
	assert.ErrorIs(t, err, bttarget.ErrLost)
	s.CheckClosed(t, btbound.HeadTimeout, headBytes)
}

// TestStatusOfNoAnswerIsLost guards against a status that can't be passed on: writing it
// would panic.
func TestStatusOfNoAnswerIsLost(t *testing.T) {
	s := btendless.New(t, loopback, func(w io.Writer) error {
		_, err := io.WriteString(w, "HTTP/1.1 007 OK\r\nContent-Length: 2\r\n\r\nok")
		return err
	})
	c := bttarget.New(bttarget.Options{Endpoint: s.Address})
	_, err := c.Do(t.Context(), bttarget.Request{Method: http.MethodPost, URI: "/", Body: []byte("x")})
	assert.ErrorIs(t, err, bttarget.ErrLost)
	s.CheckClosed(t, btbound.HeadTimeout, headBytes)
}

// TestEndlessBodies guards against a body without end that ends after the request's
// deadline or looks complete.
func TestEndlessBodies(t *testing.T) {
	const drip = 20 * time.Millisecond
	const chunked = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	cases := map[string]btendless.Answer{
		"without length":         btendless.Endless(okHead+"\r\n", strings.Repeat("x", 4096), 0),
		"without length dripped": btendless.Endless(okHead+"\r\n", "x", drip),
		"declared":               btendless.Endless(okHead+"Content-Length: 1000000000000\r\n\r\n", "x", drip),
		"chunks dripped":         btendless.Endless(chunked, "1\r\nx\r\n", drip),
		"chunk size dripped":     btendless.Endless(chunked, "0", drip),
		"extension":              btendless.Endless(chunked+"1;", strings.Repeat("x", 4096), 0),
		"trailer":                btendless.Endless(chunked+"0\r\n", "X: 1\r\n", 0),
		"trailer dripped":        btendless.Endless(chunked+"0\r\n", "X: 1\r\n", drip),
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := btendless.New(t, loopback, answer)
			c := bttarget.New(bttarget.Options{Endpoint: s.Address})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			response, err := c.Do(ctx, bttarget.Request{Method: http.MethodPost, URI: "/", Body: []byte("x")})
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			assert.ErrorIs(t, err, bttarget.ErrLost)
			assert.NilError(t, response.Body.Close())
			s.CheckClosed(t, deadline/2, math.MaxInt64-btendless.SocketBytes)
		})
	}
}

// TestBytesAfterAnAnswerCloseTheConnection guards against a kept connection on which bytes
// without end follow a complete answer.
func TestBytesAfterAnAnswerCloseTheConnection(t *testing.T) {
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			s := btendless.New(t, loopback, btendless.Endless(okHead+"Content-Length: 2\r\n\r\nok", strings.Repeat("x", 4096), pause))
			c := bttarget.New(bttarget.Options{Endpoint: s.Address})
			answer, err := c.Do(t.Context(), bttarget.Request{Method: http.MethodPost, URI: "/"})
			assert.NilError(t, err)
			data, err := io.ReadAll(answer.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(data), "ok")
			assert.NilError(t, answer.Body.Close())
			s.CheckClosed(t, btbound.HeadTimeout, headBytes)
		})
	}
}

// TestUnreadBodyIsClosed guards against reading on in a body without end that was closed.
func TestUnreadBodyIsClosed(t *testing.T) {
	s := btendless.New(t, loopback, btendless.Endless(okHead+"\r\n", strings.Repeat("x", 4096), 0))
	c := bttarget.New(bttarget.Options{Endpoint: s.Address})
	answer, err := c.Do(t.Context(), bttarget.Request{Method: http.MethodPost, URI: "/"})
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	s.CheckClosed(t, btbound.HeadTimeout, headBytes)
}
