package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"bilberrytide/platform/btmock"
)

// store is the platform's store. It can cut the watches that are waiting.
type store struct {
	*btmock.Store
	record *record

	mu sync.Mutex
	// waiting holds the waiting watch of each entry.
	waiting map[string]*watch
}

// watch is a watch that is waiting.
type watch struct {
	since time.Time
	cut   context.CancelFunc
	// wasCut is set before the cut.
	wasCut bool
}

func newStore(r *record) *store {
	return &store{Store: btmock.NewStore(), record: r, waiting: make(map[string]*watch)}
}

// handler serves the store to one entry.
func (s *store) handler(entry string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "-watch") {
			s.ServeHTTP(rw, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		w := &watch{since: time.Now(), cut: cancel}
		s.setWaiting(entry, w)
		s.ServeHTTP(rw, r.WithContext(ctx))
		if s.endWaiting(entry, w) {
			s.record.logf("store: waiting watch of %s is cut, after %d ms", entry, time.Since(w.since).Milliseconds())
			panic(http.ErrAbortHandler)
		}
	})
}

func (s *store) setWaiting(entry string, w *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[entry] = w
}

// endWaiting reports whether the watch was cut.
func (s *store) endWaiting(entry string, w *watch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[entry] == w {
		delete(s.waiting, entry)
	}
	return w.wasCut
}

// cutWaiting cuts the watches of all entries, if all have been waiting for the shortest time
// at least. It reports whether it did.
func (s *store) cutWaiting(entries int, shortest time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.allWaiting(entries, shortest) {
		return false
	}
	for _, w := range s.waiting {
		w.wasCut = true
		w.cut()
	}
	clear(s.waiting)
	return true
}

// haveWaited reports whether the watches of all entries have been waiting for the shortest
// time at least.
func (s *store) haveWaited(entries int, shortest time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allWaiting(entries, shortest)
}

// allWaiting is haveWaited with the lock held.
func (s *store) allWaiting(entries int, shortest time.Duration) bool {
	for _, w := range s.waiting {
		if time.Since(w.since) < shortest {
			return false
		}
	}
	return len(s.waiting) == entries
}
