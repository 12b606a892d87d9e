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
	// slice is how long a read from a target may block before the state of the
	// target is looked at.
	slice = 250 * time.Millisecond
	// quietLimit is how long a target may bring nothing before it is asked, over
	// another connection, what it is doing for this one.
	quietLimit = time.Second
	// slowestPath is the rate at which a statement reaches its target at the least, in
	// bytes a second. Until then the target is not busy for the connection.
	slowestPath = 256 << 10
	// activityTimeout bounds that question.
	activityTimeout = 400 * time.Millisecond
	// streamAt is the size at which an answer is passed on before it is whole.
	streamAt = 16 << 10
	// holdAt is the same for an answer that is held until the write is
	// acknowledged; what says that it succeeded comes after.
	holdAt = 8 << 20
)

// lostError says why a target's answer will not come.
type lostError struct{ why string }

func (e *lostError) Error() string { return e.why }

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

// reply is what is known of an answer once it was passed on.
type reply struct {
	// status is the transaction status of ReadyForQuery, zero if the relay
	// ended before it.
	status byte
	// mark is where the primary's log ended after a commit, zero if nothing was
	// committed.
	mark cwgroup.LogPosition
	// code is the SQLSTATE of the first error, if any.
	code string
	// tag is the last command tag.
	tag string
}

// relay passes one answer from a target to the caller: up to ReadyForQuery, or,
// if steps is given and sync is false, until the steps are done. It returns an
// error if the connection to the target is of no more use.
//
// Unless hold is set the answer is flushed as it grows; flushed reports whether
// anything went out.
func (s *session) relay(r route, st *steps, sync, hold bool) (rep reply, flushed bool, err error) {
	limit := streamAt
	if hold {
		limit = holdAt
	}
	w := watchdog{s: s, route: r, heard: s.server.Clock.Now(), quiet: quietLimit + travel(r.lease.Conn.TakeSent())}
	w.arm()
	defer w.disarm()
	for {
		if st != nil {
			s.out = st.synthesized(s.out)
			if !sync && st.done() {
				return rep, flushed, nil
			}
		}
		msg, err := w.receive()
		if err != nil {
			return rep, flushed, err
		}
		switch m := msg.(type) {
		case *pgproto3.ReadyForQuery:
			rep.status = m.TxStatus
			return rep, flushed, nil
		case *pgproto3.ParameterStatus:
			if m.Name == cwtarget.PositionParameter {
				if rep.mark, err = cwgroup.ParseLogPosition(m.Value); err != nil {
					return rep, flushed, &lostError{why: "the target reported a malformed position"}
				}
				continue
			}
			s.send(m)
			continue
		case *pgproto3.NotificationResponse:
			continue
		case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
			return rep, flushed, &lostError{why: "the target began a COPY"}
		case *pgproto3.ErrorResponse:
			if cwtarget.EndsConnection(m) {
				// The database ends its sessions, for instance since it was put
				// out of charge. That is no answer to the caller's statement.
				return rep, flushed, &lostError{why: "the database ended the connection"}
			}
			if rep.code == "" {
				rep.code = m.Code
			}
			if st != nil {
				st.fail()
				if !sync {
					s.send(m)
					return rep, flushed, nil
				}
			}
		case *pgproto3.CommandComplete:
			rep.tag = string(m.CommandTag)
		}
		if st != nil && !st.accept(msg) {
			continue
		}
		s.send(msg)
		if _, row := msg.(*pgproto3.DataRow); row && len(s.out) > limit {
			// Only rows are passed on early, never what says that a write
			// succeeded: that waits for its majority.
			flushed = true
			if err := s.flush(); err != nil {
				return rep, flushed, errCallerGone
			}
		}
	}
}

// callerGoneError means that the answer cannot be delivered.
type callerGoneError struct{}

func (callerGoneError) Error() string { return "the caller is gone" }

var errCallerGone = callerGoneError{}

// watchdog reads from a target and gives up where no answer will come.
type watchdog struct {
	s     *session
	route route
	heard time.Time
	armed time.Time
	// quiet is how long the target may bring nothing before it is asked.
	quiet time.Duration
	// doubted is true once the target said that it is not busy for this
	// connection.
	doubted bool
}

// travel returns how long a statement may be on its way.
func travel(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / slowestPath
}

func (w *watchdog) arm() {
	w.armed = time.Now()
	_ = w.route.lease.Conn.SetReadDeadline(w.armed.Add(slice))
}

func (w *watchdog) disarm() {
	_ = w.route.lease.Conn.SetReadDeadline(time.Time{})
}

func (w *watchdog) receive() (pgproto3.BackendMessage, error) {
	for {
		msg, err := w.route.lease.Conn.Front.Receive()
		if err == nil {
			w.doubted = false
			return msg, nil
		}
		if !cwpool.IsTimeout(err) {
			return nil, &lostError{why: "the connection to the database broke"}
		}
		if err := w.check(); err != nil {
			return nil, err
		}
		w.arm()
	}
}

// check decides whether to go on waiting.
//
// Failures it guards against: the primary was replaced while it held the
// answer; the statement ran out of time; the connection went silent because
// something in between lost track of it, which shows as nothing at all while
// new connections work. A long statement looks the same from here, so the
// target is asked over its control connection whether it is busy for this one.
func (w *watchdog) check() error {
	now := w.s.server.Clock.Now()
	if w.route.primary && !w.s.group.MayStillLead(w.route.term) {
		return &lostError{why: "the primary was replaced"}
	}
	if now.After(w.route.deadline) {
		return &lostError{why: "the statement ran out of time"}
	}
	if now.Sub(w.heard) < w.quiet {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), activityTimeout)
	defer cancel()
	state, err := w.s.group.Activity(ctx, w.route.member, w.route.lease.Conn.PID)
	switch {
	case err != nil && w.s.group.Reachable(w.route.member):
		return nil
	case err != nil:
		return &lostError{why: "the database does not answer"}
	case state == "active":
		w.heard, w.doubted = now, false
		return nil
	case !w.doubted:
		// The answer may have been on its way while the question was asked.
		w.doubted = true
		return nil
	}
	return &lostError{why: "the connection to the database went silent"}
}

// lost makes the refusal for an answer that will not come. The statement was
// sent. A read took no effect in any case.
func lost(err error, write bool) error {
	var l *lostError
	why := "the connection to the database broke"
	if errors.As(err, &l) {
		why = l.why
	}
	if write {
		return cwrefusal.Unknown("%s before the outcome was known", why)
	}
	return cwrefusal.NotRun(cwrefusal.SerializationFailure, retryAfter, "%s; nothing was changed", why)
}
