package btfront

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
)

// Limits of an address for the platform's or an operator's short requests. A request has no
// effect, so that one may lose its connection to another at any time.
const (
	operatorConnections = 32
	// operatorClosing is how many closed connections the server may still have. It waits
	// half a second with one whose request it hasn't read to the end.
	operatorClosing     = 256
	operatorBytes       = 4 << 20
	operatorHeaderBytes = 4 << 10
	operatorTimeout     = 5 * time.Second
	operatorIdleTime    = 30 * time.Second
)

// NewOperatorServer returns a server for an address at which a few short requests are
// expected, and its front.
func NewOperatorServer(name string, handler http.Handler, clock btloop.Clock, meter *btmetric.Meter, log *slog.Logger) (*Front, *http.Server) {
	f := New(Options{
		Name: name, Bytes: operatorBytes, Connections: operatorConnections, Closing: operatorClosing, EvictServed: true,
		Clock: clock, Meter: meter, Log: log,
	})
	server := &http.Server{
		Handler:        handler,
		MaxHeaderBytes: operatorHeaderBytes,
		ReadTimeout:    operatorTimeout,
		WriteTimeout:   operatorTimeout,
		IdleTimeout:    operatorIdleTime,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	f.Configure(server)
	return f, server
}

// ServeOperator serves requests until the server is closed.
func ServeOperator(f *Front, server *http.Server, listener net.Listener) error {
	if err := f.Serve(server, listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
