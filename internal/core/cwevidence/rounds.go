package cwevidence

import "time"

// Intervals for a group without a settled primary.
const (
	// AskInterval is the minimum interval between two requests to an observer.
	AskInterval = 50 * time.Millisecond
	// maxUserAskInterval is the longest interval between two requests of an instance that
	// doesn't hold the group. It neither replaces the primary nor runs statements while a
	// holder does, and there are many such instances for each observer.
	maxUserAskInterval = 200 * time.Millisecond
	// maxCutOffAskInterval is the longest interval between two requests of an instance
	// that can't reach a majority, whose observer most likely can't either.
	maxCutOffAskInterval = 400 * time.Millisecond
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

// AskLimit returns the longest interval between two requests of an instance. holds is true
// if it holds the group, and cutOff if it can't reach a majority of the members.
func AskLimit(holds, cutOff bool) time.Duration {
	switch {
	case cutOff:
		return maxCutOffAskInterval
	case !holds:
		return maxUserAskInterval
	}
	return AskInterval
}

// AskDue reports whether the observer may be asked now.
func (r Rounds) AskDue(now time.Time) bool { return r.asks.Due(now) }

// CheckDue reports whether this instance must check the members itself now.
func (r Rounds) CheckDue(now time.Time) bool {
	return !r.nextCheckAt.IsZero() && !now.Before(r.nextCheckAt)
}

// WithAsk returns the schedule after a request that is sent now. limit is as returned by
// AskLimit.
func (r Rounds) WithAsk(now time.Time, limit time.Duration) Rounds {
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
