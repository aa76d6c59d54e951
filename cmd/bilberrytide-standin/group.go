package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/core/btid"
	"bilberrytide/io/btstandin"
)

// groupCommand runs the stand-in for all engines of a lock-step group, with one
// listener per rank.
type groupCommand struct {
	engineFlags
	name          *string
	listen        *string
	layers        *int
	experts       *int
	slotsPerRank  *int
	step          *time.Duration
	tokensPerStep *int
	zipfExponent  *float64
	driftPeriod   *time.Duration
	barrier       *bool
	initialMap    *string
	startHeld     *bool
	platform      *string
	model         *string
	expertBytes   *int64

	group *btstandin.Group
}

var _ command = (*groupCommand)(nil)

func newGroupCommand(app *kingpin.Application) *groupCommand {
	clause := app.Command("group", "All engines of a lock-step group, rank by rank.")
	return &groupCommand{
		engineFlags:   newEngineFlags(clause),
		name:          clause.Flag("name", "Name of the group; rank r is called NAME-r.").Required().String(),
		listen:        clause.Flag("listen", "IP address and port of each rank, separated by commas.").Required().String(),
		layers:        clause.Flag("layers", "Layers with experts.").Default("4").Int(),
		experts:       clause.Flag("experts", "Experts of each layer.").Default("16").Int(),
		slotsPerRank:  clause.Flag("slots-per-rank", "Experts of one layer that a rank holds.").Default("4").Int(),
		step:          clause.Flag("step", "Time of a step when all ranks have the same load.").Default("4500us").Duration(),
		tokensPerStep: clause.Flag("tokens-per-step", "Tokens that each layer serves in a step.").Default("1024").Int(),
		zipfExponent:  clause.Flag("zipf", "Exponent of the experts' popularity.").Default("1").Float64(),
		driftPeriod:   clause.Flag("drift-period", "Time in which popularity turns into another; 0 leaves it as it is.").Default("0s").Duration(),
		barrier:       clause.Flag("barrier", "Engines know arm and commit.").Bool(),
		initialMap:    clause.Flag("initial-map", "JSON file of the map to start with.").String(),
		startHeld:     clause.Flag("start-held", "Start without a map, as after a restart.").Bool(),
		platform:      clause.Flag("platform", "IP address and port of the weight store; without it weights are free.").String(),
		model:         clause.Flag("model", "Model whose weights are pulled.").Default("model").String(),
		expertBytes:   clause.Flag("expert-bytes", "Size of one expert's weights; 0 leaves it to the store.").Default("0").Int64(),
	}
}

func (c *groupCommand) run(ctx context.Context) error { return c.group.Run(ctx) }

func (c *groupCommand) listeners() ([]btstandin.Listener, error) {
	var addresses []netip.AddrPort
	for text := range strings.SplitSeq(*c.listen, ",") {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("--listen: %w", err)
		}
		addresses = append(addresses, address)
	}
	if err := c.build(len(addresses)); err != nil {
		return nil, err
	}
	var listeners []btstandin.Listener
	for r, address := range addresses {
		name := fmt.Sprintf("%s-%d", *c.name, r)
		listeners = append(listeners, btstandin.Listener{Name: name, Address: address, Handler: c.group.Rank(r)})
	}
	return listeners, nil
}

func (c *groupCommand) build(ranks int) error {
	weights, err := c.newWeightSource()
	if err != nil {
		return err
	}
	initial, err := c.readInitialMap()
	if err != nil {
		return err
	}
	c.group, err = btstandin.NewGroup(btstandin.GroupOptions{
		Name: btid.Group(*c.name),
		Shape: btstandin.GroupShape{
			Ranks:        ranks,
			Layers:       *c.layers,
			Experts:      *c.experts,
			SlotsPerRank: *c.slotsPerRank,
		},
		Engine:        c.options(),
		Step:          *c.step,
		TokensPerStep: *c.tokensPerStep,
		ZipfExponent:  *c.zipfExponent,
		DriftPeriod:   *c.driftPeriod,
		Barrier:       *c.barrier,
		InitialMap:    initial,
		StartHeld:     *c.startHeld,
		Weights:       weights,
	})
	return err
}

func (c *groupCommand) newWeightSource() (btstandin.WeightSource, error) {
	if *c.platform == "" {
		return nil, nil
	}
	address, err := netip.ParseAddrPort(*c.platform)
	if err != nil {
		return nil, fmt.Errorf("--platform: %w", err)
	}
	return btstandin.NewWeightPuller(btstandin.WeightPullerOptions{
		Clock:       btstandin.SystemClock{},
		Client:      &http.Client{},
		Platform:    address,
		Model:       *c.model,
		ExpertBytes: *c.expertBytes,
	})
}

func (c *groupCommand) readInitialMap() (*btstandin.ExpertMap, error) {
	if *c.initialMap == "" {
		return nil, nil
	}
	data, err := os.ReadFile(*c.initialMap)
	if err != nil {
		return nil, fmt.Errorf("--initial-map: %w", err)
	}
	var initial btstandin.ExpertMap
	if err := json.Unmarshal(data, &initial); err != nil {
		return nil, fmt.Errorf("--initial-map %s: %w", *c.initialMap, err)
	}
	return &initial, nil
}
