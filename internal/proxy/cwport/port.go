// Package cwport names what the engine needs from the outside: callers,
// targets, the order to promote, and the news of routes and targets. Each
// protocol brings an adapter; none of them decides anything.
package cwport

import (
	"context"
	"strconv"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// Caller is the connection of one caller's session.
type Caller interface {
	// Startup reads what the caller wants.
	Startup() (Startup, error)
	// Accept answers a startup that succeeded.
	Accept() error
	// Refuse answers a startup that failed.
	Refuse(cwstatement.Response) error
	// Next reads the next statement. The error is io.EOF once the caller has
	// ended the session.
	Next() (cwstatement.Statement, error)
	// Reply writes the answer to a statement.
	Reply(cwstatement.Response) error
	// SetReadTimeout bounds the wait for the next statement; zero means no
	// bound.
	SetReadTimeout(time.Duration) error
	Close() error
}

// Startup is what a caller says of itself.
type Startup struct {
	// Database is the entry that it wants.
	Database string
	// Key shows to which workspace it belongs.
	Key cwcatalogue.KeyDigest
}

// Endpoint says where a target is and who is expected there.
type Endpoint struct {
	// ID is checked by the target, since addresses are used again.
	ID      cwgroup.MemberID
	Service string
	// Address is IP:port.
	Address string
}

// Target is a connection to a target. It is used by one goroutine at a time.
type Target interface {
	// Send queues a command. Flush tells whether it could be sent.
	Send(cwstatement.Command)
	// Flush sends what was queued.
	Flush() error
	// Receive reads the answer to the oldest command without one.
	Receive() (cwstatement.Response, error)
	// Health asks the target about itself.
	Health() (cwstatement.Health, error)
	// Fence makes a replica stop receiving until it learns of a primary in the
	// term or later.
	Fence(cwgroup.Term) (cwstatement.Health, error)
	// Unfence lets a replica receive again.
	Unfence() error
	// Demote makes a primary of an earlier term a replica.
	Demote(cwgroup.Term) (cwstatement.Health, error)
	// SetTimeout bounds everything that follows; zero means no bound.
	SetTimeout(time.Duration) error
	// Silent reports whether nothing has arrived since the last answer. A
	// connection that the target has closed, or on which it spoke unasked, is
	// not silent.
	Silent() bool
	Close() error
}

// Dialer opens connections to targets. A refusal by the target is a
// *RefusedError.
type Dialer interface {
	// Dial opens a connection on which statements of one workspace run, or
	// those of the product itself and of callers without a workspace if it is
	// empty. A target does not change what a connection was opened for.
	Dial(ctx context.Context, to Endpoint, workspace string) (Target, error)
}

// RefusedError reports a target that refused a connection or an order.
type RefusedError struct {
	Code   cwstatement.Code
	Detail string
}

func (e *RefusedError) Error() string {
	return "refused by the target: " + e.Code.String() + " " + e.Detail
}

// Promotion is the order to make a target the primary of the next term.
type Promotion struct {
	Service string
	ID      cwgroup.MemberID
	// Holder is the instance that gives the order.
	Holder string
	// Fence grows with each change of holder.
	Fence uint64
}

// Promoter carries out promotions.
type Promoter interface {
	Promote(ctx context.Context, p Promotion) error
}

// Leadership is how a target sees itself in the list of targets.
type Leadership uint8

// The leaderships.
const (
	LeadershipUnknown Leadership = iota
	LeadershipReplica
	LeadershipPrimary
)

// Listing is one target in the platform's list.
type Listing struct {
	ID         cwgroup.MemberID
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of statements that it runs at once.
	Slots int
	// Leaving is true once the target has announced that it ends.
	Leaving bool
	// Lapsed is true while the list lacks its entry. It is used all the same until it
	// is sure that the entry stays away.
	Lapsed bool
	Role   Leadership
	// Born is when the target started, by its own clock; zero if it does not
	// tell. A target that starts again under its id has another one, which can
	// be an earlier one where that clock was set back.
	Born time.Time
}

// Topic is something that a Source tells about.
type Topic uint8

// The topics.
const (
	// Desired is what operators want: the catalogue, without targets.
	Desired Topic = iota
	// Targets is the platform's list of targets.
	Targets
	// Own is the rows that the product keeps itself.
	Own
)

// String names the topic for logs.
func (t Topic) String() string { return [...]string{"desired", "targets", "own"}[t] }

// Batch is news of one topic.
type Batch struct {
	// Version is where to go on from.
	Version cwfeed.Version
	// Catalogue is the newest desired state, if the batch has one.
	Catalogue *cwcatalogue.Catalogue
	// Listed are targets that are new or changed.
	Listed []Listing
	// Removed are targets that the list no longer has.
	Removed []cwgroup.MemberID
	// Rows are rows of the product's own that are new, changed or removed.
	Rows []Row
	// Raw are all rows of the batch as the store told them, to be passed on to
	// other instances.
	Raw []Row
	// Faults are parts of the batch that could not be read. They are left out;
	// what was known before stays.
	Faults []RowFault
}

// RowFault is a row that could not be read.
type RowFault struct {
	Key     string
	Version cwfeed.Version
	Cause   error
}

func (f RowFault) Error() string {
	return "row " + f.Key + " version " + f.Version.String() + ": " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f RowFault) Unwrap() error { return f.Cause }

// Changed reports whether the batch brings any news.
func (b Batch) Changed() bool {
	return b.Catalogue != nil || len(b.Listed)+len(b.Removed)+len(b.Rows) > 0
}

// Row is a row of the store.
type Row struct {
	Key     string
	Value   []byte
	Version cwfeed.Version
	// Removed is true if the table no longer has it.
	Removed bool
	// Garbled is true if the store's text of the value cannot be read; the value
	// is empty then.
	Garbled bool
	// Packed is the value compressed, of large ones that came from another
	// instance or are kept for others; then Value may be empty.
	Packed []byte
}

// Tag returns the row's tag for a condition of a change; empty if the row is not
// there.
func (r Row) Tag() string {
	if r.Removed {
		return ""
	}
	return strconv.FormatUint(uint64(r.Version), 10)
}

// Source tells about topics.
type Source interface {
	// Snapshot returns everything about a topic.
	Snapshot(ctx context.Context, t Topic) (Batch, error)
	// Changes returns what changed after a version, as soon as there is
	// anything, or an empty batch after wait. The error is a *HistoryError if a
	// new snapshot is needed: the changes are no longer kept, or the store is in a
	// later era.
	Changes(ctx context.Context, t Topic, after cwfeed.Version, wait time.Duration) (Batch, error)
}

// HistoryError reports that the changes asked for are no longer kept.
type HistoryError struct{ After cwfeed.Version }

func (e *HistoryError) Error() string {
	return "the changes after version " + e.After.String() + " are no longer kept"
}
