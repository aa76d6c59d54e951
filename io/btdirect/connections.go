package btdirect

import (
	"net"
	"net/http"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

const (
	// reservedDescriptors are those that the platform counts for files.
	reservedDescriptors = 200
	// callerDescriptorShare is the share of the others that callers' connections may use;
	// the rest is for targets and other processes.
	callerDescriptorShare = 0.75
	// connectionBytes is the memory of a caller's connection without its request, and
	// callerMemoryShare the share of the process's memory that all of them may use.
	connectionBytes   = 32 << 10
	callerMemoryShare = 0.25
	// crowdedShare is the share of the limit from which on connections are closed after an
	// answer, so that idle ones leave room for new ones.
	crowdedShare = 0.75
	// metricConnectionsRefused counts connections that were closed as there were too many.
	metricConnectionsRefused = "connections_refused"
)

// callerConnections limits the connections of callers. The load balancer may hand most new
// ones to one entry; beyond the limit it closes a new one unread and at once, so that its
// caller tries another entry.
type callerConnections struct {
	// limit is zero if there is none.
	limit   int64
	open    atomic.Int64
	refused metrics.Counter
}

func newCallerConnections(o Options) *callerConnections {
	return &callerConnections{limit: connectionLimit(o.Settings), refused: o.Meter.Counter(metricConnectionsRefused)}
}

// connectionLimit returns how many connections of callers the process can take; zero if its
// limits aren't known.
func connectionLimit(s Settings) int64 {
	limit := int64(0)
	if s.Memory > 0 {
		limit = max(int64(callerMemoryShare*float64(s.Memory))/connectionBytes, 1)
	}
	if s.Descriptors > 0 {
		byDescriptors := max(int64(callerDescriptorShare*float64(s.Descriptors-reservedDescriptors)), 1)
		if limit == 0 || byDescriptors < limit {
			limit = byDescriptors
		}
	}
	return limit
}

// observe follows the state of a connection.
func (c *callerConnections) observe(s http.ConnState) {
	switch s {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// full reports whether another connection must be closed.
func (c *callerConnections) full() bool { return c.limit > 0 && c.open.Load() >= c.limit }

// crowded reports whether connections are to be closed after their answers.
func (c *callerConnections) crowded() bool {
	return c.limit > 0 && float64(c.open.Load()) >= crowdedShare*float64(c.limit)
}

// limitedListener closes connections beyond the limit.
type limitedListener struct {
	net.Listener
	connections *callerConnections
}

// Accept returns the next connection within the limit.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || !l.connections.full() {
			return c, err
		}
		l.connections.refused.Inc(1)
		// Nothing was written that closing could lose.
		_ = c.Close()
	}
}
