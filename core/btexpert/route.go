package btexpert

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// ErrMembers is wrapped by errors about malformed reports of a group's members.
var ErrMembers = errors.New("malformed member reports")

// Member is the state of a rank that determines its time in a step.
type Member struct {
	// Running is how many requests the rank decodes, and Sent how many were sent to
	// it since it reported that.
	Running int `cbor:"running" json:"running"`
	Sent    int `cbor:"sent" json:"sent"`
	// KVTokens is how many tokens the rank's key-value cache holds, of at most
	// KVLimit.
	KVTokens int64 `cbor:"kv_tokens" json:"kv_tokens"`
	KVLimit  int64 `cbor:"kv_limit" json:"kv_limit"`
	// Expert is the time that the experts on the rank take in a step, in the unit
	// of the Costs.
	Expert float64 `cbor:"expert" json:"expert"`
	// Speed is the rank's speed, 1 for a healthy rank; see Speeds.
	Speed float64 `cbor:"speed" json:"speed"`
	// Closed reports that the rank takes no new requests.
	Closed bool `cbor:"closed" json:"closed"`
}

// Costs are what requests add to a rank's step, in any one unit of time.
type Costs struct {
	// Request is the time for each running request, and KVToken for each token in
	// the cache.
	Request float64 `cbor:"request" json:"request"`
	KVToken float64 `cbor:"kv_token" json:"kv_token"`
}

// Validate reports a member with values out of range. The error wraps ErrMembers.
func (m Member) Validate() error {
	if m.Running < 0 || m.Sent < 0 || m.KVTokens < 0 || m.KVLimit < 0 {
		return fmt.Errorf("%w: running %d, sent %d, kv_tokens %d, kv_limit %d, want none below zero",
			ErrMembers, m.Running, m.Sent, m.KVTokens, m.KVLimit)
	}
	if m.Expert < 0 || math.IsNaN(m.Expert) || math.IsInf(m.Expert, 0) {
		return fmt.Errorf("%w: expert time %v", ErrMembers, m.Expert)
	}
	if m.Speed <= 0 || math.IsNaN(m.Speed) || math.IsInf(m.Speed, 0) {
		return fmt.Errorf("%w: speed %v", ErrMembers, m.Speed)
	}
	return nil
}

// Score is the fitness of a rank for a new request; the lowest Time is best.
type Score struct {
	Rank Rank
	// Time is the rank's own time in a step with the request.
	Time float64
}

// ScoreRanks orders the ranks for a new request that will hold the given number of
// tokens in the cache, by ascending time of the rank's step with the request, which
// keeps the slowest rank's time low. Ranks that are closed or lack room in the
// cache are left out, so the list may be empty. The error wraps ErrMembers and
// names the rank.
func ScoreRanks(members []Member, c Costs, tokens int64) ([]Score, error) {
	if tokens < 0 {
		return nil, fmt.Errorf("%w: a request of %d tokens", ErrMembers, tokens)
	}
	var scores []Score
	for r, m := range members {
		if err := m.Validate(); err != nil {
			return nil, fmt.Errorf("rank %d: %w", r, err)
		}
		if m.Closed || !m.hasRoom(tokens) {
			continue
		}
		scores = append(scores, Score{Rank: Rank(r), Time: m.timeWith(c, tokens)})
	}
	slices.SortStableFunc(scores, func(a, b Score) int { return cmp.Compare(a.Time, b.Time) })
	return scores, nil
}

// hasRoom reports whether the cache has room for one more request beside those
// sent, which are taken to be of the same size.
func (m Member) hasRoom(tokens int64) bool {
	free := m.KVLimit - m.KVTokens
	return free >= 0 && tokens <= free/int64(m.Sent+1)
}

// timeWith returns the rank's own time with one more request. Requests sent but not
// yet reported are taken to be of the same size.
func (m Member) timeWith(c Costs, tokens int64) float64 {
	added := float64(m.Sent + 1)
	batch := (float64(m.Running) + added) * c.Request
	cache := (float64(m.KVTokens) + added*float64(tokens)) * c.KVToken
	return (m.Expert + batch + cache) / m.Speed
}
