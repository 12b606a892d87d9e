// Package cwgroup models a group of replicated databases and what a proxy knows
// about it.
//
// A group has a few members, each a database with a log. One member, the primary,
// appends records to its log; the others, the replicas, copy them asynchronously.
// The databases number the primaries of a group by terms: each change of primary
// begins a new term, and a member that has adopted a term accepts nothing from an
// earlier one. A LogPosition identifies a record in the log of a group by the term
// and the index of the record. Log positions are compared by term first: the log of
// a later term contains every record that was acknowledged before, whereas a
// replaced primary can report a higher index on a diverged branch of the log that
// no other member has.
//
// A View is what one proxy knows about a group: an immutable value with the last
// Status received from each member and the time at which it was received.
//
// Members leave and come, and each proxy learns of that at another time. A Configuration is
// the set of members of which a majority decides, Quorums has the configurations that may
// be in force at once, and Reconfiguration tells when an earlier one ends. The invariant
// stands at Quorums. Membership is the number of members, also of those not listed.
package cwgroup

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Term numbers the primaries of a group. The first term is 1.
type Term uint64

// LogIndex is the number of a record in a log. The first record has index 1.
type LogIndex uint64

// MemberID identifies a member, that is a target. It is unique in the whole
// catalogue.
type MemberID string

// ClaimID identifies one attempt to replace a primary. It is unique.
type ClaimID string

// LogPosition identifies a record in the log of a group.
type LogPosition struct {
	Term  Term
	Index LogIndex
}

// Compare compares log positions by term, then by index. It returns -1, 0 or +1
// like cmp.Compare.
func (m LogPosition) Compare(o LogPosition) int {
	if c := cmp.Compare(m.Term, o.Term); c != 0 {
		return c
	}
	return cmp.Compare(m.Index, o.Index)
}

// AtLeast reports whether a log that ends at m contains every acknowledged record
// up to o.
func (m LogPosition) AtLeast(o LogPosition) bool { return m.Compare(o) >= 0 }

// String formats the position as term/index.
func (m LogPosition) String() string {
	return strconv.FormatUint(uint64(m.Term), 10) + "/" + strconv.FormatUint(uint64(m.Index), 10)
}

// ParseLogPosition parses the format written by String. The error is a
// *LogPositionError.
func ParseLogPosition(s string) (LogPosition, error) {
	t, p, ok := strings.Cut(s, "/")
	if !ok {
		return LogPosition{}, &LogPositionError{Text: s}
	}
	term, err := strconv.ParseUint(t, 10, 63)
	if err != nil {
		return LogPosition{}, &LogPositionError{Text: s}
	}
	index, err := strconv.ParseUint(p, 10, 63)
	if err != nil {
		return LogPosition{}, &LogPositionError{Text: s}
	}
	return LogPosition{Term: Term(term), Index: LogIndex(index)}, nil
}

// LogPositionError reports a text that is not a valid log position.
type LogPositionError struct{ Text string }

func (e *LogPositionError) Error() string { return fmt.Sprintf("%q is not term/position", e.Text) }

// Role is the role of a member in its group.
type Role uint8

// The roles of a member.
const (
	// RoleReplica copies the log of a primary.
	RoleReplica Role = iota
	// RolePrimary appends to the log.
	RolePrimary
	// RoleFenced has adopted a term and waits for a command to follow a primary.
	RoleFenced
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case RolePrimary:
		return "primary"
	case RoleFenced:
		return "fenced"
	default:
		return "replica"
	}
}

// Status is what a member reports about itself.
type Status struct {
	Member MemberID
	Role   Role
	// AdoptedTerm is the highest term that the member has adopted. It never
	// decreases.
	AdoptedTerm Term
	// PriorTerm is the term that the member was in when it adopted AdoptedTerm;
	// zero if it was not read.
	PriorTerm Term
	// FencedTerm is the term for which the member is fenced, in the members' own numbers, if
	// those differ from the ones of claims; otherwise it is zero.
	FencedTerm Term
	// Claim is the claim for which AdoptedTerm was adopted.
	Claim ClaimID
	// Durable is the position of the last record stored durably in the member's
	// log. Acknowledgement and promotion are based on it.
	Durable LogPosition
	// Applied is the log position up to which reads see the data. It is never
	// beyond Durable.
	Applied LogPosition
	// UpstreamAge is the time since a replica last received a message from its
	// primary, by the replica's monotonic clock.
	UpstreamAge time.Duration
	// OpenWrites is the number of open write transactions.
	OpenWrites int
}

// HasRecord reports whether the member has the record at m on the branch of m's term
// and has not adopted a later term.
//
// It prevents acknowledgements on behalf of a replaced primary: the members that
// follow the new primary have adopted a later term, so they no longer count.
func (s Status) HasRecord(m LogPosition) bool {
	return s.AdoptedTerm == m.Term && s.Durable.Term == m.Term && s.Durable.Index >= m.Index
}

// Report is a status and the time at which this proxy received it; for
// WithLatestReport, the time at which it sent the request.
type Report struct {
	Status
	At time.Time
	// Reachable is false once a new connection to the member has failed.
	Reachable bool
}

// Majority returns the smallest majority of n members.
func Majority(n int) int { return n/2 + 1 }

// View is what a proxy knows about a group. It is immutable; the With methods
// return modified copies. The zero View has no members.
type View struct {
	name    string
	members []MemberID
	// reports has the same order as members; a zero At means that there is no
	// report.
	reports []Report
	// quorums tells which of the members decide. Members that are leaving are in members
	// but not in the configuration in force.
	quorums Quorums
	// replacedTerm is the newest term whose primary is known to have been replaced.
	// It never decreases.
	replacedTerm Term
}

// NewView returns a view of a group without any reports, in which all members decide.
func NewView(name string, members []MemberID) View {
	return View{
		name: name, members: slices.Clone(members), reports: make([]Report, len(members)),
		quorums: Quorums{Current: newConfiguration(members, 0)},
	}
}

// Name returns the group's name.
func (v View) Name() string { return v.name }

// Members returns the members in the order in which they were set. Callers must not
// modify the slice.
func (v View) Members() []MemberID { return v.members }

// WithReport returns a view in which r replaces the member's last report. A report
// with a lower adopted term than the last one is ignored, because reports from two
// connections can arrive out of order.
func (v View) WithReport(r Report) View {
	i := slices.Index(v.members, r.Member)
	if i < 0 || r.AdoptedTerm < v.reports[i].AdoptedTerm {
		return v
	}
	reports := slices.Clone(v.reports)
	reports[i] = r
	v.reports = reports
	return v
}

// WithLatestReport returns a view in which r replaces the member's last report,
// unless the At of that report is later than r.At. It is for members that can
// forget an adopted term, for example in a restart: their reports are ordered by
// the time of the request, not by term.
func (v View) WithLatestReport(r Report) View {
	i := slices.Index(v.members, r.Member)
	if i < 0 || r.At.Before(v.reports[i].At) {
		return v
	}
	reports := slices.Clone(v.reports)
	reports[i] = r
	v.reports = reports
	return v
}

// WithMembers returns a view with the given members, which decide by the given quorums.
// Those that were members before keep their reports.
func (v View) WithMembers(ids []MemberID, q Quorums) View {
	next := v
	next.quorums = q
	next.members, next.reports = slices.Clone(ids), make([]Report, len(ids))
	for i, id := range ids {
		if old := slices.Index(v.members, id); old >= 0 {
			next.reports[i] = v.reports[old]
		}
	}
	return next
}

// WithUnreachable returns a view in which the member is not reachable.
func (v View) WithUnreachable(id MemberID) View {
	i := slices.Index(v.members, id)
	if i < 0 || !v.reports[i].Reachable {
		return v
	}
	reports := slices.Clone(v.reports)
	reports[i].Reachable = false
	v.reports = reports
	return v
}

// WithoutReport returns a view without a report of the member.
func (v View) WithoutReport(id MemberID) View {
	i := slices.Index(v.members, id)
	if i < 0 {
		return v
	}
	reports := slices.Clone(v.reports)
	reports[i] = Report{}
	v.reports = reports
	return v
}

// Quorums returns which sets of members suffice for what.
func (v View) Quorums() Quorums { return v.quorums }

// Size returns the number of members of the configuration in force, listed or not.
func (v View) Size() int { return v.quorums.Current.Size() }

// StableSize returns the number of members that the group is known to have, regardless of
// which members are listed; zero if it is not known.
func (v View) StableSize() int { return v.quorums.Current.MinSize }

// Where returns the members whose last report satisfies f.
func (v View) Where(f func(Report) bool) MemberSet {
	var ids []MemberID
	for _, r := range v.Reports() {
		if f(r) {
			ids = append(ids, r.Member)
		}
	}
	return SetOf(ids...)
}

// WithReplacedTerm returns a view in which the primaries of term t and of all earlier
// terms count as replaced.
func (v View) WithReplacedTerm(t Term) View {
	v.replacedTerm = max(v.replacedTerm, t)
	return v
}

// ReplacedTerm returns the newest term whose primary is known to have been replaced.
func (v View) ReplacedTerm() Term { return v.replacedTerm }

// Report returns the last report of a member. The second result is false if there
// is none.
func (v View) Report(id MemberID) (Report, bool) {
	i := slices.Index(v.members, id)
	if i < 0 || v.reports[i].At.IsZero() {
		return Report{}, false
	}
	return v.reports[i], true
}

// Reports returns the last reports of all members that have one.
func (v View) Reports() []Report {
	out := make([]Report, 0, len(v.reports))
	for _, r := range v.reports {
		if !r.At.IsZero() {
			out = append(out, r)
		}
	}
	return out
}

// Primary returns the report of the primary of the highest term for which a primary
// has reported. The primary of a lower term has been replaced, whatever it reports
// itself.
//
// Terms known to be replaced are excluded. Otherwise, if the newest primary became
// unreachable and its report was dropped, the primary that it replaced could be
// taken for the current one, because it goes on or has not been asked since; reads
// would then miss records that the newest primary had acknowledged.
func (v View) Primary() (Report, bool) {
	var best Report
	found := false
	for _, r := range v.reports {
		if r.At.IsZero() || r.Role != RolePrimary || r.AdoptedTerm <= v.replacedTerm {
			continue
		}
		if !found || r.AdoptedTerm > best.AdoptedTerm {
			best, found = r, true
		}
	}
	return best, found
}

// Term returns the term of the primary, or zero if none is known.
func (v View) Term() Term {
	p, _ := v.Primary()
	return p.AdoptedTerm
}

// HighestTerm returns the highest term that any member is known to have adopted.
func (v View) HighestTerm() Term {
	var t Term
	for _, r := range v.reports {
		t = max(t, r.AdoptedTerm)
	}
	return t
}

// Superseded reports whether a majority of the members is known to have adopted a
// term later than t, or the primary of t is known to have been replaced. From then
// on, the primary of term t cannot get any write acknowledged.
func (v View) Superseded(t Term) bool {
	if t <= v.replacedTerm {
		return true
	}
	return v.quorums.Current.HasMajority(v.Where(func(r Report) bool { return r.AdoptedTerm > t }))
}

// OnMajority reports whether enough members have the record at m and are in the term of m
// for the record to be acknowledged.
func (v View) OnMajority(m LogPosition) bool {
	return v.quorums.Decides(v.Where(func(r Report) bool { return r.HasRecord(m) }))
}

// ConfirmedPosition reports whether enough members to confirm the primary are in its term
// according to their answers to one request, and returns the end of the primary's log.
//
// A primary may have been replaced without knowing it. A majority that had not
// adopted a later term when it was asked proves that nothing had been acknowledged
// in a later term until then.
func ConfirmedPosition(answers []Status, q Quorums) (LogPosition, bool) {
	var primary Status
	for _, s := range answers {
		if s.Role == RolePrimary && s.AdoptedTerm > primary.AdoptedTerm {
			primary = s
		}
	}
	var same []MemberID
	for _, s := range answers {
		if s.AdoptedTerm == primary.AdoptedTerm {
			same = append(same, s.Member)
		}
	}
	return primary.Durable, primary.AdoptedTerm > 0 && q.Decides(SetOf(same...))
}
