// Package cwtarget implements connections to the targets, the databases of a group.
//
// Callers' statements and control commands both use PostgreSQL protocol 3. The control
// interface consists of four functions and one notification channel, which the
// platform's groups provide:
//
//	SELECT * FROM group_status()
//	SELECT * FROM group_adopt(term, 'claim')
//	SELECT * FROM group_promote(term, 'claim')
//	SELECT * FROM group_follow(term, 'claim', 'member', 'address')
//	LISTEN group_position
//
// Each function returns one row with one column, which is the member's status in the
// format of FormatStatus. After LISTEN the member sends a notification at each change
// and, as a heartbeat, a few times a second. After each commit the primary reports the
// end of its log in the run-time parameter PositionParameter.
package cwtarget

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Names of the control interface.
const (
	// PositionParameter is the run-time parameter with the log position of a
	// commit.
	PositionParameter = "group_position"
	// PositionChannel is the notification channel for a member's status.
	PositionChannel = "group_position"
	// ControlApplication is the application name of control connections.
	ControlApplication = "cicadawalk-control"
)

// Report is a member's status as it is sent on the control connection.
type Report struct {
	cwgroup.Status
	// Following is the member that a replica replicates from.
	Following cwgroup.MemberID
}

// FormatStatus formats a report as key=value pairs. Times are in milliseconds.
func FormatStatus(r Report) string {
	return fmt.Sprintf("member=%s role=%s adopted=%d claim=%s last=%s applied=%s upstreamAgeMs=%d openWrites=%d following=%s",
		r.Member, r.Role, r.AdoptedTerm, r.Claim, r.Durable, r.Applied, r.UpstreamAge.Milliseconds(), r.OpenWrites, r.Following)
}

// StatusError reports a malformed status.
type StatusError struct{ Text string }

func (e *StatusError) Error() string { return fmt.Sprintf("status %q is malformed", e.Text) }

// ParseStatus parses the format of FormatStatus. It ignores unknown keys, and returns a
// *StatusError if the text is malformed.
func ParseStatus(s string) (Report, error) {
	var r Report
	for _, field := range strings.Fields(s) {
		key, value, ok := strings.Cut(field, "=")
		if !ok || r.setField(key, value) != nil {
			return Report{}, &StatusError{Text: s}
		}
	}
	if r.Member == "" {
		return Report{}, &StatusError{Text: s}
	}
	return r, nil
}

func (r *Report) setField(key, value string) error {
	var err error
	var n uint64
	switch key {
	case "member":
		r.Member = cwgroup.MemberID(value)
	case "role":
		r.Role = parseRole(value)
	case "adopted":
		n, err = strconv.ParseUint(value, 10, 63)
		r.AdoptedTerm = cwgroup.Term(n)
	case "claim":
		r.Claim = cwgroup.ClaimID(value)
	case "last":
		r.Durable, err = cwgroup.ParseLogPosition(value)
	case "applied":
		r.Applied, err = cwgroup.ParseLogPosition(value)
	case "upstreamAgeMs":
		n, err = strconv.ParseUint(value, 10, 40)
		r.UpstreamAge = time.Duration(n) * time.Millisecond
	case "openWrites":
		r.OpenWrites, err = strconv.Atoi(value)
	case "following":
		r.Following = cwgroup.MemberID(value)
	}
	return err
}

func parseRole(s string) cwgroup.Role {
	switch s {
	case "primary":
		return cwgroup.RolePrimary
	case "fenced":
		return cwgroup.RoleFenced
	default:
		return cwgroup.RoleReplica
	}
}
