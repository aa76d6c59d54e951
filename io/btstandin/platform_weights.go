package btstandin

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// zeros reads as zeros, the content of all weights, as only their size matters.
type zeros struct{}

// Read fills the buffer with zeros.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// serveWeights answers with the weights of one expert of one layer, or with 429 if
// they exceed the rate limit.
func (p *Platform) serveWeights(w http.ResponseWriter, r *http.Request) {
	p.count(func(c *PlatformCounts) { c.WeightReads++ })
	if !p.applyFault(w, r) {
		return
	}
	size, ok := p.weightSize(w, r)
	if !ok {
		return
	}
	if wait := p.reserveWeights(size); wait > 0 {
		p.count(func(c *PlatformCounts) { c.WeightRefused++ })
		writeRetryAfter(w, http.StatusTooManyRequests, wait, "over the rate of the weight store")
		return
	}
	p.count(func(c *PlatformCounts) { c.WeightBytes += size })
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	_, _ = io.CopyN(w, zeros{}, size)
}

// weightSize validates the request and returns the size to send, or answers 400 and
// returns false.
func (p *Platform) weightSize(w http.ResponseWriter, r *http.Request) (int64, bool) {
	for _, name := range []string{"layer", "expert"} {
		if _, err := strconv.ParseUint(r.PathValue(name), 10, 31); err != nil {
			writeError(w, http.StatusBadRequest, "path %s: %v", name, err)
			return 0, false
		}
	}
	size, ok := queryNumber(w, r, "bytes")
	if !ok {
		return 0, false
	}
	if size > uint64(p.weights.Burst()) {
		writeError(w, http.StatusBadRequest, "query parameter bytes: %d is over a second's rate of %d", size, p.weights.Burst())
		return 0, false
	}
	return orDefault(int64(size), p.expertBytes), true
}

// reserveWeights takes the bytes from the rate limiter and returns zero, or takes
// none and returns the time until they are available.
func (p *Platform) reserveWeights(size int64) time.Duration {
	now := p.clock.Now()
	reservation := p.weights.ReserveN(now, int(size))
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}
