package btpeer

import (
	"context"
	"sync"
)

// gauge is a count that can be waited for to become zero.
type gauge struct {
	mu    sync.Mutex
	count int
	zero  chan struct{}
}

func newGauge() *gauge { return &gauge{} }

func (g *gauge) add(delta int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count += delta
	if g.count == 0 && g.zero != nil {
		close(g.zero)
		g.zero = nil
	}
	return g.count
}

func (g *gauge) wait(ctx context.Context) error {
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
