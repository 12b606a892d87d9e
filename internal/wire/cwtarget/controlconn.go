package cwtarget

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Intervals and timeouts of a ControlConn.
const (
	// ProbeInterval is the time between status queries to a primary. The age of
	// data can be computed only from answers to queries, whose send time is known.
	// For replicas the heartbeats are sufficient.
	ProbeInterval = 250 * time.Millisecond
	// ReceiveTimeout is the time without any message after which a ControlConn
	// opens a new connection to test whether the member is reachable.
	ReceiveTimeout = 600 * time.Millisecond
	// ConnectTimeout limits the time to open a connection, including the startup
	// messages.
	ConnectTimeout = 300 * time.Millisecond
	// redialDelay is the pause after a failed connection.
	redialDelay = 100 * time.Millisecond
)

// ControlEvents receives the events of a ControlConn. The methods are called from the
// goroutines of the ControlConn, one at a time for each connection.
type ControlEvents interface {
	// StatusReceived is called for each status. The value of asked is the time at
	// which the query was sent, or zero for a notification.
	StatusReceived(r Report, asked time.Time)
	// Unreachable is called when a new connection to the member failed.
	Unreachable(id cwgroup.MemberID)
	// ConnUnresponsive is called when nothing arrives on the open connection although
	// a new connection works. Other old connections to the member may be unresponsive
	// too.
	ConnUnresponsive(id cwgroup.MemberID)
}

// ControlConn keeps one control connection to a member open. The member sends its
// status on it and receives control commands. Set the exported fields before Run.
type ControlConn struct {
	Member  cwgroup.MemberID
	Address string
	Startup Startup
	Clock   clockwork.Clock
	Events  ControlEvents

	mu sync.Mutex
	// conn is nil while there is no connection.
	conn         *Conn
	lastReceived time.Time
	pending      []*pendingQuery
	// isPrimary is true on a new connection and false after the member has reported
	// another role.
	isPrimary bool
}

// pendingQuery is a query that was sent and has no result yet.
type pendingQuery struct {
	sentAt time.Time
	rows   []string
	err    error
	done   chan struct{}
}

// ControlConnError reports a query that could not be sent or got no result.
type ControlConnError struct {
	Member cwgroup.MemberID
	Cause  error
}

func (e *ControlConnError) Error() string {
	return fmt.Sprintf("no control connection to %s: %v", e.Member, e.Cause)
}

// Unwrap returns the cause.
func (e *ControlConnError) Unwrap() error { return e.Cause }

const statusQuery = "SELECT * FROM group_status()"

// notConnectedError is the cause of a ControlConnError if there is no connection.
type notConnectedError struct{}

func (notConnectedError) Error() string { return "not connected" }

var errNotConnected = notConnectedError{}

// Run keeps the control connection open until ctx ends.
func (f *ControlConn) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		conn, err := f.connect(ctx)
		if err != nil {
			if ctx.Err() == nil {
				f.Events.Unreachable(f.Member)
			}
			f.sleep(ctx, redialDelay)
			continue
		}
		f.serve(ctx, conn)
	}
	return nil
}

func (f *ControlConn) connect(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, ConnectTimeout)
	defer cancel()
	return Dial(ctx, f.Address, f.Startup)
}

func (f *ControlConn) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-f.Clock.After(d):
	case <-ctx.Done():
	}
}

// serve uses one connection until it fails or becomes unresponsive.
func (f *ControlConn) serve(ctx context.Context, conn *Conn) {
	f.mu.Lock()
	f.conn, f.lastReceived, f.isPrimary = conn, f.Clock.Now(), true
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var g errgroup.Group
	g.Go(func() error {
		defer cancel()
		f.readLoop(conn)
		return nil
	})
	g.Go(func() error {
		defer cancel()
		f.probeLoop(ctx)
		return nil
	})
	f.send("LISTEN "+PositionChannel, &pendingQuery{done: make(chan struct{})})
	f.probe()
	_ = g.Wait()
	f.failPending()
}

// failPending fails the pending queries after the connection has ended.
func (f *ControlConn) failPending() {
	f.mu.Lock()
	pending := f.pending
	f.conn, f.pending = nil, nil
	f.mu.Unlock()
	for _, q := range pending {
		q.err = &ControlConnError{Member: f.Member, Cause: errNotConnected}
		close(q.done)
	}
}

// send writes a query and appends q to the pending queries. The target answers queries
// in order.
func (f *ControlConn) send(query string, q *pendingQuery) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn == nil {
		q.err = &ControlConnError{Member: f.Member, Cause: errNotConnected}
		close(q.done)
		return
	}
	q.sentAt = f.Clock.Now()
	f.pending = append(f.pending, q)
	f.conn.Frontend.Send(&pgproto3.Query{String: query})
	_ = f.conn.SetWriteDeadline(time.Now().Add(ReceiveTimeout))
	// After a failed write the read loop fails too and ends the connection.
	_ = f.conn.Frontend.Flush()
}

func (f *ControlConn) probeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		f.sleep(ctx, ProbeInterval)
		f.mu.Lock()
		unresponsive, isPrimary := f.Clock.Since(f.lastReceived) > ReceiveTimeout, f.isPrimary
		f.mu.Unlock()
		if unresponsive && f.checkUnresponsive(ctx) {
			return
		}
		if isPrimary {
			f.probe()
		}
	}
}

// probe sends a status query. The age of data can be computed only from its answer,
// because the send time is known.
func (f *ControlConn) probe() {
	f.send(statusQuery, &pendingQuery{done: make(chan struct{})})
}

// checkUnresponsive opens a new connection and reports whether the member is
// unreachable or only the old connection fails. It returns true, because the old
// connection is unusable in both cases.
//
// A network device on the path can lose the state of an open connection. Messages on it
// are then never answered, while new connections work. A timeout alone cannot
// distinguish this from a failed member, but a new connection can.
func (f *ControlConn) checkUnresponsive(ctx context.Context) bool {
	conn, err := f.connect(ctx)
	if ctx.Err() != nil {
		return true
	}
	if err != nil {
		f.Events.Unreachable(f.Member)
		return true
	}
	_ = conn.Close()
	f.Events.ConnUnresponsive(f.Member)
	return true
}

func (f *ControlConn) readLoop(conn *Conn) {
	for {
		msg, err := conn.Frontend.Receive()
		if err != nil {
			return
		}
		now := f.Clock.Now()
		f.mu.Lock()
		f.lastReceived = now
		f.mu.Unlock()
		switch m := msg.(type) {
		case *pgproto3.NotificationResponse:
			f.handleStatus(m.Payload, time.Time{})
		case *pgproto3.DataRow:
			if q := f.currentQuery(); q != nil && len(m.Values) > 0 {
				q.rows = append(q.rows, string(m.Values[0]))
			}
		case *pgproto3.ErrorResponse:
			if q := f.currentQuery(); q != nil {
				q.err = &ServerError{Code: m.Code, Message: m.Message}
			}
		case *pgproto3.ReadyForQuery:
			f.completeQuery()
		}
	}
}

func (f *ControlConn) currentQuery() *pendingQuery {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pending) == 0 {
		return nil
	}
	return f.pending[0]
}

func (f *ControlConn) completeQuery() {
	f.mu.Lock()
	if len(f.pending) == 0 {
		f.mu.Unlock()
		return
	}
	q := f.pending[0]
	f.pending = f.pending[1:]
	f.mu.Unlock()
	if q.err == nil && len(q.rows) == 1 {
		f.handleStatus(q.rows[0], q.sentAt)
	}
	close(q.done)
}

// handleStatus parses a status and reports it. It ignores other texts.
func (f *ControlConn) handleStatus(text string, asked time.Time) {
	r, err := ParseStatus(text)
	if err != nil {
		return
	}
	f.mu.Lock()
	f.isPrimary = r.Role == cwgroup.RolePrimary
	f.mu.Unlock()
	f.Events.StatusReceived(r, asked)
}

// Query sends a query and returns the first column of its rows. It returns a
// *ControlConnError if there is no connection or ctx ends, and a *ServerError if the
// target refuses the query.
func (f *ControlConn) Query(ctx context.Context, query string) ([]string, error) {
	q := &pendingQuery{done: make(chan struct{})}
	f.send(query, q)
	select {
	case <-q.done:
	case <-ctx.Done():
		return nil, &ControlConnError{Member: f.Member, Cause: ctx.Err()}
	}
	return q.rows, q.err
}

// Status queries the member's status. The result was valid at some time after the call.
func (f *ControlConn) Status(ctx context.Context) (Report, error) {
	return f.control(ctx, statusQuery)
}

// Adopt tells the member to adopt term t for claim c, and returns its status.
func (f *ControlConn) Adopt(ctx context.Context, t cwgroup.Term, c cwgroup.ClaimID) (Report, error) {
	return f.control(ctx, fmt.Sprintf("SELECT * FROM group_adopt(%d, '%s')", t, c))
}

// Promote tells the member to become the primary of term t, and returns its status.
func (f *ControlConn) Promote(ctx context.Context, t cwgroup.Term, c cwgroup.ClaimID) (Report, error) {
	return f.control(ctx, fmt.Sprintf("SELECT * FROM group_promote(%d, '%s')", t, c))
}

// Follow tells the member to replicate from the primary of term t, which is member id
// at the address, and returns its status.
func (f *ControlConn) Follow(ctx context.Context, t cwgroup.Term, c cwgroup.ClaimID, id cwgroup.MemberID, address string) (Report, error) {
	return f.control(ctx, fmt.Sprintf("SELECT * FROM group_follow(%d, '%s', '%s', '%s')", t, c, id, address))
}

// SessionState returns the state of the session with a process id from the target's
// pg_stat_activity, or the empty string if there is no such session.
func (f *ControlConn) SessionState(ctx context.Context, pid uint32) (string, error) {
	rows, err := f.Query(ctx, fmt.Sprintf("SELECT state FROM pg_stat_activity WHERE pid = %d", pid))
	if err != nil || len(rows) == 0 {
		return "", err
	}
	return rows[0], nil
}

func (f *ControlConn) control(ctx context.Context, query string) (Report, error) {
	rows, err := f.Query(ctx, query)
	if err != nil {
		return Report{}, err
	}
	if len(rows) != 1 {
		return Report{}, &StatusError{}
	}
	return ParseStatus(rows[0])
}
