// Command bilberrytide-standin runs a stand-in for the platform or for targets, for
// tests and the demo only. docs/standin.md describes the protocols.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/io/btstandin"
)

// command is a subcommand that runs a stand-in.
type command interface {
	// listeners returns the handlers to serve, configured by the parsed flags.
	listeners() ([]btstandin.Listener, error)
	// run does the stand-in's background work until the context ends.
	run(ctx context.Context) error
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "bilberrytide-standin:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	app := kingpin.New("bilberrytide-standin", "Stand-ins for the platform and for targets, for tests and the demo only.")
	addressFile := app.Flag("address-file", "File to write the listeners' addresses to, one a line.").String()
	commands := map[string]command{
		"platform": newPlatformCommand(app),
		"plain":    newPlainCommand(app),
		"engine":   newEngineCommand(app),
		"group":    newGroupCommand(app),
	}
	registerPorts(app)
	name, err := app.Parse(args)
	if err != nil {
		return err
	}
	if commands[name] == nil {
		return nil
	}
	listeners, err := commands[name].listeners()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return serve(ctx, commands[name], listeners, *addressFile)
}
