package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/core/btid"
	"bilberrytide/io/btstandin"
)

// platformCommand runs the stand-in for the platform.
type platformCommand struct {
	noBackgroundWork
	listen         *string
	config         *map[string]string
	hosts          *string
	readsPerSecond *int
	weightRate     *int64
	expertBytes    *int64
	hostListLag    *time.Duration
}

var _ command = (*platformCommand)(nil)

func newPlatformCommand(app *kingpin.Application) *platformCommand {
	clause := app.Command("platform", "Configuration service, host list and weight store.")
	return &platformCommand{
		listen:         listenFlag(clause),
		config:         clause.Flag("config", "Key and the file that holds its value, as KEY=FILE; may be repeated.").StringMap(),
		hosts:          clause.Flag("hosts", "Names of the live hosts, separated by commas.").String(),
		readsPerSecond: clause.Flag("reads-per-second", "Configuration reads a second over all readers.").Default("2000").Int(),
		weightRate:     clause.Flag("weight-bytes-per-second", "Rate of the weight store; 0 leaves it unbounded.").Default("0").Int64(),
		expertBytes:    clause.Flag("expert-bytes", "Size of one expert's weights where a request gives none.").Default("65536").Int64(),
		hostListLag:    clause.Flag("host-list-lag", "How long a change of hosts stays invisible.").Default("2s").Duration(),
	}
}

func (c *platformCommand) listeners() ([]btstandin.Listener, error) {
	return oneListener("platform", *c.listen, c.build)
}

func (c *platformCommand) build() (btstandin.Listener, error) {
	platform, err := btstandin.NewPlatform(btstandin.PlatformOptions{
		Clock:                btstandin.SystemClock{},
		Hosts:                parseLiveHosts(*c.hosts),
		ReadsPerSecond:       *c.readsPerSecond,
		WeightBytesPerSecond: *c.weightRate,
		ExpertBytes:          *c.expertBytes,
		HostListLag:          *c.hostListLag,
	})
	if err != nil {
		return btstandin.Listener{}, err
	}
	for key, name := range *c.config {
		value, err := os.ReadFile(name)
		if err != nil {
			return btstandin.Listener{}, fmt.Errorf("--config %s: %w", key, err)
		}
		if _, err := platform.PutConfig(key, value); err != nil {
			return btstandin.Listener{}, fmt.Errorf("--config: %w", err)
		}
	}
	return btstandin.Listener{Handler: platform}, nil
}

func parseLiveHosts(names string) btstandin.HostList {
	list := btstandin.HostList{Hosts: []btstandin.Host{}}
	if names == "" {
		return list
	}
	for name := range strings.SplitSeq(names, ",") {
		list.Hosts = append(list.Hosts, btstandin.Host{Name: btid.Host(name), State: btstandin.HostLive})
	}
	return list
}
