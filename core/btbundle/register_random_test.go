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

// process is a register or a naive implementation.
type process interface {
	btcore.Machine[btbundle.RegisterEvent, btbundle.RegisterEffect]
	InForce() *btbundle.Approved
}

const (
	stepTime      = 250 * time.Millisecond
	faultSteps    = 80
	recoverySteps = 260
	byzantinePeer = btbundle.Peer("entry/liar")
	lossPercent   = 25
)

var (
	errReverted      = errors.New("a bundle in force was replaced by one that isn't higher")
	errDiverged      = errors.New("the fleet didn't converge")
	errForged        = errors.New("a bundle that nobody approved is in force")
	byzantineVersion = btid.BundleVersion(1 << 40)
)

// fleet simulates processes over a network that loses, delays, duplicates and
// reorders messages, with a configuration service that may be down or stale and
// one byzantine peer. Every choice comes from choose, which returns 0 to n-1.
type fleet struct {
	choose     func(n int) int
	newProcess func(seed uint64) process
	conflicts  bool
	now        time.Time
	processes  []process
	partitions []int
	queue      []delivery
	published  [][]byte
	approved   map[btbundle.Digest]bool
	// unknownSigner is a bundle signed with a key that belongs to no approver.
	unknownSigner []byte
	topVersion    int
	healed        bool
	err           error
}

type delivery struct {
	due time.Time
	run func()
}

func name(i int) btbundle.Peer { return btbundle.Peer(fmt.Sprintf("agent/t%d", i)) }

// runHistory simulates one random history and returns the first violation. If
// conflicts is set, two bundles with the same version are approved at times.
func runHistory(choose func(n int) int, conflicts bool, build func(seed uint64) process) (err error) {
	defer func() {
		if v, ok := recover().(btassert.Violation); ok {
			err = v
		}
	}()
	f := &fleet{choose: choose, newProcess: build, conflicts: conflicts, now: start, approved: map[btbundle.Digest]bool{}}
	for range 3 + choose(3) {
		f.processes = append(f.processes, nil)
		f.partitions = append(f.partitions, 0)
	}
	f.unknownSigner = signed(version(faultSteps, "unknown"), keyPair(1))
	f.publish()
	for i := range f.processes {
		f.restart(i)
	}
	for range faultSteps {
		f.injectFault()
		f.step()
	}
	return f.heal()
}

// heal ends every fault but the byzantine peer, and checks that all processes
// converge on one bundle. Its revision must not be lower than any that a
// process or the service has when the faults end. It may be higher: the only
// copy of a bundle may be in flight, or held by a process that is starting.
func (f *fleet) heal() error {
	f.healed = true
	clear(f.partitions)
	minimum := f.highest()
	for range recoverySteps {
		f.step()
	}
	expected := f.highest()
	if f.err == nil && expected.Compare(minimum) < 0 {
		f.err = fmt.Errorf("%w: version %d is lost", errDiverged, minimum.Version)
	}
	for i, p := range f.processes {
		if f.err == nil && p.InForce().Revision() != expected {
			f.err = fmt.Errorf("%w: process %d has version %d", errDiverged, i, p.InForce().Revision().Version)
		}
	}
	return f.err
}

// highest returns the highest revision that the service or a process has.
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

// publish puts an approved bundle with a new version into the service, or a
// second bundle with the newest version.
func (f *fleet) publish() {
	if f.topVersion == 0 || !f.conflicts || f.choose(2) == 0 {
		f.topVersion++
	}
	document := version(f.topVersion, fmt.Sprint(len(f.published)))
	f.approved[btbundle.DigestOf(document)] = true
	f.published = append(f.published, signed(document, keyPair(0)))
}

func (f *fleet) restart(i int) {
	f.processes[i] = f.newProcess(uint64(i + 1))
	var peers []btbundle.Peer
	for j := range f.processes {
		if j != i {
			peers = append(peers, name(j))
		}
	}
	f.apply(i, btbundle.Started{Peers: peers})
}

// injectFault causes at most one fault.
func (f *fleet) injectFault() {
	i := f.choose(len(f.processes))
	switch f.choose(24) {
	case 0:
		f.publish()
	case 1:
		f.restart(i)
	case 2:
		f.partitions[i] = f.choose(2)
	case 3:
		f.apply(i, btbundle.Received{Raw: f.forged(), Source: btbundle.Source{Peer: name(f.choose(len(f.processes)))}})
	case 4:
		f.apply(i, btbundle.Received{Raw: f.forged()})
	}
}

// forged returns a file that no approver signed in this form.
func (f *fleet) forged() []byte {
	switch f.choose(4) {
	case 0:
		return f.unknownSigner
	case 1:
		return version(f.topVersion+5, "unsigned")
	case 2:
		genuine := f.published[f.choose(len(f.published))]
		return genuine[:len(genuine)-f.choose(len(genuine))-1]
	default:
		tampered := slices.Clone(f.published[f.choose(len(f.published))])
		tampered[f.choose(len(tampered))] ^= 1
		return tampered
	}
}

// step advances the time by stepTime.
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
	revision := f.processes[i].InForce().Revision()
	to := f.choose(len(f.processes))
	f.send(i, to, func() {
		f.apply(to, btbundle.Announced{Version: revision.Version, Digest: revision.Digest, From: name(i)})
	})
	if f.choose(4) == 0 {
		digest := btbundle.DigestOf([]byte{byte(f.choose(4))})
		f.apply(to, btbundle.Announced{Version: byzantineVersion, Digest: digest, From: byzantinePeer})
	}
}

// readService gives a process the service's newest value; before the faults end
// it gives an older value or none at times.
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
	if f.partitions[from] != f.partitions[to] || f.choose(100) < lossPercent {
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
			f.checkInstalled(before, e)
		case btbundle.Fetch:
			f.fetch(i, e)
		}
	}
}

// checkInstalled records a violation if the installed bundle isn't higher than
// the one before or wasn't approved.
func (f *fleet) checkInstalled(before btbundle.Revision, e btbundle.InForce) {
	switch {
	case f.err != nil:
	case e.Approved.Revision().Compare(before) <= 0:
		f.err = errReverted
	case !f.approved[e.Approved.Digest]:
		f.err = errForged
	}
}

func (f *fleet) fetch(i int, e btbundle.Fetch) {
	if e.From == byzantinePeer {
		f.answerFalsely(i, e)
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

// answerFalsely answers a fetch with forged bytes, an old bundle, an error or
// nothing.
func (f *fleet) answerFalsely(i int, e btbundle.Fetch) {
	answer := btbundle.Received{Raw: f.forged(), Source: btbundle.Source{Peer: byzantinePeer}, Requested: e.Revision()}
	switch f.choose(4) {
	case 0:
		return
	case 1:
		f.queue = append(f.queue, delivery{due: f.now, run: func() {
			f.apply(i, btbundle.FetchFailed{From: byzantinePeer, Requested: e.Revision()})
		}})
		return
	case 2:
		answer.Raw = f.published[0]
	}
	f.queue = append(f.queue, delivery{due: f.now, run: func() { f.apply(i, answer) }})
}

func buildRegister(seed uint64) process { return newRegister(seed) }

// rapidChoices is how many of a history's choices rapid draws and can shrink;
// the later ones come from a seed.
const rapidChoices = 2000

// TestRegisterRandomised guards against registers that replace a bundle by a
// lower one, install one that wasn't approved, or don't converge after faults.
func TestRegisterRandomised(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choices := rapid.SliceOfN(rapid.Uint16(), rapidChoices, rapidChoices).Draw(rt, "choices")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 3))
		choose := func(n int) int {
			if len(choices) == 0 {
				return random.IntN(n)
			}
			next := int(choices[0])
			choices = choices[1:]
			return next % n
		}
		assert.NilError(rt, runHistory(choose, true, buildRegister))
	})
}

// seeds is the number of histories over which each rule is run, besides those
// of rapid.
const seeds = 12

func runSeeds(conflicts bool, build func(seed uint64) process) map[error]int {
	found := map[error]int{}
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 2))
		err := runHistory(random.IntN, conflicts, build)
		if err == nil {
			continue
		}
		found[violationOf(err)]++
	}
	return found
}

// violationOf returns the known violation that the error wraps, or the error
// itself.
func violationOf(err error) error {
	for _, known := range []error{errReverted, errDiverged, errForged} {
		if errors.Is(err, known) {
			return known
		}
	}
	return err
}

// TestInstallRulesOverRandomHistories checks that the histories reveal the
// faults of simpler rules: trusting the service's value reverts processes to
// older bundles, and comparing versions alone lets two bundles with the same
// version divide the fleet. The register must pass the same histories.
func TestInstallRulesOverRandomHistories(t *testing.T) {
	build := func(accepts func(current, offered *btbundle.Approved, source btbundle.Source) bool) func(uint64) process {
		verified := map[string]*btbundle.Approved{}
		return func(uint64) process { return &naive{accepts: accepts, verified: verified} }
	}
	trusting := runSeeds(true, build(trustService))
	assert.Assert(t, trusting[errReverted] > 0, "the histories must show that trusting the service reverts bundles: %v", trusting)
	byVersion := runSeeds(true, build(compareVersions))
	assert.Assert(t, byVersion[errDiverged] > 0, "the histories must show that equal versions diverge: %v", byVersion)
	withoutConflicts := runSeeds(false, build(compareVersions))
	assert.Equal(t, withoutConflicts[errDiverged], 0, "without conflicts, comparing versions must not diverge: %v", withoutConflicts)
	chosen := runSeeds(true, buildRegister)
	assert.Equal(t, len(chosen), 0, "%v", chosen)
	t.Logf("violations in %d histories: trusting the service %v, comparing versions %v, register %v", seeds, trusting, byVersion, chosen)
}
