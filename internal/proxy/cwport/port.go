// Package cwport defines the interfaces between the proxy's engine and the
// protocols around it, and the types that cross them: connections of callers,
// connections to targets, promotions, the platform's store as a source of the
// catalogue and of the list of targets, and the exchange with other instances.
//
// Each protocol has an adapter that implements these interfaces. An adapter
// translates messages and makes no decisions of its own.
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

// CallerConn is the connection of one caller's session.
type CallerConn interface {
	// Startup reads the caller's startup message. The error is a *MalformedMessageError if it
	// breaks the protocol, and a *NoRoomError if it was dropped.
	Startup() (Startup, error)
	// Accept answers the startup message with success.
	Accept() error
	// Refuse answers the startup message with an error, or ends a session that waits for
	// its caller. If a statement of the caller was on its way, the error is the first part
	// of its answer; see EndRefused.
	Refuse(cwstatement.Response) error
	// EndRefused completes the answer to a statement that was read after Refuse.
	EndRefused(cwstatement.TransactionState) error
	// Next reads the next statement. The error is io.EOF once the caller has
	// ended the session, a *MalformedMessageError for a message that breaks the
	// protocol, and a *NoRoomError for one that was dropped. The text of a statement is charged
	// to the memory as cwmemory.Statement.
	Next() (cwstatement.Statement, error)
	// SetMemory sets the account that is charged for the caller's messages. It must be called
	// before Startup.
	SetMemory(Memory)
	// DropMessage drops the message that is being read, whose statement Next reports in a
	// *NoRoomError. It may be called from any goroutine.
	DropMessage()
	// Reply writes the answer to a statement.
	Reply(cwstatement.Response) error
	// SetReadTimeout bounds the wait for the next statement; zero removes the
	// bound.
	SetReadTimeout(time.Duration) error
	Close() error
}

// MalformedMessageError reports a message of a caller that breaks the protocol. The session
// cannot go on after it.
type MalformedMessageError struct{ Cause error }

func (e *MalformedMessageError) Error() string { return "malformed message: " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *MalformedMessageError) Unwrap() error { return e.Cause }

// Startup is the content of a caller's startup message.
type Startup struct {
	// Database is the service name of the catalogue entry to use.
	Database string
	// KeyDigest is the digest of the caller's API key, which identifies its workspace.
	KeyDigest cwcatalogue.KeyDigest
}

// Endpoint is the address of a target and the identity expected there.
type Endpoint struct {
	// ID is sent to the target, which refuses the connection if it has another one:
	// addresses are reused.
	ID      cwgroup.MemberID
	Service string
	// Address is IP:port.
	Address string
}

// TargetConn is a connection to a target. It is not safe for concurrent use.
type TargetConn interface {
	// Send buffers a command. An error is reported by Flush.
	Send(cwstatement.Command)
	// Flush sends the buffered commands. The error is an *UnsendableError if one of them can't
	// be sent; then none of them is.
	Flush() error
	// Receive reads the answer to the oldest command that has none yet. The error is an
	// *AnswerTooLargeError if there was no memory for it.
	Receive() (cwstatement.Response, error)
	// SetMemory sets the account that is charged for answers, as cwmemory.Answer; nil for none.
	SetMemory(Memory)
	// Health asks the target for its replication status and load.
	Health() (cwstatement.Health, error)
	// Fence makes a replica stop replicating until it learns of a primary in the
	// given term or a later one.
	Fence(cwgroup.Term) (cwstatement.Health, error)
	// Unfence makes a fenced replica replicate again.
	Unfence() error
	// Demote turns a primary of a term before the given one into a replica.
	Demote(cwgroup.Term) (cwstatement.Health, error)
	// SetTimeout bounds the total time of all following operations; zero removes
	// the bound.
	SetTimeout(time.Duration) error
	// NoUnreadInput reports whether nothing has arrived since the last answer. It returns
	// false if the target has closed the connection or sent an unsolicited message.
	NoUnreadInput() bool
	Close() error
}

// Dialer opens connections to targets.
type Dialer interface {
	// Dial opens a connection for the statements of one workspace, or, if workspace
	// is empty, for the proxy's own statements and those of callers without a
	// workspace. A target can't change the workspace of an open connection. The
	// error is a *RefusedError if the target refused the connection.
	Dial(ctx context.Context, to Endpoint, workspace string) (TargetConn, error)
}

// RefusedError reports that a target refused a connection or a command.
type RefusedError struct {
	Code   cwstatement.Code
	Detail string
}

func (e *RefusedError) Error() string {
	return "refused by the target: " + e.Code.String() + " " + e.Detail
}

// UnsendableError reports a command that is no message of the target's protocol, for example
// because it is too long. Neither it nor the commands that were buffered with it were sent, and
// the connection can be used as before.
type UnsendableError struct{ Cause error }

func (e *UnsendableError) Error() string { return "not sent to the database: " + e.Cause.Error() }

func (e *UnsendableError) Unwrap() error { return e.Cause }

// Promotion is a request to make a target the primary of the next term.
type Promotion struct {
	Service string
	// ID is the target to promote.
	ID cwgroup.MemberID
	// Holder is the instance that makes the request and holds the claim for it.
	Holder string
	// FencingToken is the fencing token, which increases with each change of the claim's
	// holder.
	FencingToken uint64
}

// Promoter carries out promotions.
type Promoter interface {
	// Promote makes the target the primary of the next term.
	Promote(ctx context.Context, p Promotion) error
}

// ReportedRole is the role that a target reports in its entry in the list of
// targets.
type ReportedRole uint8

// The values of ReportedRole.
const (
	RoleUnknown ReportedRole = iota
	RoleReplica
	RolePrimary
)

// ListedTarget is the entry of one target in the platform's list.
type ListedTarget struct {
	ID         cwgroup.MemberID
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of statements that the target runs concurrently.
	Slots int
	// Draining is true once the target has announced that it is shutting down.
	Draining bool
	// DrainingSince is when this instance learnt that the target is draining; zero if the target
	// was draining before the instance knew of any target, or is not draining.
	DrainingSince time.Time
	// EntryMissing is true while the entry is missing from the list. The target is still used
	// until it is certain that the entry will not return.
	EntryMissing bool
	Role         ReportedRole
	// StartedAt is the target's start time by its own clock; zero if it reports none. After a
	// restart under the same id the time differs, and may be earlier if the clock was set
	// back.
	StartedAt time.Time
}

// Topic is a part of the platform's store that can be followed by itself.
type Topic uint8

// The topics.
const (
	// TopicDesired is the desired state as set by operators: the catalogue without targets.
	TopicDesired Topic = iota
	// TopicTargets is the platform's list of targets.
	TopicTargets
	// TopicOwn is the rows that the proxy's instances write themselves.
	TopicOwn
)

// String returns the topic's name for logs.
func (t Topic) String() string { return [...]string{"desired", "targets", "own"}[t] }

// Batch is the decoded rows of one topic: a snapshot, or the changes after a
// version.
type Batch struct {
	// Version is the version up to which the batch is complete; later changes are
	// requested after it.
	Version cwfeed.Version
	// Catalogue is the newest desired state; nil if the batch has none.
	Catalogue *cwcatalogue.Catalogue
	// Updated are targets that are new or changed.
	Updated []ListedTarget
	// Removed are targets that are no longer in the list.
	Removed []cwgroup.MemberID
	// OwnRows are the rows of TopicOwn that are new, changed or removed.
	OwnRows []Row
	// Raw are all rows of the batch in the store's format, to be passed on to
	// other instances.
	Raw []Row
	// RowErrors are the rows that could not be decoded. They are left out of the batch, and
	// what was known of them before stays in force.
	RowErrors []RowError
}

// RowError reports a row that could not be decoded.
type RowError struct {
	Key     string
	Version cwfeed.Version
	Cause   error
}

func (f RowError) Error() string {
	return "row " + f.Key + " version " + f.Version.String() + ": " + f.Cause.Error()
}

// Unwrap returns Cause.
func (f RowError) Unwrap() error { return f.Cause }

// Changed reports whether the batch has a catalogue, target or own row.
func (b Batch) Changed() bool {
	return b.Catalogue != nil || len(b.Updated)+len(b.Removed)+len(b.OwnRows) > 0
}

// Row is a row of the store.
type Row struct {
	Key     string
	Value   []byte
	Version cwfeed.Version
	// Removed is true if the store no longer has the row.
	Removed bool
	// Garbled is true if the store's encoding of the value could not be decoded; Value
	// is empty then.
	Garbled bool
	// Packed is the compressed value. It is set only for large values that came from
	// another instance or are kept for other instances; Value may be empty then.
	Packed []byte
}

// ETag returns the row's entity tag (ETag), by which a conditional write requires
// that the row has not changed; empty if the row does not exist.
func (r Row) ETag() string {
	if r.Removed {
		return ""
	}
	return strconv.FormatUint(uint64(r.Version), 10)
}

// Source reads topics from the platform's store.
type Source interface {
	// Snapshot returns all rows of a topic.
	Snapshot(ctx context.Context, t Topic) (Batch, error)
	// Changes returns the changes of a topic after a version as soon as there are
	// any, or an empty batch after wait. The error is a *ChangesLostError if a new
	// snapshot is needed because the changes are no longer kept, or the store is in
	// a later era than the version (it was restored from an older copy).
	Changes(ctx context.Context, t Topic, after cwfeed.Version, wait time.Duration) (Batch, error)
}

// ChangesLostError reports that the store no longer keeps the changes after a
// version.
type ChangesLostError struct{ After cwfeed.Version }

func (e *ChangesLostError) Error() string {
	return "the changes after version " + e.After.String() + " are no longer kept"
}
