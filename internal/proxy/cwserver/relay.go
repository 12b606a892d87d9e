package cwserver

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpgpool"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// Timeouts and buffer limits of relaying a response.
const (
	// readPollInterval is how long a read from a target may block before the state
	// of the target is checked.
	readPollInterval = 250 * time.Millisecond
	// maxSilence is how long a target may send nothing before it is asked, over
	// another connection, whether it is busy for this one.
	maxSilence = time.Second
	// minTransferRate is the lowest rate, in bytes per second, at which a statement
	// is assumed to reach its target. While it is in transit the target is not
	// busy for the connection.
	minTransferRate = 256 << 10
	// activityTimeout bounds the query for the target's activity.
	activityTimeout = 400 * time.Millisecond
	// streamThreshold is the size, in bytes, from which rows are sent to the client
	// before the response is complete.
	streamThreshold = 16 << 10
	// heldResponseLimit is the same for a response that is held until its write is
	// acknowledged. Rows may be sent earlier, but never a message that reports
	// success.
	heldResponseLimit = 8 << 20
)

// responseLostError reports why a target's response will not arrive. The reason
// is sent to the client.
type responseLostError struct{ reason string }

func (e *responseLostError) Error() string { return e.reason }

// route is the member and the borrowed connection that a request runs on.
type route struct {
	lease  *cwpgpool.Lease
	member cwgroup.MemberID
	// primary is true if the member was chosen as the primary of the term.
	// Responses to writes are then held until the write is acknowledged.
	primary bool
	term    cwgroup.Term
	// deadline is when the statement times out.
	deadline time.Time
}

// responseSummary is what the proxy needs to know of a relayed response.
type responseSummary struct {
	// txStatus is the transaction status of ReadyForQuery, or zero if relaying
	// ended before it.
	txStatus byte
	// position is the end of the primary's log after a commit, or zero if nothing
	// was committed.
	position cwgroup.LogPosition
	// errorCode is the SQLSTATE of the first error, or empty.
	errorCode string
	// commandTag is the tag of the last CommandComplete.
	commandTag string
}

// relayResponse relays one response from a target to the client: up to
// ReadyForQuery or, if sync is false and expected responses are given in st,
// until all of them have arrived or one is an error. It returns an error if the
// connection to the target, or to the client, is no longer usable.
//
// Rows are sent to the client as the response grows beyond streamThreshold, or
// heldResponseLimit if hold is set; flushed reports whether any were.
func (s *session) relayResponse(r route, st *responseQueue, sync, hold bool) (rep responseSummary, flushed bool, err error) {
	limit := streamThreshold
	if hold {
		limit = heldResponseLimit
	}
	w := watchdog{s: s, route: r, lastActivity: s.server.Clock.Now(), silenceLimit: maxSilence + transferTime(r.lease.Conn.TakeSent())}
	w.setReadDeadline()
	defer w.clearReadDeadline()
	r.lease.Conn.Input.Admit = s.admitResponse
	defer func() { r.lease.Conn.Input.Admit = nil }()
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
				if rep.position, err = cwgroup.ParseLogPosition(m.Value); err != nil {
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
				// The database ends its sessions, for instance because it was
				// demoted. This error is not the response to the client's statement.
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
		if _, row := msg.(*pgproto3.DataRow); row && (!s.holdsOutput() || len(s.output) > limit) {
			// Only rows are sent early. A message that reports the success of a
			// write waits until a majority has the record.
			flushed = true
			if err := s.flush(); err != nil {
				return rep, flushed, errClientGone
			}
		}
	}
}

// clientGoneError reports that the response cannot be delivered.
type clientGoneError struct{}

func (clientGoneError) Error() string { return "the caller is gone" }

var errClientGone = clientGoneError{}

// watchdog reads messages from a target and ends the wait when no response can be
// expected any more.
type watchdog struct {
	s             *session
	route         route
	lastActivity  time.Time
	deadlineSetAt time.Time
	// silenceLimit is how long after lastActivity the target is asked whether it is
	// busy for the connection.
	silenceLimit time.Duration
	// reportedIdle is true if the target has reported that it is not busy for this
	// connection, and has sent nothing since.
	reportedIdle bool
}

// transferTime returns how long a statement of that many bytes may be in transit.
func transferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / minTransferRate
}

// setReadDeadline makes the next read return after readPollInterval at most.
func (w *watchdog) setReadDeadline() {
	w.deadlineSetAt = time.Now()
	_ = w.route.lease.Conn.SetReadDeadline(w.deadlineSetAt.Add(readPollInterval))
}

func (w *watchdog) clearReadDeadline() {
	_ = w.route.lease.Conn.SetReadDeadline(time.Time{})
}

// receive returns the target's next message. Its error is a *responseLostError.
func (w *watchdog) receive() (pgproto3.BackendMessage, error) {
	for {
		msg, err := w.route.lease.Conn.Frontend.Receive()
		if err == nil {
			w.reportedIdle = false
			return msg, nil
		}
		if !cwpgpool.IsTimeout(err) {
			return nil, &responseLostError{reason: "the connection to the database broke"}
		}
		if err := w.checkTarget(); err != nil {
			return nil, err
		}
		w.setReadDeadline()
	}
}

// checkTarget returns an error if waiting any longer is pointless.
//
// It guards against four failures: the proxy shuts down; the primary was replaced before
// it responded; the statement reached its deadline; or the connection went silent,
// because a device on the path dropped its state. In the last case nothing at all
// arrives, while new connections work. A long statement looks the same to the
// proxy, so the target is asked over its control connection whether it is busy
// for this one.
func (w *watchdog) checkTarget() error {
	now := w.s.server.Clock.Now()
	if w.s.server.statements.Err() != nil {
		return &responseLostError{reason: "this proxy is shutting down"}
	}
	if w.route.primary && !w.s.group.MayStillLead(w.route.term) {
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
		// The response may have been in transit when the target answered, so only
		// a second report in a row counts.
		w.reportedIdle = true
		return nil
	}
	return &responseLostError{reason: "the connection to the database went silent"}
}

// lostRefusal returns the refusal for a statement that was sent and whose response
// will not arrive. The outcome of a write is unknown; a read took no effect.
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
