package cwport

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwlimit"
)

// MemberDemand is the statements of one holder at one member of a group.
type MemberDemand struct {
	Member cwgroup.MemberID
	cwlimit.Demand
}

// ContendedGroup is a group that this instance holds and for which statements wait here.
type ContendedGroup struct {
	Name     string
	Capacity cwholder.TargetCapacity
}

// DemandRecorder has the demand of this instance at the members of its groups, and
// records that of the other holders.
type DemandRecorder interface {
	// ContendedGroups returns the contended groups whose slots are divided by demand.
	ContendedGroups() []ContendedGroup
	// Demand returns this instance's demand at the members of a group; nil if the group
	// is not running here.
	Demand(group string) []MemberDemand
	// RecordDemand records the demand of another holder as of a time.
	RecordDemand(group, holder string, members []MemberDemand, at time.Time)
}

// DemandServer answers reports of demand.
type DemandServer interface {
	// ExchangeDemand records the demand of another holder, and returns that of this
	// instance at the members of the group.
	ExchangeDemand(group, holder string, members []MemberDemand) []MemberDemand
}

// MalformedAnswerError reports an answer of another instance that is malformed, too long
// or has values out of range.
type MalformedAnswerError struct {
	Method string
	Cause  error
}

func (e *MalformedAnswerError) Error() string {
	return "malformed answer to " + e.Method + ": " + e.Cause.Error()
}

// Unwrap returns Cause.
func (e *MalformedAnswerError) Unwrap() error { return e.Cause }
