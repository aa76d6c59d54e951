package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"bilberrytide/platform/btmock"
)

// record is the file that lists what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// statusWriter notes the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// orderHook is called for each order that an engine has answered.
type orderHook func(rank, status int, o btmock.Order)

func (d *deployment) setOrderHook(h orderHook) { d.onOrder.Store(&h) }

// observed records the requests and orders that a target receives, and its answers to
// orders.
func (d *deployment) observed(rank int, t *btmock.Target) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(names.RequestID); id != "" {
			d.record.line("target %s receives %s", t.ID, id)
		}
		if r.URL.Path != names.Order {
			t.ServeHTTP(w, r)
			return
		}
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		var o btmock.Order
		_ = json.Unmarshal(body, &o)
		s := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		t.ServeHTTP(s, r)
		d.record.line("order rank=%d op=%s fence=%d (counter %d) version=%d step=%d status=%d", rank, o.Op, o.Fence, o.Fence>>29, o.Version, o.Step, s.status)
		if hook := d.onOrder.Load(); hook != nil {
			(*hook)(rank, s.status, o)
		}
	})
}
