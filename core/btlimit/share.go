package btlimit

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrendezvous"
)

// Limit is what one client account may use over all entries. A zero Rate or
// Concurrency means no limit of that kind.
type Limit struct {
	Account btid.Account
	// Rate is in requests per second; Burst is how many may arrive at once.
	Rate  float64
	Burst int
	// Concurrency is how many requests may run at once.
	Concurrency int
}

// Limits are a bundle's limits. Both machines receive them when the bundle comes into
// force. The slices need not be sorted.
type Limits struct {
	Entries  []btid.Entry
	Accounts []Limit
	// MaxRequestDuration is how long a request runs at most; zero selects the value of
	// Settings.
	MaxRequestDuration time.Duration
}

func (Limits) holderEvent() {}
func (Limits) homeEvent()   {}

// Settings are the timing and division of shares; all entries use the same.
type Settings struct {
	// LeaseDuration is how long lent units may be used, counted from the ask.
	LeaseDuration time.Duration
	// LentSlotMax is how long a request may run on a lent slot. A request with a later
	// deadline needs a fixed slot.
	LentSlotMax time.Duration
	// MaxRequestDuration is how long any request runs at most.
	MaxRequestDuration time.Duration
	// PropagationTime is how long a new bundle takes to come into force at all
	// entries. If a share grows because the entries or the burst changed, the growth
	// is delayed by this time, and for slots by MaxRequestDuration more, because
	// requests beyond another entry's smaller share may still be running.
	PropagationTime time.Duration
	// AskInterval is the shortest time between two asks for one account.
	AskInterval time.Duration
	// AskRate is how many asks an entry sends per second at most, over all accounts.
	// Until its ask is sent, an account has only its fixed share.
	AskRate float64
	// FixedFraction is the part of a limit that is divided evenly into fixed shares,
	// 0 to 1; the home lends the rest. A higher value leaves more to an entry that
	// cannot reach the home, a lower one lets one entry use more of the units.
	FixedFraction float64
}

// DefaultSettings returns settings for installations in which a new bundle is in force
// at every entry within nine seconds.
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

// maxClockDrift is the tolerated relative difference in the speed of clocks. The home
// holds a loan longer than the holder by this fraction.
const maxClockDrift = 0.01

func (s Settings) slotLoanTime() time.Duration { return withDrift(s.LeaseDuration + s.LentSlotMax) }

func (s Settings) tokenLoanTime() time.Duration { return withDrift(s.LeaseDuration) }

func withDrift(d time.Duration) time.Duration { return d + time.Duration(maxClockDrift*float64(d)) }

// fixedUnits returns how many of the units are divided into fixed shares: the fixed
// fraction, but at least one per entry as far as half of the units suffice. It never
// decreases when the units increase, and never increases by more than they do.
func (s Settings) fixedUnits(units, entries int) int {
	fraction := int(s.FixedFraction * float64(units))
	return min(units, max(fraction, min(entries, units/2)))
}

// Home returns the entry that lends the account's units, and false without entries.
func Home(account btid.Account, entries []btid.Entry) (btid.Entry, bool) {
	return btrendezvous.First(homeKey(account), entries)
}

func homeKey(account btid.Account) string { return "limit/" + string(account) }

// fixedShare returns the fixed units of the entry at the given rank in the account's
// rendezvous order. The shares of all ranks sum to fixed, and no share decreases when
// fixed increases: entries with different limits in force never sum to more than the
// highest of them.
func fixedShare(fixed, rank, entries int) int {
	if rank < 0 || entries == 0 {
		return 0
	}
	return (fixed + entries - 1 - rank) / entries
}

// indexedLimits are Limits indexed for lookups.
type indexedLimits struct {
	entries            []btid.Entry
	accounts           map[btid.Account]Limit
	entriesDigest      uint64
	maxRequestDuration time.Duration
}

// maxRequestDurationOr returns the longest duration of a request that was admitted
// under these limits.
func (t *indexedLimits) maxRequestDurationOr(fallback time.Duration) time.Duration {
	if t.maxRequestDuration > 0 {
		return t.maxRequestDuration
	}
	return fallback
}

func indexLimits(l Limits) *indexedLimits {
	t := &indexedLimits{maxRequestDuration: l.MaxRequestDuration, entries: slices.Clone(l.Entries), accounts: make(map[btid.Account]Limit, len(l.Accounts))}
	slices.Sort(t.entries)
	var d xxhash.Digest
	d.Reset()
	for _, e := range t.entries {
		_, _ = d.WriteString(string(e) + "\n")
	}
	t.entriesDigest = d.Sum64()
	for _, a := range l.Accounts {
		a.Burst = max(a.Burst, 1)
		t.accounts[a.Account] = a
	}
	return t
}

// shape returns a digest of what a lease depends on: the entries and the burst.
func (t *indexedLimits) shape(l Limit) uint64 {
	return t.entriesDigest ^ xxhash.Sum64String(strconv.Itoa(l.Burst))
}

// rank returns the entry's position in the account's rendezvous order, or -1 if it is
// not listed.
func (t *indexedLimits) rank(account btid.Account, entry btid.Entry) int {
	return slices.Index(btrendezvous.Order(homeKey(account), t.entries), entry)
}
