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

// Times of a feed.
const (
	// ProbeInterval is how often a feed asks a primary for its status, since
	// only answers tell the age of data. Replicas' own heartbeats are enough.
	ProbeInterval = 250 * time.Millisecond
	// Silence is how long a feed may bring nothing before a fresh connection is
	// tried.
	Silence = 600 * time.Millisecond
	// FreshTimeout bounds a fresh connection, its start-up included.
	FreshTimeout = 300 * time.Millisecond
	// redial is the pause after a failed connection.
	redial = 100 * time.Millisecond
)

// FeedEvents is what the owner of a feed is told. Calls come from the feed's
// goroutines, one at a time for each connection.
type FeedEvents interface {
	// Reported brings a status. Asked is when the question was sent, or zero if
	// the member told it unasked.
	Reported(r Report, asked time.Time)
	// Unreachable says that a fresh connection failed.
	Unreachable(id cwgroup.MemberID)
	// WentSilent says that an open connection brought nothing while a fresh one
	// works: other old connections to the member may be silent too.
	WentSilent(id cwgroup.MemberID)
}

// Feed keeps one control connection to a member. Over it the member tells its
// status and takes orders. Set the fields before Run.
type Feed struct {
	Member  cwgroup.MemberID
	Address string
	Startup Startup
	Clock   clockwork.Clock
	Events  FeedEvents

	mu sync.Mutex
	// conn is nil while there is no connection.
	conn    *Conn
	heard   time.Time
	pending []*question
	// leads is false once the member said that it does not lead.
	leads bool
}

// question is a query whose answer has not come.
type question struct {
	asked time.Time
	rows  []string
	err   error
	done  chan struct{}
}

// NoFeedError reports a question that could not be asked or answered.
type NoFeedError struct {
	Member cwgroup.MemberID
	Cause  error
}

func (e *NoFeedError) Error() string {
	return fmt.Sprintf("no control connection to %s: %v", e.Member, e.Cause)
}

// Unwrap returns the cause.
func (e *NoFeedError) Unwrap() error { return e.Cause }

const statusQuery = "SELECT * FROM group_status()"

// notConnectedError is the cause of a question that found no connection.
type notConnectedError struct{}

func (notConnectedError) Error() string { return "not connected" }

var errNotConnected = notConnectedError{}

// Run keeps the feed connected until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		conn, err := f.fresh(ctx)
		if err != nil {
			if ctx.Err() == nil {
				f.Events.Unreachable(f.Member)
			}
			f.pause(ctx, redial)
			continue
		}
		f.serve(ctx, conn)
	}
	return nil
}

func (f *Feed) fresh(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, FreshTimeout)
	defer cancel()
	return Dial(ctx, f.Address, f.Startup)
}

func (f *Feed) pause(ctx context.Context, d time.Duration) {
	select {
	case <-f.Clock.After(d):
	case <-ctx.Done():
	}
}

// serve uses one connection until it breaks or goes silent.
func (f *Feed) serve(ctx context.Context, conn *Conn) {
	f.mu.Lock()
	f.conn, f.heard, f.leads = conn, f.Clock.Now(), true
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var g errgroup.Group
	g.Go(func() error {
		defer cancel()
		f.loopRead(conn)
		return nil
	})
	g.Go(func() error {
		defer cancel()
		f.loopProbe(ctx)
		return nil
	})
	f.send("LISTEN "+PositionChannel, &question{done: make(chan struct{})})
	f.probe()
	_ = g.Wait()
	f.drop()
}

// drop fails the questions of a connection that ended.
func (f *Feed) drop() {
	f.mu.Lock()
	pending := f.pending
	f.conn, f.pending = nil, nil
	f.mu.Unlock()
	for _, q := range pending {
		q.err = &NoFeedError{Member: f.Member, Cause: errNotConnected}
		close(q.done)
	}
}

// send writes a query and queues its question. The target answers in order.
func (f *Feed) send(query string, q *question) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn == nil {
		q.err = &NoFeedError{Member: f.Member, Cause: errNotConnected}
		close(q.done)
		return
	}
	q.asked = f.Clock.Now()
	f.pending = append(f.pending, q)
	f.conn.Front.Send(&pgproto3.Query{String: query})
	_ = f.conn.SetWriteDeadline(time.Now().Add(Silence))
	// A failed write shows at the reader, which ends the connection.
	_ = f.conn.Front.Flush()
}

func (f *Feed) loopProbe(ctx context.Context) {
	for ctx.Err() == nil {
		f.pause(ctx, ProbeInterval)
		f.mu.Lock()
		silent, leads := f.Clock.Since(f.heard) > Silence, f.leads
		f.mu.Unlock()
		if silent && f.checkSilent(ctx) {
			return
		}
		if leads {
			f.probe()
		}
	}
}

// probe asks for the status. Only what was asked for tells the age of data.
func (f *Feed) probe() {
	f.send(statusQuery, &question{done: make(chan struct{})})
}

// checkSilent tries a fresh connection. It returns true: either way the old
// connection is of no more use.
//
// The failure: something between the two ends has lost track of an open
// connection. It shows as no answer, for good, while new connections work. A
// timeout alone cannot tell this from a dead member; the fresh connection can.
func (f *Feed) checkSilent(ctx context.Context) bool {
	conn, err := f.fresh(ctx)
	if ctx.Err() != nil {
		return true
	}
	if err != nil {
		f.Events.Unreachable(f.Member)
		return true
	}
	_ = conn.Close()
	f.Events.WentSilent(f.Member)
	return true
}

func (f *Feed) loopRead(conn *Conn) {
	for {
		msg, err := conn.Front.Receive()
		if err != nil {
			return
		}
		now := f.Clock.Now()
		f.mu.Lock()
		f.heard = now
		f.mu.Unlock()
		switch m := msg.(type) {
		case *pgproto3.NotificationResponse:
			f.told(m.Payload, time.Time{})
		case *pgproto3.DataRow:
			if q := f.head(); q != nil && len(m.Values) > 0 {
				q.rows = append(q.rows, string(m.Values[0]))
			}
		case *pgproto3.ErrorResponse:
			if q := f.head(); q != nil {
				q.err = &ServerError{Code: m.Code, Message: m.Message}
			}
		case *pgproto3.ReadyForQuery:
			f.answered()
		}
	}
}

func (f *Feed) head() *question {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pending) == 0 {
		return nil
	}
	return f.pending[0]
}

func (f *Feed) answered() {
	f.mu.Lock()
	if len(f.pending) == 0 {
		f.mu.Unlock()
		return
	}
	q := f.pending[0]
	f.pending = f.pending[1:]
	f.mu.Unlock()
	if q.err == nil && len(q.rows) == 1 {
		f.told(q.rows[0], q.asked)
	}
	close(q.done)
}

// told passes a status on, if the text is one.
func (f *Feed) told(text string, asked time.Time) {
	r, err := ParseStatus(text)
	if err != nil {
		return
	}
	f.mu.Lock()
	f.leads = r.Role == cwgroup.RolePrimary
	f.mu.Unlock()
	f.Events.Reported(r, asked)
}

// Ask sends a query and returns the first column of its rows. If there is no
// connection the answer is a NoFeedError.
func (f *Feed) Ask(ctx context.Context, query string) ([]string, error) {
	q := &question{done: make(chan struct{})}
	f.send(query, q)
	select {
	case <-q.done:
	case <-ctx.Done():
		return nil, &NoFeedError{Member: f.Member, Cause: ctx.Err()}
	}
	return q.rows, q.err
}

// Status asks for the status now. The answer was true at some moment after the
// call.
func (f *Feed) Status(ctx context.Context) (Report, error) {
	return f.order(ctx, statusQuery)
}

// Adopt orders the member to adopt a term for a claim.
func (f *Feed) Adopt(ctx context.Context, t cwgroup.Term, c cwgroup.ClaimID) (Report, error) {
	return f.order(ctx, fmt.Sprintf("SELECT * FROM group_adopt(%d, '%s')", t, c))
}

// Promote orders the member to lead a term.
func (f *Feed) Promote(ctx context.Context, t cwgroup.Term, c cwgroup.ClaimID) (Report, error) {
	return f.order(ctx, fmt.Sprintf("SELECT * FROM group_promote(%d, '%s')", t, c))
}

// Follow orders the member to copy the primary of a term.
func (f *Feed) Follow(ctx context.Context, t cwgroup.Term, c cwgroup.ClaimID, id cwgroup.MemberID, address string) (Report, error) {
	return f.order(ctx, fmt.Sprintf("SELECT * FROM group_follow(%d, '%s', '%s', '%s')", t, c, id, address))
}

// Activity returns the state of a session at the target by its process id, as
// pg_stat_activity has it; empty if there is no such session.
func (f *Feed) Activity(ctx context.Context, pid uint32) (string, error) {
	rows, err := f.Ask(ctx, fmt.Sprintf("SELECT state FROM pg_stat_activity WHERE pid = %d", pid))
	if err != nil || len(rows) == 0 {
		return "", err
	}
	return rows[0], nil
}

func (f *Feed) order(ctx context.Context, query string) (Report, error) {
	rows, err := f.Ask(ctx, query)
	if err != nil {
		return Report{}, err
	}
	if len(rows) != 1 {
		return Report{}, &StatusError{}
	}
	return ParseStatus(rows[0])
}
