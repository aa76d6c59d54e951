// Package bthttp is the caller's side: it reads requests as callers send them,
// and writes answers, refusals and their headers.
package bthttp

import (
	"net/http"
	"strings"
)

// Headers of requests.
const (
	// HeaderIdempotencyKey marks a request as not repeatable: it runs at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeout bounds the request: a duration such as "10s".
	HeaderTimeout = "Bilberrytide-Timeout"
	// HeaderPriority is "low", "normal" or "high".
	HeaderPriority = "Bilberrytide-Priority"
)

// Headers of answers.
const (
	// HeaderRequest is the identity of the request, as it stands in logs.
	HeaderRequest = "Bilberrytide-Request"
	// HeaderOutcome is "done", "not_run" or "unknown". A streamed answer has it
	// as a trailer.
	HeaderOutcome = "Bilberrytide-Outcome"
	// HeaderReason names why a request was refused.
	HeaderReason = "Bilberrytide-Reason"
	// HeaderBundle is the version of the bundle in force.
	HeaderBundle = "Bilberrytide-Bundle"
	// HeaderReplayed is "true" on the saved answer of an earlier run.
	HeaderReplayed = "Bilberrytide-Replayed"
)

// hopHeaders end at this process, by RFC 9110 section 7.6.1.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownPrefix starts the names of all headers that are this system's own.
const ownPrefix = "Bilberrytide-"

// ForwardedRequestHeader returns the headers that the target is to see: all but those
// of the connection, the caller's credentials and this system's own.
func ForwardedRequestHeader(h http.Header) http.Header {
	out := passed(h)
	out.Del("Authorization")
	out.Del("Content-Length")
	// The server of this process has answered it.
	out.Del("Expect")
	return out
}

// ForwardedAnswerHeader returns the headers of the target's answer that the caller is
// to see.
func ForwardedAnswerHeader(h http.Header) http.Header { return passed(h) }

func passed(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range h.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, ownPrefix) {
			out.Del(name)
		}
	}
	return out
}
