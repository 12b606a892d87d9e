// Package cwevidence decides from where an instance learns the health of a group's
// members, and how often.
//
// The first holder of a group in each data centre is its observer there: it checks the
// members, and the other instances of the data centre ask it for its reports. They check
// a member themselves if no observer answers or if its reports are too old. Members that
// don't answer are checked with exponential backoff.
//
// The package does no I/O and has no clock: the current time is passed in.
package cwevidence

import "time"

// Intervals between two checks of a member that doesn't answer.
const (
	// MinRetryInterval is the interval after the first check.
	MinRetryInterval = 50 * time.Millisecond
	// MaxRetryInterval is the longest interval where the answer of a member changes little:
	// a majority can't be reached, or this instance doesn't hold the group and an observer
	// checks the member.
	MaxRetryInterval = time.Second
	// MaxRetryIntervalInMajority is the longest interval otherwise. A returning primary
	// must be noticed before it is replaced.
	MaxRetryIntervalInMajority = 200 * time.Millisecond
)

// Backoff spaces repeated checks with exponentially growing intervals. It is immutable.
// The zero Backoff allows a check at once.
type Backoff struct {
	// interval is the last interval; zero before the first check. nextAt is the earliest
	// time of the next check.
	interval time.Duration
	nextAt   time.Time
}

// Due reports whether the next check may begin.
func (b Backoff) Due(now time.Time) bool { return !now.Before(b.nextAt) }

// WithCheck returns the backoff after a check that begins now. The interval until the
// next one is twice the last interval, and at most limit.
func (b Backoff) WithCheck(now time.Time, limit time.Duration) Backoff {
	d := min(max(2*b.interval, MinRetryInterval), limit)
	return Backoff{interval: d, nextAt: now.Add(d)}
}
