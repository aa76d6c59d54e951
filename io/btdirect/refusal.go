package btdirect

import (
	"io"
	"net/http"
	"time"

	"bilberrytide/core/btrequest"
	"bilberrytide/io/btfront"
)

// refusal is an answer that the entry itself gives.
type refusal struct {
	status     int
	reason     btrequest.Reason
	retryAfter time.Duration
}

// answerFailure gives the final answer after the last attempt.
func (x *exchange) answerFailure(result attemptResult, reason btrequest.Reason) {
	x.entry.admission.recordRefusal()
	x.entry.logFailure(x, reason, result)
	if result.buffered != nil && !x.streamStarted() {
		if err := x.relayBuffered(result.buffered); err != nil {
			x.abort()
		}
		x.open.setOutcome(outcome{answered: true})
		return
	}
	if x.mayHaveRun {
		x.refuseOrAbort(&refusal{status: http.StatusBadGateway, reason: reason})
		return
	}
	x.refuseOrAbort(&refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: x.defaultRetryAfter()})
}

// refuseOrAbort ends the request with a refusal. A stream of which a part was sent is
// cut off instead, so that the caller notices.
func (x *exchange) refuseOrAbort(r *refusal) {
	if x.streamStarted() {
		x.entry.logFailure(x, r.reason, attemptResult{reason: r.reason})
		x.abort()
		return
	}
	x.refuse(r)
}

func (x *exchange) streamStarted() bool { return x.stream != nil && x.stream.begun }

// callerGone reports whether the caller has disconnected.
func (x *exchange) callerGone() bool { return x.request.Context().Err() != nil }

// abort closes the caller's connection, so that the answer can't be taken for a
// complete one.
func (x *exchange) abort() { panic(http.ErrAbortHandler) }

// refuse sends a refusal.
func (x *exchange) refuse(r *refusal) {
	e := x.entry
	e.meter.Refused(r.reason)
	e.logRefusal(x, r)
	h := x.writer.Header()
	e.options.Headers.SetRefusal(h, x.info.ID, r.retryAfter)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	e.announceClose(h)
	if !x.received {
		x.closeUnread(h)
	}
	x.writer.WriteHeader(r.status)
	// Writing fails only if the caller has disconnected.
	_, _ = io.WriteString(x.writer, string(r.reason)+"\n")
}

// closeUnread closes the connection after the answer, as the rest of the request isn't read.
// The server reads on for a moment, so that the caller gets the answer.
func (x *exchange) closeUnread(h http.Header) {
	h.Set("Connection", "close")
	if err := http.NewResponseController(x.writer).SetReadDeadline(time.Now().Add(btfront.LingerTime)); err != nil {
		x.entry.log.Debug("deadline not set", "request", x.info.ID, "error", err)
	}
}
