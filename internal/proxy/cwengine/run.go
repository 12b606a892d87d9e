package cwengine

import (
	"context"
	"errors"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwleadership"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/proxy/cwtargetpool"
)

// Limits of running a statement.
const (
	// maxAttempts limits the attempts at a statement that did not run: one at each
	// member of a group of three, and one more at the first of them.
	maxAttempts = 4
	// defaultTimeout and defaultAim apply to entries that set none.
	defaultTimeout = 2 * time.Second
	defaultAim     = 500 * time.Millisecond
	// suspectAfter is how long a target may leave a statement unanswered before it
	// is probed on a new connection. Even a target with a full queue answers
	// sooner.
	suspectAfter = 250 * time.Millisecond
	// unreachableRetryAfter is the retry delay for callers whose target accepts no
	// connection: the time until that is noticed and another target is found.
	unreachableRetryAfter = 300 * time.Millisecond
)

// limits are the deadlines and the priority of one statement.
type limits struct {
	// startBy is the time by which a target must have started the statement, and
	// deadline the time by which it must be over.
	startBy, deadline time.Time
	// due is the time by which the caller wants the whole operation to be done.
	due      time.Time
	priority int
}

func (l limits) urgency(workspace string) cwtargetpool.Urgency {
	return cwtargetpool.Urgency{Deadline: l.startBy, Priority: l.priority, Due: l.due, Workspace: workspace}
}

// newLimits returns the limits of a statement that arrived at began.
func newLimits(c cwcatalogue.Contract, began time.Time) limits {
	aim, timeout := c.Aim, c.StatementTimeout
	if aim == 0 {
		aim = defaultAim
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return limits{
		startBy: began.Add(min(aim, timeout)), deadline: began.Add(timeout),
		due: began.Add(aim), priority: c.Priority,
	}
}

// runSingle runs a statement outside a transaction, at a holder or here.
func (s *session) runSingle(st cwstatement.Statement, began time.Time) cwstatement.Response {
	entry, ok := s.resolveEntry()
	if !ok {
		return noDatabase(s.database)
	}
	w, refusal := s.newWork(st)
	if refusal.Code != cwstatement.OK {
		return refusal
	}
	var result forwardResult
	if s.forwarded == nil {
		if result = s.forwardSingle(entry, st, w.writes, began); result.final {
			return result.answer
		}
	}
	group, ok := s.localGroup(entry)
	if !ok {
		return noDatabase(s.database)
	}
	t := &task{session: s, id: st.ID, entry: entry, group: group, limits: newLimits(entry.Contract, began), began: began}
	a := s.runLocal(t, w)
	if !a.Code.NoEffect() {
		return a
	}
	if result.holderUnavailable || group.MajorityUnreachable() {
		group.RecordUnserved()
		return a
	}
	if t.primarySilent && s.forwarded == nil {
		if retried := s.forwardSingle(entry, st, w.writes, began, s.engine.cfg.Name); retried.final {
			return retried.answer
		}
	}
	return a
}

// runLocal runs a statement outside a transaction on this instance, with retries.
func (s *session) runLocal(t *task, w work) cwstatement.Response {
	for {
		a, again := t.attempt(w)
		if !again || !t.nextAttempt() {
			return a.WithState(cwstatement.Idle)
		}
		t.logRetry(a)
	}
}

// task is the execution of one statement on this instance, with its retries.
type task struct {
	session *session
	// id is the caller's identifier of the statement, for logs.
	id       string
	entry    cwcatalogue.Entry
	group    *cwleadership.Group
	limits   limits
	began    time.Time
	tried    []cwgroup.MemberID
	attempts int
	// primarySilent is true if nothing ran because the primary does not answer this
	// instance.
	primarySilent bool
}

// nextAttempt counts an attempt and reports whether another one may follow.
func (t *task) nextAttempt() bool {
	t.attempts++
	if t.attempts >= maxAttempts || !t.session.engine.cfg.Clock.Now().Before(t.limits.startBy) {
		return false
	}
	t.session.engine.cfg.Metrics.Retries.Inc()
	return true
}

// logRetry logs why a statement is retried.
func (t *task) logRetry(a cwstatement.Response) {
	t.session.engine.cfg.Log.Info("statementRetried", "id", t.id, "group", t.group.Name(), "attempt", t.attempts,
		"code", a.Code, "why", a.Detail, "tried", t.tried)
}

// attempt makes one attempt at a statement outside a transaction. The second result is
// true if the statement did not run, or only read, and may be retried.
func (t *task) attempt(w work) (cwstatement.Response, bool) {
	l, a := t.acquire(t.requirementOf(w.writes))
	if l == nil {
		return a, false
	}
	w.command.Floor = l.place.Floor
	r := t.session.exchange(t, l, w)
	if r.err != nil {
		t.handleLostAnswer(l, r)
		if r.notSent || !w.writes {
			t.tried = append(t.tried, l.place.ID)
			return t.connectionLost(r, w.writes && !r.notSent), true
		}
		return t.connectionLost(r, true), false
	}
	t.recordAnswer(l.place, r, w.writes && r.answer.Code == cwstatement.OK)
	l.release()
	if r.answer.Code != cwstatement.OK {
		return t.handleRefusal(l.place, r, w)
	}
	if !w.writes {
		t.recordRead(l.place)
		return r.answer, false
	}
	return t.awaitAcknowledgement(r.answer), false
}

// handleRefusal converts an answer that is no success to the caller's answer. The
// second result is true if the statement may be retried.
func (t *task) handleRefusal(place cwleadership.Placement, r exchangeResult, w work) (cwstatement.Response, bool) {
	a := r.answer
	switch a.Code {
	case cwstatement.NotPrimary:
		t.group.RecordNotPrimary(place.ID, r.sentAt)
		return cwstatement.RetryLater(cwstatement.NotPrimary, "the primary is being replaced", unreachableRetryAfter), true
	case cwstatement.Behind:
		t.session.engine.cfg.Metrics.Behind.Inc()
		t.tried = append(t.tried, place.ID)
		return cwstatement.RetryLater(cwstatement.Behind, "no member has the data yet", unreachableRetryAfter), true
	case cwstatement.Busy:
		t.tried = append(t.tried, place.ID)
		return cwstatement.RetryLater(cwstatement.Busy, "the database is busy", place.Pool.Load().Latency), !w.writes
	case cwstatement.NotPrepared:
		return a, true
	case cwstatement.RunFailed, cwstatement.TimedOut, cwstatement.UnrecognisedCode:
		t.tried = append(t.tried, place.ID)
		return a, !w.writes
	}
	return a, false
}

// recordAnswer records what an answer shows about the state of its target. led is true
// if only a primary gives such an answer.
func (t *task) recordAnswer(place cwleadership.Placement, r exchangeResult, led bool) {
	t.group.ObservePosition(place.ID, r.answer.LogEnd, led && place.Primary, r.sentAt)
	t.group.ObserveFloor(place, r.answer, r.sentAt)
}

// recordRead records the evidence on which a successful read was placed.
func (t *task) recordRead(place cwleadership.Placement) {
	t.group.LogRead(t.id, place)
	t.session.engine.cfg.Metrics.countRead(place.Primary, string(place.Evidence.Basis), t.session.engine.cfg.Clock.Since(place.Evidence.CompleteAt))
	if place.Held > 0 {
		t.session.engine.cfg.Metrics.ReadHold.Update(place.Held.Seconds())
	}
}

// handleLostAnswer closes a connection on which an answer did not come and probes the
// target.
func (t *task) handleLostAnswer(l *connLease, r exchangeResult) {
	l.discard()
	t.group.Probe(l.place.ID)
	t.session.engine.cfg.Log.Info("answerLost", "id", t.id, "group", t.group.Name(), "target", l.place.ID, "notSent", r.notSent,
		"waitedMs", t.session.engine.cfg.Clock.Since(r.sentAt).Milliseconds(), "cause", r.err)
}

// connectionLost returns the caller's answer to a statement whose answer from the
// target did not come.
func (t *task) connectionLost(r exchangeResult, mayHaveWritten bool) cwstatement.Response {
	if mayHaveWritten {
		return cwstatement.Failure(cwstatement.Unresolved, "the database's answer was lost")
	}
	return cwstatement.RetryLater(cwstatement.Aborted, "the connection to the database broke", unreachableRetryAfter)
}

// awaitAcknowledgement waits until a commit may be reported as successful. Its outcome
// is unresolved if no second member confirms the write.
func (t *task) awaitAcknowledgement(a cwstatement.Response) cwstatement.Response {
	if a.LogEnd == (cwgroup.LogPosition{}) {
		return a
	}
	e := t.session.engine
	began := e.cfg.Clock.Now()
	outcome := t.group.AwaitAck(a.LogEnd)
	e.cfg.Metrics.AckWait.Update(e.cfg.Clock.Since(began).Seconds())
	if outcome != cwack.Acknowledged {
		return cwstatement.Failure(cwstatement.Unresolved, "the write ran, but no second member is known to have it: "+outcome.String())
	}
	t.session.recordWrite(t.group.Name(), a.LogEnd)
	return a
}

// requirement is what a statement requires of the member on which it runs.
type requirement uint8

const (
	// requireAged is for reads that may see older data according to their entry.
	requireAged requirement = iota
	// requireNewest is for reads that must see everything that was acknowledged. The
	// primary serves them or, while there is none, another member that is known to
	// have all of it.
	requireNewest
	// requireConfirmedPrimary is for transactions that may write and whose reads must
	// see the newest data.
	requireConfirmedPrimary
	// requirePrimary is for writes.
	requirePrimary
)

// requirementOf returns the requirement of a statement outside a transaction.
func (t *task) requirementOf(writes bool) requirement {
	switch {
	case writes:
		return requirePrimary
	case t.entry.Contract.Reads == cwcatalogue.ReadLatest:
		return requireNewest
	}
	return requireAged
}

// acquire chooses a member for a statement, waits for the statement's turn there and
// leases a connection. The turn comes first, so that a waiting statement holds no
// connection. If this fails, the lease is nil and the answer is the caller's; nothing
// has run.
func (t *task) acquire(n requirement) (*connLease, cwstatement.Response) {
	for {
		place, err := t.place(n)
		if err != nil {
			return nil, t.placementFailure(err)
		}
		l, err := t.acquireAt(place)
		if err == nil {
			return l, cwstatement.Response{}
		}
		t.tried = append(t.tried, place.ID)
		if place.Primary && n != requireAged || !t.nextAttempt() {
			return nil, t.placementFailure(err)
		}
	}
}

// acquireAt waits for the statement's turn at a member and leases a connection to it.
func (t *task) acquireAt(place cwleadership.Placement) (*connLease, error) {
	turn, err := place.Pool.Admit(t.limits.urgency(t.session.workspace))
	if err != nil {
		return nil, err
	}
	c, err := place.Pool.Acquire(context.Background(), t.limits.startBy, t.session.workspace, t.session.settings)
	if err != nil {
		turn.DoneUnmeasured()
		return nil, err
	}
	return &connLease{place: place, conn: c, turn: &turn}, nil
}

// place chooses the member on which a statement runs.
func (t *task) place(n requirement) (cwleadership.Placement, error) {
	ctx := context.Background()
	switch n {
	case requirePrimary:
		return t.group.Primary()
	case requireConfirmedPrimary:
		return t.group.ConfirmedPrimary(ctx, t.began, t.limits.startBy)
	case requireNewest:
		place, err := t.group.ConfirmedPrimary(ctx, t.began, t.limits.startBy)
		var none *cwleadership.NoPrimaryError
		if !errors.As(err, &none) {
			return place, err
		}
	}
	rd := t.session.readRequirement(t.entry, t.began)
	rd.RefusedBy = t.tried
	return t.group.PlaceRead(ctx, rd, t.limits.startBy)
}

// placementFailure returns the caller's answer to a statement for which no target was
// available. Nothing has run.
func (t *task) placementFailure(err error) cwstatement.Response {
	var none *cwleadership.NoPrimaryError
	var full *cwtargetpool.OverloadedError
	var refused *cwport.RefusedError
	switch {
	case errors.As(err, &none):
		t.primarySilent = none.MayServeElsewhere
		return cwstatement.RetryLater(cwstatement.Aborted, err.Error(), none.RetryAfter)
	case errors.As(err, &full):
		t.session.engine.cfg.Metrics.countAdmissionRefused(t.limits.priority)
		return cwstatement.RetryLater(cwstatement.Busy, err.Error(), full.RetryAfter)
	case errors.As(err, &refused) && refused.Code == cwstatement.TooManyConnections:
		return cwstatement.RetryLater(cwstatement.TooManyConnections, "the database takes no more connections", unreachableRetryAfter)
	}
	return cwstatement.RetryLater(cwstatement.Aborted, err.Error(), unreachableRetryAfter)
}
