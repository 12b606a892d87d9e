// Package cwtargets keeps one proxy's connections to one target.
//
// A Pool lends connections to statements and transactions. A target takes a
// bounded number of connections from all proxies together, and no proxy knows
// how many the others hold; so a pool opens one only when somebody waits, takes
// a refusal by the target as the sign that its share is used up, and closes
// what rests. Those that wait are served in the order of their deadlines, and
// what cannot be served in time is refused at once.
package cwtargets

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwlimit"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Times and weights of a pool.
const (
	// dialTimeout bounds a new connection, start-up included. A target that is
	// there answers within a few round trips and its queue.
	dialTimeout = 1500 * time.Millisecond
	// growAfter is how long after a refusal a pool tries one more connection.
	growAfter = time.Second
	// redialMin and redialMax bound the pause after a connection that could not
	// be opened, while none is open: callers come by the thousand, and each
	// would try anew. The pause doubles with each failure.
	redialMin = 20 * time.Millisecond
	redialMax = 500 * time.Millisecond
	// restFor is how long a connection may rest before it is closed, so that
	// proxies with more callers can have it, and so that a target has some left
	// when all instances lose power: it keeps those of the dead for seconds.
	// With 400 ms in place of a second the two seconds after such a loss serve
	// 0.69 to 0.85 of what is asked, before 0.39 to 0.72 (four and eight runs).
	restFor = 400 * time.Millisecond
	// restScarce is the same while the target is crowded: a few round trips
	// with its queue.
	restScarce = 200 * time.Millisecond
	// crowdedShare is the part of a target's connections, in percent, beyond
	// which it counts as crowded, and crowdedFor how long that counts.
	crowdedShare = 70
	crowdedFor   = 2 * time.Second
	// smoothing is the weight of the newest time in an average, as a divisor.
	smoothing = 8
	// firstHold is how long a connection is taken to be held before any was:
	// a few statements of ten milliseconds.
	firstHold = 30 * time.Millisecond
	// queueLimit is the number of statements that may wait here for their turn.
	// Their deadlines bound the queue long before; this bounds its memory.
	queueLimit = 1000
	// minRetryAfter is the least time that a refused caller is told to wait.
	minRetryAfter = 20 * time.Millisecond
)

// Events is what a pool tells its owner.
type Events interface {
	// DialFailed says that a new connection failed for another reason than a
	// limit.
	DialFailed(to cwport.Endpoint, err error)
}

// Pool lends connections to one target. Make one with NewPool.
type Pool struct {
	to     cwport.Endpoint
	dialer cwport.Dialer
	clock  clockwork.Clock
	events Events

	mu sync.Mutex
	// limit is how many connections this proxy may open at most. It falls to
	// what is open when the target refuses one.
	limit, ceiling int
	// open counts the connections, those being opened included; 0 <= open.
	open, dialing int
	// dials counts the connections being opened, by workspace; they add up to
	// dialing.
	dials     map[string]int
	refusedAt time.Time
	// redialAt is when a connection may be tried again, redial the next pause,
	// and dialErr why the last one failed.
	redialAt time.Time
	redial   time.Duration
	dialErr  error
	// crowdedAt is when the target was last known to have few connections left.
	crowdedAt time.Time
	// idle is used as a stack, so that connections not needed stay idle.
	idle    []*Conn
	waiting []*waiter
	// hold is how long a connection is lent on average.
	hold   time.Duration
	busy   int
	closed bool
	// gate admits statements at pace.
	gate cwlimit.AdmissionQueue
	pace cwlimit.ConcurrencyLimit
}

// waiter is somebody who waits for a connection. Its channel takes one result.
type waiter struct {
	deadline time.Time
	// workspace is whose connection it needs.
	workspace string
	// first is true for orders and questions, which go before all others and
	// take any connection.
	first  bool
	result chan lent
}

type lent struct {
	conn *Conn
	err  error
}

// NewPool returns a pool without connections. The target takes ceiling
// connections from all proxies together.
func NewPool(to cwport.Endpoint, ceiling int, d cwport.Dialer, clock clockwork.Clock, ev Events) *Pool {
	p := &Pool{to: to, dialer: d, clock: clock, events: ev, dials: make(map[string]int)}
	p.gate.QueueLimit = queueLimit
	p.SetCeiling(ceiling)
	return p
}

// Endpoint returns where the target is.
func (p *Pool) Endpoint() cwport.Endpoint { return p.to }

// SetCeiling changes how many connections the target takes from everybody.
func (p *Pool) SetCeiling(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n = max(1, n); n != p.ceiling {
		p.ceiling, p.limit = n, n
		p.pace.Max = n
	}
}

// SetSlots tells how many statements the target runs at once.
func (p *Pool) SetSlots(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pace.Initial = n
	p.gate.SetLimit(p.pace.Limit(), p.clock.Now())
}

// Load describes a pool for placing statements.
type Load struct {
	// Busy is the number of statements in progress, Waiting how many wait for
	// their turn or a connection, Open the number of connections.
	Busy, Waiting, Open int
	// Latency is how long the target took for a statement lately.
	Latency time.Duration
	// Expect is how long a statement that comes now would wait.
	Expect time.Duration
}

// Load returns the present load.
func (p *Pool) Load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Load{
		Busy: p.gate.InFlight(), Waiting: p.gate.Queued() + len(p.waiting), Open: p.open,
		Latency: p.pace.Latency(), Expect: max(p.expect(), p.gate.ExpectedWait()),
	}
}

// expect returns how long a newcomer would wait. The caller holds mu.
func (p *Pool) expect() time.Duration {
	if len(p.idle) > 0 || p.open < p.limit {
		return 0
	}
	hold := p.hold
	if hold == 0 {
		hold = firstHold
	}
	return hold * time.Duration(len(p.waiting)+1) / time.Duration(max(1, p.open))
}

// Acquire lends a connection of the workspace. It waits until the deadline at
// most, and not at all if it expects to wait for longer. The connection whose
// settings are like values is preferred.
func (p *Pool) Acquire(ctx context.Context, deadline time.Time, workspace string, values map[string]string) (*Conn, error) {
	return p.acquire(ctx, &waiter{deadline: deadline, workspace: workspace, result: make(chan lent, 1)}, values)
}

// AcquireFirst lends a connection before everybody who waits.
//
// The failure: a primary is lost while callers press, the order that fences a
// replica waits behind their statements, and the attempt to replace the primary
// fails; the next one may begin only once the claim's life is over. It shows as
// changes of primary that take seconds on busy days. Orders and questions take a
// target half a millisecond, and all statements wait for what they tell.
func (p *Pool) AcquireFirst(ctx context.Context, deadline time.Time) (*Conn, error) {
	return p.acquire(ctx, &waiter{deadline: deadline, first: true, result: make(chan lent, 1)}, nil)
}

func (p *Pool) acquire(ctx context.Context, w *waiter, values map[string]string) (*Conn, error) {
	now := p.clock.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, &ClosedError{}
	}
	if c := p.takeIdle(w, values); c != nil {
		p.lend(c, now)
		p.mu.Unlock()
		return c, nil
	}
	if wait := p.expect(); !w.first && now.Add(wait).After(w.deadline) {
		p.mu.Unlock()
		return nil, &FullError{RetryAfter: max(wait, minRetryAfter)}
	}
	if p.open == 0 && now.Before(p.redialAt) {
		err := p.dialErr
		p.mu.Unlock()
		return nil, &UnreachableError{Cause: err}
	}
	p.enqueue(w)
	p.grow(now)
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
		return nil, &FullError{RetryAfter: max(p.expect(), minRetryAfter)}
	}
	// The result was sent while this goroutine gave up.
	l := <-w.result
	return l.conn, l.err
}

// enqueue keeps the waiting in the order of their deadlines, orders and
// questions before them. The caller holds mu.
func (p *Pool) enqueue(w *waiter) {
	if w.first {
		p.waiting = slices.Insert(p.waiting, 0, w)
		return
	}
	i, _ := slices.BinarySearchFunc(p.waiting, w, func(a, b *waiter) int {
		if !a.first && a.deadline.After(b.deadline) {
			return 1
		}
		return -1
	})
	p.waiting = slices.Insert(p.waiting, i, w)
}

// takeIdle returns an idle connection that w can use and that still works, or
// nil. The caller holds mu.
func (p *Pool) takeIdle(w *waiter, values map[string]string) *Conn {
	for {
		i := p.bestIdle(w, values)
		if i < 0 {
			return nil
		}
		c := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		// The failure: the target closed the connection, a write is sent into
		// it, and nobody can say whether it ran. It shows as an unresolved write
		// for every connection that a restarted target had. A connection on
		// which something arrived unasked is seen before anything is sent.
		if c.Silent() {
			return c
		}
		p.open--
		_ = c.Close()
	}
}

// fits reports whether the connection may be lent to w.
//
// The failure: a statement runs on a connection that was opened for another
// workspace; the target takes it for one of that workspace's, and nothing on the
// connection can change that later.
func (w *waiter) fits(c *Conn) bool { return w.first || w.workspace == c.Workspace }

// bestIdle prefers a connection that needs no settings, then the one used last;
// -1 if none fits. The caller holds mu.
func (p *Pool) bestIdle(w *waiter, values map[string]string) int {
	last := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		if !w.fits(p.idle[i]) {
			continue
		}
		if sameValues(p.idle[i].Values, values) {
			return i
		}
		last = max(last, i)
	}
	return last
}

func sameValues(a, b map[string]string) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		if w, ok := b[k]; !ok || v != w {
			return false
		}
	}
	return true
}

// lend notes that c is in use. The caller holds mu.
func (p *Pool) lend(c *Conn, now time.Time) {
	p.busy++
	c.taken = now
}

// Release gives a connection back for others. Call it only once every answer
// was read and no transaction is open on it.
func (p *Pool) Release(c *Conn) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy--
	c.used = now
	p.hold = average(p.hold, now.Sub(c.taken))
	p.giveBack(c, now)
}

// Discard closes a connection whose state is not known.
func (p *Pool) Discard(c *Conn) {
	_ = c.Close()
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy--
	p.open--
	p.grow(now)
}

func average(old, d time.Duration) time.Duration {
	if old == 0 {
		return d
	}
	return old + (d-old)/smoothing
}
