package cwserver

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
	"cicadawalk.example/cicadawalk/internal/core/cwmemory"
	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/core/cwrendezvous"
	"cicadawalk.example/cicadawalk/internal/core/cwsession"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmemoryguard"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmonitor"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpgpool"
	"cicadawalk.example/cicadawalk/internal/wire/cwframe"
)

// session serves one client connection. Its goroutine owns all fields except
// those guarded by mu.
type session struct {
	server    *Server
	conn      net.Conn
	backend   *pgproto3.Backend
	cancelKey cancelKey
	// output holds encoded messages that the next flush sends to the client.
	output []byte
	// chargedOutput is the length of output that is charged to memory.
	chargedOutput int
	// input is what backend reads, message by message, and memory is charged for what the client
	// makes the proxy hold.
	input  *cwframe.Reader
	memory *cwmemoryguard.Holder
	// flushCount is the number of flushes that sent something.
	flushCount int

	entry cwcatalogue.Entry
	// revision is the catalogue revision that entry and group were taken from.
	revision uint64
	// group is the replication group that has the client's data. It is nil while
	// the entry has several groups and the client has not set cicadawalk.shard.
	group *cwmonitor.Group

	token cwsession.Token
	// reportedToken is the encoded token last reported to the client.
	reportedToken string
	// primaryPositions holds, by group, the primary's log position read after the
	// client connected. It is the floor, the minimum position that a read must
	// see, of each group that the token has no position for.
	primaryPositions map[string]cwgroup.LogPosition
	// checkedFloors holds the groups whose floor was checked against the primary;
	// see checkFloor.
	checkedFloors map[string]bool
	settings      settings
	proxySettings proxySettings

	tx       *transaction
	prepared map[string]*preparedStatement
	portals  map[string]*preparedStatement
	// portalBytes is what is charged for portals.
	portalBytes int64
	batch       batch

	// mu guards the fields that Drain and CancelSession use.
	mu          sync.Mutex
	activeLease *cwpgpool.Lease
	// waiting is true while the session waits for a message of its client, and idle if
	// neither a transaction nor a batch is open then.
	waiting, idle bool
	// givesWay is true once the session is to end since it holds more memory than others, and
	// interrupted once the wait for its client was ended.
	givesWay, interrupted bool
	// messageBounded is true while the deadline of a message is set on the connection.
	messageBounded bool
}

func newSession(srv *Server, conn net.Conn) *session {
	in := cwframe.NewReader(conn, inputBuffer, cwframe.StartupHeader)
	b := pgproto3.NewBackend(in, conn)
	b.SetMaxBodyLen(maxStartupMessage)
	s := &session{server: srv, conn: conn, input: in, backend: b, cancelKey: newCancelKey(srv.InstanceTag)}
	s.memory = srv.Memory.Open(s.giveWay)
	return s
}

// selectGroup sets the group that has the client's data: the entry's only group,
// or the one that cicadawalk.shard hashes to. Every proxy selects the same group
// for a shard. Without a shard the group of an entry with several stays nil.
func (s *session) selectGroup() error {
	names := s.entry.GroupNames()
	name := names[0]
	if len(names) > 1 {
		if s.proxySettings.shard == "" {
			s.group = nil
			return nil
		}
		name = cwrendezvous.Order(s.proxySettings.shard, names)[0]
	}
	g, ok := s.server.Proxy.Group(name)
	if !ok {
		return cwrefusal.NotRun(cwrefusal.CannotConnectNow, time.Second, "the database is being set up at this proxy")
	}
	s.group = g
	return nil
}

// refreshEntry reloads the entry and the group if the catalogue has changed, so
// that changes also apply to open connections.
func (s *session) refreshEntry() error {
	rev := s.server.Proxy.Revision()
	if rev == s.revision {
		return nil
	}
	entry, ok := s.server.Proxy.Entry(s.entry.Service)
	if !ok {
		return cwrefusal.NotRun(cwrefusal.UndefinedDatabase, 0, "database %q does not exist any more", s.entry.Service)
	}
	s.entry, s.revision = entry, rev
	return s.selectGroup()
}

// setToken merges a session token sent by the client into the session's own. The
// floors of its groups are checked again before the next read.
func (s *session) setToken(text string) error {
	t, err := cwsession.ParseToken(text)
	if err == nil {
		t, err = t.ForGroups(s.entry.GroupNames())
	}
	if err != nil {
		return invalidSetting(tokenParameter, "", "a token of this service; "+err.Error())
	}
	for _, g := range s.entry.GroupNames() {
		if m, ok := t.Position(g); ok {
			s.token = s.token.WithPosition(g, m)
			delete(s.checkedFloors, g)
		}
	}
	return nil
}

// recordPosition records in the token that the session has written up to, or
// observed, log position m of its group. The floor needs no check, because m comes
// from the primary.
func (s *session) recordPosition(m cwgroup.LogPosition) {
	s.token = s.token.WithPosition(s.group.Name(), m)
	if s.checkedFloors == nil {
		s.checkedFloors = make(map[string]bool)
	}
	s.checkedFloors[s.group.Name()] = true
}

// reportToken queues a ParameterStatus with the session token if it has changed
// since the last report.
func (s *session) reportToken() {
	if t := s.token.String(); t != s.reportedToken {
		s.reportedToken = t
		s.send(&pgproto3.ParameterStatus{Name: tokenParameter, Value: t})
	}
}

// run serves the client until it disconnects or the proxy drains.
func (s *session) run() {
	defer s.discardOpenConnections()
	for {
		if !s.beginWait() {
			s.sendError("FATAL", s.endReason())
			_ = s.flush()
			return
		}
		msg, err := s.receive()
		s.endWait()
		if err := s.handleReceived(msg, err); err != nil {
			return
		}
		s.memory.ReleaseAll(cwmemory.Message, cwmemory.Answer)
	}
}

// handleReceived processes a message of the client, or the error of receiving it. An error ends the
// session.
func (s *session) handleReceived(msg pgproto3.FrontendMessage, err error) error {
	var noRoom *noRoomError
	switch {
	case errors.As(err, &noRoom):
		return s.refuseMessage(noRoom)
	case err != nil:
		s.answerReceiveError(err)
		return err
	}
	return s.handleMessage(msg)
}

// endReason is the last message to a client whose session ends.
func (s *session) endReason() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.givesWay {
		return gaveWayRefusal()
	}
	return shutdownRefusal()
}

// shutdownRefusal is the last message to a client of a proxy that shuts down. An open
// transaction is rolled back.
func shutdownRefusal() error {
	return cwrefusal.NotRun(cwrefusal.AdminShutdown, time.Second, "this proxy is shutting down; connect again")
}

// answerReceiveError sends the client an error if a message was too long or
// malformed, or if the wait was ended by a drain. It sends nothing if the client
// has disconnected.
func (s *session) answerReceiveError(err error) {
	var ne net.Error
	switch {
	case errors.As(err, &ne) && ne.Timeout() && s.endsEarly():
		s.sendError("FATAL", s.endReason())
	case errors.As(err, &ne) && ne.Timeout():
		s.sendError("FATAL", cwrefusal.NotRun(cwrefusal.ProtocolViolation, 0, "message not complete in time"))
	case isMessageTooLong(err):
		s.sendError("FATAL", cwrefusal.NotRun(cwrefusal.LimitExceeded, 0, "message longer than %d bytes", MaxMessageSize))
	case isDisconnect(err):
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

// isDisconnect reports whether an error of Receive means that the connection to
// the client is closed or broken.
func isDisconnect(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) || errors.Is(err, net.ErrClosed) || strings.Contains(err.Error(), "EOF")
}

// beginWait marks the session as waiting for its client. It returns false if the session
// is to end instead: the proxy drains and no transaction or batch is open, or statements
// are given up.
func (s *session) beginWait() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting, s.idle = true, s.tx == nil && !s.batch.active()
	return s.server.statements.Err() == nil && !(s.idle && s.server.draining.Load()) && !s.givesWay
}

// endsEarly reports whether the session ends for a reason of the proxy.
func (s *session) endsEarly() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.givesWay || s.server.draining.Load()
}

func (s *session) endWait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting, s.idle = false, false
	if s.messageBounded && !s.interrupted {
		s.messageBounded = false
		// If it fails, the next read fails as well.
		_ = s.conn.SetReadDeadline(time.Time{})
	}
}

// interruptWaiting ends the wait for the next message, in a transaction or batch only if
// all is true.
func (s *session) interruptWaiting(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle || s.waiting && all {
		s.interrupt()
	}
}

// handleMessage processes one message of the client. An error ends the session.
func (s *session) handleMessage(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Query:
		s.handleSimpleQuery(m.String)
		return s.finishResponse()
	case *pgproto3.Sync:
		s.runBatch(true)
		if s.tx == nil {
			s.forgetPortals()
		}
		return s.finishResponse()
	case *pgproto3.Flush:
		s.runBatch(false)
		return s.flush()
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		return s.addToBatch(msg)
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

// terminatedError ends a session after a Terminate message, or after a protocol
// violation that the client was already told of.
type terminatedError struct{}

func (terminatedError) Error() string { return "terminated" }

var errTerminated = terminatedError{}

// discardOpenConnections closes the target connections of a transaction or a
// flushed batch that the client left open.
func (s *session) discardOpenConnections() {
	if s.tx != nil {
		s.endTransaction(false)
	}
	if l := s.batch.lease; l != nil {
		s.setActiveLease(nil)
		l.Discard()
	}
}

// setActiveLease sets the target connection that a CancelRequest applies to; nil
// means none.
func (s *session) setActiveLease(l *cwpgpool.Lease) {
	s.mu.Lock()
	s.activeLease = l
	s.mu.Unlock()
}

// cancelStatement asks the target to cancel the statement that runs on the
// active connection. It may be called from any goroutine.
func (s *session) cancelStatement() {
	s.mu.Lock()
	l := s.activeLease
	s.mu.Unlock()
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = l.Cancel(ctx)
}

// txStatus returns the transaction status byte for ReadyForQuery.
func (s *session) txStatus() byte {
	switch {
	case s.tx == nil:
		return 'I'
	case s.tx.failed || s.tx.txStatus == 'E':
		return 'E'
	default:
		return 'T'
	}
}

// finishResponse ends a response with ReadyForQuery and flushes it.
func (s *session) finishResponse() error {
	s.reportToken()
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
	return s.flush()
}
