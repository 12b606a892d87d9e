package cwport

import (
	"context"
	"math"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
)

// Topics lists all topics.
var Topics = [...]Topic{Desired, Targets, Own}

// TopicCount is how many topics there are.
const TopicCount = len(Topics)

// NewsQuestion asks another instance what the platform's store has told.
type NewsQuestion struct {
	// After is the version up to which the asker knows each topic; zero if it has read
	// nothing of it, and NotAsked if it wants to be told nothing.
	After [TopicCount]cwfeed.Version
	// Wait is how long the answer may be held while there is nothing to tell.
	Wait time.Duration
}

// NotAsked stands for a topic of which nothing is to be told.
const NotAsked cwfeed.Version = math.MaxUint64

// News is what an instance has learnt from the platform's store, directly or
// from other instances.
type News struct {
	Topics [TopicCount]TopicNews
	// Held is how long the question was held.
	Held time.Duration
	// TargetsAway is true while the store does not tell about targets.
	TargetsAway bool
	// TargetsUnsettled is true while the teller counts targets whose entries are missing,
	// or may soon: its rows are no first list for who has never seen those.
	TargetsUnsettled bool
}

// TopicNews is what an instance has learnt of one topic.
type TopicNews struct {
	// Version is up to where the rows go.
	Version cwfeed.Version
	// Whole is true if these are all rows there are, not changes alone.
	Whole bool
	Rows  []Row
	// Age is how long before the answer the store had confirmed that there was
	// nothing more.
	Age time.Duration
}

// NewsTeller tells other instances the news of the store.
type NewsTeller interface {
	// TellNews answers as soon as there is something to tell, or a newer
	// confirmation of the store. The error is a *NoNewsError if this instance
	// knows nothing itself.
	TellNews(ctx context.Context, q NewsQuestion) (News, error)
}

// NoNewsError reports an instance that answers and has nothing to tell, because
// it has not read every topic yet.
type NoNewsError struct {
	// Cause is what a remote instance said; nil here.
	Cause error
}

func (e *NoNewsError) Error() string {
	if e.Cause != nil {
		return "no news: " + e.Cause.Error()
	}
	return "no news: the store's rows are not read yet"
}

// Unwrap returns the cause.
func (e *NoNewsError) Unwrap() error { return e.Cause }

// Feeder is another instance that tells this one the news of the store.
type Feeder interface {
	// Name returns the instance's name.
	Name() string
	NewsTeller
}

// Feeders tells whom this instance asks for news of the store.
type Feeders interface {
	// Feeder returns whom to ask now; nil if there is nobody yet. root is true
	// if this instance asks the store.
	Feeder() (f Feeder, root bool)
}

// Decoder reads rows of the store as they are.
type Decoder interface {
	// Decode reads rows of a topic. One that cannot be read is a fault of the
	// batch.
	Decode(t Topic, version cwfeed.Version, rows []Row) Batch
}
