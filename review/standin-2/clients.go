package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// call is what a client has seen of one request.
type call struct {
	id, kind string
	sentAt   time.Time
	took     time.Duration
	status   int
	events   int
	served   bool
	err      error
}

// clients send requests at a steady rate, each on a connection of its own, as the balancer
// spreads connections over the entries.
type clients struct {
	d       *deployment
	next    atomic.Int64
	mu      sync.Mutex
	calls   []call
	running sync.WaitGroup
}

// giveUp is the pause after which clients abandon a stream: the longest of two seconds, four
// times the objective and eight times the allowed pause.
const giveUp = 2 * time.Second

// kindOf returns the kind of a request: of 25, 22 streams, two that may run once and one that
// may be repeated, which is about the mix of the site.
func kindOf(n int) string {
	switch n % 25 {
	case 6, 14:
		return "once"
	case 22:
		return "safe"
	}
	return "stream"
}

// run sends requests until the stop.
func (c *clients) run(perSecond int, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			c.running.Wait()
			return
		case <-ticker.C:
		}
		n := int(c.next.Add(1))
		c.running.Go(func() { c.send(n, kindOf(n)) })
	}
}

func (c *clients) send(n int, kind string) {
	result := c.do(n, kind)
	result.took = time.Since(result.sentAt)
	c.d.record.line("client %s %s sent=%.3f status=%d events=%d served=%t took_ms=%d err=%v", result.id, kind, result.sentAt.Sub(c.d.record.began).Seconds(), result.status, result.events, result.served, result.took.Milliseconds(), result.err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, result)
}

// do makes one request to an entry.
func (c *clients) do(n int, kind string) call {
	result := call{id: fmt.Sprintf("r-%06d", n), kind: kind, sentAt: time.Now()}
	deadline := 1500 * time.Millisecond
	if kind == "stream" {
		deadline = 8 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	method, body := http.MethodPost, "body of "+result.id
	if kind == "safe" {
		method, body = http.MethodGet, ""
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.d.front(n%len(c.d.entries)).String()+"/"+kind+"/"+result.id, strings.NewReader(body))
	if err != nil {
		result.err = err
		return result
	}
	r.Host = callerHost
	r.Header.Set(names.RequestID, result.id)
	r.Header.Set(names.Key, apiKey)
	r.Header.Set(names.Deadline, fmt.Sprint(deadline.Milliseconds()))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	gap := time.AfterFunc(giveUp, cancel)
	defer gap.Stop()
	answer, err := transport.RoundTrip(r)
	if err != nil {
		result.err = err
		return result
	}
	defer answer.Body.Close()
	result.status = answer.StatusCode
	if kind != "stream" {
		_, result.err = io.Copy(io.Discard, answer.Body)
		result.served = result.err == nil && result.status == http.StatusOK
		return result
	}
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			result.events++
			gap.Reset(giveUp)
		}
	}
	result.err = lines.Err()
	result.served = result.err == nil && result.status == http.StatusOK && result.events == streamEvents
	return result
}

// share returns how many of the requests that were sent in the span were served.
func (c *clients) share(from, to time.Time) (served, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.calls {
		if r.sentAt.Before(from) || !r.sentAt.Before(to) {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return served, sent
}
