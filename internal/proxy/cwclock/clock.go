// Package cwclock is a clock for leases, claims and ages.
//
// The monotonic clock of the runtime stands still while a machine is suspended.
// A lease measured by it would still look young after hours of sleep. Boot
// counts that time, too, and never jumps with the time of day.
package cwclock

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Boot is a clock whose Now counts from the start of the machine, suspension
// included. Timers are those of the runtime. Times of a Boot compare only with
// each other.
type Boot struct{ clockwork.Clock }

// NewBoot returns a Boot.
func NewBoot() Boot { return Boot{Clock: clockwork.NewRealClock()} }

// Now returns the time since the start of the machine as a time.Time.
func (Boot) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists since Linux 2.6.39; without it no lease is safe.
		panic("cwclock: no boot-time clock: " + err.Error())
	}
	return time.Unix(ts.Unix())
}

// Since returns the time that has passed since t.
func (b Boot) Since(t time.Time) time.Duration { return b.Now().Sub(t) }

// Until returns the time until t.
func (b Boot) Until(t time.Time) time.Duration { return t.Sub(b.Now()) }
