package cwport

import (
	"context"
	"math"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
)

// Topics lists all topics, in the order in which messages between instances carry them.
var Topics = [...]Topic{TopicDesired, TopicTargets, TopicOwn}

// TopicCount is the number of topics.
const TopicCount = len(Topics)

// ChangesRequest is a request to another instance for changes of the platform's
// store: a long poll.
type ChangesRequest struct {
	// After is the version up to which the requesting instance knows each topic: zero if
	// it has read nothing of the topic, SkipTopic if it wants no rows of it.
	After [TopicCount]cwfeed.Version
	// Wait is how long the answer may be delayed while there are no changes.
	Wait time.Duration
}

// SkipTopic is the version to request for a topic of which no rows are wanted.
const SkipTopic cwfeed.Version = math.MaxUint64

// ChangesResponse is the answer to a ChangesRequest: the rows of the platform's store that an
// instance has received, from the store itself or from another instance.
type ChangesResponse struct {
	Topics [TopicCount]TopicChanges
	// Held is how long the answering instance delayed its answer.
	Held time.Duration
	// TargetsUnavailable is true while the store doesn't answer requests for the list of targets.
	TargetsUnavailable bool
	// TargetsIncomplete is true while the answering instance uses targets whose entries are
	// missing from the list, or may soon be missing. An instance that has never seen those
	// targets must not take the rows as its first list.
	TargetsIncomplete bool
}

// TopicChanges is the part of a ChangesResponse about one topic.
type TopicChanges struct {
	// Version is the version up to which Rows are complete.
	Version cwfeed.Version
	// Complete is true if Rows are all rows of the topic, false if they are only the changes
	// after the requested version.
	Complete bool
	Rows     []Row
	// Age is the time between the store's last confirmation that there were no newer
	// changes and the answer.
	Age time.Duration
}

// ChangesServer answers requests of other instances for changes of the store.
type ChangesServer interface {
	// ServeChanges answers as soon as there are changes after the versions in q or
	// the store has confirmed the known state anew, and otherwise after q.Wait.
	// The error is a *NotLoadedError if this instance hasn't read every topic yet.
	ServeChanges(ctx context.Context, q ChangesRequest) (ChangesResponse, error)
}

// NotLoadedError reports that an instance is reachable but can't answer a
// ChangesRequest, because it hasn't read every topic yet.
type NotLoadedError struct {
	// Cause is the error message of a remote instance; nil if the error comes from this
	// instance.
	Cause error
}

func (e *NotLoadedError) Error() string {
	if e.Cause != nil {
		return "no news: " + e.Cause.Error()
	}
	return "no news: the store's rows are not read yet"
}

// Unwrap returns Cause.
func (e *NotLoadedError) Unwrap() error { return e.Cause }

// Feeder is the parent of this instance in the distribution tree (see cwfeed):
// the instance from which it requests changes of the store.
type Feeder interface {
	// Name returns the instance's name.
	Name() string
	ChangesServer
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
	// are reported in the batch's RowErrors.
	Decode(t Topic, version cwfeed.Version, rows []Row) Batch
}
