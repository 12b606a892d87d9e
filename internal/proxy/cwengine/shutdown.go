package cwengine

import (
	"errors"
	"net"
	"os"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwshutdown"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// Times of a shutdown.
const (
	// drainPollInterval is the time between two checks of what is open.
	drainPollInterval = 50 * time.Millisecond
	// minIdle is how long a session must have waited for its caller to count as idle: a
	// round trip and the work of a busy caller, whose next statement is on its way.
	minIdle = 150 * time.Millisecond
	// crossingWait is how long a session that was ended is read on, for a statement that
	// crossed the message about its end: a round trip, and a busy network.
	crossingWait = 300 * time.Millisecond
	// backlogWait is how long the listener goes on accepting connections that the kernel
	// has completed, before it is closed.
	backlogWait = 20 * time.Millisecond
	// awaitEndInterval is the time between two checks whether all answers are written.
	awaitEndInterval = 10 * time.Millisecond
	// shutdownRetryAfter is the retry delay for callers of an instance that stops. Another
	// instance serves them at once.
	shutdownRetryAfter = 20 * time.Millisecond
)

// shutdownAnswer refuses what begins at an instance that stops, and ends idle sessions.
func shutdownAnswer() cwstatement.Response {
	return cwstatement.RetryLater(cwstatement.Aborted, "the instance is shutting down", shutdownRetryAfter)
}

// Drain stops the engine in the order of cwshutdown. When it returns, each statement that
// was read has its answer, no session is open, and the listener of Serve is closed, unless
// callers did not read their answers in time. The rest of the instance may stop then.
func (e *Engine) Drain() {
	began := e.cfg.Clock.Now()
	e.draining.Store(true)
	e.cfg.Log.Info("draining", "sessions", e.SessionCount())
	plan, step := cwshutdown.NewPlan(e.cfg.GracePeriod), cwshutdown.Notify
	e.logStopStep(step, began)
	for {
		next := plan.Next(step, e.shutdownState(began))
		if next != step {
			e.logStopStep(next, began)
		}
		if next >= cwshutdown.Refuse {
			e.refusing.Store(true)
		}
		if next == cwshutdown.Answer {
			break
		}
		if next >= cwshutdown.CloseIdle {
			e.closeIdleSessions(next == cwshutdown.Refuse, shutdownAnswer())
		}
		if next == step {
			e.cfg.Clock.Sleep(drainPollInterval)
		}
		step = next
	}
	e.stopAccepting()
	e.answerOpen()
	e.awaitEnd(plan.Left() / 3)
	e.cfg.Log.Info("drained", "sessions", e.SessionCount(), "tookMs", e.cfg.Clock.Since(began).Milliseconds())
}

// shutdownState returns what a stop that began at a time depends on.
func (e *Engine) shutdownState(began time.Time) cwshutdown.State {
	return cwshutdown.State{Elapsed: e.cfg.Clock.Since(began), Open: e.SessionCount()}
}

// logStopStep logs what is open at the begin of a step of a shutdown that began at a time.
func (e *Engine) logStopStep(step cwshutdown.Step, began time.Time) {
	n := e.open.count()
	e.mu.RLock()
	sessions, transactions := len(e.sessions), len(e.forwardedTransactions)
	e.mu.RUnlock()
	e.cfg.Log.Info("stopStep", "step", step, "sessions", sessions, "statements", n.callers, "forwarded", n.forwarded,
		"statementsOfInstances", n.instances, "transactionsOfInstances", transactions, "tookMs", e.cfg.Clock.Since(began).Milliseconds())
}

// closeIdleSessions ends the sessions that wait for their caller, and tells them why.
// Sessions with an open transaction, and those that have waited for less than minIdle, are
// ended only if all is true.
func (e *Engine) closeIdleSessions(all bool, why cwstatement.Response) {
	e.mu.RLock()
	for s := range e.sessions {
		s.closeIfIdle(all, why)
	}
	e.mu.RUnlock()
	if all {
		e.rollbackForwarded("the instance ends", func(*forwardedTransaction) bool { return true })
	}
}

// stopAccepting accepts the connections that the kernel has completed, whose sessions are
// refused, and closes the listener.
func (e *Engine) stopAccepting() {
	e.mu.RLock()
	ln, serving := e.listener, e.serving
	e.mu.RUnlock()
	if ln == nil {
		return
	}
	if d, ok := ln.(interface{ SetDeadline(time.Time) error }); ok && d.SetDeadline(time.Now().Add(backlogWait)) == nil {
		<-serving
	}
	_ = ln.Close()
}

// isAcceptingOver reports whether accepting failed with err because stopAccepting ends it.
func (e *Engine) isAcceptingOver(err error) bool {
	return e.refusing.Load() && (errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed))
}

// answerOpen answers the statements that are still in progress. Nothing is sent to targets
// or instances for them from then on.
func (e *Engine) answerOpen() {
	for _, s := range e.open.interrupt() {
		e.cfg.Metrics.countInterrupted(s.from)
		e.cfg.Log.Warn("statementInterrupted", "id", s.id, "verb", s.verb, "from", s.from, "holder", s.holder, "target", s.target,
			"ageMs", e.cfg.Clock.Since(s.readAt).Milliseconds())
		go e.open.run(s)
	}
}

// awaitEnd ends the remaining sessions and waits until there is none and all answers are
// written, for at most a given time.
func (e *Engine) awaitEnd(within time.Duration) {
	end := e.cfg.Clock.Now().Add(within)
	for e.cfg.Clock.Now().Before(end) {
		e.closeIdleSessions(true, shutdownAnswer())
		e.mu.RLock()
		sessions := len(e.sessions)
		e.mu.RUnlock()
		if sessions == 0 && e.open.empty() {
			return
		}
		e.cfg.Clock.Sleep(awaitEndInterval)
	}
}

// refuseShuttingDown refuses a statement that begins while the instance refuses everything,
// and makes the session end. It returns false if the statement is to be handled.
func (s *session) refuseShuttingDown(st cwstatement.Statement) (cwstatement.Response, bool) {
	if !s.engine.refusing.Load() || s.forwarded != nil || st.Verb == cwstatement.Rollback {
		return cwstatement.Response{}, false
	}
	a := shutdownAnswer()
	s.mu.Lock()
	s.closing = &a
	s.mu.Unlock()
	return s.refuseAndFail(st.Verb, a), true
}

// sayEnd tells the caller of a session that was idle why it ends. A statement that crosses
// the message has it as its answer, since the session was read on.
//
// Without it, a caller that sends a statement at the moment at which its session is closed
// does not learn whether it has run. It may not retry a write then.
func (s *session) sayEnd(why cwstatement.Response) {
	if s.caller.Refuse(why) != nil {
		return
	}
	s.failTransaction(why.Detail)
	if s.caller.SetReadTimeout(crossingWait) != nil {
		return
	}
	st, err := s.caller.Next()
	if err != nil {
		return
	}
	s.engine.cfg.Log.Info("statementFailed", "id", st.ID, "verb", st.Verb, "database", s.database, "code", why.Code, "why", why.Detail)
	s.engine.cfg.Metrics.countStatement(st.Verb, why.Code)
	// The session ends in any case, so a write error is ignored.
	_ = s.caller.EndRefused(s.stateAfter(st.Verb))
}

// writeAnswer implements requester. The session has nothing else to tell its caller.
func (s *session) writeAnswer(_ *openStatement, a cwstatement.Response) {
	if err := s.caller.Reply(a); err != nil {
		s.engine.cfg.Log.Debug("sessionEnded", "database", s.database, "cause", err)
	}
	s.engine.removeSession(s)
	_ = s.caller.Close()
}

// stateAfter returns the state of the transaction after a statement of it was refused,
// which has rolled it back.
func (s *session) stateAfter(v cwstatement.Verb) cwstatement.TransactionState {
	if s.inTransaction() && v != cwstatement.Commit && v != cwstatement.Rollback {
		return cwstatement.InFailedTransaction
	}
	return cwstatement.Idle
}
