package cwfront

import (
	"context"
	"errors"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
	"cicadawalk.example/cicadawalk/internal/core/cwsession"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpool"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// Limits of running a unit.
const (
	// maxAttempts bounds how often a unit that certainly did not run is tried.
	maxAttempts = 4
	// retryAfter is what a caller is told after a connection was lost.
	retryAfter = 200 * time.Millisecond
	// codeReadOnly is how a target refuses a write that it may not take.
	codeReadOnly = "25006"
)

// request is what is sent to a target at once: a simple query, or a batch of the
// extended protocol.
type request struct {
	// readOnly is true if nothing in the unit can write.
	readOnly bool
	// begins is true if the unit begins a transaction.
	begins bool
	// mayCommit is true if the unit may commit the transaction it runs in.
	mayCommit bool
	// sync is false for a batch that was flushed before its end. endsFlushedBatch is true
	// for the end of such a batch: the target must hear of it in any case.
	sync, endsFlushedBatch bool
	// steps returns what to expect for a batch, and nil for a simple query. It
	// queues the messages at the connection.
	send func(c *cwpool.Conn) *responseQueue
	// onComplete is called with the connection after the answer was passed on.
	onComplete func(c *cwpool.Conn, rep responseSummary)
	// digest names the unit for its request key. It is worked out only for a
	// unit that has one.
	digest func() string
}

// noGroupRefusal is the refusal of a statement whose group is not known.
func (s *session) noGroupRefusal() error {
	return cwrefusal.NotRun(cwrefusal.InvalidParameter, 0,
		"this service keeps its records in %d groups; set cicadawalk.shard to the key of the record's owner", len(s.entry.Groups)).
		WithHint("SET cicadawalk.shard = '...', or give it as a start-up parameter.")
}

// runRequest runs a unit inside the transaction or by itself.
func (s *session) runRequest(req request) {
	s.server.Metrics.Statements.Inc()
	s.server.retryBudget.earn()
	if s.tx != nil {
		s.runInTransaction(req)
		return
	}
	if err := s.refreshEntry(); err != nil {
		s.failStatement(err)
		return
	}
	if s.group == nil {
		s.failStatement(s.noGroupRefusal())
		return
	}
	if s.proxySettings.requestKey != "" && !req.readOnly {
		s.runKeyedRequest(req)
		return
	}
	deadline := s.server.Clock.Now().Add(s.entry.Contract.StatementTimeout)
	for attempt := 1; ; attempt++ {
		retry, err := s.attempt(req, deadline)
		if err == nil {
			return
		}
		if !retry || attempt == maxAttempts || !s.server.Clock.Now().Before(deadline) || !s.server.retryBudget.spend() {
			s.failStatement(err)
			return
		}
		s.server.Metrics.Retries.Inc()
	}
}

// attempt runs a unit once. If it failed, again says whether it may be tried
// anew: nothing of it took effect, and nothing of its answer went out.
func (s *session) attempt(req request, deadline time.Time) (retry bool, err error) {
	r, endWrite, err := s.acquireConnection(req.readOnly, deadline)
	if err != nil {
		return false, err
	}
	start := len(s.output)
	rep, flushed, err := s.exchange(r, req)
	if err != nil {
		s.setActiveLease(nil)
		r.lease.Discard()
		endWrite()
		if errors.Is(err, errClientGone) {
			return false, err
		}
		var unsent *unsentError
		retry = !flushed && (req.readOnly || errors.As(err, &unsent))
		s.discardOutput(start, flushed)
		if code := cwtarget.ServerCode(err); code != "" {
			return false, cwrefusal.NotRun(cwrefusal.Code(code), 0, "the database refused the session's settings: %v", err)
		}
		if errors.As(err, &unsent) {
			return retry, cwrefusal.NotRun(cwrefusal.CannotConnectNow, retryAfter, "the connection to the database broke before the statement was sent")
		}
		return retry, lostRefusal(err, !req.readOnly)
	}
	if rep.errorCode == codeReadOnly && rep.txStatus == 'I' && !flushed && !req.readOnly && !req.mayCommit && !s.defaultReadOnly() {
		// The member stopped leading after it was chosen, and said so before
		// anything ran, unless an earlier statement of the unit had committed.
		// The view knows a moment later.
		s.output = s.output[:start]
		s.releaseConnection(r)
		endWrite()
		s.server.Clock.Sleep(10 * time.Millisecond)
		return true, cwrefusal.NotRun(cwrefusal.CannotConnectNow, retryAfter, "the primary is being replaced")
	}
	return false, s.finishRequest(r, req, rep, endWrite, start, flushed)
}

// unsentError says that a unit certainly did not reach the target.
type unsentError struct{ cause error }

func (e *unsentError) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *unsentError) Unwrap() error { return e.cause }

// exchange sends a unit and passes its answer on.
func (s *session) exchange(r route, req request) (responseSummary, bool, error) {
	s.setActiveLease(r.lease)
	if err := s.applySettings(r.lease.Conn); err != nil {
		return responseSummary{}, false, &unsentError{cause: err}
	}
	st := req.send(r.lease.Conn)
	_ = r.lease.Conn.SetWriteDeadline(r.deadline)
	if err := r.lease.Conn.Front.Flush(); err != nil {
		return responseSummary{}, false, &responseLostError{reason: "the connection to the database broke"}
	}
	rep, flushed, err := s.relayResponse(r, st, req.sync, !req.readOnly)
	if err == nil && req.onComplete != nil {
		req.onComplete(r.lease.Conn, rep)
	}
	return rep, flushed, err
}

func (s *session) applySettings(c *cwpool.Conn) error {
	diff := s.settings.diff(c.Applied)
	if diff == "" {
		return nil
	}
	_, err := c.Exec(diff)
	return err
}

// finishRequest ends a unit whose answer was read: a transaction that it opened is
// kept, a write waits for its majority, and the connection goes back.
func (s *session) finishRequest(r route, req request, rep responseSummary, endWrite func(), start int, flushed bool) error {
	if rep.txStatus != 'I' && req.sync {
		s.tx = &transaction{
			lease:           r.lease,
			member:          r.member,
			term:            r.term,
			primary:         r.primary,
			endWrite:        endWrite,
			txStatus:        rep.txStatus,
			pendingSettings: s.settings,
		}
		return nil
	}
	if !req.sync {
		s.batch.holdConnection(r, endWrite, rep)
		return nil
	}
	s.releaseConnection(r)
	err := s.awaitAcknowledgement(rep.position)
	endWrite()
	if err != nil {
		s.discardOutput(start, flushed)
	}
	return err
}

// releaseConnection returns a connection whose answer was read to the end.
func (s *session) releaseConnection(r route) {
	s.setActiveLease(nil)
	r.lease.Release(true)
}

// awaitAcknowledgement waits until a majority has what was committed. Nothing that says
// that the write succeeded goes to the caller before.
func (s *session) awaitAcknowledgement(m cwgroup.Mark) error {
	if m == (cwgroup.Mark{}) {
		return nil
	}
	began := s.server.Clock.Now()
	outcome := s.group.AwaitMajority(m)
	s.server.Metrics.AckWait.Update(s.server.Clock.Since(began).Seconds())
	if outcome != cwack.Acknowledged {
		return cwrefusal.Unknown("the write ran at the primary, but it is not known to be kept: %s", outcome)
	}
	s.server.Metrics.Writes.Inc()
	s.recordWrite(m)
	return nil
}

// acquireConnection finds where a unit runs and borrows a connection there.
func (s *session) acquireConnection(read bool, deadline time.Time) (route, func(), error) {
	r := route{deadline: deadline}
	endWrite := func() {}
	ctx := context.Background()
	if read {
		d, err := s.selectReadMember(ctx, deadline)
		if err != nil {
			return r, nil, err
		}
		r.member = d.Member
		if d.Replica {
			s.server.Metrics.ReplicaReads.Inc()
		} else {
			s.server.Metrics.PrimaryReads.Inc()
		}
	} else {
		p, err := s.group.Primary(ctx, deadline)
		if err != nil {
			return r, nil, err
		}
		r.member, r.primary, r.term = p.Member, true, p.Adopted
		endWrite = s.group.BeginWrite()
	}
	pool, ok := s.server.Services.Pool(r.member)
	if !ok {
		endWrite()
		return r, nil, cwrefusal.NotRun(cwrefusal.CannotConnectNow, time.Second, "the database is being set up at this proxy")
	}
	lease, err := pool.Acquire(ctx, deadline)
	if err != nil {
		endWrite()
		return r, nil, err
	}
	r.lease = lease
	return r, endWrite, nil
}

// selectReadMember finds the member for a read: one that has the session's floor.
func (s *session) selectReadMember(ctx context.Context, deadline time.Time) (cwroute.Decision, error) {
	if err := s.checkFloor(ctx); err != nil {
		return cwroute.Decision{}, err
	}
	rd := cwroute.Read{MaxAge: s.proxySettings.maxAge}
	for {
		rd.Floor = s.floor()
		d, err := s.group.PlaceRead(ctx, rd, deadline)
		if err != nil || d.Kind != cwroute.AskPrimary {
			return d, err
		}
		mark, err := s.group.Tip(ctx)
		if err != nil {
			return d, err
		}
		if s.primaryPositions == nil {
			s.primaryPositions = make(map[string]cwgroup.Mark)
		}
		s.primaryPositions[s.group.Name()] = mark
		rd.Confirmed = true
	}
}

func (s *session) floor() cwsession.Floor {
	f := cwsession.FloorOf(s.token, s.group.Name())
	if f.Known {
		return f
	}
	mark, ok := s.primaryPositions[s.group.Name()]
	return cwsession.Floor{Mark: mark, Known: ok}
}

// checkFloor compares a floor that came from outside with the primary, once. A
// floor beyond everything the group has written would never be reached, and
// nobody waits for it.
func (s *session) checkFloor(ctx context.Context) error {
	name := s.group.Name()
	f := cwsession.FloorOf(s.token, name)
	if !f.Known || s.checkedFloors[name] {
		return nil
	}
	p, ok := s.group.View().Primary()
	if !ok || !p.Last.AtLeast(f.Mark) {
		tip, err := s.group.Tip(ctx)
		if err != nil {
			// Without a primary the floor stays unchecked; placing the read
			// bounds the wait.
			return nil
		}
		if err := f.CheckTip(tip); err != nil {
			return invalidSetting(tokenParameter, "", err.Error())
		}
	}
	if s.checkedFloors == nil {
		s.checkedFloors = make(map[string]bool)
	}
	s.checkedFloors[name] = true
	return nil
}
