package btentry

import "net/http"

// closingWriter announces in an answer that its connection will be closed, if the entry
// is stopping or has too many connections when the answer begins. A caller that reuses its connection would otherwise
// send a request on it as the listener and the idle connections are closed.
type closingWriter struct {
	http.ResponseWriter
	closing func() bool
}

// WriteHeader writes the header with the announcement.
func (w closingWriter) WriteHeader(status int) {
	if w.closing() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the server's writer, for http.ResponseController.
func (w closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
