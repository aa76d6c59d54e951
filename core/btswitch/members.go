package btswitch

import (
	"fmt"
	"slices"
	"strings"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
)

// MaxRanks is the maximum number of ranks in a group.
const MaxRanks = 1024

// Members is a group's membership as listed in a bundle. A round is bound to
// Digest, so that a new bundle that leaves the group unchanged doesn't end it.
type Members struct {
	Bundle  btid.BundleVersion
	Group   btid.Group
	Ranks   []btid.Target
	Barrier bool
	Digest  btbundle.Digest
}

// NewMembers returns the membership of the group in the bundle of the given
// version. It fails if the group has no ranks, more than MaxRanks, or a target
// twice.
func NewMembers(version btid.BundleVersion, group btbundle.Group) (Members, error) {
	if len(group.Ranks) == 0 || len(group.Ranks) > MaxRanks {
		return Members{}, fmt.Errorf("group %q: %d ranks, want 1 to %d", group.Name, len(group.Ranks), MaxRanks)
	}
	sorted := slices.Sorted(slices.Values(group.Ranks))
	if len(slices.Compact(sorted)) != len(group.Ranks) {
		return Members{}, fmt.Errorf("group %q: a target is listed twice", group.Name)
	}
	return Members{
		Bundle:  version,
		Group:   group.Name,
		Ranks:   slices.Clone(group.Ranks),
		Barrier: group.Barrier,
		Digest:  membersDigest(group),
	}, nil
}

// membersDigest covers everything that the meaning of a map depends on.
func membersDigest(g btbundle.Group) btbundle.Digest {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %t %d %d %d", g.Name, g.Barrier, g.Layers, g.Experts, g.SlotsPerRank)
	for _, r := range g.Ranks {
		fmt.Fprintf(&text, " %s", r)
	}
	return btbundle.DigestOf([]byte(text.String()))
}

// rank returns the target's rank, or -1 if it has none.
func (m Members) rank(target btid.Target) int { return slices.Index(m.Ranks, target) }

// phases returns the phases of a round after prepare, in order.
func (m Members) phases() []Op {
	if m.Barrier {
		return []Op{Stage, Arm, Commit}
	}
	return []Op{Stage, Pause, Switch, Resume}
}
