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

// behaviour tells the handler of a run what to do after it has noted the run.
type behaviour uint8

const (
	succeed behaviour = iota
	fail
	explode
	hold // until the caller cancels
	large
	behaviours
)

type job struct {
	Number uint64    `cbor:"number"`
	Do     behaviour `cbor:"do"`
	Data   []byte    `cbor:"data,omitempty"`
}

func (j job) Validate() error { return nil }

// ledger notes which jobs a handler has seen.
type ledger struct {
	mu   sync.Mutex
	seen map[uint64]bool
	held map[uint64]context.CancelFunc
}

func (l *ledger) run(ctx context.Context, _ btpeer.Identity, j job) (text, error) {
	l.mu.Lock()
	l.seen[j.Number] = true
	cancel := l.held[j.Number]
	l.mu.Unlock()
	switch j.Do {
	case fail:
		return text{}, btpeer.ErrNotSent // a handler's word must not pass for the layer's
	case explode:
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

func (l *ledger) hold(number uint64, cancel context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[number] = cancel
}

func (l *ledger) saw(number uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen[number]
}

// agentLives runs one life of the agent after another at one address; each ends
// gracefully or abruptly, as chance has it, after some more calls.
func agentLives(f *fleet, l *ledger, calls *atomic.Int64, done <-chan struct{}, random *rand.Rand) (netip.AddrPort, func()) {
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
					kill(node)
					return
				case <-time.After(time.Millisecond):
				}
			}
			if random.IntN(2) == 0 {
				kill(node)
			} else {
				_ = node.Close(context.Background())
			}
			node = start()
		}
	}
}

// callOnce makes one call, which may be given up on at any moment.
func callOnce(ctx context.Context, entry *peer, to btpeer.Endpoint, l *ledger, number uint64, random *rand.Rand) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j := job{Number: number, Do: behaviour(random.IntN(int(behaviours)))}
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

// TestNotRunIsProof calls an agent that fails, restarts and closes while callers
// give up, and checks the one thing that everything above builds on: a call of
// which NotRun holds was seen by no handler. The same run shows that the
// careless conclusion, that any failed call was not run, is wrong.
func TestNotRunIsProof(t *testing.T) {
	const workers, callsEach = 8, 60
	for seed := uint64(1); seed <= *notRunSeeds; seed++ {
		f := newFleet(t)
		l := &ledger{seen: make(map[uint64]bool), held: make(map[uint64]context.CancelFunc)}
		var calls, notRun, failedButRun atomic.Int64
		done := make(chan struct{})
		address, lives := agentLives(f, l, &calls, done, rand.New(rand.NewPCG(seed, 0)))
		to := btpeer.Endpoint{Identity: agentID, Address: address}
		entry := f.node(entryID, func(o *btpeer.Options) { o.Redial.First, o.Redial.Last = 1, 1 })
		var group, agent sync.WaitGroup
		agent.Go(lives)
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
						assert.Check(t, !l.saw(number), "seed %d, job %d was run: %v", seed, number, err)
					case err != nil && l.saw(number):
						failedButRun.Add(1)
					case err == nil:
						assert.Check(t, l.saw(number), "seed %d, job %d was answered by nobody", seed, number)
					}
					assert.Check(t, err == nil || isOwn(err), "seed %d: error of another layer: %v", seed, err)
				}
			})
		}
		group.Wait()
		close(done)
		agent.Wait()
		t.Logf("seed %d: %d calls, %d not run, %d failed but run", seed, calls.Load(), notRun.Load(), failedButRun.Load())
		assert.Assert(t, failedButRun.Load() > 0, "the careless conclusion was not refuted")
	}
}

func isOwn(err error) bool {
	for _, own := range []error{
		btpeer.ErrNotSent, btpeer.ErrRefused, btpeer.ErrUnknownKind, btpeer.ErrLost, btpeer.ErrFailed, btpeer.ErrMalformed,
	} {
		if errors.Is(err, own) {
			return true
		}
	}
	return false
}
