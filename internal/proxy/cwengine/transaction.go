package cwengine

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwlead"
)

// transaction is a caller's open transaction. It has no connection before its
// first statement and none after it failed.
type transaction struct {
	session *session
	entry   cwcatalogue.Entry
	group   *cwlead.Group
	reads   bool

	// loan is nil before the first statement and after the end at the target.
	loan *loan
	// spent is how long its statements took so far, without the pauses.
	spent time.Duration
	// ran is true once a statement may have run in it, wrote once a write may.
	ran, wrote bool
	failed     bool
	why        string
}

// begin opens a transaction. The target hears of it with its first statement,
// so that a caller that thinks in between holds no connection; but what is
// known not to work is refused now.
func (s *session) begin(st cwstatement.Statement) cwstatement.Answer {
	entry, ok := s.lookup()
	if !ok {
		return noDatabase(s.database)
	}
	if s.beginAway(entry, st) {
		return cwstatement.Answer{State: cwstatement.Open}
	}
	group, ok := s.groupHere(entry)
	if !ok {
		return noDatabase(s.database)
	}
	tx := &transaction{session: s, entry: entry, group: group, reads: st.Verb == cwstatement.BeginRead}
	if !tx.reads {
		if _, err := group.Primary(); err != nil {
			t := try{session: s, entry: entry, group: group}
			a := t.unplaced(err)
			if t.silent && s.beginAway(entry, st, s.engine.cfg.Name) {
				return cwstatement.Answer{State: cwstatement.Open}
			}
			return a
		}
	}
	s.tx = tx
	return cwstatement.Answer{State: cwstatement.Open}
}

// beginAway opens the transaction for a holder that was not tried, and reports
// whether there is one.
func (s *session) beginAway(entry cwcatalogue.Entry, st cwstatement.Statement, tried ...string) bool {
	if s.given != nil {
		return false
	}
	if _, ok := s.engine.holder(entry, tried); !ok {
		return false
	}
	s.away = &away{entry: entry, begin: st.Verb, name: s.engine.nextName(), tried: tried}
	return true
}

// handleInTransaction serves one statement of an open transaction.
func (s *session) handleInTransaction(st cwstatement.Statement, began time.Time) cwstatement.Answer {
	tx := s.tx
	switch {
	case st.Verb == cwstatement.Rollback:
		s.tx = nil
		tx.rollback()
		return cwstatement.Answer{}
	case tx.failed && st.Verb == cwstatement.Commit:
		s.tx = nil
		return cwstatement.RetryLater(cwstatement.Aborted, tx.why, unreachableRetry)
	case tx.failed && tx.why != "" && !tx.told():
		return cwstatement.RetryLater(cwstatement.Aborted, tx.why, unreachableRetry).WithState(cwstatement.Failed)
	case tx.failed:
		return cwstatement.Failure(cwstatement.Malformed, "the transaction has failed").WithState(cwstatement.Failed)
	case st.Verb == cwstatement.Commit:
		s.tx = nil
		return tx.commit(st, began)
	}
	var a cwstatement.Answer
	switch st.Verb {
	case cwstatement.Set, cwstatement.Prepare, cwstatement.Deallocate:
		a = s.keep(st)
	case cwstatement.Read, cwstatement.Write, cwstatement.Execute:
		a = tx.statement(st, began)
		tx.spent += s.engine.cfg.Clock.Since(began)
	default:
		a = cwstatement.Failure(cwstatement.Malformed, "the statement has no place in a transaction")
	}
	if a.Code != cwstatement.OK {
		tx.fail("")
		return a.WithState(cwstatement.Failed)
	}
	return a.WithState(cwstatement.Open)
}

// told reports whether the caller knows why the transaction failed, and notes
// that it does from now on.
func (tx *transaction) told() bool {
	why := tx.why
	tx.why = ""
	return why == ""
}

// fail ends the transaction at its target; the caller has yet to end it.
func (tx *transaction) fail(why string) {
	tx.rollback()
	if !tx.failed {
		tx.failed, tx.why = true, why
	}
}

// rollback drops the transaction at its target and gives the connection back.
func (tx *transaction) rollback() {
	l := tx.loan
	if l == nil {
		return
	}
	tx.loan = nil
	err := l.conn.SetTimeout(rollbackTimeout)
	if err == nil {
		l.conn.Send(cwstatement.Command{Verb: cwstatement.Rollback})
		err = finish(l.conn, 1)
	}
	if err != nil {
		// A connection that is closed rolls back by itself.
		l.discard()
		return
	}
	l.release()
}

// rollbackTimeout bounds a rollback, for which nobody but the connection waits.
const rollbackTimeout = 300 * time.Millisecond

// try returns the attempts of a statement of the transaction. What the
// statements before it took makes it more urgent; and once something has run, it
// is not given up for missing the aim, since all of it would run again.
func (tx *transaction) try(id string, began time.Time) *try {
	l := limitsOf(tx.entry.Contract, began)
	l.due = l.due.Add(-tx.spent)
	if tx.ran {
		l.offer = l.end
	}
	return &try{session: tx.session, id: id, entry: tx.entry, group: tx.group, limits: l, began: began}
}

// statement runs a read or write in the transaction.
func (tx *transaction) statement(st cwstatement.Statement, began time.Time) cwstatement.Answer {
	w, bad := tx.session.workOf(st)
	if bad.Code != cwstatement.OK {
		return bad
	}
	t := tx.try(st.ID, began)
	if tx.loan != nil {
		a, _ := tx.run(t, w)
		return a
	}
	for {
		a, again := tx.open(t)
		if a.Code == cwstatement.OK {
			a, again = tx.run(t, w)
		}
		if !again || !t.another() {
			return a
		}
		t.logRetry(a)
		// Nothing has run in the transaction yet, so it may begin elsewhere.
		tx.rollback()
		tx.ran, tx.wrote = false, false
	}
}

// open begins the transaction at a target. The second result is true if another
// attempt may be made.
func (tx *transaction) open(t *try) (cwstatement.Answer, bool) {
	// The failure: a primary that was replaced takes the transaction, and its
	// reads miss what was acknowledged at the new one. A transaction that may
	// write needs a confirmed primary as much as a read of the newest data.
	n, verb := needConfirmed, cwstatement.Begin
	if tx.reads {
		n, verb = t.needOf(false), cwstatement.BeginRead
	}
	l, a := t.borrow(n)
	if l == nil {
		return a, false
	}
	r := tx.session.exchange(t, l, work{command: cwstatement.Command{Verb: verb, Floor: l.place.Floor}})
	if r.err != nil {
		t.lost(l, r)
		t.tried = append(t.tried, l.place.ID)
		return t.broken(r, false), true
	}
	t.note(l.place, r, !tx.reads && r.answer.Code == cwstatement.OK)
	if r.answer.Code != cwstatement.OK {
		l.release()
		return t.refused(l.place, r, work{})
	}
	tx.loan = l
	t.served(l.place)
	return r.answer, false
}

// run sends one statement. The second result is true if nothing ran and the
// transaction may begin elsewhere.
func (tx *transaction) run(t *try, w work) (cwstatement.Answer, bool) {
	l := tx.loan
	if err := l.takeTurn(t.limits.claim()); err != nil {
		return t.unplaced(err), false
	}
	first := !tx.ran
	tx.ran, tx.wrote = true, tx.wrote || w.writes
	r := tx.session.exchange(t, l, w)
	if r.err != nil {
		t.lost(l, r)
		tx.loan = nil
		t.tried = append(t.tried, l.place.ID)
		// The transaction is rolled back with its connection.
		return t.broken(r, false), false
	}
	t.note(l.place, r, w.writes && r.answer.Code == cwstatement.OK)
	if r.answer.Code == cwstatement.OK {
		return r.answer, false
	}
	a, again := t.refused(l.place, r, w)
	if r.answer.Code.NotRun() {
		return a, again && first
	}
	// It failed inside the transaction, nothing of which is kept.
	return cwstatement.RetryLater(cwstatement.Aborted, "a statement failed: "+r.answer.Code.String()+" "+r.answer.Detail, unreachableRetry), false
}

// commit ends the transaction.
func (tx *transaction) commit(st cwstatement.Statement, began time.Time) cwstatement.Answer {
	t := tx.try(st.ID, began)
	for tx.loan == nil {
		a, again := tx.open(t)
		if a.Code != cwstatement.OK && (!again || !t.another()) {
			return a.WithState(cwstatement.Idle)
		}
	}
	l := tx.loan
	tx.loan = nil
	// A commit waits for no turn: others may wait for what its transaction
	// holds.
	w := work{command: cwstatement.Command{ID: st.ID, Verb: cwstatement.Commit, Text: st.Text}}
	r := tx.session.exchange(t, l, w)
	if r.err != nil {
		t.lost(l, r)
		return t.broken(r, tx.wrote && !r.notSent).WithState(cwstatement.Idle)
	}
	t.note(l.place, r, tx.wrote && r.answer.Code == cwstatement.OK)
	if r.answer.State != cwstatement.Idle {
		tx.loan = l
		tx.rollback()
	} else {
		l.release()
	}
	if r.answer.Code != cwstatement.OK {
		return commitRefused(r.answer)
	}
	if !tx.wrote {
		return r.answer.WithState(cwstatement.Idle)
	}
	return t.acknowledge(r.answer).WithState(cwstatement.Idle)
}

// commitRefused is the answer to a commit that the target refused.
func commitRefused(a cwstatement.Answer) cwstatement.Answer {
	if a.Code.NotRun() {
		return cwstatement.RetryLater(cwstatement.Aborted, "the commit was refused: "+a.Code.String(), unreachableRetry)
	}
	return a.WithState(cwstatement.Idle)
}
