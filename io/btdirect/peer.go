package btdirect

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btwire"
	"bilberrytide/io/btcall"
)

// PathRoster is where an entry tells agents of the fleet.
const PathRoster = "/v1/roster"

// RosterQuestion asks an entry for a service's targets.
type RosterQuestion struct {
	Service btid.Service `cbor:"service"`
	// Known is the digest of the roster that the agent has.
	Known uint64 `cbor:"known"`
}

// errQuestion means that a question names no service.
var errQuestion = errors.New("roster question without a service")

// Validate reports a question that names no service.
func (q RosterQuestion) Validate() error {
	if q.Service == "" {
		return errQuestion
	}
	return nil
}

// errNothingKnown means that the entry has read no list yet.
var errNothingKnown = errors.New("no list of targets read yet")

// servePeers answers the fleet's own processes until the context ends.
func (e *Entry) servePeers(ctx context.Context) error {
	listener, err := net.Listen("tcp", e.options.Settings.Peer.String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("POST "+PathRoster, btcall.Handle(e.roster))
	return btcall.Serve(ctx, listener, mux)
}

// roster answers an agent.
func (e *Entry) roster(_ context.Context, q RosterQuestion) (btinventory.Roster, error) {
	index := e.knowledge.index.Load()
	if index == nil {
		return btinventory.Roster{}, errNothingKnown
	}
	r := btinventory.Roster{Targets: e.knowledge.targetsOf(q.Service)}
	if s, found := index.Service(q.Service); found && s.Engine != nil {
		r.Group = s.Engine.Group
	}
	data, err := btwire.Encode(r)
	if err != nil {
		return btinventory.Roster{}, err
	}
	r.Digest = xxhash.Sum64(data)
	if r.Digest == q.Known {
		r.Targets = nil
		r.Group = nil
	}
	r.Entries = e.peers()
	return r, nil
}

// peers lists the peer addresses of the entries that are known.
func (e *Entry) peers() []netip.AddrPort { return e.options.Settings.Seeds }

// targetsOf lists the targets of a service.
func (k *knowledge) targetsOf(name btid.Service) []btinventory.Target {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []btinventory.Target
	for _, t := range k.register.Targets() {
		if t.Service == name {
			list = append(list, t)
		}
	}
	return list
}
