package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/io/btstandin"
)

// engineFlags holds the flags that the commands engine and group share.
type engineFlags struct {
	slots          *int
	prefillRate    *float64
	cacheBlocks    *int
	loadLag        *time.Duration
	eventDelay     *time.Duration
	eventDropEvery *uint64
	checksFencing  *bool
	seed           *uint64
}

func newEngineFlags(clause *kingpin.CmdClause) engineFlags {
	return engineFlags{
		slots:          clause.Flag("slots", "Requests that run at a time.").Default("16").Int(),
		prefillRate:    clause.Flag("prefill-rate", "Prompt tokens worked through in a second.").Default("20000").Float64(),
		cacheBlocks:    clause.Flag("prefix-cache-blocks", "Blocks of prompts that stay cached.").Default("1024").Int(),
		loadLag:        clause.Flag("load-lag", "How late load reports are.").Default("200ms").Duration(),
		eventDelay:     clause.Flag("cache-event-delay", "How late cache events are.").Default("200ms").Duration(),
		eventDropEvery: clause.Flag("cache-event-drop-every", "Lose every n-th cache event; 0 loses none.").Default("0").Uint64(),
		checksFencing:  clause.Flag("checks-fencing", "Refuse orders with an old fencing number.").Bool(),
		seed:           clause.Flag("seed", "Seed of all that is random.").Default("1").Uint64(),
	}
}

func (f engineFlags) options() btstandin.EngineOptions {
	return btstandin.EngineOptions{
		Clock:             btstandin.SystemClock{},
		Slots:             *f.slots,
		PrefillRate:       *f.prefillRate,
		PrefixCacheBlocks: *f.cacheBlocks,
		LoadLag:           *f.loadLag,
		CacheFault:        btstandin.CacheFault{Delay: btbundle.Duration{Duration: *f.eventDelay}, DropEvery: *f.eventDropEvery},
		ChecksFencing:     *f.checksFencing,
		Seed:              *f.seed,
	}
}

// engineCommand runs the stand-in for a model engine.
type engineCommand struct {
	noBackgroundWork
	engineFlags
	name       *string
	listen     *string
	decodeRate *float64
}

var _ command = (*engineCommand)(nil)

func newEngineCommand(app *kingpin.Application) *engineCommand {
	clause := app.Command("engine", "Model engine that answers chat completions.")
	return &engineCommand{
		engineFlags: newEngineFlags(clause),
		name:        clause.Flag("name", "Name of the target.").Required().String(),
		listen:      listenFlag(clause),
		decodeRate:  clause.Flag("decode-rate", "Tokens of each answer made in a second.").Default("200").Float64(),
	}
}

func (c *engineCommand) listeners() ([]btstandin.Listener, error) {
	return oneListener(*c.name, *c.listen, c.build)
}

func (c *engineCommand) build() (btstandin.Listener, error) {
	options := c.options()
	options.Name = btid.Target(*c.name)
	options.DecodeRate = *c.decodeRate
	engine, err := btstandin.NewEngine(options)
	return btstandin.Listener{Handler: engine}, err
}
