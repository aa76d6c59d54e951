package bthttp

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"bilberrytide/core/btrequest"
)

// ErrorBody is the JSON body of every refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says whether the request ran and why it failed.
type ErrorDetail struct {
	Type    string            `json:"type"`
	Code    string            `json:"code"`
	Message string            `json:"message"`
	Outcome btrequest.Outcome `json:"outcome"`
	Reason  btrequest.Reason  `json:"reason"`
}

// Types of errors, as clients of model services expect them.
const (
	typeInvalid        = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typePermission     = "permission_error"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

// StatusTable maps reasons to HTTP statuses. A reason without one gets a status by its
// outcome.
type StatusTable map[btrequest.Reason]int

// requestStatuses holds the statuses of this package's reasons.
var requestStatuses = StatusTable{
	ReasonBadPath:           http.StatusNotFound,
	ReasonBadMethod:         http.StatusMethodNotAllowed,
	ReasonBadJSON:           http.StatusBadRequest,
	ReasonBadModel:          http.StatusBadRequest,
	ReasonBadHeader:         http.StatusBadRequest,
	ReasonBadPriority:       http.StatusBadRequest,
	ReasonBadIdempotencyKey: http.StatusBadRequest,
	ReasonBodyTooBig:        http.StatusRequestEntityTooLarge,
	ReasonBodyCut:           http.StatusBadRequest,
	ReasonBodyRoom:          http.StatusServiceUnavailable,
}

// Status returns the HTTP status of a refusal.
func (t StatusTable) Status(f *btrequest.Refusal) int {
	if status, found := t[f.Reason]; found {
		return status
	}
	if status, found := requestStatuses[f.Reason]; found {
		return status
	}
	if f.Outcome == btrequest.Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// WriteRefusal writes a refusal as the whole answer.
func (t StatusTable) WriteRefusal(w http.ResponseWriter, f *btrequest.Refusal) {
	status := t.Status(f)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(f.Outcome))
	h.Set(HeaderReason, string(f.Reason))
	SetRetryAfter(h, f.RetryAfter)
	w.WriteHeader(status)
	_, _ = w.Write(t.Body(f))
}

// Body returns the JSON body of a refusal, with a newline at its end.
func (t StatusTable) Body(f *btrequest.Refusal) []byte {
	status := t.Status(f)
	body := ErrorBody{Error: ErrorDetail{
		Type:    errorType(status),
		Code:    string(f.Reason),
		Message: f.Message,
		Outcome: f.Outcome,
		Reason:  f.Reason,
	}}
	data, err := json.Marshal(body)
	if err != nil {
		// Strings and named strings always encode.
		panic(err)
	}
	return append(data, '\n')
}

// SetRetryAfter sets Retry-After in whole seconds, rounded up; zero sets nothing.
func SetRetryAfter(h http.Header, after time.Duration) {
	if after <= 0 {
		return
	}
	seconds := int64(math.Ceil(after.Seconds()))
	h.Set("Retry-After", strconv.FormatInt(seconds, 10))
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return typeAuthentication
	case status == http.StatusForbidden:
		return typePermission
	case status == http.StatusTooManyRequests:
		return typeRateLimit
	case status < http.StatusInternalServerError:
		return typeInvalid
	}
	return typeServer
}
