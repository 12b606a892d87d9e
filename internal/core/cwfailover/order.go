package cwfailover

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// OrderKind says what an order is for.
type OrderKind uint8

// The kinds of order.
const (
	// ClaimRow asks the table to set the group's row to this claim, if the row
	// is still as it was read.
	ClaimRow OrderKind = iota
	// ReadRow asks for the row, after an answer was lost or before an order to
	// a member that does not check terms.
	ReadRow
	// AnnounceRow asks the table to record, in the row that holds this claim, which
	// terms are replaced.
	AnnounceRow
	// Adopt asks a member to adopt the term for the claim, and for its status.
	Adopt
	// Promote makes a member the primary of the term.
	Promote
	// Follow makes a member copy the primary of the term.
	Follow
	// RecordRow asks the table to record the new primary.
	RecordRow
)

// String names the kind.
func (k OrderKind) String() string {
	return [...]string{"claimRow", "readRow", "announceRow", "adopt", "promote", "follow", "recordRow"}[k]
}

// Order is something for the owner of a keeper to send.
type Order struct {
	Kind   OrderKind
	Member cwgroup.MemberID
	Term   cwgroup.Term
	Claim  cwgroup.ClaimID
	// Primary is whom Follow is about, and what RecordRow records.
	Primary cwgroup.MemberID
	// Replaced is what AnnounceRow and RecordRow record.
	Replaced cwgroup.Term
	// Members is how many members the group has, for the same two.
	Members int
	// NotAfter is the last moment at which the order may be sent. The owner
	// compares it with its monotonic clock right before sending, since it may
	// have been paused after the order was made.
	NotAfter time.Time
}

// RowOutcome is how the table answered.
type RowOutcome uint8

// The outcomes of a request to the table.
const (
	// RowDone means that the change took effect.
	RowDone RowOutcome = iota
	// RowConflict means that the row holds another claim.
	RowConflict
	// RowUnknown means that the answer was lost: the change may have taken
	// effect.
	RowUnknown
	// RowUnavailable means that the table certainly did not take the change.
	RowUnavailable
)

// String names the outcome for logs.
func (o RowOutcome) String() string {
	return [...]string{"done", "conflict", "unknown", "unavailable"}[o]
}

// Event is an answer to an order.
type Event struct {
	// Kind, Member and Claim repeat the order's.
	Kind   OrderKind
	Member cwgroup.MemberID
	Claim  cwgroup.ClaimID
	// Row is set for orders to the table. For ReadRow, RowDone means that the
	// row holds this keeper's claim.
	Row RowOutcome
	// Status is the member's answer; Failed is set if there was none or the
	// member refused.
	Status cwgroup.Status
	Failed bool
}

// Plan is what a change of primary is about. It is immutable.
type Plan struct {
	Group   string
	Members []cwgroup.MemberID
	// Size is how many members the group has. Members may be fewer; they are never
	// more.
	Size int
	// Settled is the same without those that are being exchanged; zero if it is not
	// known.
	Settled int
	// Term is the term to move to.
	Term cwgroup.Term
	// Replaces is the newest term that is known to be replaced by this change.
	Replaces cwgroup.Term
	Claim    cwgroup.ClaimID
	// ChecksTerm is true if every member checks the term of an order.
	ChecksTerm bool
	// WithoutTable allows a change while the table is away. It has no effect
	// unless ChecksTerm is set, since otherwise only the table makes a claim
	// unique.
	WithoutTable bool
	// Avoid is a member that is leaving: it is promoted only if it alone has
	// everything.
	Avoid cwgroup.MemberID
	// Prefer is taken among equally advanced members.
	Prefer cwgroup.MemberID
	// Exclude is a member that is fenced but not counted and not promoted: a
	// primary that no replica can copy from. It is the most advanced by what
	// nobody could acknowledge, and would be promoted again and again. Any
	// majority has what was acknowledged, so one of the others will do.
	Exclude cwgroup.MemberID
}
