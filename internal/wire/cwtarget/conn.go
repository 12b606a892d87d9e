package cwtarget

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/wire/cwframe"
)

// Startup holds the parameters of the startup message to a target.
type Startup struct {
	User, Database, Application string
}

// DialError reports that no usable connection to a target could be opened. No
// statement was sent.
type DialError struct {
	Address string
	Cause   error
}

func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// ServerError is an error response of a target. Code is the SQLSTATE.
type ServerError struct {
	Code, Message string
}

func (e *ServerError) Error() string { return e.Code + ": " + e.Message }

// Conn is an open connection to a target.
type Conn struct {
	net.Conn
	Frontend *pgproto3.Frontend
	// Input is what Frontend reads, message by message.
	Input *cwframe.Reader
	// PID and Secret identify the connection in a cancel request.
	PID    uint32
	Secret []byte
	// Parameters holds the run-time parameters that the target reported during
	// startup.
	Parameters map[string]string
	Address    string

	sent countingWriter
}

// countingWriter counts the bytes that are written to w.
type countingWriter struct {
	w io.Writer
	n int
}

func (s *countingWriter) Write(b []byte) (int, error) {
	n, err := s.w.Write(b)
	s.n += n
	return n, err
}

// TakeSent returns the number of bytes sent since the last call.
func (c *Conn) TakeSent() int {
	n := c.sent.n
	c.sent.n = 0
	return n
}

// inputBuffer is the size of the buffer of what a target sends, in bytes.
const inputBuffer = 8 << 10

// maxMessage is the largest message accepted from a target, in bytes.
const maxMessage = 256 << 20

// Dial connects to a target and waits until it is ready for queries. Errors are of type
// *DialError.
func Dial(ctx context.Context, address string, s Startup) (*Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{Address: address, Cause: err}
	}
	c := &Conn{
		Conn:       nc,
		Parameters: make(map[string]string),
		Address:    address,
		sent:       countingWriter{w: nc},
	}
	c.Input = cwframe.NewReader(nc, inputBuffer, cwframe.MessageHeader)
	c.Frontend = pgproto3.NewFrontend(c.Input, &c.sent)
	c.Frontend.SetMaxBodyLen(maxMessage)
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) })
	err = c.start(s)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = nc.Close()
		return nil, &DialError{Address: address, Cause: err}
	}
	return c, nil
}

func (c *Conn) start(s Startup) error {
	c.Frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":             s.User,
			"database":         s.Database,
			"application_name": s.Application,
		},
	})
	if err := c.Frontend.Flush(); err != nil {
		return err
	}
	for {
		msg, err := c.Frontend.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.ParameterStatus:
			c.Parameters[m.Name] = m.Value
		case *pgproto3.BackendKeyData:
			c.PID, c.Secret = m.ProcessID, append([]byte(nil), m.SecretKey...)
		case *pgproto3.ErrorResponse:
			return &ServerError{Code: m.Code, Message: m.Message}
		case *pgproto3.ReadyForQuery:
			return nil
		case *pgproto3.AuthenticationOk, *pgproto3.NoticeResponse:
		default:
			return &ServerError{Code: "28000", Message: "the target asks for a password; not supported yet"}
		}
	}
}

// Result is the result of a query.
type Result struct {
	// Rows holds the values as text.
	Rows [][]string
	// LogPosition is the log position of the commit, as text; empty if nothing was
	// committed.
	LogPosition string
	// TxStatus is the transaction status of the connection, as in ReadyForQuery.
	TxStatus byte
}

// Exec runs a query of the proxy itself with the simple query protocol and reads the
// whole result. The connection stays usable after a *ServerError, but after no other
// error.
func (c *Conn) Exec(query string) (Result, error) {
	return c.ExecWith(query, c.Frontend.Receive)
}

// ExecWith is like Exec but reads messages with receive, which may return an error, for
// example after a timeout.
func (c *Conn) ExecWith(query string, receive func() (pgproto3.BackendMessage, error)) (Result, error) {
	c.Frontend.Send(&pgproto3.Query{String: query})
	if err := c.Frontend.Flush(); err != nil {
		return Result{}, err
	}
	var res Result
	var failed *ServerError
	for {
		msg, err := receive()
		if err != nil {
			return res, err
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			row := make([]string, len(m.Values))
			for i, v := range m.Values {
				row[i] = string(v)
			}
			res.Rows = append(res.Rows, row)
		case *pgproto3.ParameterStatus:
			if m.Name == PositionParameter {
				res.LogPosition = m.Value
			}
		case *pgproto3.ErrorResponse:
			if EndsConnection(m) {
				return res, &EndedError{Message: m.Message}
			}
			failed = &ServerError{Code: m.Code, Message: m.Message}
		case *pgproto3.ReadyForQuery:
			res.TxStatus = m.TxStatus
			if failed != nil {
				return res, failed
			}
			return res, nil
		}
	}
}

// EndedError reports that the target ended the connection with a fatal error.
type EndedError struct{ Message string }

func (e *EndedError) Error() string { return "the target ended the connection: " + e.Message }

// EndsConnection reports whether the target closes the connection after this error, as
// it does at a shutdown.
func EndsConnection(m *pgproto3.ErrorResponse) bool {
	return m.SeverityUnlocalized == "FATAL" || m.SeverityUnlocalized == "PANIC"
}

// ServerCode returns the SQLSTATE of a *ServerError, or the empty string for other
// errors.
func ServerCode(err error) string {
	var se *ServerError
	if errors.As(err, &se) {
		return se.Code
	}
	return ""
}

// Cancel sends a cancel request for the statement that runs on the connection with this
// process id and secret. Errors are of type *DialError.
func Cancel(ctx context.Context, address string, pid uint32, secret []byte) error {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return &DialError{Address: address, Cause: err}
	}
	defer nc.Close()
	req := &pgproto3.CancelRequest{ProcessID: pid, SecretKey: secret}
	buf, err := req.Encode(nil)
	if err != nil {
		return &DialError{Address: address, Cause: err}
	}
	if _, err := nc.Write(buf); err != nil {
		return &DialError{Address: address, Cause: err}
	}
	// The target closes the connection after it has processed the request.
	_ = nc.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = nc.Read(make([]byte, 1))
	return nil
}

// NewSecret encodes n as the 4-byte cancel secret of protocol 3.0.
func NewSecret(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }
