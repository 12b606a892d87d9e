package cwroute

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// What a read quorum must never do is miss an acknowledged record. Each case says
// what the members other than the lost primary a have told.
func TestReadQuorum(t *testing.T) {
	since := time.Unix(1000, 0)
	says := func(id cwgroup.MemberID, role cwgroup.Role, term cwgroup.Term, at time.Duration, last cwgroup.Position) cwgroup.Report {
		return cwgroup.Report{
			Status:    cwgroup.Status{Member: id, Role: role, Adopted: term, Last: cwgroup.Mark{Term: 1, Position: last}},
			At:        since.Add(at),
			Reachable: true,
		}
	}
	lost := says("a", cwgroup.RolePrimary, 1, -time.Second, 90)
	lost.Reachable = false
	gone := says("c", cwgroup.RoleReplica, 1, time.Millisecond, 100)
	gone.Reachable = false
	for _, tc := range []struct {
		name    string
		reports []cwgroup.Report
		counts  bool
		want    cwgroup.Position
	}{
		{"the further of both", []cwgroup.Report{lost, says("b", cwgroup.RoleReplica, 1, 0, 95), says("c", cwgroup.RoleReplica, 1, time.Second, 100)}, true, 100},
		{"nobody knows who led", []cwgroup.Report{says("b", cwgroup.RoleReplica, 1, 0, 95), says("c", cwgroup.RoleReplica, 1, 0, 94)}, true, 95},
		{"both are fenced", []cwgroup.Report{lost, says("b", cwgroup.RoleFenced, 2, 0, 95), says("c", cwgroup.RoleFenced, 2, 0, 97)}, true, 97},
		{"one was asked too early", []cwgroup.Report{lost, says("b", cwgroup.RoleReplica, 1, -1, 95), says("c", cwgroup.RoleReplica, 1, 0, 100)}, true, 0},
		{"one does not answer", []cwgroup.Report{lost, says("b", cwgroup.RoleReplica, 1, 0, 95), gone}, true, 0},
		{"one leads by now", []cwgroup.Report{lost, says("b", cwgroup.RolePrimary, 2, 0, 95), says("c", cwgroup.RoleReplica, 1, 0, 95)}, true, 0},
		{"one has started again", []cwgroup.Report{lost, says("b", cwgroup.RoleReplica, 1, 0, 95), says("c", cwgroup.RoleReplica, 1, 0, 95)}, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v := cwgroup.NewView("g", []cwgroup.MemberID{"a", "b", "c"})
			for _, r := range tc.reports {
				v = v.WithLatest(r)
			}
			m, ok := ReadQuorum(v, since, func(cwgroup.MemberID) bool { return tc.counts })
			qt.Assert(t, ok, qt.Equals, tc.want > 0)
			qt.Assert(t, m.Position, qt.Equals, tc.want)
		})
	}
	alone := cwgroup.NewView("g", []cwgroup.MemberID{"a"})
	_, ok := ReadQuorum(alone, since, func(cwgroup.MemberID) bool { return true })
	qt.Assert(t, ok, qt.IsFalse)
}
