package cwengine

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// forwardingHolders makes an instance hold nothing and forward every statement to the
// first engine in list that was not tried. It implements cwport.Holders.
type forwardingHolders struct{ list []*testHolder }

func (h *forwardingHolders) Holder(_ string, _ cwholder.Demand, tried []string) (cwport.Holder, bool) {
	for _, to := range h.list {
		if !slices.Contains(tried, to.Name()) {
			return to, true
		}
	}
	return nil, false
}

func (h *forwardingHolders) Connect(string, cwholder.Demand) {}

func (h *forwardingHolders) Holds(string, cwholder.Demand) (int, bool) { return -1, false }

// testHolder is an engine behind a connection that can lose answers.
type testHolder struct {
	name   string
	engine *Engine

	mu sync.Mutex
	// dropAnswers makes statements run and their answers get lost.
	dropAnswers bool
}

func (h *testHolder) Name() string { return h.name }

func (h *testHolder) Hand(_ context.Context, ho cwport.Handover) (cwport.Handed, error) {
	r := h.engine.Hand(h, ho)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dropAnswers {
		return cwport.Handed{}, &cwport.LostError{Holder: h.name, Cause: errUnavailable}
	}
	return r, nil
}

func (h *testHolder) startDroppingAnswers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropAnswers = true
}

// newForwardingSession returns a caller's session at an instance that forwards every
// statement to one holder, and that holder.
func newForwardingSession(t *testing.T, rule cwcatalogue.ReadRule) (*testEnv, *testCaller, *testHolder) {
	w := newTestEnv(t, rule)
	h := &testHolder{name: "holder", engine: w.engine("holder")}
	w.waitForPrimary(h.engine)
	front := w.engineWithHolders("front", &forwardingHolders{list: []*testHolder{h}})
	return w, w.session(front), h
}

func execute(id, name, rest string) cwstatement.Statement {
	return cwstatement.Statement{ID: id, Verb: cwstatement.Execute, Name: name, Rest: rest}
}

func TestForwardedStatements(t *testing.T) {
	t.Run("a session reads what it wrote", func(t *testing.T) {
		w, s, _ := newForwardingSession(t, cwcatalogue.ReadOwnWrites)
		w.group.SetDeaf("b", true)
		for _, v := range []string{"1", "2", "3"} {
			assertOK(w.c, s.ask(cwstatement.Write, "WRITE i "+v))
			assertRead(w.c, s.ask(cwstatement.Read, "READ i"), v)
		}
	})
	t.Run("a transaction", func(t *testing.T) {
		w, s, h := newForwardingSession(t, cwcatalogue.ReadNewest)
		assertOK(w.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertOK(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
		assertRead(w.c, s.ask(cwstatement.Read, "READ i"), "1")
		w.c.Assert(w.group.Value("i"), qt.Equals, "")
		assertOK(w.c, s.ask(cwstatement.Commit, "COMMIT"))
		w.c.Assert(w.group.Value("i"), qt.Equals, "1")
		w.c.Assert(h.engine.Sessions(), qt.Equals, 0)
	})
	t.Run("a transaction that is rolled back", func(t *testing.T) {
		w, s, h := newForwardingSession(t, cwcatalogue.ReadNewest)
		assertOK(w.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertOK(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
		assertOK(w.c, s.ask(cwstatement.Rollback, "ROLLBACK"))
		w.eventually("the holder has rolled back", func() bool { return h.engine.Sessions() == 0 })
		assertRead(w.c, s.ask(cwstatement.Read, "READ i"), "")
	})
	t.Run("settings and prepared statements", func(t *testing.T) {
		w, s, _ := newForwardingSession(t, cwcatalogue.ReadNewest)
		assertOK(w.c, s.send(cwstatement.Statement{Verb: cwstatement.Set, Name: "lang", Rest: "es"}))
		assertOK(w.c, s.send(cwstatement.Statement{Verb: cwstatement.Prepare, Name: "p", Rest: "q1", Writes: true}))
		assertOK(w.c, s.send(execute("e1", "p", "i 1")))
		assertOK(w.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertOK(w.c, s.send(cwstatement.Statement{Verb: cwstatement.Set, Name: "lang", Rest: "en"}))
		assertOK(w.c, s.send(execute("e2", "p", "i 2")))
		assertOK(w.c, s.ask(cwstatement.Commit, "COMMIT"))
		for _, ran := range w.group.Contexts() {
			switch ran.ID {
			case "e1":
				w.c.Check(ran.Values, qt.DeepEquals, map[string]string{"lang": "es"})
			case "e2":
				w.c.Check(ran.Values, qt.DeepEquals, map[string]string{"lang": "en"})
			}
		}
		w.c.Assert(w.group.Value("i"), qt.Equals, "2")
	})
	t.Run("an unknown prepared statement ends the transaction", func(t *testing.T) {
		w, s, h := newForwardingSession(t, cwcatalogue.ReadNewest)
		assertOK(w.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertOK(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
		a := s.send(execute("e", "none", "i"))
		w.c.Assert(a.Code, qt.Equals, cwstatement.NotPrepared)
		w.c.Assert(a.State, qt.Equals, cwstatement.Failed)
		assertNothingKept(w.c, s.ask(cwstatement.Commit, "COMMIT"))
		w.eventually("the holder has rolled back", func() bool { return h.engine.Sessions() == 0 })
		w.c.Assert(w.group.Value("i"), qt.Equals, "")
	})
}

// Guards against a write that runs twice: it ran at the holder, and the holder failed
// before it answered. The caller must be told that the outcome is unknown.
func TestLostHandoverOfAWriteIsNotRepeated(t *testing.T) {
	w, s, h := newForwardingSession(t, cwcatalogue.ReadNewest)
	h.startDroppingAnswers()
	a := s.ask(cwstatement.Write, "WRITE i 1")
	w.c.Assert(a.Code, qt.Equals, cwstatement.Unresolved)
	w.c.Assert(w.group.Runs("WRITE i 1"), qt.Equals, 1)
}

// The same in a transaction. Before the commit was sent nothing of the transaction can be
// kept, and the caller may retry it at once; after that, the outcome is unknown.
func TestLostAnswerOfForwardedTransaction(t *testing.T) {
	t.Run("before the commit", func(t *testing.T) {
		w, s, h := newForwardingSession(t, cwcatalogue.ReadNewest)
		assertOK(w.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertOK(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
		h.startDroppingAnswers()
		assertNothingKept(w.c, s.ask(cwstatement.Write, "WRITE i 2"))
		assertNothingKept(w.c, s.ask(cwstatement.Commit, "COMMIT"))
		w.eventually("the holder has rolled back", func() bool { return h.engine.Sessions() == 0 })
		w.c.Assert(w.group.Value("i"), qt.Equals, "")
	})
	t.Run("at the commit", func(t *testing.T) {
		w, s, h := newForwardingSession(t, cwcatalogue.ReadNewest)
		assertOK(w.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertOK(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
		h.startDroppingAnswers()
		w.c.Assert(s.ask(cwstatement.Commit, "COMMIT").Code, qt.Equals, cwstatement.Unresolved)
		w.c.Assert(w.group.Runs("COMMIT"), qt.Equals, 1)
	})
}

// Guards against instances that refuse their callers for as long as their holder is shut
// down, or cut off from the targets, although other holders can serve them.
func TestAnotherHolderTakesOver(t *testing.T) {
	serve := func(t *testing.T, disrupt func(w *testEnv, first *Engine)) {
		w := newTestEnv(t, cwcatalogue.ReadNewest)
		first := &testHolder{name: "first", engine: w.engine("first")}
		second := &testHolder{name: "second", engine: w.engine("second")}
		w.waitForPrimary(first.engine)
		w.waitForPrimary(second.engine)
		s := w.session(w.engineWithHolders("front", &forwardingHolders{list: []*testHolder{first, second}}))
		assertOK(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
		disrupt(w, first.engine)
		w.eventually("a write is served", func() bool { return s.ask(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK })
		assertOK(w.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertRead(w.c, s.ask(cwstatement.Read, "READ i"), "2")
		assertOK(w.c, s.ask(cwstatement.Commit, "COMMIT"))
	}
	t.Run("it ends", func(t *testing.T) {
		serve(t, func(_ *testEnv, first *Engine) { go first.Drain() })
	})
	t.Run("it is cut off", func(t *testing.T) {
		serve(t, func(w *testEnv, _ *Engine) {
			for _, id := range []string{"a", "b", "c"} {
				w.group.Cut("first", id, true)
			}
		})
	})
	t.Run("nobody else holds the group", func(t *testing.T) {
		w, s, h := newForwardingSession(t, cwcatalogue.ReadNewest)
		go h.engine.Drain()
		w.eventually("a write is served here", func() bool { return s.ask(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK })
	})
}

// Guards against a forwarded transaction that holds its connection to the target for good
// after the caller's instance has lost power, which nothing reports.
func TestIdleForwardedTransactionIsRolledBack(t *testing.T) {
	w := newTestEnv(t, cwcatalogue.ReadNewest)
	w.entry.Contract.IdleTransaction = time.Second
	h := &testHolder{name: "holder", engine: w.engine("holder")}
	w.waitForPrimary(h.engine)
	hand := cwport.Handover{
		Transaction: "front/1", Begin: cwstatement.Begin, Entry: w.entry,
		Statement: cwstatement.Statement{ID: "w", Verb: cwstatement.Write, Text: "WRITE i 1"},
	}
	r, err := h.Hand(context.Background(), hand)
	w.c.Assert(err, qt.IsNil)
	assertOK(w.c, r.Answer)
	w.eventually("the transaction is over", func() bool { return h.engine.Sessions() == 0 })
	hand.Begin, hand.Statement = cwstatement.Unknown, cwstatement.Statement{ID: "c", Verb: cwstatement.Commit, Text: "COMMIT"}
	r, err = h.Hand(context.Background(), hand)
	w.c.Assert(err, qt.IsNil)
	assertNothingKept(w.c, r.Answer)
	w.c.Assert(w.group.Value("i"), qt.Equals, "")
}

// Guards against two transactions with the same name. After the caller's instance has lost
// power and restarted, a transaction of its previous run may still be open at the holder. A
// new one of the same name replaced it there, and its connection was never released.
func TestNamesOfTransactionsDifferBetweenLives(t *testing.T) {
	a, b := New(Config{Name: "front", Seed: "1"}), New(Config{Name: "front", Seed: "2"})
	qt.Assert(t, a.nextTransactionName(), qt.Not(qt.Equals), b.nextTransactionName())
}

// Checks that a forwarded transaction is rolled back when the connection of the caller's
// instance ends.
func TestHeldTransactionEndsWithItsConnection(t *testing.T) {
	w, s, h := newForwardingSession(t, cwcatalogue.ReadNewest)
	assertOK(w.c, s.ask(cwstatement.Begin, "BEGIN"))
	assertOK(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	h.engine.Left(h)
	a := s.ask(cwstatement.Commit, "COMMIT")
	assertNothingKept(w.c, a)
	w.c.Assert(a.State, qt.Equals, cwstatement.Idle)
	w.c.Assert(w.group.Value("i"), qt.Equals, "")
}

// Guards against instances of an isolated data centre that stay ready. They forward
// statements to holders that are isolated as well, and have never contacted a member
// themselves, so they counted none as lost and refused callers for as long as the cut
// lasted.
func TestIsolationBehindHolders(t *testing.T) {
	w := newTestEnv(t, cwcatalogue.ReadNewest)
	h := &testHolder{name: "holder", engine: w.engine("holder")}
	w.waitForPrimary(h.engine)
	front := w.engineWithHolders("front", &forwardingHolders{list: []*testHolder{h}})
	s := w.session(front)
	assertOK(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	for _, instance := range []string{"holder", "front"} {
		for _, id := range []string{"a", "b", "c"} {
			w.group.Cut(instance, id, true)
		}
	}
	w.eventually("the instance reports itself not ready", func() bool {
		s.tryAsk(cwstatement.Read, "READ i")
		return !front.Ready()
	})
}

// The same when the primary is in the isolated data centre. The primary answers, so no
// instance contacted the third member, whose loss alone shows that a majority is
// unreachable.
func TestIsolationWithThePrimary(t *testing.T) {
	w := newTestEnv(t, cwcatalogue.ReadNewest)
	front := w.engine("front")
	for _, id := range []string{"b", "c"} {
		w.group.Cut("front", id, true)
	}
	s := w.session(front)
	w.eventually("the instance reports itself not ready", func() bool {
		s.tryAsk(cwstatement.Read, "READ i")
		return !front.Ready()
	})
}

// Guards against slow detection of isolation when packets are lost silently. The holder
// detects it after a second. An instance that forwards statements to it had to detect it
// by itself, on paths where nothing is refused or answered, and reported it seconds later.
func TestIsolationIsLearntFromTheHolder(t *testing.T) {
	w := newTestEnv(t, cwcatalogue.ReadNewest)
	h := &testHolder{name: "holder", engine: w.engine("holder")}
	w.waitForPrimary(h.engine)
	front := w.engineWithHolders("front", &forwardingHolders{list: []*testHolder{h}})
	s := w.session(front)
	assertOK(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	for _, id := range []string{"a", "b", "c"} {
		w.group.Cut("holder", id, true)
		w.group.SetDark(memberID(id), true, w.clock)
	}
	w.eventually("the holder knows", func() bool {
		g, _ := h.engine.Group(testService)
		w.session(h.engine).tryAsk(cwstatement.Read, "READ i")
		return g.CutOff()
	})
	began := w.clock.Now()
	w.eventually("the instance reports itself not ready", func() bool {
		w.session(front).tryAsk(cwstatement.Read, "READ i")
		return !front.Ready()
	})
	took := w.clock.Since(began)
	t.Logf("detected %v after the holder; 1.5 s if each instance has to detect it itself", took)
	w.c.Assert(took < time.Second, qt.IsTrue, qt.Commentf("%v", took))
}
