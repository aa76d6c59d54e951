package btfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bilberrytide/core/btclaim"
	"bilberrytide/core/btrequest"
)

// LoadOptions say what a load consists of.
type LoadOptions struct {
	// Workers send one call after another.
	Workers int
	// Seed fixes every choice.
	Seed uint64
	// KeyShare is the share of calls that carry an idempotency key.
	KeyShare float64
	// Entries are those that the workers send to.
	Entries []string
	// Retries is how often a caller sends a call with a key again, to any entry,
	// after it learned of no end.
	Retries int
}

// refusedPause is how long a worker waits after a refusal. Callers come back
// sooner than they are told, so that more of them meet the failure.
const refusedPause = 20 * time.Millisecond

// Load sends calls until it is stopped.
type Load struct {
	options LoadOptions
	caller  *Caller
	ended   sync.WaitGroup
	stop    chan struct{}

	mu      sync.Mutex
	answers []Answer
}

// Load starts workers that send calls.
func (f *Fleet) Load(ctx context.Context, o LoadOptions) *Load {
	l := &Load{options: o, caller: f.NewCaller(o.Workers), stop: make(chan struct{})}
	for w := range o.Workers {
		l.ended.Go(func() { l.work(ctx, w) })
	}
	return l
}

// Stop lets every call that is under way end and returns all answers.
func (l *Load) Stop() []Answer {
	close(l.stop)
	l.ended.Wait()
	l.caller.Close()
	return l.answers
}

// Answers returns those of so far.
func (l *Load) Answers() []Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Answer(nil), l.answers...)
}

func (l *Load) work(ctx context.Context, worker int) {
	seed := l.options.Seed<<8 + uint64(worker)
	random := rand.New(rand.NewPCG(l.options.Seed, uint64(worker)))
	keys := NewKeys(seed)
	for number := 0; ; number++ {
		select {
		case <-l.stop:
			return
		default:
		}
		call := Call{Path: fmt.Sprintf("/w%d", worker), Body: fmt.Sprintf("seed %d worker %d call %d", l.options.Seed, worker, number)}
		if random.Float64() < l.options.KeyShare {
			call.Key = keys.Next()
		}
		l.send(ctx, random, call)
	}
}

// send makes one call and repeats it where that is safe.
func (l *Load) send(ctx context.Context, random *rand.Rand, call Call) {
	for range l.options.Retries + 1 {
		entry := l.options.Entries[random.IntN(len(l.options.Entries))]
		answer := l.caller.Call(ctx, entry, call)
		l.mu.Lock()
		l.answers = append(l.answers, answer)
		l.mu.Unlock()
		if answer.Outcome == btrequest.Done && answer.Err == nil {
			return
		}
		select {
		case <-l.stop:
			return
		case <-time.After(refusedPause):
		}
		if call.Key == "" {
			return
		}
	}
}

// Keys makes idempotency keys; all of them but the time comes from a seed.
type Keys struct{ random *rand.ChaCha8 }

// NewKeys returns keys of a seed.
func NewKeys(seed uint64) *Keys {
	var long [32]byte
	for i := range 8 {
		long[i] = byte(seed >> (8 * i))
	}
	return &Keys{random: rand.NewChaCha8(long)}
}

// Next returns a key made now.
func (k *Keys) Next() btrequest.Key {
	key, err := btclaim.NewKey(time.Now(), k.random)
	if err != nil {
		// The source never fails.
		panic(err)
	}
	return key
}
