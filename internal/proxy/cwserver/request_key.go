package cwserver

import (
	"context"
	"encoding/base64"
	"fmt"
	"strings"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/core/cwrequestkey"
	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// transactionDigest is the request digest of every explicit transaction, because
// its statements are not known when it begins.
const transactionDigest = "transaction"

// resolveRetryInterval is the pause between attempts to find out the outcome of a
// request.
const resolveRetryInterval = 100 * time.Millisecond

// substituteArguments replaces the placeholders $1, $2 ... of a cwrequestkey
// statement with the quoted arguments. It does so in one pass, so that text in an
// argument that looks like a placeholder is not replaced.
func substituteArguments(query string, args ...string) string {
	pairs := make([]string, 0, 2*len(args))
	for i, a := range args {
		pairs = append(pairs, fmt.Sprintf("$%d", i+1), cwsql.QuoteLiteral(a))
	}
	return strings.NewReplacer(pairs...).Replace(query)
}

// runKeyedRequest runs a write, or begins a transaction, with a request key, so
// that it takes effect at most once.
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

// keyedRequest is a request with a request key while it is being run.
type keyedRequest struct {
	s        *session
	key      string
	digest   string
	deadline time.Time
	// tombstone is the state of the tombstone that this request replaces, or empty.
	tombstone string
}

// attempt runs the request once. After an error, retry reports whether it
// certainly took no effect and may be run again.
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
		// The target refused the request. The rollback also removes its key, which
		// can be used again.
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
	if flushed || len(s.output)-start > cwrequestkey.MaxAnswerLen {
		s.discardOutput(start, flushed)
		s.rollback(r)
		return false, cwrefusal.NotRun(cwrefusal.LimitExceeded, 0, "the answer to a request with a key is longer than %d bytes", cwrequestkey.MaxAnswerLen)
	}
	return k.commit(r, start)
}

// commit records the response, which is queued from offset start, with the key
// and commits both. It then waits for a majority.
func (k *keyedRequest) commit(r route, start int) (retry bool, err error) {
	s := k.s
	encoded := base64.StdEncoding.EncodeToString(s.output[start:])
	res, err := s.exec(r, substituteArguments(cwrequestkey.RecordAnswer, k.key, encoded)+"; COMMIT")
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
	position, err := parseLogPosition(res.LogPosition)
	if err == nil {
		err = s.awaitAcknowledgement(position)
	}
	if err != nil {
		s.output = s.output[:start]
		return false, s.resolveOutcome(k.key, k.digest, k.deadline)
	}
	return false, nil
}

// begin begins the transaction and inserts the key, after deleting the tombstone
// that the request replaces, if any.
func (k *keyedRequest) begin(r route) error {
	s := k.s
	if err := s.applySettings(r.lease.Conn); err != nil {
		return err
	}
	query := "BEGIN; "
	if k.tombstone != "" {
		query += substituteArguments(cwrequestkey.DeleteTombstone, k.key, k.tombstone) + "; "
	}
	_, err := s.exec(r, query+substituteArguments(cwrequestkey.InsertKey, k.key, k.digest, "open"))
	return err
}

// handleBeginError handles an error of begin by its SQLSTATE: it creates the table
// of keys if that is missing (42P01), looks up a key that already exists (23505),
// and asks for a retry if the member is no longer the primary.
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
		_, err := s.exec(r, cwrequestkey.CreateTable)
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

// handleExistingKey decides what an existing row of the key means: a completed
// request is replayed, a key of another request is refused, and a tombstone is
// replaced by the next attempt.
func (k *keyedRequest) handleExistingKey(r route) (retry bool, err error) {
	s := k.s
	row, err := s.lookupKey(r, k.key)
	s.releaseOrDiscard(r, err)
	if err != nil {
		return true, cwrefusal.NotRun(cwrefusal.SerializationFailure, retryAfter, "the request could not begin")
	}
	switch cwrequestkey.Classify(row, k.digest) {
	case cwrequestkey.Replay:
		return false, s.replay(r, row)
	case cwrequestkey.Mismatch:
		return false, cwrefusal.NotRun(cwrefusal.DuplicateRequest, 0, "this request key belongs to another request")
	case cwrequestkey.Tombstoned:
		k.tombstone = row.State
	}
	return true, cwrefusal.NotRun(cwrefusal.SerializationFailure, retryAfter, "another attempt of this request is in progress")
}

// replay sends the recorded response of a completed request, once its record
// cannot be lost any more.
//
// A new primary can have the key in its log from an earlier term without a
// majority having it. If a third primary then dropped the record, the client
// would have been told that a lost request was done. So the replay waits until
// the primary's log is on a majority, up to a position that was read after the
// lookup and in the same term.
func (s *session) replay(r route, row cwrequestkey.Row) error {
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

// awaitPrimaryLogOnMajority waits until the present log of the primary is on a
// majority of the members. It returns an error if the primary's term is not the
// one of the route, or if the majority is not confirmed.
func (s *session) awaitPrimaryLogOnMajority(r route) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	position, err := s.group.PrimaryPosition(ctx)
	if err != nil {
		return err
	}
	if position.Term != r.term {
		return errTermChanged
	}
	if o := s.group.AwaitMajority(s.server.statements, position); o != cwack.Acknowledged {
		return cwrefusal.Unknown("not known to be kept: %s", o)
	}
	s.recordPosition(position)
	return nil
}

// termChangedError reports that a row was read from a member that is no longer
// the primary.
type termChangedError struct{}

func (termChangedError) Error() string { return "the primary changed" }

var errTermChanged = termChangedError{}

// resolveLostCommit finds out whether a transaction with a request key committed
// after the response to its COMMIT was lost, and sends the client the result.
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

// resolveOutcome finds out the outcome of a request whose response was lost. If
// the request ran, its recorded response is queued and nil returned. If it did
// not, a tombstone is written first, so that the lost attempt cannot commit any
// more, and only then is a refusal as not run returned. If neither is known by
// the deadline, the outcome is reported as unknown.
func (s *session) resolveOutcome(key, digest string, deadline time.Time) error {
	for s.server.Clock.Now().Before(deadline) && s.server.statements.Err() == nil {
		done, err := s.resolveOutcomeOnce(key, digest, deadline)
		if done {
			return err
		}
		s.server.Clock.Sleep(resolveRetryInterval)
	}
	return cwrefusal.Unknown("it could not be found out in time whether the request ran")
}

// resolveOutcomeOnce makes one attempt at resolveOutcome. If done is false, the
// outcome is still unknown and the attempt may be repeated.
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
	meaning := cwrequestkey.Classify(row, digest)
	if meaning == cwrequestkey.Absent {
		err := s.writeTombstone(r, key, digest)
		return err == nil, confirmNotRun(err)
	}
	s.releaseConnection(r)
	if s.awaitPrimaryLogOnMajority(r) != nil {
		return false, errTermChanged
	}
	switch meaning {
	case cwrequestkey.Replay:
		answer, err := base64.StdEncoding.DecodeString(row.Answer)
		if err != nil {
			return true, cwrefusal.Unknown("the recorded answer of this request is damaged")
		}
		s.server.Metrics.Replays.Inc()
		s.output = append(s.output, answer...)
		return true, nil
	case cwrequestkey.Tombstoned:
		return true, confirmNotRun(nil)
	}
	return true, cwrefusal.NotRun(cwrefusal.DuplicateRequest, 0, "this request key belongs to another request")
}

// confirmNotRun returns the refusal of a request that certainly did not run, or
// err if its tombstone could not be written.
func confirmNotRun(err error) error {
	if err != nil {
		return err
	}
	return cwrefusal.NotRun(cwrefusal.SerializationFailure, retryAfter, "the request was not run; it may be sent again with the same key")
}

// writeTombstone inserts a tombstone for the key and waits until a majority has
// it.
func (s *session) writeTombstone(r route, key, digest string) error {
	id := cwrequestkey.TombstoneState(fmt.Sprintf("%d-%d", s.cancelKey.pid, s.server.Clock.Now().UnixNano()))
	res, err := s.exec(r, substituteArguments(cwrequestkey.InsertTombstone, key, digest, id))
	s.releaseOrDiscard(r, err)
	if err != nil {
		return err
	}
	position, err := parseLogPosition(res.LogPosition)
	if err != nil {
		return err
	}
	return s.awaitAcknowledgement(position)
}

// lookupKey reads the row of a key from the member of r.
func (s *session) lookupKey(r route, key string) (cwrequestkey.Row, error) {
	res, err := s.exec(r, substituteArguments(cwrequestkey.SelectKey, key))
	if cwtarget.ServerCode(err) == "42P01" {
		// The table is missing, so no request with a key has committed in this
		// group yet. Create it, so that a tombstone can be written.
		_, err = s.exec(r, cwrequestkey.CreateTable)
		return cwrequestkey.Row{}, err
	}
	if err != nil || len(res.Rows) == 0 {
		return cwrequestkey.Row{}, err
	}
	row := res.Rows[0]
	return cwrequestkey.Row{Found: true, Digest: row[0], State: row[1], Answer: row[2]}, nil
}
