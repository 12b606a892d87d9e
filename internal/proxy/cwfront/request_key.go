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

// resolveRetryInterval is the pause between tries to learn what became of a request.
const resolveRetryInterval = 100 * time.Millisecond

// substituteArguments puts quoted arguments into a statement of cwrequest, in one pass: an
// argument that looks like a placeholder itself stays as it is.
func substituteArguments(query string, args ...string) string {
	pairs := make([]string, 0, 2*len(args))
	for i, a := range args {
		pairs = append(pairs, fmt.Sprintf("$%d", i+1), quoteLiteral(a))
	}
	return strings.NewReplacer(pairs...).Replace(query)
}

// runKeyedRequest runs a write that carries a request key, at most once.
func (s *session) runKeyedRequest(req request) {
	key := s.proxySettings.requestKey
	s.proxySettings.requestKey = ""
	if req.mayCommit || !req.sync {
		s.failStatement(unsupportedRefusal("a request key on a batch that ends a transaction or is flushed in parts"))
		return
	}
	deadline := s.server.Clock.Now().Add(s.entry.Contract.StatementTimeout)
	k := keyedRequest{s: s, key: key, digest: req.digest(), deadline: deadline}
	if req.begins {
		k.digest = transactionDigest
	}
	var err error
	for range maxAttempts {
		var retry bool
		retry, err = k.attempt(req)
		if err == nil || !retry || !s.server.retryBudget.spend() {
			break
		}
		s.server.Metrics.Retries.Inc()
	}
	if err != nil {
		s.failStatement(err)
	}
}

// keyedRequest is one run of a request with a key.
type keyedRequest struct {
	s        *session
	key      string
	digest   string
	deadline time.Time
	// tombstone is the state of a tombstone that this run takes the place of.
	tombstone string
}

// attempt runs the request once. It returns again if it certainly did not run
// and may be tried anew.
func (k *keyedRequest) attempt(req request) (retry bool, err error) {
	s := k.s
	r, endWrite, err := s.acquireConnection(false, k.deadline)
	if err != nil {
		return false, err
	}
	defer endWrite()
	if err := k.begin(r); err != nil {
		return k.handleBeginError(r, err)
	}
	start := len(s.output)
	rep, flushed, err := s.sendKeyed(r, req)
	if err != nil {
		s.discardConnection(r)
		s.discardOutput(start, flushed)
		// COMMIT was not sent, so the target rolls back.
		return true, cwrefusal.NotRun(cwrefusal.SerializationFailure, retryAfter, "the connection to the database broke before the commit")
	}
	if rep.errorCode != "" {
		// The request itself failed; its key stays unused.
		s.rollback(r)
		return false, nil
	}
	if req.begins {
		s.tx = &transaction{
			lease: r.lease, member: r.member, term: r.term, primary: true,
			endWrite: s.group.BeginWrite(), txStatus: rep.txStatus, requestKey: k.key, pendingSettings: s.settings,
		}
		return false, nil
	}
	if flushed || len(s.output)-start > cwrequest.MaxAnswerLen {
		s.discardOutput(start, flushed)
		s.rollback(r)
		return false, cwrefusal.NotRun(cwrefusal.LimitExceeded, 0, "the answer to a request with a key is longer than %d bytes", cwrequest.MaxAnswerLen)
	}
	return k.commit(r, start)
}

// commit records the answer with the key and commits both.
func (k *keyedRequest) commit(r route, start int) (retry bool, err error) {
	s := k.s
	encoded := base64.StdEncoding.EncodeToString(s.output[start:])
	res, err := s.exec(r, substituteArguments(cwrequest.Finish, k.key, encoded)+"; COMMIT")
	if err != nil {
		s.output = s.output[:start]
		if cwtarget.ServerCode(err) != "" {
			s.rollback(r)
			return true, cwrefusal.NotRun(cwrefusal.SerializationFailure, retryAfter, "the commit was refused")
		}
		s.discardConnection(r)
		return false, s.resolveOutcome(k.key, k.digest, k.deadline)
	}
	s.releaseConnection(r)
	mark, err := parseMark(res.Mark)
	if err == nil {
		err = s.awaitAcknowledgement(mark)
	}
	if err != nil {
		s.output = s.output[:start]
		return false, s.resolveOutcome(k.key, k.digest, k.deadline)
	}
	return false, nil
}

// begin begins the transaction and writes the key into it.
func (k *keyedRequest) begin(r route) error {
	s := k.s
	if err := s.applySettings(r.lease.Conn); err != nil {
		return err
	}
	query := "BEGIN; "
	if k.tombstone != "" {
		query += substituteArguments(cwrequest.Unbury, k.key, k.tombstone) + "; "
	}
	_, err := s.exec(r, query+substituteArguments(cwrequest.Insert, k.key, k.digest, "open"))
	return err
}

// handleBeginError finds out why the key could not be written.
func (k *keyedRequest) handleBeginError(r route, err error) (retry bool, _ error) {
	s := k.s
	refusal := cwrefusal.NotRun(cwrefusal.SerializationFailure, retryAfter, "the request could not begin")
	switch cwtarget.ServerCode(err) {
	case "":
		s.discardConnection(r)
		return true, refusal
	case "42P01":
		if _, err := s.exec(r, "ROLLBACK"); err != nil {
			s.discardConnection(r)
			return true, refusal
		}
		_, err := s.exec(r, cwrequest.CreateTable)
		s.releaseOrDiscard(r, err)
		return true, refusal
	case "23505":
		if _, err := s.exec(r, "ROLLBACK"); err != nil {
			s.discardConnection(r)
			return true, refusal
		}
		return k.handleExistingKey(r)
	case codeReadOnly:
		s.rollback(r)
		s.server.Clock.Sleep(10 * time.Millisecond)
		return true, refusal
	}
	s.rollback(r)
	return false, cwrefusal.NotRun(cwrefusal.Code(cwtarget.ServerCode(err)), retryAfter, "the request could not begin: %v", err)
}

// handleExistingKey deals with a key that is there already.
func (k *keyedRequest) handleExistingKey(r route) (retry bool, err error) {
	s := k.s
	row, err := s.lookupKey(r, k.key)
	s.releaseOrDiscard(r, err)
	if err != nil {
		return true, cwrefusal.NotRun(cwrefusal.SerializationFailure, retryAfter, "the request could not begin")
	}
	switch cwrequest.Judge(row, k.digest) {
	case cwrequest.Replay:
		return false, s.replay(r, row)
	case cwrequest.Mismatch:
		return false, cwrefusal.NotRun(cwrefusal.DuplicateRequest, 0, "this request key belongs to another request")
	case cwrequest.Buried:
		k.tombstone = row.State
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
	if err := s.awaitPrimaryLogOnMajority(r); err != nil {
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
	s.output = append(s.output, answer...)
	return nil
}

// awaitPrimaryLogOnMajority waits until everything that the primary of the route's term has now
// is on a majority.
func (s *session) awaitPrimaryLogOnMajority(r route) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	tip, err := s.group.Tip(ctx)
	if err != nil {
		return err
	}
	if tip.Term != r.term {
		return errTermChanged
	}
	if o := s.group.AwaitMajority(tip); o != cwack.Acknowledged {
		return cwrefusal.Unknown("not known to be kept: %s", o)
	}
	s.recordWrite(tip)
	return nil
}

// termChangedError means that what was read came from a primary that no longer
// leads.
type termChangedError struct{}

func (termChangedError) Error() string { return "the primary changed" }

var errTermChanged = termChangedError{}

// resolveLostCommit answers for a transaction whose COMMIT may have been carried out.
func (s *session) resolveLostCommit(key, digest string) {
	deadline := s.server.Clock.Now().Add(s.entry.Contract.StatementTimeout)
	start := len(s.output)
	err := s.resolveOutcome(key, digest, deadline)
	if err == nil && len(s.output) == start {
		s.sendCommandComplete("COMMIT")
	}
	if err != nil {
		s.sendError("ERROR", err)
	}
}

// resolveOutcome finds out what became of a request whose answer was lost. If it ran,
// its recorded answer is given and nil returned. If it did not, a tombstone is
// written first, so that the lost attempt cannot commit any more, and only then
// is the caller told that it was not run.
func (s *session) resolveOutcome(key, digest string, deadline time.Time) error {
	for s.server.Clock.Now().Before(deadline) {
		done, err := s.resolveOutcomeOnce(key, digest, deadline)
		if done {
			return err
		}
		s.server.Clock.Sleep(resolveRetryInterval)
	}
	return cwrefusal.Unknown("it could not be found out in time whether the request ran")
}

func (s *session) resolveOutcomeOnce(key, digest string, deadline time.Time) (done bool, err error) {
	r, endWrite, err := s.acquireConnection(false, deadline)
	if err != nil {
		return false, err
	}
	defer endWrite()
	row, err := s.lookupKey(r, key)
	if err != nil {
		s.releaseOrDiscard(r, err)
		return false, err
	}
	verdict := cwrequest.Judge(row, digest)
	if verdict == cwrequest.Absent {
		err := s.writeTombstone(r, key, digest)
		return err == nil, confirmNotRun(err)
	}
	s.releaseConnection(r)
	if s.awaitPrimaryLogOnMajority(r) != nil {
		return false, errTermChanged
	}
	switch verdict {
	case cwrequest.Replay:
		answer, err := base64.StdEncoding.DecodeString(row.Answer)
		if err != nil {
			return true, cwrefusal.Unknown("the recorded answer of this request is damaged")
		}
		s.server.Metrics.Replays.Inc()
		s.output = append(s.output, answer...)
		return true, nil
	case cwrequest.Buried:
		return true, confirmNotRun(nil)
	}
	return true, cwrefusal.NotRun(cwrefusal.DuplicateRequest, 0, "this request key belongs to another request")
}

func confirmNotRun(err error) error {
	if err != nil {
		return err
	}
	return cwrefusal.NotRun(cwrefusal.SerializationFailure, retryAfter, "the request was not run; it may be sent again with the same key")
}

// writeTombstone writes a tombstone and waits until it is kept.
func (s *session) writeTombstone(r route, key, digest string) error {
	id := cwrequest.Tombstone(fmt.Sprintf("%d-%d", s.cancelKey.pid, s.server.Clock.Now().UnixNano()))
	res, err := s.exec(r, substituteArguments(cwrequest.Bury, key, digest, id))
	s.releaseOrDiscard(r, err)
	if err != nil {
		return err
	}
	mark, err := parseMark(res.Mark)
	if err != nil {
		return err
	}
	return s.awaitAcknowledgement(mark)
}

// lookupKey reads the row of a key at the route's member.
func (s *session) lookupKey(r route, key string) (cwrequest.Row, error) {
	res, err := s.exec(r, substituteArguments(cwrequest.Lookup, key))
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
