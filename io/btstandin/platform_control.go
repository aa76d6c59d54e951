package btstandin

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"bilberrytide/core/btbundle"
)

// PlatformMode is the kind of the platform's fault.
type PlatformMode string

const (
	// PlatformHealthy injects no fault.
	PlatformHealthy PlatformMode = "none"
	// PlatformDown answers every read with 503, or closes the connection.
	PlatformDown PlatformMode = "down"
	// PlatformStale answers every read with the state that held
	// PlatformFault.Age before the fault was set.
	PlatformStale PlatformMode = "stale"
	// PlatformSlow delays every read.
	PlatformSlow PlatformMode = "slow"
)

// PlatformFault is the body of PUT /control/fault. It stays in force until it is
// replaced.
type PlatformFault struct {
	Mode PlatformMode `json:"mode"`
	// Delay is the delay of reads in the mode slow.
	Delay btbundle.Duration `json:"delay"`
	// Close makes the mode down close the connection instead of answering 503.
	Close bool `json:"close"`
	// Age is how old the state served in the mode stale is when the fault is set.
	Age btbundle.Duration `json:"age"`
}

// Validate returns an error that wraps ErrInput if the mode is unknown.
func (f PlatformFault) Validate() error {
	switch f.Mode {
	case PlatformHealthy, PlatformDown, PlatformStale, PlatformSlow:
		return nil
	}
	return fmt.Errorf("%w: mode %q is none of none, down, stale, slow", ErrInput, f.Mode)
}

// platformFault is the fault in force and the time whose state the mode stale
// serves.
type platformFault struct {
	PlatformFault
	staleAsOf time.Time
}

// PlatformCounts is the body of GET /control/counts.
type PlatformCounts struct {
	// ConfigReads counts every read and watch, including refused ones.
	ConfigReads uint64 `json:"config_reads"`
	// ConfigRefused counts those answered 429.
	ConfigRefused uint64 `json:"config_refused"`
	HostReads     uint64 `json:"host_reads"`
	// WeightReads counts every read of weights, including refused ones.
	WeightReads uint64 `json:"weight_reads"`
	// WeightRefused counts those answered 429.
	WeightRefused uint64 `json:"weight_refused"`
	// WeightBytes counts the bytes of the reads that the rate limit allowed.
	WeightBytes int64 `json:"weight_bytes"`
}

// Counts returns the numbers of reads so far.
func (p *Platform) Counts() PlatformCounts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counts
}

// SetFault replaces the fault in force and applies it to waiting watches. The error
// wraps ErrInput.
func (p *Platform) SetFault(f PlatformFault) error {
	if err := f.Validate(); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fault = platformFault{PlatformFault: f, staleAsOf: p.clock.Now().Add(-f.Age.Duration)}
	p.notifyChange()
	return nil
}

func (p *Platform) count(add func(c *PlatformCounts)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	add(&p.counts)
}

// applyFault delays a read in the mode slow. In the mode down it answers the read
// and returns false; it also returns false if the client disconnects.
func (p *Platform) applyFault(w http.ResponseWriter, r *http.Request) bool {
	p.mutex.Lock()
	f := p.fault
	p.mutex.Unlock()
	if f.Mode == PlatformSlow && sleep(r.Context(), p.clock, f.Delay.Duration) != nil {
		return false
	}
	if p.down() {
		p.writeDown(w)
		return false
	}
	return true
}

func (p *Platform) down() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fault.Mode == PlatformDown
}

func (p *Platform) writeDown(w http.ResponseWriter) {
	p.mutex.Lock()
	closing := p.fault.Close
	p.mutex.Unlock()
	if closing {
		closeConnection()
	}
	writeRetryAfter(w, http.StatusServiceUnavailable, time.Second, "platform down")
}

// visibleTime returns the time whose state readers see, before HostListLag. The
// mutex must be held.
func (p *Platform) visibleTime() time.Time {
	if p.fault.Mode == PlatformStale {
		return p.fault.staleAsOf
	}
	return p.clock.Now()
}

// changeTime returns the time to record a change at: now, or in the mode stale
// just after staleAsOf if that is not in the past, so that the change stays hidden.
// The mutex must be held.
func (p *Platform) changeTime() time.Time {
	now := p.clock.Now()
	if p.fault.Mode == PlatformStale && !now.After(p.fault.staleAsOf) {
		return p.fault.staleAsOf.Add(time.Nanosecond)
	}
	return now
}

func (p *Platform) controlConfig(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, MaxConfigBytes)
	if !ok {
		return
	}
	revision, err := p.PutConfig(r.PathValue("key"), body)
	if err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return
	}
	w.Header().Set(RevisionHeader, strconv.FormatUint(revision, 10))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) controlHosts(w http.ResponseWriter, r *http.Request) {
	var list HostList
	if readJSON(w, r, &list) {
		finishControl(w, p.PutHosts(list))
	}
}

func (p *Platform) controlFault(w http.ResponseWriter, r *http.Request) {
	var fault PlatformFault
	if readJSON(w, r, &fault) {
		finishControl(w, p.SetFault(fault))
	}
}

func (p *Platform) controlCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Counts())
}

// finishControl answers 204, or 400 with the error.
func finishControl(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
