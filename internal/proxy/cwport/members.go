package cwport

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// MembersRequest is a request to another instance for its reports of the members of a
// group.
type MembersRequest struct {
	Group string
	// MaxAge is the age that reports must not reach, and Wait how long the answer may be
	// delayed until there are such reports.
	MaxAge, Wait time.Duration
	// Others is the number of members other than the primary, and Primary is true if the
	// primary's report is needed as well. If Others is zero, the reports of all members
	// that can be reached are needed.
	Others  int
	Primary bool
}

// MemberReport is the last answer of a member to a health check.
type MemberReport struct {
	Member cwgroup.MemberID
	Health cwstatement.Health
	// Age is the time since the check was sent.
	Age time.Duration
}

// LogSample is an observed end of the primary's log.
type LogSample struct {
	Position cwgroup.LogPosition
	// Age is the time since the request was sent whose answer had the position.
	Age time.Duration
}

// PrimaryReport is what an instance knows from the answers of the primary to any request.
type PrimaryReport struct {
	Member cwgroup.MemberID
	// Term is its term and Position the end of its log, as of a request sent Age ago.
	Term     cwgroup.Term
	Position cwgroup.LogPosition
	Age      time.Duration
	// Log holds observed ends of its log in that term, in ascending order of time.
	Log []LogSample
}

// MembersResponse is the answer to a MembersRequest.
type MembersResponse struct {
	// Held is how long the answering instance delayed its answer.
	Held time.Duration
	// Observes is true if the answering instance holds the group and checks its members.
	Observes bool
	Reports  []MemberReport
	// Primary is about the primary that the answering instance knows; its Member is empty
	// if there is none.
	Primary PrimaryReport
}

// MembersServer answers requests of other instances for reports of members.
type MembersServer interface {
	ServeMembers(ctx context.Context, q MembersRequest) MembersResponse
}

// Observer is a holder of a group, which may be asked for reports of its members.
type Observer struct {
	// Name is the instance's name. Remote is true if it is in another data centre.
	Name   string
	Remote bool
	// Ask requests reports; nil if the observer is this instance. The error is an
	// *UnsupportedMethodError if the instance's build lacks the method; any other error
	// means that there is no usable answer.
	Ask func(ctx context.Context, q MembersRequest) (MembersResponse, error)
}

// Observers selects the instances to ask for reports of a group's members.
type Observers interface {
	// Observers returns the holders of the group: those in this data centre in the order
	// in which they observe, then the others.
	Observers(group string, d cwholder.TargetCapacity) []Observer
}

// UnsupportedMethodError reports an instance whose build doesn't have a method of the
// protocol between instances.
type UnsupportedMethodError struct{ Method string }

func (e *UnsupportedMethodError) Error() string { return "the instance has no method " + e.Method }

// InvalidAnswerError reports an answer of another instance that can't be decoded or has
// values out of range.
type InvalidAnswerError struct{ Cause error }

func (e *InvalidAnswerError) Error() string { return "invalid answer: " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *InvalidAnswerError) Unwrap() error { return e.Cause }
