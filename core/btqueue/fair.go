package btqueue

import (
	"math"
	"slices"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

const priorities = int(btrequest.High-btrequest.Low) + 1

// item is a request that waits or runs.
type item struct {
	Arrived
	// serial is the order of arrival.
	serial uint64
	// flow holds the item while it waits.
	flow *flow
	// started is when it was given to the target.
	started time.Time
}

// level is the item's place among the priorities, the first to go at zero.
func (i *item) level() int { return int(btrequest.High - i.Priority) }

// flow is what one account has waiting.
type flow struct {
	account btid.Account
	weight  float64
	// tag is the virtual time at which the flow's next request may start.
	tag    float64
	levels [priorities][]*item
	count  int
	cost   float64
}

// load is the flow's backlog in the measure by which accounts are equal.
func (f *flow) load() float64 { return f.cost / f.weight }

// head returns the first to go: the oldest of the highest priority.
func (f *flow) head() *item {
	for _, level := range f.levels {
		if len(level) > 0 {
			return level[0]
		}
	}
	return nil
}

// last returns the first to be given up: the newest of the lowest priority.
func (f *flow) last() *item {
	for _, level := range slices.Backward(f.levels[:]) {
		if len(level) > 0 {
			return level[len(level)-1]
		}
	}
	return nil
}

// costTo returns the cost of what waits at the level or goes before it.
func (f *flow) costTo(level int) float64 {
	var cost float64
	for _, items := range f.levels[:level+1] {
		for _, i := range items {
			cost += i.Cost
		}
	}
	return cost
}

// fair is a start-time fair queue (Goyal, Vin and Cheng 1996): each account's
// requests follow each other in virtual time by cost over weight, and the
// account with the lowest time goes first.
type fair struct {
	virtual float64
	flows   []*flow
	byName  map[btid.Account]*flow
	// idle holds the next start time of accounts with nothing waiting, as long
	// as it lies ahead of the virtual time.
	idle  map[btid.Account]float64
	count int
	cost  float64
}

func newFair() *fair {
	return &fair{byName: map[btid.Account]*flow{}, idle: map[btid.Account]float64{}}
}

// nextTag is when the account's next request would start if nothing of its own
// waited.
func (f *fair) nextTag(account btid.Account) float64 {
	if w := f.byName[account]; w != nil {
		return w.tag
	}
	return math.Max(f.virtual, f.idle[account])
}

func (f *fair) push(i *item) {
	w := f.byName[i.Account]
	if w == nil {
		w = &flow{account: i.Account, tag: f.nextTag(i.Account)}
		f.byName[i.Account] = w
		f.flows = append(f.flows, w)
		delete(f.idle, i.Account)
	}
	w.weight = i.Weight
	w.levels[i.level()] = append(w.levels[i.level()], i)
	w.count++
	w.cost += i.Cost
	i.flow = w
	f.count++
	f.cost += i.Cost
}

// pop takes out the next to start and charges its account for it.
func (f *fair) pop() *item {
	var next *flow
	for _, w := range f.flows {
		if next == nil || w.tag < next.tag || w.tag == next.tag && w.account < next.account {
			next = w
		}
	}
	if next == nil {
		return nil
	}
	i := next.head()
	f.virtual = math.Max(f.virtual, next.tag)
	next.tag += i.Cost / next.weight
	f.remove(i)
	return i
}

// remove takes the item out without a charge.
func (f *fair) remove(i *item) {
	w := i.flow
	level := w.levels[i.level()]
	at := slices.Index(level, i)
	w.levels[i.level()] = slices.Delete(level, at, at+1)
	w.count--
	w.cost -= i.Cost
	i.flow = nil
	f.count--
	f.cost -= i.Cost
	if w.count == 0 {
		f.retire(w)
	}
}

func (f *fair) retire(w *flow) {
	at := slices.Index(f.flows, w)
	f.flows[at] = f.flows[len(f.flows)-1]
	f.flows[len(f.flows)-1] = nil
	f.flows = f.flows[:len(f.flows)-1]
	delete(f.byName, w.account)
	if w.tag > f.virtual {
		f.idle[w.account] = w.tag
	}
	if f.count == 0 {
		f.cost = 0
	}
}

// forget drops what no longer matters of accounts with nothing waiting.
func (f *fair) forget() {
	for account, tag := range f.idle {
		if tag <= f.virtual {
			delete(f.idle, account)
		}
	}
}

// reset ends a busy period: all accounts are equal again.
func (f *fair) reset() {
	f.virtual = 0
	clear(f.idle)
}

// ahead returns the cost of what would start before the request if nothing
// more arrived.
func (f *fair) ahead(a Arrived) float64 {
	var own float64
	if w := f.byName[a.Account]; w != nil {
		own = w.costTo((&item{Arrived: a}).level())
	}
	start := f.nextTag(a.Account) + own/a.Weight
	total := own
	for _, w := range f.flows {
		if w.account == a.Account || w.tag > start {
			continue
		}
		total += math.Min(w.cost, (start-w.tag)*w.weight+w.head().Cost)
	}
	return total
}

// heaviest returns the account with the largest backlog for its weight when the
// request is counted in.
func (f *fair) heaviest(a Arrived) btid.Account {
	account := a.Account
	most := a.Cost / a.Weight
	if w := f.byName[a.Account]; w != nil {
		most += w.load()
	}
	for _, w := range f.flows {
		if w.account == a.Account {
			continue
		}
		if l := w.load(); l > most || l == most && account != a.Account && w.account < account {
			account, most = w.account, l
		}
	}
	return account
}
