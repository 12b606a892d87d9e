package cwtargetpool

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/standin/cwreplicaset"
)

// countingDialer counts the attempts to open a connection.
type countingDialer struct {
	cwport.Dialer
	dials atomic.Int64
}

func (d *countingDialer) Dial(ctx context.Context, to cwport.Endpoint, workspace string) (cwport.TargetConn, error) {
	d.dials.Add(1)
	return d.Dialer.Dial(ctx, to, workspace)
}

type noEvents struct{}

func (noEvents) DialFailed(cwport.Endpoint, error) {}

func newPool(t *testing.T) (*Pool, *cwreplicaset.Group, *countingDialer, *clockwork.FakeClock) {
	g := cwreplicaset.NewGroup("s", "a")
	d := &countingDialer{Dialer: g.DialerFrom("x")}
	clock := clockwork.NewFakeClock()
	p := NewPool(cwport.Endpoint{ID: "a", Service: "s"}, 4, d, clock, noEvents{})
	p.SetSlots(3)
	t.Cleanup(p.Close)
	return p, g, d, clock
}

func acquire(p *Pool, clock clockwork.Clock) (*Conn, error) {
	return p.Acquire(context.Background(), clock.Now().Add(time.Second), "", Settings{})
}

// Guards against an attempt to open a connection for each request while the
// database refuses more connections. In a deployment with more instances than
// connections, a thousand callers made 60,000 attempts a second, and each refused
// one costs the database time.
func TestRefusedDialIsNotRetriedForEachRequest(t *testing.T) {
	p, g, d, clock := newPool(t)
	other, err := g.DialerFrom("y").Dial(context.Background(), cwport.Endpoint{ID: "a"}, "")
	qt.Assert(t, err, qt.IsNil)
	g.LimitConnections("a", 1)
	for range 100 {
		_, err := acquire(p, clock)
		var unreachable *UnreachableError
		qt.Assert(t, errors.As(err, &unreachable), qt.IsTrue, qt.Commentf("%v", err))
	}
	qt.Assert(t, d.dials.Load(), qt.Equals, int64(1))
	qt.Assert(t, other.Close(), qt.IsNil)
	clock.Advance(minRedialPause)
	c, err := acquire(p, clock)
	qt.Assert(t, err, qt.IsNil)
	p.Release(c)
}

// With more instances than a database accepts connections, instances that keep an
// idle connection would lock the others out for good. A crowded target gets all
// idle connections back.
func TestIdleConnectionsToCrowdedTargetAreClosed(t *testing.T) {
	p, _, _, clock := newPool(t)
	c, err := acquire(p, clock)
	qt.Assert(t, err, qt.IsNil)
	p.Release(c)
	clock.Advance(time.Minute)
	p.TrimIdle()
	qt.Assert(t, p.Load().Open, qt.Equals, 1)
	p.ObserveConnections(4)
	p.TrimIdle()
	qt.Assert(t, p.Load().Open, qt.Equals, 0)
}

// A statement that can't be served in time is refused at once, with the time after
// which to retry.
func TestLateStatementsAreRefusedAtOnce(t *testing.T) {
	p, _, _, clock := newPool(t)
	p.SetMaxConnections(1)
	c, err := acquire(p, clock)
	qt.Assert(t, err, qt.IsNil)
	_, err = p.Acquire(context.Background(), clock.Now().Add(time.Millisecond), "", Settings{})
	var full *OverloadedError
	qt.Assert(t, errors.As(err, &full), qt.IsTrue)
	qt.Assert(t, full.RetryAfter > 0, qt.IsTrue)
	p.Release(c)
	_, err = acquire(p, clock)
	qt.Assert(t, err, qt.IsNil)
}

// Guards against commands that wait behind statements. After a primary was lost
// under high load, the command to fence a replica waited behind hundreds of
// statements and came too late, and so did the following ones: the group had no
// primary for seconds.
func TestCommandsGoBeforeStatements(t *testing.T) {
	p, _, _, clock := newPool(t)
	p.SetMaxConnections(1)
	c, err := acquire(p, clock)
	qt.Assert(t, err, qt.IsNil)
	p.Release(c)
	c, err = acquire(p, clock)
	qt.Assert(t, err, qt.IsNil)
	statements, commands := make(chan *Conn, 3), make(chan *Conn, 1)
	for range 3 {
		go func() {
			c, _ := p.Acquire(context.Background(), clock.Now().Add(time.Minute), "", Settings{})
			statements <- c
		}()
	}
	waitForWaiters(t, p, 3)
	go func() {
		c, _ := p.AcquireUrgent(context.Background(), clock.Now().Add(time.Hour))
		commands <- c
	}()
	waitForWaiters(t, p, 4)
	p.Release(c)
	qt.Assert(t, <-commands, qt.Equals, c)
	qt.Assert(t, statements, qt.HasLen, 0)
	for range 3 {
		p.Release(c)
		qt.Assert(t, <-statements, qt.Equals, c)
	}
}

// waitForWaiters waits until n statements or commands wait for a connection.
func waitForWaiters(t *testing.T, p *Pool, n int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); p.Load().Waiting != n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d waiters, want %d", p.Load().Waiting, n)
		}
	}
}

// A connection that the target has closed is not lent; a new one is opened instead.
func TestClosedConnectionIsNotLent(t *testing.T) {
	p, _, d, clock := newPool(t)
	c, err := acquire(p, clock)
	qt.Assert(t, err, qt.IsNil)
	c.TargetConn = unexpectedInputTarget{c.TargetConn}
	p.Release(c)
	again, err := acquire(p, clock)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, d.dials.Load(), qt.Equals, int64(2))
	qt.Assert(t, again == c, qt.IsFalse)
}

// unexpectedInputTarget is a connection that the target has closed.
type unexpectedInputTarget struct{ cwport.TargetConn }

func (unexpectedInputTarget) NoUnreadInput() bool { return false }
