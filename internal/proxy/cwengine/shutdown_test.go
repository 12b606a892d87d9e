package cwengine

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// longWork is longer than a stop.
const longWork = 8 * time.Second

// stop drains an engine in the background. The returned channel is closed at the end.
func stop(e *Engine) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Drain()
	}()
	return done
}

// assertDrained waits for the end of a stop and checks that nothing is open.
func assertDrained(c *qt.C, e *Engine, done <-chan struct{}) {
	c.Helper()
	<-done
	c.Assert(e.open.list(), qt.HasLen, 0)
	e.mu.RLock()
	defer e.mu.RUnlock()
	c.Assert(e.sessions, qt.HasLen, 0)
}

// Guards against statements without an answer: the process ended under those that were
// still in progress at a target when the time for the drain was over.
func TestStopAnswersStatementsInProgress(t *testing.T) {
	for _, tc := range []struct {
		name  string
		verb  cwstatement.Verb
		text  string
		begin bool
		want  cwstatement.Code
		state cwstatement.TransactionState
	}{
		{"a read", cwstatement.Read, "READ i", false, cwstatement.Aborted, cwstatement.Idle},
		{"a write", cwstatement.Write, "WRITE i 1", false, cwstatement.Unresolved, cwstatement.Idle},
		{"a write in a transaction", cwstatement.Write, "WRITE i 1", true, cwstatement.Aborted, cwstatement.InFailedTransaction},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newTestEnv(t, cwcatalogue.ReadLatest)
			env.entry.Contract.StatementTimeout = longWork
			e := env.engine("x")
			env.waitForPrimary(e)
			s := env.session(e)
			if tc.begin {
				assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
			}
			env.group.SetWorkTime(func(string) time.Duration { return longWork }, env.clock)
			answer := make(chan cwstatement.Response, 1)
			go func() { answer <- s.ask(tc.verb, tc.text) }()
			env.eventually("the target has the statement", func() bool { return env.group.CommandCount(tc.text) == 1 })
			assertDrained(env.c, e, stop(e))
			a := <-answer
			env.c.Assert(a.Code, qt.Equals, tc.want)
			env.c.Assert(a.State, qt.Equals, tc.state)
		})
	}
}

// Guards against a caller that learns nothing because its instance waits for the answer of
// another one when it stops.
func TestStopAnswersForwardedStatements(t *testing.T) {
	env, s, h := newForwardingSession(t, cwcatalogue.ReadLatest)
	env.group.SetWorkTime(func(string) time.Duration { return longWork }, env.clock)
	answer := make(chan cwstatement.Response, 1)
	go func() { answer <- s.ask(cwstatement.Write, "WRITE i 1") }()
	env.eventually("the target has the statement", func() bool { return env.group.CommandCount("WRITE i 1") == 1 })
	assertDrained(env.c, s.engine, stop(s.engine))
	env.c.Assert((<-answer).Code, qt.Equals, cwstatement.Unresolved)
	env.c.Assert(h.engine.open.countOfInstances(), qt.Equals, 1)
}

// Guards against a holder that ends under the statements of other instances: writes had an
// unknown outcome, and reads ran again only after the connection had broken.
func TestStoppingHolderAnswersOtherInstances(t *testing.T) {
	for _, tc := range []struct {
		name      string
		statement cwstatement.Statement
		want      cwport.ForwardResponse
	}{
		{"a read may run elsewhere", cwstatement.Statement{ID: "r", Verb: cwstatement.Read, Text: "READ i"}, cwport.ForwardResponse{
			Answer: shutdownAnswer(), TryOtherHolder: true, Leaving: true,
		}},
		{"the outcome of a write is unknown", cwstatement.Statement{ID: "w", Verb: cwstatement.Write, Text: "WRITE i 1"}, cwport.ForwardResponse{
			Answer:  cwstatement.Failure(cwstatement.Unresolved, "the instance is shutting down, and the database has not answered"),
			Leaving: true,
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newTestEnv(t, cwcatalogue.ReadLatest)
			env.entry.Contract.StatementTimeout = longWork
			h := &testHolder{name: "holder", engine: env.engine("holder")}
			env.waitForPrimary(h.engine)
			env.group.SetWorkTime(func(string) time.Duration { return longWork }, env.clock)
			answer := make(chan cwport.ForwardResponse, 1)
			go func() { answer <- h.serve(cwport.ForwardRequest{Entry: env.entry, Statement: tc.statement}) }()
			env.eventually("the target has the statement", func() bool { return env.group.CommandCount(tc.statement.ID) == 1 })
			done := stop(h.engine)
			env.eventually("the holder stops", func() bool { return h.engine.draining.Load() })
			refused := h.serve(cwport.ForwardRequest{Entry: env.entry, Statement: tc.statement})
			env.c.Assert(refused.NotRun && refused.TryOtherHolder && refused.Leaving, qt.IsTrue)
			assertDrained(env.c, h.engine, done)
			env.c.Assert(<-answer, qt.DeepEquals, tc.want)
		})
	}
}

// Guards against a false "nothing is kept": a statement that was given up while it waited is
// not sent any more.
func TestGivenUpStatementIsNotSent(t *testing.T) {
	var o openStatements
	s := &openStatement{id: "w", mayCommit: true}
	o.begin(s)
	given := o.interrupt()
	qt.Assert(t, given, qt.HasLen, 1)
	qt.Assert(t, given[0], qt.Equals, s)
	qt.Assert(t, s.interruptedAnswer().Code, qt.Equals, cwstatement.Aborted)
	qt.Assert(t, o.recordTarget(s, "a"), qt.IsFalse)
	qt.Assert(t, o.recordForward(s, "x"), qt.IsFalse)
	qt.Assert(t, o.claim(s), qt.IsFalse)
}

// Guards against a write of unknown outcome, which its caller must not retry: it crossed the
// end of its idle session on the network.
func TestStatementThatCrossesTheEndIsRefused(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	e := env.engine("x")
	env.waitForPrimary(e)
	s := env.session(e)
	assertOK(env.c, s.ask(cwstatement.Read, "READ i"))
	s.crossing = &cwstatement.Statement{ID: "w", Verb: cwstatement.Write, Text: "WRITE i 1"}
	assertDrained(env.c, e, stop(e))
	env.c.Assert(<-s.out, qt.DeepEquals, shutdownAnswer())
	env.c.Assert(env.group.CommandCount("w"), qt.Equals, 0)
}

// Guards against a commit of unknown outcome: it crossed the end of its transaction, which had
// not ended in time.
func TestCommitThatCrossesTheEndIsRefused(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	e := env.engine("x")
	env.waitForPrimary(e)
	s := env.session(e)
	assertOK(env.c, s.ask(cwstatement.Begin, "BEGIN"))
	assertOK(env.c, s.ask(cwstatement.Write, "WRITE i 1"))
	s.crossing = &cwstatement.Statement{ID: "c", Verb: cwstatement.Commit, Text: "COMMIT"}
	assertDrained(env.c, e, stop(e))
	env.c.Assert(<-s.out, qt.DeepEquals, shutdownAnswer())
	env.c.Assert(env.group.Value("i"), qt.Equals, "")
}

// Guards against statements that begin when there is no time left to run them.
func TestStatementsAreRefusedLateInAStop(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	e := env.engine("x")
	env.waitForPrimary(e)
	single, inTransaction := env.session(e), env.session(e)
	assertOK(env.c, single.ask(cwstatement.Read, "READ i"))
	assertOK(env.c, inTransaction.ask(cwstatement.Begin, "BEGIN"))
	assertOK(env.c, inTransaction.ask(cwstatement.Write, "WRITE i 1"))
	e.refusing.Store(true)
	env.c.Assert(single.ask(cwstatement.Write, "WRITE i 2"), qt.DeepEquals, shutdownAnswer())
	env.c.Assert(inTransaction.ask(cwstatement.Read, "READ i"), qt.DeepEquals, shutdownAnswer().WithState(cwstatement.InFailedTransaction))
	env.eventually("both sessions end", func() bool { return e.SessionCount() == 0 })
	env.c.Assert(env.group.Value("i"), qt.Equals, "")
}

// Guards against callers that come late in a stop and are cut off: they are served, then
// refused, and none is left when the listener is closed.
func TestCallersDuringStopAreAnswered(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	e := env.engine("x")
	env.waitForPrimary(e)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	env.c.Assert(err, qt.IsNil)
	served := make(chan error, 1)
	callers := make(chan *testCaller, 1024)
	go func() {
		served <- e.Serve(ln, func(nc net.Conn) cwport.CallerConn {
			tc := env.newCaller("")
			tc.conn = nc
			callers <- tc
			return tc
		})
	}()
	done := stop(e)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			nc, err := net.Dial("tcp4", ln.Addr().String())
			if err != nil {
				return
			}
			env.c.Cleanup(func() { _ = nc.Close() })
			env.clock.Sleep(20 * time.Millisecond)
		}
	}()
	codes := map[cwstatement.Code]int{}
	for open := true; open; {
		select {
		case tc := <-callers:
			codes[tc.visit()]++
		case <-done:
			open = false
		}
	}
	assertDrained(env.c, e, done)
	<-ended
	env.c.Assert(<-served, qt.IsNil)
	env.c.Assert(codes[cwstatement.OK] > 0, qt.IsTrue, qt.Commentf("%v", codes))
	env.c.Assert(codes[cwstatement.Aborted] > 0, qt.IsTrue, qt.Commentf("%v", codes))
	env.c.Assert(codes, qt.HasLen, 2)
}

// malformedCaller sends a message that breaks the protocol.
type malformedCaller struct{ *testCaller }

func (malformedCaller) Next() (cwstatement.Statement, error) {
	return cwstatement.Statement{}, &cwport.MalformedMessageError{Cause: errUnavailable}
}

// Guards against a session that ends without a word after a message that was read whole.
func TestMalformedMessageIsAnswered(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	tc := env.newCaller("")
	s := env.engine("x").newSession(malformedCaller{tc})
	s.serve()
	env.c.Assert(tc.refusal, qt.IsNotNil)
	env.c.Assert(tc.refusal.Code, qt.Equals, cwstatement.Malformed)
}

// slowCaller is slow to read an answer.
type slowCaller struct {
	*testCaller
	read chan struct{}
}

func (c slowCaller) Reply(a cwstatement.Response) error {
	<-c.read
	select {
	case <-c.gone:
		return net.ErrClosed
	default:
	}
	return c.testCaller.Reply(a)
}

// Guards against an answer that is cut short: the statement ended while a stop was writing its
// answer, and its session closed the connection.
func TestAnswerOfStopIsNotCutShort(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	env.entry.Contract.StatementTimeout = longWork
	e := env.engine("x")
	env.waitForPrimary(e)
	c := slowCaller{env.newCaller(""), make(chan struct{})}
	s := e.newSession(c)
	e.sessions[s] = struct{}{}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.serve()
	}()
	env.group.SetWorkTime(func(string) time.Duration { return longWork }, env.clock)
	c.in <- cwstatement.Statement{ID: "w", Verb: cwstatement.Write, Text: "WRITE i 1"}
	e.Drain()
	<-ended
	close(c.read)
	select {
	case a := <-c.out:
		env.c.Assert(a.Code, qt.Equals, cwstatement.Unresolved)
	case <-time.After(5 * time.Second):
		env.c.Fatal("the connection was closed before the answer")
	}
}
