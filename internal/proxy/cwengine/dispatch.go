package cwengine

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwleadership"
)

// inTransaction reports whether a transaction is open, on this instance or at a holder.
func (s *session) inTransaction() bool { return s.tx != nil || s.remote != nil }

// failTransaction rolls back the open transaction, if there is one, and marks it as
// failed. The caller still has to end it.
func (s *session) failTransaction(reason string) {
	switch {
	case s.tx != nil:
		s.tx.fail(reason)
	case s.remote != nil:
		s.failRemote(reason)
	}
}

// resolveEntry returns the catalogue entry that the session uses.
func (s *session) resolveEntry() (cwcatalogue.Entry, bool) {
	if s.forwarded != nil {
		return s.forwarded.entry, true
	}
	return s.engine.findEntry(s.database)
}

// localGroup returns the group of an entry for a statement that runs on this instance,
// and starts the group if necessary. An instance that only forwards statements does not
// need their groups, and callers use far more groups than run on one instance.
func (s *session) localGroup(entry cwcatalogue.Entry) (*cwleadership.Group, bool) {
	if s.forwarded != nil {
		return s.forwarded.group, true
	}
	return s.engine.groupForStatement(entry.Groups[0].Name)
}

// handle runs one statement, which arrived at began, and returns its answer.
func (s *session) handle(st cwstatement.Statement, began time.Time) cwstatement.Response {
	if a, refused := s.refuseShuttingDown(st); refused {
		return a
	}
	if a := s.authorise(st, began); a.Code != cwstatement.OK {
		return a
	}
	if a := s.checkQuota(st, began); a.Code != cwstatement.OK {
		return a
	}
	if err := s.chargeStatement(st); err != nil {
		return s.refuseNoRoom(st.Verb, err)
	}
	if s.tx != nil {
		return s.handleInTransaction(st, began)
	}
	if s.remote != nil {
		return s.handleInRemoteTransaction(st, began)
	}
	switch st.Verb {
	case cwstatement.Begin, cwstatement.BeginRead:
		return s.begin(st)
	case cwstatement.Set, cwstatement.Prepare, cwstatement.Deallocate:
		return s.updateSession(st)
	case cwstatement.Read, cwstatement.Write, cwstatement.Execute:
		return s.runSingle(st, began)
	case cwstatement.Rollback:
		return cwstatement.Response{}
	}
	return cwstatement.Failure(cwstatement.Malformed, "the statement has no place here")
}
