package cwengine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// newSettledSession returns a session at an engine that knows its primary.
func newSettledSession(t *testing.T) (*testEnv, *testCaller) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	e := env.engine("x")
	env.waitForPrimary(e)
	return env, env.session(e)
}

// Guards against a write that runs twice because the target's answer was lost. The proxy
// must not send it again, and must not report it as not run, since the caller would then
// send it again.
func TestLostAnswerOfAWriteIsUnresolved(t *testing.T) {
	env, s := newSettledSession(t)
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
	env.group.LoseAnswers("a", true)
	a := s.ask(cwstatement.Write, "WRITE i 2")
	env.c.Assert(a.Code, qt.Equals, cwstatement.Unresolved)
	env.c.Assert(env.group.CommandCount("WRITE i 2"), qt.Equals, 1)
}

// The same for the commit of a transaction.
func TestLostAnswerOfACommitIsUnresolved(t *testing.T) {
	env, s := newSettledSession(t)
	assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 2"))
	env.group.LoseAnswers("a", true)
	a := s.ask(cwstatement.Commit, "COMMIT")
	env.c.Assert(a.Code, qt.Equals, cwstatement.Unresolved)
	env.c.Assert(a.State, qt.Equals, cwstatement.Idle)
	env.c.Assert(env.group.CommandCount("COMMIT"), qt.Equals, 1)
}

// Checks the answer to a statement inside a transaction whose answer was lost. Nothing was
// committed and the connection is closed, so the caller may be told that nothing is kept.
func TestLostAnswerInsideATransactionIsAborted(t *testing.T) {
	env, s := newSettledSession(t)
	assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 2"))
	env.group.LoseAnswers("a", true)
	a := s.ask(cwstatement.Write, "WRITE i 3")
	env.c.Assert(a.Code, qt.Equals, cwstatement.Aborted)
	env.c.Assert(a.State, qt.Equals, cwstatement.InFailedTransaction)
	env.c.Assert(s.ask(cwstatement.Read, "READ i").Code, qt.Equals, cwstatement.Malformed)
	env.c.Assert(s.ask(cwstatement.Commit, "COMMIT").Code, qt.Equals, cwstatement.Aborted)
	env.group.LoseAnswers("a", false)
	env.c.Assert(env.group.Value("i"), qt.Equals, "")
}

// Guards against the loss of an acknowledged write: if a write is acknowledged while only
// the primary has it, it is lost with the primary.
func TestCommitOfOneMemberIsNotAcknowledged(t *testing.T) {
	env, s := newSettledSession(t)
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
	env.group.SetReceiveStopped("b", true)
	env.group.SetReceiveStopped("c", true)
	a := s.ask(cwstatement.Write, "WRITE i 2")
	env.c.Assert(a.Code, qt.Equals, cwstatement.Unresolved)
	env.group.SetReceiveStopped("c", false)
	assertOK(env.c, s.tryAsk(cwstatement.Write, "WRITE i 3"))
}

// Guards against sessions that see each other's state on shared connections. Two callers
// use the same name for different prepared statements, and have different settings.
func TestSessionsOnSharedConnections(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	env.group.LimitConnections("a", 2)
	e := env.engine("x")
	env.waitForPrimary(e)
	one, two := env.session(e), env.session(e)
	assertOK(env.c, one.send(cwstatement.Statement{ID: "1", Verb: cwstatement.Prepare, Name: "s", Args: "q", Writes: true}))
	assertOK(env.c, two.send(cwstatement.Statement{ID: "2", Verb: cwstatement.Prepare, Name: "s", Args: "q"}))
	assertOK(env.c, one.send(cwstatement.Statement{ID: "3", Verb: cwstatement.Set, Name: "n", Args: "1"}))
	for range 5 {
		assertOK(env.c, one.send(cwstatement.Statement{ID: "4", Verb: cwstatement.Execute, Name: "s", Args: "i 1"}))
		assertRead(env.c, two.send(cwstatement.Statement{ID: "5", Verb: cwstatement.Execute, Name: "s", Args: "i"}), "1")
	}
	for _, ran := range env.group.CallerCommands() {
		switch ran.ID {
		case "4":
			env.c.Assert(ran.Settings, qt.DeepEquals, map[string]string{"n": "1"})
		case "5":
			env.c.Assert(ran.Settings, qt.HasLen, 0)
		}
	}
	env.c.Assert(two.send(cwstatement.Statement{ID: "6", Verb: cwstatement.Execute, Name: "other", Args: "i"}).Code, qt.Equals, cwstatement.NotPrepared)
}

// Checks that a transaction that is idle for too long is rolled back, since it holds one of
// few connections. This happens without a message to the caller: a message that answers no
// statement would end the session. The caller learns of it with its next statement.
func TestIdleTransactionIsRolledBack(t *testing.T) {
	env, s := newSettledSession(t)
	assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 2"))
	env.clock.Sleep(100 * time.Millisecond)
	// This makes Next report that the idle timeout has passed.
	env.c.Assert(s.SetReadTimeout(time.Nanosecond), qt.IsNil)
	env.clock.Sleep(200 * time.Millisecond)
	a := s.ask(cwstatement.Write, "WRITE i 3")
	env.c.Assert(a.Code, qt.Equals, cwstatement.Aborted)
	env.c.Assert(a.State, qt.Equals, cwstatement.InFailedTransaction)
	assertOK(env.c, s.ask(cwstatement.Rollback, "ROLLBACK"))
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 4"))
}
