package btdirect

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"bilberrytide/core/btevents"
	"bilberrytide/io/bttarget"
)

const (
	// silentAfter is how long a stream's target may send nothing before the
	// stream is continued elsewhere, in multiples of the pause that the route
	// allows, and at least silentLeast. Callers leave after two seconds.
	silentAfter = 8
	silentLeast = 1200 * time.Millisecond
	// readBytes is the buffer for one read of a stream; events take a fraction.
	readBytes = 8 << 10
)

// streamWriter passes a stream on, event by event, over any number of targets.
type streamWriter struct {
	x      *exchange
	flush  *http.ResponseController
	events *btevents.Splitter
	begun  bool
	// wrote is when the last event went out.
	wrote time.Time
	// follower notes the events of the attempt that is passed on.
	follower *follower
}

func (s *streamWriter) last() string {
	if s.events.Last() != "" {
		return s.events.Last()
	}
	return ""
}

// start begins to read a target's stream: from the beginning, or after the last
// event that went out.
func (s *streamWriter) start() {
	if last := s.last(); last != "" {
		s.events = btevents.Resumed(last)
		return
	}
	s.events = btevents.New()
}

// write passes whole events on.
func (s *streamWriter) write(events []byte, answer *bttarget.Response) error {
	if len(events) == 0 {
		return nil
	}
	if !s.begun {
		s.begun = true
		s.x.answering.Store(true)
		s.x.copyHeader(answer.Header)
		s.x.writer.Header().Del("Content-Length")
		s.x.writer.WriteHeader(answer.Status)
	}
	if _, err := s.x.writer.Write(events); err != nil {
		return err
	}
	return s.flush.Flush()
}

// relayStream passes a stream on until its end.
func (x *exchange) relayStream(ctx context.Context, cancel context.CancelFunc, t *target, answer *bttarget.Response, tokens *promptTokens) attemptResult {
	if x.stream == nil {
		x.stream = &streamWriter{x: x, flush: http.NewResponseController(x.writer), events: btevents.New()}
		if x.call.LastEvent != "" {
			x.stream.events = btevents.Resumed(x.call.LastEvent)
		}
	} else {
		x.stream.start()
	}
	watch := newSilence(x.route.MaxGap, cancel)
	defer watch.stop()
	x.stream.follower = &follower{fleet: x.entry.fleet, target: t}
	defer x.stream.follower.end()
	buffer := make([]byte, readBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			watch.heard()
			tokens.read()
			if result, failed := x.pass(t, buffer[:n], answer); failed {
				return result
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && !x.stream.events.Partial() {
			return x.finish(answer)
		}
		return x.broken(ctx, watch, err)
	}
}

// pass hands a piece on and takes the pauses between events.
func (x *exchange) pass(t *target, piece []byte, answer *bttarget.Response) (attemptResult, bool) {
	events, err := x.stream.events.Add(piece)
	if err != nil {
		return attemptResult{reason: ReasonMalformedAnswer, detail: err}, true
	}
	if len(events) == 0 {
		return attemptResult{}, false
	}
	now := x.entry.options.Clock()
	if x.stream.wrote.IsZero() {
		x.began = now
		x.stages.begin = now.Sub(x.admitted)
		x.entry.meter.Duration(metricBegin, x.stages.begin)
		x.entry.meter.Duration(metricFirstEvent, now.Sub(x.received))
		x.entry.admission.first(x.service, now.Sub(x.admitted), x.route.Objective)
		x.entry.succeeded(t, "first event")
	} else {
		x.stages.pause = max(x.stages.pause, now.Sub(x.stream.wrote))
		x.entry.admission.pause(x.service, now.Sub(x.stream.wrote), x.route.MaxGap)
	}
	if x.move != nil {
		x.move.begun.Store(true)
	}
	x.stream.follower.event(now.Sub(x.stream.wrote))
	x.stream.wrote = now
	if err := x.stream.write(events, answer); err != nil {
		return attemptResult{reason: ReasonCallerGone, detail: err}, true
	}
	return attemptResult{}, false
}

// finish ends a stream whose target ended it in order.
func (x *exchange) finish(answer *bttarget.Response) attemptResult {
	if !x.stream.begun {
		// A stream without events is passed on as it came.
		x.copyHeader(answer.Header)
		x.writer.WriteHeader(answer.Status)
		x.stream.begun = true
	}
	return attemptResult{done: true}
}

// broken ends an attempt whose stream broke off.
func (x *exchange) broken(ctx context.Context, watch *silence, err error) attemptResult {
	result := attemptResult{reason: ReasonAnswerCut, detail: err}
	switch {
	case x.gone():
		result.reason = ReasonCallerGone
	case watch.fired():
		result.reason = ReasonSilent
	case ctx.Err() != nil:
		result.reason = ReasonTimeout
	}
	return result
}

// silence cancels an attempt whose target sends nothing for too long.
type silence struct {
	limit time.Duration
	timer *time.Timer
	over  atomic.Bool
}

func newSilence(gap time.Duration, cancel context.CancelFunc) *silence {
	s := &silence{limit: max(silentAfter*gap, silentLeast)}
	s.timer = time.AfterFunc(s.limit, func() {
		s.over.Store(true)
		cancel()
	})
	return s
}

func (s *silence) heard() { s.timer.Reset(s.limit) }

func (s *silence) stop() { s.timer.Stop() }

func (s *silence) fired() bool { return s.over.Load() }
