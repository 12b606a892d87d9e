package cwfront

import (
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// exec runs a statement of the system's own on a borrowed connection. It stops
// waiting if the member no longer leads.
func (s *session) exec(r route, query string) (cwtarget.Result, error) {
	s.setLease(r.lease)
	w := watchdog{s: s, route: r, heard: s.server.Clock.Now()}
	w.arm()
	defer w.disarm()
	return r.lease.Conn.ExecWith(query, w.receive)
}

// exchangeKeyed sends a unit inside the transaction that carries its key.
func (s *session) exchangeKeyed(r route, u unit) (reply, bool, error) {
	u.ends = true // hold the whole answer
	return s.exchangeInTransaction(r, u)
}

// finishOwn gives a connection back after a statement of the system's own, or
// closes it if the statement left it in doubt.
func (s *session) finishOwn(r route, err error) {
	if err == nil || cwtarget.ServerCode(err) != "" {
		s.give(r)
		return
	}
	s.drop(r)
}

// rollback ends the transaction at the target and gives the connection back.
func (s *session) rollback(r route) {
	_, err := s.exec(r, "ROLLBACK")
	s.finishOwn(r, err)
}

// drop closes a connection whose state is not known.
func (s *session) drop(r route) {
	s.setLease(nil)
	r.lease.Discard()
}

// parseMark reads the mark of a commit; a commit that wrote nothing has none.
func parseMark(text string) (cwgroup.LogPosition, error) {
	if text == "" {
		return cwgroup.LogPosition{}, nil
	}
	return cwgroup.ParseLogPosition(text)
}
