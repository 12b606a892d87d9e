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

// holders hands everything to some engines, in order. It implements
// cwport.Holders for an instance that holds nothing.
type holders struct{ list []*holder }

func (h *holders) Holder(_ string, _ cwholder.Demand, tried []string) (cwport.Holder, bool) {
	for _, to := range h.list {
		if !slices.Contains(tried, to.Name()) {
			return to, true
		}
	}
	return nil, false
}

func (h *holders) Connect(string, cwholder.Demand) {}

func (h *holders) Holds(string, cwholder.Demand) (int, bool) { return -1, false }

// holder is an engine behind a path that can lose answers.
type holder struct {
	name   string
	engine *Engine

	mu sync.Mutex
	// lose makes statements run and their answers be lost.
	lose bool
}

func (h *holder) Name() string { return h.name }

func (h *holder) Hand(_ context.Context, ho cwport.Handover) (cwport.Handed, error) {
	r := h.engine.Hand(h, ho)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lose {
		return cwport.Handed{}, &cwport.LostError{Holder: h.name, Cause: errAway}
	}
	return r, nil
}

func (h *holder) loseAnswers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lose = true
}

// handed is a caller's session at an instance that hands everything to one
// holder, and the holder.
func handed(t *testing.T, rule cwcatalogue.ReadRule) (*world, *testCaller, *holder) {
	w := newWorld(t, rule)
	h := &holder{name: "holder", engine: w.engine("holder")}
	w.settled(h.engine)
	front := w.engineWith("front", &holders{list: []*holder{h}})
	return w, w.session(front), h
}

func execute(id, name, rest string) cwstatement.Statement {
	return cwstatement.Statement{ID: id, Verb: cwstatement.Execute, Name: name, Rest: rest}
}

func TestHandover(t *testing.T) {
	t.Run("a session reads what it wrote", func(t *testing.T) {
		w, s, _ := handed(t, cwcatalogue.ReadOwnWrites)
		w.group.SetDeaf("b", true)
		for _, v := range []string{"1", "2", "3"} {
			succeeds(w.c, s.ask(cwstatement.Write, "WRITE i "+v))
			reads(w.c, s.ask(cwstatement.Read, "READ i"), v)
		}
	})
	t.Run("a transaction", func(t *testing.T) {
		w, s, h := handed(t, cwcatalogue.ReadNewest)
		succeeds(w.c, s.ask(cwstatement.Begin, "BEGIN"))
		succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
		reads(w.c, s.ask(cwstatement.Read, "READ i"), "1")
		w.c.Assert(w.group.Value("i"), qt.Equals, "")
		succeeds(w.c, s.ask(cwstatement.Commit, "COMMIT"))
		w.c.Assert(w.group.Value("i"), qt.Equals, "1")
		w.c.Assert(h.engine.Sessions(), qt.Equals, 0)
	})
	t.Run("a transaction that is rolled back", func(t *testing.T) {
		w, s, h := handed(t, cwcatalogue.ReadNewest)
		succeeds(w.c, s.ask(cwstatement.Begin, "BEGIN"))
		succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
		succeeds(w.c, s.ask(cwstatement.Rollback, "ROLLBACK"))
		w.eventually("the holder has rolled back", func() bool { return h.engine.Sessions() == 0 })
		reads(w.c, s.ask(cwstatement.Read, "READ i"), "")
	})
	t.Run("settings and prepared statements", func(t *testing.T) {
		w, s, _ := handed(t, cwcatalogue.ReadNewest)
		succeeds(w.c, s.send(cwstatement.Statement{Verb: cwstatement.Set, Name: "lang", Rest: "es"}))
		succeeds(w.c, s.send(cwstatement.Statement{Verb: cwstatement.Prepare, Name: "p", Rest: "q1", Writes: true}))
		succeeds(w.c, s.send(execute("e1", "p", "i 1")))
		succeeds(w.c, s.ask(cwstatement.Begin, "BEGIN"))
		succeeds(w.c, s.send(cwstatement.Statement{Verb: cwstatement.Set, Name: "lang", Rest: "en"}))
		succeeds(w.c, s.send(execute("e2", "p", "i 2")))
		succeeds(w.c, s.ask(cwstatement.Commit, "COMMIT"))
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
		w, s, h := handed(t, cwcatalogue.ReadNewest)
		succeeds(w.c, s.ask(cwstatement.Begin, "BEGIN"))
		succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
		a := s.send(execute("e", "none", "i"))
		w.c.Assert(a.Code, qt.Equals, cwstatement.NotPrepared)
		w.c.Assert(a.State, qt.Equals, cwstatement.Failed)
		promises(w.c, s.ask(cwstatement.Commit, "COMMIT"))
		w.eventually("the holder has rolled back", func() bool { return h.engine.Sessions() == 0 })
		w.c.Assert(w.group.Value("i"), qt.Equals, "")
	})
}

// A booking runs at the holder, and the holder dies before it has answered.
// Whoever sent it again would book twice; the caller is told that nobody knows.
func TestLostHandoverOfAWriteIsNotRepeated(t *testing.T) {
	w, s, h := handed(t, cwcatalogue.ReadNewest)
	h.loseAnswers()
	a := s.ask(cwstatement.Write, "WRITE i 1")
	w.c.Assert(a.Code, qt.Equals, cwstatement.Unresolved)
	w.c.Assert(w.group.Runs("WRITE i 1"), qt.Equals, 1)
}

// The same with a transaction: before its commit was sent nothing of it can be
// kept, and the caller may run it again at once; after that, nobody knows.
func TestLostHandoverInATransaction(t *testing.T) {
	t.Run("before the commit", func(t *testing.T) {
		w, s, h := handed(t, cwcatalogue.ReadNewest)
		succeeds(w.c, s.ask(cwstatement.Begin, "BEGIN"))
		succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
		h.loseAnswers()
		promises(w.c, s.ask(cwstatement.Write, "WRITE i 2"))
		promises(w.c, s.ask(cwstatement.Commit, "COMMIT"))
		w.eventually("the holder has rolled back", func() bool { return h.engine.Sessions() == 0 })
		w.c.Assert(w.group.Value("i"), qt.Equals, "")
	})
	t.Run("at the commit", func(t *testing.T) {
		w, s, h := handed(t, cwcatalogue.ReadNewest)
		succeeds(w.c, s.ask(cwstatement.Begin, "BEGIN"))
		succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
		h.loseAnswers()
		w.c.Assert(s.ask(cwstatement.Commit, "COMMIT").Code, qt.Equals, cwstatement.Unresolved)
		w.c.Assert(w.group.Runs("COMMIT"), qt.Equals, 1)
	})
}

// The holder ends, or is cut off from the targets, while others are not.
// Callers of the instances that hand statements to it were refused for as long.
func TestAnotherHolderTakesOver(t *testing.T) {
	serve := func(t *testing.T, spoil func(w *world, first *Engine)) {
		w := newWorld(t, cwcatalogue.ReadNewest)
		first := &holder{name: "first", engine: w.engine("first")}
		second := &holder{name: "second", engine: w.engine("second")}
		w.settled(first.engine)
		w.settled(second.engine)
		s := w.session(w.engineWith("front", &holders{list: []*holder{first, second}}))
		succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
		spoil(w, first.engine)
		w.eventually("a write is served", func() bool { return s.ask(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK })
		succeeds(w.c, s.ask(cwstatement.Begin, "BEGIN"))
		reads(w.c, s.ask(cwstatement.Read, "READ i"), "2")
		succeeds(w.c, s.ask(cwstatement.Commit, "COMMIT"))
	}
	t.Run("it ends", func(t *testing.T) {
		serve(t, func(_ *world, first *Engine) { go first.Drain() })
	})
	t.Run("it is cut off", func(t *testing.T) {
		serve(t, func(w *world, _ *Engine) {
			for _, id := range []string{"a", "b", "c"} {
				w.group.Cut("first", id, true)
			}
		})
	})
	t.Run("nobody else holds the group", func(t *testing.T) {
		w, s, h := handed(t, cwcatalogue.ReadNewest)
		go h.engine.Drain()
		w.eventually("a write is served here", func() bool { return s.ask(cwstatement.Write, "WRITE i 2").Code == cwstatement.OK })
	})
}

// The caller's instance loses power in the middle of a transaction. Nothing
// shows it, and the transaction held its connection at the target for good.
func TestHeldTransactionDoesNotRestForGood(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	w.entry.Contract.IdleTransaction = time.Second
	h := &holder{name: "holder", engine: w.engine("holder")}
	w.settled(h.engine)
	hand := cwport.Handover{
		Transaction: "front/1", Begin: cwstatement.Begin, Entry: w.entry,
		Statement: cwstatement.Statement{ID: "w", Verb: cwstatement.Write, Text: "WRITE i 1"},
	}
	r, err := h.Hand(context.Background(), hand)
	w.c.Assert(err, qt.IsNil)
	succeeds(w.c, r.Answer)
	w.eventually("the transaction is over", func() bool { return h.engine.Sessions() == 0 })
	hand.Begin, hand.Statement = cwstatement.Unknown, cwstatement.Statement{ID: "c", Verb: cwstatement.Commit, Text: "COMMIT"}
	r, err = h.Hand(context.Background(), hand)
	w.c.Assert(err, qt.IsNil)
	promises(w.c, r.Answer)
	w.c.Assert(w.group.Value("i"), qt.Equals, "")
}

// The caller's instance loses power and starts again while a transaction of its
// former life rests at the holder. A transaction of the new life that had the
// same name took its place, and its connection was never given back.
func TestNamesOfTransactionsDifferBetweenLives(t *testing.T) {
	a, b := New(Config{Name: "front", Seed: "1"}), New(Config{Name: "front", Seed: "2"})
	qt.Assert(t, a.nextName(), qt.Not(qt.Equals), b.nextName())
}

// The same where the connection of the caller's instance ends.
func TestHeldTransactionEndsWithItsConnection(t *testing.T) {
	w, s, h := handed(t, cwcatalogue.ReadNewest)
	succeeds(w.c, s.ask(cwstatement.Begin, "BEGIN"))
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	h.engine.Left(h)
	a := s.ask(cwstatement.Commit, "COMMIT")
	promises(w.c, a)
	w.c.Assert(a.State, qt.Equals, cwstatement.Idle)
	w.c.Assert(w.group.Value("i"), qt.Equals, "")
}

// A data centre is cut off. Its instances hand statements to holders there, who
// are cut off, too, and had never heard of any member themselves, so that none
// counted as lost: they said they were ready, and callers were refused for as
// long as the cut lasted.
func TestIsolationBehindHolders(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	h := &holder{name: "holder", engine: w.engine("holder")}
	w.settled(h.engine)
	front := w.engineWith("front", &holders{list: []*holder{h}})
	s := w.session(front)
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	for _, instance := range []string{"holder", "front"} {
		for _, id := range []string{"a", "b", "c"} {
			w.group.Cut(instance, id, true)
		}
	}
	w.eventually("the instance reports itself not ready", func() bool {
		s.offer(cwstatement.Read, "READ i")
		return !front.Ready()
	})
}

// The same where the primary is in the data centre that is cut off. It answers,
// so nobody asked the third member, which alone was missing for the majority
// that cannot be reached.
func TestIsolationWithThePrimary(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	front := w.engine("front")
	for _, id := range []string{"b", "c"} {
		w.group.Cut("front", id, true)
	}
	s := w.session(front)
	w.eventually("the instance reports itself not ready", func() bool {
		s.offer(cwstatement.Read, "READ i")
		return !front.Ready()
	})
}

// A data centre is cut off by losing packets. Its holder knows it after a
// second. An instance that hands statements to it had to find out for itself, on
// paths where nothing is refused and nothing answered, and said so seconds later
// than the holder.
func TestIsolationIsLearntFromTheHolder(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	h := &holder{name: "holder", engine: w.engine("holder")}
	w.settled(h.engine)
	front := w.engineWith("front", &holders{list: []*holder{h}})
	s := w.session(front)
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	for _, id := range []string{"a", "b", "c"} {
		w.group.Cut("holder", id, true)
		w.group.SetDark(memberID(id), true, w.clock)
	}
	w.eventually("the holder knows", func() bool {
		g, _ := h.engine.Group(testService)
		w.session(h.engine).offer(cwstatement.Read, "READ i")
		return g.CutOff()
	})
	began := w.clock.Now()
	w.eventually("the instance reports itself not ready", func() bool {
		w.session(front).offer(cwstatement.Read, "READ i")
		return !front.Ready()
	})
	took := w.clock.Since(began)
	t.Logf("%v after the holder; 1.5 s where each has to find out", took)
	w.c.Assert(took < time.Second, qt.IsTrue, qt.Commentf("%v", took))
}
