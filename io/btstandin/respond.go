package btstandin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ErrOptions is wrapped by the errors of invalid options.
var ErrOptions = errors.New("bad stand-in options")

// ErrInput is wrapped by the errors of invalid request bodies and control values.
var ErrInput = errors.New("bad input")

// maxBody is the maximum size of a request body in bytes.
const maxBody = 8 << 20

// errorBody is the JSON body of error answers.
type errorBody struct {
	Error string `json:"error"`
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_, _ = w.Write(body)
}

func writeError(w http.ResponseWriter, status int, format string, args ...any) {
	writeJSON(w, status, errorBody{Error: fmt.Sprintf(format, args...)})
}

// writeRetryAfter answers with an error and a Retry-After header, rounded up to whole
// seconds.
func writeRetryAfter(w http.ResponseWriter, status int, wait time.Duration, format string, args ...any) {
	seconds := max(1, int(math.Ceil(wait.Seconds())))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	writeError(w, status, format, args...)
}

// readJSON decodes the body, or answers 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	// net/http notices that a client has closed its connection only after the body
	// was read to its end.
	body, ok := readBody(w, r, maxBody)
	if !ok {
		return false
	}
	if err := json.Unmarshal(body, value); err != nil {
		writeError(w, http.StatusBadRequest, "body: %v", err)
		return false
	}
	return true
}

// readBody returns the body, or answers 413 or 400 and returns false.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, "body over %d bytes", limit)
		return nil, false
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "body: %v", err)
		return nil, false
	}
	return body, true
}

// queryNumber returns the query parameter as a number, zero if it is missing, or
// answers 400 and returns false.
func queryNumber(w http.ResponseWriter, r *http.Request, name string) (uint64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		writeError(w, http.StatusBadRequest, "query parameter %s: %v", name, err)
		return 0, false
	}
	return n, true
}

// closeConnection aborts the handler, so that net/http closes the connection without
// completing the answer.
func closeConnection() { panic(http.ErrAbortHandler) }
