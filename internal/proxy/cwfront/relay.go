package cwfront

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpool"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// Times and sizes of passing an answer back.
const (
	// readPollInterval is how long a read from a target may block before the state of the
	// target is looked at.
	readPollInterval = 250 * time.Millisecond
	// maxSilence is how long a target may bring nothing before it is asked, over
	// another connection, what it is doing for this one.
	maxSilence = time.Second
	// minTransferRate is the rate at which a statement reaches its target at the least, in
	// bytes a second. Until then the target is not busy for the connection.
	minTransferRate = 256 << 10
	// activityTimeout bounds that question.
	activityTimeout = 400 * time.Millisecond
	// streamThreshold is the size at which an answer is passed on before it is whole.
	streamThreshold = 16 << 10
	// heldResponseLimit is the same for an answer that is held until the write is
	// acknowledged; what says that it succeeded comes after.
	heldResponseLimit = 8 << 20
)

// responseLostError says why a target's answer will not come.
type responseLostError struct{ reason string }

func (e *responseLostError) Error() string { return e.reason }

// route is where a unit of work runs.
type route struct {
	lease  *cwpool.Lease
	member cwgroup.MemberID
	// primary is true if the member leads the term; then an answer is held
	// until what was written is acknowledged.
	primary  bool
	term     cwgroup.Term
	deadline time.Time
}

// responseSummary is what is known of an answer once it was passed on.
type responseSummary struct {
	// txStatus is the transaction txStatus of ReadyForQuery, zero if the relay
	// ended before it.
	txStatus byte
	// position is where the primary's log ended after a commit, zero if nothing was
	// committed.
	position cwgroup.Mark
	// errorCode is the SQLSTATE of the first error, if any.
	errorCode string
	// commandTag is the last command commandTag.
	commandTag string
}

// relayResponse passes one answer from a target to the caller: up to ReadyForQuery, or,
// if steps is given and sync is false, until the steps are done. It returns an
// error if the connection to the target is of no more use.
//
// Unless hold is set the answer is flushed as it grows; flushed reports whether
// anything went out.
func (s *session) relayResponse(r route, st *responseQueue, sync, hold bool) (rep responseSummary, flushed bool, err error) {
	limit := streamThreshold
	if hold {
		limit = heldResponseLimit
	}
	w := watchdog{s: s, route: r, lastActivity: s.server.Clock.Now(), silenceLimit: maxSilence + transferTime(r.lease.Conn.TakeSent())}
	w.setReadDeadline()
	defer w.clearReadDeadline()
	for {
		if st != nil {
			s.output = st.appendLocal(s.output)
			if !sync && st.empty() {
				return rep, flushed, nil
			}
		}
		msg, err := w.receive()
		if err != nil {
			return rep, flushed, err
		}
		switch m := msg.(type) {
		case *pgproto3.ReadyForQuery:
			rep.txStatus = m.TxStatus
			return rep, flushed, nil
		case *pgproto3.ParameterStatus:
			if m.Name == cwtarget.PositionParameter {
				if rep.position, err = cwgroup.ParseMark(m.Value); err != nil {
					return rep, flushed, &responseLostError{reason: "the target reported a malformed position"}
				}
				continue
			}
			s.send(m)
			continue
		case *pgproto3.NotificationResponse:
			continue
		case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
			return rep, flushed, &responseLostError{reason: "the target began a COPY"}
		case *pgproto3.ErrorResponse:
			if cwtarget.EndsConnection(m) {
				// The database ends its sessions, for instance since it was put
				// out of charge. That is no answer to the caller's statement.
				return rep, flushed, &responseLostError{reason: "the database ended the connection"}
			}
			if rep.errorCode == "" {
				rep.errorCode = m.Code
			}
			if st != nil {
				st.abort()
				if !sync {
					s.send(m)
					return rep, flushed, nil
				}
			}
		case *pgproto3.CommandComplete:
			rep.commandTag = string(m.CommandTag)
		}
		if st != nil && !st.forwards(msg) {
			continue
		}
		s.send(msg)
		if _, row := msg.(*pgproto3.DataRow); row && len(s.output) > limit {
			// Only rows are passed on early, never what says that a write
			// succeeded: that waits for its majority.
			flushed = true
			if err := s.flush(); err != nil {
				return rep, flushed, errClientGone
			}
		}
	}
}

// clientGoneError means that the answer cannot be delivered.
type clientGoneError struct{}

func (clientGoneError) Error() string { return "the caller is gone" }

var errClientGone = clientGoneError{}

// watchdog reads from a target and gives up where no answer will come.
type watchdog struct {
	s             *session
	route         route
	lastActivity  time.Time
	deadlineSetAt time.Time
	// silenceLimit is how long the target may bring nothing before it is asked.
	silenceLimit time.Duration
	// reportedIdle is true once the target said that it is not busy for this
	// connection.
	reportedIdle bool
}

// transferTime returns how long a statement may be on its way.
func transferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / minTransferRate
}

func (w *watchdog) setReadDeadline() {
	w.deadlineSetAt = time.Now()
	_ = w.route.lease.Conn.SetReadDeadline(w.deadlineSetAt.Add(readPollInterval))
}

func (w *watchdog) clearReadDeadline() {
	_ = w.route.lease.Conn.SetReadDeadline(time.Time{})
}

func (w *watchdog) receive() (pgproto3.BackendMessage, error) {
	for {
		msg, err := w.route.lease.Conn.Front.Receive()
		if err == nil {
			w.reportedIdle = false
			return msg, nil
		}
		if !cwpool.IsTimeout(err) {
			return nil, &responseLostError{reason: "the connection to the database broke"}
		}
		if err := w.checkTarget(); err != nil {
			return nil, err
		}
		w.setReadDeadline()
	}
}

// checkTarget decides whether to go on waiting.
//
// Failures it guards against: the primary was replaced while it held the
// answer; the statement ran out of time; the connection went silent because
// something in between lost track of it, which shows as nothing at all while
// new connections work. A long statement looks the same from here, so the
// target is asked over its control connection whether it is busy for this one.
func (w *watchdog) checkTarget() error {
	now := w.s.server.Clock.Now()
	if w.route.primary && !w.s.group.StillLeads(w.route.term) {
		return &responseLostError{reason: "the primary was replaced"}
	}
	if now.After(w.route.deadline) {
		return &responseLostError{reason: "the statement ran out of time"}
	}
	if now.Sub(w.lastActivity) < w.silenceLimit {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), activityTimeout)
	defer cancel()
	state, err := w.s.group.Activity(ctx, w.route.member, w.route.lease.Conn.PID)
	switch {
	case err != nil && w.s.group.Reachable(w.route.member):
		return nil
	case err != nil:
		return &responseLostError{reason: "the database does not answer"}
	case state == "active":
		w.lastActivity, w.reportedIdle = now, false
		return nil
	case !w.reportedIdle:
		// The answer may have been on its way while the question was asked.
		w.reportedIdle = true
		return nil
	}
	return &responseLostError{reason: "the connection to the database went silent"}
}

// lostRefusal makes the refusal for an answer that will not come. The statement was
// sent. A read took no effect in any case.
func lostRefusal(err error, write bool) error {
	var l *responseLostError
	reason := "the connection to the database broke"
	if errors.As(err, &l) {
		reason = l.reason
	}
	if write {
		return cwrefusal.Unknown("%s before the outcome was known", reason)
	}
	return cwrefusal.NotRun(cwrefusal.SerializationFailure, retryAfter, "%s; nothing was changed", reason)
}
