package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"bilberrytide/io/btstandin"
)

// serve runs the stand-in's background work and its listeners until the context
// ends or one of them fails.
func serve(ctx context.Context, c command, listeners []btstandin.Listener, addressFile string) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.run(ctx) })
	group.Go(func() error { return btstandin.Serve(ctx, listeners, addressFile, os.Stdout) })
	return group.Wait()
}

// noBackgroundWork is embedded by commands whose stand-in only answers requests.
type noBackgroundWork struct{}

func (noBackgroundWork) run(context.Context) error { return nil }

// listenFlag adds the flag --listen of stand-ins that have one listener.
func listenFlag(clause *kingpin.CmdClause) *string {
	return clause.Flag("listen", "IP address and port to listen on; port 0 takes a free one.").Default("127.0.0.1:0").String()
}

func oneListener(name, address string, build func() (btstandin.Listener, error)) ([]btstandin.Listener, error) {
	listen, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("--listen: %w", err)
	}
	listener, err := build()
	if err != nil {
		return nil, err
	}
	listener.Name = name
	listener.Address = listen
	return []btstandin.Listener{listener}, nil
}
