package btstandin

import (
	"container/heap"
	"context"
	"sync"
)

// slots is a semaphore with a priority queue: waiting requests get a slot by
// descending priority, and in order of arrival within a priority.
type slots struct {
	mutex   sync.Mutex
	free    int
	running int
	waiting waiters
	next    uint64
	// changed is called with the new counts while the mutex is held.
	changed func(running, waiting int)
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	order    uint64
	index    int
	granted  chan struct{}
}

func newSlots(count int, changed func(running, waiting int)) *slots {
	return &slots{free: count, changed: changed}
}

// acquire waits for a slot, or returns the context's error if that ends first.
func (s *slots) acquire(ctx context.Context, priority int) error {
	w := s.enqueue(priority)
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

func (s *slots) enqueue(priority int) *waiter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.next++
	w := &waiter{priority: priority, order: s.next, granted: make(chan struct{})}
	heap.Push(&s.waiting, w)
	s.grant()
	return w
}

// abandon removes the waiter from the queue, or releases the slot that it was
// granted meanwhile.
func (s *slots) abandon(w *waiter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-w.granted:
		s.running--
		s.free++
	default:
		heap.Remove(&s.waiting, w.index)
	}
	s.grant()
}

// release frees a slot.
func (s *slots) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
	s.free++
	s.grant()
}

// grant gives free slots to the first waiters. The mutex must be held.
func (s *slots) grant() {
	for s.free > 0 && len(s.waiting) > 0 {
		w := heap.Pop(&s.waiting).(*waiter)
		close(w.granted)
		s.free--
		s.running++
	}
	s.changed(s.running, len(s.waiting))
}

// waiters is a heap whose first element is the next to get a slot.
type waiters []*waiter

var _ heap.Interface = (*waiters)(nil)

// Len returns the number of waiters.
func (w waiters) Len() int { return len(w) }

// Less reports whether waiter i gets a slot before waiter j.
func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].order < w[j].order
}

// Swap exchanges two waiters.
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

// Push appends a waiter.
func (w *waiters) Push(x any) {
	entry := x.(*waiter)
	entry.index = len(*w)
	*w = append(*w, entry)
}

// Pop removes the last waiter.
func (w *waiters) Pop() any {
	last := len(*w) - 1
	entry := (*w)[last]
	*w = (*w)[:last]
	return entry
}
