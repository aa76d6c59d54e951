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

// GroupOptions configures a Group. Step, TokensPerStep and ZipfExponent default to
// the constants above if zero.
type GroupOptions struct {
	Name  btid.Group
	Shape GroupShape
	// Engine configures the engine of every rank; its Clock and Seed also apply
	// to the group. Its Name and DecodeRate are ignored: rank r is called NAME-r,
	// and each running answer gets one token per step.
	Engine EngineOptions
	// Step is the duration of a step with equal load on all ranks.
	Step time.Duration
	// TokensPerStep is the number of tokens that each layer processes in a step.
	TokensPerStep int
	// ZipfExponent is the exponent of the Zipf distribution of expert popularity.
	ZipfExponent float64
	// DriftPeriod is the time in which the popularity changes from one ranking of
	// the experts to the next; zero keeps it constant.
	DriftPeriod time.Duration
	// Barrier makes the engines support arm and commit.
	Barrier bool
	// UnsafeSwitch makes engines accept a switch while they are not held, as does
	// an engine that doesn't prevent steps on mixed maps.
	UnsafeSwitch bool
	// InitialMap is the map that all ranks start with; nil assigns the experts
	// round robin.
	InitialMap *ExpertMap
	// StartHeld makes all ranks start without a map, as after a restart.
	StartHeld bool
	// Weights is where staging pulls weights from; with nil, staging takes no
	// time.
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

// initial returns the placement that the ranks start with, nil for none.
func (o GroupOptions) initial() *placement {
	switch {
	case o.StartHeld:
		return nil
	case o.InitialMap != nil:
		return initialPlacement(o.InitialMap)
	}
	return initialPlacement(o.Shape.roundRobinMap())
}

// Group stands in for the engines of one lock-step group. It is safe for
// concurrent use.
type Group struct {
	clock   Clock
	shape   GroupShape
	step    time.Duration
	tokens  int
	barrier bool
	// unsafeSwitch is GroupOptions.UnsafeSwitch.
	unsafeSwitch bool
	weights      WeightSource

	mutex      sync.Mutex
	members    []*member
	popularity *popularity
	start      time.Time
	// stepped is closed and replaced at the end of every step.
	stepped chan struct{}
	// changed is closed and replaced when a member's state changes.
	changed chan struct{}
	log     stepLog
}

// NewGroup returns a group, which steps while Run is running. The error wraps
// ErrOptions.
func NewGroup(o GroupOptions) (*Group, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	clock := o.Engine.Clock
	g := &Group{
		clock:        clock,
		shape:        o.Shape,
		step:         o.Step,
		tokens:       o.TokensPerStep,
		barrier:      o.Barrier,
		unsafeSwitch: o.UnsafeSwitch,
		weights:      o.Weights,
		popularity:   newPopularity(o.Shape, o.ZipfExponent, o.DriftPeriod, o.Engine.Seed),
		start:        clock.Now(),
		stepped:      make(chan struct{}),
		changed:      make(chan struct{}),
	}
	initial := o.initial()
	for r := range o.Shape.Ranks {
		g.members = append(g.members, newMember(g, r, o, initial))
	}
	return g, nil
}

// Rank returns the engine of the zero-based rank: an http.Handler that serves the
// protocols of the engine and of the group, and the controls.
func (g *Group) Rank(rank int) *Engine { return g.members[rank].engine }

// Ranks returns the number of ranks.
func (g *Group) Ranks() int { return g.shape.Ranks }

// addRoutes adds the paths of the group's protocol to the member's.
func (g *Group) addRoutes(mux *http.ServeMux, m *member) {
	mux.HandleFunc("GET /group", m.serveState)
	mux.HandleFunc("GET /group/map", m.serveMap)
	mux.HandleFunc("GET /control/steps", g.controlSteps)
	mux.HandleFunc("GET /control/steps/records", g.controlRecords)
}

// notifyChange makes Run check the members again. The mutex must be held.
func (g *Group) notifyChange() {
	close(g.changed)
	g.changed = make(chan struct{})
}
