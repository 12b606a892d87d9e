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

// updateRow passes the group's row in the table to an engine.
func (w *testEnv) updateRow(e *Engine) {
	w.c.Helper()
	row, _, err := cwclaim.Claims{Table: w.table, Group: testService}.Read(context.Background())
	w.c.Assert(err, qt.IsNil)
	e.SetRow(testService, row)
}

// replacedByB reports whether the last change of primary in the group's row was to b.
func (w *testEnv) replacedByB() bool {
	row, _, err := cwclaim.Claims{Table: w.table, Group: testService}.Read(context.Background())
	return err == nil && row.Done && row.Primary == "b"
}

// Guards against stale reads after the entry of the running primary has lapsed: a read
// relied on the answer of a single member.
func TestMemberThatIsGoneStillCounts(t *testing.T) {
	for _, rule := range readRules {
		t.Run(string(rule), func(t *testing.T) {
			w := newTestEnv(t, rule)
			x, y := w.engine("x"), w.engine("y")
			w.waitForPrimary(x)
			w.waitForPrimary(y)
			assertOK(w.c, w.session(y).ask(cwstatement.Write, "WRITE i 1"))
			w.table.mu.Lock()
			w.table.unavailable = true
			w.table.mu.Unlock()
			w.group.SetDeaf("b", true)
			assertOK(w.c, w.session(y).ask(cwstatement.Write, "WRITE i 2"))
			w.clock.Sleep(2 * w.entry.Contract.MaxAge)
			w.group.Cut("x", "c", true)
			x.ChangeListings(nil, []cwgroup.MemberID{"a"})
			for range 10 {
				if a := w.session(x).tryAsk(cwstatement.Read, "READ i"); a.Code == cwstatement.OK {
					assertRead(w.c, a, "2")
				}
			}
		})
	}
}

// replacePrimaryBehindPartition makes y replace the primary a by b while a and c, which y
// had fenced, are cut off from b. c then restarts, loses its fence, and receives from a.
func replacePrimaryBehindPartition(w *testEnv, y *Engine) {
	w.c.Helper()
	w.waitForPrimary(y)
	w.group.SetPromotionTakes(time.Second, w.clock)
	for _, id := range []string{"b", "c", "y"} {
		w.group.Cut("a", id, true)
	}
	s := w.session(y)
	w.eventually("another primary is promoted", func() bool {
		s.ask(cwstatement.Read, "READ i")
		return w.replacedByB()
	})
	w.group.Cut("c", "b", true)
	w.group.Restart("c", 10*time.Millisecond, w.clock)
	w.group.Cut("a", "c", false)
}

// Guards against commits at a replaced primary that are confirmed by a member which lost
// its fence in a restart.
func TestRowTellsThatAPrimaryWasReplaced(t *testing.T) {
	w := newTestEnv(t, cwcatalogue.ReadNewest)
	x, y := w.engine("x"), w.engine("y")
	w.waitForPrimary(x)
	w.group.Cut("x", "b", true)
	replacePrimaryBehindPartition(w, y)
	w.updateRow(x)
	s := w.session(x)
	for range 10 {
		for _, st := range []struct {
			verb cwstatement.Verb
			text string
		}{{cwstatement.Write, "WRITE i 2"}, {cwstatement.Read, "READ i"}} {
			a := s.ask(st.verb, st.text)
			if !w.replacedByB() {
				// The instance has replaced the primary that it cannot reach.
				return
			}
			w.c.Assert(a.Code, qt.Not(qt.Equals), cwstatement.OK, qt.Commentf("%s", st.text))
		}
		w.clock.Sleep(300 * time.Millisecond)
	}
}

// Guards against an instance that starts while one member is listed and takes it for the
// whole group.
func TestRowTellsHowManyMembersThereAre(t *testing.T) {
	w := newTestEnv(t, cwcatalogue.ReadNewest)
	replacePrimaryBehindPartition(w, w.engine("y"))
	w.table.mu.Lock()
	w.table.unavailable = true
	w.table.mu.Unlock()
	row, err := cwclaim.Decode(w.table.rows[cwclaim.KeyPrefix+testService].Value)
	w.c.Assert(err, qt.IsNil)
	for _, only := range []string{"a", "b"} {
		w.listed, w.onStart = []string{only}, func(e *Engine) { e.SetRow(testService, row) }
		s := w.session(w.engine("started-with-" + only))
		w.clock.Sleep(3 * time.Second)
		assertNothingKept(w.c, s.ask(cwstatement.Read, "READ i"))
		w.c.Assert(s.ask(cwstatement.Write, "WRITE i 2").Code, qt.Not(qt.Equals), cwstatement.OK)
	}
}

// Guards against an instance that starts after the rows of a group were lost and takes the
// listed members for the whole group.
func TestStartWithoutRowsWaitsForThoseWhoKnow(t *testing.T) {
	for _, tc := range []struct {
		name     string
		recorded int64
		leads    bool
	}{{"somebody knows of more members", 3, false}, {"nobody knows of any", 0, true}} {
		t.Run(tc.name, func(t *testing.T) {
			w := newTestEnv(t, cwcatalogue.ReadNewest)
			w.listed = []string{"a"}
			var recorded atomic.Int64
			e := w.engineWithConfig("x", func(cfg *Config) {
				cfg.FirstStart = false
				cfg.Recorded = func(string) int { return int(recorded.Load()) }
			})
			s := w.session(e)
			assertNothingKept(w.c, s.tryAsk(cwstatement.Write, "WRITE i 1"))
			w.c.Assert(e.Members(), qt.HasLen, 0)
			recorded.Store(tc.recorded)
			w.clock.Sleep(2 * recordedSizeWait)
			w.c.Assert(w.session(e).tryAsk(cwstatement.Read, "READ i").Code == cwstatement.OK, qt.Equals, tc.leads)
			w.c.Assert(len(e.Members()) > 0, qt.Equals, tc.leads)
		})
	}
}

// Guards against a majority of four members after a new member has replaced one of three.
func TestNewMemberReplacesLapsedMember(t *testing.T) {
	w := newTestEnv(t, cwcatalogue.ReadNewest)
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
