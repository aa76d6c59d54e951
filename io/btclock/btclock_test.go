package btclock_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btclock"
)

// fakeClocks are the clocks of a host, set by the test.
type fakeClocks struct {
	monotonic, day, boot time.Duration
	// readDelay is the time that passes between two readings of different clocks.
	readDelay time.Duration
	err       error
}

func (f *fakeClocks) Now() (monotonic, day time.Duration) { return f.monotonic, f.day }

func (f *fakeClocks) Boot() (time.Duration, error) {
	boot := f.boot
	f.advance(f.readDelay)
	return boot, f.err
}

func (f *fakeClocks) advance(d time.Duration) {
	f.monotonic += d
	f.day += d
	f.boot += d
}

func (f *fakeClocks) suspend(d time.Duration) {
	f.day += d
	f.boot += d
}

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newClock(t *testing.T, f *fakeClocks, suspension *time.Duration) *btclock.Clock {
	t.Helper()
	c, err := btclock.New(f, origin, func(d time.Duration) { *suspension += d })
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

// After a suspension the clock must include its length, and report it once.
func TestSuspensionIsCounted(t *testing.T) {
	f := &fakeClocks{monotonic: time.Hour, day: 7, boot: 3 * time.Hour}
	suspension := time.Duration(0)
	c := newClock(t, f, &suspension)
	assert.Equal(t, c.Now(), origin)
	f.advance(2 * time.Second)
	assert.Equal(t, c.Now(), origin.Add(2*time.Second))
	f.suspend(5 * time.Second)
	assert.Equal(t, c.Now(), origin.Add(7*time.Second))
	assert.Equal(t, suspension, 5*time.Second)
	f.advance(time.Second)
	f.suspend(time.Second)
	assert.Equal(t, c.Now(), origin.Add(9*time.Second))
	assert.Equal(t, suspension, 6*time.Second)
}

// A change of the time of day looks like a suspension until the boot clock is read.
func TestSettingTheTimeOfDayIsIgnored(t *testing.T) {
	f := &fakeClocks{}
	suspension := time.Duration(0)
	c := newClock(t, f, &suspension)
	for _, set := range []time.Duration{time.Hour, -2 * time.Hour, time.Hour} {
		f.day += set
		assert.Equal(t, c.Now(), origin)
	}
	assert.Equal(t, suspension, time.Duration(0))
}

// A time of day that is set back by the length of the suspension hides it until the
// boot clock is read again, a second later.
func TestSuspensionHiddenByTheTimeOfDayIsFound(t *testing.T) {
	f := &fakeClocks{}
	suspension := time.Duration(0)
	c := newClock(t, f, &suspension)
	f.boot += 4 * time.Second
	assert.Equal(t, c.Now(), origin)
	f.advance(time.Second)
	assert.Equal(t, c.Now(), origin.Add(5*time.Second))
	assert.Equal(t, suspension, 4*time.Second)
}

// A process that the scheduler stops between two readings was not suspended. The time
// between them must not count as a suspension.
func TestDelayedReadingIsNotASuspension(t *testing.T) {
	f := &fakeClocks{}
	suspension := time.Duration(0)
	c := newClock(t, f, &suspension)
	f.readDelay = 300 * time.Millisecond
	for range 20 {
		f.advance(time.Second)
		c.Now()
	}
	assert.Equal(t, suspension, time.Duration(0))
	f.readDelay = 0
	f.advance(time.Second)
	f.suspend(time.Second)
	c.Now()
	assert.Equal(t, suspension, time.Second)
}

// Without a boot clock suspensions can't be detected, so New must fail.
func TestMissingBootClockIsAnError(t *testing.T) {
	failed := errors.New("no such clock")
	_, err := btclock.New(&fakeClocks{err: failed}, origin, nil)
	assert.ErrorIs(t, err, failed)
}
