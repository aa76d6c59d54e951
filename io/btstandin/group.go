package btstandin

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"bilberrytide/core/btid"
)

// Defaults of a group's options.
const (
	DefaultStep          = 4500 * time.Microsecond
	DefaultTokensPerStep = 1024
	DefaultZipfExponent  = 1.0
)

// GroupOptions sets up a Group. Zero numbers stand for the defaults.
type GroupOptions struct {
	Name  btid.Group
	Shape GroupShape
	// Engine sets up every rank's engine, its Clock and Seed also the group's.
	// Its Name and DecodeRate are not used: rank r is called NAME-r and each
	// running answer gets a token a step.
	Engine EngineOptions
	// Step is how long a step takes when all ranks have the same load.
	Step time.Duration
	// TokensPerStep is how many tokens each layer serves in a step.
	TokensPerStep int
	// ZipfExponent is how unequal the experts' popularity is.
	ZipfExponent float64
	// DriftPeriod is the time in which popularity turns into another; zero
	// leaves it as it is.
	DriftPeriod time.Duration
	// Barrier tells whether engines know arm and commit.
	Barrier bool
	// UnsafeSwitch makes engines follow a switch while they are not held, as an
	// engine does that doesn't look after its group.
	UnsafeSwitch bool
	// InitialMap is the map that all ranks start with. Nil stands for experts dealt
	// in turn.
	InitialMap *ExpertMap
	// StartHeld makes all ranks start without a map, as after a restart.
	StartHeld bool
	// Weights is where staging gets weights from; nil makes them free.
	Weights WeightSource
}

func (o GroupOptions) withDefaults() GroupOptions {
	o.Engine = o.Engine.withDefaults()
	o.Engine.Name = btid.Target(o.Name)
	o.Step = orDefault(o.Step, DefaultStep)
	o.TokensPerStep = orDefault(o.TokensPerStep, DefaultTokensPerStep)
	o.ZipfExponent = orDefault(o.ZipfExponent, DefaultZipfExponent)
	return o
}

func (o GroupOptions) validate() error {
	if err := o.Engine.validate(); err != nil {
		return err
	}
	if o.Step < 0 || o.TokensPerStep < 0 || o.ZipfExponent < 0 || o.DriftPeriod < 0 {
		return fmt.Errorf("%w: group %s has a negative number", ErrOptions, o.Name)
	}
	if err := o.Shape.validate(); err != nil {
		return err
	}
	if o.InitialMap == nil {
		return nil
	}
	if err := o.InitialMap.validate(o.Shape); err != nil {
		return fmt.Errorf("%w: initial map: %w", ErrOptions, err)
	}
	return nil
}

// initial returns what the ranks start on, nil for no map.
func (o GroupOptions) initial() *placement {
	switch {
	case o.StartHeld:
		return nil
	case o.InitialMap != nil:
		return initialPlacement(o.InitialMap)
	}
	return initialPlacement(o.Shape.deal())
}

// Group stands in for the engines of one lock-step group. It is safe for
// concurrent use.
type Group struct {
	clock   Clock
	shape   GroupShape
	step    time.Duration
	tokens  int
	barrier bool
	// unchecked engines switch though they are not held.
	unchecked bool
	weights   WeightSource

	mutex      sync.Mutex
	members    []*member
	popularity *popularity
	start      time.Time
	// stepped is closed at the end of every step and then replaced.
	stepped chan struct{}
	// changed is closed when a member's state changed and then replaced.
	changed chan struct{}
	record  stepLog
}

// NewGroup returns a group that steps once Run is called. The error wraps
// ErrOptions.
func NewGroup(o GroupOptions) (*Group, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	clock := o.Engine.Clock
	g := &Group{
		clock:      clock,
		shape:      o.Shape,
		step:       o.Step,
		tokens:     o.TokensPerStep,
		barrier:    o.Barrier,
		unchecked:  o.UnsafeSwitch,
		weights:    o.Weights,
		popularity: newPopularity(o.Shape, o.ZipfExponent, o.DriftPeriod, o.Engine.Seed),
		start:      clock.Now(),
		stepped:    make(chan struct{}),
		changed:    make(chan struct{}),
	}
	initial := o.initial()
	for r := range o.Shape.Ranks {
		g.members = append(g.members, newMember(g, r, o, initial))
	}
	return g, nil
}

// Rank returns the engine of the rank, from zero: an http.Handler that answers
// the engine's protocol, the group's and the controls.
func (g *Group) Rank(rank int) *Engine { return g.members[rank].engine }

// Ranks returns the number of ranks.
func (g *Group) Ranks() int { return g.shape.Ranks }

// addRoutes adds the group's paths to one member's.
func (g *Group) addRoutes(mux *http.ServeMux, m *member) {
	mux.HandleFunc("GET /group", m.serveState)
	mux.HandleFunc("GET /group/map", m.serveMap)
	mux.HandleFunc("GET /control/steps", g.controlSteps)
	mux.HandleFunc("GET /control/steps/records", g.controlRecords)
}

// wake lets Run look at the members again. The mutex must be held.
func (g *Group) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}
