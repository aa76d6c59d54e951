package main

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"bilberrytide/platform/btmock"
)

const (
	// buildTime is how long agents are restarted as planned, so that the group's fencing
	// tokens rise.
	buildTime = 75 * time.Second
	// recoverTime is recover_s of the site; measureTime is how long requests are counted.
	recoverTime = 12 * time.Second
	measureTime = 8 * time.Second
	// stopGap is the least time between two planned stops, as on the site.
	stopGap = 1310 * time.Millisecond
	// downTime is how long all processes stay down after the kill, as on the site.
	downTime = 700 * time.Millisecond
	// rankMask selects the lead's rank in a fencing token, counterShift its counter.
	rankMask     = 1<<13 - 1
	counterShift = 29
)

// orders is what the engines have accepted.
type orders struct {
	mu      sync.Mutex
	rounds  int
	lead    int
	counter uint64
	// atHold is called once when an order to hold the group has been accepted.
	atHold func()
}

func (o *orders) accepted(_, status int, order btmock.Order) {
	if status != 200 && status != 202 {
		return
	}
	o.mu.Lock()
	o.lead = int(order.Fence & rankMask)
	o.counter = max(o.counter, order.Fence>>counterShift)
	if order.Op == "go" {
		o.rounds++
	}
	var call func()
	if order.Op == "hold" {
		call, o.atHold = o.atHold, nil
	}
	o.mu.Unlock()
	if call != nil {
		call()
	}
}

func (o *orders) state() (rounds, lead int, counter uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rounds, o.lead, o.counter
}

// ballots: the agent that leads is stopped and started as planned, again and again, as over
// weeks of service. Then all processes are killed at one moment, right after an engine has
// accepted an order to hold the group.
func ballots(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(r, sizes{entries: 3, ranks: 16, plainTargets: 3})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	o := &orders{}
	d.setOrderHook(o.accepted)
	if err := d.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	if err := d.endBootstrap(); err != nil {
		return false, err
	}
	r.say("all entries are ready")
	stopCalls := make(chan struct{})
	c := &clients{d: d}
	done := make(chan struct{})
	go func() { defer close(done); c.run(20, stopCalls) }()
	go d.moveDemand()
	time.Sleep(3 * time.Second)
	if err := d.rollLeads(o); err != nil {
		return false, err
	}
	rounds, _, counter := o.state()
	r.say("%d rounds, counter of the fencing token %d", rounds, counter)
	time.Sleep(3 * time.Second)
	faultAt := time.Now()
	served, sent := c.share(faultAt.Add(-6*time.Second), faultAt.Add(-3*time.Second))
	r.say("before: %d of %d requests served", served, sent)
	before := float64(served) / float64(max(sent, 1))
	if trouble {
		if err := d.killAllAtHold(o); err != nil {
			return false, err
		}
	}
	back := time.Now()
	time.Sleep(recoverTime + measureTime)
	close(stopCalls)
	<-done
	served, sent = c.share(back.Add(recoverTime), back.Add(recoverTime+measureTime))
	r.say("from %s to %s after all processes are back: %d of %d requests served", recoverTime, recoverTime+measureTime, served, sent)
	if before < 0.25 || sent < 50 {
		return false, errors.New("too few requests were served before the fault, or sent after it")
	}
	return float64(served) < 0.25*float64(sent), nil
}

// rollLeads stops and starts the agent that leads, one after the other.
func (d *deployment) rollLeads(o *orders) error {
	end := time.Now().Add(buildTime)
	var stoppedAt time.Time
	for n := 0; time.Now().Before(end); n++ {
		before, _, _ := o.state()
		for wait := 0; wait < 40; wait++ {
			if rounds, _, _ := o.state(); rounds != before {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		_, lead, counter := o.state()
		p := d.agents[lead]
		time.Sleep(stopGap - time.Since(stoppedAt))
		stoppedAt = time.Now()
		p.signal(syscall.SIGTERM)
		d.record.line("SIGTERM to %s", p.name)
		if !p.wait(graceSeconds * time.Second) {
			return errors.New("an agent doesn't stop")
		}
		time.Sleep(restartDelay)
		if err := d.start(p); err != nil {
			return err
		}
		d.record.line("planned restart %d, of %s, counter %d", n, p.name, counter)
	}
	return nil
}

// killAllAtHold kills all processes right after an engine has accepted an order to hold the
// group, and starts them again.
func (d *deployment) killAllAtHold(o *orders) error {
	killed := make(chan struct{})
	o.mu.Lock()
	o.atHold = func() {
		for _, p := range d.processes() {
			p.signal(syscall.SIGKILL)
		}
		close(killed)
	}
	o.mu.Unlock()
	select {
	case <-killed:
	case <-time.After(8 * time.Second):
		return errors.New("no order to hold the group came")
	}
	d.record.say("all processes are killed, right after an order to hold the group was accepted")
	for _, p := range d.processes() {
		p.wait(time.Second)
	}
	time.Sleep(downTime)
	for _, p := range d.processes() {
		if err := d.start(p); err != nil {
			return err
		}
	}
	d.record.say("all processes are started again")
	return nil
}

// moveDemand changes which experts are in demand.
func (d *deployment) moveDemand() {
	for n := 0; ; n++ {
		select {
		case <-d.stop:
			return
		case <-time.After(700 * time.Millisecond):
			d.group.SetPopularExpert((n * 7) % d.group.Shape.Experts)
		}
	}
}
