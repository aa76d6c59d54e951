package btstandin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// headerTimeout is the timeout for reading a request's header.
const headerTimeout = 10 * time.Second

// stopTimeout is how long a shutdown waits for requests in flight.
const stopTimeout = 2 * time.Second

// ErrListen is wrapped by the errors of Serve.
var ErrListen = errors.New("stand-in listener")

// Listener is a handler and the address that it is served on.
type Listener struct {
	Name string
	// Address may have port 0; Serve reports the port that was assigned.
	Address netip.AddrPort
	Handler http.Handler
}

// Serve runs the listeners until the context ends and then closes them. Once all
// listen, it writes a line "listening NAME ADDRESS" for each to the report. Unless
// addressFile is empty, it also writes the addresses to that file atomically, one
// per line in the given order. The error wraps ErrListen.
func Serve(ctx context.Context, listeners []Listener, addressFile string, report io.Writer) error {
	sockets, err := listenAll(ctx, listeners)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	for i, l := range listeners {
		group.Go(func() error { return serveOne(ctx, sockets[i], l.Handler) })
	}
	if err := reportAddresses(listeners, sockets, addressFile, report); err != nil {
		group.Go(func() error { return err })
	}
	return group.Wait()
}

func listenAll(ctx context.Context, listeners []Listener) ([]net.Listener, error) {
	var config net.ListenConfig
	var sockets []net.Listener
	for _, l := range listeners {
		socket, err := config.Listen(ctx, "tcp", l.Address.String())
		if err != nil {
			for _, s := range sockets {
				_ = s.Close()
			}
			return nil, fmt.Errorf("%w %s: %w", ErrListen, l.Name, err)
		}
		sockets = append(sockets, socket)
	}
	return sockets, nil
}

func serveOne(ctx context.Context, socket net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		if server.Shutdown(stopping) != nil {
			_ = server.Close()
		}
	}()
	if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("%w: %w", ErrListen, err)
	}
	<-stopped
	return nil
}

func reportAddresses(listeners []Listener, sockets []net.Listener, addressFile string, report io.Writer) error {
	var addresses strings.Builder
	for i, l := range listeners {
		address := sockets[i].Addr().String()
		fmt.Fprintln(&addresses, address)
		if _, err := fmt.Fprintln(report, "listening", l.Name, address); err != nil {
			return fmt.Errorf("%w: report: %w", ErrListen, err)
		}
	}
	if addressFile == "" {
		return nil
	}
	return writeFileAtomically(addressFile, addresses.String())
}

// writeFileAtomically writes a temporary file in the same folder and renames it.
func writeFileAtomically(name, content string) error {
	file, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".*")
	if err != nil {
		return fmt.Errorf("%w: address file: %w", ErrListen, err)
	}
	_, err = file.WriteString(content)
	err = errors.Join(err, file.Close())
	if err == nil {
		err = os.Rename(file.Name(), name)
	}
	if err != nil {
		_ = os.Remove(file.Name())
		return fmt.Errorf("%w: address file: %w", ErrListen, err)
	}
	return nil
}
