package cwserver

import (
	"context"
	"errors"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
	"cicadawalk.example/cicadawalk/internal/core/cwsession"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpgpool"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// Limits and codes of running a request.
const (
	// maxAttempts is how often a request is tried that certainly took no effect.
	maxAttempts = 4
	// retryAfter is the retry delay suggested to a client after a connection to a
	// target was lost.
	retryAfter = 200 * time.Millisecond
	// codeReadOnly is the SQLSTATE read_only_sql_transaction, with which a target
	// that is not the primary refuses a write.
	codeReadOnly = "25006"
)

// request is what is sent to a target at once: a simple query, or a batch of the
// extended protocol up to its Sync or Flush.
type request struct {
	// readOnly is true if nothing in the request can write.
	readOnly bool
	// begins is true if the request begins an explicit transaction.
	begins bool
	// mayCommit is true if the request may commit the transaction that it runs in.
	mayCommit bool
	// sync is false for a batch that was flushed before its Sync.
	// endsFlushedBatch is true for a request that brings the Sync of such a batch.
	// It is sent even in a failed transaction, because the target waits for the
	// Sync.
	sync, endsFlushedBatch bool
	// send queues the messages on the connection. It returns the responses that a
	// batch expects, and nil for a simple query.
	send func(c *cwpgpool.Conn) *responseQueue
	// onComplete, if not nil, is called after the response was relayed.
	onComplete func(c *cwpgpool.Conn, rep responseSummary)
	// digest returns the digest that ties the request to its request key. It is
	// called only for requests with a key.
	digest func() string
}

// noGroupRefusal refuses a statement while the client's group is not known.
func (s *session) noGroupRefusal() error {
	return cwrefusal.NotRun(cwrefusal.InvalidParameter, 0,
		"this service keeps its records in %d groups; set cicadawalk.shard to the key of the record's owner", len(s.entry.Groups)).
		WithHint("SET cicadawalk.shard = '...', or give it as a start-up parameter.")
}

// runRequest runs a request inside the open transaction or by itself. By itself
// it is retried, within the retry budget, if it certainly took no effect.
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

// attempt runs a request once. After an error, retry reports whether it may be
// run again: nothing of it took effect and no part of its response was sent to
// the client.
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
		// The member stopped being the primary after it was chosen, and refused
		// the request before anything ran. Requests that may commit are excluded,
		// because an earlier statement of theirs may have committed. The short
		// sleep gives the group's view time to learn of the change.
		s.output = s.output[:start]
		s.releaseConnection(r)
		endWrite()
		s.server.Clock.Sleep(10 * time.Millisecond)
		return true, cwrefusal.NotRun(cwrefusal.CannotConnectNow, retryAfter, "the primary is being replaced")
	}
	return false, s.finishRequest(r, req, rep, endWrite, start, flushed)
}

// unsentError reports that a request was certainly not sent to the target.
type unsentError struct{ cause error }

func (e *unsentError) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap returns the error that kept the request from being sent.
func (e *unsentError) Unwrap() error { return e.cause }

// exchange applies the session's settings to the connection of r, sends a
// request and relays the response. flushed reports whether a part of the response
// was sent to the client.
func (s *session) exchange(r route, req request) (responseSummary, bool, error) {
	s.setActiveLease(r.lease)
	if err := s.applySettings(r.lease.Conn); err != nil {
		return responseSummary{}, false, &unsentError{cause: err}
	}
	st := req.send(r.lease.Conn)
	_ = r.lease.Conn.SetWriteDeadline(r.deadline)
	if err := r.lease.Conn.Frontend.Flush(); err != nil {
		return responseSummary{}, false, &responseLostError{reason: "the connection to the database broke"}
	}
	rep, flushed, err := s.relayResponse(r, st, req.sync, !req.readOnly)
	if err == nil && req.onComplete != nil {
		req.onComplete(r.lease.Conn, rep)
	}
	return rep, flushed, err
}

// applySettings makes the settings of a connection equal to the session's.
func (s *session) applySettings(c *cwpgpool.Conn) error {
	diff := s.settings.diff(c.Settings)
	if diff == "" {
		return nil
	}
	_, err := c.Exec(diff)
	return err
}

// finishRequest completes a request whose response was read. If the request
// opened a transaction, or was flushed before its Sync, the connection is kept
// for it. Otherwise the connection goes back to the pool, and a write waits for
// its acknowledgement by a majority.
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

// releaseConnection returns a connection to the pool, after its response was read
// to the end.
func (s *session) releaseConnection(r route) {
	s.setActiveLease(nil)
	r.lease.Release(true)
}

// awaitAcknowledgement waits until a majority of the group's members has the log
// up to m, where a commit ended. Until then no message that reports success of
// the write may be sent to the client. For the zero position, when nothing was
// written, it returns at once.
func (s *session) awaitAcknowledgement(m cwgroup.LogPosition) error {
	if m == (cwgroup.LogPosition{}) {
		return nil
	}
	began := s.server.Clock.Now()
	outcome := s.group.AwaitMajority(s.server.statements, m)
	s.server.Metrics.AckWait.Update(s.server.Clock.Since(began).Seconds())
	if outcome != cwack.Acknowledged {
		return cwrefusal.Unknown("the write ran at the primary, but it is not known to be kept: %s", outcome)
	}
	s.server.Metrics.Writes.Inc()
	s.recordPosition(m)
	return nil
}

// acquireConnection selects the member that a request runs on, the primary unless
// read is set, and borrows a connection to it. A write is counted as in progress
// until the returned function is called.
func (s *session) acquireConnection(read bool, deadline time.Time) (route, func(), error) {
	r := route{deadline: deadline}
	endWrite := func() {}
	ctx := s.server.statements
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
		r.member, r.primary, r.term = p.Member, true, p.AdoptedTerm
		endWrite = s.group.BeginWrite()
	}
	pool, ok := s.server.Proxy.Pool(r.member)
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

// selectReadMember selects a member for a read whose data is at least as recent as
// the session's floor. If the session has no floor for the group and the router
// needs one, it is read from the primary.
func (s *session) selectReadMember(ctx context.Context, deadline time.Time) (cwroute.Decision, error) {
	if err := s.checkFloor(ctx); err != nil {
		return cwroute.Decision{}, err
	}
	rd := cwroute.Read{MaxAge: s.proxySettings.maxAge}
	for {
		rd.Floor = s.floor()
		d, err := s.group.PlaceRead(ctx, rd, deadline)
		if err != nil || d.Action != cwroute.AskPrimary {
			return d, err
		}
		position, err := s.group.PrimaryPosition(ctx)
		if err != nil {
			return d, err
		}
		if s.primaryPositions == nil {
			s.primaryPositions = make(map[string]cwgroup.LogPosition)
		}
		s.primaryPositions[s.group.Name()] = position
		rd.PrimaryConfirmed = true
	}
}

// floor returns the log position that a read must at least see: the one in the
// session token, or else the primary's position that was read after the client
// connected, if any.
func (s *session) floor() cwsession.Floor {
	f := cwsession.FloorOf(s.token, s.group.Name())
	if f.Known {
		return f
	}
	position, ok := s.primaryPositions[s.group.Name()]
	return cwsession.Floor{Position: position, Known: ok}
}

// checkFloor compares a floor that came from the client's token with the
// primary's log position, once for each group. A floor beyond everything that the
// group has written would never be reached, so the token is refused instead of
// waiting for it.
func (s *session) checkFloor(ctx context.Context) error {
	name := s.group.Name()
	f := cwsession.FloorOf(s.token, name)
	if !f.Known || s.checkedFloors[name] {
		return nil
	}
	p, ok := s.group.View().Primary()
	if !ok || !p.Durable.AtLeast(f.Position) {
		position, err := s.group.PrimaryPosition(ctx)
		if err != nil {
			// Without a primary the floor stays unchecked. Routing the read
			// bounds the wait for it.
			return nil
		}
		if err := f.CheckPrimary(position); err != nil {
			return invalidSetting(tokenParameter, "", err.Error())
		}
	}
	if s.checkedFloors == nil {
		s.checkedFloors = make(map[string]bool)
	}
	s.checkedFloors[name] = true
	return nil
}
