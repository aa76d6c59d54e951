package bthttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// Reasons for refusing what a caller sent.
const (
	ReasonBadPath     btrequest.Reason = "bad_path"
	ReasonBadMethod   btrequest.Reason = "bad_method"
	ReasonBadJSON     btrequest.Reason = "bad_json"
	ReasonBadModel    btrequest.Reason = "bad_model"
	ReasonBadHeader   btrequest.Reason = "bad_header"
	ReasonBodyTooBig  btrequest.Reason = "body_too_big"
	ReasonBodyCut     btrequest.Reason = "body_cut"
	ReasonBadIdemKey  btrequest.Reason = "bad_idempotency_key"
	ReasonBadPriority btrequest.Reason = "bad_priority"
)

// Paths that callers use.
const (
	PathCompletions = "/v1/chat/completions"
	PathModels      = "/v1/models"
	PathKeys        = "/v1/idempotency-keys"
	PathServices    = "/services/"
)

// maxModelBody bounds a body that must be read before its service is known.
const maxModelBody = 8 << 20

// bodyCutBackoff is when a caller whose body broke off should send it again.
const bodyCutBackoff = time.Second

// Call is one request as its caller sent it.
type Call struct {
	Service  btid.Service
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	Key      btrequest.Key
	Priority btrequest.Priority
	// Timeout is what the caller asked for; zero for none.
	Timeout time.Duration
	// Stream tells that the caller wants server-sent events.
	Stream bool
	// Prompt is the text that prefix caching goes by; nil for plain services.
	Prompt []byte
}

// completion is the part of a chat completion that routing needs.
type completion struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
}

// ReadCall reads a request. A failure is a refusal that names the place.
func ReadCall(r *http.Request) (*Call, *btrequest.Refusal) {
	c := &Call{Method: r.Method, Header: PassedRequest(r.Header)}
	if f := c.readHeaders(r.Header); f != nil {
		return nil, f
	}
	if r.URL.Path == PathCompletions {
		return c, c.readCompletion(r)
	}
	if strings.HasPrefix(r.URL.Path, PathServices) {
		return c, c.readPlain(r)
	}
	return nil, btrequest.Refuse(ReasonBadPath, 0, "no such path: %s; use %s or %s{service}/…", r.URL.Path, PathCompletions, PathServices)
}

func (c *Call) readHeaders(h http.Header) *btrequest.Refusal {
	c.Key = btrequest.Key(h.Get(HeaderKey))
	if err := c.Key.Validate(); err != nil {
		return btrequest.Refuse(ReasonBadIdemKey, 0, "header %s: %v", HeaderKey, err)
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

func (c *Call) readCompletion(r *http.Request) *btrequest.Refusal {
	if r.Method != http.MethodPost {
		return btrequest.Refuse(ReasonBadMethod, 0, "%s takes POST, not %s", PathCompletions, r.Method)
	}
	c.Path = r.URL.EscapedPath()
	if f := c.readBody(r); f != nil {
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
	c.Prompt = promptOf(body.Messages)
	return nil
}

func (c *Call) readPlain(r *http.Request) *btrequest.Refusal {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), PathServices)
	name, path, _ := strings.Cut(rest, "/")
	if err := btid.CheckName(name); err != nil {
		return btrequest.Refuse(ReasonBadPath, 0, "path: service: %v", err)
	}
	c.Service = btid.Service(name)
	c.Path = "/" + path
	if r.URL.RawQuery != "" {
		c.Path += "?" + r.URL.RawQuery
	}
	return c.readBody(r)
}

func (c *Call) readBody(r *http.Request) *btrequest.Refusal {
	if r.ContentLength > maxModelBody {
		return bodyTooBig(r.ContentLength, maxModelBody)
	}
	var buffer bytes.Buffer
	n, err := io.Copy(&buffer, io.LimitReader(r.Body, maxModelBody+1))
	if err != nil {
		return btrequest.Refuse(ReasonBodyCut, bodyCutBackoff, "request body broke off after %d bytes: %v", n, bodyError(err))
	}
	if n > maxModelBody {
		return bodyTooBig(n, maxModelBody)
	}
	c.Body = buffer.Bytes()
	return nil
}

// CheckSize refuses a body larger than the service allows.
func (c *Call) CheckSize(limit int64) *btrequest.Refusal {
	if int64(len(c.Body)) > limit {
		return bodyTooBig(int64(len(c.Body)), limit)
	}
	return nil
}

func bodyTooBig(size, limit int64) *btrequest.Refusal {
	return btrequest.Refuse(ReasonBodyTooBig, 0, "request body of %d bytes, at most %d", size, limit)
}

func bodyError(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("fewer bytes than Content-Length states")
	}
	return err
}
