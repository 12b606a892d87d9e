package cwdatabase

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/wire/cwlisten"
)

// serverVersion is the PostgreSQL version reported to clients.
const serverVersion = "16.0"

// server accepts connections for one member.
type server struct {
	member *Member
	ln     net.Listener
	// slots is a semaphore of the statements executed concurrently.
	slots chan struct{}

	mu       sync.Mutex
	sessions map[uint32]*session
	nextPID  uint32
}

// RunningMember is a member that serves connections.
type RunningMember struct {
	*Member
	cancel     context.CancelFunc
	goroutines *errgroup.Group
	addr       string
}

// Start creates a member and serves it until Stop. It returns an error if the
// address cannot be listened on.
func Start(cfg Config) (*RunningMember, error) {
	m, err := newMember(cfg)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s := &server{
		member:   m,
		ln:       ln,
		slots:    make(chan struct{}, max(1, cfg.Slots)),
		sessions: make(map[uint32]*session),
		nextPID:  1000,
	}
	m.server = s
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	r := &RunningMember{Member: m, cancel: cancel, goroutines: g, addr: ln.Addr().String()}
	g.Go(func() error { return s.run(ctx) })
	g.Go(func() error { return m.runReplication(ctx) })
	return r, nil
}

// Addr returns the address on which the member listens.
func (r *RunningMember) Addr() string { return r.addr }

// Stop stops the member as a kill of the process would: all connections are
// closed without a message.
func (r *RunningMember) Stop() {
	r.cancel()
	_ = r.goroutines.Wait()
	r.server.closeConnections()
}

// Restart serves the member again after Stop, at the same address. It keeps its
// log, data and role, as a database that is restarted with its disk does. It
// returns an error if the address cannot be listened on.
func (r *RunningMember) Restart() error {
	ln, err := net.Listen("tcp", r.addr)
	if err != nil {
		return Error.Wrap(err)
	}
	r.server.ln = ln
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	r.cancel, r.goroutines = cancel, g
	s := r.server
	g.Go(func() error { return s.run(ctx) })
	g.Go(func() error { return r.runReplication(ctx) })
	return nil
}

// Connections returns the number of open client connections. Replication
// connections are not counted.
func (r *RunningMember) Connections() int {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	return len(r.server.sessions)
}

// run accepts connections until ctx ends, and returns when all are closed.
func (s *server) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.closeConnections)
	defer stop()
	l := cwlisten.Listener{Listener: s.ln, Handle: s.serveConn}
	defer l.Wait()
	return l.Run(ctx)
}

func (s *server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.sessions {
		_ = c.conn.Close()
	}
}

// terminateWriters cancels all statements in progress, and closes the connections
// that have a write transaction open.
func (s *server) terminateWriters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.sessions {
		if c.cancelStatement() {
			c.canceledByDemotion.Store(true)
		}
		if c.writing.Load() {
			_ = c.conn.Close()
		}
	}
}

// serveConn serves one connection, from its startup message to its end.
func (s *server) serveConn(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	backend := pgproto3.NewBackend(conn, conn)
	start, err := s.receiveStartup(conn, backend)
	if err != nil || start == nil {
		return
	}
	c := &session{server: s, member: s.member, conn: conn, backend: backend, settings: make(map[string]string)}
	c.init()
	s.member.waitWhileFrozen(ctx)
	if start.Parameters["replication"] == "true" {
		c.serveReplication(ctx)
		return
	}
	sleep(ctx, s.member.cfg.ConnectDelay)
	if !s.addSession(c) {
		c.fatal("53300", "sorry, too many clients already")
		return
	}
	defer s.removeSession(c)
	if db := start.Parameters["database"]; len(s.member.cfg.Databases) > 0 && !slices.Contains(s.member.cfg.Databases, db) {
		c.fatal("3D000", `database "`+db+`" does not exist`)
		return
	}
	c.run(ctx)
}

// receiveStartup returns the startup message. It declines encryption requests. It
// returns nil for a cancel request, which it carries out.
func (s *server) receiveStartup(conn net.Conn, b *pgproto3.Backend) (*pgproto3.StartupMessage, error) {
	for {
		msg, err := b.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			s.handleCancel(m.ProcessID, m.SecretKey)
			return nil, nil
		case *pgproto3.StartupMessage:
			return m, nil
		}
	}
}

// addSession registers a session under a new process id and secret key. It
// returns false if the limit of connections is reached.
func (s *server) addSession(c *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= s.member.cfg.MaxConnections {
		return false
	}
	s.nextPID++
	c.pid = s.nextPID
	c.secret = make([]byte, 4)
	_, _ = rand.Read(c.secret)
	s.sessions[c.pid] = c
	return true
}

func (s *server) removeSession(c *session) {
	s.mu.Lock()
	delete(s.sessions, c.pid)
	s.mu.Unlock()
}

// handleCancel cancels the statement of the session with the pid if the secret
// matches.
func (s *server) handleCancel(pid uint32, secret []byte) {
	s.mu.Lock()
	c, ok := s.sessions[pid]
	s.mu.Unlock()
	if ok && binary.BigEndian.Uint32(c.secret) == binary.BigEndian.Uint32(secret) {
		_ = c.cancelStatement()
	}
}

// sessionState returns the state of the session with the pid as in
// pg_stat_activity: active or idle, or empty if there is no such session.
func (s *server) sessionState(pid uint32) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.sessions[pid]
	if !ok {
		return ""
	}
	if c.active.Load() {
		return "active"
	}
	return "idle"
}

// waitWhileFrozen waits until Faults.Frozen is unset or ctx ends.
func (m *Member) waitWhileFrozen(ctx context.Context) {
	for {
		m.mu.Lock()
		frozen, changed := m.faults.Frozen, m.changed
		m.mu.Unlock()
		if !frozen {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// acquireSlot waits for a free slot and then for Faults.ServiceTime. The returned
// function releases the slot. It returns the error of ctx if that ends before a
// slot is free.
func (s *server) acquireSlot(ctx context.Context) (func(), error) {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	sleep(ctx, s.member.Faults().ServiceTime)
	return func() { <-s.slots }, nil
}

// notifyInterval is the interval at which a session that executed LISTEN is sent
// the member's status, even if nothing changed.
const notifyInterval = 250 * time.Millisecond
