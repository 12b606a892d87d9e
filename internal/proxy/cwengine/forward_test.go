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

func (h *forwardingHolders) Holder(_ string, _ cwholder.TargetCapacity, tried []string) (cwport.Holder, bool) {
	for _, to := range h.list {
		if !slices.Contains(tried, to.Name()) {
			return to, true
		}
	}
	return nil, false
}

func (h *forwardingHolders) Connect(string, cwholder.TargetCapacity) {}

func (h *forwardingHolders) HolderRank(string, cwholder.TargetCapacity) (int, bool) { return -1, false }

// testHolder is an engine behind a connection that can lose answers.
type testHolder struct {
	name   string
	engine *Engine

	mu sync.Mutex
	// dropAnswers makes statements run and their answers get lost.
	dropAnswers bool
}

func (h *testHolder) Name() string { return h.name }

func (h *testHolder) Forward(_ context.Context, req cwport.ForwardRequest) (cwport.ForwardResponse, error) {
	r := h.serve(req)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dropAnswers {
		return cwport.ForwardResponse{}, &cwport.NoResponseError{Instance: h.name, Cause: errUnavailable}
	}
	return r, nil
}

// serve runs a statement on the engine as if it had arrived on this connection.
func (h *testHolder) serve(req cwport.ForwardRequest) cwport.ForwardResponse {
	answer := make(chan cwport.ForwardResponse, 1)
	h.engine.ServeForwarded(h, req, func(r cwport.ForwardResponse) { answer <- r })
	return <-answer
}

func (h *testHolder) startDroppingAnswers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropAnswers = true
}

// newForwardingSession returns a caller's session at an instance that forwards every
// statement to one holder, and that holder.
func newForwardingSession(t *testing.T, rule cwcatalogue.ReadConsistency) (*testEnv, *testCaller, *testHolder) {
	env := newTestEnv(t, rule)
	h := &testHolder{name: "holder", engine: env.engine("holder")}
	env.waitForPrimary(h.engine)
	front := env.engineWithHolders("front", &forwardingHolders{list: []*testHolder{h}})
	return env, env.session(front), h
}

func execute(id, name, rest string) cwstatement.Statement {
	return cwstatement.Statement{ID: id, Verb: cwstatement.Execute, Name: name, Args: rest}
}

func TestForwardedStatements(t *testing.T) {
	t.Run("a session reads what it wrote", func(t *testing.T) {
		env, s, _ := newForwardingSession(t, cwcatalogue.ReadYourWrites)
		env.group.SetReceiveStopped("b", true)
		for _, v := range []string{"1", "2", "3"} {
			assertOK(env.c, s.ask(cwstatement.Write, "WRITE i "+v))
			assertRead(env.c, s.ask(cwstatement.Read, "READ i"), v)
		}
	})
	t.Run("a transaction", func(t *testing.T) {
		env, s, h := newForwardingSession(t, cwcatalogue.ReadLatest)
		assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
		assertRead(env.c, s.ask(cwstatement.Read, "READ i"), "1")
		env.c.Assert(env.group.Value("i"), qt.Equals, "")
		assertOK(env.c, s.ask(cwstatement.Commit, "COMMIT"))
		env.c.Assert(env.group.Value("i"), qt.Equals, "1")
		env.c.Assert(h.engine.SessionCount(), qt.Equals, 0)
	})
	t.Run("a transaction that is rolled back", func(t *testing.T) {
		env, s, h := newForwardingSession(t, cwcatalogue.ReadLatest)
		assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
		assertOK(env.c, s.ask(cwstatement.Rollback, "ROLLBACK"))
		env.eventually("the holder has rolled back", func() bool { return h.engine.SessionCount() == 0 })
		assertRead(env.c, s.ask(cwstatement.Read, "READ i"), "")
	})
	t.Run("settings and prepared statements", func(t *testing.T) {
		env, s, _ := newForwardingSession(t, cwcatalogue.ReadLatest)
		assertOK(env.c, s.send(cwstatement.Statement{Verb: cwstatement.Set, Name: "lang", Args: "es"}))
		assertOK(env.c, s.send(cwstatement.Statement{Verb: cwstatement.Prepare, Name: "p", Args: "q1", Writes: true}))
		assertOK(env.c, s.send(execute("e1", "p", "i 1")))
		assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertOK(env.c, s.send(cwstatement.Statement{Verb: cwstatement.Set, Name: "lang", Args: "en"}))
		assertOK(env.c, s.send(execute("e2", "p", "i 2")))
		assertOK(env.c, s.ask(cwstatement.Commit, "COMMIT"))
		for _, ran := range env.group.CallerCommands() {
			switch ran.ID {
			case "e1":
				env.c.Check(ran.Settings, qt.DeepEquals, map[string]string{"lang": "es"})
			case "e2":
				env.c.Check(ran.Settings, qt.DeepEquals, map[string]string{"lang": "en"})
			}
		}
		env.c.Assert(env.group.Value("i"), qt.Equals, "2")
	})
	t.Run("an unknown prepared statement ends the transaction", func(t *testing.T) {
		env, s, h := newForwardingSession(t, cwcatalogue.ReadLatest)
		assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
		a := s.send(execute("e", "none", "i"))
		env.c.Assert(a.Code, qt.Equals, cwstatement.NotPrepared)
		env.c.Assert(a.State, qt.Equals, cwstatement.InFailedTransaction)
		assertNothingKept(env.c, s.ask(cwstatement.Commit, "COMMIT"))
		env.eventually("the holder has rolled back", func() bool { return h.engine.SessionCount() == 0 })
		env.c.Assert(env.group.Value("i"), qt.Equals, "")
	})
}

// Guards against a write that runs twice: it ran at the holder, and the holder failed
// before it answered. The caller must be told that the outcome is unknown.
func TestForwardedWriteIsNotRetried(t *testing.T) {
	env, s, h := newForwardingSession(t, cwcatalogue.ReadLatest)
	h.startDroppingAnswers()
	a := s.ask(cwstatement.Write, "WRITE i 1")
	env.c.Assert(a.Code, qt.Equals, cwstatement.Unresolved)
	env.c.Assert(env.group.CommandCount("WRITE i 1"), qt.Equals, 1)
}

// The same in a transaction. Before the commit was sent nothing of the transaction can be
// kept, and the caller may retry it at once; after that, the outcome is unknown.
func TestLostAnswerOfForwardedTransaction(t *testing.T) {
	t.Run("before the commit", func(t *testing.T) {
		env, s, h := newForwardingSession(t, cwcatalogue.ReadLatest)
		assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
		h.startDroppingAnswers()
		assertNothingKept(env.c, s.ask(cwstatement.Write, "WRITE i 2"))
		assertNothingKept(env.c, s.ask(cwstatement.Commit, "COMMIT"))
		env.eventually("the holder has rolled back", func() bool { return h.engine.SessionCount() == 0 })
		env.c.Assert(env.group.Value("i"), qt.Equals, "")
	})
	t.Run("at the commit", func(t *testing.T) {
		env, s, h := newForwardingSession(t, cwcatalogue.ReadLatest)
		assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
		h.startDroppingAnswers()
		env.c.Assert(s.ask(cwstatement.Commit, "COMMIT").Code, qt.Equals, cwstatement.Unresolved)
		env.c.Assert(env.group.CommandCount("COMMIT"), qt.Equals, 1)
	})
}

// Guards against instances that refuse their callers for as long as their holder is shut
// down, or cut off from the targets, although other holders can serve them.
func TestAnotherHolderTakesOver(t *testing.T) {
	serve := func(t *testing.T, disrupt func(env *testEnv, first *Engine)) {
		env := newTestEnv(t, cwcatalogue.ReadLatest)
		first := &testHolder{name: "first", engine: env.engine("first")}
		second := &testHolder{name: "second", engine: env.engine("second")}
		env.waitForPrimary(first.engine)
		env.waitForPrimary(second.engine)
		s := env.session(env.engineWithHolders("front", &forwardingHolders{list: []*testHolder{first, second}}))
		assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
		disrupt(env, first.engine)
		env.eventually("a write is served", func() bool { return s.ask(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK })
		assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
		assertRead(env.c, s.ask(cwstatement.Read, "READ i"), "2")
		assertOK(env.c, s.ask(cwstatement.Commit, "COMMIT"))
	}
	t.Run("it ends", func(t *testing.T) {
		serve(t, func(_ *testEnv, first *Engine) { go first.Drain() })
	})
	t.Run("it is cut off", func(t *testing.T) {
		serve(t, func(env *testEnv, _ *Engine) {
			for _, id := range []string{"a", "b", "c"} {
				env.group.Cut("first", id, true)
			}
		})
	})
	t.Run("nobody else holds the group", func(t *testing.T) {
		env, s, h := newForwardingSession(t, cwcatalogue.ReadLatest)
		go h.engine.Drain()
		env.eventually("a write is served here", func() bool { return s.ask(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK })
	})
}

// Guards against a forwarded transaction that holds its connection to the target for good
// after the caller's instance has lost power, which nothing reports.
func TestIdleForwardedTransactionIsRolledBack(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	env.entry.Contract.IdleTransaction = time.Second
	h := &testHolder{name: "holder", engine: env.engine("holder")}
	env.waitForPrimary(h.engine)
	req := cwport.ForwardRequest{
		Transaction: "front/1", Begin: cwstatement.Begin, Entry: env.entry,
		Statement: cwstatement.Statement{ID: "w", Verb: cwstatement.Write, Text: "WRITE i 1"},
	}
	r, err := h.Forward(context.Background(), req)
	env.c.Assert(err, qt.IsNil)
	assertOK(env.c, r.Answer)
	env.eventually("the transaction is over", func() bool { return h.engine.SessionCount() == 0 })
	req.Begin, req.Statement = cwstatement.UnknownVerb, cwstatement.Statement{ID: "c", Verb: cwstatement.Commit, Text: "COMMIT"}
	r, err = h.Forward(context.Background(), req)
	env.c.Assert(err, qt.IsNil)
	assertNothingKept(env.c, r.Answer)
	env.c.Assert(env.group.Value("i"), qt.Equals, "")
}

// Guards against two transactions with the same name. After the caller's instance has lost
// power and restarted, a transaction of its previous run may still be open at the holder. A
// new one of the same name replaced it there, and its connection was never released.
func TestTransactionNamesDifferBetweenRuns(t *testing.T) {
	a, b := New(Config{Name: "front", RunID: "1"}), New(Config{Name: "front", RunID: "2"})
	qt.Assert(t, a.nextTransactionName(), qt.Not(qt.Equals), b.nextTransactionName())
}

// Checks that a forwarded transaction is rolled back when the connection of the caller's
// instance ends.
func TestForwardedTransactionEndsWithItsConnection(t *testing.T) {
	env, s, h := newForwardingSession(t, cwcatalogue.ReadLatest)
	assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
	h.engine.ConnectionClosed(h)
	a := s.ask(cwstatement.Commit, "COMMIT")
	assertNothingKept(env.c, a)
	env.c.Assert(a.State, qt.Equals, cwstatement.Idle)
	env.c.Assert(env.group.Value("i"), qt.Equals, "")
}

// Guards against instances of an isolated data centre that stay ready. They forward
// statements to holders that are isolated as well, and have never contacted a member
// themselves, so they counted none as lost and refused callers for as long as the cut
// lasted.
func TestIsolationBehindHolders(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	h := &testHolder{name: "holder", engine: env.engine("holder")}
	env.waitForPrimary(h.engine)
	front := env.engineWithHolders("front", &forwardingHolders{list: []*testHolder{h}})
	s := env.session(front)
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
	for _, instance := range []string{"holder", "front"} {
		for _, id := range []string{"a", "b", "c"} {
			env.group.Cut(instance, id, true)
		}
	}
	env.eventually("the instance reports itself not ready", func() bool {
		s.tryAsk(cwstatement.Read, "READ i")
		return !front.Ready()
	})
}

// The same when the primary is in the isolated data centre. The primary answers, so no
// instance contacted the third member, whose loss alone shows that a majority is
// unreachable.
func TestIsolationWithThePrimary(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	front := env.engine("front")
	for _, id := range []string{"b", "c"} {
		env.group.Cut("front", id, true)
	}
	s := env.session(front)
	env.eventually("the instance reports itself not ready", func() bool {
		s.tryAsk(cwstatement.Read, "READ i")
		return !front.Ready()
	})
}

// Guards against slow detection of isolation when packets are lost silently. The holder
// detects it after a second. An instance that forwards statements to it had to detect it
// by itself, on paths where nothing is refused or answered, and reported it seconds later.
func TestIsolationIsLearnedFromTheHolder(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	h := &testHolder{name: "holder", engine: env.engine("holder")}
	env.waitForPrimary(h.engine)
	front := env.engineWithHolders("front", &forwardingHolders{list: []*testHolder{h}})
	s := env.session(front)
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
	for _, id := range []string{"a", "b", "c"} {
		env.group.Cut("holder", id, true)
		env.group.SetUnresponsive(memberID(id), true, env.clock)
	}
	env.eventually("the holder knows", func() bool {
		g, _ := h.engine.Group(testService)
		env.session(h.engine).tryAsk(cwstatement.Read, "READ i")
		return g.MajorityUnreachable()
	})
	began := env.clock.Now()
	env.eventually("the instance reports itself not ready", func() bool {
		env.session(front).tryAsk(cwstatement.Read, "READ i")
		return !front.Ready()
	})
	took := env.clock.Since(began)
	t.Logf("detected %v after the holder; 1.5 s if each instance has to detect it itself", took)
	env.c.Assert(took < time.Second, qt.IsTrue, qt.Commentf("%v", took))
}
