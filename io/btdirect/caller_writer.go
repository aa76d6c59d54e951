package btdirect

import (
	"errors"
	"net/http"
	"os"
	"time"

	"bilberrytide/core/btrequest"
)

const (
	// callerStallTimeout is how long a caller may accept nothing of its answer before it is
	// disconnected. Engines cut off an answer that stays unread for some seconds.
	callerStallTimeout = 4 * time.Second
	// writeBytes is the largest part of an answer that a caller has to accept within that
	// time.
	writeBytes = 16 << 10
)

// callerWriter writes an answer to a caller that may read slowly.
type callerWriter struct {
	writer  http.ResponseWriter
	control *http.ResponseController
}

func newCallerWriter(w http.ResponseWriter) callerWriter {
	return callerWriter{writer: w, control: http.NewResponseController(w)}
}

// Write writes the data in parts, and fails if the caller doesn't accept one of them.
func (c callerWriter) Write(data []byte) (written int, err error) {
	// The connection may serve further requests.
	defer func() { err = errors.Join(err, c.limit(time.Time{})) }()
	for len(data) > 0 {
		part := data[:min(writeBytes, len(data))]
		if err := c.limit(time.Now().Add(callerStallTimeout)); err != nil {
			return written, err
		}
		n, err := c.writer.Write(part)
		written += n
		if err != nil {
			return written, err
		}
		data = data[n:]
	}
	return written, nil
}

// writeEvents writes events and flushes them.
func (c callerWriter) writeEvents(events []byte) error {
	if _, err := c.Write(events); err != nil {
		return err
	}
	if err := c.limit(time.Now().Add(callerStallTimeout)); err != nil {
		return err
	}
	return errors.Join(c.control.Flush(), c.limit(time.Time{}))
}

func (c callerWriter) limit(t time.Time) error {
	if err := c.control.SetWriteDeadline(t); !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// writeFailed returns the result of an attempt whose answer the caller didn't accept.
func writeFailed(err error) attemptResult {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return attemptResult{reason: ReasonCallerStalled, err: err}
	}
	return attemptResult{reason: ReasonCallerGone, err: err}
}

// callerLost reports whether the attempt ended because of its caller.
func callerLost(r btrequest.Reason) bool { return r == ReasonCallerGone || r == ReasonCallerStalled }
