// Package cwpgpool implements a proxy's connection pool for one target that speaks
// the PostgreSQL protocol.
//
// A Pool limits the statements and transactions in progress to this proxy's share
// of the target's connections, queues the others, and lends each admitted one a
// connection. A connection is reused only if its last answer was read to the end
// and no transaction is open on it; otherwise it is closed, so that no caller sees
// the session state of another.
package cwpgpool

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwlimit"
	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// Timeouts and limits of a pool.
const (
	// DialTimeout bounds opening a connection, including the startup messages.
	DialTimeout = time.Second
	// pingIdleAfter is the idle time after which a connection is pinged before it is
	// lent. On a connection that no longer delivers data, a write would get no answer.
	pingIdleAfter = 500 * time.Millisecond
	// pingTimeout bounds a ping.
	pingTimeout = 200 * time.Millisecond
	// dialRetryAfter is the time after which a refused caller is told to retry.
	dialRetryAfter = 200 * time.Millisecond
	// maxPrepared is the maximum number of prepared statements on a connection.
	maxPrepared = 128
)

// Conn is a connection to a target and the state of its session.
type Conn struct {
	*cwtarget.Conn
	// Settings holds the session's settings that differ from the target's defaults.
	Settings map[string]string
	// Prepared holds the names of the prepared statements, oldest first.
	Prepared []string
	// Broken is true if the connection must be closed instead of lent again.
	Broken bool

	openedAt time.Time
	lastUsed time.Time
}

// HasPrepared reports whether a statement is prepared on the connection.
func (c *Conn) HasPrepared(name string) bool {
	for _, p := range c.Prepared {
		if p == name {
			return true
		}
	}
	return false
}

// AddPrepared records that a statement was prepared on the connection. If there are
// now more than maxPrepared, it removes the oldest and returns its name, for the
// caller to close it at the target; otherwise it returns "".
func (c *Conn) AddPrepared(name string) (evicted string) {
	c.Prepared = append(c.Prepared, name)
	if len(c.Prepared) <= maxPrepared {
		return ""
	}
	evicted = c.Prepared[0]
	c.Prepared = append(c.Prepared[:0], c.Prepared[1:]...)
	return evicted
}

// RemovePrepared removes a prepared statement that does not exist at the target.
func (c *Conn) RemovePrepared(name string) {
	for i, p := range c.Prepared {
		if p == name {
			c.Prepared = append(c.Prepared[:i], c.Prepared[i+1:]...)
			return
		}
	}
}

// Pool lends connections to one target. Set the exported fields before use. Its
// methods are safe for concurrent use. A Pool admits nothing before SetLimits.
type Pool struct {
	// Address is the target's address, IP:port.
	Address string
	Startup cwtarget.Startup
	Clock   clockwork.Clock
	// Slots is the number of statements that the target runs at once, from which the
	// limit of statements in progress starts.
	Slots int

	mu          sync.Mutex
	admission   cwlimit.AdmissionQueue
	concurrency cwlimit.AdaptiveLimit
	share       int
	// idle is used as a stack, so that connections that aren't needed stay idle.
	idle []*Conn
	open int
	// closeOpenedBefore is set by RetireConnections: connections opened before it are closed
	// when they are released.
	closeOpenedBefore time.Time
	closed            bool
}

// SetLimits sets this proxy's share of the target's connections and the maximum
// number of statements in the queue. Idle connections beyond the share are closed.
func (p *Pool) SetLimits(share, queue int) {
	p.mu.Lock()
	p.share = share
	p.admission.QueueLimit = queue
	p.concurrency.Initial, p.concurrency.Max = max(p.Slots, 1), max(share, 1)
	p.admission.SetLimit(p.currentLimit(), p.Clock.Now())
	excess := p.takeExcessIdle()
	p.mu.Unlock()
	closeAll(excess)
}

func (p *Pool) currentLimit() int { return min(p.share, p.concurrency.Limit()) }

// takeExcessIdle removes idle connections until the number of open ones is within
// the share, and returns them. The caller holds mu, and closes them without it.
func (p *Pool) takeExcessIdle() []*Conn {
	var excess []*Conn
	for p.open > p.share && len(p.idle) > 0 {
		excess = append(excess, p.idle[0])
		p.idle = p.idle[1:]
		p.open--
	}
	return excess
}

func closeAll(conns []*Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// Stats are the current numbers of a pool.
type Stats struct {
	// Share is this proxy's share of the target's connections, Open the number of open
	// connections, InFlight the number of statements and transactions in progress, and Queued
	// the number of those that wait.
	Share, Open, InFlight, Queued int
}

// Stats returns the current numbers.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Share: p.share, Open: p.open, InFlight: p.admission.InFlight(), Queued: p.admission.Queued()}
}

// Load returns the number of statements in progress and waiting, divided by the
// limit of statements in progress.
func (p *Pool) Load() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return float64(p.admission.InFlight()+p.admission.Queued()) / float64(max(1, p.admission.Limit))
}

// RetireConnections closes all connections that are open now: idle ones at once, lent ones
// when they are released.
func (p *Pool) RetireConnections() {
	p.mu.Lock()
	p.closeOpenedBefore = p.Clock.Now()
	closing := p.idle
	p.idle = nil
	p.open -= len(closing)
	p.mu.Unlock()
	closeAll(closing)
}

// Close closes the pool. Idle connections are closed at once, lent ones when they
// are released, and new statements are refused.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.RetireConnections()
}

// Lease is a connection that is lent to one statement or transaction. It must be
// returned by Release or Discard, exactly once.
type Lease struct {
	Conn       *Conn
	pool       *Pool
	admittedAt time.Time

	// mu keeps the connection from being returned while a cancel request for it is being
	// sent.
	mu       sync.Mutex
	returned bool
	canceled bool
}

// Address returns the address of the target.
func (l *Lease) Address() string { return l.pool.Address }

// Acquire waits for admission, at most until the deadline, and lends a connection.
// The error is a *cwrefusal.Refusal, and nothing has run.
func (p *Pool) Acquire(ctx context.Context, deadline time.Time) (*Lease, error) {
	if err := p.waitForAdmission(ctx, deadline); err != nil {
		return nil, err
	}
	admittedAt := p.Clock.Now()
	conn, err := p.takeIdleOrDial(ctx)
	if err != nil {
		p.endStatement(admittedAt, false)
		return nil, cwrefusal.NotRun(cwrefusal.CannotConnectNow, dialRetryAfter, "the database takes no connection")
	}
	return &Lease{Conn: conn, pool: p, admittedAt: admittedAt}, nil
}

func (p *Pool) waitForAdmission(ctx context.Context, deadline time.Time) error {
	ready := make(chan *cwrefusal.Refusal, 1)
	ticket := &cwlimit.Ticket{Deadline: deadline, OnDecision: func(r *cwrefusal.Refusal) { ready <- r }}
	p.mu.Lock()
	if p.closed || p.share == 0 {
		p.mu.Unlock()
		return cwrefusal.NotRun(cwrefusal.TooManyConnections, dialRetryAfter, "this proxy has no connections for this database yet")
	}
	p.admission.Submit(ticket, p.Clock.Now())
	p.mu.Unlock()
	select {
	case r := <-ready:
		return refusalOrNil(r)
	default:
	}
	timer := p.Clock.NewTimer(deadline.Sub(p.Clock.Now()))
	defer timer.Stop()
	select {
	case r := <-ready:
		return refusalOrNil(r)
	case <-timer.Chan():
		p.mu.Lock()
		p.admission.Expire(p.Clock.Now().Add(time.Nanosecond))
		p.mu.Unlock()
	case <-ctx.Done():
		p.mu.Lock()
		p.admission.Cancel(ticket)
		p.mu.Unlock()
	}
	// If the statement was admitted before it left the queue, the admission is returned.
	// It can't be admitted later.
	select {
	case r := <-ready:
		if r == nil {
			p.endStatement(p.Clock.Now(), false)
		}
	default:
	}
	return cwrefusal.NotRun(cwrefusal.TooManyConnections, dialRetryAfter, "the database stayed too busy to start this in time")
}

func refusalOrNil(r *cwrefusal.Refusal) error {
	if r == nil {
		return nil
	}
	return r
}

// endStatement ends the admission that was granted at admittedAt. If measure is
// true, the time since then adjusts the limit of statements in progress.
func (p *Pool) endStatement(admittedAt time.Time, measure bool) {
	now := p.Clock.Now()
	d := now.Sub(admittedAt)
	p.mu.Lock()
	defer p.mu.Unlock()
	if measure {
		p.concurrency.Observe(d, p.admission.InFlight())
		p.admission.Limit = p.currentLimit()
	}
	p.admission.Release(d, now)
}

// takeIdleOrDial returns an idle connection that works, or opens one.
func (p *Pool) takeIdleOrDial(ctx context.Context) (*Conn, error) {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.open++
			p.mu.Unlock()
			return p.dial(ctx)
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if p.Clock.Since(c.lastUsed) < pingIdleAfter || ping(c) {
			return c, nil
		}
		p.closeConn(c)
	}
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	openedAt := p.Clock.Now()
	tc, err := cwtarget.Dial(ctx, p.Address, p.Startup)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return &Conn{Conn: tc, Settings: make(map[string]string), openedAt: openedAt}, nil
}

// ping sends a Sync message and reports whether the target answered within
// pingTimeout.
func ping(c *Conn) bool {
	defer c.SetDeadline(time.Time{})
	_ = c.SetDeadline(time.Now().Add(pingTimeout))
	c.Frontend.SendSync(&pgproto3.Sync{})
	if c.Frontend.Flush() != nil {
		return false
	}
	for {
		msg, err := c.Frontend.Receive()
		if err != nil {
			return false
		}
		switch msg.(type) {
		case *pgproto3.ReadyForQuery:
			return true
		case *pgproto3.ParameterStatus, *pgproto3.NoticeResponse:
		default:
			return false
		}
	}
}

func (p *Pool) closeConn(c *Conn) {
	_ = c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Release returns the connection to the pool. It may be called only after the
// answer was read up to ReadyForQuery, and with no transaction open. If measure is
// true, the time since Acquire adjusts the limit of statements in progress.
func (l *Lease) Release(measure bool) {
	l.mu.Lock()
	l.returned = true
	canceled := l.canceled
	l.mu.Unlock()
	p, c := l.pool, l.Conn
	now := p.Clock.Now()
	c.lastUsed = now
	p.mu.Lock()
	keep := !canceled && !c.Broken && !p.closed && p.open <= p.share && c.openedAt.After(p.closeOpenedBefore)
	if keep {
		p.idle = append(p.idle, c)
	} else {
		p.open--
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
	p.endStatement(l.admittedAt, measure)
}

// Discard closes the connection, because its state is unknown.
func (l *Lease) Discard() {
	l.mu.Lock()
	l.returned = true
	l.mu.Unlock()
	l.pool.closeConn(l.Conn)
	l.pool.endStatement(l.admittedAt, false)
}

// Cancel asks the target to cancel the statement that runs on the connection. It
// does nothing after the connection was returned.
//
// A cancel request that arrives late would cancel the statement of the next caller
// to which the connection is lent. Therefore Cancel holds the lock until the
// request was sent, so that the connection can't be returned in the meantime, and
// the connection is closed when it is returned.
func (l *Lease) Cancel(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.returned {
		return nil
	}
	l.canceled = true
	return cwtarget.Cancel(ctx, l.Conn.Address, l.Conn.PID, l.Conn.Secret)
}

// IsTimeout reports whether err is a timeout of a read or write.
func IsTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
