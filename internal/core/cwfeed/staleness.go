package cwfeed

import "time"

// Staleness holds the staleness bound of an instance's data of one topic.
type Staleness struct {
	// MaxAge is the age of the store's last confirmation from which on an instance
	// queries the store itself.
	MaxAge time.Duration
}

// Waits of queries, in percent of Staleness.MaxAge.
const (
	// storeWaitPercent is the wait of a root's query to the store. A response with
	// changes confirms the data only up to the time at which its query was sent, so
	// two waits and the way down the tree must fit into MaxAge.
	storeWaitPercent = 45
	// feederWaitPercent is the wait of a query to a feeder. The feeder responds as
	// soon as its own data is confirmed again. If it does not within half of
	// MaxAge, it is queried again, so that its response shows that it is alive.
	feederWaitPercent = 50
)

// StoreWait returns how long the store may hold a root's query.
func (a Staleness) StoreWait() time.Duration { return a.MaxAge * storeWaitPercent / 100 }

// FeederWait returns how long a feeder may hold a query.
func (a Staleness) FeederWait() time.Duration { return a.MaxAge * feederWaitPercent / 100 }

// IsStale reports whether data that was last confirmed at confirmed is too old,
// so that the instance must query the store.
func (a Staleness) IsStale(confirmed, now time.Time) bool { return now.Sub(confirmed) >= a.MaxAge }

// StoreResponse holds the times of a query to the store and of its response, by
// the clock of the instance that sent the query.
type StoreResponse struct {
	Sent, Received time.Time
	// Wait is how long the store was allowed to hold the query.
	Wait time.Duration
	// HasChanges is true if the response contains changes.
	HasChanges bool
}

// Confirmed returns a time at which the response was certainly complete: it
// contains every change that the store had acknowledged by then.
//
// A partition can delay a response, so that the time at which it arrives says
// nothing about the age of its contents. The time at which the query was sent
// is a safe bound. A response without changes was sent at the end of the wait,
// unless it arrived before that.
func (a StoreResponse) Confirmed() time.Time {
	if a.HasChanges {
		return a.Sent
	}
	end := a.Sent.Add(a.Wait)
	if a.Received.Before(end) {
		return a.Sent
	}
	return end
}

// FeederResponse holds the time at which a query to a feeder was sent, and the
// durations that the feeder's response states.
type FeederResponse struct {
	Sent time.Time
	// Held is how long the feeder held the query. Age is how long before its
	// response the store had confirmed its data.
	Held, Age time.Duration
}

// Confirmed returns a time at which the feeder's data was certainly complete: it
// contains every change that the store had acknowledged by then.
//
// The network can delay the response, and the feeder can be suspended between
// creating and sending it. Only the time at which the query was sent is by this
// instance's own clock. The feeder responded no earlier than Held after that.
func (a FeederResponse) Confirmed() time.Time { return a.Sent.Add(a.Held - a.Age) }
