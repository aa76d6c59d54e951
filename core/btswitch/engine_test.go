package btswitch_test

import (
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btswitch"
)

// engineKind is what an engine checks before it follows an order.
type engineKind struct {
	barrier bool
	// fencing: it refuses old fencing numbers.
	fencing bool
	// versions: it refuses an order that names another version than its own.
	// Without this check it follows every order, at any time and for any map that
	// it ever loaded.
	versions bool
}

// engine simulates the engine of one rank.
type engine struct {
	kind  engineKind
	state btswitch.EngineState
	up    bool
	maps  map[btbundle.Digest][]byte
	ranks map[btbundle.Digest][]btid.Target
}

var initialMap = []byte("initial")

// newEngine returns an engine that has just started: held, on its initial map.
func newEngine(kind engineKind) *engine {
	e := &engine{kind: kind}
	e.restart()
	return e
}

func (e *engine) restart() {
	initial := btswitch.Version{Map: btbundle.DigestOf(initialMap)}
	e.up = true
	e.state = btswitch.EngineState{InForce: initial, Held: true, StepTime: stepTime}
	e.maps = map[btbundle.Digest][]byte{initial.Map: initialMap}
	e.ranks = make(map[btbundle.Digest][]btid.Target)
}

// apply carries out an order or refuses it. last is the engine's last fencing
// number if the order's is old, else zero.
func (e *engine) apply(o btswitch.Order) (done bool, last uint64) {
	if e.kind.fencing {
		if o.Fencing <= e.state.Fencing {
			return false, e.state.Fencing
		}
		e.state.Fencing = o.Fencing
	}
	return e.execute(o), 0
}

func (e *engine) execute(o btswitch.Order) bool {
	s := &e.state
	staged := e.kind.versions && s.Staged == o.Version || !e.kind.versions && e.maps[o.Version.Map] != nil
	switch o.Op {
	case btswitch.Stage:
		s.Staged = btswitch.Version{}
		s.Loading = o.Version
		e.maps[o.Version.Map] = o.Map
		e.ranks[o.Version.Members] = o.Ranks
	case btswitch.Arm, btswitch.Pause:
		s.Held = true
	case btswitch.Commit, btswitch.Switch:
		if !staged || o.Op == btswitch.Switch && e.kind.versions && !s.Held {
			return false
		}
		s.InForce = o.Version
		s.Staged = btswitch.Version{}
		s.Held = s.Held && o.Op == btswitch.Switch
	case btswitch.Abort:
		if e.kind.versions && !staged {
			return false
		}
		s.Staged = btswitch.Version{}
		s.Held = false
	case btswitch.Resume:
		if e.kind.versions && s.InForce != o.Version {
			return false
		}
		s.Held = false
	}
	return true
}

// loaded completes the loading of a version, unless another has replaced it.
func (e *engine) loaded(v btswitch.Version) {
	if e.state.Loading == v {
		e.state.Staged = v
		e.state.Loading = btswitch.Version{}
	}
}

// ready returns the ranks that the engine would step with, nil while it can't step.
func (e *engine) ready() []btid.Target {
	if !e.up || e.state.Held {
		return nil
	}
	return e.ranks[e.state.InForce.Members]
}
