// Package boottime provides a clock that counts the time for which the machine was suspended, as CLOCK_BOOTTIME does.
package boottime

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

const (
	// minJump is the advance of the time of day against the steady clock that makes Now
	// check for a suspension at once.
	minJump = 20 * time.Millisecond
	// checkInterval bounds the time between two checks; a step of the time of day at the
	// moment of a suspension could hide it.
	checkInterval = 100 * time.Millisecond
)

// Clock is a real clock whose Now, Since and Until count suspended time. The steady clock that
// package time uses stands still meanwhile, so that leases, grants and configurations from
// before a suspension would seem current after it. After a suspension the wall time of Now is
// ahead by its length; timers are not affected.
type Clock struct {
	clockwork.Clock

	// now reads the time of day and the steady clock, suspended the total time for which
	// the machine was suspended.
	now       func() time.Time
	suspended func() time.Duration

	mu        sync.Mutex
	base      time.Time
	initial   time.Duration // suspended at base
	offset    time.Duration // suspended since base, as of checkedAt
	drift     time.Duration // of the time of day against the steady clock since base, as of checkedAt
	checkedAt time.Time
}

var _ clockwork.Clock = (*Clock)(nil)

// New returns a clock.
func New() *Clock { return newClock(time.Now, suspendedTime) }

func newClock(now func() time.Time, suspended func() time.Duration) *Clock {
	t := now()
	return &Clock{Clock: clockwork.NewRealClock(), now: now, suspended: suspended, base: t, checkedAt: t, initial: suspended()}
}

// suspendedTime returns for how long the machine has been suspended since it started. It
// returns 0 if the kernel cannot say.
func suspendedTime() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// Now implements clockwork.Clock.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.now()
	drift := t.Round(0).Sub(c.base.Round(0)) - t.Sub(c.base)
	if drift-c.drift >= minJump || t.Sub(c.checkedAt) >= checkInterval {
		// The two clocks are read one after the other, so small differences are no
		// suspension.
		if s := c.suspended() - c.initial; s-c.offset >= minJump {
			c.offset = s
		}
		c.drift, c.checkedAt = drift, t
	}
	return t.Add(c.offset)
}

// Since implements clockwork.Clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until implements clockwork.Clock.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }
