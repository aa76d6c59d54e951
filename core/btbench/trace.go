package btbench

import (
	"math"
	"math/rand/v2"
	"time"

	"bilberrytide/core/btload"
)

// Workload holds the parameters of a trace.
type Workload struct {
	Seed uint64
	// Rate is the requests a second, PeakRate those between PeakFrom and PeakUntil.
	Rate, PeakRate      float64
	PeakFrom, PeakUntil time.Duration
	Length              time.Duration
	// Systems is the number of system prompts; their popularity follows Zipf's law.
	Systems int
	// Accounts is the number of client accounts; their sizes follow Zipf's law.
	Accounts int
	// FollowUps is the share of requests that continue a conversation.
	FollowUps float64
	// Keyed is the share of requests that may run at most once.
	Keyed float64
}

// DefaultWorkload returns a minute of conversations at the rate in requests a second.
func DefaultWorkload(seed uint64, rate float64) Workload {
	return Workload{
		Seed:      seed,
		Rate:      rate,
		Length:    time.Minute,
		Systems:   24,
		Accounts:  10,
		FollowUps: 0.6,
		Keyed:     0.2,
	}
}

// Arrival is one request of a trace.
type Arrival struct {
	At       time.Duration
	Account  int
	Entry    uint32
	Prefixes []uint64
	Output   int
	Keyed    bool
}

// Tokens returns the length of the prompt in tokens.
func (a Arrival) Tokens() int { return len(a.Prefixes) * btload.ChunkTokens }

// fingerprint stands for the hash of the caller's account and body: the hash of the last
// chunk, which is unique to the request.
func (a Arrival) fingerprint() uint64 { return a.Prefixes[len(a.Prefixes)-1] }

// Sizes of prompts in chunks and of answers in tokens.
const (
	systemChunksMin  = 4
	systemChunksSpan = 20
	turnChunksMin    = 1
	turnChunksSpan   = 5
	meanOutput       = 100
	maxOutput        = 600
	conversations    = 200
)

// traceGenerator generates a trace.
type traceGenerator struct {
	workload Workload
	random   *rand.Rand
	systems  [][]uint64
	popular  *rand.Zipf
	accounts *rand.Zipf
	open     []conversation
}

type conversation struct {
	account int
	chain   []uint64
}

// Trace returns the workload's arrivals in order of time.
func Trace(w Workload) []Arrival {
	random := rand.New(rand.NewPCG(w.Seed, 7))
	g := &traceGenerator{
		workload: w,
		random:   random,
		popular:  rand.NewZipf(random, 1.2, 1, uint64(w.Systems-1)),
		accounts: rand.NewZipf(random, 1.2, 1, uint64(w.Accounts-1)),
	}
	for range w.Systems {
		g.systems = append(g.systems, g.extend(nil, systemChunksMin+random.IntN(systemChunksSpan)))
	}
	var trace []Arrival
	for at := g.gap(0); at < w.Length; at += g.gap(at) {
		trace = append(trace, g.arrival(at))
	}
	return trace
}

func (g *traceGenerator) gap(at time.Duration) time.Duration {
	rate := g.workload.Rate
	if at >= g.workload.PeakFrom && at < g.workload.PeakUntil {
		rate = g.workload.PeakRate
	}
	return time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
}

func (g *traceGenerator) arrival(at time.Duration) Arrival {
	c := g.conversation()
	c.chain = g.extend(c.chain, turnChunksMin+g.random.IntN(turnChunksSpan))
	if len(c.chain) < btload.MaxChunks/2 {
		g.remember(c)
	}
	output := min(1+int(g.random.ExpFloat64()*meanOutput), maxOutput)
	return Arrival{
		At:       at,
		Account:  c.account,
		Entry:    g.random.Uint32(),
		Prefixes: c.chain,
		Output:   output,
		Keyed:    g.random.Float64() < g.workload.Keyed,
	}
}

// conversation removes and returns an open conversation, or starts one with a system prompt.
func (g *traceGenerator) conversation() conversation {
	if len(g.open) > 0 && g.random.Float64() < g.workload.FollowUps {
		i := g.random.IntN(len(g.open))
		c := g.open[i]
		g.open[i] = g.open[len(g.open)-1]
		g.open = g.open[:len(g.open)-1]
		return c
	}
	return conversation{account: int(g.accounts.Uint64()), chain: g.systems[g.popular.Uint64()]}
}

func (g *traceGenerator) remember(c conversation) {
	if len(g.open) < conversations {
		g.open = append(g.open, c)
		return
	}
	g.open[g.random.IntN(len(g.open))] = c
}

// extend returns a copy of the chain with the given number of new chunks, at most
// btload.MaxChunks in all. A later turn can't change it.
func (g *traceGenerator) extend(chain []uint64, chunks int) []uint64 {
	longer := append([]uint64(nil), chain...)
	for range chunks {
		longer = append(longer, g.random.Uint64())
	}
	return longer[:min(len(longer), btload.MaxChunks)]
}

// jain returns Jain's fairness index of the shares: 1 where all are equal.
func jain(shares []float64) float64 {
	var sum, squares float64
	for _, s := range shares {
		sum += s
		squares += s * s
	}
	if squares == 0 {
		return math.NaN()
	}
	return sum * sum / (float64(len(shares)) * squares)
}
