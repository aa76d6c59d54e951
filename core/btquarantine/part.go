package btquarantine

import (
	"encoding/binary"
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

// Part identifies a part of prompts at a service. Targets of another service may run
// other software, so what one of them does with a part says nothing about the other.
type Part uint64

// MaxParts limits the parts of a request. Of a request with more, those with the lowest
// values are used, so that a part is used in each request or hidden by the same others.
const MaxParts = 64

// PartsOf returns the parts of a prompt at a service in ascending order, each once.
func PartsOf(service btid.Service, ids []PartID) []Part {
	if len(ids) == 0 {
		return nil
	}
	var d xxhash.Digest
	var data [8]byte
	parts := make([]Part, len(ids))
	for i, id := range ids {
		d.Reset()
		// Writing to a hash returns no error.
		_, _ = d.WriteString(string(service))
		binary.BigEndian.PutUint64(data[:], uint64(id))
		_, _ = d.Write(data[:])
		parts[i] = Part(d.Sum64())
	}
	slices.Sort(parts)
	parts = slices.Compact(parts)
	return parts[:min(len(parts), MaxParts)]
}
