package btpeer_test

import (
	"context"
	"errors"
	"flag"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btpeer"
)

const kindRun btpeer.Kind = "run"

// behaviour tells the handler of a job what to do after it has recorded the job.
type behaviour uint8

const (
	succeed behaviour = iota
	fail
	panics
	hold // until the caller cancels
	large
	behaviourCount
)

type job struct {
	Number uint64    `cbor:"number"`
	Do     behaviour `cbor:"do"`
	Data   []byte    `cbor:"data,omitempty"`
}

func (j job) Validate() error { return nil }

// runLog records which jobs a handler has received.
type runLog struct {
	mu   sync.Mutex
	seen map[uint64]bool
	held map[uint64]context.CancelFunc
}

func (l *runLog) run(ctx context.Context, _ btpeer.Identity, j job) (text, error) {
	l.mu.Lock()
	l.seen[j.Number] = true
	cancel := l.held[j.Number]
	l.mu.Unlock()
	switch j.Do {
	case fail:
		return text{}, btpeer.ErrNotSent // the caller must not get this error
	case panics:
		panic("boom")
	case hold:
		cancel()
		<-ctx.Done()
		return text{}, ctx.Err()
	case large:
		return text{Data: j.Data}, nil
	default:
		return text{}, nil
	}
}

func (l *runLog) hold(number uint64, cancel context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[number] = cancel
}

func (l *runLog) wasRun(number uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen[number]
}

// runAgentRestarts returns the agent's address and a function that restarts the agent at
// that address after every 20 to 79 calls, until done is closed. Each process is closed
// gracefully or abruptly, at random.
func runAgentRestarts(f *fleet, l *runLog, calls *atomic.Int64, done <-chan struct{}, random *rand.Rand) (netip.AddrPort, func()) {
	keys := f.keys(agentID)
	address := local
	start := func() *btpeer.Node {
		node, err := btpeer.New(btpeer.Options{Listen: address, Keys: keys})
		assert.NilError(f.tb, err)
		address = node.Address()
		node.Handle(kindRun, btpeer.Answer(l.run))
		go func() { _ = node.Serve(context.Background()) }()
		return node
	}
	node := start()
	return address, func() {
		for {
			after := calls.Load() + 20 + random.Int64N(60)
			for calls.Load() < after {
				select {
				case <-done:
					closeAbruptly(node)
					return
				case <-time.After(time.Millisecond):
				}
			}
			if random.IntN(2) == 0 {
				closeAbruptly(node)
			} else {
				_ = node.Close(context.Background())
			}
			node = start()
		}
	}
}

// callOnce makes one call, which may be cancelled at any moment.
func callOnce(ctx context.Context, entry *peer, to btpeer.Endpoint, l *runLog, number uint64, random *rand.Rand) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j := job{Number: number, Do: behaviour(random.IntN(int(behaviourCount)))}
	if j.Do == large {
		j.Data = make([]byte, random.IntN(1<<19))
	}
	if j.Do == hold {
		l.hold(number, cancel)
	}
	if random.IntN(4) == 0 {
		timer := time.AfterFunc(time.Duration(random.IntN(2000))*time.Microsecond, cancel)
		defer timer.Stop()
	}
	_, err := btpeer.Call[job, text](ctx, entry.Node, to, kindRun, j)
	return err
}

var notRunSeeds = flag.Uint64("btpeer.seeds", 1, "seeds of TestNotRunIsProof")

// TestNotRunIsProof guards against a request that runs twice because NotRun holds for an
// error although a handler received the request. It calls an agent that fails, restarts
// and closes while callers cancel. The run must also contain calls that failed although
// they were run, which shows that a failed call alone proves nothing.
func TestNotRunIsProof(t *testing.T) {
	const workers, callsEach = 8, 60
	for seed := uint64(1); seed <= *notRunSeeds; seed++ {
		f := newFleet(t)
		l := &runLog{seen: make(map[uint64]bool), held: make(map[uint64]context.CancelFunc)}
		var calls, notRun, failedButRun atomic.Int64
		done := make(chan struct{})
		address, restarts := runAgentRestarts(f, l, &calls, done, rand.New(rand.NewPCG(seed, 0)))
		to := btpeer.Endpoint{Identity: agentID, Address: address}
		entry := f.node(entryID, func(o *btpeer.Options) { o.Redial.First, o.Redial.Last = 1, 1 })
		var group, agent sync.WaitGroup
		agent.Go(restarts)
		for w := range uint64(workers) {
			group.Go(func() {
				random := rand.New(rand.NewPCG(seed, w+1))
				for i := range uint64(callsEach) {
					number := w*callsEach + i
					err := callOnce(t.Context(), entry, to, l, number, random)
					calls.Add(1)
					switch {
					case btpeer.NotRun(err):
						notRun.Add(1)
						assert.Check(t, !l.wasRun(number), "seed %d, job %d was run: %v", seed, number, err)
					case err != nil && l.wasRun(number):
						failedButRun.Add(1)
					case err == nil:
						assert.Check(t, l.wasRun(number), "seed %d, job %d was answered, but no handler ran it", seed, number)
					}
					assert.Check(t, err == nil || isLayerError(err), "seed %d: error is none of this package's: %v", seed, err)
				}
			})
		}
		group.Wait()
		close(done)
		agent.Wait()
		t.Logf("seed %d: %d calls, %d not run, %d failed but run", seed, calls.Load(), notRun.Load(), failedButRun.Load())
		assert.Assert(t, failedButRun.Load() > 0, "no call failed although it was run")
	}
}

func isLayerError(err error) bool {
	for _, known := range []error{
		btpeer.ErrNotSent, btpeer.ErrRefused, btpeer.ErrUnknownKind, btpeer.ErrLost, btpeer.ErrFailed, btpeer.ErrMalformed,
	} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}
