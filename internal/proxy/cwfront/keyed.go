package cwfront

import (
	"context"
	"encoding/base64"
	"fmt"
	"strings"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/core/cwrequest"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// transactionDigest stands for the statements of an explicit transaction, which
// are not known when it begins.
const transactionDigest = "transaction"

// resolvePause is the pause between tries to learn what became of a request.
const resolvePause = 100 * time.Millisecond

// fill puts quoted arguments into a statement of cwrequest, in one pass: an
// argument that looks like a placeholder itself stays as it is.
func fill(query string, args ...string) string {
	pairs := make([]string, 0, 2*len(args))
	for i, a := range args {
		pairs = append(pairs, fmt.Sprintf("$%d", i+1), quoteValue(a))
	}
	return strings.NewReplacer(pairs...).Replace(query)
}

// runKeyed runs a write that carries a request key, at most once.
func (s *session) runKeyed(u unit) {
	key := s.own.requestKey
	s.own.requestKey = ""
	if u.ends || !u.sync {
		s.fail(unsupported("a request key on a batch that ends a transaction or is flushed in parts"))
		return
	}
	deadline := s.server.Clock.Now().Add(s.entry.Contract.StatementTimeout)
	k := keyed{s: s, key: key, digest: u.digest(), deadline: deadline}
	if u.begin {
		k.digest = transactionDigest
	}
	var err error
	for range maxAttempts {
		var again bool
		again, err = k.attempt(u)
		if err == nil || !again || !s.server.retries.spend() {
			break
		}
		s.server.Metrics.Retries.Inc()
	}
	if err != nil {
		s.fail(err)
	}
}

// keyed is one run of a request with a key.
type keyed struct {
	s        *session
	key      string
	digest   string
	deadline time.Time
	// grave is the state of a tombstone that this run takes the place of.
	grave string
}

// attempt runs the request once. It returns again if it certainly did not run
// and may be tried anew.
func (k *keyed) attempt(u unit) (again bool, err error) {
	s := k.s
	r, endWrite, err := s.lend(false, k.deadline)
	if err != nil {
		return false, err
	}
	defer endWrite()
	if err := k.open(r); err != nil {
		return k.openFailed(r, err)
	}
	start := len(s.out)
	rep, flushed, err := s.exchangeKeyed(r, u)
	if err != nil {
		s.drop(r)
		s.undo(start, flushed)
		// COMMIT was not sent, so the target rolls back.
		return true, cwrefusal.NotRun(cwrefusal.SerializationFailure, retryAfter, "the connection to the database broke before the commit")
	}
	if rep.code != "" {
		// The request itself failed; its key stays unused.
		s.rollback(r)
		return false, nil
	}
	if u.begin {
		s.tx = &transaction{
			lease: r.lease, member: r.member, term: r.term, primary: true,
			endWrite: s.group.BeginWrite(), status: rep.status, key: k.key, pending: s.settings,
		}
		return false, nil
	}
	if flushed || len(s.out)-start > cwrequest.MaxAnswerLen {
		s.undo(start, flushed)
		s.rollback(r)
		return false, cwrefusal.NotRun(cwrefusal.LimitExceeded, 0, "the answer to a request with a key is longer than %d bytes", cwrequest.MaxAnswerLen)
	}
	return k.commit(r, start)
}

// commit records the answer with the key and commits both.
func (k *keyed) commit(r route, start int) (again bool, err error) {
	s := k.s
	encoded := base64.StdEncoding.EncodeToString(s.out[start:])
	res, err := s.exec(r, fill(cwrequest.RecordAnswer, k.key, encoded)+"; COMMIT")
	if err != nil {
		s.out = s.out[:start]
		if cwtarget.ServerCode(err) != "" {
			s.rollback(r)
			return true, cwrefusal.NotRun(cwrefusal.SerializationFailure, retryAfter, "the commit was refused")
		}
		s.drop(r)
		return false, s.resolve(k.key, k.digest, k.deadline)
	}
	s.give(r)
	mark, err := parseMark(res.Mark)
	if err == nil {
		err = s.acknowledge(mark)
	}
	if err != nil {
		s.out = s.out[:start]
		return false, s.resolve(k.key, k.digest, k.deadline)
	}
	return false, nil
}

// open begins the transaction and writes the key into it.
func (k *keyed) open(r route) error {
	s := k.s
	if err := s.applySettings(r.lease.Conn); err != nil {
		return err
	}
	query := "BEGIN; "
	if k.grave != "" {
		query += fill(cwrequest.DeleteTombstone, k.key, k.grave) + "; "
	}
	_, err := s.exec(r, query+fill(cwrequest.InsertKey, k.key, k.digest, "open"))
	return err
}

// openFailed finds out why the key could not be written.
func (k *keyed) openFailed(r route, err error) (again bool, _ error) {
	s := k.s
	retry := cwrefusal.NotRun(cwrefusal.SerializationFailure, retryAfter, "the request could not begin")
	switch cwtarget.ServerCode(err) {
	case "":
		s.drop(r)
		return true, retry
	case "42P01":
		if _, err := s.exec(r, "ROLLBACK"); err != nil {
			s.drop(r)
			return true, retry
		}
		_, err := s.exec(r, cwrequest.CreateTable)
		s.finishOwn(r, err)
		return true, retry
	case "23505":
		if _, err := s.exec(r, "ROLLBACK"); err != nil {
			s.drop(r)
			return true, retry
		}
		return k.present(r)
	case codeReadOnly:
		s.rollback(r)
		s.server.Clock.Sleep(10 * time.Millisecond)
		return true, retry
	}
	s.rollback(r)
	return false, cwrefusal.NotRun(cwrefusal.Code(cwtarget.ServerCode(err)), retryAfter, "the request could not begin: %v", err)
}

// present deals with a key that is there already.
func (k *keyed) present(r route) (again bool, err error) {
	s := k.s
	row, err := s.lookup(r, k.key)
	s.finishOwn(r, err)
	if err != nil {
		return true, cwrefusal.NotRun(cwrefusal.SerializationFailure, retryAfter, "the request could not begin")
	}
	switch cwrequest.Classify(row, k.digest) {
	case cwrequest.Replay:
		return false, s.replay(r, row)
	case cwrequest.Mismatch:
		return false, cwrefusal.NotRun(cwrefusal.DuplicateRequest, 0, "this request key belongs to another request")
	case cwrequest.Tombstoned:
		k.grave = row.State
	}
	return true, cwrefusal.NotRun(cwrefusal.SerializationFailure, retryAfter, "another attempt of this request is in progress")
}

// replay gives a recorded answer again, once it is certain to be kept.
//
// The failure: the key is found in the log of a primary that has just taken
// over, from an earlier term, and a third primary drops it; the caller was told
// "done" and the record is lost. The guard: the answer waits until the
// primary's log, up to a position asked for after the look-up and in the same
// term, is on a majority.
func (s *session) replay(r route, row cwrequest.Row) error {
	if err := s.settled(r); err != nil {
		return cwrefusal.Unknown("this request has run before, but it is not known yet whether that is kept")
	}
	answer, err := base64.StdEncoding.DecodeString(row.Answer)
	if err != nil {
		return cwrefusal.Unknown("the recorded answer of this request is damaged")
	}
	s.server.Metrics.Replays.Inc()
	if len(answer) == 0 {
		return cwrefusal.NotRun(cwrefusal.DuplicateRequest, 0, "the transaction with this request key has committed before; it was not run again").
			WithHint("requestDone=true")
	}
	s.out = append(s.out, answer...)
	return nil
}

// settled waits until everything that the primary of the route's term has now
// is on a majority.
func (s *session) settled(r route) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	tip, err := s.group.PrimaryPosition(ctx)
	if err != nil {
		return err
	}
	if tip.Term != r.term {
		return errTermChanged
	}
	if o := s.group.AwaitMajority(tip); o != cwack.Acknowledged {
		return cwrefusal.Unknown("not known to be kept: %s", o)
	}
	s.sawWrite(tip)
	return nil
}

// termChangedError means that what was read came from a primary that no longer
// leads.
type termChangedError struct{}

func (termChangedError) Error() string { return "the primary changed" }

var errTermChanged = termChangedError{}

// resolveLost answers for a transaction whose COMMIT may have been carried out.
func (s *session) resolveLost(key, digest string) {
	deadline := s.server.Clock.Now().Add(s.entry.Contract.StatementTimeout)
	start := len(s.out)
	err := s.resolve(key, digest, deadline)
	if err == nil && len(s.out) == start {
		s.complete("COMMIT")
	}
	if err != nil {
		s.sendError("ERROR", err)
	}
}

// resolve finds out what became of a request whose answer was lost. If it ran,
// its recorded answer is given and nil returned. If it did not, a tombstone is
// written first, so that the lost attempt cannot commit any more, and only then
// is the caller told that it was not run.
func (s *session) resolve(key, digest string, deadline time.Time) error {
	for s.server.Clock.Now().Before(deadline) {
		done, err := s.resolveOnce(key, digest, deadline)
		if done {
			return err
		}
		s.server.Clock.Sleep(resolvePause)
	}
	return cwrefusal.Unknown("it could not be found out in time whether the request ran")
}

func (s *session) resolveOnce(key, digest string, deadline time.Time) (done bool, err error) {
	r, endWrite, err := s.lend(false, deadline)
	if err != nil {
		return false, err
	}
	defer endWrite()
	row, err := s.lookup(r, key)
	if err != nil {
		s.finishOwn(r, err)
		return false, err
	}
	verdict := cwrequest.Classify(row, digest)
	if verdict == cwrequest.Absent {
		err := s.bury(r, key, digest)
		return err == nil, notRunAfterAll(err)
	}
	s.give(r)
	if s.settled(r) != nil {
		return false, errTermChanged
	}
	switch verdict {
	case cwrequest.Replay:
		answer, err := base64.StdEncoding.DecodeString(row.Answer)
		if err != nil {
			return true, cwrefusal.Unknown("the recorded answer of this request is damaged")
		}
		s.server.Metrics.Replays.Inc()
		s.out = append(s.out, answer...)
		return true, nil
	case cwrequest.Tombstoned:
		return true, notRunAfterAll(nil)
	}
	return true, cwrefusal.NotRun(cwrefusal.DuplicateRequest, 0, "this request key belongs to another request")
}

func notRunAfterAll(err error) error {
	if err != nil {
		return err
	}
	return cwrefusal.NotRun(cwrefusal.SerializationFailure, retryAfter, "the request was not run; it may be sent again with the same key")
}

// bury writes a tombstone and waits until it is kept.
func (s *session) bury(r route, key, digest string) error {
	id := cwrequest.TombstoneState(fmt.Sprintf("%d-%d", s.key.pid, s.server.Clock.Now().UnixNano()))
	res, err := s.exec(r, fill(cwrequest.InsertTombstone, key, digest, id))
	s.finishOwn(r, err)
	if err != nil {
		return err
	}
	mark, err := parseMark(res.Mark)
	if err != nil {
		return err
	}
	return s.acknowledge(mark)
}

// lookup reads the row of a key at the route's member.
func (s *session) lookup(r route, key string) (cwrequest.Row, error) {
	res, err := s.exec(r, fill(cwrequest.SelectKey, key))
	if cwtarget.ServerCode(err) == "42P01" {
		// No request with a key has committed in this group yet. Make the table,
		// so that a tombstone can be written.
		_, err = s.exec(r, cwrequest.CreateTable)
		return cwrequest.Row{}, err
	}
	if err != nil || len(res.Rows) == 0 {
		return cwrequest.Row{}, err
	}
	row := res.Rows[0]
	return cwrequest.Row{Found: true, Digest: row[0], State: row[1], Answer: row[2]}, nil
}
