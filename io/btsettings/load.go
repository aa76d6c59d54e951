package btsettings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"bilberrytide/core/btbundle/bttoml"
	"bilberrytide/core/btid"
	"bilberrytide/io/btkeys"
)

// ErrRead is wrapped if the settings file can't be read.
var ErrRead = errors.New("settings file can't be read")

// ErrTLSFile is wrapped if a file that the tls table names can't be read.
var ErrTLSFile = errors.New("file of the tls table can't be read")

// Error lists all problems of a settings file.
type Error struct {
	File     string          `json:"file"`
	Problems bttoml.Problems `json:"problems"`
}

// Error returns one line for each problem: "file: line 7: key: text".
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = e.File + ": " + p.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems.
func (e *Error) Unwrap() error { return e.Problems }

// LoadEntry reads and checks an entry's settings file. The error wraps ErrRead or is an
// *Error with all problems.
func LoadEntry(path string) (*Entry, error) {
	s := DefaultEntry()
	if err := load(path, &s, s.check); err != nil {
		return nil, err
	}
	s.TLS.resolvePaths(path)
	return &s, nil
}

// LoadAgent reads and checks an agent's settings file. The error wraps ErrRead or is an
// *Error with all problems.
func LoadAgent(path string) (*Agent, error) {
	s := DefaultAgent()
	if err := load(path, &s, s.check); err != nil {
		return nil, err
	}
	s.TLS.resolvePaths(path)
	return &s, nil
}

// load decodes the file into settings. It checks the settings only if decoding found no
// problem other than unknown keys.
func load(path string, settings any, check func(c *bttoml.Checker)) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRead, err)
	}
	positions, problems := bttoml.Decode(data, settings)
	if problems.OnlyUnknownKeys() {
		c := bttoml.NewChecker(positions)
		requireKeys(c, settings)
		check(c)
		problems = append(problems, c.Problems()...)
	}
	var listed bttoml.Problems
	if errors.As(problems.Err(), &listed) {
		return &Error{File: path, Problems: listed}
	}
	return nil
}

func (s *Entry) check(c *bttoml.Checker) {
	c.Require(s.BalancerLag.Duration >= 0, "balancer_lag", "must not be negative")
	s.Tables.check(c)
	sameAddress := s.Status.Listen == s.Listen && s.Listen.Port() != 0
	c.Require(!sameAddress, "status.listen", "%s is already listen", s.Status.Listen)
}

func (t *Tables) check(c *bttoml.Checker) {
	t.Platform.check(c)
	checkPeers(c, t.Peers)
	checkApprovers(c, t.Approvers.Validate())
	t.Log.check(c)
	t.Status.check(c)
	t.Limits.check(c)
}

func checkPeers(c *bttoml.Checker, peers []Peer) {
	for i, p := range peers {
		key := fmt.Sprintf("peers[%d]", i)
		identity, err := btkeys.ParseIdentity(p.Name)
		isEntry := err == nil && identity.Role == btkeys.Entry
		c.Require(isEntry, key+".name", "%q is no entry's identity: entry/<name>", p.Name)
		hasAddress := p.Address.IsValid() && p.Address.Port() != 0
		c.Require(hasAddress, key+".address", "needs an ip:port with a port over 0")
	}
}

func checkApprovers(c *bttoml.Checker, err error) {
	if err != nil {
		c.Require(false, "approvers", "%v", err)
	}
}

func (p *Platform) check(c *bttoml.Checker) {
	if p.Address.IsValid() {
		c.Require(p.Address.Port() != 0, "platform.address", "%s needs a port over 0", p.Address)
	}
	err := btid.CheckName(p.BundleKey)
	c.Require(err == nil, "platform.bundle_key", "%v", err)
}

func (l *Log) check(c *bttoml.Checker) {
	known := l.Format == Text || l.Format == JSON
	c.Require(known, "log.format", "%q must be %q or %q", l.Format, Text, JSON)
}

// Limits below these leave a process no room to work.
const (
	minMemoryMB    = 32
	minDescriptors = 64
)

func (l *Limits) check(c *bttoml.Checker) {
	c.Require(l.MemoryMB >= minMemoryMB, "limits.memory_mb", "must be at least %d", minMemoryMB)
	c.Require(l.Descriptors >= minDescriptors, "limits.descriptors", "must be at least %d", minDescriptors)
}

func (s *Status) check(c *bttoml.Checker) {
	c.Require(s.Listen.Addr().IsLoopback(), "status.listen", "%s is not on loopback: it tells of client accounts and takes no key", s.Listen)
}

// resolvePaths makes relative paths relative to the settings file's directory.
func (t *TLS) resolvePaths(path string) {
	for _, file := range []*string{&t.CA, &t.Cert, &t.Key} {
		if *file != "" && !filepath.IsAbs(*file) {
			*file = filepath.Join(filepath.Dir(path), *file)
		}
	}
}

// CheckFiles returns an error that wraps ErrTLSFile and names the keys of all files that
// can't be read.
func (t *TLS) CheckFiles() error {
	return errors.Join(
		checkFile("tls.ca", t.CA),
		checkFile("tls.cert", t.Cert),
		checkFile("tls.key", t.Key),
	)
}

func checkFile(key, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrTLSFile, key, err)
	}
	return f.Close()
}
