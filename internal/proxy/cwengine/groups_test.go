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

// other returns an entry of another group than the world's.
func (w *world) other(i int) cwcatalogue.Entry {
	e := w.entry
	e.Service, e.Groups = fmt.Sprintf("database%d", i), []cwcatalogue.Group{{Name: fmt.Sprintf("other%d", i)}}
	return e
}

// An instance stands before more groups than it could watch, and a caller comes for
// one that it has no part in. It is served; the claim on the group that was told
// before counts, and the other groups are not made.
func TestGroupsAreMadeWhenTheyAreUsed(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	front := w.engineWith("front", &holders{})
	c := cwcatalogue.Catalogue{Revision: 2, Entries: []cwcatalogue.Entry{w.entry}}
	for i := range 2 * cwholder.ManyGroups {
		c.Entries = append(c.Entries, w.other(i))
	}
	front.SetCatalogue(c)
	_, made := front.Group("other1")
	w.c.Assert(made, qt.IsFalse)
	front.SetRow("other1", cwfailover.Row{Term: 3, Claim: "x", Keeper: "y"})
	g, ok := front.use("other1")
	w.c.Assert(ok, qt.IsTrue)
	_, err := g.Primary()
	w.c.Assert(err, qt.ErrorMatches, ".*none is known.*")
	_, made = front.Group("other2")
	w.c.Assert(made, qt.IsFalse)
	_, ok = front.use("nowhere")
	w.c.Assert(ok, qt.IsFalse)
	s := w.session(front)
	w.eventually("the caller is served", func() bool {
		a := s.ask(cwstatement.Write, "WRITE i 1")
		return a.Code == cwstatement.OK
	})
	w.clock.Advance(time.Millisecond)
	c.Revision, c.Entries = 3, c.Entries[:1]
	front.SetCatalogue(c)
	_, made = front.Group("other1")
	w.c.Assert(made, qt.IsFalse)
}

// Callers come to an instance for hundreds of groups that others hold. It hands their
// statements over and needs to know none of those groups itself.
func TestHandingOverMakesNoGroup(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	h := &holder{name: "holder", engine: w.engine("holder")}
	w.settled(h.engine)
	front := w.engineWith("front", &holders{list: []*holder{h}})
	c := cwcatalogue.Catalogue{Revision: 2}
	for i := range 2 * cwholder.ManyGroups {
		c.Entries = append(c.Entries, w.other(i))
	}
	front.SetCatalogue(c)
	c.Revision, c.Entries = 3, append(c.Entries, w.entry)
	front.SetCatalogue(c)
	s := w.session(front)
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	succeeds(w.c, s.ask(cwstatement.Begin, "BEGIN"))
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 2"))
	succeeds(w.c, s.ask(cwstatement.Commit, "COMMIT"))
	_, made := front.Group(testService)
	w.c.Assert(made, qt.IsFalse)
}

// Guards against groups that are held by a demand that is not known yet.
func TestNoGroupIsHeldBeforeItsTargetsAreKnown(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	w.listed = nil
	h := &anyHolder{}
	front := w.engineWith("front", h)
	c := cwcatalogue.Catalogue{Revision: 2}
	for i := range 2 * cwholder.ManyGroups {
		c.Entries = append(c.Entries, w.other(i))
	}
	front.SetCatalogue(c)
	_, made := front.Group("other1")
	w.c.Assert(made, qt.IsFalse)
	front.SetListings([]cwport.Listing{{ID: "t", Service: "other1", Address: "t", DataCentre: "dc-a", Slots: 3}})
	_, made = front.Group("other1")
	w.c.Assert(made, qt.IsTrue)
	_, made = front.Group("other2")
	w.c.Assert(made, qt.IsFalse)
}

// anyHolder says that its instance holds every group that it is asked about.
type anyHolder struct{ holders }

func (*anyHolder) Holds(string, cwholder.Demand) (int, bool) { return 0, true }

// countingHolders counts how often its instance asks whether it holds a group.
type countingHolders struct {
	holders
	asked int
}

func (h *countingHolders) Holds(string, cwholder.Demand) (int, bool) {
	h.asked++
	return -1, false
}

// Guards against news of one target that look at a thousand groups.
func TestNewsOfOneTargetLookAtItsGroupOnly(t *testing.T) {
	const groups = 1000
	w := newWorld(t, cwcatalogue.ReadNewest)
	w.listed = nil
	h := &countingHolders{}
	front := w.engineWith("front", h)
	c := cwcatalogue.Catalogue{Revision: 2}
	var all []cwport.Listing
	for i := range groups {
		c.Entries = append(c.Entries, w.other(i))
		all = append(all, cwport.Listing{ID: memberID(fmt.Sprintf("t%d", i)), Service: fmt.Sprintf("other%d", i), Address: "t", DataCentre: "dc-a", Slots: 3})
	}
	front.SetCatalogue(c)
	front.SetListings(all)
	asked := func(what string, f func(), want int) {
		h.asked = 0
		f()
		w.c.Assert(h.asked, qt.Equals, want, qt.Commentf("%s", what))
	}
	changed := all[7]
	changed.Role = cwport.LeadershipPrimary
	asked("another role", func() { front.ChangeListings([]cwport.Listing{changed}, nil) }, 0)
	changed.Slots = 5
	asked("other slots", func() { front.ChangeListings([]cwport.Listing{changed}, nil) }, 1)
	asked("one that is gone", func() { front.ChangeListings(nil, []cwgroup.MemberID{changed.ID}) }, 0)
	asked("another catalogue", func() {
		c.Revision++
		front.SetCatalogue(c)
	}, 0)
	asked("another list of instances", front.Rehold, groups-1)
}

// Guards against an instance that keeps each group for good that it ran one statement of.
func TestGroupThatIsNeitherHeldNorUsedIsGivenUp(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	front := w.engineWith("front", &holders{})
	c := cwcatalogue.Catalogue{Revision: 2, Entries: []cwcatalogue.Entry{w.entry}}
	for i := range cwholder.ManyGroups {
		c.Entries = append(c.Entries, w.other(i))
	}
	front.SetCatalogue(c)
	s := w.session(front)
	w.eventually("the caller is served", func() bool { return s.ask(cwstatement.Write, "WRITE i 1").Code == cwstatement.OK })
	_, made := front.Group(testService)
	w.c.Assert(made, qt.IsTrue)
	w.clock.Advance(idleGroup)
	w.eventually("the group is given up", func() bool {
		_, made := front.Group(testService)
		return !made
	})
	w.eventually("the caller is served again", func() bool { return s.ask(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK })
}

// Guards against a list of targets that drifts away from what the platform has told.
func TestListings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l listings
		want := make(map[cwgroup.MemberID]cwport.Listing)
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
			want[id] = cwport.Listing{ID: id, Service: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service"), Leaving: rapid.Bool().Draw(t, "leaving")}
			l.put(want[id])
		}
		seen := 0
		for _, service := range l.services() {
			staying := 0
			for _, listed := range l.of(service) {
				if listed != want[listed.ID] || listed.Service != service {
					t.Fatalf("%+v is listed for %s", listed, service)
				}
				seen++
				if !listed.Leaving {
					staying++
				}
			}
			if len(l.staying(service)) != staying || l.anyStays(service) != (staying > 0) {
				t.Fatalf("%s: %d stay, %d are told", service, staying, len(l.staying(service)))
			}
		}
		if seen != len(want) {
			t.Fatalf("%d of %d are listed by service", seen, len(want))
		}
	})
}
