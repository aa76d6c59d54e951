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
	// loneConnections is the number of connections that send messages at the same time,
	// so that the processor time is large enough to be measured.
	loneConnections = 16
	// loneInterval is longer than the transport's delay of acknowledgements, so that each
	// message gets its own, as control messages that are sent once a second do.
	loneInterval = 50 * time.Millisecond
	loneWindow   = 4 * time.Second
)

// BenchmarkLone reports the cost of a message that is sent alone, for sender and receiver
// together: one way on an open stream, as heartbeats and summaries are, and as a call
// with an answer of the same size, as load reports to a lead and requests for a share of
// limits are. Run it with -benchtime 1x.
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
	// Path MTU discovery ends meanwhile.
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

// streamOf returns a function that opens a stream between two peers and returns one that
// sends the message on it.
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

// sink receives messages until the stream ends.
func sink(_ context.Context, _ btpeer.Identity, s *btpeer.Stream) error {
	for {
		if _, err := btpeer.Receive[text](s); err != nil {
			return nil
		}
	}
}
