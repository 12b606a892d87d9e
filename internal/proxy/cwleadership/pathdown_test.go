package cwleadership

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwoutlier"
	"cicadawalk.example/cicadawalk/internal/core/cwpath"
)

// newCutGroup returns a group whose member b is in this data centre, and a, the primary,
// and c in others. The path to these is suspected, and down if down is true.
func newCutGroup(t *testing.T, down bool) *testGroup {
	b := newTestGroup(t)
	for _, id := range []cwgroup.MemberID{"a", "c"} {
		b.members[id].DataCentre = "far-" + string(id)
	}
	b.cfg.RemotePath.Clock = b.clock
	b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
	b.reportHealth("b", cwgroup.RoleReplica, 1, 100)
	b.clock.Advance(time.Millisecond)
	b.cfg.RemotePath.RecordOverdue(b.clock.Now())
	qt.Assert(t, b.cfg.RemotePath.Suspected(), qt.IsTrue)
	if down {
		b.clock.Advance(cwpath.IsolationDelay)
	}
	return b
}

// read places a bounded read. The clock stands still, so a read that waits fails the test
// by its timeout.
func (b *testGroup) read(refusedBy ...cwgroup.MemberID) (Placement, error) {
	now := b.clock.Now()
	return b.PlaceRead(context.Background(), Read{ArrivedAt: now, MaxAge: 1500 * time.Millisecond, RefusedBy: refusedBy}, now.Add(4*time.Second))
}

// Guards against reads that first try a member behind a cut path, and against reads that
// are refused although a member of this data centre has data that is new enough.
func TestBoundedReadsStayHereWhilePathIsSuspected(t *testing.T) {
	for _, down := range []bool{false, true} {
		b := newCutGroup(t, down)
		for range 20 {
			place, err := b.read()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, place.ID, qt.Equals, cwgroup.MemberID("b"))
		}
	}
	t.Run("other data centres are tried as long as the cut is not certain", func(t *testing.T) {
		place, err := newCutGroup(t, false).read("b")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, place.ID, qt.Not(qt.Equals), cwgroup.MemberID("b"))
	})
	t.Run("then a read is refused at once", func(t *testing.T) {
		b := newCutGroup(t, true)
		_, err := b.read("b")
		qt.Assert(t, err, qt.ErrorMatches, ".*no member can serve the read")
		b.clock.Advance(2 * time.Second)
		_, err = b.read()
		qt.Assert(t, err, qt.ErrorMatches, ".*the age of the data is not known")
	})
}

// Guards against statements that wait for their timeout at a member behind a cut path.
func TestStatementsAreRefusedAtOnceWhilePathIsDown(t *testing.T) {
	b := newCutGroup(t, true)
	now := b.clock.Now()
	_, writeErr := b.Primary()
	_, readErr := b.ConfirmedPrimary(context.Background(), now.Add(2*Lease), now.Add(4*time.Second))
	for _, err := range []error{writeErr, readErr} {
		var refused *NoPrimaryError
		qt.Assert(t, err, qt.ErrorAs, &refused)
		qt.Assert(t, refused.RetryAfter >= typicalDetectionTime, qt.IsTrue)
		qt.Assert(t, refused.MayServeElsewhere, qt.IsTrue)
	}
	t.Run("the primary here has no second member", func(t *testing.T) {
		b := newCutGroup(t, true)
		b.members["a"].DataCentre, b.members["b"].DataCentre = b.cfg.DataCentre, "far-b"
		_, err := b.Primary()
		qt.Assert(t, err, qt.ErrorMatches, ".*most of its members cannot be reached")
	})
	t.Run("an answer ends the refusal", func(t *testing.T) {
		b.cfg.RemotePath.RecordAnswer(b.clock.Now())
		_, err := b.Primary()
		qt.Assert(t, err, qt.IsNil)
	})
}

// Guards against a read that waits for its timeout because it tries an ejected member in
// another data centre, although the path there is suspected.
func TestNoTrialsBehindSuspectedPath(t *testing.T) {
	b := newCutGroup(t, false)
	for range 20 {
		b.RecordResult("a", cwoutlier.Result{Outcome: cwoutlier.Failed, SentAt: b.clock.Now()})
		b.RecordResult("b", cwoutlier.Result{Outcome: cwoutlier.Served, SentAt: b.clock.Now()})
	}
	_, err := b.read()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b.EjectionReason("a"), qt.Equals, cwoutlier.Errors)
	b.clock.Advance(cwoutlier.MinEjection)
	p, err := b.read()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.DataCentre, qt.Equals, b.cfg.DataCentre)
}
