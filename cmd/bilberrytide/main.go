// Command bilberrytide runs the processes of the load balancer and its operator
// tools. "bilberrytide --help" lists the commands.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/commands/btbundlecmd"
	"bilberrytide/commands/btdirectcmd"
	"bilberrytide/commands/btkeyscmd"
	"bilberrytide/commands/btruncmd"
	"bilberrytide/commands/btsettingscmd"
	"bilberrytide/commands/btstagescmd"
	"bilberrytide/commands/btstatuscmd"
	"bilberrytide/commands/btwhycmd"
)

const help = `Load balancer for expert-parallel model groups and the plain services beside them.

Exit codes: 0 done, 1 refused, invalid or failed, 2 wrong usage.`

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	app := kingpin.New("bilberrytide", help)
	app.HelpFlag.Short('h')
	btruncmd.Register(app, os.Stderr)
	btbundlecmd.Register(app, os.Stdout)
	btsettingscmd.Register(app, os.Stdout)
	btkeyscmd.Register(app, os.Stdout)
	btstatuscmd.Register(app, os.Stdout)
	btdirectcmd.Register(app, os.Stdout)
	btstagescmd.Register(app, os.Stdout)
	btwhycmd.Register(app, os.Stdout)
	app.Command("version", "Print the version that this program was built from.").Action(printVersion)
	// The application's action runs after the command line was parsed. An error
	// before that is a usage error.
	parsed := false
	app.Action(func(*kingpin.ParseContext) error {
		parsed = true
		return nil
	})
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "bilberrytide: %v\n", err)
		os.Exit(exitCode(parsed))
	}
}

func exitCode(parsed bool) int {
	if parsed {
		return exitFailed
	}
	return exitUsage
}

func printVersion(*kingpin.ParseContext) error {
	version := "unknown"
	if info, found := debug.ReadBuildInfo(); found {
		version = info.Main.Version + " " + info.GoVersion
	}
	_, err := fmt.Println("bilberrytide", version)
	return err
}
