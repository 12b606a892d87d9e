package cwserver

import (
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/core/cwrequestkey"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpgpool"
)

// transaction is the client's open explicit transaction and the target
// connection that it holds.
type transaction struct {
	// lease is nil after the connection to the target was lost.
	lease   *cwpgpool.Lease
	member  cwgroup.MemberID
	term    cwgroup.Term
	primary bool
	// endWrite ends the write that acquireConnection counted as in progress.
	endWrite func()
	// failed is true if the client can only roll back, even if the transaction is
	// still usable at the target.
	failed bool
	// txStatus is the transaction status that the target last reported: 'T' while
	// the transaction is usable, 'E' after an error, 'I' once it has ended.
	txStatus byte
	// requestKey is the request key that was written in the transaction, or empty.
	requestKey string
	// pendingSettings become the session's settings if the transaction commits.
	pendingSettings settings
	// settingsChanged is true once a setting was changed on the connection, which
	// must then not be pooled again.
	settingsChanged bool
}

// runInTransaction runs a request on the transaction's connection. Before a
// request that may commit, it marks the transaction's request key as done.
func (s *session) runInTransaction(req request) {
	tx := s.tx
	if tx.lease == nil || tx.failed && !req.endsFlushedBatch {
		s.failStatement(errAborted)
		return
	}
	now := s.server.Clock.Now()
	r := route{
		lease:    tx.lease,
		member:   tx.member,
		primary:  tx.primary,
		term:     tx.term,
		deadline: now.Add(s.entry.Contract.StatementTimeout),
	}
	start := len(s.output)
	if req.mayCommit && tx.requestKey != "" && tx.txStatus == 'T' {
		if _, err := s.exec(r, substituteArguments(cwrequestkey.RecordAnswer, tx.requestKey, "")); err != nil {
			req.mayCommit = false
			s.handleLostTransaction(req, err)
			return
		}
	}
	rep, flushed, err := s.sendAndRelay(r, req)
	if err != nil {
		s.discardOutput(start, flushed)
		s.handleLostTransaction(req, err)
		return
	}
	if !req.sync {
		s.batch.awaitingSync, s.batch.failed = true, rep.errorCode != ""
		return
	}
	tx.txStatus = rep.txStatus
	if rep.txStatus != 'I' {
		return
	}
	s.endTransaction(rep.commandTag == "COMMIT")
	if err := s.awaitAcknowledgement(rep.position); err != nil {
		s.discardOutput(start, flushed)
		if tx.requestKey != "" {
			s.resolveLostCommit(tx.requestKey, transactionDigest)
		} else {
			s.sendError("ERROR", err)
		}
	}
	tx.endWrite()
}

// errAborted refuses a statement in a failed transaction, with PostgreSQL's own
// code and message.
var errAborted = &cwrefusal.Refusal{
	Code:    "25P02",
	Message: "current transaction is aborted, commands ignored until end of transaction block",
	NotRun:  true,
}

// sendAndRelay sends a request over the connection of r, without applying the
// session's settings first, and relays the response. flushed reports whether a
// part of the response was sent to the client.
func (s *session) sendAndRelay(r route, req request) (responseSummary, bool, error) {
	st := req.send(r.lease.Conn)
	_ = r.lease.Conn.SetWriteDeadline(r.deadline)
	if err := r.lease.Conn.Frontend.Flush(); err != nil {
		return responseSummary{}, false, &responseLostError{reason: "the connection to the database broke"}
	}
	rep, flushed, err := s.relayResponse(r, st, req.sync, req.mayCommit)
	if err == nil && req.onComplete != nil {
		req.onComplete(r.lease.Conn, rep)
	}
	return rep, flushed, err
}

// handleLostTransaction ends a transaction whose connection was lost. The target
// rolls back a transaction that it was not asked to commit, so the outcome is
// unknown only if req may have committed.
func (s *session) handleLostTransaction(req request, err error) {
	tx := s.tx
	s.setActiveLease(nil)
	tx.lease.Discard()
	tx.lease = nil
	if tx.endWrite != nil {
		tx.endWrite()
	}
	if !req.mayCommit {
		s.failStatement(cwrefusal.NotRun(cwrefusal.SerializationFailure, retryAfter, "the connection to the database broke; the transaction was rolled back"))
		return
	}
	s.tx = nil
	if tx.requestKey != "" {
		s.resolveLostCommit(tx.requestKey, transactionDigest)
		return
	}
	s.sendError("ERROR", lostRefusal(err, tx.primary))
}

// endTransaction gives up the transaction's connection. The connection goes back
// to the pool only if the transaction has ended at the target and no setting was
// changed in it; otherwise it is closed.
func (s *session) endTransaction(committed bool) {
	tx := s.tx
	s.tx = nil
	s.forgetPortals()
	if committed {
		s.settings = tx.pendingSettings
	}
	s.setActiveLease(nil)
	if tx.lease == nil {
		return
	}
	if tx.txStatus == 'I' && !tx.settingsChanged {
		tx.lease.Release(false)
		return
	}
	tx.lease.Discard()
	if tx.txStatus != 'I' && tx.endWrite != nil {
		tx.endWrite()
	}
}
