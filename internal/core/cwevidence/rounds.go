package cwevidence

import "time"

// Intervals for a group without a settled primary.
const (
	// AskInterval is the minimum interval between two requests to an observer.
	AskInterval = 50 * time.Millisecond
	// MaxCutOffAskInterval is the longest interval between two requests of an instance
	// that can't reach a majority, whose observer most likely can't either.
	MaxCutOffAskInterval = 400 * time.Millisecond
	// OwnCheckInterval is the longest interval between two own checks of the members.
	OwnCheckInterval = time.Second
)

// Rounds schedules requests to an observer, and own checks besides, for a group without a
// settled primary. It is immutable. The zero Rounds is of a group that has just become
// unsettled.
type Rounds struct {
	// asks spaces the requests.
	asks Backoff
	// nextCheckAt is when this instance checks the members itself; zero before the first
	// request.
	nextCheckAt time.Time
}

// AskDue reports whether the observer may be asked now.
func (r Rounds) AskDue(now time.Time) bool { return r.asks.Due(now) }

// CheckDue reports whether this instance must check the members itself now.
func (r Rounds) CheckDue(now time.Time) bool {
	return !r.nextCheckAt.IsZero() && !now.Before(r.nextCheckAt)
}

// WithAsk returns the schedule after a request that is sent now. cutOff is true if this
// instance can't reach a majority of the members.
func (r Rounds) WithAsk(now time.Time, cutOff bool) Rounds {
	limit := AskInterval
	if cutOff {
		limit = MaxCutOffAskInterval
	}
	r.asks = r.asks.WithCheck(now, limit)
	if r.nextCheckAt.IsZero() {
		r.nextCheckAt = now.Add(OwnCheckInterval)
	}
	return r
}

// WithCheck returns the schedule after own checks that begin now.
func (r Rounds) WithCheck(now time.Time) Rounds {
	r.nextCheckAt = now.Add(OwnCheckInterval)
	return r
}

// WithNews returns the schedule after news that the state of the group may have changed:
// the observer may be asked at once.
func (r Rounds) WithNews() Rounds {
	r.asks = Backoff{}
	return r
}
