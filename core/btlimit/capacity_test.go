package btlimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btlimit"
)

// limitsOfSize returns limits under which each entry has a fixed share of two slots of
// each account.
func limitsOfSize(accounts, entries int) btlimit.Limits {
	var l btlimit.Limits
	for i := range entries {
		l.Entries = append(l.Entries, btid.Entry(fmt.Sprintf("entry-%03d", i)))
	}
	for i := range accounts {
		l.Accounts = append(l.Accounts, btlimit.Limit{Account: btid.Account(fmt.Sprintf("account-%03d", i)), Rate: 1e6, Burst: 100_000, Concurrency: 4 * entries})
	}
	return l
}

var sizes = []struct{ accounts, entries int }{{10, 3}, {100, 40}, {690, 380}}

// BenchmarkHolderSizes measures a tick and the memory per account at one entry that
// runs a request of each account.
func BenchmarkHolderSizes(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("accounts=%d/entries=%d", s.accounts, s.entries), func(b *testing.B) {
			limits := limitsOfSize(s.accounts, s.entries)
			before := heap()
			h := btlimit.NewHolder(btlimit.DefaultSettings(), limits.Entries[0], 1, start, rand.New(rand.NewPCG(1, 1)))
			h.Step(start, limits)
			now := start.Add(time.Minute)
			for i, a := range limits.Accounts {
				id := btid.Request{Entry: limits.Entries[0], Incarnation: 1, Number: uint64(i + 1)}
				h.Step(now, btlimit.Acquire{ID: id, Account: a.Account, Deadline: now.Add(time.Second)})
			}
			memory := float64(heap()-before) / float64(s.accounts)
			for b.Loop() {
				now = now.Add(time.Millisecond)
				h.Step(now, btlimit.Tick{})
			}
			b.ReportMetric(memory, "B/account")
		})
	}
}

// BenchmarkChange measures applying new limits at an entry that runs a request of each
// account, at a thousand changes a day.
func BenchmarkChange(b *testing.B) {
	const apart = 24 * time.Hour / 1000
	for _, s := range sizes {
		b.Run(fmt.Sprintf("accounts=%d/entries=%d", s.accounts, s.entries), func(b *testing.B) {
			limits := limitsOfSize(s.accounts, s.entries)
			h := btlimit.NewHolder(btlimit.DefaultSettings(), limits.Entries[0], 1, start, rand.New(rand.NewPCG(1, 1)))
			h.Step(start, limits)
			now := start.Add(time.Minute)
			var number uint64
			var running []btid.Request
			for b.Loop() {
				b.StopTimer()
				now = now.Add(apart)
				for _, id := range running {
					h.Step(now, btlimit.Release{ID: id})
				}
				running = running[:0]
				for _, a := range limits.Accounts {
					number++
					id := btid.Request{Entry: limits.Entries[0], Incarnation: 1, Number: number}
					h.Step(now, btlimit.Acquire{ID: id, Account: a.Account, Deadline: now.Add(time.Second)})
					running = append(running, id)
				}
				limits.Accounts[0].Rate++
				b.StartTimer()
				h.Step(now, limits)
				h.Step(now, btlimit.Tick{})
			}
		})
	}
}

// BenchmarkHome measures the answer to an ask and the memory per loan at a home where
// every entry has a loan of each account.
func BenchmarkHome(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("accounts=%d/entries=%d", s.accounts, s.entries), func(b *testing.B) {
			limits := limitsOfSize(s.accounts, s.entries)
			asks := asksToFirstEntry(limits)
			self := limits.Entries[0]
			before := heap()
			home := btlimit.NewAccountHome(btlimit.DefaultSettings(), self, start, btassert.New(btassert.Panic()))
			home.Step(start, limits)
			now := start.Add(5 * time.Minute)
			loans := 0
			for _, a := range asks {
				a.SentAt = now
				if _, lent := home.Step(now, btlimit.AskReceived{Ask: a})[0].(btlimit.SendLease); lent {
					loans++
				}
			}
			memory := float64(heap()-before) / float64(loans)
			assert.Equal(b, loans, len(asks))
			n := 0
			for b.Loop() {
				ask := asks[n%len(asks)]
				n++
				ask.Number, ask.SentAt = uint64(n+1), now
				home.Step(now, btlimit.AskReceived{Ask: ask})
			}
			b.ReportMetric(memory, "B/loan")
			b.ReportMetric(float64(loans), "loans")
		})
	}
}

// asksToFirstEntry returns the asks that all entries send, with demand for every account
// whose home is the first entry.
func asksToFirstEntry(limits btlimit.Limits) []btlimit.ShareAsk {
	var asks []btlimit.ShareAsk
	for _, entry := range limits.Entries {
		settings := btlimit.DefaultSettings()
		settings.AskRate = 1e6
		h := btlimit.NewHolder(settings, entry, 1, start, rand.New(rand.NewPCG(1, 1)))
		h.Step(start, limits)
		now := start.Add(time.Minute)
		for i, a := range limits.Accounts {
			if home, _ := btlimit.Home(a.Account, limits.Entries); home != limits.Entries[0] {
				continue
			}
			for n := range 12 {
				id := btid.Request{Entry: entry, Incarnation: 1, Number: uint64(100*i + n + 1)}
				h.Step(now, btlimit.Acquire{ID: id, Account: a.Account, Deadline: now.Add(time.Second)})
			}
		}
		for _, effect := range h.Step(now.Add(time.Second), btlimit.Tick{}) {
			if ask, ok := effect.(btlimit.SendAsk); ok {
				asks = append(asks, ask.Ask)
			}
		}
	}
	return asks
}

// BenchmarkAsks measures how many asks per second an entry sends among 380 entries, by
// the number of accounts in use. Each account runs more requests than its fixed share,
// and each ask is granted in full.
func BenchmarkAsks(b *testing.B) {
	const seconds = 20
	for _, used := range []int{10, 92, 300} {
		b.Run(fmt.Sprint("accounts=", used), func(b *testing.B) {
			asks := 0
			for b.Loop() {
				asks = countAsks(used, seconds)
			}
			b.ReportMetric(float64(asks)/seconds, "asks/s")
		})
	}
}

func countAsks(used, seconds int) int {
	limits := limitsOfSize(690, 380)
	h := btlimit.NewHolder(btlimit.DefaultSettings(), limits.Entries[0], 1, start, rand.New(rand.NewPCG(1, 1)))
	h.Step(start, limits)
	begin := start.Add(time.Minute)
	var number uint64
	asks := 0
	for tick := range 10 * (seconds + 5) {
		now := begin.Add(time.Duration(tick) * 100 * time.Millisecond)
		for i := range used {
			// Four requests of each account end and are replaced once a second.
			if (tick+i)%10 != 0 {
				continue
			}
			for range 4 {
				if number >= uint64(4*used) {
					h.Step(now, btlimit.Release{ID: btid.Request{Entry: limits.Entries[0], Incarnation: 1, Number: number - uint64(4*used) + 1}})
				}
				number++
				id := btid.Request{Entry: limits.Entries[0], Incarnation: 1, Number: number}
				h.Step(now, btlimit.Acquire{ID: id, Account: limits.Accounts[i].Account, Deadline: now.Add(2 * time.Second)})
			}
		}
		for _, effect := range h.Step(now, btlimit.Tick{}) {
			if ask, ok := effect.(btlimit.SendAsk); ok {
				if tick >= 50 {
					asks++
				}
				h.Step(now, btlimit.LeaseReceived{Lease: fullLease(ask.Ask)})
			}
		}
	}
	return asks
}

// fullLease returns a lease of everything that the ask wants.
func fullLease(a btlimit.ShareAsk) btlimit.ShareLease {
	return btlimit.ShareLease{
		Account: a.Account, To: a.From, Incarnation: a.Incarnation, Number: a.Number, Shape: a.Shape,
		Slots: a.Slots.Want, Tokens: a.Tokens.Want, Duration: btlimit.DefaultSettings().LeaseDuration,
	}
}
