package btqueue

import (
	"math"
	"slices"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

const priorities = int(btrequest.High-btrequest.Low) + 1

// item is a queued or running request.
type item struct {
	Arrived
	// serial numbers requests in order of arrival.
	serial uint64
	// flow is the queue that holds the item while it waits.
	flow *flow
	// started is when it was handed to the target.
	started time.Time
}

// level returns the index of the item's priority; 0 is the highest.
func (i *item) level() int { return int(btrequest.High - i.Priority) }

// flow is the queue of one account.
type flow struct {
	account btid.Account
	weight  float64
	// startTag is the virtual start time of the flow's next request.
	startTag float64
	levels   [priorities][]*item
	count    int
	cost     float64
}

// weightedCost returns the cost of the flow's queued requests divided by its weight.
func (f *flow) weightedCost() float64 { return f.cost / f.weight }

// head returns the next item to start: the oldest of the highest priority.
func (f *flow) head() *item {
	for _, level := range f.levels {
		if len(level) > 0 {
			return level[0]
		}
	}
	return nil
}

// victim returns the first item to displace: the newest of the lowest priority.
func (f *flow) victim() *item {
	for _, level := range slices.Backward(f.levels[:]) {
		if len(level) > 0 {
			return level[len(level)-1]
		}
	}
	return nil
}

// costUpTo returns the cost of the queued items of this level and all higher
// priorities.
func (f *flow) costUpTo(level int) float64 {
	var cost float64
	for _, items := range f.levels[:level+1] {
		for _, i := range items {
			cost += i.Cost
		}
	}
	return cost
}

// fairQueue implements start-time fair queueing (Goyal, Vin and Cheng 1996): the start
// tags of an account's requests advance in virtual time by cost over weight, and the
// account with the lowest start tag goes first.
type fairQueue struct {
	virtualTime float64
	flows       []*flow
	byAccount   map[btid.Account]*flow
	// idleTags holds the next start tag of accounts with an empty queue while it is
	// ahead of the virtual time.
	idleTags map[btid.Account]float64
	count    int
	cost     float64
}

func newFairQueue() *fairQueue {
	return &fairQueue{byAccount: map[btid.Account]*flow{}, idleTags: map[btid.Account]float64{}}
}

// nextStartTag returns the start tag of the account's next request if it has none
// queued.
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

// pop removes the next item to start and charges its cost to its account.
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

// remove removes an item without charging its account.
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

// pruneIdleTags drops the start tags of idle accounts that the virtual time has passed.
func (f *fairQueue) pruneIdleTags() {
	for account, tag := range f.idleTags {
		if tag <= f.virtualTime {
			delete(f.idleTags, account)
		}
	}
}

// reset starts a new busy period, in which all accounts are equal.
func (f *fairQueue) reset() {
	f.virtualTime = 0
	clear(f.idleTags)
}

// costAhead returns the cost of the items that would start before the request if
// nothing more arrived.
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

// largestBacklog returns the account with the largest backlog for its weight, including
// the arriving request.
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
