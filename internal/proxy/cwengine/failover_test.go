package cwengine

import (
	"context"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwclaim"
)

func itoa(n int) string { return strconv.Itoa(n) }

func memberID(s string) cwgroup.MemberID { return cwgroup.MemberID(s) }

func assertOK(c *qt.C, a cwstatement.Answer) {
	c.Helper()
	c.Assert(a.Code, qt.Equals, cwstatement.OK, qt.Commentf("%s", a.Detail))
}

func assertRead(c *qt.C, a cwstatement.Answer, want string) {
	c.Helper()
	assertOK(c, a)
	c.Assert(a.Rows, qt.DeepEquals, []string{want})
}

// assertNothingKept asserts a refusal with the guarantee that nothing is kept.
func assertNothingKept(c *qt.C, a cwstatement.Answer) {
	c.Helper()
	c.Assert(a.Code.Promises(), qt.IsTrue, qt.Commentf("%s %s", a.Code, a.Detail))
}

// Guards against stale reads at a replaced primary. An instance and the primary are cut off
// from the rest together, and the other members have promoted a new primary and accepted
// writes. The replaced primary still accepts transactions. Only reads outside transactions
// used to be checked against the current primary.
func TestReplacedPrimaryServesNoReads(t *testing.T) {
	for _, rule := range []cwcatalogue.ReadRule{cwcatalogue.ReadNewest, cwcatalogue.ReadAged, cwcatalogue.ReadOwnWrites} {
		t.Run(string(rule), func(t *testing.T) {
			w := newTestEnv(t, rule)
			cut, whole := w.engine("x"), w.engine("y")
			w.waitForPrimary(cut)
			w.waitForPrimary(whole)
			x, y := w.session(cut), w.session(whole)
			assertOK(w.c, y.ask(cwstatement.Write, "WRITE i 1"))
			assertRead(w.c, x.ask(cwstatement.Read, "READ i"), "1")

			for _, side := range []string{"b", "c"} {
				w.group.Cut("x", side, true)
				w.group.Cut("a", side, true)
			}
			w.group.Cut("y", "a", true)
			w.eventually("a write is acknowledged by the new primary", func() bool {
				return y.ask(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK
			})
			w.clock.Sleep(w.entry.Contract.MaxAge)

			// The instance may close its idle sessions, so each step uses a session of its
			// own.
			assertNothingKept(w.c, w.session(cut).tryAsk(cwstatement.Read, "READ i"))
			plain := w.session(cut)
			if plain.tryAsk(cwstatement.Begin, "BEGIN").Code == cwstatement.OK {
				assertNothingKept(w.c, plain.tryAsk(cwstatement.Read, "READ i"))
			}
			aged := w.session(cut)
			if aged.tryAsk(cwstatement.BeginRead, "BEGIN READ").Code == cwstatement.OK {
				assertNothingKept(w.c, aged.tryAsk(cwstatement.Read, "READ i"))
			}
		})
	}
}

// Guards against callers that are refused for as long as their data centre is isolated,
// although other data centres could serve them. Their instance stayed ready and kept their
// connections.
func TestIsolatedInstanceSendsCallersAway(t *testing.T) {
	w := newTestEnv(t, cwcatalogue.ReadNewest)
	e := w.engine("x")
	w.waitForPrimary(e)
	s := w.session(e)
	assertOK(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	w.c.Assert(e.Ready(), qt.IsTrue)

	w.group.Cut("x", "b", true)
	w.group.Cut("x", "c", true)
	w.eventually("the instance reports itself not ready", func() bool {
		s.tryAsk(cwstatement.Read, "READ i")
		return !e.Ready()
	})
	w.eventually("idle sessions are closed", func() bool { return e.Sessions() == 0 })

	w.group.Cut("x", "b", false)
	w.eventually("the instance is ready again", e.Ready)
}

// Guards against an instance that reports itself isolated when one replica of three is lost.
// The majority is still reachable, and sending callers away would help none of them.
func TestLostReplicaIsNotIsolation(t *testing.T) {
	w := newTestEnv(t, cwcatalogue.ReadNewest)
	e := w.engine("x")
	w.waitForPrimary(e)
	s := w.session(e)
	assertOK(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	w.group.Cut("x", "b", true)
	w.clock.Sleep(2 * time.Second)
	s.ask(cwstatement.Read, "READ i")
	w.c.Assert(e.Ready(), qt.IsTrue)
}

// Guards against repeated changes of primary. Some instances have not received news of the
// platform's table for a while when the primary is lost. One of them promotes another
// member; until that member leads, the others promoted again, one after the other, and the
// holders acted in turns.
func TestChangeOfPrimaryIsGivenTime(t *testing.T) {
	w := newTestEnv(t, cwcatalogue.ReadNewest)
	w.group.SetPromotionTakes(time.Second, w.clock)
	var engines []*Engine
	for _, name := range []string{"x", "y", "z"} {
		e := w.engine(name)
		w.waitForPrimary(e)
		engines = append(engines, e)
	}
	for _, other := range []string{"x", "y", "z", "b", "c"} {
		w.group.Cut("a", other, true)
	}
	w.eventually("a write is acknowledged by the new primary", func() bool {
		for _, e := range engines {
			w.session(e).tryAsk(cwstatement.Write, "WRITE i 1")
		}
		return w.group.Value("i") == "1"
	})
	w.c.Assert(w.group.Promotions(), qt.HasLen, 1)
}

// Guards against late suspicion of a primary that neither refuses nor answers. Writes stalled
// for the whole time limit of the first statement before the primary was even suspected;
// with a limit of 60 s, for a minute.
func TestDarkPrimaryIsSuspectedEarly(t *testing.T) {
	w := newTestEnv(t, cwcatalogue.ReadNewest)
	w.entry.Contract.StatementTimeout = time.Minute
	e := w.engine("x")
	w.waitForPrimary(e)
	s := w.session(e)
	assertOK(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	w.group.SetDark("a", true, w.clock)
	began := w.clock.Now()
	go s.tryAsk(cwstatement.Write, "WRITE i 2")
	w.eventually("another member is promoted", func() bool { return len(w.group.Promotions()) > 0 })
	took := w.clock.Since(began)
	t.Logf("promoted after %v", took)
	w.c.Assert(took < 10*time.Second, qt.IsTrue, qt.Commentf("%v", took))
}

// newSessionBeforeLostPrimary returns a session on a group whose primary has just been cut
// off.
func newSessionBeforeLostPrimary(t *testing.T) (*testEnv, *testCaller) {
	w := newTestEnv(t, cwcatalogue.ReadNewest)
	e := w.engine("x")
	w.waitForPrimary(e)
	s := w.session(e)
	assertOK(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	for _, other := range []string{"x", "b", "c"} {
		w.group.Cut("a", other, true)
	}
	return w, s
}

// Guards against a failed attempt to replace a lost primary that leaves a member behind. The
// next attempt numbered its claim one higher and fenced the replicas for that number. The new
// primary led the term before it, so the third member kept waiting for a later term, and no
// write was acknowledged for ten seconds.
func TestFailedAttemptLeavesNoMemberBehind(t *testing.T) {
	w, s := newSessionBeforeLostPrimary(t)
	// The first attempt can fence only one of the two members it needs.
	w.group.RefuseFences("c", 1)
	w.eventually("a write is acknowledged by the new primary", func() bool {
		return s.ask(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK
	})
}

// Guards against an attempt to replace the primary that fails as a whole because a busy
// replica refuses the fencing order. The next attempt may begin only two seconds later.
func TestBusyMemberIsOrderedAgain(t *testing.T) {
	w, s := newSessionBeforeLostPrimary(t)
	w.group.BusyAtFences("c", 3)
	w.eventually("a write is acknowledged by the new primary", func() bool {
		return s.ask(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK
	})
	row, err := w.table.Get(context.Background(), "group/"+testService)
	w.c.Assert(err, qt.IsNil)
	claimed, err := cwclaim.Decode(row.Value)
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(claimed.Term, qt.Equals, cwgroup.Term(2), qt.Commentf("the first attempt succeeds"))
}

// Guards against slow detection of an isolated data centre when packets are lost silently.
// Callers were refused for three seconds before the load balancer learned that their instance
// was not ready, because the members of each group were tried one after the other, each after
// a statement had timed out. One unanswered statement, while nothing arrives from other data
// centres, must be enough to report it, and two probes to close idle sessions.
func TestSilenceFromOtherDataCentresIsSeenAtOnce(t *testing.T) {
	w := newTestEnv(t, cwcatalogue.ReadNewest)
	e := w.engine("x")
	w.waitForPrimary(e)
	s, resting := w.session(e), w.session(e)
	assertOK(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	assertRead(w.c, resting.ask(cwstatement.Read, "READ i"), "1")
	w.c.Assert(e.Probe(), qt.IsTrue)

	for _, id := range []string{"b", "c"} {
		w.group.SetDark(memberID(id), true, w.clock)
	}
	go s.tryAsk(cwstatement.Write, "WRITE i 2")
	w.eventually("the path is suspected", e.cfg.Path.Suspected)
	w.c.Assert(e.Probe(), qt.IsFalse)
	w.c.Assert(e.Probe(), qt.IsFalse)
	w.eventually("idle sessions are closed", func() bool {
		select {
		case <-resting.gone:
			return true
		default:
			return false
		}
	})
}
