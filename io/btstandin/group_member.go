package btstandin

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"time"

	"bilberrytide/core/btid"
)

// GroupState is the body of GET /group: the state of one rank.
type GroupState struct {
	// MapVersion is the version of the map in use, empty if there is none.
	MapVersion string `json:"map_version"`
	// StagedVersion is the version whose weights are completely loaded, empty if
	// there is none.
	StagedVersion string `json:"staged_version"`
	// LoadingVersion is the version whose weights are being pulled, empty if
	// there is none.
	LoadingVersion string `json:"loading_version"`
	// Held is whether the rank starts no further step: it is armed or paused, or
	// has no map.
	Held bool `json:"held"`
	// Armed is whether the rank is held until commit or abort.
	Armed bool `json:"armed"`
	// Paused is whether the rank is held until resume.
	Paused bool `json:"paused"`
	// Fencing is the highest fencing number accepted.
	Fencing uint64 `json:"fencing"`
	// Step is the number of steps since the engine's start.
	Step uint64 `json:"step"`
	// Counts holds the tokens that the rank processed since the engine's start,
	// by layer and expert.
	Counts [][]uint64 `json:"counts"`
	// StepMillis is the rank's own computing time in the last step, in
	// milliseconds.
	StepMillis float64 `json:"step_ms"`
	// GroupStepMillis is the duration of the group's last step, in milliseconds.
	GroupStepMillis float64 `json:"group_step_ms"`
}

// member is one rank of a group. The group's mutex guards its state.
type member struct {
	group  *Group
	rank   int
	engine *Engine

	alive bool
	// inUse is nil after a restart, until a commit or a switch.
	inUse   *placement
	staged  *placement
	loading *loading
	armed   bool
	paused  bool
	steps   uint64
	counts  [][]float64
	last    time.Duration
}

var (
	_ executor = (*member)(nil)
	_ pacer    = (*member)(nil)
)

func newMember(g *Group, rank int, o GroupOptions, initial *placement) *member {
	m := &member{group: g, rank: rank, alive: true, inUse: initial, counts: zeroCounts(o.Shape)}
	options := o.Engine
	options.Name = btid.Target(fmt.Sprintf("%s-%d", o.Name, rank))
	options.Seed = o.Engine.Seed + uint64(rank)
	m.engine = newEngine(options, m, m)
	g.addRoutes(m.engine.mux, m)
	return m
}

func zeroCounts(s GroupShape) [][]float64 {
	counts := make([][]float64, s.Layers)
	for l := range counts {
		counts[l] = make([]float64, s.Experts)
	}
	return counts
}

// held reports whether the member waits for an order before its next step.
func (m *member) held() bool { return m.inUse == nil || m.armed || m.paused }

// ready reports whether the member can start a step.
func (m *member) ready() bool { return m.alive && !m.held() }

func (m *member) killed() {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	m.alive = false
	m.cancelLoading()
}

func (m *member) restarted() {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	m.alive = true
	m.inUse = nil
	m.staged = nil
	m.armed = false
	m.paused = false
	m.steps = 0
	m.counts = zeroCounts(m.group.shape)
	m.group.notifyChange()
}

// await returns at the end of the group's current or next step. It ignores the
// slow factor, which step durations already include.
func (m *member) await(ctx context.Context, _ float64) error {
	m.group.mutex.Lock()
	stepped := m.group.stepped
	m.group.mutex.Unlock()
	select {
	case <-stepped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *member) progress() (uint64, time.Duration) {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	return m.steps, m.last
}

func (m *member) state() GroupState {
	// The lock of the orders comes before the group's, as in executing an order.
	fencing := m.engine.orders.fencing().Fencing
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	counts := make([][]uint64, len(m.counts))
	for l, layer := range m.counts {
		counts[l] = make([]uint64, len(layer))
		for x, tokens := range layer {
			counts[l][x] = uint64(math.Round(tokens))
		}
	}
	return GroupState{
		MapVersion:      m.inUse.name(),
		StagedVersion:   m.staged.name(),
		LoadingVersion:  m.loading.name(),
		Held:            m.held(),
		Armed:           m.armed,
		Paused:          m.paused,
		Fencing:         fencing,
		Step:            m.steps,
		Counts:          counts,
		StepMillis:      millis(m.last),
		GroupStepMillis: millis(m.group.log.last),
	}
}

func (m *member) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, m.state())
}

// serveMap answers with the bytes of the map in use as the order carried them, or
// with ?staged=1 those of the staged map.
func (m *member) serveMap(w http.ResponseWriter, r *http.Request) {
	m.group.mutex.Lock()
	shown := m.inUse
	if r.URL.Query().Get("staged") == "1" {
		shown = m.staged
	}
	m.group.mutex.Unlock()
	if shown == nil {
		writeError(w, http.StatusNotFound, "no map")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(shown.experts.encoded)
}
