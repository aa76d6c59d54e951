package btdirect

import (
	"context"
	"net"
	"net/http"
	"time"

	"bilberrytide/core/btrequest"
	"bilberrytide/core/btstop"
)

// stopPollInterval is how often the phase of a shutdown is updated.
const stopPollInterval = 20 * time.Millisecond

// Stop begins the graceful shutdown. Further calls do nothing.
func (e *Entry) Stop() {
	e.stopOnce.Do(func() {
		e.stopping.Store(true)
		e.acceptance.begin(e.options.Clock(), btstop.New(e.grace()))
		e.open.beginStop()
		e.log.Info("stop begun", append([]any{"grace_ms", e.grace().Milliseconds()}, e.open.summary()...)...)
		close(e.stopRequested)
	})
}

// grace returns the grace period in force.
func (e *Entry) grace() time.Duration { return time.Duration(e.stopGrace.Load()) }

// shutDown waits for Stop and shuts the server down. Streams are accepted until the
// load balancer has stopped sending connections. If no other entry is ready, the
// balancer keeps sending callers here; they are refused with a time to retry until the
// last stream has ended. At the end every request is refused for a while, so that those
// accepted last are still answered. Open connections get an answer to each request that
// is read until no accepted request is left.
func (e *Entry) shutDown(ctx context.Context, server *http.Server, front net.Listener) {
	select {
	case <-ctx.Done():
		e.cutRequests(ReasonProcessEnded, ctx.Err())
		_ = server.Close()
		return
	case <-e.stopRequested:
	}
	began := e.options.Clock()
	plan := btstop.New(e.grace())
	for ctx.Err() == nil {
		phase := plan.Phase(e.options.Clock().Sub(began), e.openStreams.Load() > 0)
		e.shutdownPhase.Store(&phase)
		if phase == btstop.Closing {
			// Nothing delays the exit: new connections are better opened elsewhere.
			_ = front.Close()
		}
		if phase == btstop.Ended || (phase == btstop.Closing || phase == btstop.Refusing) && !e.open.anyAccepted() {
			break
		}
		sleep(ctx, stopPollInterval)
	}
	_ = front.Close()
	bounded, cancel := context.WithTimeout(ctx, max(plan.End-e.options.Clock().Sub(began), 0))
	defer cancel()
	if err := e.closeServer(bounded, server); err != nil {
		reason := ReasonStopTimeout
		if ctx.Err() != nil {
			reason = ReasonProcessEnded
		} else {
			e.answerOpen(ctx)
		}
		if !e.open.none() {
			e.cutRequests(reason, err)
		}
		_ = server.Close()
	}
	e.log.Info("stopped", append([]any{"took_ms", e.options.Clock().Sub(began).Milliseconds()}, e.open.outcomes()...)...)
}

// closeServer closes the listener and all connections as soon as no request is open. The
// error is the context's. http.Server.Shutdown alone would wait up to five seconds for
// connections on which nothing was sent yet.
func (e *Entry) closeServer(ctx context.Context, server *http.Server) error {
	shutDown := make(chan error, 1)
	go func() { shutDown <- server.Shutdown(ctx) }()
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-shutDown:
			return err
		case <-ticker.C:
			// The server no longer handles requests that it reads from here on.
			if e.open.none() {
				_ = server.Close()
				return <-shutDown
			}
		}
	}
}

// answerTimeout limits the time in which the requests that are open at the end of a stop get
// their answers. It is a part of btstop.ExitMargin.
const answerTimeout = 200 * time.Millisecond

// answerOpen ends the accepted requests of whose answer nothing has been sent: their callers
// get an answer that promises nothing, where a closed connection could mean anything.
func (e *Entry) answerOpen(ctx context.Context) {
	for _, r := range e.open.unanswered() {
		r.end()
	}
	until := e.options.Clock().Add(answerTimeout)
	for ctx.Err() == nil && len(e.open.unanswered()) > 0 && e.options.Clock().Before(until) {
		sleep(ctx, stopPollInterval)
	}
}

// cutRequests logs each request that is cut when the connections are closed. The logger
// limits the lines; the count is exact.
func (e *Entry) cutRequests(reason btrequest.Reason, err error) {
	summary := e.open.summary()
	now := e.options.Clock()
	all := e.open.cutAll(reason)
	for _, r := range all {
		e.log.Warn("request cut", r.attributes(now)...)
	}
	e.log.Warn("stop cuts requests", append(summary, "cut", len(all), "reason", reason, "error", err)...)
}

// announceClose announces in the header of an answer that its connection will be closed,
// if the entry is stopping or has too many connections.
func (e *Entry) announceClose(h http.Header) {
	if e.stopping.Load() || e.front.Crowded() {
		h.Set("Connection", "close")
	}
}

// currentPhase returns the phase of the shutdown, or Serving before it.
func (e *Entry) currentPhase() btstop.Phase {
	if p := e.shutdownPhase.Load(); p != nil {
		return *p
	}
	return btstop.Serving
}
