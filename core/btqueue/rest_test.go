package btqueue_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btqueue"
	"bilberrytide/core/btrequest"
)

// restBegin is the time at which the tests of rests begin.
var restBegin = time.Unix(1000, 0)

// newBusyQueue returns a queue of two slots, both taken, in which request 3 waits with
// 0.5 s left and request 4 with a minute.
func newBusyQueue(t *testing.T) *btqueue.Queue {
	t.Helper()
	s := btqueue.DefaultSettings(2, 16)
	s.InitialServiceTime = 10 * time.Millisecond
	q := btqueue.New(s, rand.New(rand.NewPCG(1, 2)), btassert.New(btassert.Panic()))
	for number, left := range []time.Duration{time.Minute, time.Minute, 500 * time.Millisecond, time.Minute} {
		q.Step(restBegin, arrive(uint64(number+1), restBegin.Add(left)))
	}
	return q
}

func arrive(number uint64, deadline time.Time) btqueue.Arrived {
	return btqueue.Arrived{ID: requestID(number), Account: "acme", Deadline: deadline, Cost: 1}
}

func requestID(number uint64) btid.Request { return btid.Request{Entry: "e1", Number: number} }

// refused returns the reasons and retry delays of the refusals among effects, by request.
func refused(effects []btqueue.Effect) map[uint64]btqueue.Refuse {
	out := map[uint64]btqueue.Refuse{}
	for _, effect := range effects {
		if e, ok := effect.(btqueue.Refuse); ok {
			out[e.ID.Number] = e
		}
	}
	return out
}

func startedCount(effects []btqueue.Effect) int {
	n := 0
	for _, effect := range effects {
		if _, ok := effect.(btqueue.Start); ok {
			n++
		}
	}
	return n
}

// Guards against queued requests that lose their places in a rest that they can wait for,
// and against those that wait in vain.
func TestRestKeepsPlacesOfRequestsThatCanWait(t *testing.T) {
	q := newBusyQueue(t)
	end := restBegin.Add(2 * time.Second)
	dropped := refused(q.Step(restBegin, btqueue.Rest{Until: end}))
	assert.Equal(t, len(dropped), 1)
	assert.Equal(t, dropped[3].Reason, btqueue.ReasonResting)
	assert.Equal(t, dropped[3].RetryAfter, 2*time.Second)
	assert.Equal(t, len(refused(q.Step(restBegin, btqueue.Rest{Until: restBegin.Add(time.Second)}))), 0, "a shorter rest changes nothing")
	assert.Equal(t, refused(q.Step(restBegin.Add(time.Second), arrive(9, restBegin.Add(time.Hour))))[9].Reason, btqueue.ReasonResting)
	free := restBegin.Add(1900 * time.Millisecond)
	assert.Equal(t, startedCount(q.Step(free, btqueue.Finished{ID: requestID(1), Took: 10 * time.Millisecond})), 0)
	assert.Equal(t, startedCount(q.Step(free, btqueue.Finished{ID: requestID(2), Took: 10 * time.Millisecond})), 0)
	assert.Equal(t, startedCount(q.Step(end, btqueue.Tick{})), 1)
}

// Guards against a surge at the end of a rest: the number of slots in use begins at one and
// grows with the requests that the target accepts.
func TestSlotsOpenGraduallyAfterRest(t *testing.T) {
	q := btqueue.New(btqueue.DefaultSettings(8, 64), rand.New(rand.NewPCG(1, 2)), btassert.New(btassert.Panic()))
	end := restBegin.Add(time.Second)
	q.Step(restBegin, btqueue.Rest{Until: end})
	running := []uint64{}
	for n := range uint64(30) {
		if startedCount(q.Step(end, arrive(n+1, end.Add(time.Minute)))) == 1 {
			running = append(running, n+1)
		}
	}
	assert.DeepEqual(t, running, []uint64{1})
	sizes := []int{1}
	for next := uint64(1); len(sizes) < 8; next++ {
		at := end.Add(time.Duration(next) * time.Millisecond)
		effects := q.Step(at, btqueue.Finished{ID: requestID(next), Took: time.Millisecond})
		sizes = append(sizes, sizes[len(sizes)-1]-1+startedCount(effects))
	}
	assert.DeepEqual(t, sizes, []int{1, 2, 3, 4, 5, 6, 7, 8})
}

// Guards against requests at a target that has announced its departure, and against a
// restarted one that gets none.
func TestLeavingTargetStartsNothing(t *testing.T) {
	q := newBusyQueue(t)
	for number, e := range refused(q.Step(restBegin, btqueue.Leaving{})) {
		assert.Equal(t, e.Reason, btqueue.ReasonLeaving, "request %d", number)
		assert.Equal(t, e.RetryAfter, time.Duration(0))
	}
	assert.Equal(t, q.Load().Waiting, 0)
	assert.Equal(t, refused(q.Step(restBegin, arrive(9, restBegin.Add(time.Minute))))[9].Reason, btrequest.Reason(btqueue.ReasonLeaving))
	q.Step(restBegin, btqueue.Finished{ID: requestID(1), Took: time.Millisecond})
	q.Step(restBegin, btqueue.Restarted{})
	assert.Equal(t, startedCount(q.Step(restBegin, arrive(10, restBegin.Add(time.Minute)))), 1)
}
