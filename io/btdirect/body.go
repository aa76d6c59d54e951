package btdirect

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"bilberrytide/io/btbound"
	"bilberrytide/io/btfront"
	"bilberrytide/io/bttarget"
)

// defaultBodyBytes is the body limit if the catalog sets none.
const defaultBodyBytes = 4 << 20

// readBody reads the whole body, so that an attempt can be repeated and the server
// notices a caller that disconnects.
func (x *exchange) readBody() *refusal {
	limit := x.index.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.request.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: ReasonBodyTooBig}
	}
	if x.request.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(x.writer)
	err := control.SetReadDeadline(time.Now().Add(x.deadline.Sub(x.entry.options.Clock())))
	if err == nil {
		x.body, err = x.connection.ReadBody(x.request.Body, x.request.ContentLength, limit)
	}
	if err == nil {
		x.received = true
		// Trailers aren't forwarded.
		x.request.Trailer = nil
		err = control.SetReadDeadline(time.Time{})
	}
	return x.refuseBody(err)
}

// refuseBody returns the refusal of a request whose body wasn't read; nil without an error.
func (x *exchange) refuseBody(err error) *refusal {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, btfront.ErrTooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: ReasonBodyTooBig}
	case errors.Is(err, btfront.ErrMemory):
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonMemory, retryAfter: x.otherEntryRetryAfter()}
	case errors.Is(err, btfront.ErrEvicted), errors.Is(err, os.ErrDeadlineExceeded):
		// A caller that is as slow again would only repeat this.
		return &refusal{status: http.StatusRequestTimeout, reason: ReasonBodyLate}
	}
	return &refusal{status: http.StatusBadRequest, reason: ReasonBodyCut}
}

// answerMemory is the memory of a caller's connection, which answers take until the request has
// been answered.
type answerMemory struct{ x *exchange }

var _ btbound.Memory = answerMemory{}

// Reserve takes bytes for the request.
func (m answerMemory) Reserve(n int64) bool { return m.x.connection.Reserve(n) }

// reserveAnswer reserves the buffer for an answer.
func (x *exchange) reserveAnswer(answer *bttarget.Response) bool {
	size, err := strconv.ParseInt(answer.Header.Get("Content-Length"), 10, 64)
	if err != nil || size < 0 || size > bufferBytes {
		size = bufferBytes
	}
	return x.connection.Reserve(size)
}
