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

	// sentIdempotencyKey and its kin are the spellings in which the fields go
	// out. Names of fields are the same in any case, but net/http takes only
	// the canonical spelling as leave to send a request again.
	sentIdempotencyKey  = "idempotency-key"
	sentXIdempotencyKey = "x-idempotency-key"
)

// HeaderRate has how many requests a second a target takes of all callers together, a
// decimal number, in all of its answers for as long as that holds.
const HeaderRate = "X-Request-Rate"

// hopByHop lists the fields that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	headerConnection, "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy without the fields that concern one connection only.
func endToEnd(h http.Header) http.Header {
	clone := h.Clone()
	if clone == nil {
		clone = http.Header{}
	}
	for _, line := range h[headerConnection] {
		for name := range strings.SplitSeq(line, ",") {
			clone.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		clone.Del(name)
	}
	return clone
}

// outgoing returns the fields as they are handed to net/http.
func outgoing(h http.Header) http.Header {
	clone := endToEnd(h)
	clone.Del(headerHost)
	clone.Del(headerLength)
	respell(clone, headerIdempotencyKey, sentIdempotencyKey)
	respell(clone, "X-Idempotency-Key", sentXIdempotencyKey)
	if _, found := clone[headerUserAgent]; !found {
		// An empty value keeps net/http from naming itself.
		clone[headerUserAgent] = []string{""}
	}
	return clone
}

func respell(h http.Header, canonical, sent string) {
	if values, found := h[canonical]; found {
		delete(h, canonical)
		h[sent] = values
	}
}
