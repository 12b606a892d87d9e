package cwengine

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/proxy/cwtargets"
)

// targetName names a prepared statement by its content. Two shapes must never
// share a name, or a caller would run another one's statement; so the name is a
// cryptographic digest.
func targetName(writes bool, shape string) string {
	digest := sha256.Sum256([]byte(shape))
	mode := "r"
	if writes {
		mode = "w"
	}
	return mode + hex.EncodeToString(digest[:nameBytes])
}

// nameBytes is how much of the digest a name has: enough that nobody finds two
// shapes that share it, short on the wire.
const nameBytes = 16

// sent is what became of a command that was given to a target.
type sent struct {
	answer cwstatement.Answer
	// err is set if the answer did not come; then the command may have run
	// unless notSent is true.
	err     error
	notSent bool
	at      time.Time
}

// exchange runs work on a loan and reads its answer.
//
// The failure: a target, or the path to it, goes dark; nothing is refused, and
// whoever waits learns it only when the statement's time is up. Writes stand
// still for as long before the primary is even suspected. A target that is silent
// for suspectAfter is therefore tried by a fresh connection meanwhile; the
// statement waits on.
func (s *session) exchange(t *try, l *loan, w work) sent {
	sent := s.engine.cfg.Clock.Now()
	overdue := s.engine.cfg.Clock.AfterFunc(suspectAfter, func() { t.group.RecordOverdue(l.place.Member, sent) })
	defer overdue.Stop()
	r := s.send(l.conn, w, t.limits)
	if w.command.Verb != cwstatement.Begin && w.command.Verb != cwstatement.BeginRead {
		l.endTurn(r)
	}
	return r
}

// send runs work on a connection and reads its answer.
func (s *session) send(c *cwtargets.Conn, w work, l limits) sent {
	clock := s.engine.cfg.Clock
	r := sent{at: clock.Now()}
	if r.err = c.SetTimeout(max(time.Millisecond, l.end.Sub(r.at))); r.err != nil {
		r.notSent = true
		return r
	}
	if r.err = s.apply(c); r.err != nil {
		r.notSent = true
		return r
	}
	r.at = clock.Now()
	s.engine.cfg.Metrics.Attempts.Inc()
	preparing := w.prepare != nil && !c.Prepared[w.prepare.target]
	if preparing {
		// Preparing goes together with the statement: if it failed the target
		// does not know the name and runs nothing.
		c.Send(cwstatement.Command{
			Verb: cwstatement.Prepare, Name: w.prepare.target, Rest: w.prepare.shape, Writes: w.prepare.writes,
		})
	}
	c.Send(w.command)
	if r.err = c.Flush(); r.err != nil {
		return r
	}
	if preparing {
		if _, r.err = c.Receive(); r.err != nil {
			return r
		}
		c.Prepared[w.prepare.target] = true
	}
	if r.answer, r.err = c.Receive(); r.err != nil {
		return r
	}
	if r.answer.Code == cwstatement.NotPrepared && w.prepare != nil {
		delete(c.Prepared, w.prepare.target)
	}
	return r
}

// apply brings the settings of a connection to those of the session.
//
// The failure: a statement runs with the settings that another caller left on
// the connection. The guard: what the connection has is known, and whatever
// differs is set, or everything forgotten, before the statement is sent.
func (s *session) apply(c *cwtargets.Conn) error {
	reset := c.Full()
	for name := range c.Values {
		if _, ok := s.values[name]; !ok {
			reset = true
		}
	}
	n := 0
	if reset {
		clear(c.Values)
		clear(c.Prepared)
		c.Send(cwstatement.Command{Verb: cwstatement.Reset})
		n++
	}
	for _, name := range sortedKeys(s.values) {
		value := s.values[name]
		if old, ok := c.Values[name]; ok && old == value {
			continue
		}
		c.Send(cwstatement.Command{Verb: cwstatement.Set, Name: name, Rest: value})
		c.Values[name] = value
		n++
	}
	if n == 0 {
		return nil
	}
	return finish(c, n)
}

// finish sends what was queued and reads n answers, all of which must be
// successes.
func finish(c *cwtargets.Conn, n int) error {
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

func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
