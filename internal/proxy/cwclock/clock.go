// Package cwclock provides a clock for leases, claims and the age of data.
//
// Go's monotonic clock stops while the machine is suspended, so a lease measured
// by it would still be valid after hours of suspension. BootClock includes that
// time, and is not affected by changes of the wall clock.
package cwclock

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// BootClock is a clock whose Now is the time since the machine was booted, including
// suspension. Its timers are those of the runtime, which don't include it. Times of
// a BootClock may be compared only with each other.
type BootClock struct{ clockwork.Clock }

// NewBootClock returns a BootClock.
func NewBootClock() BootClock { return BootClock{Clock: clockwork.NewRealClock()} }

// Now returns the time since boot as a time.Time, counted from the Unix epoch. It
// panics if the system has no CLOCK_BOOTTIME.
func (BootClock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists since Linux 2.6.39. Without it leases would not be safe.
		panic("cwclock: no boot-time clock: " + err.Error())
	}
	return time.Unix(ts.Unix())
}

// Since returns the time that has passed since t.
func (b BootClock) Since(t time.Time) time.Duration { return b.Now().Sub(t) }

// Until returns the time until t.
func (b BootClock) Until(t time.Time) time.Duration { return t.Sub(b.Now()) }
