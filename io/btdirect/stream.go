package btdirect

import (
	"context"
	"errors"
	"io"
	"time"

	"bilberrytide/core/btevents"
	"bilberrytide/io/bttarget"
)

// readBufferBytes is the buffer size for one read of a stream. Events are much smaller.
const readBufferBytes = 8 << 10

// streamWriter relays a stream event by event, from any number of targets in turn.
type streamWriter struct {
	x      *exchange
	writer callerWriter
	events *btevents.Splitter
	begun  bool
	// lastWrite is when the last event was sent.
	lastWrite time.Time
	// observer records the events of the present attempt.
	observer *streamObserver
	// hasOutput is set once the present attempt has had an event.
	hasOutput bool
	// reserved is what was reserved for events beyond freeEventBytes, in bytes.
	reserved int64
}

// freeEventBytes is the part of the buffered events that isn't reserved: one read of ordinary
// events, and what is sent of them.
const freeEventBytes = 2 * readBufferBytes

// errEventMemory means that there was no memory for an event.
var errEventMemory = errors.New("no memory for an event")

// reserve reserves memory for so many bytes of events until the request has been answered.
func (s *streamWriter) reserve(size int) bool {
	needed := int64(size) - freeEventBytes - s.reserved
	if needed <= 0 {
		return true
	}
	if !s.x.connection.Reserve(needed) {
		return false
	}
	s.reserved += needed
	return true
}

// lastEventID returns the ID of the last event sent, or "".
func (s *streamWriter) lastEventID() string {
	if s.events.Last() != "" {
		return s.events.Last()
	}
	return ""
}

// resume prepares for the stream of another target: from its beginning, or after the
// last event that was sent.
func (s *streamWriter) resume() {
	if last := s.lastEventID(); last != "" {
		s.events = btevents.NewAfter(last)
		return
	}
	s.events = btevents.New()
}

// write sends whole events.
func (s *streamWriter) write(events []byte, answer *bttarget.Response) error {
	if len(events) == 0 {
		return nil
	}
	if !s.begun {
		s.begun = true
		s.x.partlySent.Store(true)
		s.x.copyHeader(answer.Header)
		s.x.writer.Header().Del("Content-Length")
		s.x.writer.WriteHeader(answer.Status)
	}
	s.x.open.write(s.lastEventID())
	err := s.writer.writeEvents(events)
	s.x.open.written(s.x.entry.options.Clock())
	return err
}

// relayStream relays a stream until it ends.
func (x *exchange) relayStream(ctx context.Context, cancel context.CancelFunc, t *target, answer *bttarget.Response, tokens *promptTokens) attemptResult {
	if x.stream == nil {
		x.stream = &streamWriter{x: x, writer: newCallerWriter(x.writer), events: btevents.New()}
		if x.info.LastEvent != "" {
			x.stream.events = btevents.NewAfter(x.info.LastEvent)
		}
	} else {
		x.stream.resume()
	}
	silence := x.newSilenceTimer(t, cancel)
	defer func() {
		silence.close()
		x.attempts += int(silence.successors.ran.Load())
	}()
	x.stream.observer = &streamObserver{fleet: x.entry.fleet, target: t}
	defer x.stream.observer.close()
	x.stream.hasOutput = false
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			tokens.markRead()
			if result, failed := x.relayPiece(t, buffer[:n], answer, silence); failed {
				return result
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && !x.stream.events.Partial() {
			gone := x.checkEnd(t, answer)
			if gone == nil {
				return x.endStream(answer)
			}
			err = gone
		}
		return x.streamBroken(ctx, silence, err)
	}
}

// relayPiece relays a piece of a stream. A piece that completes nothing leaves the silence
// timer running.
func (x *exchange) relayPiece(t *target, piece []byte, answer *bttarget.Response, silence *silenceTimer) (attemptResult, bool) {
	splitter := x.stream.events
	events, blocks := splitter.Events(), splitter.Blocks()
	out, err := splitter.Add(piece)
	if err != nil {
		return attemptResult{reason: ReasonMalformedAnswer, err: err}, true
	}
	if !x.stream.reserve(splitter.Buffered()+len(out)) && len(out) == 0 {
		// What is complete is sent: a resumed stream goes on behind it.
		return attemptResult{reason: ReasonMemory, err: errEventMemory}, true
	}
	if splitter.Blocks() == blocks {
		return attemptResult{}, false
	}
	// The target isn't silent while the caller is slow to accept a piece.
	silence.stop()
	hasEvents := splitter.Events() > events
	if hasEvents {
		x.recordEvents(t)
		if !x.stream.hasOutput {
			x.stream.hasOutput = true
			x.recordOutput()
		}
	}
	if err := x.stream.write(out, answer); err != nil {
		return writeFailed(err), true
	}
	silence.resetAfter(hasEvents, x.stream.lastEventID())
	return attemptResult{}, false
}

// recordEvents records the arrival of events and the pause before them.
func (x *exchange) recordEvents(t *target) {
	now := x.entry.options.Clock()
	if x.stream.lastWrite.IsZero() {
		x.firstEventAt = now
		x.stages.startLatency = now.Sub(x.admittedAt)
		x.entry.meter.Duration(metricStartLatency, x.stages.startLatency)
		x.entry.meter.Duration(metricFirstEvent, now.Sub(x.receivedAt))
		x.entry.admission.observeFirstEvent(x.service, now.Sub(x.admittedAt), x.route.Objective)
		x.entry.recordSuccess(t, "first event")
	} else {
		x.stages.longestPause = max(x.stages.longestPause, now.Sub(x.stream.lastWrite))
		x.entry.admission.observePause(x.service, now.Sub(x.stream.lastWrite), x.route.MaxGap)
	}
	if x.move != nil {
		x.move.answerBegun.Store(true)
	}
	x.stream.observer.observe(now.Sub(x.stream.lastWrite))
	x.stream.lastWrite = now
}

// endStream ends a stream that its target completed.
func (x *exchange) endStream(answer *bttarget.Response) attemptResult {
	if !x.stream.begun {
		// A stream without events is relayed as it came.
		x.copyHeader(answer.Header)
		x.writer.WriteHeader(answer.Status)
		x.stream.begun = true
	}
	return attemptResult{complete: true}
}

// streamBroken returns the result of an attempt whose stream broke off.
func (x *exchange) streamBroken(ctx context.Context, silence *silenceTimer, err error) attemptResult {
	result := attemptResult{reason: ReasonAnswerCut, err: err}
	switch {
	case x.callerGone():
		result.reason = ReasonCallerGone
	case silence.expired():
		result.reason = ReasonSilent
		result.retryTaken = true
		result.successor = silence.takeSuccessor()
	case ctx.Err() != nil:
		result.reason = ReasonTimeout
	}
	return result
}
