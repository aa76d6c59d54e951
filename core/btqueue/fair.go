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
	// startTag is the virtual time at which the flow's next request may start.
	startTag float64
	levels   [priorities][]*item
	count    int
	cost     float64
}

// weightedCost is the flow's backlog in the measure by which accounts are equal.
func (f *flow) weightedCost() float64 { return f.cost / f.weight }

// head returns the first to go: the oldest of the highest priority.
func (f *flow) head() *item {
	for _, level := range f.levels {
		if len(level) > 0 {
			return level[0]
		}
	}
	return nil
}

// victim returns the first to be given up: the newest of the lowest priority.
func (f *flow) victim() *item {
	for _, level := range slices.Backward(f.levels[:]) {
		if len(level) > 0 {
			return level[len(level)-1]
		}
	}
	return nil
}

// costUpTo returns the cost of what waits at the level or goes before it.
func (f *flow) costUpTo(level int) float64 {
	var cost float64
	for _, items := range f.levels[:level+1] {
		for _, i := range items {
			cost += i.Cost
		}
	}
	return cost
}

// fairQueue is a start-time fairQueue queue (Goyal, Vin and Cheng 1996): each account's
// requests follow each other in virtual time by cost over weight, and the
// account with the lowest time goes first.
type fairQueue struct {
	virtualTime float64
	flows       []*flow
	byAccount   map[btid.Account]*flow
	// idleTags holds the next start time of accounts with nothing waiting, as long
	// as it lies ahead of the virtual time.
	idleTags map[btid.Account]float64
	count    int
	cost     float64
}

func newFairQueue() *fairQueue {
	return &fairQueue{byAccount: map[btid.Account]*flow{}, idleTags: map[btid.Account]float64{}}
}

// nextStartTag is when the account's next request would start if nothing of its own
// waited.
func (f *fairQueue) nextStartTag(account btid.Account) float64 {
	if w := f.byAccount[account]; w != nil {
		return w.startTag
	}
	return math.Max(f.virtualTime, f.idleTags[account])
}

func (f *fairQueue) push(i *item) {
	w := f.byAccount[i.Account]
	if w == nil {
		w = &flow{account: i.Account, startTag: f.nextStartTag(i.Account)}
		f.byAccount[i.Account] = w
		f.flows = append(f.flows, w)
		delete(f.idleTags, i.Account)
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
func (f *fairQueue) pop() *item {
	var next *flow
	for _, w := range f.flows {
		if next == nil || w.startTag < next.startTag || w.startTag == next.startTag && w.account < next.account {
			next = w
		}
	}
	if next == nil {
		return nil
	}
	i := next.head()
	f.virtualTime = math.Max(f.virtualTime, next.startTag)
	next.startTag += i.Cost / next.weight
	f.remove(i)
	return i
}

// remove takes the item out without a charge.
func (f *fairQueue) remove(i *item) {
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
		f.removeFlow(w)
	}
}

func (f *fairQueue) removeFlow(w *flow) {
	at := slices.Index(f.flows, w)
	f.flows[at] = f.flows[len(f.flows)-1]
	f.flows[len(f.flows)-1] = nil
	f.flows = f.flows[:len(f.flows)-1]
	delete(f.byAccount, w.account)
	if w.startTag > f.virtualTime {
		f.idleTags[w.account] = w.startTag
	}
	if f.count == 0 {
		f.cost = 0
	}
}

// pruneIdleTags drops what no longer matters of accounts with nothing waiting.
func (f *fairQueue) pruneIdleTags() {
	for account, tag := range f.idleTags {
		if tag <= f.virtualTime {
			delete(f.idleTags, account)
		}
	}
}

// reset ends a busy period: all accounts are equal again.
func (f *fairQueue) reset() {
	f.virtualTime = 0
	clear(f.idleTags)
}

// costAhead returns the cost of what would start before the request if nothing
// more arrived.
func (f *fairQueue) costAhead(a Arrived) float64 {
	var own float64
	if w := f.byAccount[a.Account]; w != nil {
		own = w.costUpTo((&item{Arrived: a}).level())
	}
	start := f.nextStartTag(a.Account) + own/a.Weight
	total := own
	for _, w := range f.flows {
		if w.account == a.Account || w.startTag > start {
			continue
		}
		total += math.Min(w.cost, (start-w.startTag)*w.weight+w.head().Cost)
	}
	return total
}

// largestBacklog returns the account with the largest backlog for its weight when the
// request is counted in.
func (f *fairQueue) largestBacklog(a Arrived) btid.Account {
	account := a.Account
	largest := a.Cost / a.Weight
	if w := f.byAccount[a.Account]; w != nil {
		largest += w.weightedCost()
	}
	for _, w := range f.flows {
		if w.account == a.Account {
			continue
		}
		if l := w.weightedCost(); l > largest || l == largest && account != a.Account && w.account < account {
			account, largest = w.account, l
		}
	}
	return account
}
