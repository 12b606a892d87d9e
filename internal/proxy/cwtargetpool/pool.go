// Package cwtargetpool implements a proxy's connection pool for one target.
//
// A Pool lends connections to statements and transactions. A target accepts a
// limited number of connections from all proxies together, and no proxy knows
// how many the others have open. A pool therefore opens a connection only when a
// statement waits for one, takes a refusal by the target as the sign that its
// share is used up, and closes idle connections soon. Waiters are served in the
// order of their deadlines, and a statement that can't be served in time is
// refused at once.
//
// Besides, a Pool limits the number of statements that are in progress at the
// target at once; see Pool.Admit. While statements wait at several holders of the
// target's group, the limit is bounded by this holder's share of the target's slots; see
// Pool.RecordDemand.
package cwtargetpool

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwlimit"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Timeouts and limits of a pool.
const (
	// dialTimeout bounds opening a connection, including the startup messages. A
	// target that is up answers within a few round trips and the time in its queue.
	dialTimeout = 1500 * time.Millisecond
	// raiseLimitAfter is the time after a refusal until a pool tries one more
	// connection.
	raiseLimitAfter = time.Second
	// minRedialPause and maxRedialPause bound the pause after a failed attempt to open a
	// connection while none is open; without it each of thousands of callers would
	// start another attempt. The pause doubles with each failure.
	minRedialPause = 20 * time.Millisecond
	maxRedialPause = 500 * time.Millisecond
	// idleTimeout is the time after which an idle connection is closed, so that
	// proxies with more callers can open one. It also leaves the target some free
	// connections when all instances lose power, because the target keeps the dead
	// instances' connections for seconds. With 400 ms, 0.69 to 0.85 of the
	// statements in the two seconds after such a loss are served; with one second it
	// was 0.39 to 0.72 (four and eight runs).
	idleTimeout = 400 * time.Millisecond
	// crowdedIdleTimeout is the idle timeout while the target is crowded: a few
	// round trips and the time in the target's queue.
	crowdedIdleTimeout = 200 * time.Millisecond
	// crowdedPercent is the percentage of a target's connections in use from which
	// it counts as crowded, and crowdedPeriod the time for which it then does.
	crowdedPercent = 70
	crowdedPeriod  = 2 * time.Second
	// holdSmoothing is the divisor of the newest time in the moving average of
	// hold times.
	holdSmoothing = 8
	// initialHold is the assumed hold time of a connection before the first one
	// was released: a few statements of ten milliseconds.
	initialHold = 30 * time.Millisecond
	// queueLimit is the maximum number of statements that wait for admission. The
	// queue is bounded by their deadlines long before; this bounds its memory.
	queueLimit = 1000
	// minRetryAfter is the minimum time after which a refused caller is told to
	// retry.
	minRetryAfter = 20 * time.Millisecond
)

// Events receives notifications from a pool.
type Events interface {
	// DialFailed reports that opening a connection failed for a reason other than
	// the target's limit of connections.
	DialFailed(to cwport.Endpoint, err error)
}

// Pool lends connections to one target. Make one with NewPool.
type Pool struct {
	endpoint cwport.Endpoint
	dialer   cwport.Dialer
	clock    clockwork.Clock
	events   Events

	mu sync.Mutex
	// openLimit is the maximum number of connections that this proxy may open. It is
	// lowered to the number of open ones when the target refuses one, and then raised
	// one by one up to maxConnections, which the target accepts from all proxies
	// together.
	openLimit, maxConnections int
	// open is the number of connections, dialing the number of those that are still
	// being opened; 0 <= dialing <= open.
	open, dialing int
	// dialsByWorkspace counts the connections being opened, by workspace; they add up to
	// dialing.
	dialsByWorkspace map[string]int
	// limitChangedAt is when openLimit was last lowered by a refusal or raised by one.
	limitChangedAt time.Time
	// redialAt is the earliest time for the next attempt to open a connection after a
	// failed one, redialPause the pause until then, and dialErr the last failure.
	redialAt    time.Time
	redialPause time.Duration
	dialErr     error
	// crowdedAt is when the target was last known to have few free connections.
	crowdedAt time.Time
	// idle is used as a stack, so that connections that aren't needed stay idle and
	// are closed.
	idle    []*Conn
	waiting []*waiter
	// averageHold is the average time for which a connection is lent.
	averageHold time.Duration
	lentCount   int
	closed      bool
	// admission is the queue of statements that wait for admission; concurrency adapts
	// the number that may be in progress at once.
	admission   cwlimit.AdmissionQueue
	concurrency cwlimit.ConcurrencyLimit
	// shares has the demand of the other holders, and self is the name of this one.
	// divided is true if the slots were divided when the limit was last computed.
	shares  cwlimit.SlotShares
	self    string
	divided bool
}

// waiter is a goroutine that waits for a connection. Exactly one result is sent
// to its channel, which has room for it.
type waiter struct {
	deadline time.Time
	// workspace is the workspace that the connection must belong to.
	workspace string
	// urgent is true for the proxy's own commands and health checks, which go before
	// all statements and take any connection.
	urgent bool
	result chan lendResult
}

type lendResult struct {
	conn *Conn
	err  error
}

// NewPool returns a pool without connections. The target accepts maxConnections
// connections from all proxies together; see SetMaxConnections.
func NewPool(to cwport.Endpoint, maxConnections int, d cwport.Dialer, clock clockwork.Clock, ev Events) *Pool {
	p := &Pool{endpoint: to, dialer: d, clock: clock, events: ev, dialsByWorkspace: make(map[string]int)}
	p.admission.QueueLimit = queueLimit
	p.SetMaxConnections(maxConnections)
	return p
}

// Endpoint returns the target's endpoint.
func (p *Pool) Endpoint() cwport.Endpoint { return p.endpoint }

// SetMaxConnections changes the number of connections that the target accepts from all
// proxies together. Values below 1 count as 1.
func (p *Pool) SetMaxConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n = max(1, n); n != p.maxConnections {
		p.maxConnections, p.openLimit = n, n
		p.concurrency.Max = n
	}
}

// SetSlots sets the number of statements that the target runs at once, from which
// the limit of statements in progress starts.
func (p *Pool) SetSlots(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.concurrency.Initial = n
	p.updateLimit(p.clock.Now())
}

// Load is the load of a pool, by which statements are routed.
type Load struct {
	// InFlight is the number of statements in progress, Waiting the number of waiters for
	// admission or a connection, and Open the number of connections, including those
	// that are being opened.
	InFlight, Waiting, Open int
	// Latency is the recent average time that the target took for a statement.
	Latency time.Duration
	// ExpectedWait is the time for which a new statement is expected to wait.
	ExpectedWait time.Duration
}

// Load returns the current load.
func (p *Pool) Load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Load{
		InFlight: p.admission.InFlight(), Waiting: p.admission.Queued() + len(p.waiting), Open: p.open,
		Latency: p.concurrency.Latency(), ExpectedWait: max(p.expectedWait(), p.admission.ExpectedWait()),
	}
}

// expectedWait returns the time for which a new waiter is expected to wait for a
// connection. The caller holds mu.
func (p *Pool) expectedWait() time.Duration {
	if len(p.idle) > 0 || p.open < p.openLimit {
		return 0
	}
	hold := p.averageHold
	if hold == 0 {
		hold = initialHold
	}
	return hold * time.Duration(len(p.waiting)+1) / time.Duration(max(1, p.open))
}

// Acquire lends a connection that belongs to the workspace, preferably one whose
// session has the settings in values. It waits at most until the deadline, and
// fails at once if the wait is expected to be longer. The error is an
// *OverloadedError, *UnreachableError or *ClosedError.
func (p *Pool) Acquire(ctx context.Context, deadline time.Time, workspace string, values Settings) (*Conn, error) {
	return p.acquire(ctx, &waiter{deadline: deadline, workspace: workspace, result: make(chan lendResult, 1)}, values)
}

// AcquireUrgent lends a connection of any workspace, before all waiting
// statements. It is for the proxy's own commands and health checks.
//
// If a command to fence a replica waited behind statements under high load, the
// attempt to replace a lost primary would fail, and the next one may start only
// when the claim has expired, so the group would have no primary for seconds. A
// command or health check takes a target half a millisecond, and all statements
// depend on its result.
func (p *Pool) AcquireUrgent(ctx context.Context, deadline time.Time) (*Conn, error) {
	return p.acquire(ctx, &waiter{deadline: deadline, urgent: true, result: make(chan lendResult, 1)}, Settings{})
}

func (p *Pool) acquire(ctx context.Context, w *waiter, values Settings) (*Conn, error) {
	now := p.clock.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, &ClosedError{}
	}
	if c := p.takeIdle(w, values); c != nil {
		p.recordLend(c, now)
		p.mu.Unlock()
		return c, nil
	}
	if wait := p.expectedWait(); !w.urgent && now.Add(wait).After(w.deadline) {
		p.mu.Unlock()
		return nil, &OverloadedError{RetryAfter: max(wait, minRetryAfter)}
	}
	if p.open == 0 && now.Before(p.redialAt) {
		err := p.dialErr
		p.mu.Unlock()
		return nil, &UnreachableError{Cause: err}
	}
	p.enqueue(w)
	p.dialForWaiters(now)
	p.mu.Unlock()
	return p.await(ctx, w)
}

func (p *Pool) await(ctx context.Context, w *waiter) (*Conn, error) {
	t := p.clock.NewTimer(w.deadline.Sub(p.clock.Now()))
	defer t.Stop()
	select {
	case l := <-w.result:
		return l.conn, l.err
	case <-t.Chan():
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiting, w); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		if p.open == p.dialing {
			return nil, &UnreachableError{Cause: context.DeadlineExceeded}
		}
		return nil, &OverloadedError{RetryAfter: max(p.expectedWait(), minRetryAfter)}
	}
	// The result was sent between the timeout and the lock.
	l := <-w.result
	return l.conn, l.err
}

// enqueue inserts w into waiting, which is sorted by deadline, with urgent waiters
// before all others. The caller holds mu.
func (p *Pool) enqueue(w *waiter) {
	if w.urgent {
		p.waiting = slices.Insert(p.waiting, 0, w)
		return
	}
	i, _ := slices.BinarySearchFunc(p.waiting, w, func(a, b *waiter) int {
		if !a.urgent && a.deadline.After(b.deadline) {
			return 1
		}
		return -1
	})
	p.waiting = slices.Insert(p.waiting, i, w)
}

// takeIdle removes and returns an idle connection that w can use, or returns nil
// if there is none. It closes those that the target has closed. The caller holds
// mu.
func (p *Pool) takeIdle(w *waiter, values Settings) *Conn {
	for {
		i := p.bestIdle(w, values)
		if i < 0 {
			return nil
		}
		c := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		// If the target had closed the connection and a write was sent on it,
		// the outcome of the write would be unknown. After a restart of a target
		// this would happen on each of its connections. Unread input shows the
		// closed connection before anything is sent.
		if c.NoUnreadInput() {
			return c
		}
		p.open--
		_ = c.Close()
	}
}

// canUse reports whether the connection may be lent to w: a target attributes all
// statements on a connection to the workspace for which it was opened, and this
// can't be changed later.
func (w *waiter) canUse(c *Conn) bool { return w.urgent || w.workspace == c.Workspace }

// bestIdle returns the index of the idle connection to lend to w: one that has the
// settings in values already, else the last used one; -1 if w can use none. The
// caller holds mu.
func (p *Pool) bestIdle(w *waiter, values Settings) int {
	last := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		if !w.canUse(p.idle[i]) {
			continue
		}
		if maps.Equal(p.idle[i].settings, values.digests) {
			return i
		}
		last = max(last, i)
	}
	return last
}

// recordLend records that c is lent from now on. The caller holds mu.
func (p *Pool) recordLend(c *Conn, now time.Time) {
	p.lentCount++
	c.lentAt = now
}

// Release returns a connection to the pool. It may be called only when all answers
// have been read and no transaction is open on the connection.
func (p *Pool) Release(c *Conn) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lentCount--
	c.lastUsed = now
	p.averageHold = movingAverage(p.averageHold, now.Sub(c.lentAt))
	p.lendOrKeepIdle(c, now)
}

// Discard closes a lent connection whose state is unknown.
func (p *Pool) Discard(c *Conn) {
	_ = c.Close()
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lentCount--
	p.open--
	p.dialForWaiters(now)
}

func movingAverage(old, d time.Duration) time.Duration {
	if old == 0 {
		return d
	}
	return old + (d-old)/holdSmoothing
}
