package btpool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btpool"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// open opens a connection that finds a place.
func open(t *testing.T, p *btpool.Pool[string], now time.Time, name string) *btpool.Member[string] {
	t.Helper()
	m, evicted := p.Open(now, name)
	assert.Assert(t, m != nil && evicted == nil)
	return m
}

func owners(members []*btpool.Member[string]) []string {
	var names []string
	for _, m := range members {
		names = append(names, m.Owner)
	}
	return names
}

// TestStalledRequestsLoseTheirMemory guards against ordinary callers that are refused because
// of the memory that stalled requests hold.
func TestStalledRequestsLoseTheirMemory(t *testing.T) {
	p := btpool.New[string](btpool.Config{Bytes: 1 << 20})
	stalled, served := open(t, p, at(0), "stalled"), open(t, p, at(0), "served")
	for _, m := range []*btpool.Member[string]{stalled, served} {
		p.Receive(at(0), m, 1000)
		_, reserved := p.Reserve(at(0), m, 350_000)
		assert.Assert(t, reserved)
	}
	p.Serve(at(0), served)
	ordinary := open(t, p, at(3), "ordinary")
	p.Receive(at(3), ordinary, 1000)
	evicted, reserved := p.Reserve(at(3), ordinary, 300_000)
	assert.Assert(t, reserved)
	assert.DeepEqual(t, owners(evicted), []string{"stalled"})
	assert.Assert(t, !p.Serve(at(3), stalled), "an evicted request is served")
	p.Close(stalled)
	assert.Equal(t, p.Bytes(), int64(650_000))
}

// TestFastRequestsKeepTheirMemory guards against a large request that is evicted although it
// arrives as fast as it can, and against an eviction that frees too little.
func TestFastRequestsKeepTheirMemory(t *testing.T) {
	p := btpool.New[string](btpool.Config{Bytes: 8 << 20})
	fast := open(t, p, at(0), "fast")
	p.Receive(at(0), fast, 1)
	p.Receive(at(1), fast, 5<<20)
	_, reserved := p.Reserve(at(1), fast, 5<<20)
	assert.Assert(t, reserved)
	other := open(t, p, at(1), "other")
	p.Receive(at(1), other, 1000)
	evicted, reserved := p.Reserve(at(1), other, 4<<20)
	assert.Assert(t, !reserved && len(evicted) == 0)
}

// TestSmallRequestsHaveAReserve guards against large requests that leave nothing for small
// ones.
func TestSmallRequestsHaveAReserve(t *testing.T) {
	p := btpool.New[string](btpool.Config{Bytes: 1 << 20})
	large := open(t, p, at(0), "large")
	_, reserved := p.Reserve(at(0), large, 1<<20)
	assert.Assert(t, !reserved, "a large request takes the reserve")
	_, reserved = p.Reserve(at(0), large, 768<<10)
	assert.Assert(t, reserved)
	small := open(t, p, at(0), "small")
	_, reserved = p.Reserve(at(0), small, 64<<10)
	assert.Assert(t, reserved)
}

// TestALateRequestEvictsNoBetterOne guards against a slow client with much memory that goes
// on at the cost of slow ones with little.
func TestALateRequestEvictsNoBetterOne(t *testing.T) {
	p := btpool.New[string](btpool.Config{Bytes: 1 << 20})
	late, slow := open(t, p, at(0), "late"), open(t, p, at(0), "slow")
	p.Receive(at(0), late, 1)
	p.Receive(at(5), slow, 1)
	_, reserved := p.Reserve(at(5), late, 700_000)
	assert.Assert(t, reserved)
	_, reserved = p.Reserve(at(5), slow, 60_000)
	assert.Assert(t, reserved)
	evicted, reserved := p.Reserve(at(10), late, 60_000)
	assert.Assert(t, !reserved && len(evicted) == 0)
}

// TestNewConnectionsGetThePlacesOfSilentOnes guards against connections without requests that
// keep all others out, and against one that is closed while its request is served.
func TestNewConnectionsGetThePlacesOfSilentOnes(t *testing.T) {
	p := btpool.New[string](btpool.Config{Connections: 2, Grace: time.Second})
	busy, silent := open(t, p, at(0), "busy"), open(t, p, at(1), "silent")
	p.Serve(at(0), busy)
	m, _ := p.Open(at(1.5), "early")
	assert.Assert(t, m == nil, "a connection lost its place within the grace")
	m, evicted := p.Open(at(3), "new")
	assert.Assert(t, m != nil && evicted == silent)
	p.Serve(at(3), m)
	refused, _ := p.Open(at(9), "another")
	assert.Assert(t, refused == nil, "a served connection lost its place")
	p.Close(silent)
	p.Finish(at(9), m)
	m, evicted = p.Open(at(11), "another")
	assert.Assert(t, m != nil && evicted.Owner == "new")
}

// TestBodiesKeepNoPlaceWhereNoneIsExpected guards against clients that send bodies at full
// speed to an address for short requests and keep all others out.
func TestBodiesKeepNoPlaceWhereNoneIsExpected(t *testing.T) {
	p := btpool.New[string](btpool.Config{Connections: 1, EvictServed: true})
	sender := open(t, p, at(0), "sender")
	p.Receive(at(0), sender, 1)
	p.Receive(at(1), sender, 2<<20)
	m, evicted := p.Open(at(1), "check")
	assert.Assert(t, m != nil && evicted == sender)
}

// TestClosingConnectionsKeepNoPlace guards against evicted connections that are closed slowly
// and meanwhile keep new ones out.
func TestClosingConnectionsKeepNoPlace(t *testing.T) {
	const closing = 8
	p := btpool.New[string](btpool.Config{Connections: 1, EvictServed: true, Closing: closing})
	open(t, p, at(0), "first")
	for i := range closing {
		m, evicted := p.Open(at(float64(1+i)), "next")
		assert.Assert(t, m != nil && evicted != nil, "connection %d", i)
	}
	m, _ := p.Open(at(100), "one too many")
	assert.Assert(t, m == nil, "the connections that are being closed aren't bounded")
}

// TestAccountsAreExact guards against memory that is never released, or released twice, which
// would refuse all callers or bound nothing.
func TestAccountsAreExact(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		const limit, connections = 1 << 20, 20
		p := btpool.New[int](btpool.Config{Bytes: limit, Connections: connections})
		var members, closing []*btpool.Member[int]
		for step := range 5000 {
			now := at(float64(step) / 100)
			if m, evicted := p.Open(now, step); m != nil {
				members = append(members, m)
				if evicted != nil {
					closing = append(closing, evicted)
				}
			}
			m := members[random.IntN(len(members))]
			switch random.IntN(5) {
			case 0:
				p.Receive(now, m, random.IntN(100_000))
			case 1:
				evicted, _ := p.Reserve(now, m, random.Int64N(100_000))
				closing = append(closing, evicted...)
			case 2:
				p.Serve(now, m)
			case 3:
				p.Finish(now, m)
			case 4:
				closing = append(closing, m)
			}
			for _, c := range closing {
				p.Close(c)
				for i, open := range members {
					if open == c {
						members = append(members[:i], members[i+1:]...)
						break
					}
				}
			}
			closing = nil
			assert.Assert(t, p.Bytes() <= limit && p.Connections() <= connections, "seed %d step %d: %d bytes, %d connections", seed, step, p.Bytes(), p.Connections())
			if len(members) == 0 {
				first, _ := p.Open(now, step)
				members = append(members, first)
			}
		}
		for _, m := range members {
			p.Close(m)
			p.Close(m)
		}
		assert.Equal(t, p.Bytes(), int64(0))
		assert.Equal(t, p.Connections(), 0)
	}
}
