package btstandin

import (
	"context"
	"fmt"
)

// loading is a placement whose weights are being pulled.
type loading struct {
	next   *placement
	cancel context.CancelFunc
}

// name returns the version being loaded, empty for nil.
func (l *loading) name() string {
	if l == nil {
		return ""
	}
	return l.next.name()
}

// execute carries out one order, or starts it where it takes long. It is
// idempotent: repeating an order that was carried out succeeds without effect.
func (m *member) execute(o Order) error {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	if err := m.apply(o); err != nil {
		return err
	}
	m.group.notifyChange()
	return nil
}

// apply applies an order. The group's mutex must be held.
func (m *member) apply(o Order) error {
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
		return m.switchMap(o.Version)
	case OpResume:
		return m.resume(o.Version)
	default:
		return fmt.Errorf("%w: unknown to a member of a group", ErrOrder)
	}
}

// stage starts to load a map and replaces any staged or loading one. Loading does
// not affect steps or holds and continues after the request ends; an abort, another
// stage or a kill of the engine cancels it.
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
	m.cancelLoading()
	m.staged = nil
	next := &placement{version: o.Version, experts: o.Map}
	if m.group.weights == nil {
		m.staged = next
		return nil
	}
	ctx, cancel := context.WithCancel(m.engine.process())
	current := &loading{next: next, cancel: cancel}
	m.loading = current
	go m.load(ctx, current, m.inUse.expertMap())
	return nil
}

// load pulls the weights of the experts that the rank doesn't hold yet and then
// stages the map.
func (m *member) load(ctx context.Context, current *loading, inUse *ExpertMap) {
	defer current.cancel()
	var err error
	for l := range current.next.experts.Layers {
		if err = m.pullLayer(ctx, inUse, current.next.experts, l); err != nil {
			break
		}
	}
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	if m.loading != current {
		return
	}
	m.loading = nil
	if err == nil {
		m.staged = current.next
	}
}

// pullLayer pulls the weights of the layer's experts that the rank doesn't hold in
// the map in use.
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

// cancelLoading cancels a load in progress. The group's mutex must be held.
func (m *member) cancelLoading() {
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

// commit switches the armed member to the staged map and ends its hold. A repeated
// commit has no effect, so that it can't end the hold of a later round.
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

// abort discards the staged or loading map of this version. It ends the hold only
// if this version is staged, so that a late abort can't end a later round's hold.
func (m *member) abort(version string) error {
	switch {
	case version != "" && m.staged.name() == version:
		m.staged = nil
		m.armed = false
	case version != "" && m.loading.name() == version:
		m.cancelLoading()
	case m.held():
		return fmt.Errorf("%w: map %q is not staged", ErrOrder, version)
	}
	return nil
}

// switchMap switches the paused member to the staged map; the member stays paused.
func (m *member) switchMap(version string) error {
	if m.staged.name() != version && m.inUse.name() == version {
		return nil
	}
	if err := m.requireStaged(version); err != nil {
		return err
	}
	if !m.held() && !m.group.unsafeSwitch {
		return fmt.Errorf("%w: not paused", ErrOrder)
	}
	m.inUse = m.staged
	m.staged = nil
	return nil
}

// resume ends the pause if the map in use has this version.
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
