package cwengine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// newSession returns a session at an engine that knows its primary.
func newSession(t *testing.T) (*world, *testCaller) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	e := w.engine("x")
	w.settled(e)
	return w, w.session(e)
}

// A round is recorded once, but the database's answer is lost. Sent again it
// would be paid twice; called "not run" the clerk would send it again himself.
func TestLostAnswerOfAWriteIsUnresolved(t *testing.T) {
	w, s := newSession(t)
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	w.group.LoseAnswers("a", true)
	a := s.ask(cwstatement.Write, "WRITE i 2")
	w.c.Assert(a.Code, qt.Equals, cwstatement.Unresolved)
	w.c.Assert(w.group.Runs("WRITE i 2"), qt.Equals, 1)
}

// The same with the commit of a transaction.
func TestLostAnswerOfACommitIsUnresolved(t *testing.T) {
	w, s := newSession(t)
	succeeds(w.c, s.ask(cwstatement.Begin, "BEGIN"))
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 2"))
	w.group.LoseAnswers("a", true)
	a := s.ask(cwstatement.Commit, "COMMIT")
	w.c.Assert(a.Code, qt.Equals, cwstatement.Unresolved)
	w.c.Assert(a.State, qt.Equals, cwstatement.Idle)
	w.c.Assert(w.group.Runs("COMMIT"), qt.Equals, 1)
}

// A statement inside a transaction gets no answer. Nothing was committed, and
// the connection is closed, so the caller may be told that nothing is kept.
func TestLostAnswerInsideATransactionIsAborted(t *testing.T) {
	w, s := newSession(t)
	succeeds(w.c, s.ask(cwstatement.Begin, "BEGIN"))
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 2"))
	w.group.LoseAnswers("a", true)
	a := s.ask(cwstatement.Write, "WRITE i 3")
	w.c.Assert(a.Code, qt.Equals, cwstatement.Aborted)
	w.c.Assert(a.State, qt.Equals, cwstatement.Failed)
	w.c.Assert(s.ask(cwstatement.Read, "READ i").Code, qt.Equals, cwstatement.Malformed)
	w.c.Assert(s.ask(cwstatement.Commit, "COMMIT").Code, qt.Equals, cwstatement.Aborted)
	w.group.LoseAnswers("a", false)
	w.c.Assert(w.group.Value("i"), qt.Equals, "")
}

// The primary is lost with a record that no other member has. Had it been
// acknowledged at the primary alone, the clerk could not prove his round.
func TestCommitOfOneMemberIsNotAcknowledged(t *testing.T) {
	w, s := newSession(t)
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 1"))
	w.group.SetDeaf("b", true)
	w.group.SetDeaf("c", true)
	a := s.ask(cwstatement.Write, "WRITE i 2")
	w.c.Assert(a.Code, qt.Equals, cwstatement.Unresolved)
	w.group.SetDeaf("c", false)
	succeeds(w.c, s.offer(cwstatement.Write, "WRITE i 3"))
}

// Two callers use the same name for different statements, and different
// settings, on connections that they share. Neither may meet the other's.
func TestSessionsOnSharedConnections(t *testing.T) {
	w := newWorld(t, cwcatalogue.ReadNewest)
	w.group.LimitConnections("a", 2)
	e := w.engine("x")
	w.settled(e)
	one, two := w.session(e), w.session(e)
	succeeds(w.c, one.send(cwstatement.Statement{ID: "1", Verb: cwstatement.Prepare, Name: "s", Rest: "q", Writes: true}))
	succeeds(w.c, two.send(cwstatement.Statement{ID: "2", Verb: cwstatement.Prepare, Name: "s", Rest: "q"}))
	succeeds(w.c, one.send(cwstatement.Statement{ID: "3", Verb: cwstatement.Set, Name: "n", Rest: "1"}))
	for range 5 {
		succeeds(w.c, one.send(cwstatement.Statement{ID: "4", Verb: cwstatement.Execute, Name: "s", Rest: "i 1"}))
		reads(w.c, two.send(cwstatement.Statement{ID: "5", Verb: cwstatement.Execute, Name: "s", Rest: "i"}), "1")
	}
	for _, ran := range w.group.Contexts() {
		switch ran.ID {
		case "4":
			w.c.Assert(ran.Values, qt.DeepEquals, map[string]string{"n": "1"})
		case "5":
			w.c.Assert(ran.Values, qt.HasLen, 0)
		}
	}
	w.c.Assert(two.send(cwstatement.Statement{ID: "6", Verb: cwstatement.Execute, Name: "other", Rest: "i"}).Code, qt.Equals, cwstatement.NotPrepared)
}

// A caller rests inside a transaction and holds one of the few connections. It
// is ended quietly, since a message that answers nothing would end the session,
// and the caller learns it with its next statement.
func TestRestingTransactionIsEnded(t *testing.T) {
	w, s := newSession(t)
	succeeds(w.c, s.ask(cwstatement.Begin, "BEGIN"))
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 2"))
	w.clock.Sleep(100 * time.Millisecond)
	// The caller's codec reports that the time to rest has passed.
	w.c.Assert(s.SetReadTimeout(time.Nanosecond), qt.IsNil)
	w.clock.Sleep(200 * time.Millisecond)
	a := s.ask(cwstatement.Write, "WRITE i 3")
	w.c.Assert(a.Code, qt.Equals, cwstatement.Aborted)
	w.c.Assert(a.State, qt.Equals, cwstatement.Failed)
	succeeds(w.c, s.ask(cwstatement.Rollback, "ROLLBACK"))
	succeeds(w.c, s.ask(cwstatement.Write, "WRITE i 4"))
}
