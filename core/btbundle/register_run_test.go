package btbundle_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
)

// process is a register, or a naive stand-in for one.
type process interface {
	btcore.Machine[btbundle.RegisterEvent, btbundle.RegisterEffect]
	InForce() *btbundle.Approved
}

const (
	stepTime    = 250 * time.Millisecond
	chaosSteps  = 80
	healedSteps = 260
	liar        = btbundle.Peer("entry/liar")
	lossPercent = 25
)

var (
	errReverted  = errors.New("a bundle in force was replaced by one that isn't higher")
	errDiverged  = errors.New("the fleet didn't converge")
	errForged    = errors.New("a bundle that nobody approved is in force")
	liarsVersion = btid.BundleVersion(1 << 40)
)

// fleet runs processes over a network that loses, delays, repeats and reorders,
// beside a configuration service that may be down or stale and a peer that
// lies. Every choice comes from choose, which returns 0 to n-1.
type fleet struct {
	choose    func(n int) int
	build     func(seed uint64) process
	races     bool
	now       time.Time
	processes []process
	parts     []int
	queue     []delivery
	published [][]byte
	genuine   map[btbundle.Digest]bool
	// stranger is a bundle that a key of no approver signed.
	stranger []byte
	top      int
	healed   bool
	err      error
}

type delivery struct {
	due time.Time
	run func()
}

func name(i int) btbundle.Peer { return btbundle.Peer(fmt.Sprintf("agent/t%d", i)) }

// run plays one random history and returns the first violation.
// Races tells whether two bundles with one version are approved at times.
func run(choose func(n int) int, races bool, build func(seed uint64) process) (err error) {
	defer func() {
		if v, ok := recover().(btassert.Violation); ok {
			err = v
		}
	}()
	f := &fleet{choose: choose, build: build, races: races, now: start, genuine: map[btbundle.Digest]bool{}}
	for range 3 + choose(3) {
		f.processes = append(f.processes, nil)
		f.parts = append(f.parts, 0)
	}
	f.stranger = signed(version(chaosSteps, "stranger"), keyPair(1))
	f.publish()
	for i := range f.processes {
		f.restart(i)
	}
	for range chaosSteps {
		f.disturb()
		f.step()
	}
	return f.heal()
}

// heal ends every fault but the liar, and checks that all end with one bundle,
// no lower than any that a process or the service has now. It may be higher:
// the only copy of a bundle may be on its way, or held by a process that starts.
func (f *fleet) heal() error {
	f.healed = true
	clear(f.parts)
	least := f.highest()
	for range healedSteps {
		f.step()
	}
	expected := f.highest()
	if f.err == nil && expected.Compare(least) < 0 {
		f.err = fmt.Errorf("%w: version %d is lost", errDiverged, least.Version)
	}
	for i, p := range f.processes {
		if f.err == nil && p.InForce().Revision() != expected {
			f.err = fmt.Errorf("%w: process %d has version %d", errDiverged, i, p.InForce().Revision().Version)
		}
	}
	return f.err
}

// highest returns the highest order that the service or a process has.
func (f *fleet) highest() btbundle.Revision {
	parsed, _ := btbundle.ParseSigned(f.published[len(f.published)-1])
	best := btbundle.Revision{Version: f.versionOf(parsed.Document), Digest: btbundle.DigestOf(parsed.Document)}
	for _, p := range f.processes {
		if p.InForce().Revision().Compare(best) > 0 {
			best = p.InForce().Revision()
		}
	}
	return best
}

func (f *fleet) versionOf(document []byte) btid.BundleVersion {
	b, _ := btbundle.Decode(document)
	return b.Version
}

// publish puts a newer approved bundle into the service, or a second one with
// the newest version.
func (f *fleet) publish() {
	if f.top == 0 || !f.races || f.choose(2) == 0 {
		f.top++
	}
	document := version(f.top, fmt.Sprint(len(f.published)))
	f.genuine[btbundle.DigestOf(document)] = true
	f.published = append(f.published, signed(document, keyPair(0)))
}

func (f *fleet) restart(i int) {
	f.processes[i] = f.build(uint64(i + 1))
	var peers []btbundle.Peer
	for j := range f.processes {
		if j != i {
			peers = append(peers, name(j))
		}
	}
	f.apply(i, btbundle.Started{Peers: peers})
}

// disturb brings about at most one fault.
func (f *fleet) disturb() {
	i := f.choose(len(f.processes))
	switch f.choose(24) {
	case 0:
		f.publish()
	case 1:
		f.restart(i)
	case 2:
		f.parts[i] = f.choose(2)
	case 3:
		f.apply(i, btbundle.Received{Raw: f.forged(), Source: btbundle.Source{Peer: name(f.choose(len(f.processes)))}})
	case 4:
		f.apply(i, btbundle.Received{Raw: f.forged()})
	}
}

// forged returns bytes that no approver signed as they stand.
func (f *fleet) forged() []byte {
	switch f.choose(4) {
	case 0:
		return f.stranger
	case 1:
		return version(f.top+5, "unsigned")
	case 2:
		genuine := f.published[f.choose(len(f.published))]
		return genuine[:len(genuine)-f.choose(len(genuine))-1]
	default:
		tampered := slices.Clone(f.published[f.choose(len(f.published))])
		tampered[f.choose(len(tampered))] ^= 1
		return tampered
	}
}

// step lets a quarter of a second pass.
func (f *fleet) step() {
	f.now = f.now.Add(stepTime)
	due := f.queue
	f.queue = nil
	for _, d := range due {
		if d.due.After(f.now) {
			f.queue = append(f.queue, d)
		} else {
			d.run()
		}
	}
	for i := range f.processes {
		f.apply(i, btbundle.Tick{})
		f.heartbeat(i)
	}
	f.readService(0)
	f.readService(1)
}

func (f *fleet) heartbeat(i int) {
	order := f.processes[i].InForce().Revision()
	to := f.choose(len(f.processes))
	f.send(i, to, func() {
		f.apply(to, btbundle.Announced{Version: order.Version, Digest: order.Digest, From: name(i)})
	})
	if f.choose(4) == 0 {
		lie := btbundle.DigestOf([]byte{byte(f.choose(4))})
		f.apply(to, btbundle.Announced{Version: liarsVersion, Digest: lie, From: liar})
	}
}

// readService gives a reader the newest value, or in bad times an old one or
// none.
func (f *fleet) readService(i int) {
	newest := len(f.published) - 1
	if f.healed {
		f.apply(i, btbundle.Received{Raw: f.published[newest]})
		return
	}
	if f.choose(4) == 0 {
		f.apply(i, btbundle.Received{Raw: f.published[max(newest-f.choose(3), 0)]})
	}
}

func (f *fleet) send(from, to int, run func()) {
	if f.healed {
		f.queue = append(f.queue, delivery{due: f.now, run: run})
		return
	}
	if f.parts[from] != f.parts[to] || f.choose(100) < lossPercent {
		return
	}
	for range 1 + f.choose(5)/4 {
		delay := time.Duration(f.choose(8)) * stepTime
		f.queue = append(f.queue, delivery{due: f.now.Add(delay), run: run})
	}
}

func (f *fleet) apply(i int, event btbundle.RegisterEvent) {
	before := f.processes[i].InForce().Revision()
	for _, effect := range f.processes[i].Step(f.now, event) {
		switch e := effect.(type) {
		case btbundle.InForce:
			f.judge(before, e)
		case btbundle.Fetch:
			f.fetch(i, e)
		}
	}
}

func (f *fleet) judge(before btbundle.Revision, e btbundle.InForce) {
	switch {
	case f.err != nil:
	case e.Approved.Revision().Compare(before) <= 0:
		f.err = errReverted
	case !f.genuine[e.Approved.Digest]:
		f.err = errForged
	}
}

func (f *fleet) fetch(i int, e btbundle.Fetch) {
	if e.From == liar {
		f.lie(i, e)
		return
	}
	var peer int
	_, _ = fmt.Sscanf(string(e.From), "agent/t%d", &peer)
	f.send(i, peer, func() {
		current := f.processes[peer].InForce()
		if current == nil {
			f.apply(i, btbundle.FetchFailed{From: e.From, Requested: e.Revision()})
			return
		}
		f.send(peer, i, func() {
			f.apply(i, btbundle.Received{Raw: current.Raw, Source: btbundle.Source{Peer: e.From}, Requested: e.Revision()})
		})
	})
}

// lie answers a fetch with forged bytes, an old bundle, an error or nothing.
func (f *fleet) lie(i int, e btbundle.Fetch) {
	answer := btbundle.Received{Raw: f.forged(), Source: btbundle.Source{Peer: liar}, Requested: e.Revision()}
	switch f.choose(4) {
	case 0:
		return
	case 1:
		f.queue = append(f.queue, delivery{due: f.now, run: func() {
			f.apply(i, btbundle.FetchFailed{From: liar, Requested: e.Revision()})
		}})
		return
	case 2:
		answer.Raw = f.published[0]
	}
	f.queue = append(f.queue, delivery{due: f.now, run: func() { f.apply(i, answer) }})
}

func buildRegister(seed uint64) process { return newRegister(seed) }

// drawn is how many of a history's choices rapid draws, and so can shrink; the
// ones after come from a seed.
const drawn = 2000

func TestRegisterRandomised(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choices := rapid.SliceOfN(rapid.Uint16(), drawn, drawn).Draw(rt, "choices")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 3))
		choose := func(n int) int {
			if len(choices) == 0 {
				return random.IntN(n)
			}
			next := int(choices[0])
			choices = choices[1:]
			return next % n
		}
		assert.NilError(rt, run(choose, true, buildRegister))
	})
}

// seeds is how many histories each rule is run over beside rapid's.
const seeds = 12

func runSeeds(races bool, build func(seed uint64) process) map[error]int {
	found := map[error]int{}
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 2))
		err := run(random.IntN, races, build)
		if err == nil {
			continue
		}
		found[kindOf(err)]++
	}
	return found
}

// kindOf returns the fault that the error tells of, or the error itself.
func kindOf(err error) error {
	for _, known := range []error{errReverted, errDiverged, errForged} {
		if errors.Is(err, known) {
			return known
		}
	}
	return err
}

func TestRulesOverOneSetOfHistories(t *testing.T) {
	build := func(accepts func(current, offered *btbundle.Approved, source btbundle.Source) bool) func(uint64) process {
		verified := map[string]*btbundle.Approved{}
		return func(uint64) process { return &naive{accepts: accepts, verified: verified} }
	}
	believing := runSeeds(true, build(believesService))
	assert.Assert(t, believing[errReverted] > 0, "the run must find that the service's word reverts: %v", believing)
	byVersion := runSeeds(true, build(versionOnly))
	assert.Assert(t, byVersion[errDiverged] > 0, "the run must find that equal versions diverge: %v", byVersion)
	unraced := runSeeds(false, build(versionOnly))
	assert.Equal(t, unraced[errDiverged], 0, "without races it must be the race alone that diverges: %v", unraced)
	chosen := runSeeds(true, buildRegister)
	assert.Equal(t, len(chosen), 0, "%v", chosen)
	t.Logf("histories violated of %d: service's word %v, version only %v, chosen %v", seeds, believing, byVersion, chosen)
}
