package cwfailover

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// OrderKind is the kind of a command.
type OrderKind uint8

// The kinds of commands.
const (
	// ClaimRow writes this attempt's claim to the group's row in the table,
	// provided the row has not changed since it was read.
	ClaimRow OrderKind = iota
	// ReadRow reads the row back, after the response to a write was lost or before
	// a command to a member that does not check terms.
	ReadRow
	// AnnounceRow records, in the row that holds this claim, which terms are being
	// replaced.
	AnnounceRow
	// Adopt asks a member to adopt the term for the claim and to return its status.
	Adopt
	// Promote makes a member the primary of the term.
	Promote
	// Follow makes a member replicate from the primary of the term.
	Follow
	// RecordRow records the new primary in the row and marks the change as done.
	RecordRow
)

// String returns the kind's name in logs.
func (k OrderKind) String() string {
	return [...]string{"claimRow", "readRow", "announceRow", "adopt", "promote", "follow", "recordRow"}[k]
}

// Order is a command of a Keeper or Supervisor that the caller executes.
type Order struct {
	Kind   OrderKind
	Member cwgroup.MemberID
	Term   cwgroup.Term
	Claim  cwgroup.ClaimID
	// Primary is the primary to replicate from for Follow and the one to record for
	// RecordRow.
	Primary cwgroup.MemberID
	// Replaced is the newest replaced term, which AnnounceRow and RecordRow record.
	Replaced cwgroup.Term
	// Members is the number of members of the group, which the same two kinds
	// record; zero if it is not known.
	Members int
	// NotAfter is the latest time at which the command may be sent. The caller
	// compares it with its monotonic clock immediately before sending, because the
	// process may have been paused since the command was created.
	NotAfter time.Time
}

// RowOutcome is the outcome of a request to the table.
type RowOutcome uint8

// The outcomes of a request to the table.
const (
	// RowDone means that the write took effect.
	RowDone RowOutcome = iota
	// RowConflict means that the row holds another claim.
	RowConflict
	// RowUnknown means that the response was lost: the write may have taken effect.
	RowUnknown
	// RowUnavailable means that the write certainly did not take effect.
	RowUnavailable
)

// String returns the outcome's name in logs.
func (o RowOutcome) String() string {
	return [...]string{"done", "conflict", "unknown", "unavailable"}[o]
}

// Event is the response to a command.
type Event struct {
	// Kind, Member and Claim are those of the command.
	Kind   OrderKind
	Member cwgroup.MemberID
	Claim  cwgroup.ClaimID
	// Row is the outcome of a command to the table. For ReadRow, RowDone means that
	// the row holds this attempt's claim.
	Row RowOutcome
	// Status is the member's status. Failed is true if the member did not answer or
	// rejected the command.
	Status cwgroup.Status
	Failed bool
}

// Plan holds the parameters of one change of primary. It is immutable.
type Plan struct {
	Group   string
	Members []cwgroup.MemberID
	// Size is the number of members of the group. Members may list fewer, but never
	// more.
	Size int
	// Settled is the number of members of the group without those that are being
	// exchanged; zero if it is not known.
	Settled int
	// Term is the term that the group moves to.
	Term cwgroup.Term
	// Replaces is the newest term that is known to be replaced by this change.
	Replaces cwgroup.Term
	Claim    cwgroup.ClaimID
	// ChecksTerm is true if every member rejects commands of earlier terms.
	ChecksTerm bool
	// WithoutTable allows a change while the table is unavailable. It has no effect
	// unless ChecksTerm is set, because otherwise only the table makes a claim
	// unique.
	WithoutTable bool
	// Avoid is a member that is leaving. It is promoted only if it may be the only
	// one that has every acknowledged record.
	Avoid cwgroup.MemberID
	// Prefer is promoted if several members are equally advanced.
	Prefer cwgroup.MemberID
	// Exclude is a primary that no replica can replicate from. It is fenced but
	// neither counted for the majority nor promoted: its log is the longest because
	// of records that could not be acknowledged, so it would be promoted again and
	// again. Any majority has every acknowledged record, so one of the other
	// members can be promoted.
	Exclude cwgroup.MemberID
}
