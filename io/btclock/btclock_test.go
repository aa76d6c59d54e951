package btclock_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btclock"
)

// machine is one whose clocks are set by hand.
type machine struct {
	steady, day, boot time.Duration
	// torn passes between two readings of different clocks.
	torn time.Duration
	err  error
}

func (m *machine) Now() (steady, day time.Duration) { return m.steady, m.day }

func (m *machine) Boot() (time.Duration, error) {
	boot := m.boot
	m.run(m.torn)
	return boot, m.err
}

func (m *machine) run(d time.Duration) {
	m.steady += d
	m.day += d
	m.boot += d
}

func (m *machine) suspend(d time.Duration) {
	m.day += d
	m.boot += d
}

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newClock(t *testing.T, m *machine, slept *time.Duration) *btclock.Clock {
	t.Helper()
	c, err := btclock.New(m, origin, func(d time.Duration) { *slept += d })
	assert.NilError(t, err)
	return c
}

func ExampleClock() {
	c, err := btclock.New(btclock.NewSystem(), time.Now(), nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	before := c.Now()
	fmt.Println(!c.Now().Before(before))
	// Output: true
}

func TestASuspensionCounts(t *testing.T) {
	m := &machine{steady: time.Hour, day: 7, boot: 3 * time.Hour}
	slept := time.Duration(0)
	c := newClock(t, m, &slept)
	assert.Equal(t, c.Now(), origin)
	m.run(2 * time.Second)
	assert.Equal(t, c.Now(), origin.Add(2*time.Second))
	m.suspend(5 * time.Second)
	assert.Equal(t, c.Now(), origin.Add(7*time.Second))
	assert.Equal(t, slept, 5*time.Second)
	m.run(time.Second)
	m.suspend(time.Second)
	assert.Equal(t, c.Now(), origin.Add(9*time.Second))
	assert.Equal(t, slept, 6*time.Second)
}

func TestATimeOfDayThatIsSetDoesNotCount(t *testing.T) {
	m := &machine{}
	slept := time.Duration(0)
	c := newClock(t, m, &slept)
	for _, set := range []time.Duration{time.Hour, -2 * time.Hour, time.Hour} {
		m.day += set
		assert.Equal(t, c.Now(), origin)
	}
	assert.Equal(t, slept, time.Duration(0))
}

// A time of day that is set back by the time of the suspension hides it for a second.
func TestAHiddenSuspensionIsFound(t *testing.T) {
	m := &machine{}
	slept := time.Duration(0)
	c := newClock(t, m, &slept)
	m.boot += 4 * time.Second
	assert.Equal(t, c.Now(), origin)
	m.run(time.Second)
	assert.Equal(t, c.Now(), origin.Add(5*time.Second))
	assert.Equal(t, slept, 4*time.Second)
}

// A process that is kept from its processor between two readings was not suspended.
func TestATornReadingIsNoSuspension(t *testing.T) {
	m := &machine{}
	slept := time.Duration(0)
	c := newClock(t, m, &slept)
	m.torn = 300 * time.Millisecond
	for range 20 {
		m.run(time.Second)
		c.Now()
	}
	assert.Equal(t, slept, time.Duration(0))
	m.torn = 0
	m.run(time.Second)
	m.suspend(time.Second)
	c.Now()
	assert.Equal(t, slept, time.Second)
}

func TestAMachineWithoutTheClockIsTold(t *testing.T) {
	failed := errors.New("no such clock")
	_, err := btclock.New(&machine{err: failed}, origin, nil)
	assert.ErrorIs(t, err, failed)
}
