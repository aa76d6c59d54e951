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
	// processes is how many processes observe crashes and send reports; maxFreeze
	// is the longest time for which a receiver may be frozen while a report is in
	// transit.
	processes = 4
	maxFreeze = 3 * time.Second
	// restartAfter is how soon a target may crash again.
	restartAfter = 1100 * time.Millisecond
)

// delivery is a message in transit.
type delivery struct {
	at      time.Time
	to      int
	records btquarantine.Records
}

// delayedRegisters is a set of registers whose reports are delayed, repeated and
// reordered.
type delayedRegisters struct {
	random    *rand.Rand
	now       time.Time
	registers []*btquarantine.Register
	sent      []delivery
	anonymous bool
}

func newDelayedRegisters(seed uint64, anonymous bool) *delayedRegisters {
	d := &delayedRegisters{random: rand.New(rand.NewPCG(seed, 1)), now: start, anonymous: anonymous}
	for i := range processes {
		r := btquarantine.New(btquarantine.DefaultPolicy())
		r.SetObserver(uint64(i) + 1)
		d.registers = append(d.registers, r)
	}
	return d
}

// broadcast sends a process's records to all, once or twice, some of them delayed
// by a frozen sender or receiver.
func (d *delayedRegisters) broadcast(from int) {
	records := d.registers[from].Export(d.now)
	if d.anonymous {
		for _, r := range records {
			for i := range r.Crashes {
				r.Crashes[i].Observation = btquarantine.Observation(d.random.Uint64())
			}
		}
	}
	for to := range processes {
		for range 1 + d.random.IntN(2) {
			delay := time.Duration(d.random.IntN(100)) * time.Millisecond
			if d.random.IntN(4) == 0 {
				delay += time.Duration(d.random.Int64N(int64(maxFreeze)))
			}
			d.sent = append(d.sent, delivery{at: d.now.Add(delay), to: to, records: records})
		}
	}
}

// advance moves the clock forward and delivers what is due.
func (d *delayedRegisters) advance(by time.Duration) {
	const tick = 10 * time.Millisecond
	for end := d.now.Add(by); d.now.Before(end); d.now = d.now.Add(tick) {
		var left []delivery
		for _, m := range d.sent {
			if m.at.After(d.now) {
				left = append(left, m)
				continue
			}
			d.registers[m.to].Merge(d.now, m.records)
		}
		d.sent = left
	}
}

// crash makes a request crash targets with the same address n times. It returns how
// many crashes each process counts after all reports have arrived.
func (d *delayedRegisters) crash(n int) []int {
	for range n {
		by := d.random.IntN(processes)
		d.registers[by].RecordCrash(d.now, request(1), 7, btquarantine.Sent)
		d.broadcast(by)
		d.advance(restartAfter)
		d.broadcast(d.random.IntN(processes))
	}
	d.advance(2 * maxFreeze)
	d.synchronise()
	var counted []int
	for _, r := range d.registers {
		counted = append(counted, crashesIn(r.ExportRecord(d.now, request(1))))
	}
	return counted
}

// synchronise exchanges records without delay while digests differ.
func (d *delayedRegisters) synchronise() {
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

// crashesIn counts the crashes of one target in a record by their ages.
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

// TestDelayedReportsCountOnce guards against quarantining a request because reports
// of one crash arrive late, repeatedly or out of order, and against missing a real
// second crash 1.1 s after the first. Reports without identities must be miscounted
// in the same run.
func TestDelayedReportsCountOnce(t *testing.T) {
	wrong := 0
	for seed := range uint64(200) {
		n := 1 + int(seed%3)
		d := newDelayedRegisters(seed, false)
		for _, counted := range d.crash(n) {
			assert.Equal(t, counted, n, "seed %d", seed)
		}
		for _, r := range d.registers {
			assert.Equal(t, r.Digest(), d.registers[0].Digest(), "seed %d", seed)
			assert.Equal(t, r.Quarantined(d.now, request(1)), n >= btquarantine.DefaultPolicy().AllCrashes, "seed %d", seed)
		}
		for _, counted := range newDelayedRegisters(seed, true).crash(n) {
			if counted != n {
				wrong++
			}
		}
	}
	assert.Assert(t, wrong > 0, "reports without identities were all counted correctly")
}

// TestLateReportOfServedRequestIsIgnored guards against counting a late report of a
// crash that happened before the request was served.
func TestLateReportOfServedRequestIsIgnored(t *testing.T) {
	a, b := btquarantine.New(btquarantine.DefaultPolicy()), btquarantine.New(btquarantine.DefaultPolicy())
	a.RecordCrash(start, request(1), 1, btquarantine.Answering)
	exported := a.Export(after(100 * time.Millisecond))
	b.Merge(after(100*time.Millisecond), exported)
	b.RecordServed(after(time.Second), request(1))
	b.Merge(after(2600*time.Millisecond), exported)
	assert.Equal(t, len(b.ExportRecord(after(2600*time.Millisecond), request(1)).Crashes), 0)
}

// TestExportSizeIsBounded guards against records that outgrow the greeting message:
// a full message of requests with two crashes each stays below 5 KB.
func TestExportSizeIsBounded(t *testing.T) {
	r := btquarantine.New(btquarantine.DefaultPolicy())
	for n := range 2 * btquarantine.MaxRecordsPerMessage {
		r.RecordCrash(start, request(n), uint64(1)<<60, btquarantine.Answering)
		r.RecordCrash(after(2*time.Second), request(n), uint64(2)<<60, btquarantine.Answering)
	}
	data, err := btwire.Encode(r.Export(after(time.Minute)))
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 5<<10, "%d bytes", len(data))
}
