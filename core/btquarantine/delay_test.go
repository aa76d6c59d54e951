package btquarantine_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btquarantine"
	"bilberrytide/core/btwire"
)

const (
	// processes see crashes and send reports; frozenFor is how long one may be frozen with
	// a report on its way.
	processes = 4
	frozenFor = 3 * time.Second
	// restartAfter is how soon a target may crash again.
	restartAfter = 1100 * time.Millisecond
)

// delivery is a report on its way.
type delivery struct {
	at   time.Time
	to   int
	told btquarantine.Records
}

// delayed is a set of registers whose reports are delayed, repeated and reordered.
type delayed struct {
	random    *rand.Rand
	now       time.Time
	registers []*btquarantine.Register
	sent      []delivery
	anonymous bool
}

func newDelayed(seed uint64, anonymous bool) *delayed {
	d := &delayed{random: rand.New(rand.NewPCG(seed, 1)), now: start, anonymous: anonymous}
	for i := range processes {
		r := btquarantine.New(btquarantine.DefaultPolicy())
		r.SetObserver(uint64(i) + 1)
		d.registers = append(d.registers, r)
	}
	return d
}

// tell has a process send what it knows to the others, once or twice, on time or after it
// or the receiver was frozen.
func (d *delayed) tell(from int) {
	told := d.registers[from].Export(d.now)
	if d.anonymous {
		for _, r := range told {
			for i := range r.Crashes {
				r.Crashes[i].Observation = btquarantine.Observation(d.random.Uint64())
			}
		}
	}
	for to := range processes {
		for range 1 + d.random.IntN(2) {
			way := time.Duration(d.random.IntN(100)) * time.Millisecond
			if d.random.IntN(4) == 0 {
				way += time.Duration(d.random.Int64N(int64(frozenFor)))
			}
			d.sent = append(d.sent, delivery{at: d.now.Add(way), to: to, told: told})
		}
	}
}

// pass lets time go on, and delivers what is due.
func (d *delayed) pass(by time.Duration) {
	const tick = 10 * time.Millisecond
	for end := d.now.Add(by); d.now.Before(end); d.now = d.now.Add(tick) {
		var left []delivery
		for _, m := range d.sent {
			if m.at.After(d.now) {
				left = append(left, m)
				continue
			}
			d.registers[m.to].Merge(d.now, m.told)
		}
		d.sent = left
	}
}

// crashes has a request crash targets of one address, and returns how many crashes each
// process counts once all reports have arrived.
func (d *delayed) crashes(n int) []int {
	for range n {
		by := d.random.IntN(processes)
		d.registers[by].RecordCrash(d.now, request(1), 7, btquarantine.Sent)
		d.tell(by)
		d.pass(restartAfter)
		d.tell(d.random.IntN(processes))
	}
	d.pass(2 * frozenFor)
	d.settle()
	var counted []int
	for _, r := range d.registers {
		counted = append(counted, crashesIn(r.ExportRecord(d.now, request(1))))
	}
	return counted
}

// settle has processes exchange what they know while their digests differ, on time.
func (d *delayed) settle() {
	for range processes {
		for _, from := range d.registers {
			for _, to := range d.registers {
				if from.Digest() != to.Digest() && !d.anonymous {
					to.Merge(d.now, from.Export(d.now))
				}
			}
		}
	}
}

// crashesIn counts the crashes of one target that a record tells of, by their ages.
func crashesIn(r btquarantine.Record) int {
	n := 0
	last := int64(-1)
	for _, e := range r.Crashes {
		if last < 0 || last-e.AgeMillis >= time.Second.Milliseconds() {
			n++
			last = e.AgeMillis
		}
	}
	return n
}

// TestDelayedReportsAreNoFurtherCrashes guards against quarantining a request as reports
// of one crash arrive late, again or out of order, and against losing a real second crash
// 1.1 s after the first. Reports without identities count too many in the same run.
func TestDelayedReportsAreNoFurtherCrashes(t *testing.T) {
	wrong := 0
	for seed := range uint64(200) {
		n := 1 + int(seed%3)
		d := newDelayed(seed, false)
		for _, counted := range d.crashes(n) {
			assert.Equal(t, counted, n, "seed %d", seed)
		}
		for _, r := range d.registers {
			assert.Equal(t, r.Digest(), d.registers[0].Digest(), "seed %d", seed)
			assert.Equal(t, r.Quarantined(d.now, request(1)), n >= btquarantine.DefaultPolicy().AllCrashes, "seed %d", seed)
		}
		for _, counted := range newDelayed(seed, true).crashes(n) {
			if counted != n {
				wrong++
			}
		}
	}
	assert.Assert(t, wrong > 0, "reports without identities were all counted right")
}

// TestAReportOfAServedRequestIsNoNewCrash guards against a late report of a crash that
// happened before the request was served.
func TestAReportOfAServedRequestIsNoNewCrash(t *testing.T) {
	a, b := btquarantine.New(btquarantine.DefaultPolicy()), btquarantine.New(btquarantine.DefaultPolicy())
	a.RecordCrash(start, request(1), 1, btquarantine.Answering)
	told := a.Export(after(100 * time.Millisecond))
	b.Merge(after(100*time.Millisecond), told)
	b.RecordServed(after(time.Second), request(1))
	b.Merge(after(2600*time.Millisecond), told)
	assert.Equal(t, len(b.ExportRecord(after(2600*time.Millisecond), request(1)).Crashes), 0)
}

// TestAMessageOfCrashReportsIsBounded guards against reports that outgrow a greeting: a
// full message of requests with two crashes each stays below 5 KB.
func TestAMessageOfCrashReportsIsBounded(t *testing.T) {
	r := btquarantine.New(btquarantine.DefaultPolicy())
	for n := range 2 * btquarantine.MaxRecordsPerMessage {
		r.RecordCrash(start, request(n), uint64(1)<<60, btquarantine.Answering)
		r.RecordCrash(after(2*time.Second), request(n), uint64(2)<<60, btquarantine.Answering)
	}
	data, err := btwire.Encode(r.Export(after(time.Minute)))
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 5<<10, "%d bytes", len(data))
}
