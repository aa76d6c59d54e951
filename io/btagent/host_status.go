package btagent

import (
	"sync"
	"time"

	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
)

// hostStatusLifetime is how long an entry's report that the host is leaving stays valid.
// Acknowledgements repeat the report every few heartbeats.
const hostStatusLifetime = 30 * time.Second

// hostStatus tracks what entries report of this agent's host, as listed by the
// platform.
//
// While any entry reports that the host is leaving, the agent reports that it takes no
// new work; so entries that have not read the list learn of it too. It doesn't begin a
// planned stop: the list lags and may be changed back, whereas a stop is final.
type hostStatus struct {
	clock       btloop.Clock
	addDecision func(btmetric.Decision)
	changed     func()

	mu sync.Mutex
	// reportedAt holds when each entry last reported that the host is leaving.
	reportedAt map[btpeer.Identity]time.Time
	wasLeaving bool
}

func newHostStatus(o Options, changed func()) *hostStatus {
	return &hostStatus{
		clock:       o.Clock,
		addDecision: o.Decisions.Add,
		changed:     changed,
		reportedAt:  map[btpeer.Identity]time.Time{},
	}
}

// update records an entry's report.
func (s *hostStatus) update(from btpeer.Identity, leaving bool) {
	s.mu.Lock()
	if leaving {
		s.reportedAt[from] = s.clock()
	} else {
		delete(s.reportedAt, from)
	}
	s.mu.Unlock()
	s.leaving()
}

// leaving reports whether a valid report says that the host is leaving.
func (s *hostStatus) leaving() bool {
	now := s.clock()
	s.mu.Lock()
	for from, at := range s.reportedAt {
		if now.Sub(at) > hostStatusLifetime {
			delete(s.reportedAt, from)
		}
	}
	leaving := len(s.reportedAt) > 0
	changed := leaving != s.wasLeaving
	s.wasLeaving = leaving
	s.mu.Unlock()
	if changed {
		s.recordDecision(now, leaving)
		s.changed()
	}
	return leaving
}

func (s *hostStatus) recordDecision(now time.Time, leaving bool) {
	d := btmetric.Decision{
		Time:     now,
		Act:      "host_back",
		Subject:  "this agent's host",
		Cause:    "no entry says any more that the platform's list calls it leaving",
		Expected: "entries send it work",
	}
	if leaving {
		d.Act = "host_leaving"
		d.Cause = "an entry says that the platform's list calls it leaving"
		d.Expected = "entries send it no new work; what it runs is finished; the process goes on until it is stopped"
	}
	s.addDecision(d)
}
