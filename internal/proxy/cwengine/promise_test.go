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

func succeeds(c *qt.C, a cwstatement.Answer) {
	c.Helper()
	c.Assert(a.Code, qt.Equals, cwstatement.OK, qt.Commentf("%s", a.Detail))
}

func reads(c *qt.C, a cwstatement.Answer, want string) {
	c.Helper()
	succeeds(c, a)
	c.Assert(a.Rows, qt.DeepEquals, []string{want})
}

// promises asserts a refusal that promises that nothing is kept.
func promises(c *qt.C, a cwstatement.Answer) {
	c.Helper()
	c.Assert(a.Code.Promises(), qt.IsTrue, qt.Commentf("%s %s", a.Code, a.Detail))
}

// A clerk reads a booking in a transaction and misses one that was acknowledged
// a minute ago. An instance and the primary are cut off from the others
// together; the others have promoted another member and gone on. The replaced
// primary still takes transactions, and only reads by themselves had been
// checked for who leads.
func TestReplacedPrimaryServesNoReads(t *testing.T) {
	for _, rule := range []cwcatalogue.ReadRule{cwcatalogue.ReadNewest, cwcatalogue.ReadAged, cwcatalogue.ReadOwnWrites} {
		t.Run(string(rule), func(t *testing.T) {
			w := newWorld(t, rule)
			cut, whole := w.engine("x"), w.engine("y")
			w.settled(cut)
			w.settled(whole)
			x, y := w.session(cut), w.session(whole)
			succeeds(w.c, y.ask(cwstatement.Write, "WRITE i 1"))
			reads(w.c, x.ask(cwstatement.Read, "READ i"), "1")

			for _, side := range []string{"b", "c"} {
				w.group.Cut("x", side, true)
				w.group.Cut("a", side, true)
			}
			w.group.Cut("y", "a", true)
			w.eventually("a write is acknowledged by the new primary", func() bool {
				return y.ask(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK
			})
			w.clock.Sleep(w.entry.Contract.MaxAge)

			// The instance may send its callers away; each step has a session of
			// its own.
			promises(w.c, w.session(cut).offer(cwstatement.Read, "READ i"))
			plain := w.session(cut)
			if plain.offer(cwstatement.Begin, "BEGIN").Code == cwstatement.OK {
				promises(w.c, plain.offer(cwstatement.Read, "READ i"))
			}
			aged := w.session(cut)
			if aged.offer(cwstatement.BeginRead, "BEGIN READ").Code == cwstatement.OK {
				promises(w.c, aged.offer(cwstatement.Read, "READ i"))
			}
		})
	}
}

// Callers of one data centre are refused for as long as it is cut off from the
// others, though they could be served elsewhere: their instance said it was
// ready, and their connections stayed with it.
func TestIsolatedInstanceSendsCallersAway(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	e := w.engine("x")
	w.settled(e)
	s := w.session(e)
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	w.c.Assert(e.Ready(), qt.IsTrue)

	w.group.Cut("x", "b", true)
	w.group.Cut("x", "c", true)
	w.eventually("the instance reports itself not ready", func() bool {
		s.offer(cwstatement.Read, "READ i")
		return !e.Ready()
	})
	w.eventually("resting callers are sent away", func() bool { return e.Sessions() == 0 })

	w.group.Cut("x", "b", false)
	w.eventually("the instance is ready again", e.Ready)
}

// One replica of three is lost. The group's majority is still in reach, and an
// instance that sent its callers away would help nobody.
func TestLostReplicaIsNotIsolation(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	e := w.engine("x")
	w.settled(e)
	s := w.session(e)
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	w.group.Cut("x", "b", true)
	w.clock.Sleep(2 * time.Second)
	s.ask(cwstatement.Read, "READ i")
	w.c.Assert(e.Ready(), qt.IsTrue)
}

// A primary is lost while some instances have not heard for a while from the
// platform's table. One of them promotes another member; until that leads, the
// others, one after the other, promote again, and the holders act by turns.
func TestChangeOfPrimaryIsGivenTime(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	w.group.SetPromotionTakes(time.Second, w.clock)
	var engines []*Engine
	for _, name := range []string{"x", "y", "z"} {
		e := w.engine(name)
		w.settled(e)
		engines = append(engines, e)
	}
	for _, other := range []string{"x", "y", "z", "b", "c"} {
		w.group.Cut("a", other, true)
	}
	w.eventually("a write is acknowledged by the new primary", func() bool {
		for _, e := range engines {
			w.session(e).offer(cwstatement.Write, "WRITE i 1")
		}
		return w.group.Value("i") == "1"
	})
	w.c.Assert(w.group.Promotions(), qt.HasLen, 1)
}

// The primary goes dark: nothing is refused, nothing answered. Writes stood
// still for the whole time limit of the first statement before the primary was
// even suspected. With a limit of 60 s they would for a minute.
func TestDarkPrimaryIsSuspectedEarly(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	w.entry.Contract.StatementTimeout = time.Minute
	e := w.engine("x")
	w.settled(e)
	s := w.session(e)
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	w.group.SetDark("a", true, w.clock)
	began := w.clock.Now()
	go s.offer(cwstatement.Write, "WRITE i 2")
	w.eventually("another member is promoted", func() bool { return len(w.group.Promotions()) > 0 })
	took := w.clock.Since(began)
	t.Logf("promoted after %v", took)
	w.c.Assert(took < 10*time.Second, qt.IsTrue, qt.Commentf("%v", took))
}

// primaryLost is a session before a group whose primary was just cut off.
func primaryLost(t *testing.T) (*world, *testCaller) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	e := w.engine("x")
	w.settled(e)
	s := w.session(e)
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	for _, other := range []string{"x", "b", "c"} {
		w.group.Cut("a", other, true)
	}
	return w, s
}

// An attempt to replace a lost primary fails. The next one numbered
// its claim one higher and fenced the replicas for that number; the new primary
// led the term before it, the third member waited on for a later one, and no
// write was acknowledged for ten seconds.
func TestFailedAttemptLeavesNoMemberBehind(t *testing.T) {
	w, s := primaryLost(t)
	// The first attempt finds one member that can be fenced, of two it needs.
	w.group.RefuseFences("c", 1)
	w.eventually("a write is acknowledged by the new primary", func() bool {
		return s.ask(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK
	})
}

// A busy replica refuses the order that fences it, and the whole attempt to
// replace the primary failed; the next may begin only two seconds later.
func TestBusyMemberIsOrderedAgain(t *testing.T) {
	w, s := primaryLost(t)
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

// A data centre is cut off by losing packets, and its callers are refused for
// three seconds before the balancer hears that their instance is not ready: each
// group's members were tried one after the other, each after a statement of its
// own had waited. One statement without an answer, while nothing else comes from
// other data centres, is enough to say so, and two probes to send callers away.
func TestSilenceFromOtherDataCentresIsSeenAtOnce(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	e := w.engine("x")
	w.settled(e)
	s, resting := w.session(e), w.session(e)
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	reads(w.c, resting.ask(cwstatement.Read, "READ i"), "1")
	w.c.Assert(e.Probe(), qt.IsTrue)

	for _, id := range []string{"b", "c"} {
		w.group.SetDark(memberID(id), true, w.clock)
	}
	go s.offer(cwstatement.Write, "WRITE i 2")
	w.eventually("the path is suspected", e.cfg.Path.Suspected)
	w.c.Assert(e.Probe(), qt.IsFalse)
	w.c.Assert(e.Probe(), qt.IsFalse)
	w.eventually("resting callers are sent away", func() bool {
		select {
		case <-resting.gone:
			return true
		default:
			return false
		}
	})
}
