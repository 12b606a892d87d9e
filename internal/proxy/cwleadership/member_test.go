package cwleadership

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Guards against memory that grows with each exchange of a member, also if a check of the
// member begins just after it was removed.
func TestRemovedMemberLeavesNothing(t *testing.T) {
	b := newTestGroup(t)
	b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
	b.reportHealth("b", cwgroup.RoleReplica, 1, 100)
	b.mu.Lock()
	b.readLog[readLogKey{member: "c"}] = readLogEntry{loggedAt: b.clock.Now()}
	b.mu.Unlock()
	b.SetMembers([]cwport.ListedTarget{
		{ID: "a", Service: "ledger", Address: "10.0.0.1:1", DataCentre: "dc", Slots: 3, StartedAt: time.UnixMilli(400)},
		{ID: "b", Service: "ledger", Address: "10.0.0.2:1", DataCentre: "dc", Slots: 3, StartedAt: time.UnixMilli(400)},
	}, 2, 8)
	qt.Assert(t, b.beginHealthCheck("c", CauseUnsettled), qt.IsFalse)
	b.mu.Lock()
	defer b.mu.Unlock()
	qt.Assert(t, b.lastCheckAt, qt.HasLen, 0)
	qt.Assert(t, b.readLog, qt.HasLen, 0)
}

// listChange lists members of which some are leaving, and waits until all proxies know.
func (b *testGroup) listChange(staying, leaving []cwgroup.MemberID) {
	var list []cwport.ListedTarget
	now := b.clock.Now()
	for _, id := range append(append([]cwgroup.MemberID{}, staying...), leaving...) {
		list = append(list, cwport.ListedTarget{
			ID: id, Service: "ledger", Address: string(id) + ":1", DataCentre: "dc", Slots: 3,
			Draining: slices.Contains(leaving, id), DrainingSince: now,
		})
	}
	b.SetMembers(list, 3, 8)
	b.clock.Advance(cwgroup.PropagationTime)
	b.SetMembers(list, 3, 8)
}

// Guards against a commit that is acknowledged although only the primary and a member that
// is leaving have it: no change of primary need fence these two.
func TestLeavingMemberDoesNotAcknowledge(t *testing.T) {
	for _, tc := range []struct {
		name string
		has  cwgroup.MemberID
		want cwack.Outcome
	}{
		{"a member that is leaving has it", "a", cwack.TimedOut},
		{"a member that stays has it", "c", cwack.Acknowledged},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestGroup(t)
			b.listChange([]cwgroup.MemberID{"b", "c", "d"}, []cwgroup.MemberID{"a"})
			b.reportHealth("b", cwgroup.RolePrimary, 1, 100)
			b.clock.Advance(Lease)
			b.reportHealth("b", cwgroup.RolePrimary, 1, 101)
			b.reportHealth(tc.has, cwgroup.RoleReplica, 1, 101)
			outcome := make(chan cwack.Outcome, 1)
			go func() { outcome <- b.AwaitAck(cwgroup.LogPosition{Term: 1, Index: 101}) }()
			for {
				select {
				case got := <-outcome:
					qt.Assert(t, got, qt.Equals, tc.want)
					return
				case <-time.After(time.Millisecond):
					b.clock.Advance(ackPollMax)
				}
			}
		})
	}
}

// Guards against stale reads while two members leave and their replacements receive
// nothing: reads took the logs of the replacements for all that was acknowledged.
func TestReadsRelyOnLeavingMembersUntilOthersHaveTheRecords(t *testing.T) {
	b := newTestGroup(t)
	b.listChange([]cwgroup.MemberID{"a", "b", "c", "d", "e"}, nil)
	b.listChange([]cwgroup.MemberID{"c", "d", "e"}, []cwgroup.MemberID{"a", "b"})
	floor := func() (cwgroup.LogPosition, bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.quorumFloor(Read{ArrivedAt: b.clock.Now().Add(-10 * time.Millisecond)})
	}
	b.reportHealth("d", cwgroup.RoleReplica, 1, 90)
	b.reportHealth("e", cwgroup.RoleReplica, 1, 90)
	_, ok := floor()
	qt.Assert(t, ok, qt.IsFalse)
	b.reportHealth("c", cwgroup.RoleReplica, 1, 98)
	_, ok = floor()
	qt.Assert(t, ok, qt.IsFalse)
	b.reportHealth("b", cwgroup.RoleReplica, 1, 100)
	end, ok := floor()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, end, qt.Equals, cwgroup.LogPosition{Term: 1, Index: 100})
}

// Guards against a group without a primary because the one that was promoted is leaving.
func TestLeavingMemberMayLead(t *testing.T) {
	b := newTestGroup(t)
	b.listChange([]cwgroup.MemberID{"b", "c", "d"}, []cwgroup.MemberID{"a"})
	b.reportHealthAt("a", cwgroup.RolePrimary, 2, cwgroup.LogPosition{Term: 2, Index: 120})
	b.reportHealthAt("c", cwgroup.RoleReplica, 2, cwgroup.LogPosition{Term: 2, Index: 120})
	b.reportHealthAt("d", cwgroup.RoleReplica, 2, cwgroup.LogPosition{Term: 2, Index: 120})
	b.assertPrimary("a")
}

// Guards against statements that reach a database after the time in which it may get them,
// since no other one has its records and it goes on leading.
func TestLeavingPrimaryServesForALimitedTime(t *testing.T) {
	b := newTestGroup(t)
	b.cfg.LeavingServes = cwgroup.PropagationTime + time.Second
	b.listChange([]cwgroup.MemberID{"b", "c", "d"}, []cwgroup.MemberID{"a"})
	answer := func() {
		b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
		b.reportHealth("b", cwgroup.RoleReplica, 1, 100)
		b.reportHealth("c", cwgroup.RoleReplica, 1, 100)
	}
	answer()
	b.assertPrimary("a")
	b.clock.Advance(time.Second)
	answer()
	b.assertPrimary("")
	now := b.clock.Now()
	place, err := b.PlaceRead(context.Background(), Read{ArrivedAt: now, MaxAge: 10 * time.Millisecond}, now)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, place.ID, qt.Not(qt.Equals), cwgroup.MemberID("a"))
}

// Guards against statements to a primary that was leaving before this instance started, which counted
// the time anew.
func TestPrimaryThatWasLeavingBeforeServesNothing(t *testing.T) {
	b := newTestGroup(t)
	b.cfg.LeavingServes = 5 * time.Second
	list := []cwport.ListedTarget{{ID: "a", Service: "ledger", Address: "a:1", DataCentre: "dc", Slots: 3, Draining: true}}
	for _, id := range []cwgroup.MemberID{"b", "c", "d"} {
		list = append(list, cwport.ListedTarget{ID: id, Service: "ledger", Address: string(id) + ":1", DataCentre: "dc", Slots: 3})
	}
	b.SetMembers(list, 3, 8)
	b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
	b.reportHealth("b", cwgroup.RoleReplica, 1, 100)
	b.reportHealth("c", cwgroup.RoleReplica, 1, 100)
	b.assertPrimary("")
}
