package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/core/btid"
	"bilberrytide/io/btstandin"
)

// plainCommand runs the stand-in for an application instance.
type plainCommand struct {
	noBackgroundWork
	name   *string
	listen *string
	delay  *time.Duration
	seed   *uint64
}

var _ command = (*plainCommand)(nil)

func newPlainCommand(app *kingpin.Application) *plainCommand {
	clause := app.Command("plain", "Application instance that echoes each request.")
	return &plainCommand{
		name:   clause.Flag("name", "Name of the target.").Required().String(),
		listen: listenFlag(clause),
		delay:  clause.Flag("delay", "Time that each request takes.").Default("5ms").Duration(),
		seed:   clause.Flag("seed", "Seed of the failing share.").Default("1").Uint64(),
	}
}

func (c *plainCommand) listeners() ([]btstandin.Listener, error) {
	return oneListener(*c.name, *c.listen, c.build)
}

func (c *plainCommand) build() (btstandin.Listener, error) {
	plain, err := btstandin.NewPlain(btstandin.PlainOptions{
		Name:  btid.Target(*c.name),
		Clock: btstandin.SystemClock{},
		Delay: *c.delay,
		Seed:  *c.seed,
	})
	return btstandin.Listener{Handler: plain}, err
}
