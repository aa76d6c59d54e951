package btquarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// outageTime is what one more crash costs: about as long as a group takes to serve
	// again.
	outageTime = 4 * time.Second
	// waitPerCrash multiplies the longest time until a probe with each crash beyond those
	// that restrict a part.
	waitPerCrash = 20
	// probeSlot is the time after which twice as many processes may probe. It is longer
	// than a probe usually takes to produce output or to crash its target.
	probeSlot = time.Second
)

// RestrictionID identifies a restriction in all processes.
type RestrictionID uint64

// String returns the identifier in hexadecimal.
func (i RestrictionID) String() string { return strconv.FormatUint(uint64(i), 16) }

// MarshalText returns the identifier in hexadecimal.
func (i RestrictionID) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// Restriction keeps requests away from targets that have all of its parts. As long as the
// evidence doesn't distinguish several parts, requests with only some of them are still
// sent, and their outcome distinguishes them.
type Restriction struct {
	ID RestrictionID
	// Account limits the restriction to a client account; AnyAccount reports that requests
	// of several accounts have crashed targets and it applies to all.
	Account    uint64
	AnyAccount bool
	Service    uint64
	Parts      []PartID
	// Crashes is the number of outages that the parts explain, Excess how many more these
	// are than restrict them.
	Crashes, Excess int
	// LogOdds are those that the parts are at fault.
	LogOdds float64
	// LastCrash is the time of the last of them, LastTarget its target.
	LastCrash  time.Time
	LastTarget uint64
}

// Applies reports whether the restriction applies to requests with the prompt.
func (r Restriction) Applies(p Prompt) bool {
	return p.Service == r.Service && (r.AnyAccount || p.Account == r.Account) && p.has(r.Parts)
}

// id returns the identity of a restriction.
func (r Restriction) id() RestrictionID {
	data := binary.BigEndian.AppendUint64(nil, r.Service)
	if !r.AnyAccount {
		data = binary.BigEndian.AppendUint64(data, r.Account)
	}
	for _, p := range r.Parts {
		data = binary.BigEndian.AppendUint64(data, uint64(p))
	}
	return RestrictionID(xxhash.Sum64(data))
}

// probeAt returns when the first process may probe whether the parts still crash targets.
// A probe that does costs all requests of the service an outage; no probe costs the share
// of them that has the parts, if these are sound.
func (r Restriction) probeAt(share float64) time.Time {
	longest := min(SuspectFor.Seconds()*math.Pow(waitPerCrash, float64(r.Excess)), PartTTL.Seconds())
	wait := min(math.Exp(r.LogOdds)*outageTime.Seconds()/share, longest)
	return r.LastCrash.Add(time.Duration(wait * float64(time.Second)))
}

// probeDelay returns how much later than the first one the process with the rank may
// probe, so that few of them probe at once and another one does if the first has no such
// request.
func probeDelay(rank int) time.Duration { return time.Duration(bits.Len(uint(rank))) * probeSlot }

// infer returns the restrictions that explain the crashes, which are in the order of time:
// for each crash the narrowest ones on the parts that are most likely at fault.
func infer(crashes []partCrash, outputs map[partKey]time.Time) []Restriction {
	groups, targets := selectCandidates(crashes, outputs)
	candidates := slices.Concat(groups...)
	slices.SortStableFunc(candidates, func(a, b candidate) int { return a.at.Compare(b.at) })
	weighed := weigh(candidates, targets)
	inferred := make(map[RestrictionID]Restriction)
	for _, together := range groups {
		for _, r := range explain(together, weighed) {
			r.scope(candidates)
			inferred[r.ID] = r
		}
	}
	return slices.SortedFunc(maps.Values(inferred), func(a, b Restriction) int { return cmp.Compare(a.ID, b.ID) })
}

// explain returns the restrictions that explain the crash of one target at which these
// requests were.
func explain(together []candidate, weighed map[partKey]evidence) []Restriction {
	var blamed []Restriction
	most := math.Inf(-1)
	for _, c := range together {
		r, weight := c.blame(weighed)
		if weight > most {
			most, blamed = weight, nil
		}
		if weight == most && len(r.Parts) > 0 {
			blamed = append(blamed, r)
		}
	}
	return narrowest(blamed)
}

// narrowest removes the restrictions that apply to all requests that another one applies
// to, and to more.
func narrowest(list []Restriction) []Restriction {
	return slices.DeleteFunc(slices.Clone(list), func(r Restriction) bool {
		return slices.ContainsFunc(list, func(other Restriction) bool {
			return len(other.Parts) > len(r.Parts) && Prompt{Parts: other.Parts}.has(r.Parts)
		})
	})
}

// scope sets what follows from all crashes at which a request with the parts of the
// restriction was.
func (r *Restriction) scope(candidates []candidate) {
	for _, c := range candidates {
		if c.service != r.Service || !c.mayBe(r.Parts) {
			continue
		}
		if c.account != r.Account {
			r.AnyAccount = true
		}
		if c.at.After(r.LastCrash) {
			r.LastCrash, r.LastTarget = c.at, c.target
		}
	}
	if r.AnyAccount {
		r.Account = 0
	}
	r.ID = r.id()
}
