package cwfront

import (
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// startup carries out the handshake. It returns false if there is nothing more
// to do for the connection.
func (s *session) startup() bool {
	_ = s.conn.SetDeadline(time.Now().Add(HandshakeTimeout))
	msg, err := s.firstMessage()
	if err != nil {
		return false
	}
	switch m := msg.(type) {
	case *pgproto3.CancelRequest:
		if !s.server.CancelLocal(m.ProcessID, m.SecretKey) {
			s.server.Services.ForwardCancel(m.ProcessID, m.SecretKey)
		}
		return false
	case *pgproto3.StartupMessage:
		if err := s.begin(m.Parameters); err != nil {
			s.sendError("FATAL", err)
			_ = s.flush()
			return false
		}
	}
	s.greet()
	if s.flush() != nil {
		return false
	}
	_ = s.conn.SetDeadline(time.Time{})
	s.backend.SetMaxBodyLen(MaxMessage)
	return true
}

func (s *session) firstMessage() (pgproto3.FrontendMessage, error) {
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		default:
			return msg, nil
		}
	}
}

// begin takes the start-up parameters.
func (s *session) begin(params map[string]string) error {
	if s.server.draining.Load() {
		return cwrefusal.NotRun(cwrefusal.CannotConnectNow, time.Second, "this proxy is shutting down")
	}
	if !s.server.Services.Ready() {
		return cwrefusal.NotRun(cwrefusal.CannotConnectNow, time.Second, "this proxy is starting")
	}
	name := params["database"]
	if name == "" {
		name = params["user"]
	}
	entry, ok := s.server.Services.Entry(name)
	if !ok {
		return cwrefusal.NotRun(cwrefusal.UndefinedDatabase, 0, "database %q does not exist", name)
	}
	s.entry, s.revision = entry, s.server.Services.Revision()
	if err := s.chooseGroup(); err != nil {
		return err
	}
	for k, v := range params {
		lower := strings.ToLower(k)
		switch {
		case lower == "user" || lower == "database" || lower == "application_name" || lower == "replication" && v == "false":
		case strings.HasPrefix(lower, ownPrefix):
			if err := s.setOwn(lower, v); err != nil {
				return err
			}
		case lower == "client_encoding":
			if !strings.EqualFold(strings.ReplaceAll(v, "-", ""), "utf8") {
				return badSetting(k, v, "UTF8")
			}
		case lower == "options" && v != "", lower == "replication":
			return cwrefusal.NotRun(cwrefusal.FeatureNotSupported, 0, "start-up parameter %q is not supported", k)
		case len(v) > maxSettingBytes:
			return badSetting(k, "", "at most 1024 bytes")
		case lower != "options":
			s.settings = s.settings.with(lower, v)
		}
	}
	return nil
}

func (s *session) greet() {
	s.send(&pgproto3.AuthenticationOk{})
	for _, kv := range [][2]string{
		{"server_version", s.server.Version},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	} {
		s.send(&pgproto3.ParameterStatus{Name: kv[0], Value: kv[1]})
	}
	s.reportToken()
	s.send(&pgproto3.BackendKeyData{ProcessID: s.key.pid, SecretKey: cwtarget.NewSecret(s.key.secret)})
	s.send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}
