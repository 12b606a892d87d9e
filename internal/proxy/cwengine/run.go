package cwengine

import (
	"context"
	"errors"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwlead"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/proxy/cwtargets"
)

// Limits of running a statement.
const (
	// maxAttempts bounds how often a statement that did not run is tried: each
	// member of a group of three, and the first one again.
	maxAttempts = 4
	// defaultTimeout and defaultAim stand in where an entry tells none.
	defaultTimeout = 2 * time.Second
	defaultAim     = 500 * time.Millisecond
	// suspectAfter is how long a target may be silent before it is tried by a
	// fresh connection. Even a target with a full queue answers sooner.
	suspectAfter = 250 * time.Millisecond
	// unreachableRetry is what callers are told whose target takes no
	// connection: the time in which that is noticed and another one found.
	unreachableRetry = 300 * time.Millisecond
)

// limits are the deadlines of one statement.
type limits struct {
	// offer is when a target must have taken it, end when it must be over.
	offer, end time.Time
	// due is when the caller wants the whole operation done.
	due      time.Time
	priority int
}

func (l limits) claim() cwtargets.Claim {
	return cwtargets.Claim{Deadline: l.offer, Priority: l.priority, Due: l.due}
}

func limitsOf(c cwcatalogue.Contract, began time.Time) limits {
	aim, timeout := c.Aim, c.StatementTimeout
	if aim == 0 {
		aim = defaultAim
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return limits{
		offer: began.Add(min(aim, timeout)), end: began.Add(timeout),
		due: began.Add(aim), priority: c.Priority,
	}
}

// runAlone runs a statement outside a transaction.
func (s *session) runAlone(st cwstatement.Statement, began time.Time) cwstatement.Answer {
	entry, ok := s.lookup()
	if !ok {
		return noDatabase(s.database)
	}
	w, bad := s.workOf(st)
	if bad.Code != cwstatement.OK {
		return bad
	}
	var offered handing
	if s.given == nil {
		if offered = s.runAway(entry, st, w.writes, began); offered.done {
			return offered.answer
		}
	}
	group, ok := s.groupHere(entry)
	if !ok {
		return noDatabase(s.database)
	}
	t := &try{session: s, id: st.ID, entry: entry, group: group, limits: limitsOf(entry.Contract, began), began: began}
	a := s.runHere(t, w)
	if !a.Code.Promises() {
		return a
	}
	if offered.elsewhere || group.CutOff() {
		group.NoteUnserved()
		return a
	}
	if t.silent && s.given == nil {
		if helped := s.runAway(entry, st, w.writes, began, s.engine.cfg.Name); helped.done {
			return helped.answer
		}
	}
	return a
}

// runHere makes the attempts at a statement outside a transaction.
func (s *session) runHere(t *try, w work) cwstatement.Answer {
	for {
		a, again := t.alone(w)
		if !again || !t.another() {
			return a.WithState(cwstatement.Idle)
		}
		t.logRetry(a)
	}
}

// try is the attempts of one statement.
type try struct {
	session *session
	// id is the caller's name for the statement, for logs.
	id     string
	entry  cwcatalogue.Entry
	group  *cwlead.Group
	limits limits
	began  time.Time
	tried  []cwgroup.MemberID
	n      int
	// silent is true if nothing ran because the primary does not answer here.
	silent bool
}

// another reports whether one more attempt may be made.
func (t *try) another() bool {
	t.n++
	if t.n >= maxAttempts || !t.session.engine.cfg.Clock.Now().Before(t.limits.offer) {
		return false
	}
	t.session.engine.cfg.Metrics.Retries.Inc()
	return true
}

// logRetry says why a statement is tried once more.
func (t *try) logRetry(a cwstatement.Answer) {
	t.session.engine.cfg.Log.Info("statementRetried", "id", t.id, "group", t.group.Name(), "attempt", t.n,
		"code", a.Code, "why", a.Detail, "tried", t.tried)
}

// alone makes one attempt at a statement outside a transaction. The second
// result is true if it did not run, or only read, and may be tried again.
func (t *try) alone(w work) (cwstatement.Answer, bool) {
	l, a := t.borrow(t.needOf(w.writes))
	if l == nil {
		return a, false
	}
	w.command.Floor = l.place.Floor
	r := t.session.exchange(t, l, w)
	if r.err != nil {
		t.lost(l, r)
		if r.notSent || !w.writes {
			t.tried = append(t.tried, l.place.ID)
			return t.broken(r, w.writes && !r.notSent), true
		}
		return t.broken(r, true), false
	}
	t.note(l.place, r, w.writes && r.answer.Code == cwstatement.OK)
	l.release()
	if r.answer.Code != cwstatement.OK {
		return t.refused(l.place, r, w)
	}
	if !w.writes {
		t.served(l.place)
		return r.answer, false
	}
	return t.acknowledge(r.answer), false
}

// refused decides about an answer that is no success.
func (t *try) refused(place cwlead.Place, r sent, w work) (cwstatement.Answer, bool) {
	a := r.answer
	switch a.Code {
	case cwstatement.NotPrimary:
		t.group.NotPrimary(place.ID, r.at)
		return cwstatement.RetryLater(cwstatement.NotPrimary, "the primary is being replaced", unreachableRetry), true
	case cwstatement.Behind:
		t.tried = append(t.tried, place.ID)
		return cwstatement.RetryLater(cwstatement.Behind, "no member has the data yet", unreachableRetry), true
	case cwstatement.Busy:
		t.tried = append(t.tried, place.ID)
		return cwstatement.RetryLater(cwstatement.Busy, "the database is busy", place.Pool.Load().Latency), !w.writes
	case cwstatement.NotPrepared:
		return a, true
	case cwstatement.RunFailed, cwstatement.TimedOut, cwstatement.OtherCode:
		t.tried = append(t.tried, place.ID)
		return a, !w.writes
	}
	return a, false
}

// note takes what an answer tells about its target.
func (t *try) note(place cwlead.Place, r sent, led bool) {
	t.group.Saw(place.ID, r.answer.Mark, led && place.Primary, r.at)
}

// served notes whose word a read that ran rested on.
func (t *try) served(place cwlead.Place) {
	t.group.Served(t.id, place)
	t.session.engine.cfg.Metrics.served(place.Primary, string(place.Evidence.Basis), t.session.engine.cfg.Clock.Since(place.Evidence.Complete))
}

// lost closes a connection on which an answer did not come.
func (t *try) lost(l *loan, r sent) {
	l.discard()
	t.group.Suspect(l.place.ID)
	t.session.engine.cfg.Log.Info("answerLost", "id", t.id, "group", t.group.Name(), "target", l.place.ID, "notSent", r.notSent,
		"waitedMs", t.session.engine.cfg.Clock.Since(r.at).Milliseconds(), "cause", r.err)
}

// broken is the answer to a statement whose own answer did not come.
func (t *try) broken(r sent, mayHaveWritten bool) cwstatement.Answer {
	if mayHaveWritten {
		return cwstatement.Failure(cwstatement.Unresolved, "the database's answer was lost")
	}
	return cwstatement.RetryLater(cwstatement.Aborted, "the connection to the database broke", unreachableRetry)
}

// acknowledge waits until a commit may be answered with success.
func (t *try) acknowledge(a cwstatement.Answer) cwstatement.Answer {
	if a.Mark == (cwgroup.Mark{}) {
		return a
	}
	e := t.session.engine
	began := e.cfg.Clock.Now()
	outcome := t.group.Committed(a.Mark)
	e.cfg.Metrics.AckWait.Update(e.cfg.Clock.Since(began).Seconds())
	if outcome != cwack.Acknowledged {
		return cwstatement.Failure(cwstatement.Unresolved, "the write ran, but no second member is known to have it: "+outcome.String())
	}
	t.session.sawWrite(t.group.Name(), a.Mark)
	return a
}

// need says what a statement needs of the place where it runs.
type need uint8

const (
	// needAged is a read that the entry allows to see older data.
	needAged need = iota
	// needNewest is a read of all that was acknowledged. The primary serves it,
	// or, while there is none, another member that is known to have all of it.
	needNewest
	// needConfirmed is a transaction that may write and whose reads must see the
	// newest data.
	needConfirmed
	// needPrimary is a write.
	needPrimary
)

// needOf returns what a statement by itself needs.
func (t *try) needOf(writes bool) need {
	switch {
	case writes:
		return needPrimary
	case t.entry.Contract.Reads == cwcatalogue.ReadNewest:
		return needNewest
	}
	return needAged
}

// borrow finds where a statement runs, waits for its turn and borrows a
// connection there. The turn comes first: a statement that waits holds no connection. If
// there is none, the loan is nil and the answer says so; nothing has run.
func (t *try) borrow(n need) (*loan, cwstatement.Answer) {
	for {
		place, err := t.place(n)
		if err != nil {
			return nil, t.unplaced(err)
		}
		l, err := t.lend(place)
		if err == nil {
			return l, cwstatement.Answer{}
		}
		t.tried = append(t.tried, place.ID)
		if place.Primary && n != needAged || !t.another() {
			return nil, t.unplaced(err)
		}
	}
}

func (t *try) lend(place cwlead.Place) (*loan, error) {
	turn, err := place.Pool.Enter(t.limits.claim())
	if err != nil {
		return nil, err
	}
	c, err := place.Pool.Acquire(context.Background(), t.limits.offer, t.session.workspace, t.session.values)
	if err != nil {
		turn.Drop()
		return nil, err
	}
	return &loan{place: place, conn: c, turn: &turn}, nil
}

// place finds where a statement runs.
func (t *try) place(n need) (cwlead.Place, error) {
	ctx := context.Background()
	switch n {
	case needPrimary:
		return t.group.Primary()
	case needConfirmed:
		return t.group.Confirmed(ctx, t.began, t.limits.offer)
	case needNewest:
		place, err := t.group.Confirmed(ctx, t.began, t.limits.offer)
		var none *cwlead.NoPrimaryError
		if !errors.As(err, &none) {
			return place, err
		}
	}
	rd := t.session.read(t.entry, t.began)
	rd.Tried = t.tried
	return t.group.Replica(ctx, rd, t.limits.offer)
}

// unplaced is the answer to a statement that found no target. Nothing has run.
func (t *try) unplaced(err error) cwstatement.Answer {
	var none *cwlead.NoPrimaryError
	var full *cwtargets.FullError
	var refused *cwport.RefusedError
	switch {
	case errors.As(err, &none):
		t.silent = none.Silent
		return cwstatement.RetryLater(cwstatement.Aborted, err.Error(), none.RetryAfter)
	case errors.As(err, &full):
		return cwstatement.RetryLater(cwstatement.Busy, err.Error(), full.RetryAfter)
	case errors.As(err, &refused) && refused.Code == cwstatement.TooManyConnections:
		return cwstatement.RetryLater(cwstatement.TooManyConnections, "the database takes no more connections", unreachableRetry)
	}
	return cwstatement.RetryLater(cwstatement.Aborted, err.Error(), unreachableRetry)
}
