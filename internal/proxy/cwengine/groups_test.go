package cwengine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// An instance stands before more groups than it could watch, and a caller comes for
// one that it has no part in. It is served; the claim on the group that was told
// before counts, and the other groups are not made.
func TestGroupsAreMadeWhenTheyAreUsed(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	front := w.engineWith("front", &holders{})
	c := cwcatalogue.Catalogue{Revision: 2, Entries: []cwcatalogue.Entry{w.entry}}
	for i := range 2 * cwholder.ManyGroups {
		e := w.entry
		e.Service, e.Groups = fmt.Sprintf("database%d", i), []cwcatalogue.Group{{Name: fmt.Sprintf("other%d", i)}}
		c.Entries = append(c.Entries, e)
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
		e := w.entry
		e.Service, e.Groups = fmt.Sprintf("database%d", i), []cwcatalogue.Group{{Name: fmt.Sprintf("other%d", i)}}
		c.Entries = append(c.Entries, e)
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

// Guards against an instance that takes part in a quarter of all groups for good, since it
// worked out their holders before it knew what their targets take.
func TestNoGroupIsHeldBeforeItsTargetsAreKnown(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	w.listed = nil
	h := &anyHolder{}
	front := w.engineWith("front", h)
	c := cwcatalogue.Catalogue{Revision: 2}
	for i := range 2 * cwholder.ManyGroups {
		e := w.entry
		e.Service, e.Groups = fmt.Sprintf("database%d", i), []cwcatalogue.Group{{Name: fmt.Sprintf("other%d", i)}}
		c.Entries = append(c.Entries, e)
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
