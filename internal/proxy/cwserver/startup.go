package cwserver

import (
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/wire/cwframe"
	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// handshake receives the start-up message and answers it. It returns false if
// the connection is to be closed: after an error, a refusal or a CancelRequest.
func (s *session) handshake() bool {
	_ = s.conn.SetDeadline(time.Now().Add(HandshakeTimeout))
	msg, err := s.receiveFirstMessage()
	if err != nil {
		return false
	}
	switch m := msg.(type) {
	case *pgproto3.CancelRequest:
		if !s.server.CancelSession(m.ProcessID, m.SecretKey) {
			s.server.Proxy.ForwardCancel(m.ProcessID, m.SecretKey)
		}
		return false
	case *pgproto3.StartupMessage:
		if err := s.applyStartupParameters(m.Parameters); err != nil {
			s.sendError("FATAL", err)
			_ = s.flush()
			return false
		}
	}
	s.sendStartupResponse()
	if s.flush() != nil {
		return false
	}
	_ = s.conn.SetDeadline(time.Time{})
	s.backend.SetMaxBodyLen(MaxMessageSize)
	s.input.SetHeaderLength(cwframe.MessageHeader)
	s.input.Admit = s.admitMessage
	return true
}

// receiveFirstMessage returns the StartupMessage or CancelRequest. It declines
// TLS and GSSAPI encryption requests that come before.
func (s *session) receiveFirstMessage() (pgproto3.FrontendMessage, error) {
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

// applyStartupParameters selects the catalogue entry and the group by the
// database name, or the user name if that is empty, and applies the other
// parameters as session settings. Its error is sent to the client.
func (s *session) applyStartupParameters(params map[string]string) error {
	if s.server.draining.Load() {
		return cwrefusal.NotRun(cwrefusal.CannotConnectNow, time.Second, "this proxy is shutting down")
	}
	if !s.server.Proxy.Ready() {
		return cwrefusal.NotRun(cwrefusal.CannotConnectNow, time.Second, "this proxy is starting")
	}
	name := params["database"]
	if name == "" {
		name = params["user"]
	}
	entry, ok := s.server.Proxy.Entry(name)
	if !ok {
		return cwrefusal.NotRun(cwrefusal.UndefinedDatabase, 0, "database %q does not exist", name)
	}
	s.entry, s.revision = entry, s.server.Proxy.Revision()
	if err := s.selectGroup(); err != nil {
		return err
	}
	for k, v := range params {
		lower := strings.ToLower(k)
		switch {
		case lower == "user" || lower == "database" || lower == "application_name" || lower == "replication" && v == "false":
		case strings.HasPrefix(lower, proxySettingPrefix):
			if err := s.setProxySetting(lower, v); err != nil {
				return err
			}
		case !cwsql.AllowedValue(lower, v):
			return invalidSetting(k, v, "UTF8 as the encoding, and standard strings")
		case lower == "client_encoding":
		case lower == "options" && v != "", lower == "replication":
			return cwrefusal.NotRun(cwrefusal.FeatureNotSupported, 0, "start-up parameter %q is not supported", k)
		case len(v) > maxSettingBytes:
			return invalidSetting(k, "", "at most 1024 bytes")
		case lower != "options":
			s.settings = s.settings.with(lower, startupLiterals(lower, v))
		}
	}
	return nil
}

func (s *session) sendStartupResponse() {
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
	s.send(&pgproto3.BackendKeyData{ProcessID: s.cancelKey.pid, SecretKey: cwtarget.NewSecret(s.cancelKey.secret)})
	s.send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}
