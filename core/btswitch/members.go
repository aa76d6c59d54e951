package btswitch

import (
	"fmt"
	"slices"
	"strings"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
)

// MaxRanks is the largest group supported.
const MaxRanks = 1024

// Members is a group's membership as one bundle lists it. A round is bound to
// the digest, so that it survives a bundle that leaves its group alone.
type Members struct {
	Bundle  btid.BundleVersion
	Group   btid.Group
	Ranks   []btid.Target
	Barrier bool
	Digest  btbundle.Digest
}

// NewMembers takes the membership from the bundle of the given version. It
// fails on a group without ranks, with too many, or with a target twice.
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

// membersDigest covers all that a map's meaning depends on.
func membersDigest(g btbundle.Group) btbundle.Digest {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %t %d %d %d", g.Name, g.Barrier, g.Layers, g.Experts, g.SlotsPerRank)
	for _, r := range g.Ranks {
		fmt.Fprintf(&text, " %s", r)
	}
	return btbundle.DigestOf([]byte(text.String()))
}

// rank returns the target's rank, or -1 where it has none.
func (m Members) rank(target btid.Target) int { return slices.Index(m.Ranks, target) }

// plan returns the phases of a round after its promises, in order.
func (m Members) plan() []Op {
	if m.Barrier {
		return []Op{Stage, Arm, Commit}
	}
	return []Op{Stage, Pause, Switch, Resume}
}
