package cwlead

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// A primary goes dark, and writes stand still for 1.6 s though 1.1 would do: the
// replicas are asked whether they still hear it only once a fresh connection has
// failed, too, and only then does the time begin that they must not have heard it
// for. It begins with the first statement that waited for too long.
func TestReplicasAreAskedWithTheFirstSuspicion(t *testing.T) {
	for _, tc := range []struct {
		name     string
		received cwgroup.Position
		lost     bool
	}{{"they hear nothing either", 100, true}, {"they still hear it", 101, false}} {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestGroup(t)
			b.tell("a", cwgroup.RolePrimary, 1, 100)
			b.tell("c", cwgroup.RoleReplica, 1, 100)
			b.clock.Advance(time.Second)
			b.suspectPrimary("a", b.clock.Now())
			b.clock.Advance(cwfailover.StreamLost + time.Millisecond)
			b.tell("c", cwgroup.RoleReplica, 1, tc.received)
			qt.Assert(t, b.upstreamLost("c"), qt.Equals, tc.lost)
		})
	}
}

// The primary was only slow. Its answer ends the suspicion, and the replicas have
// nothing to make up for.
func TestAnswerOfThePrimaryEndsTheSuspicion(t *testing.T) {
	b := newTestGroup(t)
	b.tell("a", cwgroup.RolePrimary, 1, 100)
	b.tell("c", cwgroup.RoleReplica, 1, 100)
	b.clock.Advance(time.Second)
	b.suspectPrimary("a", b.clock.Now())
	b.clock.Advance(time.Millisecond)
	b.tell("a", cwgroup.RolePrimary, 1, 100)
	b.clock.Advance(time.Second)
	b.tell("c", cwgroup.RoleReplica, 1, 100)
	qt.Assert(t, b.upstreamLost("c"), qt.IsFalse)
}

// upstreamLost reports whether a member counts as having lost its primary.
func (b *testGroup) upstreamLost(id cwgroup.MemberID) bool {
	b.t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	rep, ok := b.sup.View().Report(id)
	qt.Assert(b.t, ok, qt.IsTrue)
	return rep.UpstreamAge > cwfailover.StreamLost
}

// A replica is restarted, and for some seconds nothing listens at its address.
// Each instance tried it hundreds of times a second, since each failure brought
// on the next look at the group.
func TestLostMemberIsNotTriedInABusyLoop(t *testing.T) {
	b := newTestGroup(t)
	to := cwport.Endpoint{ID: "c"}
	b.DialFailed(to, errAway)
	qt.Assert(t, b.hurry, qt.HasLen, 1)
	<-b.hurry
	b.DialFailed(to, errAway)
	qt.Assert(t, b.hurry, qt.HasLen, 0)
}
