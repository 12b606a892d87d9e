package cwtargets

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/standin/cwreplica"
)

// counting counts the connections that are tried.
type counting struct {
	cwport.Dialer
	n atomic.Int64
}

func (d *counting) Dial(ctx context.Context, to cwport.Endpoint, workspace string) (cwport.Target, error) {
	d.n.Add(1)
	return d.Dialer.Dial(ctx, to, workspace)
}

type noEvents struct{}

func (noEvents) DialFailed(cwport.Endpoint, error) {}

func newPool(t *testing.T) (*Pool, *cwreplica.Group, *counting, *clockwork.FakeClock) {
	g := cwreplica.NewGroup("s", "a")
	d := &counting{Dialer: g.DialerFrom("x")}
	clock := clockwork.NewFakeClock()
	p := NewPool(cwport.Endpoint{ID: "a", Service: "s"}, 4, d, clock, noEvents{})
	p.SetSlots(3)
	t.Cleanup(p.Close)
	return p, g, d, clock
}

func acquire(p *Pool, clock clockwork.Clock) (*Conn, error) {
	return p.Acquire(context.Background(), clock.Now().Add(time.Second), "", nil)
}

// A database that takes no more connections is tried again for each request of
// a thousand callers: 60,000 tries a second in a deployment with more instances
// than connections, and each refused try keeps the database from its work.
func TestFullTargetIsNotTriedForEachRequest(t *testing.T) {
	p, g, d, clock := newPool(t)
	other, err := g.DialerFrom("y").Dial(context.Background(), cwport.Endpoint{ID: "a"}, "")
	qt.Assert(t, err, qt.IsNil)
	g.LimitConnections("a", 1)
	for range 100 {
		_, err := acquire(p, clock)
		var unreachable *UnreachableError
		qt.Assert(t, errors.As(err, &unreachable), qt.IsTrue, qt.Commentf("%v", err))
	}
	qt.Assert(t, d.n.Load(), qt.Equals, int64(1))
	qt.Assert(t, other.Close(), qt.IsNil)
	clock.Advance(redialMin)
	c, err := acquire(p, clock)
	qt.Assert(t, err, qt.IsNil)
	p.Release(c)
}

// With more instances than a database takes connections, those that came first
// keep theirs at rest, and the others are shut out for good.
func TestCrowdedTargetGetsItsConnectionsBack(t *testing.T) {
	p, _, _, clock := newPool(t)
	c, err := acquire(p, clock)
	qt.Assert(t, err, qt.IsNil)
	p.Release(c)
	clock.Advance(time.Minute)
	p.Trim()
	qt.Assert(t, p.Load().Open, qt.Equals, 1)
	p.Crowded(4)
	p.Trim()
	qt.Assert(t, p.Load().Open, qt.Equals, 0)
}

// A statement that cannot be served in time is refused at once, with when to come back.
func TestLateStatementsAreRefusedAtOnce(t *testing.T) {
	p, _, _, clock := newPool(t)
	p.SetCeiling(1)
	c, err := acquire(p, clock)
	qt.Assert(t, err, qt.IsNil)
	_, err = p.Acquire(context.Background(), clock.Now().Add(time.Millisecond), "", nil)
	var full *FullError
	qt.Assert(t, errors.As(err, &full), qt.IsTrue)
	qt.Assert(t, full.RetryAfter > 0, qt.IsTrue)
	p.Release(c)
	_, err = acquire(p, clock)
	qt.Assert(t, err, qt.IsNil)
}

// A primary is lost on a busy day. The order that fences a replica waited behind
// hundreds of statements, came too late, and so did the next ones: the group had
// no primary for seconds.
func TestOrdersGoBeforeStatements(t *testing.T) {
	p, _, _, clock := newPool(t)
	p.SetCeiling(1)
	c, err := acquire(p, clock)
	qt.Assert(t, err, qt.IsNil)
	p.Release(c)
	c, err = acquire(p, clock)
	qt.Assert(t, err, qt.IsNil)
	statements, orders := make(chan *Conn, 3), make(chan *Conn, 1)
	for range 3 {
		go func() {
			c, _ := p.Acquire(context.Background(), clock.Now().Add(time.Minute), "", nil)
			statements <- c
		}()
	}
	waiting(t, p, 3)
	go func() {
		c, _ := p.AcquireFirst(context.Background(), clock.Now().Add(time.Hour))
		orders <- c
	}()
	waiting(t, p, 4)
	p.Release(c)
	qt.Assert(t, <-orders, qt.Equals, c)
	qt.Assert(t, statements, qt.HasLen, 0)
	for range 3 {
		p.Release(c)
		qt.Assert(t, <-statements, qt.Equals, c)
	}
}

// waiting waits until n wait for a connection.
func waiting(t *testing.T, p *Pool, n int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); p.Load().Waiting != n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d wait, not %d", p.Load().Waiting, n)
		}
	}
}

// A connection that the target has closed is noticed before it is lent.
func TestClosedConnectionIsNotLent(t *testing.T) {
	p, _, d, clock := newPool(t)
	c, err := acquire(p, clock)
	qt.Assert(t, err, qt.IsNil)
	c.Target = deaf{c.Target}
	p.Release(c)
	again, err := acquire(p, clock)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, d.n.Load(), qt.Equals, int64(2))
	qt.Assert(t, again == c, qt.IsFalse)
}

// deaf is a connection whose end has arrived.
type deaf struct{ cwport.Target }

func (deaf) Silent() bool { return false }
