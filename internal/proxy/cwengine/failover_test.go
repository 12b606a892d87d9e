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

func assertOK(c *qt.C, a cwstatement.Response) {
	c.Helper()
	c.Assert(a.Code, qt.Equals, cwstatement.OK, qt.Commentf("%s", a.Detail))
}

func assertRead(c *qt.C, a cwstatement.Response, want string) {
	c.Helper()
	assertOK(c, a)
	c.Assert(a.Rows, qt.DeepEquals, []string{want})
}

// assertNothingKept asserts a refusal with the guarantee that nothing is kept.
func assertNothingKept(c *qt.C, a cwstatement.Response) {
	c.Helper()
	c.Assert(a.Code.NoEffect(), qt.IsTrue, qt.Commentf("%s %s", a.Code, a.Detail))
}

// Guards against stale reads at a replaced primary. An instance and the primary are cut off
// from the rest together, and the other members have promoted a new primary and accepted
// writes. The replaced primary still accepts transactions. Only reads outside transactions
// used to be checked against the current primary.
func TestReplacedPrimaryServesNoReads(t *testing.T) {
	for _, rule := range []cwcatalogue.ReadConsistency{cwcatalogue.ReadLatest, cwcatalogue.ReadBoundedStaleness, cwcatalogue.ReadYourWrites} {
		t.Run(string(rule), func(t *testing.T) {
			env := newTestEnv(t, rule)
			isolated, connected := env.engine("x"), env.engine("y")
			env.waitForPrimary(isolated)
			env.waitForPrimary(connected)
			x, y := env.session(isolated), env.session(connected)
			assertOK(env.c, y.ask(cwstatement.Write, "WRITE i 1"))
			assertRead(env.c, x.ask(cwstatement.Read, "READ i"), "1")

			for _, side := range []string{"b", "c"} {
				env.group.Cut("x", side, true)
				env.group.Cut("a", side, true)
			}
			env.group.Cut("y", "a", true)
			env.eventually("a write is acknowledged by the new primary", func() bool {
				return y.ask(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK
			})
			env.clock.Sleep(env.entry.Contract.MaxAge)

			// The instance may close its idle sessions, so each step uses a session of its
			// own.
			assertNothingKept(env.c, env.session(isolated).tryAsk(cwstatement.Read, "READ i"))
			plain := env.session(isolated)
			if plain.tryAsk(cwstatement.Begin, "BEGIN").Code == cwstatement.OK {
				assertNothingKept(env.c, plain.tryAsk(cwstatement.Read, "READ i"))
			}
			aged := env.session(isolated)
			if aged.tryAsk(cwstatement.BeginRead, "BEGIN READ").Code == cwstatement.OK {
				assertNothingKept(env.c, aged.tryAsk(cwstatement.Read, "READ i"))
			}
		})
	}
}

// Guards against callers that are refused for as long as their data centre is isolated,
// although other data centres could serve them. Their instance stayed ready and kept their
// connections.
func TestIsolatedInstanceClosesIdleSessions(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	e := env.engine("x")
	env.waitForPrimary(e)
	s := env.session(e)
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
	env.c.Assert(e.Ready(), qt.IsTrue)

	env.group.Cut("x", "b", true)
	env.group.Cut("x", "c", true)
	env.eventually("the instance reports itself not ready", func() bool {
		s.tryAsk(cwstatement.Read, "READ i")
		return !e.Ready()
	})
	env.eventually("idle sessions are closed", func() bool { return e.SessionCount() == 0 })

	env.group.Cut("x", "b", false)
	env.eventually("the instance is ready again", e.Ready)
}

// Guards against an instance that reports itself isolated when one replica of three is lost.
// The majority is still reachable, and sending callers away would help none of them.
func TestLostReplicaIsNotIsolation(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	e := env.engine("x")
	env.waitForPrimary(e)
	s := env.session(e)
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
	env.group.Cut("x", "b", true)
	env.clock.Sleep(2 * time.Second)
	s.ask(cwstatement.Read, "READ i")
	env.c.Assert(e.Ready(), qt.IsTrue)
}

// Guards against repeated changes of primary. Some instances have not received changes of
// the platform's table for a while when the primary is lost. One of them promotes another
// member; until that member leads, the others promoted again, one after the other, and the
// holders acted in turns.
func TestPrimaryIsReplacedOnce(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	env.group.SetPromotionDelay(time.Second, env.clock)
	var engines []*Engine
	for _, name := range []string{"x", "y", "z"} {
		e := env.engine(name)
		env.waitForPrimary(e)
		engines = append(engines, e)
	}
	for _, other := range []string{"x", "y", "z", "b", "c"} {
		env.group.Cut("a", other, true)
	}
	env.eventually("a write is acknowledged by the new primary", func() bool {
		for _, e := range engines {
			env.session(e).tryAsk(cwstatement.Write, "WRITE i 1")
		}
		return env.group.Value("i") == "1"
	})
	env.c.Assert(env.group.Promotions(), qt.HasLen, 1)
}

// Guards against late suspicion of a primary that neither refuses nor answers. Writes stalled
// for the whole time limit of the first statement before the primary was even suspected;
// with a limit of 60 s, for a minute.
func TestUnresponsivePrimaryIsSuspectedEarly(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	env.entry.Contract.StatementTimeout = time.Minute
	e := env.engine("x")
	env.waitForPrimary(e)
	s := env.session(e)
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
	env.group.SetUnresponsive("a", true, env.clock)
	began := env.clock.Now()
	go s.tryAsk(cwstatement.Write, "WRITE i 2")
	env.eventually("another member is promoted", func() bool { return len(env.group.Promotions()) > 0 })
	took := env.clock.Since(began)
	t.Logf("promoted after %v", took)
	env.c.Assert(took < 10*time.Second, qt.IsTrue, qt.Commentf("%v", took))
}

// newSessionBeforeLostPrimary returns a session on a group whose primary has just been cut
// off.
func newSessionBeforeLostPrimary(t *testing.T) (*testEnv, *testCaller) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	e := env.engine("x")
	env.waitForPrimary(e)
	s := env.session(e)
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
	for _, other := range []string{"x", "b", "c"} {
		env.group.Cut("a", other, true)
	}
	return env, s
}

// Guards against a failed attempt to replace a lost primary that leaves a member behind. The
// next attempt numbered its claim one higher and fenced the replicas for that number. The new
// primary led the term before it, so the third member kept waiting for a later term, and no
// write was acknowledged for ten seconds.
func TestFailedPromotionLeavesNoMemberBehind(t *testing.T) {
	env, s := newSessionBeforeLostPrimary(t)
	// The first attempt can fence only one of the two members it needs.
	env.group.LoseFences("c", 1)
	env.eventually("a write is acknowledged by the new primary", func() bool {
		return s.ask(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK
	})
}

// Guards against an attempt to replace the primary that fails as a whole because a busy
// replica refuses the fencing command. The next attempt may begin only two seconds later.
func TestBusyMemberIsFencedAgain(t *testing.T) {
	env, s := newSessionBeforeLostPrimary(t)
	env.group.RefuseFencesAsBusy("c", 3)
	env.eventually("a write is acknowledged by the new primary", func() bool {
		return s.ask(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK
	})
	row, err := env.table.Get(context.Background(), "group/"+testService)
	env.c.Assert(err, qt.IsNil)
	claimed, err := cwclaim.Decode(row.Value)
	env.c.Assert(err, qt.IsNil)
	env.c.Assert(claimed.Term, qt.Equals, cwgroup.Term(2), qt.Commentf("the first attempt succeeds"))
}

// Guards against slow detection of an isolated data centre when packets are lost silently.
// Callers were refused for three seconds before the load balancer learned that their instance
// was not ready, because the members of each group were tried one after the other, each after
// a statement had timed out. One unanswered statement, while nothing arrives from other data
// centres, must be enough to report it, and two probes to close idle sessions.
func TestSilentDataCentresAreDetectedEarly(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	e := env.engine("x")
	env.waitForPrimary(e)
	s, idle := env.session(e), env.session(e)
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
	assertRead(env.c, idle.ask(cwstatement.Read, "READ i"), "1")
	env.c.Assert(e.AnswerProbe(), qt.IsTrue)

	for _, id := range []string{"b", "c"} {
		env.group.SetUnresponsive(memberID(id), true, env.clock)
	}
	go s.tryAsk(cwstatement.Write, "WRITE i 2")
	env.eventually("the path is suspected", e.cfg.RemotePath.Suspected)
	env.c.Assert(e.AnswerProbe(), qt.IsFalse)
	env.c.Assert(e.AnswerProbe(), qt.IsFalse)
	env.eventually("idle sessions are closed", func() bool {
		select {
		case <-idle.gone:
			return true
		default:
			return false
		}
	})
}
