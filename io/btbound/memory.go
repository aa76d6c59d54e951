package btbound

import "context"

const (
	// headBytes is the part of an exchange's heads that takes no memory from a Memory: an
	// ordinary head is smaller.
	headBytes = 8 << 10
	// fieldBytes is what a field takes beside its text once it is parsed and copied.
	fieldBytes = 320
	// headStep is the step in which memory is reserved.
	headStep = 8 << 10
)

// Memory is what a process's exchanges take memory from together.
type Memory interface {
	// Reserve takes so many bytes for the rest of the exchange. It returns false if there
	// are fewer.
	Reserve(n int64) bool
}

type memoryKey struct{}

// WithMemory returns a context whose exchanges take the memory of large heads from m. Each
// head is bounded by itself, but those of a faulty server come together.
func WithMemory(ctx context.Context, m Memory) context.Context {
	return context.WithValue(ctx, memoryKey{}, m)
}

// memoryOf returns the context's memory; nil if it has none.
func memoryOf(ctx context.Context) *Memory {
	if m, found := ctx.Value(memoryKey{}).(Memory); found {
		return &m
	}
	return nil
}

// reserve reserves the memory of the heads so far. It returns false if there is too little.
func (c *conn) reserve() bool {
	if c.current == nil {
		return true
	}
	memory := c.current.memory.Load()
	if memory == nil {
		return true
	}
	needed := int64(c.answer.headBytes) + int64(c.answer.fields)*fieldBytes - headBytes
	for c.reserved < needed {
		step := max(headStep, needed-c.reserved)
		if !(*memory).Reserve(step) {
			return false
		}
		c.reserved += step
	}
	return true
}
