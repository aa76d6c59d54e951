package bthttp

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btserve"
)

// Reasons for refusing an invalid request.
const (
	ReasonBadPath           btrequest.Reason = "bad_path"
	ReasonBadMethod         btrequest.Reason = "bad_method"
	ReasonBadJSON           btrequest.Reason = "bad_json"
	ReasonBadModel          btrequest.Reason = "bad_model"
	ReasonBadHeader         btrequest.Reason = "bad_header"
	ReasonBodyTooBig        btrequest.Reason = "body_too_big"
	ReasonBodyCut           btrequest.Reason = "body_cut"
	ReasonBodyRoom          btrequest.Reason = "body_room"
	ReasonBadIdempotencyKey btrequest.Reason = "bad_idempotency_key"
	ReasonBadPriority       btrequest.Reason = "bad_priority"
)

// Paths for callers.
const (
	PathCompletions     = "/v1/chat/completions"
	PathModels          = "/v1/models"
	PathIdempotencyKeys = "/v1/idempotency-keys"
	PathServices        = "/services/"
)

// Call is a request as the caller sent it.
type Call struct {
	Service btid.Service
	Method  string
	// Path is the path and query that the target receives.
	Path string
	// ChatCompletion reports that this is a chat completion, whose service is named in
	// its body.
	ChatCompletion bool
	Header         http.Header
	Body           []byte
	Key            btrequest.Key
	Priority       btrequest.Priority
	// Timeout is the timeout that the caller asked for; zero if none.
	Timeout time.Duration
	// Stream reports that the caller wants server-sent events.
	Stream bool
	// Prompt is the text whose prefixes engines cache; nil for plain services.
	Prompt []byte

	budget      Memory
	bufferBytes int64
}

// completion is the part of a chat completion that routing needs.
type completion struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
}

// ReadHead reads a request except its body. The refusal says which part is invalid.
func ReadHead(r *http.Request) (*Call, *btrequest.Refusal) {
	c := &Call{Method: r.Method, Header: ForwardedRequestHeader(r.Header)}
	if f := c.readMethod(); f != nil {
		return nil, f
	}
	if f := c.readHeader(r.Header); f != nil {
		return nil, f
	}
	if f := c.readPath(r); f != nil {
		return nil, f
	}
	return c, nil
}

// ReadBody reads the body of a request for a plain service, of up to limit bytes.
func (c *Call) ReadBody(r *http.Request, budget Memory, limit int64) *btrequest.Refusal {
	return c.readBody(r, budget, min(limit, MaxBodyBytes))
}

// ReadCompletion reads the body of a chat completion and what routing needs of it.
func (c *Call) ReadCompletion(r *http.Request, budget Memory) *btrequest.Refusal {
	if f := c.readBody(r, budget, MaxCompletionBodyBytes); f != nil {
		return f
	}
	var body completion
	if err := json.Unmarshal(c.Body, &body); err != nil {
		return btrequest.Refuse(ReasonBadJSON, 0, "request body: %v", err)
	}
	if err := btid.CheckName(body.Model); err != nil {
		return btrequest.Refuse(ReasonBadModel, 0, "request body: \"model\": %v", err)
	}
	c.Service = btid.Service(body.Model)
	c.Stream = body.Stream
	c.Prompt = promptText(body.Messages)
	return nil
}

// CheckSize refuses a body larger than the limit of its service.
func (c *Call) CheckSize(limit int64) *btrequest.Refusal {
	if int64(len(c.Body)) > limit {
		return bodyTooBig(limit)
	}
	return nil
}

func (c *Call) readMethod() *btrequest.Refusal {
	switch {
	case c.Method == http.MethodConnect, c.Method == http.MethodTrace:
		return btrequest.Refuse(ReasonBadMethod, 0, "method %s is not passed on", c.Method)
	case len(c.Method) > btserve.MaxMethodBytes:
		return btrequest.Refuse(ReasonBadMethod, 0, "method of %d bytes, at most %d", len(c.Method), btserve.MaxMethodBytes)
	}
	return nil
}

func (c *Call) readHeader(h http.Header) *btrequest.Refusal {
	if len(c.Header) > btserve.MaxHeaders {
		return btrequest.Refuse(ReasonBadHeader, 0, "%d header fields, at most %d", len(c.Header), btserve.MaxHeaders)
	}
	c.Key = btrequest.Key(h.Get(HeaderIdempotencyKey))
	if err := c.Key.Validate(); err != nil {
		return btrequest.Refuse(ReasonBadIdempotencyKey, 0, "header %s: %v", HeaderIdempotencyKey, err)
	}
	if values := h.Values(HeaderIdempotencyKey); len(values) > 1 || len(values) == 1 && c.Key == "" {
		return btrequest.Refuse(ReasonBadIdempotencyKey, 0, "header %s: want one key", HeaderIdempotencyKey)
	}
	if text := h.Get(HeaderTimeout); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return btrequest.Refuse(ReasonBadHeader, 0, "header %s: %q is not a positive duration such as \"10s\"", HeaderTimeout, text)
		}
		c.Timeout = d
	}
	switch text := h.Get(HeaderPriority); text {
	case "", "normal":
		c.Priority = btrequest.Normal
	case "low":
		c.Priority = btrequest.Low
	case "high":
		c.Priority = btrequest.High
	default:
		return btrequest.Refuse(ReasonBadPriority, 0, "header %s: %q is none of low, normal, high", HeaderPriority, text)
	}
	return nil
}

func (c *Call) readPath(r *http.Request) *btrequest.Refusal {
	target := rawTarget(r)
	if len(target) > btserve.MaxPathBytes {
		return btrequest.Refuse(ReasonBadPath, 0, "path and query of %d bytes, at most %d", len(target), btserve.MaxPathBytes)
	}
	if strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return btrequest.Refuse(ReasonBadPath, 0, "path: bytes that must be escaped")
	}
	if r.URL.Path == PathCompletions {
		return c.readCompletionPath(target)
	}
	if rest, found := strings.CutPrefix(target, PathServices); found {
		return c.readServicePath(rest)
	}
	return btrequest.Refuse(ReasonBadPath, 0, "no such path: %s; use %s or %s{service}/…", r.URL.Path, PathCompletions, PathServices)
}

// rawTarget returns the path and query exactly as the caller sent them.
func rawTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func (c *Call) readCompletionPath(target string) *btrequest.Refusal {
	if c.Method != http.MethodPost {
		return btrequest.Refuse(ReasonBadMethod, 0, "%s takes POST, not %s", PathCompletions, c.Method)
	}
	c.ChatCompletion = true
	c.Path = target
	return nil
}

func (c *Call) readServicePath(rest string) *btrequest.Refusal {
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	if err := btid.CheckName(rest[:end]); err != nil {
		return btrequest.Refuse(ReasonBadPath, 0, "path: service: %v", err)
	}
	c.Service = btid.Service(rest[:end])
	c.Path = "/" + strings.TrimPrefix(rest[end:], "/")
	return nil
}
