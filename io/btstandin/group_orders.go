package btstandin

import (
	"context"
	"fmt"
)

// loading is a staging whose weights are still being pulled.
type loading struct {
	next   *placement
	cancel context.CancelFunc
}

// name returns the version being loaded, empty for none.
func (l *loading) name() string {
	if l == nil {
		return ""
	}
	return l.next.name()
}

// execute carries out one order, or begins it. An order whose effect is there
// already, as it was carried out before, succeeds and changes nothing.
func (m *member) execute(o Order) error {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	if err := m.change(o); err != nil {
		return err
	}
	m.group.wake()
	return nil
}

// change applies an order. The group's mutex must be held.
func (m *member) change(o Order) error {
	switch o.Op {
	case OpStage:
		return m.stage(o)
	case OpArm:
		return m.arm(o.Version)
	case OpCommit:
		return m.commit(o.Version)
	case OpAbort:
		return m.abort(o.Version)
	case OpPause:
		m.paused = true
		return nil
	case OpSwitch:
		return m.use(o.Version)
	case OpResume:
		return m.resume(o.Version)
	default:
		return fmt.Errorf("%w: unknown to a member of a group", ErrOrder)
	}
}

// stage begins to load a map in place of any staged or loading before. It
// changes neither steps nor holds, and goes on when whoever ordered it has gone
// away; it breaks off with abort, another stage or the engine's end.
func (m *member) stage(o Order) error {
	if o.Version == "" {
		return fmt.Errorf("%w: version: none", ErrOrder)
	}
	if len(o.Ranks) > 0 && len(o.Ranks) != m.group.shape.Ranks {
		return fmt.Errorf("%w: ranks: %d instead of %d", ErrOrder, len(o.Ranks), m.group.shape.Ranks)
	}
	if err := o.Map.validate(m.group.shape); err != nil {
		return err
	}
	if m.staged.name() == o.Version || m.loading.name() == o.Version {
		return nil
	}
	m.endLoading()
	m.staged = nil
	next := &placement{version: o.Version, experts: o.Map}
	if m.group.weights == nil {
		m.staged = next
		return nil
	}
	ctx, cancel := context.WithCancel(m.engine.process())
	mine := &loading{next: next, cancel: cancel}
	m.loading = mine
	go m.load(ctx, mine, m.inUse.mapped())
	return nil
}

// load pulls the weights that the map in use lacks and stages the map.
func (m *member) load(ctx context.Context, mine *loading, inUse *ExpertMap) {
	defer mine.cancel()
	var err error
	for l := range mine.next.experts.Layers {
		if err = m.pullLayer(ctx, inUse, mine.next.experts, l); err != nil {
			break
		}
	}
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	if m.loading != mine {
		return
	}
	m.loading = nil
	if err == nil {
		m.staged = mine.next
	}
}

// pullLayer pulls the experts of the layer that the map in use does not hold.
func (m *member) pullLayer(ctx context.Context, inUse, next *ExpertMap, layer int) error {
	for _, x := range next.Layers[layer][m.rank] {
		if inUse.holds(layer, m.rank, x) {
			continue
		}
		if err := m.group.weights.Pull(ctx, layer, x); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// endLoading breaks off a loading under way. The group's mutex must be held.
func (m *member) endLoading() {
	if m.loading != nil {
		m.loading.cancel()
		m.loading = nil
	}
}

// arm holds the member before its next step.
func (m *member) arm(version string) error {
	if !m.group.barrier {
		return fmt.Errorf("%w: engine has no barrier", ErrOrder)
	}
	if err := m.requireStaged(version); err != nil {
		return err
	}
	m.armed = true
	return nil
}

// commit switches the armed member to the staged map and lets it go on. One
// that comes again changes nothing, least of all a later round's hold.
func (m *member) commit(version string) error {
	if m.staged.name() != version && m.inUse.name() == version {
		return nil
	}
	if err := m.requireStaged(version); err != nil {
		return err
	}
	if !m.armed {
		return fmt.Errorf("%w: not armed", ErrOrder)
	}
	m.inUse = m.staged
	m.staged = nil
	m.armed = false
	return nil
}

// abort drops what is staged or being loaded. Only where exactly this version
// was staged does it end the hold.
func (m *member) abort(version string) error {
	switch {
	case version != "" && m.staged.name() == version:
		m.staged = nil
		m.armed = false
	case version != "" && m.loading.name() == version:
		m.endLoading()
	case m.held():
		return fmt.Errorf("%w: map %q is not staged", ErrOrder, version)
	}
	return nil
}

// use switches the paused member to the staged map; it stays paused.
func (m *member) use(version string) error {
	if m.staged.name() != version && m.inUse.name() == version {
		return nil
	}
	if err := m.requireStaged(version); err != nil {
		return err
	}
	if !m.held() && !m.group.unchecked {
		return fmt.Errorf("%w: not paused", ErrOrder)
	}
	m.inUse = m.staged
	m.staged = nil
	return nil
}

// resume lets the member go on, on exactly the named map.
func (m *member) resume(version string) error {
	if m.inUse == nil {
		return fmt.Errorf("%w: no map", ErrOrder)
	}
	if m.inUse.name() != version {
		return fmt.Errorf("%w: map %q is in use", ErrOrder, m.inUse.name())
	}
	m.paused = false
	return nil
}

func (m *member) requireStaged(version string) error {
	if m.staged == nil || m.staged.name() != version {
		return fmt.Errorf("%w: map %q is not staged", ErrOrder, version)
	}
	return nil
}
