package btentry

import (
	"net/http"
	"time"

	"bilberrytide/core/btrequest"
	"bilberrytide/io/btfront"
	"bilberrytide/io/bthttp"
)

// newFront returns the front for callers.
func newFront(o Options) *btfront.Front {
	f := btfront.CallerOptions(o.Memory, o.Descriptors)
	f.Limits = func() btfront.Limits { return btfront.Limits{HeaderTime: readHeaderTimeout, IdleTime: idleTimeout} }
	f.Clock, f.Meter, f.Log = o.Elapsed, o.Meter, o.Log
	return btfront.New(f)
}

// callerMemory is the memory of a caller's connection. It is released when the request has
// been answered.
type callerMemory struct {
	connection *btfront.Conn
}

var _ bthttp.Memory = callerMemory{}

// Acquire takes bytes for the request.
func (m callerMemory) Acquire(size int64) bool {
	return m.connection == nil || m.connection.Reserve(size)
}

// Release does nothing.
func (callerMemory) Release(int64) {}

// bodyLate replaces the refusal of a body if its connection was evicted.
func (x *exchange) bodyLate(refusal *btrequest.Refusal) *btrequest.Refusal {
	if refusal == nil || x.connection == nil || !x.connection.Evicted() {
		return refusal
	}
	return refuseLate()
}

// refuseLate returns the refusal of a request whose connection was evicted. A caller that is
// as slow again would only repeat it.
func refuseLate() *btrequest.Refusal {
	return btrequest.Refuse(ReasonBodyLate, 0, "the request body came too slowly while memory was short")
}

// closeUnread closes the connection after a refusal of a request of which a part isn't read.
// The server reads on for a moment, so that the caller gets the answer.
func (x *exchange) closeUnread() {
	if x.read || x.answer.Started() {
		return
	}
	x.writer.Header().Set("Connection", "close")
	x.answer.SetReadDeadline(time.Now().Add(btfront.LingerTime))
}

// hasBody reports whether a request has a body that is to be read.
func hasBody(r *http.Request) bool { return r.ContentLength != 0 }
