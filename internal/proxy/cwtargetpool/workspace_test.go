package cwtargetpool

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// realTimeout bounds a wait in real time, because the pool's fake clock doesn't
// advance by itself: a broken test fails instead of blocking.
const realTimeout = 5 * time.Second

func tryAcquire(p *Pool, clock clockwork.Clock, workspace string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), realTimeout)
	defer cancel()
	return p.Acquire(ctx, clock.Now().Add(time.Minute), workspace, Settings{})
}

func mustAcquire(t *testing.T, p *Pool, clock clockwork.Clock, workspace string) *Conn {
	t.Helper()
	c, err := tryAcquire(p, clock, workspace)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Workspace, qt.Equals, workspace)
	return c
}

// Guards against running a workspace's statement on an idle connection that was
// opened for another workspace: the database would attribute the statement to the
// wrong customer.
func TestConnectionsBelongToAWorkspace(t *testing.T) {
	p, _, d, clock := newPool(t)
	north := mustAcquire(t, p, clock, "north")
	p.Release(north)
	south := mustAcquire(t, p, clock, "south")
	qt.Assert(t, d.dials.Load(), qt.Equals, int64(2))
	p.Release(south)
	qt.Assert(t, mustAcquire(t, p, clock, "north") == north, qt.IsTrue)
	qt.Assert(t, mustAcquire(t, p, clock, "south") == south, qt.IsTrue)
	qt.Assert(t, d.dials.Load(), qt.Equals, int64(2))
}

// Guards against idle connections that fill the database's limit: callers of
// another workspace waited for them until their deadline.
func TestIdleConnectionIsClosedForOtherWorkspace(t *testing.T) {
	p, _, d, clock := newPool(t)
	p.SetMaxConnections(2)
	oldest, newer := mustAcquire(t, p, clock, "a"), mustAcquire(t, p, clock, "b")
	p.Release(oldest)
	clock.Advance(time.Millisecond)
	p.Release(newer)
	p.Release(mustAcquire(t, p, clock, "c"))
	qt.Assert(t, p.Load().Open, qt.Equals, 2)
	qt.Assert(t, mustAcquire(t, p, clock, "b") == newer, qt.IsTrue)
	qt.Assert(t, d.dials.Load(), qt.Equals, int64(3))
}

// While all connections are in use, one is released that no waiter can use. It is
// closed, and one for the waiter's workspace is opened instead.
func TestReleasedConnectionIsReplacedForWaiter(t *testing.T) {
	p, _, _, clock := newPool(t)
	p.SetMaxConnections(1)
	a := mustAcquire(t, p, clock, "a")
	result := make(chan *Conn, 1)
	go func() {
		c, _ := tryAcquire(p, clock, "b")
		result <- c
	}()
	waitForWaiters(t, p, 1)
	p.Release(a)
	c := <-result
	qt.Assert(t, c, qt.IsNotNil)
	qt.Assert(t, c.Workspace, qt.Equals, "b")
	qt.Assert(t, p.Load().Open, qt.Equals, 1)
}

// The proxy's own commands take a connection of any workspace: a replica must be
// fenced even if all connections that the database accepts belong to workspaces.
func TestUrgentAcquireTakesAnyConnection(t *testing.T) {
	p, _, d, clock := newPool(t)
	p.SetMaxConnections(1)
	c := mustAcquire(t, p, clock, "a")
	p.Release(c)
	acquired, err := p.AcquireUrgent(context.Background(), clock.Now().Add(time.Second))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, acquired == c, qt.IsTrue)
	qt.Assert(t, d.dials.Load(), qt.Equals, int64(1))
}

// Many callers of many workspaces compete for few connections. Each gets one of its
// own workspace, and no more are open than the database accepts.
func TestManyWorkspacesShareFewConnections(t *testing.T) {
	p, _, _, clock := newPool(t)
	p.SetMaxConnections(3)
	const callers = 60
	done := make(chan string, callers)
	for i := range callers {
		workspace := string(rune('a' + i%7))
		go func() {
			c, err := tryAcquire(p, clock, workspace)
			switch {
			case err != nil:
				done <- err.Error()
			case c.Workspace != workspace:
				done <- "connection of workspace " + c.Workspace
			case p.Load().Open > 3:
				done <- "more than 3 connections are open"
			default:
				p.Release(c)
				done <- ""
			}
		}()
	}
	for range callers {
		qt.Check(t, <-done, qt.Equals, "")
	}
	qt.Assert(t, p.Load().Waiting, qt.Equals, 0)
}
