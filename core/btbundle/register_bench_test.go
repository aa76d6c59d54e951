package btbundle_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
)

const (
	stepLength      = 10 * time.Millisecond
	heartbeat       = 500 * time.Millisecond
	publishInterval = 86400 * time.Millisecond // 1,000 changes a day
	watchWait       = 30 * time.Second
	maxDataCentres  = 7 // data centres at the expected future size
)

// rollout simulates registers of which only the readers read the configuration
// service, each with one long-polling call.
type rollout struct {
	registers []*btbundle.Register
	names     []btbundle.Peer
	// watchers lists the processes that receive each process's heartbeats.
	watchers [][]int
	readers  []int
	now      time.Time
	step     int
	pending  map[int][]func()
	random   *rand.Rand
	push     bool
	missing  int
	latest   []byte
	fetches  int
}

func newRollout(size, fanOut int, push bool) *rollout {
	r := &rollout{now: start, pending: map[int][]func(){}, random: rand.New(rand.NewPCG(1, 1)), push: push}
	r.watchers = make([][]int, size)
	centres := min(maxDataCentres, max(1, size/10))
	members := make([][]btbundle.Reader, centres)
	for i := range size {
		r.registers = append(r.registers, newRegister(uint64(i)))
		r.names = append(r.names, name(i))
		members[i%centres] = append(members[i%centres], btbundle.Reader{Name: name(i)})
		r.registers[i].Step(start, btbundle.Started{})
		r.watch(i, size, fanOut)
	}
	policy := btbundle.DefaultReaderPolicy()
	for i := range size {
		if policy.ShouldRead(start, start, name(i), members[i%centres]) {
			r.readers = append(r.readers, i)
		}
	}
	return r
}

// watch makes i receive heartbeats from its neighbour in a ring, which keeps
// the graph connected, and from randomly chosen processes.
func (r *rollout) watch(i, size, fanOut int) {
	r.watchers[(i+1)%size] = append(r.watchers[(i+1)%size], i)
	for range fanOut - 1 {
		j := r.random.IntN(size)
		r.watchers[j] = append(r.watchers[j], i)
	}
}

// publish answers the readers' calls and returns the time until the bundle is
// in force in every process.
func (r *rollout) publish(document []byte) time.Duration {
	r.latest = signed(document, keyPair(0))
	r.missing = len(r.registers)
	begin := r.now
	for _, i := range r.readers {
		r.after(2*stepLength, func() { r.apply(i, btbundle.Received{Raw: r.latest}) })
	}
	for r.missing > 0 {
		r.advance()
	}
	return r.now.Sub(begin)
}

func (r *rollout) after(delay time.Duration, run func()) {
	at := r.step + int(delay/stepLength)
	r.pending[at] = append(r.pending[at], run)
}

func (r *rollout) advance() {
	r.step++
	r.now = r.now.Add(stepLength)
	for _, run := range r.pending[r.step] {
		run()
	}
	delete(r.pending, r.step)
	for i := range r.registers {
		if (r.step+i*7)%int(heartbeat/stepLength) == 0 {
			r.apply(i, btbundle.Tick{})
			r.heartbeat(i)
		}
	}
}

func (r *rollout) heartbeat(i int) {
	revision := r.registers[i].Announcement()
	for _, j := range r.watchers[i] {
		event := btbundle.Announced{Version: revision.Version, Digest: revision.Digest, From: r.names[i]}
		r.after(stepLength, func() { r.apply(j, event) })
	}
}

func (r *rollout) apply(i int, event btbundle.RegisterEvent) {
	for _, effect := range r.registers[i].Step(r.now, event) {
		switch e := effect.(type) {
		case btbundle.InForce:
			r.missing--
			if r.push {
				r.heartbeat(i)
			}
		case btbundle.Fetch:
			r.fetches++
			answer := btbundle.Received{Raw: r.latest, Source: btbundle.Source{Peer: e.From}, Requested: e.Revision()}
			r.after(2*stepLength, func() { r.apply(i, answer) })
		}
	}
}

// BenchmarkRollout measures the simulated time until a new bundle is in force
// in every process, by fleet size and by the number of processes from which
// each one receives heartbeats. The rate of calls of the configuration service
// is computed from the number of readers: one long-polling call each, renewed
// after watchWait and after each change.
func BenchmarkRollout(b *testing.B) {
	for _, size := range []int{10, 100, 400} {
		for _, fanOut := range []int{2, 4, 8} {
			for _, push := range []bool{false, true} {
				b.Run(fmt.Sprintf("processes=%d/fan_out=%d/push=%t", size, fanOut, push), func(b *testing.B) {
					benchmarkRollout(b, size, fanOut, push)
				})
			}
		}
	}
}

func benchmarkRollout(b *testing.B, size, fanOut int, push bool) {
	r := newRollout(size, fanOut, push)
	var total, worst time.Duration
	number := 0
	for b.Loop() {
		number++
		took := r.publish(version(number, "bench"))
		total += took
		worst = max(worst, took)
	}
	mean := total / time.Duration(number)
	watches := float64(len(r.readers)) * (1/watchWait.Seconds() + 1/publishInterval.Seconds())
	b.ReportMetric(float64(mean.Milliseconds()), "ms_mean")
	b.ReportMetric(float64(worst.Milliseconds()), "ms_worst")
	b.ReportMetric(mean.Seconds()/heartbeat.Seconds(), "rounds")
	b.ReportMetric(watches, "service_calls/s")
	b.ReportMetric(float64(len(r.readers)), "readers")
	b.ReportMetric(float64(r.fetches)/float64(number*size), "fetches/process")
	b.ReportMetric(0, "ns/op")
}

// largeDocument returns a bundle of the expected future size: 830 targets, 690
// accounts.
func largeDocument() []byte {
	document := []byte(minimalBundle)
	for i := range 827 {
		document = fmt.Appendf(document, "\n[[targets]]\nname = \"m%d\"\nservice = \"lookup\"\nhost = \"hm%d\"\n"+
			"data_centre = \"aarhus\"\naddress = \"10.0.%d.%d:7100\"\nendpoint = \"10.0.%d.%d:7200\"\nslots = 4\nqueue = 8\n",
			i, i, i/250, i%250+1, i/250, i%250+1)
	}
	for i := range 689 {
		document = fmt.Appendf(document, "\n[[accounts]]\nname = \"a%d\"\nkey_hashes = [\"%s\"]\nrate = 10.0\nburst = 20\nconcurrency = 8\nweight = 1.0\n",
			i, btbundle.HashKey(fmt.Sprint(i)))
	}
	return document
}

func BenchmarkVerify(b *testing.B) {
	for label, document := range map[string][]byte{"today": []byte(minimalBundle), "large": largeDocument()} {
		b.Run(label, func(b *testing.B) {
			parsed, err := btbundle.ParseSigned(signed(document, keyPair(0)))
			assert.NilError(b, err)
			b.ReportMetric(float64(len(document)), "bytes")
			b.ReportAllocs()
			for b.Loop() {
				_, err := approvers(keyPair(0)).Verify(parsed)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(document)), "bytes")
		})
	}
}

func BenchmarkAccountByKey(b *testing.B) {
	index := approve(b, largeDocument()).Index
	for b.Loop() {
		_, ok := index.AccountByKey("77")
		assert.Assert(b, ok)
	}
}
