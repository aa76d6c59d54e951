package btgate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btgate"
)

// On-time requests are admitted first, then late last attempts, then other late
// requests, each class in order of arrival.
func TestOnTimeRequestsAreAdmittedFirst(t *testing.T) {
	g := newGate(1)
	g.TryAcquire(start)
	until := start.Add(time.Hour)
	soon := start.Add(time.Second)
	for i, r := range []btgate.Request{
		{WaitUntil: until},
		{WaitUntil: until, LastAttempt: true},
		{WaitUntil: until, StartBy: soon},
		{WaitUntil: until, StartBy: start.Add(-time.Second)},
		{WaitUntil: until, StartBy: soon, LastAttempt: true},
	} {
		assert.Assert(t, g.Enqueue(start, r, i) != nil)
	}
	assert.DeepEqual(t, drain(g, start), []int{2, 4, 1, 0, 3})
}

// A request that becomes late in the queue is admitted after on-time requests.
func TestLateRequestsLosePrecedence(t *testing.T) {
	g := newGate(1)
	g.TryAcquire(start)
	until := start.Add(time.Hour)
	g.Enqueue(start, btgate.Request{WaitUntil: until, StartBy: start.Add(time.Second)}, 1)
	g.Enqueue(start, btgate.Request{WaitUntil: until, StartBy: start.Add(time.Minute)}, 2)
	assert.DeepEqual(t, drain(g, start.Add(2*time.Second)), []int{2, 1})
}

// drain releases the only slot until the queue is empty and returns the order of
// admission.
func drain(g *btgate.Gate[int], now time.Time) []int {
	var order []int
	for g.Running() > 0 {
		for _, w := range g.Release(now, time.Millisecond) {
			order = append(order, w.Value)
		}
	}
	return order
}

func TestCallerRequestParameters(t *testing.T) {
	c := btgate.Caller{Remaining: 8 * time.Second, FirstAttempt: btgate.DeadlineRange{Shortest: 8 * time.Second, Longest: 8 * time.Second}, Timeout: 8 * time.Second, Objective: 400 * time.Millisecond}
	r := c.Request(start, 3, 150*time.Millisecond)
	assert.DeepEqual(t, r, btgate.Request{Priority: 3, StartBy: start.Add(250 * time.Millisecond), WaitUntil: start.Add(1500 * time.Millisecond)})
	assert.Equal(t, r.WaitForGroupUntil(), r.StartBy, "its caller can retry")
	c.Remaining = 5 * time.Second
	r = c.Request(start, 3, 150*time.Millisecond)
	assert.Assert(t, r.LastAttempt && r.StartBy.Before(start), "its first attempt was three seconds ago")
	assert.Equal(t, r.WaitUntil, start.Add(1250*time.Millisecond))
	assert.Equal(t, r.WaitForGroupUntil(), r.WaitUntil)
	c = btgate.Caller{Timeout: time.Second}
	assert.DeepEqual(t, c.Request(start, 0, 0), btgate.Request{WaitUntil: start.Add(250 * time.Millisecond)})
}

// outage is a group that does not serve while callers keep arriving, and then serves a
// bounded number at a time.
type outage struct {
	slots       int
	perSecond   float64
	downtime    time.Duration
	serviceTime time.Duration
}

const (
	outageRunTime   = 12 * time.Second
	outageArrivals  = 5 * time.Second
	outageObjective = 400 * time.Millisecond
	outageDeadline  = 8 * time.Second
)

// outageCall is a request sent during or after an outage.
type outageCall struct {
	created, nextTry time.Time
	retried          bool
	waiter           *btgate.Waiter[*outageCall]
}

// outageRun simulates an outage. Until is the policy for how long a request waits for
// the group.
type outageRun struct {
	outage
	until   func(r btgate.Request) time.Time
	random  *rand.Rand
	gate    *btgate.Gate[*outageCall]
	calls   []*outageCall
	ends    []time.Time
	next    time.Time
	arrived int
	served  int
	// recovery counts the requests that arrive within two seconds after the group
	// serves again, recoveryInTime those of them that are served in time.
	recovery, recoveryInTime int
}

func (o outage) run(seed uint64, until func(r btgate.Request) time.Time) *outageRun {
	config := btgate.Config{MinLimit: 1, MaxLimit: float64(o.slots), InitialLimit: float64(o.slots), Entries: 1}
	r := &outageRun{
		outage: o,
		until:  until,
		random: rand.New(rand.NewPCG(seed, 2)),
		gate:   btgate.New[*outageCall](config),
		next:   start,
	}
	for now := start; now.Before(start.Add(outageRunTime)); now = now.Add(tick) {
		r.step(now)
	}
	return r
}

func (r *outageRun) step(now time.Time) {
	for !r.next.After(now) && now.Before(start.Add(outageArrivals)) {
		r.arrived++
		if r.justRecovered(now) {
			r.recovery++
		}
		r.calls = append(r.calls, &outageCall{created: now, nextTry: now})
		r.next = r.next.Add(time.Duration(r.random.ExpFloat64() / r.perSecond * float64(time.Second)))
	}
	ends := r.ends
	r.ends = nil
	for _, end := range ends {
		if end.After(now) {
			r.ends = append(r.ends, end)
			continue
		}
		for _, w := range r.gate.Release(now, r.serviceTime) {
			r.serve(now, w.Value)
		}
	}
	calls := r.calls
	r.calls = nil
	for _, c := range calls {
		if r.pending(now, c) {
			r.calls = append(r.calls, c)
		}
	}
}

// justRecovered reports whether the time is within two seconds after the group serves
// again.
func (r *outageRun) justRecovered(at time.Time) bool {
	recovered := start.Add(r.downtime)
	return !at.Before(recovered) && at.Before(recovered.Add(2*time.Second))
}

func (r *outageRun) serve(now time.Time, c *outageCall) {
	r.served++
	if r.justRecovered(c.created) && now.Sub(c.created) <= outageObjective/2 {
		r.recoveryInTime++
	}
	r.ends = append(r.ends, now.Add(r.serviceTime/2+time.Duration(r.random.Float64()*float64(r.serviceTime))))
}

// pending handles a call and reports whether it is still undecided.
func (r *outageRun) pending(now time.Time, c *outageCall) bool {
	remaining := outageDeadline - c.nextTry.Sub(c.created)
	caller := btgate.Caller{Remaining: remaining, FirstAttempt: btgate.DeadlineRange{Shortest: outageDeadline, Longest: outageDeadline}, Timeout: outageDeadline, Objective: outageObjective}
	request := caller.Request(c.nextTry, 0, outageObjective/2)
	serving := !now.Before(start.Add(r.downtime))
	switch {
	case c.waiter != nil && c.waiter.Admitted():
		return false
	case c.nextTry.After(now):
		return true
	case c.waiter != nil && now.After(request.WaitUntil):
		r.gate.Cancel(c.waiter)
		c.waiter = nil
		return r.scheduleRetry(c, r.gate.RetryAfter(now, remaining/3), now)
	case c.waiter != nil:
		return true
	case serving && r.gate.TryAcquire(now):
		r.serve(now, c)
		return false
	case serving:
		c.waiter = r.gate.Enqueue(now, request, c)
		return c.waiter != nil || r.scheduleRetry(c, r.gate.RetryAfter(now, remaining/3), now)
	case now.Before(r.until(request)):
		return true
	}
	return r.scheduleRetry(c, remaining/3, now)
}

// scheduleRetry schedules the call's only retry and reports whether there is one left.
func (r *outageRun) scheduleRetry(c *outageCall, after time.Duration, now time.Time) bool {
	if c.retried {
		return false
	}
	c.retried = true
	c.nextTry = now.Add(after)
	return true
}

// The policies compared: every request waits for the group until it gives up, or
// requests whose caller can retry wait only while they can be in time.
func waitUntilGivingUp(r btgate.Request) time.Time { return r.WaitUntil }
func waitWhileOnTime(r btgate.Request) time.Time   { return r.WaitForGroupUntil() }

// Guards against a backlog after an outage: if every request that arrived during the
// outage waits for the group, these requests take its slots when it serves again and
// make later ones late, although they are late already. Waiting only while in time
// costs a few of them their last attempt, as they retry at full load.
func TestBacklogOfOutageDoesNotDelayLaterRequests(t *testing.T) {
	o := outage{slots: 48, perSecond: 28, downtime: 1500 * time.Millisecond, serviceTime: 1200 * time.Millisecond}
	var waitAll, onTime outageRun
	for seed := range uint64(20) {
		waitAll.add(o.run(seed, waitUntilGivingUp))
		onTime.add(o.run(seed, waitWhileOnTime))
	}
	t.Logf("wait until giving up: %d in time of %d after the outage, %d lost of %d; wait while on time: %d of %d, %d of %d",
		waitAll.recoveryInTime, waitAll.recovery, waitAll.arrived-waitAll.served, waitAll.arrived, onTime.recoveryInTime, onTime.recovery, onTime.arrived-onTime.served, onTime.arrived)
	assert.Assert(t, onTime.recoveryInTime*100 >= onTime.recovery*98)
	assert.Assert(t, waitAll.recoveryInTime*100 < waitAll.recovery*90)
	assert.Assert(t, (onTime.arrived-onTime.served)*50 <= onTime.arrived)
}

// add adds the counts of another run.
func (r *outageRun) add(o *outageRun) {
	r.arrived += o.arrived
	r.served += o.served
	r.recovery += o.recovery
	r.recoveryInTime += o.recoveryInTime
}
