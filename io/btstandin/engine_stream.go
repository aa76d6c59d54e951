package btstandin

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// stream sends the generation's events from the index after on.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, after int, fault requestFault) error {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	controller := http.NewResponseController(w)
	sent := 0
	for i := after; i < g.events(); i++ {
		if fault.crashes(sent) {
			closeConnection()
		}
		if fault.cutBody && i == g.events()-1 {
			return nil
		}
		if i < g.tokens {
			if err := e.decode(r.Context(), g, i, fault); err != nil {
				return err
			}
		}
		if err := writeEvent(w, controller, g, i); err != nil {
			return err
		}
		sent++
	}
	return nil
}

func writeEvent(w http.ResponseWriter, controller *http.ResponseController, g *generation, index int) error {
	data, err := g.event(index)
	if err != nil {
		return err
	}
	if _, err := w.Write([]byte("data: " + data + "\n\n")); err != nil {
		return err
	}
	return controller.Flush()
}

// pacer times the decoding of tokens.
type pacer interface {
	// await returns when the next token is generated, or with the context's
	// error. slow multiplies the wait of an engine outside a group; members of a
	// group wait for the group's step.
	await(ctx context.Context, slow float64) error
	// progress returns the number of decoding steps and the duration of the last.
	progress() (uint64, time.Duration)
}

// clockPacer generates one token of each running answer per period.
type clockPacer struct {
	clock  Clock
	period time.Duration

	mutex sync.Mutex
	steps uint64
	last  time.Duration
}

var _ pacer = (*clockPacer)(nil)

func (p *clockPacer) await(ctx context.Context, slow float64) error {
	wait := scale(p.period, slow)
	if err := sleep(ctx, p.clock, wait); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.steps++
	p.last = wait
	return nil
}

func (p *clockPacer) progress() (uint64, time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.steps, p.last
}
