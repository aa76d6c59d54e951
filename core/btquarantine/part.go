package btquarantine

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"bilberrytide/core/btid"
)

// PartID is a caller's identifier of a part of a prompt that other requests may share,
// such as a system prompt or a document. It is never zero.
type PartID uint64

// String returns the identifier in hexadecimal.
func (p PartID) String() string { return strconv.FormatUint(uint64(p), 16) }

// MarshalText returns the identifier in hexadecimal.
func (p PartID) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// MaxParts limits the parts of a request. Of a request with more, those with the lowest
// values are used: a part is then used in most requests or in few, wherever it stands.
const MaxParts = 64

// Prompt identifies what requests may share: their client account, their service and the
// parts of their prompts. Services are distinguished because their targets may run other
// software, so that what one crashes on another may serve.
type Prompt struct {
	Account, Service uint64
	// Parts are in ascending order, each once.
	Parts []PartID
}

// NewPrompt returns a prompt with the parts in any order.
func NewPrompt(account btid.Account, service btid.Service, parts []PartID) Prompt {
	if len(parts) == 0 {
		return Prompt{}
	}
	sorted := slices.Clone(parts)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	return Prompt{
		Account: xxhash.Sum64String(string(account)),
		Service: xxhash.Sum64String(string(service)),
		Parts:   sorted[:min(len(sorted), MaxParts)],
	}
}

// has reports whether the prompt has all of the parts, which are in ascending order.
func (p Prompt) has(parts []PartID) bool {
	if len(parts) > len(p.Parts) {
		return false
	}
	for _, id := range parts {
		if _, found := slices.BinarySearch(p.Parts, id); !found {
			return false
		}
	}
	return true
}

// partKey is a part at a service.
type partKey struct {
	service uint64
	id      PartID
}
