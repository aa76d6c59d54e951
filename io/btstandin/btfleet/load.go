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

// LoadOptions configures a Load.
type LoadOptions struct {
	// Workers is the number of workers; each sends one call after another.
	Workers int
	// Seed determines every random choice.
	Seed uint64
	// KeyShare is the share of calls that carry an idempotency key.
	KeyShare float64
	// Entries are the names of the entries that the workers send to.
	Entries []string
	// Retries is how often a worker sends a call with a key again, to any entry,
	// while its outcome is not done.
	Retries int
}

// retryDelay is how long a worker waits after a call that is not done. It is shorter
// than the advised Retry-After, so that more calls are sent during a failure.
const retryDelay = 20 * time.Millisecond

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

// Stop waits for the calls in progress and returns all answers.
func (l *Load) Stop() []Answer {
	close(l.stop)
	l.ended.Wait()
	l.caller.Close()
	return l.answers
}

// Answers returns the answers so far.
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

// send sends one call and repeats it if it has a key, which makes that safe.
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
		case <-time.After(retryDelay):
		}
		if call.Key == "" {
			return
		}
	}
}

// Keys generates idempotency keys. Everything in a key but its time is derived from
// a seed.
type Keys struct{ random *rand.ChaCha8 }

// NewKeys returns a generator with the seed.
func NewKeys(seed uint64) *Keys {
	var seedBytes [32]byte
	for i := range 8 {
		seedBytes[i] = byte(seed >> (8 * i))
	}
	return &Keys{random: rand.NewChaCha8(seedBytes)}
}

// Next returns a key with the current time.
func (k *Keys) Next() btrequest.Key {
	key, err := btclaim.NewKey(time.Now(), k.random)
	if err != nil {
		// Reading from ChaCha8 never fails.
		panic(err)
	}
	return key
}
