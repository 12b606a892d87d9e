package cwserver

import (
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// exec runs a statement of the proxy itself on a borrowed connection. The
// watchdog ends the wait, for instance if the member is no longer the primary.
func (s *session) exec(r route, query string) (cwtarget.Result, error) {
	s.setActiveLease(r.lease)
	w := watchdog{s: s, route: r, lastActivity: s.server.Clock.Now()}
	w.setReadDeadline()
	defer w.clearReadDeadline()
	return r.lease.Conn.ExecWith(query, w.receive)
}

// sendKeyed sends a request inside the transaction that its request key was
// written in.
func (s *session) sendKeyed(r route, req request) (responseSummary, bool, error) {
	req.mayCommit = true // hold the whole response: it is recorded with the key
	return s.sendAndRelay(r, req)
}

// releaseOrDiscard returns a connection to the pool after a statement of the
// proxy itself, or closes it if err leaves its state unknown. After an error that
// the target reported the state is known.
func (s *session) releaseOrDiscard(r route, err error) {
	if err == nil || cwtarget.ServerCode(err) != "" {
		s.releaseConnection(r)
		return
	}
	s.discardConnection(r)
}

// rollback rolls back the transaction at the target and returns the connection
// to the pool.
func (s *session) rollback(r route) {
	_, err := s.exec(r, "ROLLBACK")
	s.releaseOrDiscard(r, err)
}

// discardConnection closes a connection whose state is unknown.
func (s *session) discardConnection(r route) {
	s.setActiveLease(nil)
	r.lease.Discard()
}

// parseLogPosition parses the log position reported with a commit. A commit that
// wrote nothing reports none, and the zero position is returned.
func parseLogPosition(text string) (cwgroup.LogPosition, error) {
	if text == "" {
		return cwgroup.LogPosition{}, nil
	}
	return cwgroup.ParseLogPosition(text)
}
