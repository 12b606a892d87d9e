package cwfeed

import "time"

// Ages says how old an instance's knowledge of a topic may be.
type Ages struct {
	// Stale is the age of the store's last confirmation beyond which an instance
	// asks the store itself.
	Stale time.Duration
}

// Shares of Stale, in percent.
const (
	// askShare is the wait of a root's question to the store. An answer that
	// brings news confirms no more than the time of its question, so two waits
	// and the way down the tree must fit into Stale.
	askShare = 45
	// followShare is the wait of a question to a feeder. The feeder answers as
	// soon as its own knowledge is confirmed anew; one that does not in half of
	// the time is asked again, so that it shows that it lives.
	followShare = 50
)

// AskWait is how long the store may hold a root's question.
func (a Ages) AskWait() time.Duration { return a.Stale * askShare / 100 }

// FollowWait is how long a feeder may hold a question.
func (a Ages) FollowWait() time.Duration { return a.Stale * followShare / 100 }

// IsStale reports whether the store must be asked.
func (a Ages) IsStale(confirmed, now time.Time) bool { return now.Sub(confirmed) >= a.Stale }

// StoreAnswer is a question to the store and when it was answered.
type StoreAnswer struct {
	Sent, Answered time.Time
	// Wait is how long the store was allowed to hold the question.
	Wait time.Duration
	// News is true if there was anything to tell.
	News bool
}

// Confirmed returns a time at which everything that the answer told was
// certainly all there was.
//
// The failure: an answer is held up on its way by a partition, and what it tells
// counts as known now though it is seconds old. The time of the question is a
// safe bound; an answer without news was given at the end of the wait.
func (a StoreAnswer) Confirmed() time.Time {
	if a.News {
		return a.Sent
	}
	end := a.Sent.Add(a.Wait)
	if a.Answered.Before(end) {
		return a.Sent
	}
	return end
}

// FeederAnswer is a question to a feeder and what it says of itself.
type FeederAnswer struct {
	Sent time.Time
	// Held is how long the feeder held the question, Age how long before its
	// answer the store had confirmed what it knows.
	Held, Age time.Duration
}

// Confirmed returns a time at which everything that the feeder knew was certainly
// all there was.
//
// The failure: the answer is held up on its way, or the feeder stands still
// between its answer and its sending. Only the time of the question is this
// instance's own; the feeder answered no earlier than that and what it held it.
func (a FeederAnswer) Confirmed() time.Time { return a.Sent.Add(a.Held - a.Age) }
