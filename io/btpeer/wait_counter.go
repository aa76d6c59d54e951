package btpeer

import (
	"context"
	"sync"
)

// waitCounter is a counter on which goroutines can wait until it is zero. Unlike a
// sync.WaitGroup, the wait ends with a context.
type waitCounter struct {
	mu    sync.Mutex
	count int
	zero  chan struct{}
}

func newWaitCounter() *waitCounter { return &waitCounter{} }

func (g *waitCounter) add(delta int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count += delta
	if g.count == 0 && g.zero != nil {
		close(g.zero)
		g.zero = nil
	}
	return g.count
}

func (g *waitCounter) wait(ctx context.Context) error {
	g.mu.Lock()
	if g.count == 0 {
		g.mu.Unlock()
		return nil
	}
	if g.zero == nil {
		g.zero = make(chan struct{})
	}
	zero := g.zero
	g.mu.Unlock()
	select {
	case <-zero:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
