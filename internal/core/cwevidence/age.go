package cwevidence

import (
	"fmt"
	"time"
)

// ClockError reports an answer whose hold time or ages can't be true by this instance's
// clock. The answer is not used.
type ClockError struct {
	// Held is the hold time stated in the answer, Took the time between the request and
	// the answer, and Age a negative age; zero if no age is negative.
	Held, Took, Age time.Duration
}

func (e *ClockError) Error() string {
	return fmt.Sprintf("an answer after %v states a hold time of %v and an age of %v", e.Took, e.Held, e.Age)
}

// Exchange is one request to another instance and its answer, by this instance's clock.
type Exchange struct {
	// RequestedAt is when the request was sent, and AnsweredAt when the answer arrived.
	RequestedAt, AnsweredAt time.Time
	// Held is the time between the arrival of the request and the answer at the other
	// instance, by its clock.
	Held time.Duration
}

// CheckedAt returns a time not later than that at which a check was sent whose report had
// the given age when the other instance answered. Every delay of a message makes the
// result earlier, never later. The error is a *ClockError.
func (e Exchange) CheckedAt(age time.Duration) (time.Time, error) {
	took := e.AnsweredAt.Sub(e.RequestedAt)
	if e.Held < 0 || age < 0 || e.Held > took {
		return time.Time{}, &ClockError{Held: e.Held, Took: took, Age: min(age, 0)}
	}
	return e.RequestedAt.Add(e.Held - age), nil
}

// AgeOf returns the age of a report as it is passed on. It is never negative and is
// rounded up, so that a report doesn't become younger by being passed on.
func AgeOf(at, now time.Time) time.Duration {
	d := max(0, now.Sub(at))
	if r := d % time.Microsecond; r > 0 {
		d += time.Microsecond - r
	}
	return d
}

// HeldFor returns the hold time of an answer that is sent now. It is rounded down, for the
// reason given at AgeOf.
func HeldFor(arrivedAt, now time.Time) time.Duration {
	return max(0, now.Sub(arrivedAt)).Truncate(time.Microsecond)
}
