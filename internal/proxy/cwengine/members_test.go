package cwengine

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwclaim"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// tellRow tells an engine the group's row as it stands in the table.
func (w *world) tellRow(e *Engine) {
	w.c.Helper()
	row, _, err := cwclaim.Claims{Table: w.table, Group: testService}.Read(context.Background())
	w.c.Assert(err, qt.IsNil)
	e.SetRow(testService, row)
}

// changedToB reports whether the last change of primary by the group's row was to b.
func (w *world) changedToB() bool {
	row, _, err := cwclaim.Claims{Table: w.table, Group: testService}.Read(context.Background())
	return err == nil && row.Done && row.Primary == "b"
}

// Guards against stale reads by the word of one member after the living primary's entry lapsed.
func TestMemberThatIsGoneStillCounts(t *testing.T) {
	for _, rule := range readRules {
		t.Run(string(rule), func(t *testing.T) {
			w := newWorld(t, rule)
			x, y := w.engine("x"), w.engine("y")
			w.settled(x)
			w.settled(y)
			succeeds(w.c, w.session(y).ask(cwstatement.Write, "WRITE i 1"))
			w.table.mu.Lock()
			w.table.away = true
			w.table.mu.Unlock()
			w.group.SetDeaf("b", true)
			succeeds(w.c, w.session(y).ask(cwstatement.Write, "WRITE i 2"))
			w.clock.Sleep(2 * w.entry.Contract.MaxAge)
			w.group.Cut("x", "c", true)
			x.ChangeListings(nil, []cwgroup.MemberID{"a"})
			for range 10 {
				if a := w.session(x).offer(cwstatement.Read, "READ i"); a.Code == cwstatement.OK {
					reads(w.c, a, "2")
				}
			}
		})
	}
}

// replaceBehindACut has y replace a by b while a and c, which y had fenced, are cut off
// from b; c starts again, has forgotten its fence, and receives from a.
func replaceBehindACut(w *world, y *Engine) {
	w.c.Helper()
	w.settled(y)
	w.group.SetPromotionTakes(time.Second, w.clock)
	for _, id := range []string{"b", "c", "y"} {
		w.group.Cut("a", id, true)
	}
	s := w.session(y)
	w.eventually("another primary is promoted", func() bool {
		s.ask(cwstatement.Read, "READ i")
		return w.changedToB()
	})
	w.group.Cut("c", "b", true)
	w.group.Restart("c", 10*time.Millisecond, w.clock)
	w.group.Cut("a", "c", false)
}

// Guards against commits that a replaced primary takes and a member confirms that forgot its fence.
func TestRowTellsThatAPrimaryWasReplaced(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	x, y := w.engine("x"), w.engine("y")
	w.settled(x)
	w.group.Cut("x", "b", true)
	replaceBehindACut(w, y)
	w.tellRow(x)
	s := w.session(x)
	for range 10 {
		for _, st := range []struct {
			verb cwstatement.Verb
			text string
		}{{cwstatement.Write, "WRITE i 2"}, {cwstatement.Read, "READ i"}} {
			a := s.ask(st.verb, st.text)
			if !w.changedToB() {
				// The instance replaces the primary that it does not reach.
				return
			}
			w.c.Assert(a.Code, qt.Not(qt.Equals), cwstatement.OK, qt.Commentf("%s", st.text))
		}
		w.clock.Sleep(300 * time.Millisecond)
	}
}

// Guards against a start at which one listed member passes for the whole group.
func TestRowTellsHowManyMembersThereAre(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	replaceBehindACut(w, w.engine("y"))
	w.table.mu.Lock()
	w.table.away = true
	w.table.mu.Unlock()
	row, err := cwclaim.Decode(w.table.rows[cwclaim.KeyPrefix+testService].Value)
	w.c.Assert(err, qt.IsNil)
	for _, only := range []string{"a", "b"} {
		w.listed, w.first = []string{only}, func(e *Engine) { e.SetRow(testService, row) }
		s := w.session(w.engine("started-with-" + only))
		w.clock.Sleep(3 * time.Second)
		promises(w.c, s.ask(cwstatement.Read, "READ i"))
		w.c.Assert(s.ask(cwstatement.Write, "WRITE i 2").Code, qt.Not(qt.Equals), cwstatement.OK)
	}
}

// Guards against a start, after the rows of a group were lost, that takes what is listed for all of it.
func TestStartWithoutRowsWaitsForThoseWhoKnow(t *testing.T) {
	for _, tc := range []struct {
		name     string
		recorded int64
		leads    bool
	}{{"somebody knows of more members", 3, false}, {"nobody knows of any", 0, true}} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, cwcatalogue.ReadNewest)
			w.listed = []string{"a"}
			var recorded atomic.Int64
			e := w.engineOf("x", func(cfg *Config) {
				cfg.FirstStart = false
				cfg.Recorded = func(string) int { return int(recorded.Load()) }
			})
			s := w.session(e)
			promises(w.c, s.offer(cwstatement.Write, "WRITE i 1"))
			w.c.Assert(e.Members(), qt.HasLen, 0)
			recorded.Store(tc.recorded)
			w.clock.Sleep(2 * recordedWait)
			w.c.Assert(w.session(e).offer(cwstatement.Read, "READ i").Code == cwstatement.OK, qt.Equals, tc.leads)
			w.c.Assert(len(e.Members()) > 0, qt.Equals, tc.leads)
		})
	}
}

// Guards against a majority of four where a new member came in the place of one of three.
func TestNewMemberTakesTheLapsedOnesPlace(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	e := w.engine("x")
	listing := func(id string, lapsed bool) cwport.Listing {
		return cwport.Listing{ID: memberID(id), Service: testService, Address: id, DataCentre: "dc-" + id, Slots: 3, Lapsed: lapsed}
	}
	e.ChangeListings([]cwport.Listing{listing("c", true)}, nil)
	e.ChangeListings([]cwport.Listing{listing("d", false)}, nil)
	w.c.Assert(e.Members()[testService].Of, qt.Equals, 3)
	e.ChangeListings(nil, []cwgroup.MemberID{"c"})
	w.c.Assert(e.Members()[testService].Of, qt.Equals, 3)
	w.c.Assert(e.Members()[testService].Members, qt.HasLen, 3)
}
