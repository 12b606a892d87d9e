package cwfailover

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// CommandKind is the kind of a command.
type CommandKind uint8

// The kinds of commands.
const (
	// WriteClaim writes this attempt's claim to the group's row in the table,
	// provided the row has not changed since it was read.
	WriteClaim CommandKind = iota
	// ReadClaim reads the row back, after the response to a write was lost or before
	// a command to a member that does not check terms.
	ReadClaim
	// RecordReplacedTerm records, in the row that holds this claim, which terms are
	// being replaced.
	RecordReplacedTerm
	// AdoptTerm asks a member to adopt the term for the claim and to return its
	// status.
	AdoptTerm
	// Promote makes a member the primary of the term.
	Promote
	// Follow makes a member replicate from the primary of the term.
	Follow
	// RecordPrimary records the new primary in the row and marks the change as done.
	RecordPrimary
)

// String returns the kind's name in logs.
func (k CommandKind) String() string {
	return [...]string{"claimRow", "readRow", "announceRow", "adopt", "promote", "follow", "recordRow"}[k]
}

// Command is a command of an Attempt or Supervisor that the caller executes.
type Command struct {
	Kind   CommandKind
	Member cwgroup.MemberID
	Term   cwgroup.Term
	Claim  cwgroup.ClaimID
	// Primary is the primary to replicate from for Follow and the one to record for
	// RecordPrimary.
	Primary cwgroup.MemberID
	// ReplacedTerm is the newest replaced term, which RecordReplacedTerm and
	// RecordPrimary record.
	ReplacedTerm cwgroup.Term
	// GroupSize is the number of members of the group, which the same two kinds
	// record; zero if it is not known.
	GroupSize int
	// NotAfter is the latest time at which the command may be sent. The caller
	// compares it with its monotonic clock immediately before sending, because the
	// process may have been paused since the command was created.
	NotAfter time.Time
}

// RowOutcome is the outcome of a request to the table.
type RowOutcome uint8

// The outcomes of a request to the table.
const (
	// RowConfirmed means that the write took effect.
	RowConfirmed RowOutcome = iota
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

// Response is the response to a command.
type Response struct {
	// Kind, Member and Claim are those of the command.
	Kind   CommandKind
	Member cwgroup.MemberID
	Claim  cwgroup.ClaimID
	// RowOutcome is the outcome of a command to the table. For ReadClaim,
	// RowConfirmed means that the row holds this attempt's claim.
	RowOutcome RowOutcome
	// Status is the member's status. Failed is true if the member did not answer or
	// rejected the command.
	Status cwgroup.Status
	Failed bool
}

// Plan holds the parameters of one change of primary. It is immutable.
type Plan struct {
	Group   string
	Members []cwgroup.MemberID
	// Quorums tells how many of the members must be fenced when the attempt begins. Members
	// may include some that do not count by themselves because they are leaving.
	Quorums cwgroup.Quorums
	// Acknowledged is the newest position that this proxy knows to be acknowledged. No member
	// is promoted whose log lacks it.
	Acknowledged cwgroup.LogPosition
	// StableSize is the number of members of the group without those that are being
	// exchanged; zero if it is not known.
	StableSize int
	// Term is the term that the group moves to.
	Term cwgroup.Term
	// ReplacedTerm is the newest term that is known to be replaced by this change.
	ReplacedTerm cwgroup.Term
	Claim        cwgroup.ClaimID
	// MembersCheckTerm is true if every member rejects commands of earlier terms.
	MembersCheckTerm bool
	// WithoutTable allows a change while the table is unavailable. It has no effect
	// unless MembersCheckTerm is set, because otherwise only the table makes a claim
	// unique.
	WithoutTable bool
	// LeavingPrimary is the primary if it is leaving. It is fenced before the others.
	LeavingPrimary cwgroup.MemberID
	// Leaving are the members that are leaving, the primary among them. One of them is
	// promoted only if it may be the only one that has every acknowledged record.
	Leaving []cwgroup.MemberID
	// Preferred is promoted if several members are equally advanced.
	Preferred cwgroup.MemberID
	// ExcludedPrimary is a primary that no replica can replicate from. It is fenced
	// but neither counted for the majority nor promoted: its log is the longest
	// because of records that could not be acknowledged, so it would be promoted
	// again and again. Any majority has every acknowledged record, so one of the
	// other members can be promoted.
	ExcludedPrimary cwgroup.MemberID
}
