// Package bthttp is the HTTP interface for callers: it reads their requests, and writes
// answers, refusals and their headers.
package bthttp

import (
	"net/http"
	"strings"
)

// Headers of requests.
const (
	// HeaderIdempotencyKey marks a request as not repeatable: it runs at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeout limits the time for the request: a duration such as "10s".
	HeaderTimeout = "Bilberrytide-Timeout"
	// HeaderPriority is "low", "normal" or "high".
	HeaderPriority = "Bilberrytide-Priority"
)

// Headers of answers.
const (
	// HeaderRequest is the identifier of the request, as it appears in logs.
	HeaderRequest = "Bilberrytide-Request"
	// HeaderOutcome is "done", "not_run" or "unknown". A streamed answer has it as a
	// trailer.
	HeaderOutcome = "Bilberrytide-Outcome"
	// HeaderReason is the reason of a refusal.
	HeaderReason = "Bilberrytide-Reason"
	// HeaderBundle is the version of the bundle in force.
	HeaderBundle = "Bilberrytide-Bundle"
	// HeaderReplayed is "true" on the saved answer of an earlier run.
	HeaderReplayed = "Bilberrytide-Replayed"
)

// hopByHopFields lists the fields that concern one connection only (RFC 9110, 7.6.1).
var hopByHopFields = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// headerPrefix is the prefix of all headers that this system defines.
const headerPrefix = "Bilberrytide-"

// ForwardedRequestHeader returns the header for the target: without the fields of the
// connection, the caller's credentials and the fields that this system defines.
func ForwardedRequestHeader(h http.Header) http.Header {
	out := forwardedHeader(h)
	out.Del("Authorization")
	out.Del("Content-Length")
	// The server of this process has answered it already.
	out.Del("Expect")
	return out
}

// ForwardedAnswerHeader returns the header of the target's answer for the caller.
func ForwardedAnswerHeader(h http.Header) http.Header { return forwardedHeader(h) }

func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range h.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, headerPrefix) {
			out.Del(name)
		}
	}
	return out
}
