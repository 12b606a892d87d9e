package cwfront

import (
	"encoding/binary"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
)

// send appends a message to what the next flush sends.
func (s *session) send(m pgproto3.BackendMessage) {
	out, err := m.Encode(s.out)
	if err == nil {
		s.out = out
	}
}

// keepOut is the size up to which the buffer of a session is kept.
const keepOut = 16 << 10

func (s *session) flush() error {
	if len(s.out) == 0 {
		return nil
	}
	s.flushes++
	_, err := s.conn.Write(s.out)
	s.out = s.out[:0]
	if cap(s.out) > keepOut {
		s.out = nil
	}
	return err
}

// parseCompletes counts the messages in out which say that a statement is prepared.
func parseCompletes(out []byte) int {
	const header = 5
	n := 0
	for len(out) >= header {
		if out[0] == parseComplete[0] {
			n++
		}
		// The length counts itself but not the type byte.
		out = out[min(len(out), 1+int(binary.BigEndian.Uint32(out[1:header]))):]
	}
	return n
}

// undo drops what was to be sent since start, where nothing of it went out. If
// something did, the rest is dropped: an error follows, and nothing that says
// that the statement succeeded may stand before it.
func (s *session) undo(start int, flushed bool) {
	if flushed {
		start = 0
	}
	s.out = s.out[:start]
}

// sendError answers with an error.
func (s *session) sendError(severity string, err error) {
	e := &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: "XX000", Message: err.Error()}
	var syntax *cwsql.SyntaxError
	if errors.As(err, &syntax) {
		e.Code, e.Message, e.Position = "42601", syntax.Message, int32(syntax.Position)
	}
	if r := cwrefusal.As(err); r != nil {
		e.Code, e.Message, e.Hint, e.Detail = string(r.Code), r.Message, r.Hint, r.Detail()
		if r.NotRun {
			s.server.Metrics.NotRun.Inc()
		} else {
			s.server.Metrics.Unknown.Inc()
		}
	}
	s.send(e)
}

// fail answers a statement with an error that did not come from the target. An
// open transaction can only be rolled back then, as after any error.
func (s *session) fail(err error) {
	s.sendError("ERROR", err)
	if s.tx != nil {
		s.tx.failed = true
	}
}
