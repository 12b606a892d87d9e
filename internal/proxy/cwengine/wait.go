package cwengine

import (
	"errors"
	"io"
	"os"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// wakeTimeout ends the wait of a session's reader.
const wakeTimeout = time.Nanosecond

// next waits for the next statement. A transaction that is idle for too long is rolled
// back without a message to the caller, which learns of it with the answer to its next
// statement.
func (s *session) next() (cwstatement.Statement, error) {
	for {
		timeout := time.Duration(0)
		switch {
		case s.tx != nil && s.tx.lease != nil:
			timeout = s.tx.entry.Contract.IdleTransaction
		case s.remote != nil && s.remote.holder != nil:
			timeout = s.remote.entry.Contract.IdleTransaction
		}
		if !s.beginIdle(timeout) {
			s.sayEnd(*s.closing)
			return cwstatement.Statement{}, io.EOF
		}
		st, err := s.caller.Next()
		closing := s.endIdle()
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return st, err
		case closing != nil:
			s.sayEnd(*closing)
			return st, err
		case !s.inTransaction():
			return st, err
		}
		s.failTransaction("the transaction rested for too long")
	}
}

// beginIdle marks the session as waiting for its caller, for at most timeout if that is
// not zero. It returns false if the session is to end instead.
func (s *session) beginIdle(timeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing != nil {
		return false
	}
	s.idle, s.idleInTransaction, s.idleSince = true, s.inTransaction(), s.engine.cfg.Clock.Now()
	return s.caller.SetReadTimeout(timeout) == nil
}

// endIdle marks the session as no longer waiting. It returns what the caller is to be told if
// the session is to end, else nil.
func (s *session) endIdle() *cwstatement.Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = false
	return s.closing
}

// closeIfIdle ends the session if it waits for its caller, and tells the caller why. Inside
// a transaction, and after less than minIdle, it does so only if all is true. It does not
// interrupt a statement in progress.
func (s *session) closeIfIdle(all bool, why cwstatement.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.idle || s.closing != nil || !all && (s.idleInTransaction || s.engine.cfg.Clock.Since(s.idleSince) < minIdle) {
		return
	}
	s.closing = &why
	// The expired timeout wakes the reader. If setting it fails, the reader fails as
	// well.
	_ = s.caller.SetReadTimeout(wakeTimeout)
}
