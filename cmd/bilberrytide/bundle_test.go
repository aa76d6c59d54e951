package main_test

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btstandin"
	"bilberrytide/io/btstandin/btfleet"
)

// signedVersion makes a signed bundle. Different labels give different bundles of one
// version.
func (s *scenarioRun) signedVersion(number btid.BundleVersion, label int) btfleet.File {
	s.Helper()
	file, err := s.Version(number, func(b *btbundle.Bundle) { b.Retry.MaxAttempts += label })
	assert.NilError(s, err)
	return file
}

func (s *scenarioRun) publish(f btfleet.File) {
	s.Helper()
	assert.NilError(s, s.Publish(s.ctx, f.Raw))
}

func (s *scenarioRun) waitInForce(f btfleet.File) {
	s.Helper()
	assert.NilError(s, s.UntilInForce(s.ctx, f.Revision, s.ProductProcesses()...))
}

func (s *scenarioRun) setPlatformFault(mode btstandin.PlatformMode, age time.Duration) {
	s.Helper()
	fault := btstandin.PlatformFault{Mode: mode, Age: btbundle.Duration{Duration: age}}
	assert.NilError(s, s.FailPlatform(s.ctx, fault))
}

// killAndRestart kills a process and restarts it without its state. It returns how
// many versions the process had put in force before.
func (s *scenarioRun) killAndRestart(name string) int {
	s.Helper()
	assert.NilError(s, s.Process(name).Kill())
	before := len(s.history(name))
	assert.NilError(s, s.Restart(name))
	return before
}

func (s *scenarioRun) history(name string) []btid.BundleVersion {
	s.Helper()
	versions, err := s.History(name)
	assert.NilError(s, err)
	return versions
}

// faultyPlatform rolls out bundles while the configuration service returns an old
// value or is down.
func faultyPlatform(s *scenarioRun) {
	first := time.Now()
	second := s.signedVersion(2, 0)
	s.publish(second)
	s.waitInForce(second)
	// When the service returns the first version again, neither running nor
	// restarted processes may go back to it.
	s.setPlatformFault(btstandin.PlatformStale, time.Since(first))
	for _, name := range []string{btfleet.Agent("plain-1"), "entry-2"} {
		lived := s.killAndRestart(name)
		assert.NilError(s, s.UntilInForce(s.ctx, second.Revision, name))
		assert.DeepEqual(s, s.history(name)[lived:], []btid.BundleVersion{2})
	}
	s.waitInForce(second)
	third := s.signedVersion(3, 0)
	s.rolloutByPeers(third)
	s.restartWithoutPlatform(third)
	for _, name := range s.ProductProcesses() {
		if name != btfleet.Agent("plain-1") && name != btfleet.Agent("plain-2") && name != "entry-2" {
			assert.DeepEqual(s, s.history(name), []btid.BundleVersion{1, 2, 3})
		}
	}
}

// rolloutByPeers lets only one entry read a new bundle from the service. All other
// processes are frozen until the service is down, so that they can get the bundle
// from peers only.
func (s *scenarioRun) rolloutByPeers(file btfleet.File) {
	s.Helper()
	s.setPlatformFault(btstandin.PlatformDown, 0)
	others := slices.DeleteFunc(s.ProductProcesses(), func(name string) bool { return name == "entry-1" })
	for _, name := range others {
		assert.NilError(s, s.Process(name).Freeze())
	}
	s.setPlatformFault(btstandin.PlatformHealthy, 0)
	s.publish(file)
	assert.NilError(s, s.UntilInForce(s.ctx, file.Revision, "entry-1"))
	s.setPlatformFault(btstandin.PlatformDown, 0)
	for _, name := range others {
		assert.NilError(s, s.Process(name).Thaw())
	}
	s.waitInForce(file)
}

// restartWithoutPlatform restarts an agent while the service is down. The other
// targets keep serving, and the agent must not put an older bundle in force.
func (s *scenarioRun) restartWithoutPlatform(file btfleet.File) {
	s.Helper()
	agent := btfleet.Agent("plain-2")
	lived := s.killAndRestart(agent)
	for i := range workers {
		call := btfleet.Call{Path: "/status", Body: fmt.Sprintf("without the platform %d", i)}
		s.waitUntil("a call done", func() error { return checkDone(s.call("entry-1", call)) })
	}
	s.setPlatformFault(btstandin.PlatformHealthy, 0)
	s.waitInForce(file)
	assert.DeepEqual(s, s.history(agent)[lived:], []btid.BundleVersion{file.Revision.Version})
}

// conflictingBundles publishes two approved bundles of one version in both orders,
// then two without a valid approval.
func conflictingBundles(s *scenarioRun) {
	for i, order := range [][2]int{{0, 1}, {1, 0}} {
		number := btid.BundleVersion(2 + i)
		pair := []btfleet.File{s.signedVersion(number, 1), s.signedVersion(number, 2)}
		slices.SortFunc(pair, func(a, b btfleet.File) int { return a.Revision.Compare(b.Revision) })
		before := s.sumCounter("bundle.conflicts")
		s.publish(pair[order[0]])
		assert.NilError(s, s.UntilInForce(s.ctx, pair[order[0]].Revision, "entry-1"))
		s.publish(pair[order[1]])
		s.waitCounter("bundle.conflicts", before)
		s.waitInForce(pair[1])
	}
	inForce := s.signedVersion(4, 0)
	s.publish(inForce)
	s.waitInForce(inForce)
	refused := btmetric.PrefixRefused + string(btbundle.ReasonSignature)
	forged, err := s.Forged(5)
	assert.NilError(s, err)
	tampered := s.signedVersion(5, 0)
	tampered.Raw = bytes.Replace(tampered.Raw, []byte("max_attempts = 3"), []byte("max_attempts = 9"), 1)
	for _, file := range []btfleet.File{forged, tampered} {
		before := s.sumCounter(refused)
		s.publish(file)
		s.waitCounter(refused, before)
		s.waitInForce(inForce)
	}
	next := s.signedVersion(5, 0)
	s.publish(next)
	s.waitInForce(next)
	for _, name := range s.ProductProcesses() {
		assert.Check(s, slices.IsSorted(s.history(name)), "%s went back: %v", name, s.history(name))
	}
}

// sumCounter returns the sum of a counter over all product processes.
func (s *scenarioRun) sumCounter(counter string) int64 {
	s.Helper()
	var sum int64
	for _, name := range s.ProductProcesses() {
		count, err := s.Counter(name, counter)
		assert.NilError(s, err)
		sum += count
	}
	return sum
}

// waitCounter waits until the sum of a counter exceeds before.
func (s *scenarioRun) waitCounter(counter string, before int64) {
	s.Helper()
	s.waitUntil(counter, func() error {
		if now := s.sumCounter(counter); now <= before {
			return fmt.Errorf("%d as before", now)
		}
		return nil
	})
}
