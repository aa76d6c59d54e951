package btpeer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btpeer"
)

// The benchmarks compare with plain net/http over loopback TCP: no encryption, no
// identity, and connections are reused.

const streamFrames = 1000

// token is about as large as one streamed event of an engine.
var token = text{Text: strings.Repeat("t", 100)}

func sendFrames(_ context.Context, _ btpeer.Identity, s *btpeer.Stream) error {
	for range streamFrames {
		if err := btpeer.Send(s, token); err != nil {
			return err
		}
	}
	return nil
}

func httpBaseline(b *testing.B) *httptest.Server {
	b.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("/echo", func(w http.ResponseWriter, r *http.Request) {
		message, err := btpeer.DecodeFrame[text](r.Body, limit)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		writeFrame(w, message)
	})
	mux.HandleFunc("/stream", func(w http.ResponseWriter, _ *http.Request) {
		for range streamFrames {
			writeFrame(w, token)
			w.(http.Flusher).Flush()
		}
	})
	server := httptest.NewServer(mux)
	server.Client().Transport.(*http.Transport).MaxIdleConnsPerHost = runtime.GOMAXPROCS(0) * 16
	b.Cleanup(server.Close)
	return server
}

func writeFrame(w io.Writer, message text) {
	frame, err := btpeer.EncodeFrame(message, limit)
	if err == nil {
		_, _ = w.Write(frame)
	}
}

func httpCall(b *testing.B, server *httptest.Server) {
	frame, err := btpeer.EncodeFrame(token, limit)
	assert.NilError(b, err)
	answer, err := server.Client().Post(server.URL+"/echo", "application/cbor", strings.NewReader(string(frame)))
	assert.NilError(b, err)
	_, err = btpeer.DecodeFrame[text](answer.Body, limit)
	assert.NilError(b, err)
	_, _ = io.Copy(io.Discard, answer.Body)
	assert.NilError(b, answer.Body.Close())
}

func peerCall(b *testing.B, entry, agent *peer) {
	_, err := call(entry, agent.endpoint(), token)
	assert.NilError(b, err)
}

// BenchmarkCall measures calls one after another, and then with 16 in flight for each
// processor, which gives the throughput of one node.
func BenchmarkCall(b *testing.B) {
	const inFlight = 16
	entry, agent := pair(b, nil)
	server := httpBaseline(b)
	calls := map[string]func(){
		"peer": func() { peerCall(b, entry, agent) },
		"http": func() { httpCall(b, server) },
	}
	for _, name := range []string{"peer", "http"} {
		run := calls[name]
		run() // connects
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				run()
			}
		})
		b.Run(name+"/parallel", func(b *testing.B) {
			b.SetParallelism(inFlight)
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					run()
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}

// BenchmarkFrozen reports the longest time until the loss of a peer whose packets stop is
// detected, with the default timeouts. Run it with -benchtime 5x.
func BenchmarkFrozen(b *testing.B) {
	var waited time.Duration
	for b.Loop() {
		entry, agent := pair(b, map[btpeer.Kind]btpeer.Handler{"hold": holdAfterFirst(nil)})
		r := newRelay(b, agent.Address())
		s := openAndReceive(b, b.Context(), entry, btpeer.Endpoint{Identity: agentID, Address: r.address()}, "hold")
		r.setFrozen(true)
		start := time.Now()
		_, err := btpeer.Receive[text](s)
		assert.ErrorIs(b, err, btpeer.ErrLost)
		waited = max(waited, time.Since(start))
		s.Close()
	}
	b.ReportMetric(waited.Seconds(), "longest-s")
}

// BenchmarkStream streams 1,000 frames of 100 bytes, each written without delay.
func BenchmarkStream(b *testing.B) {
	b.Run("peer", func(b *testing.B) {
		entry, agent := pair(b, map[btpeer.Kind]btpeer.Handler{"stream": sendFrames})
		b.ReportAllocs()
		for b.Loop() {
			s, err := entry.Open(b.Context(), agent.endpoint(), "stream")
			assert.NilError(b, err)
			assert.NilError(b, s.CloseWrite())
			for range streamFrames {
				_, err := btpeer.Receive[text](s)
				assert.NilError(b, err)
			}
			assert.NilError(b, s.Wait())
			s.Close()
		}
	})
	b.Run("http", func(b *testing.B) {
		server := httpBaseline(b)
		b.ReportAllocs()
		for b.Loop() {
			answer, err := server.Client().Get(server.URL + "/stream")
			assert.NilError(b, err)
			for range streamFrames {
				_, err := btpeer.DecodeFrame[text](answer.Body, limit)
				assert.NilError(b, err)
			}
			_, _ = io.Copy(io.Discard, answer.Body)
			assert.NilError(b, answer.Body.Close())
		}
	})
}

// BenchmarkDial calls two peers in turn with a pool of one connection, so that each call
// needs a new one: handshake, greeting, call.
func BenchmarkDial(b *testing.B) {
	f := newFleet(b)
	entry := f.node(entryID, func(o *btpeer.Options) { o.MaxPooled = 1 })
	var agents []*peer
	for _, name := range []string{"t1", "t2"} {
		agent := f.node(btpeer.Identity{Role: btpeer.Agent, Name: name}, nil)
		agent.Handle(kindEcho, btpeer.Answer(echo))
		f.serve(agent)
		agents = append(agents, agent)
	}
	b.ReportAllocs()
	start, i := cpuTime(), 0
	for b.Loop() {
		peerCall(b, entry, agents[i%len(agents)])
		i++
	}
	b.ReportMetric(float64((cpuTime()-start).Microseconds())/float64(i), "cpu-µs/op")
	assert.Equal(b, entry.count(btpeer.MetricDialled), int64(i))
}

// BenchmarkIdle reports the cost of one idle connection, for both ends together, over a
// window of ten seconds that starts after path MTU discovery. Run it with -benchtime 1x.
func BenchmarkIdle(b *testing.B) {
	const window = 10 * time.Second
	for _, side := range []int{3, 10, 20} {
		b.Run(fmt.Sprint("connections=", side*side), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, side, window)
			}
		})
	}
}

func measureIdle(b *testing.B, side int, window time.Duration) {
	f := newFleet(b)
	var entries, agents []*peer
	for i := range side {
		entries = append(entries, f.node(btpeer.Identity{Role: btpeer.Entry, Name: fmt.Sprint("e", i)}, nil))
		agent := f.node(btpeer.Identity{Role: btpeer.Agent, Name: fmt.Sprint("t", i)}, nil)
		agent.Handle(kindEcho, btpeer.Answer(echo))
		f.serve(agent)
		agents = append(agents, agent)
	}
	memory := memoryInUse()
	for _, e := range entries {
		for _, a := range agents {
			peerCall(b, e, a)
		}
	}
	connections := float64(side * side)
	b.ReportMetric(float64(memoryInUse()-memory)/connections, "B/connection")
	const settle = 8 * time.Second
	time.Sleep(settle)
	before, start := totals(append(entries, agents...)), cpuTime()
	time.Sleep(window)
	used, after := cpuTime()-start, totals(append(entries, agents...))
	perSecond := connections * window.Seconds()
	const headers = 28 // UDP and IPv4
	packets := float64(after.PacketsSent - before.PacketsSent)
	wire := float64(after.BytesSent-before.BytesSent) + headers*packets
	b.ReportMetric(float64(used.Microseconds())/perSecond, "cpu-µs/s/connection")
	b.ReportMetric(wire/perSecond, "wire-B/s/connection")
	b.ReportMetric(packets/perSecond, "packets/s/connection")
	b.ReportMetric(0, "ns/op")
}

func totals(peers []*peer) btpeer.Stats {
	var sum btpeer.Stats
	for _, p := range peers {
		s := p.Stats()
		sum.BytesSent += s.BytesSent
		sum.PacketsSent += s.PacketsSent
	}
	return sum
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
