package btquarantine_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btquarantine"
)

// The replay is modelled on an incident in which one part of prompts crashed the ranks of a
// group one after the other. All requests that wait while the group is closed begin together
// when it reopens, and a crash comes before the first output of any of them.
const (
	// systemPrompts, documents (of each system prompt) and accountsPerReplay (with
	// instructions of their own) are the parts that sound requests share.
	systemPrompts     = 3
	accountsPerReplay = 10
	documents         = 60
	deadly            = btquarantine.PartID(0xdead)
	partContactTime   = 3 * time.Second
)

// partReplay simulates a group, its callers and its entries.
type partReplay struct {
	scenario
	random   *rand.Rand
	now      time.Time
	events   eventQueue
	deciders []partDecider
	running  map[*partRequest]bool
	number   int
	waiting  []*partRequest
	closed   bool
	crashes  []time.Time
	// late is the number of requests with the part that reached ranks more than
	// partContactTime after the fifth crash.
	late, sound, served, refused int
	longestRefusal               time.Duration
	// lastSince is the crash on which the last refusal rested.
	lastSince time.Time
}

// scenario is what happens in a replay.
type scenario struct {
	ranks, entries, perSecond int
	length                    time.Duration
	// deadlyEvery is the interval of requests with the part; zero if there are none.
	deadlyEvery time.Duration
	// prompt returns the parts of the prompt of such a request.
	prompt func(r *partReplay) []btquarantine.PartID
	// deadlyFrom is when the part begins to crash ranks; requests with it come from the
	// start, and are served until then.
	deadlyFrom time.Duration
	// spontaneousEvery is the interval of crashes of other causes; zero if there are none.
	spontaneousEvery time.Duration
}

// partRequest is a request.
type partRequest struct {
	number    int
	account   btid.Account
	prompt    btquarantine.Prompt
	entry     int
	arrivedAt time.Time
	rank      int
	begun     bool
	output    bool
	deadly    bool
	verdict   btquarantine.Verdict
}

// partDecider is a way to decide on requests, at one entry.
type partDecider interface {
	arrive(now time.Time, q *partRequest) (refused bool, since time.Time)
	check(now time.Time, q *partRequest) (refused bool, since time.Time)
	release(now time.Time, q *partRequest)
	crash(now time.Time, q *partRequest, target uint64, p btquarantine.Progress)
	output(now time.Time, q *partRequest)
	exchange(now time.Time, other partDecider)
}

// inferring decides by a PartRegister.
type inferring struct {
	*btquarantine.PartRegister
	rank int
}

func (d inferring) order(btquarantine.RestrictionID) int { return d.rank }

func (d inferring) arrive(now time.Time, q *partRequest) (bool, time.Time) {
	q.verdict = d.Arrive(now, q.prompt, d.order)
	return verdictOf(q.verdict)
}

func (d inferring) check(now time.Time, q *partRequest) (bool, time.Time) {
	return verdictOf(d.Check(now, q.prompt, q.verdict.Probe, d.order))
}

func verdictOf(v btquarantine.Verdict) (bool, time.Time) {
	if !v.Refused() {
		return false, time.Time{}
	}
	return true, v.Restriction.LastCrash
}

func (d inferring) release(now time.Time, q *partRequest) {
	if q.verdict.Probe != nil {
		d.Release(now, q.verdict.Probe)
	}
}

func (d inferring) crash(now time.Time, q *partRequest, target uint64, p btquarantine.Progress) {
	d.RecordCrash(now, q.prompt, target, p)
}

func (d inferring) output(now time.Time, q *partRequest) { d.RecordOutput(now, q.prompt) }

func (d inferring) exchange(now time.Time, other partDecider) {
	d.Merge(now, other.(inferring).Export(now))
	d.AddOwnOutputs(now)
}

// counting restricts each part after a number of crashes without output since, for ten minutes.
type counting struct {
	most    int
	crashed map[btquarantine.PartID]map[uint64]time.Time
}

func newCounting(most int) counting {
	return counting{most: most, crashed: make(map[btquarantine.PartID]map[uint64]time.Time)}
}

func (d counting) arrive(now time.Time, q *partRequest) (bool, time.Time) { return d.check(now, q) }

func (d counting) check(_ time.Time, q *partRequest) (bool, time.Time) {
	for _, id := range q.prompt.Parts {
		if crashes := d.crashed[id]; len(crashes) >= d.most {
			var last time.Time
			for _, at := range crashes {
				if at.After(last) {
					last = at
				}
			}
			return true, last
		}
	}
	return false, time.Time{}
}

func (counting) release(time.Time, *partRequest) {}

func (d counting) crash(now time.Time, q *partRequest, target uint64, p btquarantine.Progress) {
	if p != btquarantine.BegunWithoutOutput {
		return
	}
	for _, id := range q.prompt.Parts {
		if d.crashed[id] == nil {
			d.crashed[id] = make(map[uint64]time.Time)
		}
		d.crashed[id][target] = now
	}
}

func (d counting) output(_ time.Time, q *partRequest) {
	for _, id := range q.prompt.Parts {
		delete(d.crashed, id)
	}
}

func (d counting) exchange(_ time.Time, other partDecider) {
	for id, crashes := range other.(counting).crashed {
		if d.crashed[id] == nil {
			d.crashed[id] = make(map[uint64]time.Time)
		}
		for target, at := range crashes {
			d.crashed[id][target] = at
		}
	}
}

// partWays are the ways that were weighed.
var partWays = []struct {
	name string
	new  func(entry int) partDecider
}{
	{"content only", func(int) partDecider { return newCounting(1 << 30) }},
	{"each part after one crash", func(int) partDecider { return newCounting(1) }},
	{"each part after two crashes", func(int) partDecider { return newCounting(2) }},
	{"inferred", func(entry int) partDecider {
		r := btquarantine.NewPartRegister()
		r.SetObserver(uint64(entry) + 1)
		return inferring{PartRegister: r, rank: entry}
	}},
}

// replayParts runs a scenario with a way to decide.
func replayParts(s scenario, seed uint64, newDecider func(entry int) partDecider) *partReplay {
	r := &partReplay{scenario: s, random: rand.New(rand.NewPCG(seed, 7)), now: start, running: make(map[*partRequest]bool)}
	for i := range s.entries {
		r.deciders = append(r.deciders, newDecider(i))
	}
	for at := time.Duration(0); at < s.length; at += time.Second / time.Duration(s.perSecond) {
		r.schedule(at, func() { r.arrive(r.soundRequest()) })
	}
	for at := s.deadlyEvery; s.deadlyEvery > 0 && at < s.length; at += s.deadlyEvery {
		r.schedule(at, func() {
			q := r.request(s.prompt(r)...)
			q.deadly = true
			r.arrive(q)
		})
	}
	for at := 10 * time.Second; s.spontaneousEvery > 0 && at < s.length; at += s.spontaneousEvery {
		r.schedule(at, func() { r.crash(r.random.IntN(s.ranks)) })
	}
	for r.events.Len() > 0 {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.do()
	}
	return r
}

func (r *partReplay) schedule(d time.Duration, do func()) {
	heap.Push(&r.events, event{at: r.now.Add(d), do: do})
}

// request returns a request of a random account with the parts and one of the account.
func (r *partReplay) request(parts ...btquarantine.PartID) *partRequest {
	account := r.random.IntN(accountsPerReplay)
	r.number++
	q := &partRequest{number: r.number, account: btid.Account(fmt.Sprint("account-", account)), entry: r.random.IntN(r.entries), arrivedAt: r.now}
	parts = append(parts, btquarantine.PartID(100+account))
	q.prompt = btquarantine.NewPrompt(q.account, "llm", parts)
	return q
}

// branch returns a random system prompt and one of its documents, some far more often.
func (r *partReplay) branch() []btquarantine.PartID {
	system := r.random.IntN(systemPrompts)
	document := min(r.random.IntN(documents), r.random.IntN(documents))
	return []btquarantine.PartID{btquarantine.PartID(1 + system), btquarantine.PartID(1000 + documents*system + document)}
}

func (r *partReplay) soundRequest() *partRequest { return r.request(r.branch()...) }

func (r *partReplay) arrive(q *partRequest) {
	if !q.deadly {
		r.sound++
	}
	if r.refuse(r.deciders[q.entry].arrive(r.now, q)) && r.note(q) {
		return
	}
	if r.closed {
		r.waiting = append(r.waiting, q)
		return
	}
	r.send(q)
}

// refuse notes for how long a request has been refused since the crash.
func (r *partReplay) refuse(refused bool, since time.Time) bool {
	if refused {
		r.lastSince = since
	}
	return refused
}

// note counts a refusal; it returns true.
func (r *partReplay) note(q *partRequest) bool {
	r.deciders[q.entry].release(r.now, q)
	if !q.deadly {
		r.refused++
		r.longestRefusal = max(r.longestRefusal, r.now.Sub(r.lastSince))
	}
	return true
}

func (r *partReplay) send(q *partRequest) {
	if r.now.Sub(q.arrivedAt) > callerTimeout {
		r.deciders[q.entry].release(r.now, q)
		return
	}
	if r.refuse(r.deciders[q.entry].check(r.now, q)) && r.note(q) {
		return
	}
	if q.deadly && len(r.crashes) >= 5 && r.now.Sub(r.crashes[4]) > partContactTime {
		r.late++
	}
	q.rank, q.begun, q.output = r.random.IntN(r.ranks), true, false
	r.running[q] = true
	if q.deadly && r.now.Sub(start) >= r.deadlyFrom {
		r.schedule(crashesAfter, func() {
			if r.running[q] && !r.closed {
				r.crash(q.rank)
			}
		})
		return
	}
	r.schedule(firstOutputAfter, func() { r.output(q) })
}

// output produces the first output of a request, which completes it soon.
func (r *partReplay) output(q *partRequest) {
	if !r.running[q] || r.closed {
		return
	}
	q.output = true
	r.deciders[q.entry].output(r.now, q)
	r.schedule(serviceTime-firstOutputAfter, func() {
		if !r.running[q] || r.closed {
			return
		}
		delete(r.running, q)
		r.deciders[q.entry].release(r.now, q)
		if !q.deadly {
			r.served++
		}
	})
	r.schedule(exchangeDelay, r.exchange)
}

// crash crashes a rank; its group closes until all have joined again.
func (r *partReplay) crash(rank int) {
	if r.closed {
		return
	}
	r.closed = true
	r.crashes = append(r.crashes, r.now)
	running := slices.SortedFunc(maps.Keys(r.running), func(a, b *partRequest) int { return a.number - b.number })
	for _, q := range running {
		if q.rank != rank {
			continue
		}
		p := btquarantine.BegunWithoutOutput
		if q.output {
			p = btquarantine.Answering
		}
		r.deciders[q.entry].crash(r.now, q, uint64(len(r.crashes)), p)
	}
	for _, q := range running {
		delete(r.running, q)
		r.deciders[q.entry].release(r.now, q)
	}
	r.schedule(exchangeDelay, r.exchange)
	r.schedule(reopenAfter, r.reopen)
}

func (r *partReplay) reopen() {
	r.closed = false
	waiting := r.waiting
	r.waiting = nil
	for _, q := range waiting {
		r.send(q)
	}
}

// exchange lets all entries exchange what they know, if they differ.
func (r *partReplay) exchange() {
	if first, ok := r.deciders[0].(inferring); ok {
		same := true
		for _, d := range r.deciders {
			same = same && d.(inferring).Digest() == first.Digest()
		}
		if same {
			return
		}
	}
	for i, a := range r.deciders {
		for j, b := range r.deciders {
			if i != j {
				a.exchange(r.now, b)
			}
		}
	}
}
