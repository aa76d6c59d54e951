package btstandin

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bilberrytide/core/btid"
)

// MaxConfigBytes is the largest value that the configuration service holds.
const MaxConfigBytes = 1 << 20

// DefaultReadsPerSecond is the rate of configuration reads over all readers.
const DefaultReadsPerSecond = 2000

// DefaultExpertBytes is the size of one expert's weights where neither the
// options nor the request give one.
const DefaultExpertBytes = 64 << 10

// configHistory is how far back a stale configuration service can answer.
const configHistory = 24 * time.Hour

// HostState tells whether a host stays in the fleet.
type HostState string

const (
	// HostLive is the state of a host in service.
	HostLive HostState = "live"
	// HostLeaving is the state of a host that is about to be taken away.
	HostLeaving HostState = "leaving"
)

// Host is one line of the platform's host list.
type Host struct {
	Name  btid.Host `json:"name"`
	State HostState `json:"state"`
}

// HostList is the body of GET /v1/hosts and PUT /control/hosts.
type HostList struct {
	Hosts []Host `json:"hosts"`
}

// Validate reports a malformed name or state.
func (l HostList) Validate() error {
	for i, h := range l.Hosts {
		if err := btid.CheckName(string(h.Name)); err != nil {
			return fmt.Errorf("%w: hosts[%d].name: %w", ErrInput, i, err)
		}
		if h.State != HostLive && h.State != HostLeaving {
			return fmt.Errorf("%w: hosts[%d].state %q is neither live nor leaving", ErrInput, i, h.State)
		}
	}
	return nil
}

// clone returns a copy whose JSON is a list even where it is empty.
func (l HostList) clone() HostList { return HostList{Hosts: append([]Host{}, l.Hosts...)} }

// PlatformOptions sets up a Platform.
type PlatformOptions struct {
	Clock Clock
	// Hosts is the host list at the start, visible at once.
	Hosts HostList
	// ReadsPerSecond bounds configuration reads over all readers; zero stands
	// for DefaultReadsPerSecond.
	ReadsPerSecond int
	// WeightBytesPerSecond bounds the weight store; zero leaves it unbounded.
	WeightBytesPerSecond int64
	// ExpertBytes is the size of one expert's weights where a request gives
	// none; zero stands for DefaultExpertBytes.
	ExpertBytes int64
	// HostListLag is how long a change of hosts stays invisible.
	HostListLag time.Duration
}

// Platform stands in for the platform: the configuration service, the host list
// and the weight store. It is safe for concurrent use.
type Platform struct {
	clock       Clock
	lag         time.Duration
	expertBytes int64
	reads       *rate.Limiter
	weights     *rate.Limiter
	mux         *http.ServeMux

	mutex   sync.Mutex
	config  map[string]*history[configValue]
	hosts   history[HostList]
	fault   platformFault
	changed chan struct{}
	counts  PlatformCounts
}

var _ http.Handler = (*Platform)(nil)

// NewPlatform returns a platform with no configuration. The error wraps
// ErrOptions or ErrInput.
func NewPlatform(o PlatformOptions) (*Platform, error) {
	if o.Clock == nil || o.ReadsPerSecond < 0 || o.WeightBytesPerSecond < 0 || o.ExpertBytes < 0 || o.HostListLag < 0 {
		return nil, fmt.Errorf("%w: platform needs a clock and no negative number", ErrOptions)
	}
	if err := o.Hosts.Validate(); err != nil {
		return nil, err
	}
	p := &Platform{
		clock:       o.Clock,
		lag:         o.HostListLag,
		expertBytes: orDefault(o.ExpertBytes, DefaultExpertBytes),
		reads:       newReadLimiter(orDefault(o.ReadsPerSecond, DefaultReadsPerSecond)),
		weights:     newWeightLimiter(o.WeightBytesPerSecond),
		config:      make(map[string]*history[configValue]),
		hosts:       history[HostList]{keep: configHistory},
		fault:       platformFault{PlatformFault: PlatformFault{Mode: PlatformHealthy}},
		changed:     make(chan struct{}),
	}
	p.hosts.set(o.Clock.Now(), o.Hosts.clone())
	p.mux = p.routes()
	return p, nil
}

// ServeHTTP answers the published protocol and the controls.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// PutHosts replaces the host list; readers see it after the lag. The error
// wraps ErrInput.
func (p *Platform) PutHosts(l HostList) error {
	if err := l.Validate(); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.hosts.set(p.stamp(), l.clone())
	return nil
}

func (p *Platform) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config/{key}", p.serveConfig)
	mux.HandleFunc("GET /v1/hosts", p.serveHosts)
	mux.HandleFunc("GET /v1/weights/{model}/{layer}/{expert}", p.serveWeights)
	mux.HandleFunc("PUT /control/config/{key}", p.controlConfig)
	mux.HandleFunc("PUT /control/hosts", p.controlHosts)
	mux.HandleFunc("PUT /control/fault", p.controlFault)
	mux.HandleFunc("GET /control/counts", p.controlCounts)
	return mux
}

// serveHosts answers with the host list as it stood before the lag.
func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	p.count(func(c *PlatformCounts) { c.HostReads++ })
	if !p.admit(w, r) {
		return
	}
	p.mutex.Lock()
	list, _ := p.hosts.atOrFirst(p.asOf().Add(-p.lag))
	p.mutex.Unlock()
	writeJSON(w, http.StatusOK, list)
}

// newReadLimiter allows a tenth of a second's reads at once, so that the limit
// binds within any second to a tenth more than the rate.
func newReadLimiter(perSecond int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))
}

// newWeightLimiter allows a second's bytes at once.
func newWeightLimiter(bytesPerSecond int64) *rate.Limiter {
	if bytesPerSecond == 0 {
		return rate.NewLimiter(rate.Inf, math.MaxInt32)
	}
	return rate.NewLimiter(rate.Limit(bytesPerSecond), int(bytesPerSecond))
}

func orDefault[N int | int64 | float64 | time.Duration](n, fallback N) N {
	if n == 0 {
		return fallback
	}
	return n
}
