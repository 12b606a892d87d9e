package cwgroup

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLogPositionsCompareByTermFirst(t *testing.T) {
	// A replaced primary reports index 150 on a branch that no other member has; a
	// session that wrote at index 120 of the next term must not read there.
	qt.Assert(t, LogPosition{Term: 1, Index: 150}.AtLeast(LogPosition{Term: 2, Index: 120}), qt.IsFalse)
	qt.Assert(t, LogPosition{Term: 2, Index: 120}.AtLeast(LogPosition{Term: 1, Index: 150}), qt.IsTrue)
	qt.Assert(t, LogPosition{Term: 2, Index: 120}.AtLeast(LogPosition{Term: 2, Index: 120}), qt.IsTrue)
}

func TestParseLogPosition(t *testing.T) {
	m, err := ParseLogPosition("3/17")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, m, qt.Equals, LogPosition{Term: 3, Index: 17})
	for _, bad := range []string{"", "3", "3/", "/3", "a/b", "-1/2", "1/99999999999999999999"} {
		_, err := ParseLogPosition(bad)
		var pe *LogPositionError
		qt.Assert(t, err, qt.ErrorAs, &pe, qt.Commentf("%q", bad))
	}
}

// Guards against losing an acknowledged write: a replica that already follows the
// next term has a record at the same index of another branch and was counted for
// the old primary.
func TestOnlyMembersOfTheTermHaveARecord(t *testing.T) {
	m := LogPosition{Term: 1, Index: 10}
	for _, tc := range []struct {
		name string
		s    Status
		want bool
	}{
		{"same term, has the record", Status{AdoptedTerm: 1, Durable: LogPosition{1, 10}}, true},
		{"same term, behind", Status{AdoptedTerm: 1, Durable: LogPosition{1, 9}}, false},
		{"adopted the next term", Status{AdoptedTerm: 2, Durable: LogPosition{1, 10}}, false},
		{"follows another branch", Status{AdoptedTerm: 2, Durable: LogPosition{2, 12}}, false},
		{"last record of an earlier term", Status{AdoptedTerm: 1, Durable: LogPosition{0, 12}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) { qt.Assert(t, tc.s.HasRecord(m), qt.Equals, tc.want) })
	}
}

func TestView(t *testing.T) {
	at := time.Unix(100, 0)
	report := func(id MemberID, r Role, adopted Term, last LogPosition) Report {
		return Report{Status: Status{Member: id, Role: r, AdoptedTerm: adopted, Durable: last, Applied: last}, At: at, Reachable: true}
	}
	v := NewView("g", []MemberID{"a", "b", "c"})
	_, ok := v.Primary()
	qt.Assert(t, ok, qt.IsFalse)
	old := v.WithReport(report("a", RolePrimary, 1, LogPosition{1, 9})).WithReport(report("b", RoleReplica, 1, LogPosition{1, 9}))
	qt.Assert(t, old.OnMajority(LogPosition{1, 9}), qt.IsTrue)
	qt.Assert(t, old.OnMajority(LogPosition{1, 10}), qt.IsFalse)
	_, hasReport := v.Report("a")
	qt.Assert(t, hasReport, qt.IsFalse) // the first view must not change

	next := old.WithReport(report("b", RolePrimary, 2, LogPosition{2, 10}))
	p, _ := next.Primary()
	qt.Assert(t, p.Member, qt.Equals, MemberID("b"))
	qt.Assert(t, next.Superseded(1), qt.IsFalse)
	qt.Assert(t, next.WithReport(report("c", RoleReplica, 2, LogPosition{1, 9})).Superseded(1), qt.IsTrue)
	reordered := next.WithReport(report("b", RoleReplica, 1, LogPosition{1, 9}))
	qt.Assert(t, reordered.Term(), qt.Equals, Term(2)) // a report that arrived out of order
}

func TestConfirmedPosition(t *testing.T) {
	primary := Status{Member: "a", Role: RolePrimary, AdoptedTerm: 3, Durable: LogPosition{3, 8}}
	same := Status{Member: "b", AdoptedTerm: 3, Durable: LogPosition{3, 7}}
	later := Status{Member: "c", AdoptedTerm: 4, Durable: LogPosition{3, 8}}
	for _, tc := range []struct {
		name    string
		answers []Status
		want    bool
	}{
		{"primary only", []Status{primary}, false},
		{"primary and one member of its term", []Status{primary, same}, true},
		{"all, one of them in a later term", []Status{primary, same, later}, true},
		{"primary and one member of a later term", []Status{primary, later}, false},
		{"no primary", []Status{same, same}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m, ok := ConfirmedPosition(tc.answers, NewView("g", []MemberID{"a", "b", "c"}).Quorums())
			qt.Assert(t, ok, qt.Equals, tc.want)
			if ok {
				qt.Assert(t, m, qt.Equals, LogPosition{3, 8})
			}
		})
	}
}
