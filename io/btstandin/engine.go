package btstandin

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"bilberrytide/core/btid"
)

// PriorityHeader carries a request's priority as an integer, zero if absent;
// waiting requests with a higher priority get a slot first.
const PriorityHeader = "X-Priority"

// Defaults of an engine's options.
const (
	DefaultSlots             = 16
	DefaultPrefillRate       = 20000
	DefaultDecodeRate        = 200
	DefaultPrefixCacheBlocks = 1024
)

// controlPrefix is the path prefix of the test controls.
const controlPrefix = "/control/"

// EngineOptions configures an Engine. Slots, rates and PrefixCacheBlocks default
// to the constants above if zero.
type EngineOptions struct {
	Name  btid.Target
	Clock Clock
	// Slots is the maximum number of concurrent requests.
	Slots int
	// PrefillRate is the number of prompt tokens processed per second.
	PrefillRate float64
	// DecodeRate is the number of tokens per second generated for each answer.
	DecodeRate float64
	// PrefixCacheBlocks is the capacity of the prefix cache in blocks.
	PrefixCacheBlocks int
	// LoadLag is the age of the load that is reported.
	LoadLag time.Duration
	// CacheFault is the initial delay and loss of cache events.
	CacheFault CacheFault
	// ChecksFencing makes the engine refuse orders whose fencing number is not
	// above the last.
	ChecksFencing bool
	// Seed determines which requests fail under TargetFault.FailShare.
	Seed uint64
}

func (o EngineOptions) withDefaults() EngineOptions {
	o.Slots = orDefault(o.Slots, DefaultSlots)
	o.PrefillRate = orDefault(o.PrefillRate, DefaultPrefillRate)
	o.DecodeRate = orDefault(o.DecodeRate, DefaultDecodeRate)
	o.PrefixCacheBlocks = orDefault(o.PrefixCacheBlocks, DefaultPrefixCacheBlocks)
	return o
}

func (o EngineOptions) validate() error {
	if err := checkTarget(o.Name, o.Clock); err != nil {
		return err
	}
	if o.Slots < 0 || o.PrefillRate < 0 || o.DecodeRate < 0 || o.PrefixCacheBlocks < 0 || o.LoadLag < 0 {
		return fmt.Errorf("%w: engine %s has a negative number", ErrOptions, o.Name)
	}
	return nil
}

// Engine stands in for a model engine. It is safe for concurrent use.
type Engine struct {
	name        btid.Target
	clock       Clock
	prefillRate float64
	faults      *faults
	executions  *executions
	notices     *notices
	slots       *slots
	cache       *prefixCache
	load        *loadMeter
	orders      *orderReceiver
	streams     *streamTable
	pacer       pacer
	mux         *http.ServeMux

	// processMutex serialises kills and restarts.
	processMutex sync.Mutex
	// mutex guards the fields below.
	mutex sync.Mutex
	// running is cancelled when the engine is killed.
	running context.Context
	kill    context.CancelCauseFunc
}

var _ http.Handler = (*Engine)(nil)

// NewEngine returns a running engine. The error wraps ErrOptions.
func NewEngine(o EngineOptions) (*Engine, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	period := time.Duration(float64(time.Second) / o.DecodeRate)
	return newEngine(o, &clockPacer{clock: o.Clock, period: period}, noopExecutor{}), nil
}

// newEngine returns an engine whose decoding is timed by the pacer and whose
// orders go to the executor. The options must be valid.
func newEngine(o EngineOptions, p pacer, x executor) *Engine {
	e := &Engine{
		name:        o.Name,
		clock:       o.Clock,
		prefillRate: o.PrefillRate,
		faults:      newFaults(o.Seed),
		executions:  newExecutions(),
		notices:     newNotices(o.Clock),
		cache:       newPrefixCache(o.Clock, o.PrefixCacheBlocks, o.CacheFault),
		load:        newLoadMeter(o.Clock, o.LoadLag, o.PrefixCacheBlocks*BlockBytes/tokenBytes),
		orders:      newOrderReceiver(o.ChecksFencing, x),
		streams:     newStreamTable(),
		pacer:       p,
	}
	e.slots = newSlots(o.Slots, e.load.setRequests)
	e.running, e.kill = context.WithCancelCause(context.Background())
	e.mux = e.routes()
	return e
}

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache/events", e.cache.serveEvents)
	mux.HandleFunc("POST /orders", e.orders.servePost)
	mux.HandleFunc("GET /orders", e.orders.serveGet)
	mux.HandleFunc("PUT /control/fault", e.faults.control)
	mux.HandleFunc("PUT /control/cache", e.cache.control)
	mux.HandleFunc("PUT /control/life", e.controlProcess)
	mux.HandleFunc("GET /control/executions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Executions()) })
	mux.HandleFunc("GET /control/orders", e.orders.control)
	return mux
}

// ServeHTTP serves the engine's protocol and the controls. While the engine is
// killed it closes every connection except for the controls.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, controlPrefix) {
		e.mux.ServeHTTP(w, r)
		return
	}
	process := e.process()
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	stop := context.AfterFunc(process, func() { cancel(errKilled) })
	defer stop()
	if process.Err() == nil {
		e.notices.announce(w, e.faults.leaving())
		e.mux.ServeHTTP(w, r.WithContext(ctx))
	}
	if process.Err() != nil {
		closeConnection()
	}
}

// Executions returns the engine's execution counts, including those before a
// restart.
func (e *Engine) Executions() Executions {
	counts := e.executions.snapshot()
	counts.Violations = e.notices.list()
	return counts
}

// Orders returns the latest orders that the engine accepted, including those
// before a restart.
func (e *Engine) Orders() OrderLog { return e.orders.orders() }

// SetFault replaces the fault in force. The error wraps ErrInput.
func (e *Engine) SetFault(f TargetFault) error { return e.faults.set(f) }

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	load := e.load.report()
	steps, last := e.pacer.progress()
	load.Steps = steps
	load.StepMillis = millis(last)
	writeJSON(w, http.StatusOK, load)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
