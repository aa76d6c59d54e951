package btstandin

import (
	"context"
	"fmt"
)

// staging is one order to stage that is being carried out.
type staging struct {
	digest string
	cancel context.CancelFunc
}

// target returns the digest of the map being staged, empty for none.
func (s *staging) target() string {
	if s == nil {
		return ""
	}
	return s.digest
}

// execute carries out one order. An order whose effect is there already, as it
// was carried out before, succeeds and changes nothing.
func (m *member) execute(o Order) (func() error, error) {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	if o.Op == OpStage {
		return m.stage(o)
	}
	if err := m.change(o); err != nil {
		return nil, err
	}
	m.ballot = max(m.ballot, o.Ballot)
	m.group.wake()
	return nil, nil
}

// change applies an order other than stage. The group's mutex must be held.
func (m *member) change(o Order) error {
	switch o.Op {
	case OpArm:
		return m.arm(o.Digest)
	case OpCommit:
		return m.commit(o.Digest)
	case OpAbort:
		return m.abort(o.Digest)
	case OpPause:
		m.paused = true
		return nil
	case OpSwitch:
		return m.use(o.Digest)
	case OpResume:
		return m.resume()
	default:
		return fmt.Errorf("%w: unknown to a member of a group", ErrOrder)
	}
}

// arm holds the member before its next step.
func (m *member) arm(digest string) error {
	if !m.group.barrier {
		return fmt.Errorf("%w: engine has no barrier", ErrOrder)
	}
	if m.staged == nil || m.staged.Digest != digest {
		return fmt.Errorf("%w: map %q is not staged", ErrOrder, digest)
	}
	m.armed = true
	return nil
}

// commit switches the armed member to the staged map and lets it go on.
func (m *member) commit(digest string) error {
	if !m.armed && m.inUse.digest() != digest {
		return fmt.Errorf("%w: not armed", ErrOrder)
	}
	if err := m.use(digest); err != nil {
		return err
	}
	m.armed = false
	return nil
}

// abort drops what is staged and lets the member go on. Where nothing is staged
// there is nothing to do.
func (m *member) abort(digest string) error {
	if m.staging != nil && m.staging.digest == digest {
		m.endStaging()
	}
	if m.staged == nil {
		return nil
	}
	if m.staged.Digest != digest {
		return fmt.Errorf("%w: map %q is staged", ErrOrder, m.staged.Digest)
	}
	m.staged = nil
	m.armed = false
	return nil
}

// use switches to the staged map from the next step on, paused or not: an engine
// without a barrier doesn't look after the group.
func (m *member) use(digest string) error {
	if m.staged.digest() != digest && m.inUse.digest() == digest {
		return nil
	}
	if m.staged == nil || m.staged.Digest != digest {
		return fmt.Errorf("%w: map %q is not staged", ErrOrder, digest)
	}
	m.inUse = m.staged
	m.staged = nil
	return nil
}

func (m *member) resume() error {
	if m.inUse == nil {
		return fmt.Errorf("%w: no map", ErrOrder)
	}
	m.paused = false
	return nil
}

// stage begins to pull the weights that the member lacks for the map and
// returns the function that ends it. That goes on when whoever ordered it has
// gone away, and breaks off with abort, another stage or the engine's life.
func (m *member) stage(o Order) (func() error, error) {
	if err := o.Map.validate(m.group.shape); err != nil {
		return nil, err
	}
	m.ballot = max(m.ballot, o.Ballot)
	if m.staged.digest() == o.Map.Digest {
		return nil, nil
	}
	if m.armed {
		return nil, fmt.Errorf("%w: armed for map %q", ErrOrder, m.staged.digest())
	}
	m.endStaging()
	m.staged = nil
	ctx, cancel := context.WithCancel(m.engine.currentLife())
	mine := &staging{digest: o.Map.Digest, cancel: cancel}
	m.staging = mine
	inUse := m.inUse
	return func() error { return m.finishStaging(ctx, mine, inUse, o.Map) }, nil
}

func (m *member) finishStaging(ctx context.Context, mine *staging, inUse, next *ExpertMap) error {
	defer mine.cancel()
	for l := range next.Layers {
		if err := m.pullLayer(ctx, inUse, next, l); err != nil {
			return fmt.Errorf("%w: layer %d: %w", ErrOrder, l, err)
		}
	}
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	if m.staging != mine {
		return fmt.Errorf("%w: staging of map %q was ended", ErrOrder, next.Digest)
	}
	m.staging = nil
	m.staged = next
	return nil
}

// pullLayer pulls the experts of the layer that the map in use does not hold.
func (m *member) pullLayer(ctx context.Context, inUse, next *ExpertMap, layer int) error {
	for _, x := range next.Layers[layer][m.rank] {
		if m.group.weights == nil || inUse.holds(layer, m.rank, x) {
			continue
		}
		if err := m.group.weights.Pull(ctx, layer, x); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// endStaging breaks off a staging under way. The group's mutex must be held.
func (m *member) endStaging() {
	if m.staging != nil {
		m.staging.cancel()
		m.staging = nil
	}
}
