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

// version makes a signed bundle. The label sets those of one version apart.
func (s *stage) version(number btid.BundleVersion, label int) btfleet.File {
	s.Helper()
	file, err := s.Version(number, func(b *btbundle.Bundle) { b.Retry.MaxAttempts += label })
	assert.NilError(s, err)
	return file
}

func (s *stage) publish(f btfleet.File) {
	s.Helper()
	assert.NilError(s, s.Publish(s.ctx, f.Raw))
}

func (s *stage) everywhere(f btfleet.File) {
	s.Helper()
	assert.NilError(s, s.UntilInForce(s.ctx, f.Revision, s.ProductProcesses()...))
}

func (s *stage) platform(mode btstandin.PlatformMode, age time.Duration) {
	s.Helper()
	fault := btstandin.PlatformFault{Mode: mode, Age: btbundle.Duration{Duration: age}}
	assert.NilError(s, s.FailPlatform(s.ctx, fault))
}

// restart kills a process and starts it with nothing. It returns how many
// versions its earlier lives put in force.
func (s *stage) restart(name string) int {
	s.Helper()
	assert.NilError(s, s.Process(name).Kill())
	before := len(s.history(name))
	assert.NilError(s, s.Restart(name))
	return before
}

func (s *stage) history(name string) []btid.BundleVersion {
	s.Helper()
	versions, err := s.History(name)
	assert.NilError(s, err)
	return versions
}

// unsoundPlatform rolls out while the service shows an old value or nothing.
func unsoundPlatform(s *stage) {
	first := time.Now()
	second := s.version(2, 0)
	s.publish(second)
	s.everywhere(second)
	// A service that shows the first version again takes nobody back, neither
	// who runs nor who restarts.
	s.platform(btstandin.PlatformStale, time.Since(first))
	for _, name := range []string{btfleet.Agent("plain-1"), "entry-2"} {
		lived := s.restart(name)
		assert.NilError(s, s.UntilInForce(s.ctx, second.Revision, name))
		assert.DeepEqual(s, s.history(name)[lived:], []btid.BundleVersion{2})
	}
	s.everywhere(second)
	third := s.version(3, 0)
	s.rolloutByPeers(third)
	s.restartWithoutPlatform(third)
	for _, name := range s.ProductProcesses() {
		if name != btfleet.Agent("plain-1") && name != btfleet.Agent("plain-2") && name != "entry-2" {
			assert.DeepEqual(s, s.history(name), []btid.BundleVersion{1, 2, 3})
		}
	}
}

// rolloutByPeers lets one entry alone read a new bundle. All others sleep until
// the service is down, so that they can hear of it from peers only.
func (s *stage) rolloutByPeers(file btfleet.File) {
	s.Helper()
	s.platform(btstandin.PlatformDown, 0)
	others := slices.DeleteFunc(s.ProductProcesses(), func(name string) bool { return name == "entry-1" })
	for _, name := range others {
		assert.NilError(s, s.Process(name).Freeze())
	}
	s.platform(btstandin.PlatformHealthy, 0)
	s.publish(file)
	assert.NilError(s, s.UntilInForce(s.ctx, file.Revision, "entry-1"))
	s.platform(btstandin.PlatformDown, 0)
	for _, name := range others {
		assert.NilError(s, s.Process(name).Thaw())
	}
	s.everywhere(file)
}

// restartWithoutPlatform restarts an agent while the service is down: the
// others serve, and it comes back with nothing older than what was in force.
func (s *stage) restartWithoutPlatform(file btfleet.File) {
	s.Helper()
	agent := btfleet.Agent("plain-2")
	lived := s.restart(agent)
	for i := range workers {
		call := btfleet.Call{Path: "/status", Body: fmt.Sprintf("without the platform %d", i)}
		s.until("a call done", func() error { return wantDone(s.call("entry-1", call)) })
	}
	s.platform(btstandin.PlatformHealthy, 0)
	s.everywhere(file)
	assert.DeepEqual(s, s.history(agent)[lived:], []btid.BundleVersion{file.Revision.Version})
}

// racingBundles publishes two approved bundles of one version in both orders,
// then two that nobody approved.
func racingBundles(s *stage) {
	for i, order := range [][2]int{{0, 1}, {1, 0}} {
		number := btid.BundleVersion(2 + i)
		pair := []btfleet.File{s.version(number, 1), s.version(number, 2)}
		slices.SortFunc(pair, func(a, b btfleet.File) int { return a.Revision.Compare(b.Revision) })
		before := s.sum("bundle.conflicts")
		s.publish(pair[order[0]])
		assert.NilError(s, s.UntilInForce(s.ctx, pair[order[0]].Revision, "entry-1"))
		s.publish(pair[order[1]])
		s.counted("bundle.conflicts", before)
		s.everywhere(pair[1])
	}
	inForce := s.version(4, 0)
	s.publish(inForce)
	s.everywhere(inForce)
	refused := btmetric.PrefixRefused + string(btbundle.ReasonSignature)
	forged, err := s.Forged(5)
	assert.NilError(s, err)
	tampered := s.version(5, 0)
	tampered.Raw = bytes.Replace(tampered.Raw, []byte("max_attempts = 3"), []byte("max_attempts = 9"), 1)
	for _, file := range []btfleet.File{forged, tampered} {
		before := s.sum(refused)
		s.publish(file)
		s.counted(refused, before)
		s.everywhere(inForce)
	}
	next := s.version(5, 0)
	s.publish(next)
	s.everywhere(next)
	for _, name := range s.ProductProcesses() {
		assert.Check(s, slices.IsSorted(s.history(name)), "%s went back: %v", name, s.history(name))
	}
}

// sum adds up a counter of all processes.
func (s *stage) sum(counter string) int64 {
	s.Helper()
	var sum int64
	for _, name := range s.ProductProcesses() {
		count, err := s.Counter(name, counter)
		assert.NilError(s, err)
		sum += count
	}
	return sum
}

// counted waits until a counter of any process has gone up.
func (s *stage) counted(counter string, before int64) {
	s.Helper()
	s.until(counter, func() error {
		if now := s.sum(counter); now <= before {
			return fmt.Errorf("%d as before", now)
		}
		return nil
	})
}
