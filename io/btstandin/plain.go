package btstandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bilberrytide/core/btid"
)

// PlainOptions configures a Plain.
type PlainOptions struct {
	Name  btid.Target
	Clock Clock
	// Delay is the processing time of a request.
	Delay time.Duration
	// Seed determines which requests fail under TargetFault.FailShare.
	Seed uint64
}

// Echo is the body of a plain service's answers with status 200.
type Echo struct {
	Target btid.Target `json:"target"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query"`
	// Headers holds the request's Content-Type, Idempotency-Key, X-Request-Id
	// and X-Echo-* headers, by canonical name.
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	// Execution is the number of requests that the target executed so far,
	// including this one.
	Execution int `json:"execution"`
}

// Plain stands in for an application instance. It is safe for concurrent use.
type Plain struct {
	name       btid.Target
	clock      Clock
	delay      time.Duration
	faults     *faults
	executions *executions
	notices    *notices
	mux        *http.ServeMux
}

var _ http.Handler = (*Plain)(nil)

// NewPlain returns a plain service. The error wraps ErrOptions.
func NewPlain(o PlainOptions) (*Plain, error) {
	if err := checkTarget(o.Name, o.Clock); err != nil {
		return nil, err
	}
	if o.Delay < 0 {
		return nil, fmt.Errorf("%w: negative delay", ErrOptions)
	}
	p := &Plain{
		name:       o.Name,
		clock:      o.Clock,
		delay:      o.Delay,
		faults:     newFaults(o.Seed),
		executions: newExecutions(),
		notices:    newNotices(o.Clock),
		mux:        http.NewServeMux(),
	}
	p.mux.HandleFunc("PUT /control/fault", p.faults.control)
	p.mux.HandleFunc("GET /control/executions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Executions()) })
	p.mux.HandleFunc("/", p.serve)
	return p, nil
}

func checkTarget(name btid.Target, clock Clock) error {
	if err := btid.CheckName(string(name)); err != nil {
		return fmt.Errorf("%w: %w", ErrOptions, err)
	}
	if clock == nil {
		return fmt.Errorf("%w: target %s has no clock", ErrOptions, name)
	}
	return nil
}

// ServeHTTP serves the controls and answers any other method and path with an
// Echo.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Executions returns the service's execution counts.
func (p *Plain) Executions() Executions {
	counts := p.executions.snapshot()
	counts.Violations = p.notices.list()
	return counts
}

// SetFault replaces the fault in force. The error wraps ErrInput.
func (p *Plain) SetFault(f TargetFault) error { return p.faults.set(f) }

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	p.notices.announce(w, p.faults.leaving())
	fault := p.faults.draw()
	if !p.notices.begin(w, fault) {
		return
	}
	body, ok := readBody(w, r, maxBody)
	if !ok {
		return
	}
	number := p.executions.begin(r)
	if !p.work(r, fault) {
		p.executions.cancel()
		return
	}
	if fault.crashes(0) {
		closeConnection()
	}
	if fault.fail {
		writeError(w, http.StatusInternalServerError, "failed")
		return
	}
	writeEcho(w, Echo{
		Target:    p.name,
		Method:    r.Method,
		Path:      r.URL.Path,
		Query:     r.URL.RawQuery,
		Headers:   echoedHeaders(r.Header),
		Body:      string(body),
		Execution: number,
	}, fault)
}

// work waits for the processing time, or returns false if the client disconnects
// first.
func (p *Plain) work(r *http.Request, fault requestFault) bool {
	if fault.hang {
		<-r.Context().Done()
		return false
	}
	return sleep(r.Context(), p.clock, scale(p.delay, fault.slow)) == nil
}

func writeEcho(w http.ResponseWriter, echo Echo, fault requestFault) {
	body, err := json.Marshal(echo)
	if err != nil {
		writeError(w, http.StatusInternalServerError, "%v", err)
		return
	}
	writeBody(w, body, fault)
}

// writeBody writes a JSON body; with cutBody it sends the first half and closes the
// connection.
func writeBody(w http.ResponseWriter, body []byte, fault requestFault) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if fault.cutBody {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		closeConnection()
	}
	_, _ = w.Write(body)
}

func echoedHeaders(h http.Header) map[string]string {
	echoed := make(map[string]string)
	for name := range h {
		switch {
		case name == "Content-Type", name == IdempotencyKeyHeader, name == RequestIDHeader,
			strings.HasPrefix(name, "X-Echo-"):
			echoed[name] = h.Get(name)
		}
	}
	return echoed
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
