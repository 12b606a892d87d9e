package cwleadership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Guards against writes that are blocked for 1.6 s instead of 1.1 s when a primary
// stops answering. The replicas must not have heard from the primary for a certain
// time, and that time began only once a fresh connection had failed as well. It must
// begin with the first overdue statement.
func TestReplicasAreCheckedOnFirstSuspicion(t *testing.T) {
	for _, tc := range []struct {
		name     string
		received cwgroup.LogIndex
		lost     bool
	}{{"replicas hear nothing either", 100, true}, {"replicas still hear the primary", 101, false}} {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestGroup(t)
			b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
			b.reportHealth("c", cwgroup.RoleReplica, 1, 100)
			b.clock.Advance(time.Second)
			b.suspectPrimary("a", b.clock.Now())
			b.clock.Advance(cwfailover.UpstreamTimeout + time.Millisecond)
			b.reportHealth("c", cwgroup.RoleReplica, 1, tc.received)
			qt.Assert(t, b.hasLostUpstream("c"), qt.Equals, tc.lost)
		})
	}
}

// Guards against a suspicion that outlives its cause: if the primary was only slow, its
// answer ends the suspicion, and replicas that are up to date don't count as cut off.
func TestPrimaryAnswerEndsSuspicion(t *testing.T) {
	b := newTestGroup(t)
	b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
	b.reportHealth("c", cwgroup.RoleReplica, 1, 100)
	b.clock.Advance(time.Second)
	b.suspectPrimary("a", b.clock.Now())
	b.clock.Advance(time.Millisecond)
	b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
	b.clock.Advance(time.Second)
	b.reportHealth("c", cwgroup.RoleReplica, 1, 100)
	qt.Assert(t, b.hasLostUpstream("c"), qt.IsFalse)
}

// hasLostUpstream reports whether a member counts as having lost its primary.
func (b *testGroup) hasLostUpstream(id cwgroup.MemberID) bool {
	b.t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	rep, ok := b.sup.View().Report(id)
	qt.Assert(b.t, ok, qt.IsTrue)
	return rep.UpstreamAge > cwfailover.UpstreamTimeout
}

// Guards against a busy loop: while a restarting replica's address refused connections
// for some seconds, each instance dialled it hundreds of times a second, because each
// failure triggered the next tick.
func TestUnreachableMemberIsNotRetriedInABusyLoop(t *testing.T) {
	b := newTestGroup(t)
	to := cwport.Endpoint{ID: "c"}
	b.DialFailed(to, errUnavailable)
	qt.Assert(t, b.wakeups, qt.HasLen, 1)
	<-b.wakeups
	b.DialFailed(to, errUnavailable)
	qt.Assert(t, b.wakeups, qt.HasLen, 0)
}
