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

// ErrOptions is wrapped by the error of every option out of range.
var ErrOptions = errors.New("bad stand-in options")

// ErrInput is wrapped by the error of every control value out of range.
var ErrInput = errors.New("bad input")

// maxBody is the largest body that a stand-in reads, in bytes.
const maxBody = 8 << 20

// errorBody is the JSON body of every refusal.
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
	// A client that has gone away needs no answer.
	_, _ = w.Write(body)
}

func writeError(w http.ResponseWriter, status int, format string, args ...any) {
	writeJSON(w, status, errorBody{Error: fmt.Sprintf(format, args...)})
}

// writeRetryAfter refuses with the whole seconds after which to try again.
func writeRetryAfter(w http.ResponseWriter, status int, wait time.Duration, format string, args ...any) {
	seconds := max(1, int(math.Ceil(wait.Seconds())))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	writeError(w, status, format, args...)
}

// readJSON decodes the body, or answers 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	// The body is read to its end, as only then net/http notices a client that
	// closes its connection.
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

// queryNumber returns the query parameter as a number, zero where it is
// missing, or answers 400 and returns false.
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

// closeConnection ends the connection with no further byte.
func closeConnection() { panic(http.ErrAbortHandler) }
