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

// MaxConfigBytes is the maximum size of a configuration value.
const MaxConfigBytes = 1 << 20

// DefaultReadsPerSecond is the rate limit of configuration reads by all readers
// together.
const DefaultReadsPerSecond = 2000

// DefaultExpertBytes is the size of one expert's weights if neither the options nor
// the request set it.
const DefaultExpertBytes = 64 << 10

// configHistory is the maximum age of the state that a stale platform can serve.
const configHistory = 24 * time.Hour

// HostState is whether a host stays in the fleet.
type HostState string

const (
	// HostLive is the state of a host in service.
	HostLive HostState = "live"
	// HostLeaving is the state of a host that is about to be removed.
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's host list.
type Host struct {
	Name  btid.Host `json:"name"`
	State HostState `json:"state"`
}

// HostList is the body of GET /v1/hosts and PUT /control/hosts.
type HostList struct {
	Hosts []Host `json:"hosts"`
}

// Validate returns an error that wraps ErrInput for an invalid name or state.
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

// clone returns a copy whose hosts encode as a JSON list even if there are none.
func (l HostList) clone() HostList { return HostList{Hosts: append([]Host{}, l.Hosts...)} }

// PlatformOptions configures a Platform.
type PlatformOptions struct {
	Clock Clock
	// Hosts is the initial host list; HostListLag does not delay it.
	Hosts HostList
	// ReadsPerSecond limits the configuration reads of all readers together; zero
	// means DefaultReadsPerSecond.
	ReadsPerSecond int
	// WeightBytesPerSecond limits the weight store; zero means no limit.
	WeightBytesPerSecond int64
	// ExpertBytes is the size of one expert's weights if a request sets none; zero
	// means DefaultExpertBytes.
	ExpertBytes int64
	// HostListLag is how long readers don't see a change of the host list.
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

// ServeHTTP serves the published protocol and the controls.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// PutHosts replaces the host list; readers see it after the lag. The error
// wraps ErrInput.
func (p *Platform) PutHosts(l HostList) error {
	if err := l.Validate(); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.hosts.set(p.changeTime(), l.clone())
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

// serveHosts answers with the host list of one lag ago.
func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	p.count(func(c *PlatformCounts) { c.HostReads++ })
	if !p.applyFault(w, r) {
		return
	}
	p.mutex.Lock()
	list, _ := p.hosts.atOrFirst(p.visibleTime().Add(-p.lag))
	p.mutex.Unlock()
	writeJSON(w, http.StatusOK, list)
}

// newReadLimiter allows bursts of a tenth of a second's reads, so that no second
// exceeds the rate by more than a tenth.
func newReadLimiter(perSecond int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))
}

// newWeightLimiter allows bursts of a second's bytes.
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
