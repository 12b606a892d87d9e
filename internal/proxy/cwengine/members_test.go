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
func (env *testEnv) updateRow(e *Engine) {
	env.c.Helper()
	row, _, err := cwclaim.Store{Table: env.table, Group: testService}.Read(context.Background())
	env.c.Assert(err, qt.IsNil)
	e.SetRow(testService, row)
}

// replacedByB reports whether the last change of primary in the group's row was to b.
func (env *testEnv) replacedByB() bool {
	row, _, err := cwclaim.Store{Table: env.table, Group: testService}.Read(context.Background())
	return err == nil && row.Done && row.Primary == "b"
}

// Guards against stale reads after the entry of the running primary has lapsed: a read
// relied on the answer of a single member.
func TestUnlistedMemberStillCounts(t *testing.T) {
	for _, rule := range readRules {
		t.Run(string(rule), func(t *testing.T) {
			env := newTestEnv(t, rule)
			x, y := env.engine("x"), env.engine("y")
			env.waitForPrimary(x)
			env.waitForPrimary(y)
			assertOK(env.c, env.session(y).ask(cwstatement.Write, "WRITE i 1"))
			env.table.mu.Lock()
			env.table.unavailable = true
			env.table.mu.Unlock()
			env.group.SetReceiveStopped("b", true)
			assertOK(env.c, env.session(y).ask(cwstatement.Write, "WRITE i 2"))
			env.clock.Sleep(2 * env.entry.Contract.MaxAge)
			env.group.Cut("x", "c", true)
			x.UpdateTargets(nil, []cwgroup.MemberID{"a"})
			for range 10 {
				if a := env.session(x).tryAsk(cwstatement.Read, "READ i"); a.Code == cwstatement.OK {
					assertRead(env.c, a, "2")
				}
			}
		})
	}
}

// replacePrimaryBehindPartition makes y replace the primary a by b while a and c, which y
// had fenced, are cut off from b. c then restarts, loses its fence, and receives from a.
func replacePrimaryBehindPartition(env *testEnv, y *Engine) {
	env.c.Helper()
	env.waitForPrimary(y)
	env.group.SetPromotionDelay(time.Second, env.clock)
	for _, id := range []string{"b", "c", "y"} {
		env.group.Cut("a", id, true)
	}
	s := env.session(y)
	env.eventually("another primary is promoted", func() bool {
		s.ask(cwstatement.Read, "READ i")
		return env.replacedByB()
	})
	env.group.Cut("c", "b", true)
	env.group.Restart("c", 10*time.Millisecond, env.clock)
	env.group.Cut("a", "c", false)
}

// Guards against commits at a replaced primary that are confirmed by a member which lost
// its fence in a restart.
func TestRowShowsReplacedPrimary(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	x, y := env.engine("x"), env.engine("y")
	env.waitForPrimary(x)
	env.group.Cut("x", "b", true)
	replacePrimaryBehindPartition(env, y)
	env.updateRow(x)
	s := env.session(x)
	for range 10 {
		for _, st := range []struct {
			verb cwstatement.Verb
			text string
		}{{cwstatement.Write, "WRITE i 2"}, {cwstatement.Read, "READ i"}} {
			a := s.ask(st.verb, st.text)
			if !env.replacedByB() {
				// The instance has replaced the primary that it cannot reach.
				return
			}
			env.c.Assert(a.Code, qt.Not(qt.Equals), cwstatement.OK, qt.Commentf("%s", st.text))
		}
		env.clock.Sleep(300 * time.Millisecond)
	}
}

// Guards against an instance that starts while one member is listed and takes it for the
// whole group.
func TestRowHasGroupSize(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	replacePrimaryBehindPartition(env, env.engine("y"))
	env.table.mu.Lock()
	env.table.unavailable = true
	env.table.mu.Unlock()
	row, err := cwclaim.Decode(env.table.rows[cwclaim.KeyPrefix+testService].Value)
	env.c.Assert(err, qt.IsNil)
	for _, only := range []string{"a", "b"} {
		env.listed, env.onStart = []string{only}, func(e *Engine) { e.SetRow(testService, row) }
		s := env.session(env.engine("started-with-" + only))
		env.clock.Sleep(3 * time.Second)
		assertNothingKept(env.c, s.ask(cwstatement.Read, "READ i"))
		env.c.Assert(s.ask(cwstatement.Write, "WRITE i 2").Code, qt.Not(qt.Equals), cwstatement.OK)
	}
}

// Guards against an instance that starts after the rows of a group were lost and takes the
// listed members for the whole group.
func TestStartWithoutRowsWaitsForGroupSize(t *testing.T) {
	for _, tc := range []struct {
		name     string
		recorded int64
		leads    bool
	}{{"somebody knows of more members", 3, false}, {"nobody knows of any", 0, true}} {
		t.Run(tc.name, func(t *testing.T) {
			env := newTestEnv(t, cwcatalogue.ReadLatest)
			env.listed = []string{"a"}
			var recorded atomic.Int64
			e := env.engineWithConfig("x", func(cfg *Config) {
				cfg.FirstStart = false
				cfg.RecordedSize = func(string) int { return int(recorded.Load()) }
			})
			s := env.session(e)
			assertNothingKept(env.c, s.tryAsk(cwstatement.Write, "WRITE i 1"))
			env.c.Assert(e.Members(), qt.HasLen, 0)
			recorded.Store(tc.recorded)
			env.clock.Sleep(2 * recordedSizeWait)
			env.c.Assert(env.session(e).tryAsk(cwstatement.Read, "READ i").Code == cwstatement.OK, qt.Equals, tc.leads)
			env.c.Assert(len(e.Members()) > 0, qt.Equals, tc.leads)
		})
	}
}

// Guards against a majority of four members after a new member has replaced one of three.
func TestNewMemberReplacesLapsedMember(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	e := env.engine("x")
	listing := func(id string, lapsed bool) cwport.ListedTarget {
		return cwport.ListedTarget{ID: memberID(id), Service: testService, Address: id, DataCentre: "dc-" + id, Slots: 3, EntryMissing: lapsed}
	}
	e.UpdateTargets([]cwport.ListedTarget{listing("c", true)}, nil)
	e.UpdateTargets([]cwport.ListedTarget{listing("d", false)}, nil)
	env.c.Assert(e.Members()[testService].StableSize, qt.Equals, 3)
	e.UpdateTargets(nil, []cwgroup.MemberID{"c"})
	env.c.Assert(e.Members()[testService].StableSize, qt.Equals, 3)
	env.c.Assert(e.Members()[testService].Members, qt.HasLen, 3)
}

// Guards against a group that needs one member more than it has for good: it is recorded with one
// that is leaving, which ends while all instances start again.
func TestRecordedSizeLacksLeavingMembers(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	e := env.engine("x")
	listing := func(id string, draining bool) cwport.ListedTarget {
		return cwport.ListedTarget{ID: memberID(id), Service: testService, Address: id, DataCentre: "dc-" + id, Slots: 3, Draining: draining}
	}
	e.UpdateTargets([]cwport.ListedTarget{listing("d", false)}, nil)
	env.c.Assert(e.Members()[testService].StableSize, qt.Equals, 4)
	e.UpdateTargets([]cwport.ListedTarget{listing("c", true)}, nil)
	env.c.Assert(e.Members()[testService].StableSize, qt.Equals, 3)
	e.UpdateTargets(nil, []cwgroup.MemberID{"c"})
	env.c.Assert(e.Members()[testService].StableSize, qt.Equals, 3)
}
