package cwroute

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Guards against a quorum read that misses an acknowledged record. Each case
// lists the reports of the members after the primary a is lost.
func TestQuorumReadPosition(t *testing.T) {
	since := time.Unix(1000, 0)
	newReport := func(id cwgroup.MemberID, role cwgroup.Role, term cwgroup.Term, at time.Duration, last cwgroup.LogIndex) cwgroup.Report {
		return cwgroup.Report{
			Status:    cwgroup.Status{Member: id, Role: role, AdoptedTerm: term, Durable: cwgroup.LogPosition{Term: 1, Index: last}},
			At:        since.Add(at),
			Reachable: true,
		}
	}
	lost := newReport("a", cwgroup.RolePrimary, 1, -time.Second, 90)
	lost.Reachable = false
	gone := newReport("c", cwgroup.RoleReplica, 1, time.Millisecond, 100)
	gone.Reachable = false
	for _, tc := range []struct {
		name     string
		reports  []cwgroup.Report
		eligible bool
		want     cwgroup.LogIndex
	}{
		{"higher of two positions", []cwgroup.Report{lost, newReport("b", cwgroup.RoleReplica, 1, 0, 95), newReport("c", cwgroup.RoleReplica, 1, time.Second, 100)}, true, 100},
		{"primary unknown", []cwgroup.Report{newReport("b", cwgroup.RoleReplica, 1, 0, 95), newReport("c", cwgroup.RoleReplica, 1, 0, 94)}, true, 95},
		{"both members fenced", []cwgroup.Report{lost, newReport("b", cwgroup.RoleFenced, 2, 0, 95), newReport("c", cwgroup.RoleFenced, 2, 0, 97)}, true, 97},
		{"one report too old", []cwgroup.Report{lost, newReport("b", cwgroup.RoleReplica, 1, -1, 95), newReport("c", cwgroup.RoleReplica, 1, 0, 100)}, true, 0},
		{"one member unreachable", []cwgroup.Report{lost, newReport("b", cwgroup.RoleReplica, 1, 0, 95), gone}, true, 0},
		{"one member promoted to primary", []cwgroup.Report{lost, newReport("b", cwgroup.RolePrimary, 2, 0, 95), newReport("c", cwgroup.RoleReplica, 1, 0, 95)}, true, 0},
		{"members excluded because of a restart", []cwgroup.Report{lost, newReport("b", cwgroup.RoleReplica, 1, 0, 95), newReport("c", cwgroup.RoleReplica, 1, 0, 95)}, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v := cwgroup.NewView("g", []cwgroup.MemberID{"a", "b", "c"})
			for _, r := range tc.reports {
				v = v.WithLatestReport(r)
			}
			position, ok := QuorumReadPosition(v, since, func(cwgroup.MemberID) bool { return tc.eligible })
			qt.Assert(t, ok, qt.Equals, tc.want > 0)
			qt.Assert(t, position.Index, qt.Equals, tc.want)
		})
	}
	alone := cwgroup.NewView("g", []cwgroup.MemberID{"a"})
	_, ok := QuorumReadPosition(alone, since, func(cwgroup.MemberID) bool { return true })
	qt.Assert(t, ok, qt.IsFalse)
}
