package btdirect

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"bilberrytide/io/bttarget"
)

const (
	// bodyMemoryShare is the fraction of the process's memory that bodies of requests and
	// buffered answers may take; the rest is for connections, lists and garbage.
	bodyMemoryShare = 0.25
	// reserveBytes is the amount reserved at a time for a body of unknown size.
	reserveBytes = 64 << 10
)

// bodyMemory bounds the bytes that are buffered for slow callers and targets. It is safe for
// concurrent use.
type bodyMemory struct {
	// limit is in bytes; zero means that there is none.
	limit int64
	used  atomic.Int64
}

func newBodyMemory(memory int64) *bodyMemory {
	return &bodyMemory{limit: int64(float64(memory) * bodyMemoryShare)}
}

// reserve reserves bytes, and returns false if they are more than are left.
func (m *bodyMemory) reserve(n int64) bool {
	if m.used.Add(n) <= m.limit || m.limit <= 0 {
		return true
	}
	m.used.Add(-n)
	return false
}

func (m *bodyMemory) release(n int64) { m.used.Add(-n) }

// reserve reserves bytes until the request ends, and returns false if they are more than
// are left.
func (x *exchange) reserve(n int64) bool {
	if !x.entry.bodies.reserve(n) {
		return false
	}
	x.reserved += n
	return true
}

// releaseMemory releases what the request has reserved.
func (x *exchange) releaseMemory() { x.entry.bodies.release(x.reserved) }

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
	body, reserved, err := x.readReserved(http.MaxBytesReader(x.writer, x.request.Body, limit), x.request.ContentLength, limit)
	if !reserved {
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonMemory, retryAfter: x.otherEntryRetryAfter()}
	}
	var tooBig *http.MaxBytesError
	if errors.As(err, &tooBig) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: ReasonBodyTooBig}
	}
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: ReasonBodyCut}
	}
	x.body = body
	return nil
}

// defaultBodyBytes is the body limit if the catalog sets none.
const defaultBodyBytes = 4 << 20

// readReserved reads a body of at most limit bytes and reserves its size. It returns false
// if that is more than is left.
func (x *exchange) readReserved(body io.Reader, size, limit int64) ([]byte, bool, error) {
	if size >= 0 {
		if !x.reserve(size) {
			return nil, false, nil
		}
		data, err := io.ReadAll(body)
		return data, true, err
	}
	var data []byte
	for int64(len(data)) <= limit {
		if !x.reserve(reserveBytes) {
			return nil, false, nil
		}
		part, err := io.ReadAll(io.LimitReader(body, reserveBytes))
		data = append(data, part...)
		if err != nil || len(part) < reserveBytes {
			return data, true, err
		}
	}
	return data, true, nil
}

// reserveAnswer reserves the buffer for an answer.
func (x *exchange) reserveAnswer(answer *bttarget.Response) bool {
	size, err := strconv.ParseInt(answer.Header.Get("Content-Length"), 10, 64)
	if err != nil || size < 0 || size > bufferBytes {
		size = bufferBytes
	}
	return x.reserve(size)
}
