package btstandin

import (
	"errors"
	"fmt"
	"net/http"
	"sync"

	"bilberrytide/core/btid"
)

// maxOrders is the number of latest accepted orders that an engine keeps for tests.
const maxOrders = 1024

// ErrOrder is wrapped by the error of an order that is malformed or not applicable
// in the member's state.
var ErrOrder = errors.New("order refused")

// OrderOp is the operation of an order. An engine outside a group accepts any.
type OrderOp string

// Operations that a member of a group supports.
const (
	OpStage  OrderOp = "stage"
	OpArm    OrderOp = "arm"
	OpCommit OrderOp = "commit"
	OpAbort  OrderOp = "abort"
	OpPause  OrderOp = "pause"
	OpSwitch OrderOp = "switch"
	OpResume OrderOp = "resume"
)

// Order is the body of POST /orders.
type Order struct {
	// Fencing must be above that of every previous order.
	Fencing uint64  `json:"fencing"`
	Op      OrderOp `json:"op"`
	// Version identifies the staged map that the order refers to, and is unique
	// to one staging. The engine treats it as opaque.
	Version string `json:"version,omitempty"`
	// Ranks and Map are set for stage: the members of the group and their map.
	Ranks []btid.Target `json:"ranks,omitempty"`
	Map   *ExpertMap    `json:"map,omitempty"`
}

// Validate returns an error that wraps ErrInput if there is no operation.
func (o Order) Validate() error {
	if o.Op == "" {
		return fmt.Errorf("%w: op: none", ErrInput)
	}
	return nil
}

// Fencing is the body of GET /orders and of the answers 200 and 409 to an order:
// the highest number accepted since the engine's start, zero for none.
type Fencing struct {
	Fencing uint64 `json:"fencing"`
}

// OrderLog is the body of GET /control/orders.
type OrderLog struct {
	// Accepted holds the latest accepted orders, oldest first, without their maps.
	Accepted []Order `json:"accepted"`
	// Stale counts orders whose fencing number was not above the highest before,
	// whether or not they were refused.
	Stale int `json:"stale"`
}

// executor carries out the orders that passed the check of fencing numbers, and is
// notified of kills and restarts of its engine.
type executor interface {
	// execute carries out an order, or starts it where it takes long.
	execute(o Order) error
	killed()
	// restarted is called before the restarted engine accepts requests.
	restarted()
}

// noopExecutor accepts every order without effect.
type noopExecutor struct{}

var _ executor = noopExecutor{}

func (noopExecutor) execute(Order) error { return nil }

func (noopExecutor) killed() {}

func (noopExecutor) restarted() {}

// orderReceiver checks the fencing numbers of an engine's orders and executes the
// accepted ones one at a time, in the order of acceptance.
type orderReceiver struct {
	checks   bool
	executor executor

	mutex sync.Mutex
	last  uint64
	log   OrderLog
}

func newOrderReceiver(checks bool, x executor) *orderReceiver {
	return &orderReceiver{checks: checks, executor: x}
}

// receive executes the order, or returns false if its fencing number is refused as
// stale.
func (d *orderReceiver) receive(o Order) (accepted bool, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.accept(o) {
		return false, nil
	}
	return true, d.executor.execute(o)
}

// accept records the order's number. The mutex must be held.
func (d *orderReceiver) accept(o Order) bool {
	if o.Fencing <= d.last {
		d.log.Stale++
		if d.checks {
			return false
		}
	}
	d.last = max(d.last, o.Fencing)
	if len(d.log.Accepted) == maxOrders {
		d.log.Accepted = d.log.Accepted[1:]
	}
	o.Map = nil
	d.log.Accepted = append(d.log.Accepted, o)
	return true
}

// reset clears the highest fencing number, as a restart does, but not the log.
func (d *orderReceiver) reset() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.last = 0
}

func (d *orderReceiver) fencing() Fencing {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return Fencing{Fencing: d.last}
}

func (d *orderReceiver) orders() OrderLog {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return OrderLog{Accepted: append([]Order{}, d.log.Accepted...), Stale: d.log.Stale}
}

// servePost answers 200 once the order was carried out or started, 409 to a stale
// fencing number and 422 to an order that the executor refuses.
func (d *orderReceiver) servePost(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !readJSON(w, r, &order) {
		return
	}
	if err := order.Validate(); err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return
	}
	accepted, err := d.receive(order)
	if !accepted {
		writeJSON(w, http.StatusConflict, d.fencing())
		return
	}
	if err != nil {
		writeError(w, http.StatusUnprocessableEntity, "%s: %v", order.Op, err)
		return
	}
	writeJSON(w, http.StatusOK, d.fencing())
}

func (d *orderReceiver) serveGet(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, d.fencing())
}

func (d *orderReceiver) control(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, d.orders())
}
