package main

import (
	"net"
	"net/http"
	"sync"
	"time"

	"bilberrytide/platform/btmock"
)

const (
	serviceName = "booking-pages"
	// workTime is how long a target works on a request.
	workTime = 60 * time.Millisecond
	slots    = 12
)

// target is a target and what has reached it.
type target struct {
	*btmock.Target
	name, zone string
	address    string
	server     *http.Server
	record     *record

	mu       sync.Mutex
	arrivals []arrival
}

// arrival is a request that has reached a target.
type arrival struct {
	id string
	at time.Time
}

func startTarget(host, name, zone string, ledger *btmock.Ledger, r *record) (*target, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	t := &target{
		Target:  btmock.NewTarget("i-"+name, serviceName, ledger, btmock.Settings{Work: workTime, Slots: slots}),
		name:    name,
		zone:    zone,
		address: listener.Addr().String(),
		record:  r,
	}
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(listener) }()
	return t, nil
}

// ServeHTTP records a request and runs it.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(btmock.HeaderRequestID)
	t.mu.Lock()
	t.arrivals = append(t.arrivals, arrival{id: id, at: time.Now()})
	t.mu.Unlock()
	t.record.logf("%s: %s %s arrives", t.name, r.Method, id)
	t.Target.ServeHTTP(w, r)
}

// arrived returns what has reached the target.
func (t *target) arrived() []arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]arrival(nil), t.arrivals...)
}

// exit ends the target as its process ends: what it runs is broken off.
func (t *target) exit() {
	t.Kill()
	_ = t.server.Close()
}
