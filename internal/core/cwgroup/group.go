// Package cwgroup models a group of replicated databases as the system sees it.
//
// A group has a few members, each a database with a log. One member, the
// primary, appends records; the others copy them asynchronously. The group's
// databases count terms: each change of primary belongs to a new term, and a
// member that adopted a term accepts nothing of an earlier one. A place in the
// log is a Mark, the term of the record and its position. Marks of different
// terms compare by term first, since a later term's log holds everything that
// was acknowledged before it, while a replaced primary can show a higher
// position on a branch that nobody else has.
//
// What one proxy knows about a group is a View: an immutable value made of the
// last Status of each member and the time at which it was received.
package cwgroup

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Term counts the changes of primary of a group. The first term is 1.
type Term uint64

// Position counts the records of a log. The first record has position 1.
type Position uint64

// MemberID names a target within the whole catalogue.
type MemberID string

// ClaimID names one attempt to replace a primary. It is unique.
type ClaimID string

// Mark is a place in a group's log.
type Mark struct {
	Term     Term
	Position Position
}

// Compare orders marks by term, then by position.
func (m Mark) Compare(o Mark) int {
	if c := cmp.Compare(m.Term, o.Term); c != 0 {
		return c
	}
	return cmp.Compare(m.Position, o.Position)
}

// AtLeast reports whether a log that ends at m holds every acknowledged record
// up to o.
func (m Mark) AtLeast(o Mark) bool { return m.Compare(o) >= 0 }

// String formats the mark as term/position.
func (m Mark) String() string {
	return strconv.FormatUint(uint64(m.Term), 10) + "/" + strconv.FormatUint(uint64(m.Position), 10)
}

// ParseMark reads the form that String writes.
func ParseMark(s string) (Mark, error) {
	t, p, ok := strings.Cut(s, "/")
	if !ok {
		return Mark{}, &MarkError{Text: s}
	}
	term, err := strconv.ParseUint(t, 10, 63)
	if err != nil {
		return Mark{}, &MarkError{Text: s}
	}
	pos, err := strconv.ParseUint(p, 10, 63)
	if err != nil {
		return Mark{}, &MarkError{Text: s}
	}
	return Mark{Term: Term(term), Position: Position(pos)}, nil
}

// MarkError reports a text that is no mark.
type MarkError struct{ Text string }

func (e *MarkError) Error() string { return fmt.Sprintf("%q is not term/position", e.Text) }

// Role is what a member does in its group.
type Role uint8

// The roles of a member.
const (
	// RoleReplica copies the log of a primary.
	RoleReplica Role = iota
	// RolePrimary appends to the log.
	RolePrimary
	// RoleFenced adopted a term and waits to be told whom to follow.
	RoleFenced
)

// String names the role.
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
	// Adopted is the highest term that the member adopted. It never falls.
	Adopted Term
	// Before is the term that the member was in when it adopted Adopted; zero if it
	// was not asked.
	Before Term
	// Claim is the claim for which Adopted was adopted.
	Claim ClaimID
	// Last is the mark of the last record that the member's log holds for good.
	// Acknowledgement and promotion go by it.
	Last Mark
	// Applied is the mark up to which reads see the data. It is never beyond
	// Last.
	Applied Mark
	// UpstreamAge is the time since a replica last heard from its primary, by
	// the replica's monotonic clock.
	UpstreamAge time.Duration
	// OpenWrites is the number of write transactions that are open.
	OpenWrites int
}

// Holds reports whether the status shows that the member has the record at m
// on the branch of m's term, and has not moved to a later term.
//
// The guard is against acknowledging on behalf of a primary that has been
// replaced: its followers adopted a later term, so they no longer count.
func (s Status) Holds(m Mark) bool {
	return s.Adopted == m.Term && s.Last.Term == m.Term && s.Last.Position >= m.Position
}

// Report is a status with the time at which this proxy received it.
type Report struct {
	Status
	At time.Time
	// Reachable is false after a probe by a fresh connection failed.
	Reachable bool
}

// Majority returns how many of n members are a majority.
func Majority(n int) int { return n/2 + 1 }

// View is what a proxy knows about a group. It is immutable; the With methods
// return changed copies. The zero View knows nothing.
type View struct {
	name    string
	members []MemberID
	// reports has the members' order; a zero At means never heard.
	reports []Report
	// size is how many members the group has at least; some may not be listed.
	size int
	// replaced is the newest term whose primary is known to have been replaced. It
	// never falls.
	replaced Term
}

// NewView returns a view of a group whose members are not heard of yet.
func NewView(name string, members []MemberID) View {
	return View{name: name, members: slices.Clone(members), reports: make([]Report, len(members))}
}

// Name returns the group's name.
func (v View) Name() string { return v.name }

// Members returns the members in the catalogue's order. Callers must not
// change it.
func (v View) Members() []MemberID { return v.members }

// WithReport returns a view in which r replaces the member's last report. A
// report that is older than the one known, by adopted term, is ignored, since
// reports from two connections can cross.
func (v View) WithReport(r Report) View {
	i := slices.Index(v.members, r.Member)
	if i < 0 || r.Adopted < v.reports[i].Adopted {
		return v
	}
	reports := slices.Clone(v.reports)
	reports[i] = r
	v.reports = reports
	return v
}

// WithLatest returns a view in which r replaces the member's last report unless
// that was received after r.At. It is for members that can forget an adopted
// term, by a restart for one: their reports are ordered by the time at which
// they were asked for, not by term.
func (v View) WithLatest(r Report) View {
	i := slices.Index(v.members, r.Member)
	if i < 0 || r.At.Before(v.reports[i].At) {
		return v
	}
	reports := slices.Clone(v.reports)
	reports[i] = r
	v.reports = reports
	return v
}

// WithMembers returns a view of other members; those that stay keep their
// reports.
func (v View) WithMembers(ids []MemberID) View {
	next := v
	next.members, next.reports = slices.Clone(ids), make([]Report, len(ids))
	for i, id := range ids {
		if old := slices.Index(v.members, id); old >= 0 {
			next.reports[i] = v.reports[old]
		}
	}
	return next
}

// WithUnreachable returns a view in which the member does not answer.
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

// WithForgotten returns a view in which the member was never heard of.
func (v View) WithForgotten(id MemberID) View {
	i := slices.Index(v.members, id)
	if i < 0 {
		return v
	}
	reports := slices.Clone(v.reports)
	reports[i] = Report{}
	v.reports = reports
	return v
}

// WithSize returns a view of a group that has n members, or those that are listed if
// they are more.
func (v View) WithSize(n int) View {
	v.size = n
	return v
}

// Size returns how many members the group has, listed or not.
func (v View) Size() int { return max(v.size, len(v.members)) }

// Settled returns how many members the group has whatever is listed; zero if that is
// not known.
func (v View) Settled() int { return v.size }

// WithReplaced returns a view in which primaries of t and of earlier terms lead
// nobody any more.
func (v View) WithReplaced(t Term) View {
	v.replaced = max(v.replaced, t)
	return v
}

// Replaced returns the newest term whose primary is known to have been replaced.
func (v View) Replaced() Term { return v.replaced }

// Report returns the last report of a member. The second result is false if
// the member was never heard of.
func (v View) Report(id MemberID) (Report, bool) {
	i := slices.Index(v.members, id)
	if i < 0 || v.reports[i].At.IsZero() {
		return Report{}, false
	}
	return v.reports[i], true
}

// Reports returns the reports of all members that were heard of.
func (v View) Reports() []Report {
	out := make([]Report, 0, len(v.reports))
	for _, r := range v.reports {
		if !r.At.IsZero() {
			out = append(out, r)
		}
	}
	return out
}

// Primary returns the report of the member that leads the highest term in
// which any member leads. A primary of a lower term has been replaced, whatever
// it believes itself.
//
// The failure: the newest primary drops out of sight, and the one that it replaced,
// which goes on or was not asked since, is the highest of those that are left. It
// shows as reads that miss what the newest one acknowledged. A term that is known
// to be over stays over.
func (v View) Primary() (Report, bool) {
	var best Report
	found := false
	for _, r := range v.reports {
		if r.At.IsZero() || r.Role != RolePrimary || r.Adopted <= v.replaced {
			continue
		}
		if !found || r.Adopted > best.Adopted {
			best, found = r, true
		}
	}
	return best, found
}

// Term returns the term of the primary, or zero if none is known.
func (v View) Term() Term {
	p, _ := v.Primary()
	return p.Adopted
}

// Highest returns the highest term that any member is known to have adopted.
func (v View) Highest() Term {
	var t Term
	for _, r := range v.reports {
		t = max(t, r.Adopted)
	}
	return t
}

// Superseded reports whether a majority of members is known to have adopted a
// term after t, or its primary to have been replaced. From then on a primary of
// term t cannot acknowledge anything.
func (v View) Superseded(t Term) bool {
	if t <= v.replaced {
		return true
	}
	n := 0
	for _, r := range v.reports {
		if r.Adopted > t {
			n++
		}
	}
	return n >= Majority(v.Size())
}

// HeldByMajority reports whether a majority of the members holds the record at
// m at m's own term.
func (v View) HeldByMajority(m Mark) bool {
	n := 0
	for _, r := range v.reports {
		if !r.At.IsZero() && r.Holds(m) {
			n++
		}
	}
	return n >= Majority(v.Size())
}

// Confirmed reports whether a majority of n members, by their answers to one
// question, is in the primary's term, and returns the primary's mark.
//
// A primary may have been replaced without knowing. A majority that had not
// moved to a later term when it was asked proves that nothing had been
// acknowledged in a later term by then.
func Confirmed(answers []Status, n int) (Mark, bool) {
	var primary Status
	for _, s := range answers {
		if s.Role == RolePrimary && s.Adopted > primary.Adopted {
			primary = s
		}
	}
	same := 0
	for _, s := range answers {
		if s.Adopted == primary.Adopted {
			same++
		}
	}
	return primary.Last, primary.Adopted > 0 && same >= Majority(n)
}
