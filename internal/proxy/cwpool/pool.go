// Package cwpool keeps the connections of one proxy to one target.
//
// A Pool admits statements by a gate, whose limit is this proxy's share of the
// target's connections, and lends each admitted statement or transaction a
// connection. A connection goes back only if its last answer was read to the
// end and no transaction is open on it; otherwise it is closed, so that no
// caller ever meets what another one left behind.
package cwpool

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

// Times of a pool.
const (
	// DialTimeout bounds a new connection.
	DialTimeout = time.Second
	// pingAfter is how long a connection may have been idle before it is tried
	// with an empty exchange; one that went silent would swallow a write.
	pingAfter = 500 * time.Millisecond
	// pingTimeout bounds that exchange.
	pingTimeout = 200 * time.Millisecond
	// dialRetryAfter is what a caller is told whose target took no connection.
	dialRetryAfter = 200 * time.Millisecond
	// maxPrepared is the number of statements kept prepared on a connection.
	maxPrepared = 128
)

// Conn is a connection to a target with what is known of its session.
type Conn struct {
	*cwtarget.Conn
	// Applied holds the settings that differ from the target's defaults.
	Applied map[string]string
	// Prepared holds the names of the prepared statements, oldest first.
	Prepared []string
	// Broken is set if the connection must not be lent again.
	Broken bool

	born time.Time
	used time.Time
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

// Remember records a prepared statement. If there are too many it returns the
// name of one to be closed.
func (c *Conn) Remember(name string) (evicted string) {
	c.Prepared = append(c.Prepared, name)
	if len(c.Prepared) <= maxPrepared {
		return ""
	}
	evicted = c.Prepared[0]
	c.Prepared = append(c.Prepared[:0], c.Prepared[1:]...)
	return evicted
}

// Forget removes a prepared statement that is not there after all.
func (c *Conn) Forget(name string) {
	for i, p := range c.Prepared {
		if p == name {
			c.Prepared = append(c.Prepared[:i], c.Prepared[i+1:]...)
			return
		}
	}
}

// Pool lends connections to one target. Set the exported fields before use.
type Pool struct {
	Address string
	Startup cwtarget.Startup
	Clock   clockwork.Clock
	// Slots seeds the adaptive limit.
	Slots int

	mu       sync.Mutex
	gate     cwlimit.AdmissionQueue
	adaptive cwlimit.AdaptiveLimit
	share    int
	// idle is used as a stack, so that connections not needed stay idle.
	idle []*Conn
	open int
	// cullBefore closes connections that were made before it.
	cullBefore time.Time
	closed     bool
}

// SetLimits changes the share of connections and the length of the queue.
func (p *Pool) SetLimits(share, queue int) {
	p.mu.Lock()
	p.share = share
	p.gate.QueueLimit = queue
	p.adaptive.Initial, p.adaptive.Max = max(p.Slots, 1), max(share, 1)
	p.gate.SetLimit(p.limit(), p.Clock.Now())
	drop := p.excessIdle()
	p.mu.Unlock()
	closeAll(drop)
}

func (p *Pool) limit() int { return min(p.share, p.adaptive.Limit()) }

// excessIdle takes idle connections out until the open ones are within the
// share. The caller holds mu.
func (p *Pool) excessIdle() []*Conn {
	var drop []*Conn
	for p.open > p.share && len(p.idle) > 0 {
		drop = append(drop, p.idle[0])
		p.idle = p.idle[1:]
		p.open--
	}
	return drop
}

func closeAll(conns []*Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// Stats is what a pool is doing.
type Stats struct {
	Share, Open, Busy, Queued int
}

// Stats returns what the pool is doing.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Share: p.share, Open: p.open, Busy: p.gate.InFlight(), Queued: p.gate.Queued()}
}

// Load returns the statements in progress and waiting, by the limit.
func (p *Pool) Load() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return float64(p.gate.InFlight()+p.gate.Queued()) / float64(max(1, p.gate.Limit))
}

// CullIdle closes the idle connections, and the others when they come back.
func (p *Pool) CullIdle() {
	p.mu.Lock()
	p.cullBefore = p.Clock.Now()
	drop := p.idle
	p.idle = nil
	p.open -= len(drop)
	p.mu.Unlock()
	closeAll(drop)
}

// Close closes the pool's idle connections and lets no new work in.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CullIdle()
}

// Lease is a borrowed connection. It must be given back by Release or Discard,
// once.
type Lease struct {
	Conn *Conn
	pool *Pool
	took time.Time

	// mu keeps a request to cancel and the return of the connection apart.
	mu       sync.Mutex
	returned bool
	canceled bool
}

// Address returns the address of the target.
func (l *Lease) Address() string { return l.pool.Address }

// Acquire lends a connection, waiting in the queue until the deadline at most.
// Its error is a *cwrefusal.Refusal, and nothing has run.
func (p *Pool) Acquire(ctx context.Context, deadline time.Time) (*Lease, error) {
	if err := p.enter(ctx, deadline); err != nil {
		return nil, err
	}
	took := p.Clock.Now()
	conn, err := p.connection(ctx)
	if err != nil {
		p.leave(took, false)
		return nil, cwrefusal.NotRun(cwrefusal.CannotConnectNow, dialRetryAfter, "the database takes no connection")
	}
	return &Lease{Conn: conn, pool: p, took: took}, nil
}

func (p *Pool) enter(ctx context.Context, deadline time.Time) error {
	ready := make(chan *cwrefusal.Refusal, 1)
	ticket := &cwlimit.Ticket{Deadline: deadline, OnDecision: func(r *cwrefusal.Refusal) { ready <- r }}
	p.mu.Lock()
	if p.closed || p.share == 0 {
		p.mu.Unlock()
		return cwrefusal.NotRun(cwrefusal.TooManyConnections, dialRetryAfter, "this proxy has no connections for this database yet")
	}
	p.gate.Submit(ticket, p.Clock.Now())
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
		p.gate.Expire(p.Clock.Now().Add(time.Nanosecond))
		p.mu.Unlock()
	case <-ctx.Done():
		p.mu.Lock()
		p.gate.Cancel(ticket)
		p.mu.Unlock()
	}
	// Either the gate has answered by now or it never will let this one in.
	select {
	case r := <-ready:
		if r == nil {
			p.leave(p.Clock.Now(), false)
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

// leave gives the place at the gate back.
func (p *Pool) leave(took time.Time, measure bool) {
	now := p.Clock.Now()
	d := now.Sub(took)
	p.mu.Lock()
	defer p.mu.Unlock()
	if measure {
		p.adaptive.Observe(d, p.gate.InFlight())
		p.gate.Limit = p.limit()
	}
	p.gate.Release(d, now)
}

// connection takes an idle connection that works, or opens one.
func (p *Pool) connection(ctx context.Context) (*Conn, error) {
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
		if p.Clock.Since(c.used) < pingAfter || ping(c) {
			return c, nil
		}
		p.drop(c)
	}
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	born := p.Clock.Now()
	tc, err := cwtarget.Dial(ctx, p.Address, p.Startup)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return &Conn{Conn: tc, Applied: make(map[string]string), born: born}, nil
}

// ping exchanges a Sync, and reports whether the answer came in time.
func ping(c *Conn) bool {
	defer c.SetDeadline(time.Time{})
	_ = c.SetDeadline(time.Now().Add(pingTimeout))
	c.Front.SendSync(&pgproto3.Sync{})
	if c.Front.Flush() != nil {
		return false
	}
	for {
		msg, err := c.Front.Receive()
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

func (p *Pool) drop(c *Conn) {
	_ = c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Release gives a connection back for others. Call it only after the answer
// was read up to ReadyForQuery with no transaction open.
func (l *Lease) Release(measure bool) {
	l.mu.Lock()
	l.returned = true
	canceled := l.canceled
	l.mu.Unlock()
	p, c := l.pool, l.Conn
	now := p.Clock.Now()
	c.used = now
	p.mu.Lock()
	keep := !canceled && !c.Broken && !p.closed && p.open <= p.share && c.born.After(p.cullBefore)
	if keep {
		p.idle = append(p.idle, c)
	} else {
		p.open--
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
	p.leave(l.took, measure)
}

// Discard closes a connection whose state is not known.
func (l *Lease) Discard() {
	l.mu.Lock()
	l.returned = true
	l.mu.Unlock()
	l.pool.drop(l.Conn)
	l.pool.leave(l.took, false)
}

// Cancel asks the target to end what runs on the connection. It does nothing
// once the connection was given back.
//
// The failure: a cancel that arrives late ends the statement of the next caller
// who was lent the connection. The guard: the lease is locked, so it cannot be
// returned while the request is on its way, and a connection that a cancel was
// sent for is never lent again.
func (l *Lease) Cancel(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.returned {
		return nil
	}
	l.canceled = true
	return cwtarget.Cancel(ctx, l.Conn.Address, l.Conn.PID, l.Conn.Secret)
}

// IsTimeout reports whether a read or write ended at its deadline.
func IsTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
