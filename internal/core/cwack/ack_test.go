package cwack

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

var now = time.Unix(1000, 0)

func testView(adopted cwgroup.Term, last ...cwgroup.LogIndex) cwgroup.View {
	ids := []cwgroup.MemberID{"a", "b", "c"}
	v := cwgroup.NewView("g", ids)
	for i, p := range last {
		role := cwgroup.RoleReplica
		if i == 0 {
			role = cwgroup.RolePrimary
		}
		v = v.WithReport(cwgroup.Report{Status: cwgroup.Status{
			Member: ids[i], Role: role, AdoptedTerm: adopted, Durable: cwgroup.LogPosition{Term: adopted, Index: p},
		}, At: now, Reachable: true})
	}
	return v
}

func TestTracker(t *testing.T) {
	var tr Tracker
	got := map[cwgroup.LogIndex]Outcome{}
	add := func(term cwgroup.Term, p cwgroup.LogIndex, d time.Duration) {
		tr.Add(PendingWrite{Position: cwgroup.LogPosition{Term: term, Index: p}, Deadline: now.Add(d), Notify: func(o Outcome) { got[p] = o }})
	}
	add(1, 5, time.Second)
	add(1, 6, time.Second)
	add(1, 7, time.Millisecond)
	tr.Update(testView(1, 7, 5, 3), now)
	qt.Assert(t, got, qt.DeepEquals, map[cwgroup.LogIndex]Outcome{5: Acknowledged})
	tr.Update(testView(1, 7, 5, 3), now.Add(time.Millisecond))
	qt.Assert(t, got[7], qt.Equals, TimedOut)
	// The primary is replaced; a late report of the old term must not count.
	tr.Update(testView(2, 9, 9, 3), now)
	qt.Assert(t, got[6], qt.Equals, Superseded)
	qt.Assert(t, tr.Len(), qt.Equals, 0)
}
