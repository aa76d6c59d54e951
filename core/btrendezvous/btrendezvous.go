// Package btrendezvous implements rendezvous hashing (highest random weight). Every
// process that knows the same members computes the same order without exchanging
// messages, and adding or removing a member moves only that member's keys.
package btrendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns the members in descending order of weight for the key. Members must be
// distinct. The argument isn't changed.
func Order[M ~string](key string, members []M) []M {
	type weighted struct {
		member M
		weight uint64
	}
	list := make([]weighted, len(members))
	for i, m := range members {
		list[i] = weighted{member: m, weight: weight(key, string(m))}
	}
	slices.SortFunc(list, func(a, b weighted) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.member, b.member)
	})
	order := make([]M, len(list))
	for i, w := range list {
		order[i] = w.member
	}
	return order
}

// First returns the member with the highest weight for the key, the first of Order,
// without sorting; false if there are no members.
func First[M ~string](key string, members []M) (M, bool) {
	var best M
	var bestWeight uint64
	for i, m := range members {
		w := weight(key, string(m))
		if i == 0 || w > bestWeight || w == bestWeight && m < best {
			best = m
			bestWeight = w
		}
	}
	return best, len(members) > 0
}

func weight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// IndexOf returns the index that the member has for the key in the Order of itself and
// the others, without sorting.
func IndexOf[M ~string](key string, member M, others []M) int {
	own := weight(key, string(member))
	index := 0
	for _, o := range others {
		w := weight(key, string(o))
		if w > own || w == own && o < member {
			index++
		}
	}
	return index
}
