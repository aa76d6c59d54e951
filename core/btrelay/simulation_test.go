package btrelay_test

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btrelay"
)

// Message sizes in bytes, as encoded for a group of 192 ranks, with call headers.
const (
	reportBytes = 400
	entryBytes  = 80
	replyBytes  = 200
	countBytes  = 3840
)

const (
	callTimeout = 300 * time.Millisecond
	linkDelay   = time.Millisecond
	// linkRate is the slowest link in use, 6 Mbit/s, in bytes per second.
	linkRate = 750_000
	// maxReportAge is the age above which a lead reads a rank's state itself.
	maxReportAge = 500 * time.Millisecond
)

// simulation simulates a group whose hosts have links of limited rate, on a virtual clock.
type simulation struct {
	random *rand.Rand
	now    time.Time
	events events
	number int
	hosts  []*host
	// directReports has every member report to the lead itself.
	directReports bool
	// leads are the members that received reports as the lead.
	leads map[netip.AddrPort]bool
}

// host simulates one member's host.
type host struct {
	simulation *simulation
	number     int
	address    netip.AddrPort
	tree       *btrelay.Tree
	reports    *btrelay.Collector[int, time.Time]
	// in and out are the times at which the link is free again.
	in, out time.Time
	// received is in bytes.
	received int
	// countedAt is when counts were last sent, forwardedAt when they were last
	// forwarded.
	countedAt, forwardedAt time.Time
	// frozen is the time until which the host is frozen. unreachable is the time until
	// which messages to the host are lost, though it can send.
	frozen, unreachable time.Time
	// lastRead is, by member, the read time of the latest report that this host
	// received as the lead.
	lastRead map[int]time.Time
}

type event struct {
	at     time.Time
	number int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].number < e[j].number
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newSimulation(seed uint64, size int, direct bool) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, 2)), now: start, directReports: direct, leads: make(map[netip.AddrPort]bool)}
	members := addresses(size)
	for n, a := range members {
		h := &host{simulation: w, number: n, address: a, tree: btrelay.New(a), reports: btrelay.NewCollector[int, time.Time](), lastRead: make(map[int]time.Time)}
		h.tree.SetMembers(members)
		w.hosts = append(w.hosts, h)
		w.schedule(time.Duration(w.random.Int64N(int64(btrelay.ReportInterval(1)))), h.report)
		w.schedule(time.Duration(w.random.Int64N(int64(btrelay.ForwardInterval(1)))), h.forward)
	}
	return w
}

func (w *simulation) schedule(d time.Duration, do func()) {
	w.number++
	heap.Push(&w.events, event{at: w.now.Add(d), number: w.number, do: do})
}

func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *simulation) host(a netip.AddrPort) *host {
	for _, h := range w.hosts {
		if h.address == a {
			return h
		}
	}
	return nil
}

func (h *host) isFrozen() bool { return h.simulation.now.Before(h.frozen) }

// transmit occupies a link for the given number of bytes, and returns when they have
// passed.
func transmit(now time.Time, free *time.Time, bytes int) time.Time {
	if free.Before(now) {
		*free = now
	}
	*free = free.Add(time.Duration(bytes) * time.Second / linkRate)
	return *free
}

// call sends a message and passes to done whether it was answered in time. The receiver
// runs deliver.
func (h *host) call(to *host, bytes int, deliver func(), done func(ok bool)) {
	w := h.simulation
	if to == h {
		deliver()
		done(true)
		return
	}
	answered := false
	sentAt := w.now
	w.schedule(callTimeout, func() {
		if !answered {
			answered = true
			done(false)
		}
	})
	sent := transmit(w.now, &h.out, bytes)
	w.schedule(sent.Sub(w.now)+linkDelay, func() {
		if to.isFrozen() || w.now.Before(to.unreachable) {
			return
		}
		through := transmit(w.now, &to.in, bytes)
		to.received += bytes
		w.schedule(through.Sub(w.now), func() {
			deliver()
			back := transmit(w.now, &to.out, replyBytes)
			w.schedule(back.Sub(w.now)+linkDelay, func() {
				arrived := transmit(w.now, &h.in, replyBytes)
				h.received += replyBytes
				w.schedule(arrived.Sub(w.now), func() {
					if !answered && w.now.Sub(sentAt) <= callTimeout && !h.isFrozen() {
						answered = true
						done(true)
					}
				})
			})
		})
	})
}

// noteCall records whether a call was answered.
func (h *host) noteCall(to netip.AddrPort, ok bool) {
	if ok {
		h.tree.NoteAnswer(to)
		return
	}
	h.tree.NoteMiss(h.simulation.now, to)
}

// report reports the host's state at a fixed interval.
func (h *host) report() {
	w := h.simulation
	w.schedule(btrelay.ReportInterval(h.tree.BlockSize()), h.report)
	if h.isFrozen() {
		return
	}
	relay, _ := h.tree.Relay(w.now)
	bytes := reportBytes
	if w.directReports {
		relay, _ = h.tree.Lead(w.now)
	}
	senders := h.tree.BlockSize()
	if w.directReports {
		senders = len(w.hosts)
	}
	if w.now.Sub(h.countedAt) >= btrelay.CountsInterval(senders, countBytes) {
		h.countedAt = w.now
		bytes += countBytes
	}
	read := w.now
	to := w.host(relay)
	h.call(to, bytes, func() { to.receive(h.number, read) }, func(ok bool) { h.noteCall(relay, ok) })
}

// receive processes a report.
func (h *host) receive(from int, read time.Time) {
	lead, _ := h.tree.Lead(h.simulation.now)
	if lead == h.address || h.simulation.directReports {
		h.receiveAsLead(from, read)
		return
	}
	h.reports.Put(read, from, read)
}

// receiveAsLead processes a report as the lead.
func (h *host) receiveAsLead(from int, read time.Time) {
	h.simulation.leads[h.address] = true
	if read.After(h.lastRead[from]) {
		h.lastRead[from] = read
	}
}

// forward forwards the collected reports at a fixed interval.
func (h *host) forward() {
	w := h.simulation
	w.schedule(btrelay.ForwardInterval(len(w.hosts)), h.forward)
	if h.isFrozen() {
		return
	}
	lead, _ := h.tree.Lead(w.now)
	taken := h.reports.Take(w.now, maxReportAge)
	if len(taken) == 0 {
		return
	}
	to := w.host(lead)
	bytes := reportBytes + entryBytes*len(taken)
	if w.now.Sub(h.forwardedAt) >= btrelay.CountsInterval(h.tree.Blocks(), countBytes) {
		h.forwardedAt = w.now
		bytes += countBytes
	}
	h.call(to, bytes, func() {
		for _, c := range taken {
			to.receiveAsLead(c.From, c.Message)
		}
	}, func(ok bool) {
		h.noteCall(lead, ok)
		if !ok {
			h.reports.PutBack(w.now, taken)
		}
	})
}

// oldestReport returns the age of the lead's oldest state among reachable members.
func (w *simulation) oldestReport(lead int) time.Duration {
	var oldest time.Duration
	for n, h := range w.hosts {
		if !h.isFrozen() && !w.now.Before(h.unreachable) {
			oldest = max(oldest, w.now.Sub(w.hosts[lead].lastRead[n]))
		}
	}
	return oldest
}

// TestLeadReceivesAllReports guards against states older than half a second at the lead
// of a group of any size over links of 6 Mbit/s, against using more than half of a
// link, and against a second lead.
func TestLeadReceivesAllReports(t *testing.T) {
	for _, n := range []int{2, 16, 64, 72, 192, 512} {
		w := newSimulation(1, n, false)
		w.run(2 * time.Second)
		for range 200 {
			w.run(20 * time.Millisecond)
			assert.Assert(t, w.oldestReport(0) <= maxReportAge, "%d members: %s", n, w.oldestReport(0))
		}
		assert.Equal(t, len(w.leads), 1, "%d members", n)
		for _, h := range w.hosts {
			assert.Assert(t, h.received <= 6*linkRate/2, "%d members: host %d received %d B in 6 s", n, h.number, h.received)
		}
	}
}

// TestDirectReportsSaturateLeadLink checks that the simulation detects the fault that
// relays prevent: if 192 members report to the lead directly, its link is saturated, it
// is counted as unresponsive, and other members lead as well.
func TestDirectReportsSaturateLeadLink(t *testing.T) {
	w := newSimulation(1, 192, true)
	w.run(6 * time.Second)
	assert.Assert(t, len(w.leads) > 1, "only one member led")
}

// TestLeadIsKeptDuringBurstOnItsLink guards against skipping a lead whose link is full
// for a quarter of a second, as when it sends a map to all ranks.
func TestLeadIsKeptDuringBurstOnItsLink(t *testing.T) {
	w := newSimulation(3, 192, false)
	w.run(2 * time.Second)
	for range 8 {
		transmit(w.now, &w.hosts[0].out, linkRate/4)
		w.run(time.Second)
	}
	assert.Equal(t, len(w.leads), 1)
}

// TestFailedRelayIsReplaced guards against losing the reports of a block for more than
// a second when its relay is frozen or receives no messages.
func TestFailedRelayIsReplaced(t *testing.T) {
	for seed := range uint64(10) {
		for _, unreachable := range []bool{false, true} {
			w := newSimulation(seed, 192, false)
			w.run(2 * time.Second)
			relay := w.hosts[28]
			if unreachable {
				relay.unreachable = w.now.Add(2500 * time.Millisecond)
			} else {
				relay.frozen = w.now.Add(2500 * time.Millisecond)
			}
			w.run(1500 * time.Millisecond)
			assert.Assert(t, w.oldestReport(0) <= maxReportAge, "seed %d, unreachable %t: %s", seed, unreachable, w.oldestReport(0))
			w.run(4 * time.Second)
			assert.Assert(t, w.oldestReport(0) <= maxReportAge, "seed %d, unreachable %t, after: %s", seed, unreachable, w.oldestReport(0))
			assert.Equal(t, len(w.leads), 1)
		}
	}
}

// TestFrozenLeadIsReplaced guards against a frozen lead that isn't replaced by the next
// member, or that doesn't lead again afterwards.
func TestFrozenLeadIsReplaced(t *testing.T) {
	for seed := range uint64(10) {
		w := newSimulation(seed, 192, false)
		w.run(2 * time.Second)
		w.hosts[0].frozen = w.now.Add(3 * time.Second)
		w.run(1800 * time.Millisecond)
		assert.Assert(t, w.oldestReport(1) <= maxReportAge, "seed %d: %s", seed, w.oldestReport(1))
		assert.Assert(t, len(w.leads) == 2, "seed %d: %d leads", seed, len(w.leads))
		w.run(5 * time.Second)
		assert.Assert(t, w.oldestReport(0) <= maxReportAge, "seed %d, after: %s", seed, w.oldestReport(0))
	}
}
