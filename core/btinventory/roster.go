package btinventory

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btwire"
)

// Roster is the list of targets and entries of a fleet that entries send to agents.
type Roster struct {
	// Digest identifies the targets and the group, which are omitted if the agent that
	// asks already has them.
	Digest  uint64   `json:"digest"`
	Targets []Target `json:"targets,omitempty"`
	// Cells are the cells of the list that Targets holds; empty if it holds the whole list.
	Cells CellSet `json:"cells,omitempty"`
	// Group is the shape of the service's expert maps; nil if it has none.
	Group *btcatalog.Group `json:"group,omitempty"`
	// Entries are the peer addresses of the known entries, EntriesDigest is their digest.
	// They are omitted if the agent that asks already has them.
	Entries       []netip.AddrPort `json:"entries"`
	EntriesDigest uint64           `json:"entries_digest,omitempty"`
}

// ContentDigest returns the digest of the targets and the group.
func (r Roster) ContentDigest() (uint64, error) {
	data, err := btwire.Encode(Roster{Targets: r.Targets, Group: r.Group})
	return xxhash.Sum64(data), err
}

// Merge returns the roster that an agent has after it received a newer one, and whether
// it is complete. It isn't if the lists differ in other cells than those that were sent;
// the whole list must be requested then.
func (r Roster) Merge(received Roster) (Roster, bool) {
	if received.Cells == 0 {
		return received, true
	}
	merged := received
	merged.Targets = received.Cells.Replace(r.Targets, received.Targets)
	slices.SortFunc(merged.Targets, func(a, b Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	merged.Cells = 0
	digest, err := merged.ContentDigest()
	return merged, err == nil && digest == received.Digest
}

// Validate returns the first error of the roster's targets.
func (r Roster) Validate() error {
	for _, t := range r.Targets {
		if err := t.Validate(); err != nil {
			return err
		}
	}
	return nil
}
