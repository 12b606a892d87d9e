package cwengine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// otherEntry returns the entry of another group than the simulated one.
func (env *testEnv) otherEntry(i int) cwcatalogue.Entry {
	e := env.entry
	e.Service, e.Groups = fmt.Sprintf("database%d", i), []cwcatalogue.Group{{Name: fmt.Sprintf("other%d", i)}}
	return e
}

// Checks that an instance with many groups, none of which it holds, starts a group when
// a caller uses it, and starts no others. A group that starts must know the claim that
// was reported before.
func TestGroupsStartOnFirstUse(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	front := env.engineWithHolders("front", &forwardingHolders{})
	c := cwcatalogue.Catalogue{Revision: 2, Entries: []cwcatalogue.Entry{env.entry}}
	for i := range 2 * cwholder.ManyGroupsThreshold {
		c.Entries = append(c.Entries, env.otherEntry(i))
	}
	front.SetCatalogue(c)
	_, running := front.Group("other1")
	env.c.Assert(running, qt.IsFalse)
	front.SetRow("other1", cwfailover.Row{Term: 3, Claim: "x", Owner: "y"})
	g, ok := front.ensureGroup("other1")
	env.c.Assert(ok, qt.IsTrue)
	_, err := g.Primary()
	env.c.Assert(err, qt.ErrorMatches, ".*none is known.*")
	_, running = front.Group("other2")
	env.c.Assert(running, qt.IsFalse)
	_, ok = front.ensureGroup("nowhere")
	env.c.Assert(ok, qt.IsFalse)
	s := env.session(front)
	env.eventually("the caller is served", func() bool {
		a := s.ask(cwstatement.Write, "WRITE i 1")
		return a.Code == cwstatement.OK
	})
	env.clock.Advance(time.Millisecond)
	c.Revision, c.Entries = 3, c.Entries[:1]
	front.SetCatalogue(c)
	_, running = front.Group("other1")
	env.c.Assert(running, qt.IsFalse)
}

// Guards against an instance that starts a group only to forward its statements. Callers
// may use hundreds of groups that other instances hold.
func TestForwardingStartsNoGroup(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	h := &testHolder{name: "holder", engine: env.engine("holder")}
	env.waitForPrimary(h.engine)
	front := env.engineWithHolders("front", &forwardingHolders{list: []*testHolder{h}})
	c := cwcatalogue.Catalogue{Revision: 2}
	for i := range 2 * cwholder.ManyGroupsThreshold {
		c.Entries = append(c.Entries, env.otherEntry(i))
	}
	front.SetCatalogue(c)
	c.Revision, c.Entries = 3, append(c.Entries, env.entry)
	front.SetCatalogue(c)
	s := env.session(front)
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
	assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 2"))
	assertOK(env.c, s.ask(cwstatement.Commit, "COMMIT"))
	_, running := front.Group(testService)
	env.c.Assert(running, qt.IsFalse)
}

// Guards against groups that are held on the basis of a capacity that is not known yet.
func TestNoGroupIsHeldBeforeItsCapacityIsKnown(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	env.listed = nil
	h := &holdsAllGroups{}
	front := env.engineWithHolders("front", h)
	c := cwcatalogue.Catalogue{Revision: 2}
	for i := range 2 * cwholder.ManyGroupsThreshold {
		c.Entries = append(c.Entries, env.otherEntry(i))
	}
	front.SetCatalogue(c)
	_, running := front.Group("other1")
	env.c.Assert(running, qt.IsFalse)
	front.SetTargets([]cwport.ListedTarget{{ID: "t", Service: "other1", Address: "t", DataCentre: "dc-a", Slots: 3}})
	_, running = front.Group("other1")
	env.c.Assert(running, qt.IsTrue)
	_, running = front.Group("other2")
	env.c.Assert(running, qt.IsFalse)
}

// holdsAllGroups makes its instance hold every group.
type holdsAllGroups struct{ forwardingHolders }

func (*holdsAllGroups) HolderRank(string, cwholder.TargetCapacity) (int, bool) { return 0, true }

// countingHolders counts the calls of HolderRank.
type countingHolders struct {
	forwardingHolders
	calls int
}

func (h *countingHolders) HolderRank(string, cwholder.TargetCapacity) (int, bool) {
	h.calls++
	return -1, false
}

// Guards against a change of one target that updates all of a thousand groups.
func TestTargetChangeUpdatesOnlyItsGroup(t *testing.T) {
	const groups = 1000
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	env.listed = nil
	h := &countingHolders{}
	front := env.engineWithHolders("front", h)
	c := cwcatalogue.Catalogue{Revision: 2}
	var all []cwport.ListedTarget
	for i := range groups {
		c.Entries = append(c.Entries, env.otherEntry(i))
		all = append(all, cwport.ListedTarget{ID: memberID(fmt.Sprintf("t%d", i)), Service: fmt.Sprintf("other%d", i), Address: "t", DataCentre: "dc-a", Slots: 3})
	}
	front.SetCatalogue(c)
	front.SetTargets(all)
	assertCalls := func(what string, f func(), want int) {
		h.calls = 0
		f()
		env.c.Assert(h.calls, qt.Equals, want, qt.Commentf("%s", what))
	}
	changed := all[7]
	changed.Role = cwport.RolePrimary
	assertCalls("another role", func() { front.UpdateTargets([]cwport.ListedTarget{changed}, nil) }, 0)
	changed.Slots = 5
	assertCalls("other slots", func() { front.UpdateTargets([]cwport.ListedTarget{changed}, nil) }, 1)
	assertCalls("a removed target", func() { front.UpdateTargets(nil, []cwgroup.MemberID{changed.ID}) }, 0)
	assertCalls("another catalogue", func() {
		c.Revision++
		front.SetCatalogue(c)
	}, 0)
	assertCalls("another list of instances", front.RefreshHolders, groups-1)
}

// Guards against an instance that never stops a group of which it has run a statement.
func TestIdleGroupIsStopped(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	front := env.engineWithHolders("front", &forwardingHolders{})
	c := cwcatalogue.Catalogue{Revision: 2, Entries: []cwcatalogue.Entry{env.entry}}
	for i := range cwholder.ManyGroupsThreshold {
		c.Entries = append(c.Entries, env.otherEntry(i))
	}
	front.SetCatalogue(c)
	s := env.session(front)
	env.eventually("the caller is served", func() bool { return s.ask(cwstatement.Write, "WRITE i 1").Code == cwstatement.OK })
	_, running := front.Group(testService)
	env.c.Assert(running, qt.IsTrue)
	env.clock.Advance(groupIdleTimeout)
	env.eventually("the group is stopped", func() bool {
		_, running := front.Group(testService)
		return !running
	})
	env.eventually("the caller is served again", func() bool { return s.ask(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK })
}

// Guards against a list of targets that differs from what the platform has published.
func TestTargetList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l targetList
		want := make(map[cwgroup.MemberID]cwport.ListedTarget)
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			id := memberID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "target"))
			if rapid.Bool().Draw(t, "removed") {
				_, had := want[id]
				if _, ok := l.remove(id); ok != had {
					t.Fatalf("%s: removed %v, was there %v", id, ok, had)
				}
				delete(want, id)
				continue
			}
			want[id] = cwport.ListedTarget{ID: id, Service: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service"), Draining: rapid.Bool().Draw(t, "leaving")}
			l.set(want[id])
		}
		seen := 0
		for _, service := range l.services() {
			wantActive := 0
			for _, listed := range l.forService(service) {
				if listed != want[listed.ID] || listed.Service != service {
					t.Fatalf("%+v is listed for %s", listed, service)
				}
				seen++
				if !listed.Draining {
					wantActive++
				}
			}
			if len(l.active(service)) != wantActive || l.anyActive(service) != (wantActive > 0) {
				t.Fatalf("%s: %d active targets, got %d", service, wantActive, len(l.active(service)))
			}
		}
		if seen != len(want) {
			t.Fatalf("%d of %d are listed by service", seen, len(want))
		}
	})
}
