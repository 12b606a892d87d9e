package cwfront

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwplace"
	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/core/cwsession"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpool"
	"cicadawalk.example/cicadawalk/internal/proxy/cwwatch"
)

// session is one caller's connection.
type session struct {
	server  *Server
	conn    net.Conn
	backend *pgproto3.Backend
	key     cancelKey
	// out is what is to be sent to the caller at the next flush.
	out []byte
	// flushes counts the times that some of it was sent.
	flushes int

	entry cwcatalogue.Entry
	// revision is that of the catalogue which entry and group are from.
	revision uint64
	// group is nil until it is known which of the entry's groups has the
	// caller's data.
	group *cwwatch.Group

	token    cwsession.Token
	reported string
	// tips are the primaries' positions asked for after the connect: the floors
	// of groups that the token does not name.
	tips map[string]cwgroup.LogPosition
	// checked holds the groups whose floor was compared with the primary.
	checked  map[string]bool
	settings settings
	own      own

	tx       *transaction
	prepared map[string]*prepared
	portals  map[string]*prepared
	batch    batch

	// mu guards what other goroutines touch.
	mu    sync.Mutex
	lease *cwpool.Lease
	idle  bool
}

func newSession(v *Server, conn net.Conn) *session {
	b := pgproto3.NewBackend(conn, conn)
	b.SetMaxBodyLen(maxStartup)
	return &session{server: v, conn: conn, backend: b, key: newCancelKey(v.Tag)}
}

// chooseGroup finds the group that has the caller's data: the entry's only one,
// or the one that the shard hashes to. Every proxy finds the same.
func (s *session) chooseGroup() error {
	names := s.entry.GroupNames()
	name := names[0]
	if len(names) > 1 {
		if s.own.shard == "" {
			s.group = nil
			return nil
		}
		name = cwplace.Order(s.own.shard, names)[0]
	}
	g, ok := s.server.Services.Group(name)
	if !ok {
		return cwrefusal.NotRun(cwrefusal.CannotConnectNow, time.Second, "the database is being set up at this proxy")
	}
	s.group = g
	return nil
}

// refresh follows the catalogue: a change is in force for connections that are
// open, too.
func (s *session) refresh() error {
	rev := s.server.Services.Revision()
	if rev == s.revision {
		return nil
	}
	entry, ok := s.server.Services.Entry(s.entry.Service)
	if !ok {
		return cwrefusal.NotRun(cwrefusal.UndefinedDatabase, 0, "database %q does not exist any more", s.entry.Service)
	}
	s.entry, s.revision = entry, rev
	return s.chooseGroup()
}

// takeToken takes a session token that came from outside.
func (s *session) takeToken(text string) error {
	t, err := cwsession.ParseToken(text)
	if err == nil {
		t, err = t.ForGroups(s.entry.GroupNames())
	}
	if err != nil {
		return badSetting(tokenParameter, "", "a token of this service; "+err.Error())
	}
	for _, g := range s.entry.GroupNames() {
		if m, ok := t.Mark(g); ok {
			s.token = s.token.WithMark(g, m)
			delete(s.checked, g)
		}
	}
	return nil
}

// sawWrite records that the session wrote up to m.
func (s *session) sawWrite(m cwgroup.LogPosition) {
	s.token = s.token.WithMark(s.group.Name(), m)
	if s.checked == nil {
		s.checked = make(map[string]bool)
	}
	s.checked[s.group.Name()] = true
}

// reportToken tells the caller the token if it changed.
func (s *session) reportToken() {
	if t := s.token.String(); t != s.reported {
		s.reported = t
		s.send(&pgproto3.ParameterStatus{Name: tokenParameter, Value: t})
	}
}

// run serves the caller until it leaves or the proxy drains.
func (s *session) run() {
	defer s.abandon()
	for {
		if !s.enterIdle() {
			s.sendError("FATAL", cwrefusal.NotRun("57P01", time.Second, "this proxy is shutting down; connect again"))
			_ = s.flush()
			return
		}
		msg, err := s.backend.Receive()
		s.leaveIdle()
		if err != nil {
			s.receiveFailed(err)
			return
		}
		if err := s.handle(msg); err != nil {
			return
		}
	}
}

// receiveFailed answers what can be answered: a message that is too long or
// malformed gets an error, a caller that is gone gets nothing.
func (s *session) receiveFailed(err error) {
	var ne net.Error
	switch {
	case errors.As(err, &ne) && ne.Timeout() && s.server.draining.Load():
		s.sendError("FATAL", cwrefusal.NotRun("57P01", time.Second, "this proxy is shutting down; connect again"))
	case isMessageTooLong(err):
		s.sendError("FATAL", cwrefusal.NotRun(cwrefusal.LimitExceeded, 0, "message longer than %d bytes", MaxMessage))
	case isGone(err):
		return
	default:
		s.sendError("FATAL", cwrefusal.NotRun(cwrefusal.ProtocolViolation, 0, "malformed message"))
	}
	_ = s.flush()
}

func isMessageTooLong(err error) bool {
	var e *pgproto3.ExceededMaxBodyLenErr
	return errors.As(err, &e)
}

func isGone(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) || errors.Is(err, net.ErrClosed) || strings.Contains(err.Error(), "EOF")
}

// enterIdle marks the session as waiting for its caller. It returns false if
// the proxy drains and the caller has nothing in progress.
func (s *session) enterIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tx != nil || s.batch.active() {
		return true
	}
	s.idle = true
	return !s.server.draining.Load()
}

func (s *session) leaveIdle() {
	s.mu.Lock()
	s.idle = false
	s.mu.Unlock()
}

// wakeIdle ends the wait of a session whose caller has nothing in progress.
func (s *session) wakeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle {
		_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (s *session) handle(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Query:
		s.simpleQuery(m.String)
		return s.ready()
	case *pgproto3.Sync:
		s.runBatch(true)
		return s.ready()
	case *pgproto3.Flush:
		s.runBatch(false)
		return s.flush()
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		return s.collect(msg)
	case *pgproto3.Terminate:
		return errTerminated
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// Sent after a refused COPY; PostgreSQL ignores them too.
		return nil
	default:
		s.sendError("FATAL", cwrefusal.NotRun(cwrefusal.ProtocolViolation, 0, "unexpected message"))
		_ = s.flush()
		return errTerminated
	}
}

// terminatedError ends a session whose caller said good-bye or broke the
// protocol; it was answered already.
type terminatedError struct{}

func (terminatedError) Error() string { return "terminated" }

var errTerminated = terminatedError{}

// abandon ends what the caller left open.
func (s *session) abandon() {
	if s.tx != nil {
		s.endTransaction(false)
	}
	if l := s.batch.lease; l != nil {
		s.setLease(nil)
		l.Discard()
	}
}

// setLease names the connection that a request to cancel is for.
func (s *session) setLease(l *cwpool.Lease) {
	s.mu.Lock()
	s.lease = l
	s.mu.Unlock()
}

func (s *session) cancelStatement() {
	s.mu.Lock()
	l := s.lease
	s.mu.Unlock()
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = l.Cancel(ctx)
}

// txStatus is what ReadyForQuery says.
func (s *session) txStatus() byte {
	switch {
	case s.tx == nil:
		return 'I'
	case s.tx.failed || s.tx.status == 'E':
		return 'E'
	default:
		return 'T'
	}
}

// ready ends an answer.
func (s *session) ready() error {
	s.reportToken()
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
	return s.flush()
}
