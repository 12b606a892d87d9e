package cwserver

import (
	"encoding/binary"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
)

// send appends a message to the output that the next flush sends.
func (s *session) send(m pgproto3.BackendMessage) {
	out, err := m.Encode(s.output)
	if err == nil {
		s.output = out
	}
}

// maxKeptOutput is the largest output buffer, in bytes, that a session keeps
// after a flush. A larger one is released.
const maxKeptOutput = 16 << 10

// flush sends the queued output to the client.
func (s *session) flush() error {
	if len(s.output) == 0 {
		return nil
	}
	s.flushCount++
	_, err := s.conn.Write(s.output)
	s.output, s.chargedOutput = s.output[:0], 0
	if cap(s.output) > maxKeptOutput {
		s.output = nil
	}
	return err
}

// countParseCompletes returns the number of ParseComplete messages in out.
func countParseCompletes(out []byte) int {
	const header = 5
	n := 0
	for len(out) >= header {
		if out[0] == parseComplete[0] {
			n++
		}
		// A message's length field includes itself but not the type byte.
		out = out[min(len(out), 1+int(binary.BigEndian.Uint32(out[1:header]))):]
	}
	return n
}

// discardOutput removes the output queued since offset start. If a part of the
// response was already flushed, the offset is no longer valid and all queued
// output is removed: an error follows, and no message that reports success may
// precede it.
func (s *session) discardOutput(start int, flushed bool) {
	if flushed {
		start = 0
	}
	s.output = s.output[:start]
}

// sendError queues an ErrorResponse for err. A refusal brings its own SQLSTATE,
// hint and detail; other errors except syntax errors have the code XX000.
func (s *session) sendError(severity string, err error) {
	e := &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: "XX000", Message: err.Error()}
	var syntax *cwsql.SyntaxError
	if errors.As(err, &syntax) {
		e.Code, e.Message, e.Position = "42601", syntax.Message, int32(syntax.Position)
	}
	if r := cwrefusal.As(err); r != nil {
		e.Code, e.Message, e.Hint, e.Detail = string(r.Code), r.Message, r.Hint, r.Detail()
		if r.NotRun {
			s.server.Metrics.NotRunRefusals.Inc()
		} else {
			s.server.Metrics.UnknownRefusals.Inc()
		}
	}
	s.send(e)
}

// failStatement answers a statement with an error that did not come from the
// target. An open transaction can only be rolled back afterwards, as after any
// other error.
func (s *session) failStatement(err error) {
	s.sendError("ERROR", err)
	if s.tx != nil {
		s.tx.failed = true
	}
}
