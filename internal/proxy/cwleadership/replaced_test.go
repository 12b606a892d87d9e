package cwleadership

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// reportHealthAt lets a member answer a health check sent now, one millisecond later,
// with its log at the given position.
func (b *testGroup) reportHealthAt(id cwgroup.MemberID, role cwgroup.Role, term cwgroup.Term, received cwgroup.LogPosition) {
	asked := b.clock.Now()
	b.clock.Advance(time.Millisecond)
	b.observeHealth(id, cwstatement.Health{Role: role, Term: term, LogEnd: received}, asked)
}

// changeToB replaces primary a by b, which a majority follows.
func (b *testGroup) changeToB() {
	b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
	b.reportHealth("c", cwgroup.RoleReplica, 1, 100)
	b.reportHealthAt("b", cwgroup.RolePrimary, 2, cwgroup.LogPosition{Term: 2, Index: 120})
	b.reportHealthAt("c", cwgroup.RoleReplica, 2, cwgroup.LogPosition{Term: 2, Index: 120})
	b.assertConfirmed(true)
}

// assertPrimary checks which member takes writes and reads of the newest data; an empty
// want means none.
func (b *testGroup) assertPrimary(want cwgroup.MemberID) {
	b.t.Helper()
	now := b.clock.Now()
	for name, find := range map[string]func() (Placement, error){
		"writes": b.Primary,
		"reads":  func() (Placement, error) { return b.ConfirmedPrimary(context.Background(), now, now) },
	} {
		place, err := find()
		if want == "" {
			qt.Assert(b.t, err, qt.ErrorAs, new(*NoPrimaryError), qt.Commentf("%s go to %s", name, place.ID))
			continue
		}
		qt.Assert(b.t, err, qt.IsNil, qt.Commentf(name))
		qt.Assert(b.t, place.ID, qt.Equals, want, qt.Commentf(name))
	}
}

// Guards against stale reads at a replaced primary once the newest primary can't be
// seen.
func TestReplacedPrimaryIsNotPrimaryAgain(t *testing.T) {
	t.Run("the entry of the newest primary has lapsed", func(t *testing.T) {
		b := newTestGroup(t)
		b.changeToB()
		b.SetMembers([]cwport.ListedTarget{
			{ID: "a", Service: "ledger", Address: "10.0.0.1:1", DataCentre: "dc", Slots: 3},
			{ID: "c", Service: "ledger", Address: "10.0.0.3:1", DataCentre: "dc", Slots: 3},
		}, 3, 8)
		b.assertPrimary("")
	})
	t.Run("the newest primary refuses to lead", func(t *testing.T) {
		b := newTestGroup(t)
		b.changeToB()
		b.RecordNotPrimary("b", b.clock.Now())
		b.assertPrimary("")
	})
	t.Run("a replica follows a primary that was not seen", func(t *testing.T) {
		b := newTestGroup(t)
		b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
		b.reportHealth("c", cwgroup.RoleReplica, 1, 100)
		b.assertPrimary("a")
		b.reportHealthAt("c", cwgroup.RoleReplica, 2, cwgroup.LogPosition{Term: 1, Index: 100})
		b.assertPrimary("")
	})
}

// Guards against refusing callers for good although other instances can reach the new
// primary.
func TestUnreachableNewPrimaryMayServeOtherInstances(t *testing.T) {
	b := newTestGroup(t)
	b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
	b.DialFailed(cwport.Endpoint{ID: "b"}, errUnavailable)
	b.SetRow(cwfailover.Row{Term: 2, Claim: "k", Owner: "y", Primary: "b", ReplacedTerm: 1, Done: true})
	_, err := b.Primary()
	var none *NoPrimaryError
	qt.Assert(t, errors.As(err, &none), qt.IsTrue)
	qt.Assert(t, none.MayServeElsewhere, qt.IsTrue)
}

// Guards against read floors that are too old because they come from a replaced primary
// that is now a lagging replica.
func TestReplacedPrimaryPositionsAreNotUsedAsFloor(t *testing.T) {
	b := newTestGroup(t)
	b.changeToB()
	b.clock.Advance(100 * time.Millisecond)
	asked := b.clock.Now()
	b.ObservePosition("a", cwgroup.LogPosition{Term: 2, Index: 122}, false, asked)
	b.clock.Advance(time.Millisecond)
	b.reportHealthAt("b", cwgroup.RolePrimary, 2, cwgroup.LogPosition{Term: 2, Index: 150})
	b.reportHealthAt("c", cwgroup.RoleReplica, 2, cwgroup.LogPosition{Term: 2, Index: 150})
	b.clock.Advance(time.Second)
	place, err := b.PlaceRead(context.Background(), Read{ArrivedAt: b.clock.Now(), MaxAge: b.clock.Since(asked)}, b.clock.Now())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, place.Floor, qt.Equals, cwgroup.LogPosition{Term: 2, Index: 150})
}
