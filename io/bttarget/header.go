package bttarget

import (
	"net/http"
	"net/textproto"
	"strings"
)

const (
	headerConnection     = "Connection"
	headerIdempotencyKey = "Idempotency-Key"
	headerUserAgent      = "User-Agent"
	headerHost           = "Host"
	headerLength         = "Content-Length"

	// lowerIdempotencyKey and lowerXIdempotencyKey are the spellings in which the keys
	// are sent. Field names are case-insensitive, but net/http retries requests by
	// itself only if it finds the canonical spelling.
	lowerIdempotencyKey  = "idempotency-key"
	lowerXIdempotencyKey = "x-idempotency-key"
)

// HeaderRate is how many requests per second, from all callers together, a target
// accepts: a decimal number, present in all its answers while it applies.
const HeaderRate = "X-Request-Rate"

// HeaderLeaving is "1" in all answers of a target that is about to shut down.
const HeaderLeaving = "X-Leaving"

// headerRetryAfter is, in an answer 503, for how many seconds the target wants no further
// requests.
const headerRetryAfter = "Retry-After"

// hopByHopFields lists the fields that concern one connection only (RFC 9110, 7.6.1).
var hopByHopFields = []string{
	headerConnection, "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeader returns a copy without the fields that concern one connection only.
func endToEndHeader(h http.Header) http.Header {
	clone := h.Clone()
	if clone == nil {
		clone = http.Header{}
	}
	for _, line := range h[headerConnection] {
		for name := range strings.SplitSeq(line, ",") {
			clone.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopFields {
		clone.Del(name)
	}
	return clone
}

// requestHeader returns the header as it is passed to net/http.
func requestHeader(h http.Header) http.Header {
	clone := endToEndHeader(h)
	clone.Del(headerHost)
	clone.Del(headerLength)
	renameField(clone, headerIdempotencyKey, lowerIdempotencyKey)
	renameField(clone, "X-Idempotency-Key", lowerXIdempotencyKey)
	if _, found := clone[headerUserAgent]; !found {
		// An empty value keeps net/http from adding its own.
		clone[headerUserAgent] = []string{""}
	}
	return clone
}

func renameField(h http.Header, canonical, sent string) {
	if values, found := h[canonical]; found {
		delete(h, canonical)
		h[sent] = values
	}
}
