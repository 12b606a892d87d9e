package cwengine

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/proxy/cwtargetpool"
)

// preparedName returns the name under which targets know a prepared statement,
// derived from its text. The name is a cryptographic digest: if two texts shared a
// name, a caller could run the statement of another one.
func preparedName(writes bool, text string) string {
	digest := sha256.Sum256([]byte(text))
	mode := "r"
	if writes {
		mode = "w"
	}
	return mode + hex.EncodeToString(digest[:digestBytes])
}

// digestBytes is the length of the digest in a name: long enough that nobody can find
// two texts with the same name, and short on the wire.
const digestBytes = 16

// exchangeResult is the outcome of a command that was sent to a target.
type exchangeResult struct {
	answer cwstatement.Response
	// err is set if no answer came. The command may have run then, unless notSent
	// is true.
	err     error
	notSent bool
	sentAt  time.Time
}

// errInterrupted is the cause for which a statement is not sent that a shutdown has
// answered.
var errInterrupted = errors.New("the statement was given up")

// exchange sends a command on a leased connection and reads its answer.
//
// When a target or the network path to it stops answering, nothing is refused, and
// the failure shows only when the statement times out; until then the primary is not
// even suspected and all writes stall. Therefore a target that has not answered
// within suspectAfter is probed on a new connection, while the statement keeps
// waiting.
func (s *session) exchange(t *task, l *connLease, w work) exchangeResult {
	sent := s.engine.cfg.Clock.Now()
	if !s.engine.open.recordTarget(s.open, l.place.ID) {
		return exchangeResult{err: errInterrupted, notSent: true, sentAt: sent}
	}
	overdue := s.engine.cfg.Clock.AfterFunc(suspectAfter, func() { t.recordOverdue(l, sent) })
	l.conn.SetMemory(s.answerMemory())
	r := s.refuseLargeAnswer(s.send(l.conn, w, t.limits), w)
	l.conn.SetMemory(nil)
	t.recordResult(l, w, r, !overdue.Stop())
	s.recordExchange(w.command.Verb, r)
	if w.command.Verb != cwstatement.Begin && w.command.Verb != cwstatement.BeginRead {
		l.endTurn(r)
	}
	return r
}

// send sends a command on a connection and reads its answer. It first applies the
// session's settings and prepares the statement if necessary.
func (s *session) send(c *cwtargetpool.Conn, w work, l limits) exchangeResult {
	clock := s.engine.cfg.Clock
	r := exchangeResult{sentAt: clock.Now()}
	if r.err = c.SetTimeout(max(time.Millisecond, l.deadline.Sub(r.sentAt))); r.err != nil {
		r.notSent = true
		return r
	}
	if r.err = s.applySettings(c); r.err != nil {
		r.notSent = true
		return r
	}
	r.sentAt = clock.Now()
	s.engine.cfg.Metrics.Attempts.Inc()
	preparing := w.prepare != nil && !c.Prepared[w.prepare.name]
	if preparing {
		// The prepare is sent together with the statement. If it fails, the target
		// does not know the name and does not run the statement.
		c.Send(cwstatement.Command{
			Verb: cwstatement.Prepare, Name: w.prepare.name, Args: w.prepare.text, Writes: w.prepare.writes,
		})
	}
	c.Send(w.command)
	if r.err = c.Flush(); r.err != nil {
		return s.refuseUnsendable(r, w)
	}
	if preparing {
		if _, r.err = c.Receive(); r.err != nil {
			return r
		}
		c.RecordPrepared(w.prepare.name, len(w.prepare.text))
	}
	if r.answer, r.err = c.Receive(); r.err != nil {
		return r
	}
	if r.answer.Code == cwstatement.NotPrepared && w.prepare != nil {
		delete(c.Prepared, w.prepare.name)
	}
	return r
}

// refuseUnsendable returns the result of a command that could not be flushed. If it is no message
// of the target's protocol, nothing was sent and no other target would get it: it is refused, and
// the connection stays.
func (s *session) refuseUnsendable(r exchangeResult, w work) exchangeResult {
	var unsendable *cwport.UnsendableError
	if !errors.As(r.err, &unsendable) {
		return r
	}
	state := cwstatement.Idle
	if s.tx != nil || w.command.Verb == cwstatement.Commit {
		state = cwstatement.InTransaction
	}
	r.answer, r.err = cwstatement.Failure(cwstatement.Malformed, unsendable.Error()).WithState(state), nil
	return r
}

// applySettings makes the settings of a connection equal to those of the session.
//
// It prevents a statement from running with settings that another caller left on the
// connection. The proxy tracks what is set on the connection; before the statement is
// sent, it sets what differs, or resets the connection if it has settings that the
// session lacks or too many prepared statements.
func (s *session) applySettings(c *cwtargetpool.Conn) error {
	changes := c.ChangeSettings(s.settings)
	if len(changes) == 0 {
		return nil
	}
	for _, cmd := range changes {
		c.Send(cmd)
	}
	return flushAndCheck(c, len(changes))
}

// flushAndCheck sends the queued commands and reads n answers. The error is a
// *cwport.RefusedError if one of them is no success.
func flushAndCheck(c *cwtargetpool.Conn, n int) error {
	if err := c.Flush(); err != nil {
		return err
	}
	for range n {
		a, err := c.Receive()
		if err != nil {
			return err
		}
		if a.Code != cwstatement.OK {
			return &cwport.RefusedError{Code: a.Code, Detail: a.Detail}
		}
	}
	return nil
}
