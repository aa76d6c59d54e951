package btstandin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
)

// serveChat answers a chat completion.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	fault := e.faults.draw()
	if !e.notices.begin(w, fault) {
		return
	}
	var request ChatRequest
	if !readJSON(w, r, &request) {
		return
	}
	if err := request.Validate(); err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return
	}
	priority, ok := requestPriority(w, r)
	if !ok || e.slots.acquire(r.Context(), priority) != nil {
		return
	}
	defer e.slots.release()
	e.executions.begin(r)
	g := &generation{
		engine:  e.name,
		id:      r.Header.Get(RequestIDHeader),
		model:   request.Model,
		prompt:  request.Prompt(),
		tokens:  request.tokens(),
		created: e.clock.Now(),
	}
	if request.Stream && g.id != "" {
		e.streams.add(g)
	}
	e.noteCancel(r.Context(), e.generate(w, r, g, request.Stream, 0, fault))
}

// serveResume continues a stream after the events that the client has received.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	fault := e.faults.draw()
	if !e.notices.begin(w, fault) {
		return
	}
	after, ok := queryNumber(w, r, "after")
	if !ok {
		return
	}
	g, ok := e.streams.get(r.PathValue("id"))
	if !ok {
		writeError(w, http.StatusNotFound, "no stream %q", r.PathValue("id"))
		return
	}
	if after > uint64(g.events()) {
		writeError(w, http.StatusBadRequest, "query parameter after: %d of %d events", after, g.events())
		return
	}
	priority, ok := requestPriority(w, r)
	if !ok || e.slots.acquire(r.Context(), priority) != nil {
		return
	}
	defer e.slots.release()
	e.executions.resume()
	e.noteCancel(r.Context(), e.generate(w, r, g, true, int(after), fault))
}

// generate sends the generation unstreamed, or as a stream from the event at the
// index after on.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request, g *generation, streamed bool, after int, fault requestFault) error {
	defer e.hold(g)()
	if fault.hang {
		<-r.Context().Done()
		return r.Context().Err()
	}
	if fault.fail {
		writeError(w, http.StatusInternalServerError, "failed")
		return nil
	}
	if !g.hasToken(0) {
		if err := e.prefill(r.Context(), g, fault); err != nil {
			return err
		}
	}
	if streamed {
		return e.stream(w, r, g, after, fault)
	}
	return e.answer(w, r, g, fault)
}

// answer sends the generation unstreamed.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, g *generation, fault requestFault) error {
	for i := range g.tokens {
		if err := e.decode(r.Context(), g, i, fault); err != nil {
			return err
		}
	}
	if fault.crashes(0) {
		closeConnection()
	}
	body, err := json.Marshal(g.completion())
	if err != nil {
		return err
	}
	writeBody(w, body, fault)
	return nil
}

// hold counts the generation's tokens as KV cache use until the returned function
// is called.
func (e *Engine) hold(g *generation) func() {
	tokens := promptTokens(g.prompt) + g.tokens
	e.load.addTokens(tokens)
	return func() { e.load.addTokens(-tokens) }
}

// prefill waits for the time that the uncached part of the prompt takes.
func (e *Engine) prefill(ctx context.Context, g *generation, fault requestFault) error {
	d := prefillTime(g.prompt, e.cache.insert(g.prompt), e.prefillRate)
	return sleep(ctx, e.clock, scale(d, fault.slow))
}

// decode waits for one token to be generated, unless it was before.
func (e *Engine) decode(ctx context.Context, g *generation, token int, fault requestFault) error {
	if g.hasToken(token) {
		return ctx.Err()
	}
	if err := e.pacer.await(ctx, fault.slow); err != nil {
		return err
	}
	g.produce(token)
	return nil
}

// noteCancel counts an execution that ended because its client disconnected, but
// not one that a kill ended.
func (e *Engine) noteCancel(ctx context.Context, err error) {
	if err != nil && !errors.Is(context.Cause(ctx), errKilled) {
		e.executions.cancel()
	}
}

func requestPriority(w http.ResponseWriter, r *http.Request) (int, bool) {
	text := r.Header.Get(PriorityHeader)
	if text == "" {
		return 0, true
	}
	priority, err := strconv.Atoi(text)
	if err != nil {
		writeError(w, http.StatusBadRequest, "header %s: %v", PriorityHeader, err)
		return 0, false
	}
	return priority, true
}
