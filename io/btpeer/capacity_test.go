package btpeer_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btpeer"
)

const (
	// loneConnections carry messages at a time, so that the processor time of
	// one is large enough to be read.
	loneConnections = 16
	// loneInterval lies above the transport's delay of acknowledgements, so that
	// each message has its own, as the control messages of a second have.
	loneInterval = 50 * time.Millisecond
	loneWindow   = 4 * time.Second
)

// BenchmarkLone reports what a message costs that comes alone, both of its ends
// together: one way on an open stream, as heartbeats and summaries, and as a
// call with an answer of the same size, as reports to a lead and asks of a
// share. Run it with -benchtime 1x.
func BenchmarkLone(b *testing.B) {
	f := newFleet(b)
	var entries, agents []*peer
	for i := range loneConnections {
		agent := f.node(btpeer.Identity{Role: btpeer.Agent, Name: fmt.Sprint("t", i)}, nil)
		agent.Handle(kindEcho, btpeer.Answer(echo))
		agent.Handle("sink", sink)
		f.serve(agent)
		entry := f.node(btpeer.Identity{Role: btpeer.Entry, Name: fmt.Sprint("e", i)}, nil)
		peerCall(b, entry, agent)
		entries, agents = append(entries, entry), append(agents, agent)
	}
	// The search for the path's packet size ends meanwhile.
	time.Sleep(8 * time.Second)
	for _, size := range []int{64, 256, 1024} {
		message := text{Text: strings.Repeat("t", size)}
		b.Run(fmt.Sprint("stream/bytes=", size), func(b *testing.B) {
			for b.Loop() {
				measureLone(b, entries, agents, streamOf(b, message))
			}
		})
		b.Run(fmt.Sprint("call/bytes=", size), func(b *testing.B) {
			for b.Loop() {
				measureLone(b, entries, agents, func(entry, agent *peer) func() error {
					return func() error {
						_, err := call(entry, agent.endpoint(), message)
						return err
					}
				})
			}
		})
	}
}

// streamOf opens a stream between two peers and returns how a message is sent
// on it.
func streamOf(b *testing.B, message text) func(entry, agent *peer) func() error {
	return func(entry, agent *peer) func() error {
		s, err := entry.Open(b.Context(), agent.endpoint(), "sink")
		assert.NilError(b, err)
		b.Cleanup(s.Close)
		return func() error { return btpeer.Send(s, message) }
	}
}

func measureLone(b *testing.B, entries, agents []*peer, open func(entry, agent *peer) func() error) {
	sends := make([]func() error, len(entries))
	for i, entry := range entries {
		sends[i] = open(entry, agents[i])
		assert.NilError(b, sends[i]())
	}
	time.Sleep(loneInterval)
	all := append(append([]*peer(nil), entries...), agents...)
	before, start := totals(all), cpuTime()
	messages := int(loneWindow / loneInterval)
	var running sync.WaitGroup
	for _, send := range sends {
		running.Go(func() {
			for range messages {
				assert.Check(b, send())
				time.Sleep(loneInterval)
			}
		})
	}
	running.Wait()
	used, after := cpuTime()-start, totals(all)
	const headers = 28 // UDP and IPv4
	count := float64(messages * len(entries))
	packets := float64(after.PacketsSent - before.PacketsSent)
	b.ReportMetric((float64(after.BytesSent-before.BytesSent)+headers*packets)/count, "wire-B/message")
	b.ReportMetric(packets/count, "packets/message")
	b.ReportMetric(float64(used.Microseconds())/count, "cpu-µs/message")
	b.ReportMetric(0, "ns/op")
}

// sink takes messages until the stream ends.
func sink(_ context.Context, _ btpeer.Identity, s *btpeer.Stream) error {
	for {
		if _, err := btpeer.Receive[text](s); err != nil {
			return nil
		}
	}
}
