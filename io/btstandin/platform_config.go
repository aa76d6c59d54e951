package btstandin

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"bilberrytide/core/btbundle"
)

// RevisionHeader carries the revision of a configuration value. The first value of
// a key has revision 1, and each change increments it.
const RevisionHeader = "Revision"

// configValue is one revision of a key's value.
type configValue struct {
	revision uint64
	body     []byte
}

// PutConfig sets the key's value and returns its revision. The error wraps ErrInput
// if the value exceeds MaxConfigBytes.
func (p *Platform) PutConfig(key string, body []byte) (uint64, error) {
	if len(body) > MaxConfigBytes {
		return 0, fmt.Errorf("%w: value of key %q is %d bytes, at most %d", ErrInput, key, len(body), MaxConfigBytes)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h, ok := p.config[key]
	if !ok {
		h = &history[configValue]{keep: configHistory}
		p.config[key] = h
	}
	last, _ := h.latest()
	next := configValue{revision: last.revision + 1, body: body}
	h.set(p.changeTime(), next)
	p.notifyChange()
	return next.revision, nil
}

// serveConfig answers a read or a watch (long poll). Each counts as one read
// towards the rate limit.
func (p *Platform) serveConfig(w http.ResponseWriter, r *http.Request) {
	p.count(func(c *PlatformCounts) { c.ConfigReads++ })
	if !p.reads.AllowN(p.clock.Now(), 1) {
		p.count(func(c *PlatformCounts) { c.ConfigRefused++ })
		writeRetryAfter(w, http.StatusTooManyRequests, time.Second, "over the rate of configuration reads")
		return
	}
	after, ok := queryNumber(w, r, "after")
	if !ok {
		return
	}
	wait, ok := queryWait(w, r)
	if !ok || !p.applyFault(w, r) {
		return
	}
	watching := r.URL.Query().Has("after")
	value, found := p.await(r.Context(), r.PathValue("key"), after, wait)
	switch {
	case p.down():
		p.writeDown(w)
	case !found && !watching:
		writeError(w, http.StatusNotFound, "no key %q", r.PathValue("key"))
	case !found || watching && value.revision <= after:
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set(RevisionHeader, strconv.FormatUint(value.revision, 10))
		w.Header().Set("Content-Length", strconv.Itoa(len(value.body)))
		_, _ = w.Write(value.body)
	}
}

// await returns the key's value as soon as its revision exceeds after, or the
// current value when the wait or the context ends or the platform goes down.
func (p *Platform) await(ctx context.Context, key string, after uint64, wait time.Duration) (configValue, bool) {
	timeout := p.clock.After(wait)
	for {
		value, found, changed := p.read(key)
		if found && value.revision > after || wait <= 0 || p.down() {
			return value, found
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-ctx.Done():
			wait = 0
		}
	}
}

// read returns the value that readers see and a channel that is closed at the next
// change.
func (p *Platform) read(key string) (configValue, bool, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h, ok := p.config[key]
	if !ok {
		return configValue{}, false, p.changed
	}
	if p.fault.Mode != PlatformStale {
		value, found := h.latest()
		return value, found, p.changed
	}
	value, found := h.at(p.fault.staleAsOf)
	return value, found, p.changed
}

// notifyChange makes every watch read again. The mutex must be held.
func (p *Platform) notifyChange() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func queryWait(w http.ResponseWriter, r *http.Request) (time.Duration, bool) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, true
	}
	var wait btbundle.Duration
	if err := wait.UnmarshalText([]byte(text)); err != nil {
		writeError(w, http.StatusBadRequest, "query parameter wait: %v", err)
		return 0, false
	}
	return wait.Duration, true
}
