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
)

// Startup is what a connection to a target begins with.
type Startup struct {
	User, Database, Application string
}

// DialError reports a target that could not be connected to. Nothing was sent.
type DialError struct {
	Address string
	Cause   error
}

func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// ServerError is an error that a target answered with.
type ServerError struct {
	Code, Message string
}

func (e *ServerError) Error() string { return e.Code + ": " + e.Message }

// Conn is an open connection to a target.
type Conn struct {
	net.Conn
	Front *pgproto3.Frontend
	// PID and Secret name the connection in a request to cancel.
	PID    uint32
	Secret []byte
	// Parameters are those that the target reported at the start.
	Parameters map[string]string
	Address    string

	sent sentBytes
}

// sentBytes passes bytes on and counts them.
type sentBytes struct {
	w io.Writer
	n int
}

func (s *sentBytes) Write(b []byte) (int, error) {
	n, err := s.w.Write(b)
	s.n += n
	return n, err
}

// TakeSent returns how many bytes were sent since it was last called.
func (c *Conn) TakeSent() int {
	n := c.sent.n
	c.sent.n = 0
	return n
}

// maxMessage bounds one message from a target, in bytes.
const maxMessage = 256 << 20

// Dial connects to a target and waits until it is ready for queries.
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
		sent:       sentBytes{w: nc},
	}
	c.Front = pgproto3.NewFrontend(nc, &c.sent)
	c.Front.SetMaxBodyLen(maxMessage)
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
	c.Front.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":             s.User,
			"database":         s.Database,
			"application_name": s.Application,
		},
	})
	if err := c.Front.Flush(); err != nil {
		return err
	}
	for {
		msg, err := c.Front.Receive()
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

// Result is the answer to Exec: the rows as text, and the mark of a commit if
// there was one.
type Result struct {
	Rows   [][]string
	Mark   string
	Status byte
}

// Exec runs a simple query of the system's own and reads its whole answer. A
// ServerError leaves the connection usable, any other error does not.
func (c *Conn) Exec(query string) (Result, error) {
	return c.ExecWith(query, c.Front.Receive)
}

// ExecWith is Exec with the caller's own way to receive, which may give up.
func (c *Conn) ExecWith(query string, receive func() (pgproto3.BackendMessage, error)) (Result, error) {
	c.Front.Send(&pgproto3.Query{String: query})
	if err := c.Front.Flush(); err != nil {
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
				res.Mark = m.Value
			}
		case *pgproto3.ErrorResponse:
			if EndsConnection(m) {
				return res, &EndedError{Message: m.Message}
			}
			failed = &ServerError{Code: m.Code, Message: m.Message}
		case *pgproto3.ReadyForQuery:
			res.Status = m.TxStatus
			if failed != nil {
				return res, failed
			}
			return res, nil
		}
	}
}

// EndedError says that the target ended the connection.
type EndedError struct{ Message string }

func (e *EndedError) Error() string { return "the target ended the connection: " + e.Message }

// EndsConnection reports whether an error is the target's last word on the
// connection, as at its shutdown.
func EndsConnection(m *pgproto3.ErrorResponse) bool {
	return m.SeverityUnlocalized == "FATAL" || m.SeverityUnlocalized == "PANIC"
}

// ServerCode returns the SQLSTATE that a target answered with, or the empty
// text if err is something else.
func ServerCode(err error) string {
	var se *ServerError
	if errors.As(err, &se) {
		return se.Code
	}
	return ""
}

// Cancel asks the target to end the statement that runs on a connection.
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
	// The target closes the connection once it has acted.
	_ = nc.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = nc.Read(make([]byte, 1))
	return nil
}

// NewSecret makes the 4-byte secret of protocol 3.0 from a number.
func NewSecret(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }
