package cwfront

import (
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/core/cwrequest"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpool"
)

// transaction is an explicit transaction of the caller.
type transaction struct {
	// lease is nil after the target's connection was lost.
	lease    *cwpool.Lease
	member   cwgroup.MemberID
	term     cwgroup.Term
	primary  bool
	endWrite func()
	// failed is true if the caller must roll back, whatever the target thinks.
	failed bool
	// status is the target's last word: T or E.
	status byte
	// key is the request key that the transaction carries.
	key string
	// pending are settings made in the transaction; they count if it commits.
	pending settings
	// dirty is true once a setting was changed on the connection.
	dirty bool
}

// runInTransaction runs a unit on the transaction's connection.
func (s *session) runInTransaction(u unit) {
	tx := s.tx
	if tx.lease == nil || tx.failed && !u.resync {
		s.fail(errAborted)
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
	start := len(s.out)
	if u.ends && tx.key != "" && tx.status == 'T' {
		if _, err := s.exec(r, fill(cwrequest.RecordAnswer, tx.key, "")); err != nil {
			u.ends = false
			s.loseTransaction(u, err)
			return
		}
	}
	rep, flushed, err := s.exchangeInTransaction(r, u)
	if err != nil {
		s.undo(start, flushed)
		s.loseTransaction(u, err)
		return
	}
	if !u.sync {
		s.batch.unsynced, s.batch.failed = true, rep.code != ""
		return
	}
	tx.status = rep.status
	if rep.status != 'I' {
		return
	}
	s.endTransaction(rep.tag == "COMMIT")
	if err := s.acknowledge(rep.mark); err != nil {
		s.undo(start, flushed)
		if tx.key != "" {
			s.resolveLost(tx.key, transactionDigest)
		} else {
			s.sendError("ERROR", err)
		}
	}
	tx.endWrite()
}

var errAborted = &cwrefusal.Refusal{
	Code:    "25P02",
	Message: "current transaction is aborted, commands ignored until end of transaction block",
	NotRun:  true,
}

func (s *session) exchangeInTransaction(r route, u unit) (reply, bool, error) {
	st := u.send(r.lease.Conn)
	_ = r.lease.Conn.SetWriteDeadline(r.deadline)
	if err := r.lease.Conn.Front.Flush(); err != nil {
		return reply{}, false, &lostError{why: "the connection to the database broke"}
	}
	rep, flushed, err := s.relay(r, st, u.sync, u.ends)
	if err == nil && u.done != nil {
		u.done(r.lease.Conn, rep)
	}
	return rep, flushed, err
}

// loseTransaction ends a transaction whose connection was lost. The target
// rolls back what was not told to commit, so only a unit that may have
// committed leaves the outcome unknown.
func (s *session) loseTransaction(u unit, err error) {
	tx := s.tx
	s.setLease(nil)
	tx.lease.Discard()
	tx.lease = nil
	if tx.endWrite != nil {
		tx.endWrite()
	}
	if !u.ends {
		s.fail(cwrefusal.NotRun(cwrefusal.SerializationFailure, retryAfter, "the connection to the database broke; the transaction was rolled back"))
		return
	}
	s.tx = nil
	if tx.key != "" {
		s.resolveLost(tx.key, transactionDigest)
		return
	}
	s.sendError("ERROR", lost(err, tx.primary))
}

// endTransaction gives up the transaction's connection. It is pooled only if
// the transaction is over there and no setting was changed in it.
func (s *session) endTransaction(committed bool) {
	tx := s.tx
	s.tx = nil
	s.portals = nil
	if committed {
		s.settings = tx.pending
	}
	s.setLease(nil)
	if tx.lease == nil {
		return
	}
	if tx.status == 'I' && !tx.dirty {
		tx.lease.Release(false)
		return
	}
	tx.lease.Discard()
	if tx.status != 'I' && tx.endWrite != nil {
		tx.endWrite()
	}
}
