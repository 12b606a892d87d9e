package cwengine

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwleadership"
)

// transaction is a caller's open transaction that runs on this instance. It has no
// connection before its first statement and after a failure.
type transaction struct {
	session  *session
	entry    cwcatalogue.Entry
	group    *cwleadership.Group
	readOnly bool

	// lease is nil before the first statement and after the transaction has ended at
	// the target.
	lease *connLease
	// statementTime is the total duration of its statements, without the pauses
	// between them.
	statementTime time.Duration
	// mayHaveRun is true once a statement may have run in it, mayHaveWritten once a
	// write may have.
	mayHaveRun, mayHaveWritten bool
	failed                     bool
	failure                    string
}

// begin opens a transaction. The target receives it only with its first statement, so
// that a caller that pauses after the begin holds no connection. A transaction that is
// known to be impossible at the moment is refused at once.
func (s *session) begin(st cwstatement.Statement) cwstatement.Response {
	entry, ok := s.resolveEntry()
	if !ok {
		return noDatabase(s.database)
	}
	if s.beginRemote(entry, st) {
		return cwstatement.Response{State: cwstatement.InTransaction}
	}
	group, ok := s.localGroup(entry)
	if !ok {
		return noDatabase(s.database)
	}
	tx := &transaction{session: s, entry: entry, group: group, readOnly: st.Verb == cwstatement.BeginRead}
	if !tx.readOnly {
		if _, err := group.Primary(); err != nil {
			t := task{session: s, entry: entry, group: group}
			a := t.placementFailure(err)
			if t.primarySilent && s.beginRemote(entry, st, s.engine.cfg.Name) {
				return cwstatement.Response{State: cwstatement.InTransaction}
			}
			return a
		}
	}
	s.tx = tx
	return cwstatement.Response{State: cwstatement.InTransaction}
}

// beginRemote opens the transaction for forwarding to a holder that is not in tried. It
// returns false if there is no such holder.
func (s *session) beginRemote(entry cwcatalogue.Entry, st cwstatement.Statement, tried ...string) bool {
	if s.forwarded != nil {
		return false
	}
	if _, ok := s.selectHolder(entry, tried); !ok {
		return false
	}
	s.remote = &remoteTransaction{entry: entry, begin: st.Verb, name: s.engine.nextTransactionName(), tried: tried}
	return true
}

// handleInTransaction handles one statement of an open transaction.
func (s *session) handleInTransaction(st cwstatement.Statement, began time.Time) cwstatement.Response {
	tx := s.tx
	switch {
	case st.Verb == cwstatement.Rollback:
		s.tx = nil
		tx.rollback()
		return cwstatement.Response{}
	case tx.failed && st.Verb == cwstatement.Commit:
		s.tx = nil
		return cwstatement.RetryLater(cwstatement.Aborted, tx.failure, unreachableRetryAfter)
	case tx.failed && tx.failure != "" && !tx.failureReported():
		return cwstatement.RetryLater(cwstatement.Aborted, tx.failure, unreachableRetryAfter).WithState(cwstatement.InFailedTransaction)
	case tx.failed:
		return cwstatement.Failure(cwstatement.Malformed, "the transaction has failed").WithState(cwstatement.InFailedTransaction)
	case st.Verb == cwstatement.Commit:
		s.tx = nil
		return tx.commit(st, began)
	}
	var a cwstatement.Response
	switch st.Verb {
	case cwstatement.Set, cwstatement.Prepare, cwstatement.Deallocate:
		a = s.updateSession(st)
	case cwstatement.Read, cwstatement.Write, cwstatement.Execute:
		a = tx.runStatement(st, began)
		tx.statementTime += s.engine.cfg.Clock.Since(began)
	default:
		a = cwstatement.Failure(cwstatement.Malformed, "the statement has no place in a transaction")
	}
	if a.Code != cwstatement.OK {
		tx.fail("")
		return a.WithState(cwstatement.InFailedTransaction)
	}
	return a.WithState(cwstatement.InTransaction)
}

// failureReported reports whether the caller knows why the transaction failed, and
// records that it does from now on.
func (tx *transaction) failureReported() bool {
	reason := tx.failure
	tx.failure = ""
	return reason == ""
}

// fail rolls back the transaction at its target and marks it as failed. The caller
// still has to end it.
func (tx *transaction) fail(reason string) {
	tx.rollback()
	if !tx.failed {
		tx.failed, tx.failure = true, reason
	}
}

// rollback rolls back the transaction at its target and returns the connection to the
// pool.
func (tx *transaction) rollback() {
	l := tx.lease
	if l == nil {
		return
	}
	tx.lease = nil
	err := l.conn.SetTimeout(rollbackTimeout)
	if err == nil {
		l.conn.Send(cwstatement.Command{Verb: cwstatement.Rollback})
		err = flushAndCheck(l.conn, 1)
	}
	if err != nil {
		// The target rolls back when the connection closes.
		l.discard()
		return
	}
	l.release()
}

// rollbackTimeout limits the wait for the answer to a rollback.
const rollbackTimeout = 300 * time.Millisecond

// newTask returns the task of one statement of the transaction. The time of the earlier
// statements makes the statement more urgent. Once a statement has run in the
// transaction, a later one is not given up for missing the entry's aim: it may start up
// to its deadline, since otherwise all of them would have to run again.
func (tx *transaction) newTask(id string, began time.Time) *task {
	l := newLimits(tx.entry.Contract, began)
	l.due = l.due.Add(-tx.statementTime)
	if tx.mayHaveRun {
		l.startBy = l.deadline
	}
	return &task{session: tx.session, id: id, entry: tx.entry, group: tx.group, limits: l, began: began}
}

// runStatement runs a read or write in the transaction.
func (tx *transaction) runStatement(st cwstatement.Statement, began time.Time) cwstatement.Response {
	w, refusal := tx.session.newWork(st)
	if refusal.Code != cwstatement.OK {
		return refusal
	}
	t := tx.newTask(st.ID, began)
	if tx.lease != nil {
		a, _ := tx.runOnLease(t, w)
		return a
	}
	for {
		a, again := tx.open(t)
		if a.Code == cwstatement.OK {
			a, again = tx.runOnLease(t, w)
		}
		if !again || !t.nextAttempt() {
			return a
		}
		t.logRetry(a)
		// Nothing has run in the transaction yet, so it may begin at another target.
		tx.rollback()
		tx.mayHaveRun, tx.mayHaveWritten = false, false
	}
}

// open begins the transaction at a target. The second result is true if another attempt
// may be made.
func (tx *transaction) open(t *task) (cwstatement.Response, bool) {
	// A primary that was replaced would accept the transaction, and its reads would
	// miss what the new primary has acknowledged. A transaction that may write
	// therefore needs a confirmed primary, as does a read of the newest data.
	n, verb := requireConfirmedPrimary, cwstatement.Begin
	if tx.readOnly {
		n, verb = t.requirementOf(false), cwstatement.BeginRead
	}
	l, a := t.acquire(n)
	if l == nil {
		return a, false
	}
	r := tx.session.exchange(t, l, work{command: cwstatement.Command{Verb: verb, Floor: l.place.Floor}})
	if r.err != nil {
		t.handleLostAnswer(l, r)
		t.tried = append(t.tried, l.place.ID)
		return t.connectionLost(r, false), true
	}
	t.recordAnswer(l.place, r, !tx.readOnly && r.answer.Code == cwstatement.OK)
	if r.answer.Code != cwstatement.OK {
		l.release()
		return t.handleRefusal(l.place, r, work{})
	}
	tx.lease = l
	t.recordRead(l.place)
	return r.answer, false
}

// runOnLease sends one statement to the transaction's target. The second result is true
// if nothing ran and the transaction may begin at another target.
func (tx *transaction) runOnLease(t *task, w work) (cwstatement.Response, bool) {
	l := tx.lease
	if err := l.takeTurn(t.limits.urgency(t.session.workspace)); err != nil {
		return t.placementFailure(err), false
	}
	first := !tx.mayHaveRun
	tx.mayHaveRun, tx.mayHaveWritten = true, tx.mayHaveWritten || w.writes
	r := tx.session.exchange(t, l, w)
	if r.err != nil {
		t.handleLostAnswer(l, r)
		tx.lease = nil
		t.tried = append(t.tried, l.place.ID)
		// The target rolls back when the connection closes.
		return t.connectionLost(r, false), false
	}
	t.recordAnswer(l.place, r, w.writes && r.answer.Code == cwstatement.OK)
	if r.answer.Code == cwstatement.OK {
		return r.answer, false
	}
	a, again := t.handleRefusal(l.place, r, w)
	if r.answer.Code.NotRun() {
		return a, again && first
	}
	// The statement failed inside the transaction, none of which is kept.
	return cwstatement.RetryLater(cwstatement.Aborted, "a statement failed: "+r.answer.Code.String()+" "+r.answer.Detail, unreachableRetryAfter), false
}

// commit commits the transaction and waits for the acknowledgement of its writes.
func (tx *transaction) commit(st cwstatement.Statement, began time.Time) cwstatement.Response {
	t := tx.newTask(st.ID, began)
	for tx.lease == nil {
		a, again := tx.open(t)
		if a.Code != cwstatement.OK && (!again || !t.nextAttempt()) {
			return a.WithState(cwstatement.Idle)
		}
	}
	l := tx.lease
	tx.lease = nil
	// A commit does not wait in the target's queue, since other statements may wait
	// for the locks of its transaction.
	w := work{command: cwstatement.Command{ID: st.ID, Verb: cwstatement.Commit, Text: st.Text}}
	r := tx.session.exchange(t, l, w)
	if r.err != nil {
		t.handleLostAnswer(l, r)
		return t.connectionLost(r, tx.mayHaveWritten && !r.notSent).WithState(cwstatement.Idle)
	}
	t.recordAnswer(l.place, r, tx.mayHaveWritten && r.answer.Code == cwstatement.OK)
	if r.answer.State != cwstatement.Idle {
		tx.lease = l
		tx.rollback()
	} else {
		l.release()
	}
	if r.answer.Code != cwstatement.OK {
		return commitRefused(r.answer)
	}
	if !tx.mayHaveWritten {
		return r.answer.WithState(cwstatement.Idle)
	}
	return t.awaitAcknowledgement(r.answer).WithState(cwstatement.Idle)
}

// commitRefused returns the caller's answer to a commit that the target refused.
func commitRefused(a cwstatement.Response) cwstatement.Response {
	if a.Code.NotRun() {
		return cwstatement.RetryLater(cwstatement.Aborted, "the commit was refused: "+a.Code.String(), unreachableRetryAfter)
	}
	return a.WithState(cwstatement.Idle)
}
