package btlimit

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrendezvous"
)

// Limit is what one client account may use over all entries together. A zero
// Rate or Concurrency sets no limit of that kind.
type Limit struct {
	Account btid.Account
	// Rate is requests a second, Burst how many may come at once.
	Rate  float64
	Burst int
	// Concurrency is how many requests may run at once.
	Concurrency int
}

// Limits is what a bundle says: both machines hear it when one comes into
// force. Slices need no order.
type Limits struct {
	Entries  []btid.Entry
	Accounts []Limit
	// MaxRequestDuration is how long any request runs at most; zero leaves it to Settings.
	MaxRequestDuration time.Duration
}

func (Limits) holderEvent() {}
func (Limits) homeEvent()   {}

// Settings are shared by all entries.
type Settings struct {
	// LeaseDuration is how long lent units may be used after they were asked for.
	LeaseDuration time.Duration
	// LentSlotMax is how long a request that runs on a lent unit may last: one with a
	// later deadline runs on a fixed unit only.
	LentSlotMax time.Duration
	// MaxRequestDuration is how long any request runs at most.
	MaxRequestDuration time.Duration
	// PropagationTime is how long a new bundle takes to come into force everywhere. A
	// share that grows because the entries changed, or the number of tokens,
	// stays as it was for that long, and slots for Longest more: what a smaller
	// share no longer covers may still run.
	PropagationTime time.Duration
	// AskInterval is the shortest time between two asks for one account.
	AskInterval time.Duration
	// AskRate bounds the asks of an entry in a second, over all accounts. An
	// account that isn't asked for in time is left with its fixed share.
	AskRate float64
	// FixedFraction is the part of a limit that is split evenly as fixed shares, 0 to
	// 1; the home lends the rest. More of it means more is left during a cut,
	// less that more can gather at one entry.
	FixedFraction float64
}

// DefaultSettings returns settings for a fleet that has a new bundle in force
// everywhere within nine seconds.
func DefaultSettings() Settings {
	return Settings{
		LeaseDuration:      4 * time.Second,
		LentSlotMax:        30 * time.Second,
		MaxRequestDuration: 2 * time.Minute,
		PropagationTime:    15 * time.Second,
		AskInterval:        200 * time.Millisecond,
		AskRate:            200,
		FixedFraction:      0.5,
	}
}

// drift is the share by which the home holds a lease longer than the holder,
// for clocks that run at different speeds.
const drift = 0.01

func (s Settings) slotsHeld() time.Duration { return withDrift(s.LeaseDuration + s.LentSlotMax) }

func (s Settings) tokensHeld() time.Duration { return withDrift(s.LeaseDuration) }

func withDrift(d time.Duration) time.Duration { return d + time.Duration(drift*float64(d)) }

// fixed returns how many of the units are split as fixed shares: the reserve,
// or one for each entry where half of the units allow it. It never falls when
// units rise, and never rises by more than they do.
func (s Settings) fixed(units, entries int) int {
	reserve := int(s.FixedFraction * float64(units))
	return min(units, max(reserve, min(entries, units/2)))
}

// Home returns the entry that lends the account's units.
func Home(account btid.Account, entries []btid.Entry) (btid.Entry, bool) {
	return btrendezvous.First(homeKey(account), entries)
}

func homeKey(account btid.Account) string { return "limit/" + string(account) }

// share returns the fixed units of the entry at a rank in the account's
// rendezvous order. Over all ranks they sum to fixed, and each never falls when
// fixed rises: entries that stand at different limits never sum to more than
// the highest of them.
func share(fixed, rank, entries int) int {
	if rank < 0 || entries == 0 {
		return 0
	}
	return (fixed + entries - 1 - rank) / entries
}

// terms is a Limits event in the form in which it is looked up.
type terms struct {
	entries  []btid.Entry
	accounts map[btid.Account]Limit
	digest   uint64
	longest  time.Duration
}

// longestOr returns how long a request runs at most that was admitted under the
// terms.
func (t *terms) longestOr(otherwise time.Duration) time.Duration {
	if t.longest > 0 {
		return t.longest
	}
	return otherwise
}

func newTerms(l Limits) *terms {
	t := &terms{longest: l.MaxRequestDuration, entries: slices.Clone(l.Entries), accounts: make(map[btid.Account]Limit, len(l.Accounts))}
	slices.Sort(t.entries)
	var d xxhash.Digest
	d.Reset()
	for _, e := range t.entries {
		_, _ = d.WriteString(string(e) + "\n")
	}
	t.digest = d.Sum64()
	for _, a := range l.Accounts {
		a.Burst = max(a.Burst, 1)
		t.accounts[a.Account] = a
	}
	return t
}

// shape digests what a lease depends on: the entries and the number of tokens.
func (t *terms) shape(l Limit) uint64 {
	return t.digest ^ xxhash.Sum64String(strconv.Itoa(l.Burst))
}

// rank returns the entry's place in the account's rendezvous order, -1 where it
// isn't listed.
func (t *terms) rank(account btid.Account, entry btid.Entry) int {
	return slices.Index(btrendezvous.Order(homeKey(account), t.entries), entry)
}
