package btkeys

import (
	"context"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// DefaultWarnBefore is how long before expiry a Source starts to warn.
	DefaultWarnBefore = 21 * 24 * time.Hour
	// DefaultInterval is the interval at which Run reloads the files.
	DefaultInterval = 30 * time.Second

	// MetricDaysLeft is the gauge of whole days until the material expires.
	MetricDaysLeft = "keys.days_left"
	// MetricReloaded counts reloads of changed files.
	MetricReloaded = "keys.reloaded"
	// MetricRefused counts reloads that were refused.
	MetricRefused = "keys.refused"

	day = 24 * time.Hour
)

// Options are a Source's dependencies and settings.
type Options struct {
	Files Files
	// WarnBefore is how long before expiry warnings start; zero means
	// DefaultWarnBefore.
	WarnBefore time.Duration
	// Registry may be nil.
	Registry metrics.Registry
	// Log may be nil.
	Log *slog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Source provides the certificate, key and trusted authorities in force, and reloads them
// from files. It is safe for concurrent use.
type Source struct {
	options  Options
	current  atomic.Pointer[Material]
	reloadMu sync.Mutex
	warnedAt time.Time
	daysLeft metrics.Gauge
	reloaded metrics.Counter
	refused  metrics.Counter
}

// New returns a source after loading its files. The error wraps ErrFiles and names the
// file.
func New(o Options) (*Source, error) {
	o = withDefaults(o)
	s := &Source{
		options:  o,
		daysLeft: metrics.GetOrRegisterGauge(MetricDaysLeft, o.Registry),
		reloaded: metrics.GetOrRegisterCounter(MetricReloaded, o.Registry),
		refused:  metrics.GetOrRegisterCounter(MetricRefused, o.Registry),
	}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	s.warnReadableKey()
	return s, nil
}

func withDefaults(o Options) Options {
	if o.WarnBefore <= 0 {
		o.WarnBefore = DefaultWarnBefore
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Current returns the material in force; it is never nil.
func (s *Source) Current() *Material { return s.current.Load() }

// Identity returns the process's own identity, which never changes.
func (s *Source) Identity() Identity { return s.Current().Identity }

// Reload reads the files, puts all of them in force at once and reports whether they had
// changed. If they can't be used or are for another identity, the earlier material stays
// in force and the error wraps ErrFiles or ErrIdentity.
func (s *Source) Reload() (bool, error) {
	s.reloadMu.Lock()
	defer s.reloadMu.Unlock()
	changed, err := s.reload()
	if err != nil {
		s.refused.Inc(1)
	}
	s.checkExpiry()
	return changed, err
}

func (s *Source) reload() (bool, error) {
	m, err := readMaterial(s.options.Files)
	if err != nil {
		return false, err
	}
	earlier := s.current.Load()
	if earlier == nil {
		m.Generation = 1
		s.current.Store(m)
		return true, nil
	}
	if m.digest == earlier.digest {
		return false, nil
	}
	if m.Identity != earlier.Identity {
		return false, fmt.Errorf("%w: %s is for %s, this process is %s",
			ErrIdentity, s.options.Files.Certificate, m.Identity, earlier.Identity)
	}
	m.Generation = earlier.Generation + 1
	s.current.Store(m)
	s.reloaded.Inc(1)
	s.warnedAt = time.Time{}
	s.options.Log.Info("certificate rotated", "identity", m.Identity.String(),
		"generation", m.Generation, "not_after", m.NotAfter)
	return true, nil
}

// checkExpiry sets the gauge, and warns once a day from Options.WarnBefore before expiry.
func (s *Source) checkExpiry() {
	m := s.current.Load()
	if m == nil {
		return
	}
	now := s.options.Now()
	left := m.NotAfter.Sub(now)
	s.daysLeft.Update(int64(left / day))
	if left > s.options.WarnBefore || now.Sub(s.warnedAt) < day {
		return
	}
	s.warnedAt = now
	s.options.Log.Warn("certificate expires soon", "identity", m.Identity.String(),
		"not_after", m.NotAfter, "left", left.Truncate(time.Second).String())
}

// warnReadableKey warns if other users of the host have access to the private key file.
func (s *Source) warnReadableKey() {
	info, err := os.Stat(s.options.Files.Key)
	if err == nil && info.Mode().Perm()&^modeSecret != 0 {
		s.options.Log.Warn("private key is readable by others", "file", s.options.Files.Key,
			"mode", fs.FileMode.String(info.Mode()))
	}
}

// Run reloads the files at each interval until the context ends, and then returns nil. An
// interval of zero means DefaultInterval.
func (s *Source) Run(ctx context.Context, interval time.Duration) error {
	if interval <= 0 {
		interval = DefaultInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if _, err := s.Reload(); err != nil {
				s.options.Log.Warn("key files refused, earlier ones stay in force", "error", err)
			}
		}
	}
}

// Files returns the paths that the source reads.
func (s *Source) Files() Files { return s.options.Files }
