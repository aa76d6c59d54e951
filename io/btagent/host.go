package btagent

import (
	"sync"
	"time"

	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
)

// hostWordTime is how long an entry's word that the host is leaving counts
// unless it is said again, which acknowledgements do every few heartbeats.
const hostWordTime = 30 * time.Second

// hostWords is what entries say of the platform's word on this agent's host.
//
// While one says that the host is leaving, the agent reports that it takes no
// new work, which reaches also the entries that have not read the list. It does
// not begin a planned stop: the list lags and may be taken back, and a stop is
// for good.
type hostWords struct {
	clock   btloop.Clock
	decided func(btmetric.Decision)
	changed func()

	mu sync.Mutex
	// words is when each entry last said that the host is leaving.
	words map[btpeer.Identity]time.Time
	left  bool
}

func newHostWords(o Options, changed func()) *hostWords {
	return &hostWords{
		clock:   o.Clock,
		decided: o.Decisions.Add,
		changed: changed,
		words:   map[btpeer.Identity]time.Time{},
	}
}

// told takes an entry's word.
func (w *hostWords) told(from btpeer.Identity, leaving bool) {
	w.mu.Lock()
	if leaving {
		w.words[from] = w.clock()
	} else {
		delete(w.words, from)
	}
	w.mu.Unlock()
	w.leaving()
}

// leaving tells whether any entry's word that the host is leaving counts now.
func (w *hostWords) leaving() bool {
	now := w.clock()
	w.mu.Lock()
	for from, at := range w.words {
		if now.Sub(at) > hostWordTime {
			delete(w.words, from)
		}
	}
	leaving := len(w.words) > 0
	turned := leaving != w.left
	w.left = leaving
	w.mu.Unlock()
	if turned {
		w.decide(now, leaving)
		w.changed()
	}
	return leaving
}

func (w *hostWords) decide(now time.Time, leaving bool) {
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
	w.decided(d)
}
