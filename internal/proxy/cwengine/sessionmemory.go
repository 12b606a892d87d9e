package cwengine

import (
	"errors"

	"cicadawalk.example/cicadawalk/internal/core/cwmemory"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmemoryguard"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

const (
	// statementCopies is how often the texts of a statement are kept while it is in progress,
	// beside its message: encoded for another instance, which takes a third more, and as the
	// message to it; or as the message to a target.
	statementCopies = 3
	// callerAnswerCopies and forwardedAnswerCopies are how often the rows of an answer are kept:
	// as they came and as the caller's message; for another instance encoded, as the body of a
	// message, and as the message.
	callerAnswerCopies    = 2
	forwardedAnswerCopies = 5
)

// asNoRoom returns the *cwport.NoRoomError in an error of the caller's connection; nil if there is
// none.
func asNoRoom(err error) *cwport.NoRoomError {
	var noRoom *cwport.NoRoomError
	errors.As(err, &noRoom)
	return noRoom
}

// memoryRefusal returns the caller's answer to a statement for which there was no memory. Nothing
// has run.
func memoryRefusal(cause error) cwstatement.Response {
	return cwstatement.RetryLater(cwstatement.Busy, cause.Error(), cwmemoryguard.RetryAfter)
}

// refuseNoRoom refuses a statement for which there was no memory, and rolls back the open
// transaction, if there is one.
func (s *session) refuseNoRoom(v cwstatement.Verb, cause error) cwstatement.Response {
	if s.tx != nil && s.tx.failed {
		return s.handleInTransaction(cwstatement.Statement{Verb: v}, s.engine.cfg.Clock.Now())
	}
	return s.refuseAndFail(v, memoryRefusal(cause))
}

// refuseDropped tells the caller that there was no memory for its startup message. It has no effect
// if err is another error.
func (s *session) refuseDropped(err error) {
	if noRoom := asNoRoom(err); noRoom != nil {
		// The session ends in any case, so a write error is ignored.
		_ = s.caller.Refuse(memoryRefusal(noRoom.Cause))
	}
}

// chargeStatement charges the forms in which a statement is kept until it is answered. One of another
// instance was charged when it was read, and a rollback is never refused.
func (s *session) chargeStatement(st cwstatement.Statement) error {
	if s.forwarded != nil || st.Verb == cwstatement.Rollback {
		return nil
	}
	n := len(st.ID) + len(st.Text)
	if runsAtTarget(st.Verb) {
		n += s.settingBytes
	}
	if st.Verb == cwstatement.Execute {
		n += len(s.prepared[st.Name].text)
	}
	return s.memory.Charge(cwmemory.Statement, cwmemoryguard.StatementBytes+statementCopies*int64(n))
}

// runsAtTarget reports whether a statement is sent to a target or to a holder.
func runsAtTarget(v cwstatement.Verb) bool {
	switch v {
	case cwstatement.Read, cwstatement.Write, cwstatement.Execute, cwstatement.Commit:
		return true
	}
	return false
}

// giveWay ends what makes the session hold more than others: the message that is being read, or the
// session with its settings and prepared statements, once it has no statement in progress. A
// statement or answer ends by itself.
func (s *session) giveWay() {
	switch {
	case s.holder.Held(cwmemory.Message) > cwmemory.Allowance/2:
		s.caller.DropMessage()
	case s.holder.Held(cwmemory.Session) > cwmemory.Allowance/2:
		s.endWhenIdle(cwstatement.RetryLater(cwstatement.Aborted, "the session holds the most memory, which is used up", cwmemoryguard.RetryAfter))
	}
}

// endWhenIdle ends the session, and tells its caller why, as soon as no statement is in progress.
func (s *session) endWhenIdle(why cwstatement.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing != nil {
		return
	}
	s.closing = &why
	if s.idle {
		// The expired timeout wakes the reader. If setting it fails, the reader fails as well.
		_ = s.caller.SetReadTimeout(wakeTimeout)
	}
}

// answerMemory is the account that is charged for answers, once for each copy of them. It implements
// cwport.Memory.
type answerMemory struct {
	cwport.Memory
	copies int64
}

// Charge implements cwport.Memory.
func (m answerMemory) Charge(k cwmemory.Kind, n int64) error {
	if k == cwmemory.Answer {
		n *= m.copies
	}
	return m.Memory.Charge(k, n)
}

// answerMemory returns the account for the answers of targets to the session's statements.
func (s *session) answerMemory() cwport.Memory {
	if s.forwarded != nil {
		return answerMemory{Memory: s.memory, copies: forwardedAnswerCopies}
	}
	return answerMemory{Memory: s.memory, copies: callerAnswerCopies}
}

// refuseLargeAnswer returns the result of a command that has run and whose answer was dropped, since
// there was no memory for it.
func (s *session) refuseLargeAnswer(r exchangeResult, w work) exchangeResult {
	var large *cwport.AnswerTooLargeError
	if !errors.As(r.err, &large) {
		return r
	}
	r.err, r.answer = nil, large.Answer
	if r.answer.Code == cwstatement.OK {
		a := s.answerDropped(w, large.Cause)
		a.State, a.LogEnd = large.Answer.State, large.Answer.LogEnd
		r.answer = a
	}
	return r
}

// answerDropped returns the caller's answer to a successful statement without its rows.
func (s *session) answerDropped(w work, cause error) cwstatement.Response {
	if w.command.Verb == cwstatement.Commit || w.writes && !s.inTransaction() {
		return cwstatement.Failure(cwstatement.Unresolved, "the write ran, but there is no memory for its answer: "+cause.Error())
	}
	return cwstatement.RetryLater(cwstatement.Aborted, cause.Error(), cwmemoryguard.RetryAfter)
}

// chargeForwardedAnswer charges the session for the answer of a holder. If there is no memory for
// it, the caller gets a refusal instead, and the holder rolls back the transaction.
func (s *session) chargeForwardedAnswer(to cwport.Holder, h cwport.ForwardRequest, r cwport.ForwardResponse) cwport.ForwardResponse {
	n := 0
	for _, row := range r.Answer.Rows {
		n += len(row)
	}
	err := s.memory.Charge(cwmemory.Answer, callerAnswerCopies*int64(n))
	if err == nil {
		return r
	}
	st := h.Statement.Verb
	w := work{command: cwstatement.Command{Verb: st}, writes: st == cwstatement.Write || h.Prepared != nil && h.Prepared.Writes}
	a := s.answerDropped(w, err)
	if h.Transaction != "" && st != cwstatement.Commit {
		a.State = cwstatement.InFailedTransaction
		go s.sendRemoteRollback(to, cwport.ForwardRequest{Transaction: h.Transaction, Entry: h.Entry, Workspace: h.Workspace, Statement: cwstatement.Statement{Verb: cwstatement.Rollback}})
	}
	r.Answer = a
	return r
}
