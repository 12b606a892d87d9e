package cwport

import (
	"context"
	"math"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
)

// Topics lists all topics, in the order in which messages between instances carry them.
var Topics = [...]Topic{Desired, Targets, Own}

// TopicCount is the number of topics.
const TopicCount = len(Topics)

// NewsQuestion is a request to another instance for changes of the platform's
// store: a long poll.
type NewsQuestion struct {
	// After is the version up to which the requesting instance knows each topic: zero if
	// it has read nothing of the topic, NotAsked if it wants no rows of it.
	After [TopicCount]cwfeed.Version
	// Wait is how long the answer may be delayed while there are no changes.
	Wait time.Duration
}

// NotAsked is the version to request for a topic of which no rows are wanted.
const NotAsked cwfeed.Version = math.MaxUint64

// News is the answer to a NewsQuestion: the rows of the platform's store that an
// instance has received, from the store itself or from another instance.
type News struct {
	Topics [TopicCount]TopicNews
	// Held is how long the answering instance delayed its answer.
	Held time.Duration
	// TargetsAway is true while the store doesn't answer requests for the list of targets.
	TargetsAway bool
	// TargetsUnsettled is true while the answering instance uses targets whose entries are
	// missing from the list, or may soon be missing. An instance that has never seen those
	// targets must not take the rows as its first list.
	TargetsUnsettled bool
}

// TopicNews is the part of News about one topic.
type TopicNews struct {
	// Version is the version up to which Rows are complete.
	Version cwfeed.Version
	// Whole is true if Rows are all rows of the topic, false if they are only the changes
	// after the requested version.
	Whole bool
	Rows  []Row
	// Age is the time between the store's last confirmation that there were no newer
	// changes and the answer.
	Age time.Duration
}

// NewsTeller answers requests of other instances for changes of the store.
type NewsTeller interface {
	// TellNews answers as soon as there are changes after the versions in q or
	// the store has confirmed the known state anew, and otherwise after q.Wait.
	// The error is a *NoNewsError if this instance hasn't read every topic yet.
	TellNews(ctx context.Context, q NewsQuestion) (News, error)
}

// NoNewsError reports that an instance is reachable but can't answer a
// NewsQuestion, because it hasn't read every topic yet.
type NoNewsError struct {
	// Cause is the error message of a remote instance; nil if the error comes from this
	// instance.
	Cause error
}

func (e *NoNewsError) Error() string {
	if e.Cause != nil {
		return "no news: " + e.Cause.Error()
	}
	return "no news: the store's rows are not read yet"
}

// Unwrap returns Cause.
func (e *NoNewsError) Unwrap() error { return e.Cause }

// Feeder is the parent of this instance in the distribution tree (see cwfeed):
// the instance from which it requests changes of the store.
type Feeder interface {
	// Name returns the instance's name.
	Name() string
	NewsTeller
}

// Feeders selects the source from which this instance requests changes of the
// store.
type Feeders interface {
	// Feeder returns the instance to ask now; nil if none is known or connected
	// yet. root is true if this instance is a root of the tree and asks the store
	// itself.
	Feeder() (f Feeder, root bool)
}

// Decoder decodes rows in the store's own format.
type Decoder interface {
	// Decode decodes rows of a topic up to a version. Rows that can't be decoded
	// are reported in the batch's Faults.
	Decode(t Topic, version cwfeed.Version, rows []Row) Batch
}
