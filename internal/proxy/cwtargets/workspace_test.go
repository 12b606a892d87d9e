package cwtargets

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// patience bounds a wait in real time, since the pool's clock stands still: a test
// whose guard is gone fails instead of hanging.
const patience = 5 * time.Second

func acquireFor(p *Pool, clock clockwork.Clock, workspace string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return p.Acquire(ctx, clock.Now().Add(time.Minute), workspace, nil)
}

func mustAcquire(t *testing.T, p *Pool, clock clockwork.Clock, workspace string) *Conn {
	t.Helper()
	c, err := acquireFor(p, clock, workspace)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Workspace, qt.Equals, workspace)
	return c
}

// Two workspaces use one database. A connection that was opened for one rests,
// the other's statement is sent on it, and the database books it for the wrong
// customer.
func TestConnectionsBelongToAWorkspace(t *testing.T) {
	p, _, d, clock := newPool(t)
	north := mustAcquire(t, p, clock, "north")
	p.Release(north)
	south := mustAcquire(t, p, clock, "south")
	qt.Assert(t, d.n.Load(), qt.Equals, int64(2))
	p.Release(south)
	qt.Assert(t, mustAcquire(t, p, clock, "north") == north, qt.IsTrue)
	qt.Assert(t, mustAcquire(t, p, clock, "south") == south, qt.IsTrue)
	qt.Assert(t, d.n.Load(), qt.Equals, int64(2))
}

// A database takes few connections, and those of the workspaces that came first
// rest. Callers of another one waited until their time was up.
func TestRestingConnectionMakesRoom(t *testing.T) {
	p, _, d, clock := newPool(t)
	p.SetCeiling(2)
	oldest, newer := mustAcquire(t, p, clock, "a"), mustAcquire(t, p, clock, "b")
	p.Release(oldest)
	clock.Advance(time.Millisecond)
	p.Release(newer)
	p.Release(mustAcquire(t, p, clock, "c"))
	qt.Assert(t, p.Load().Open, qt.Equals, 2)
	qt.Assert(t, mustAcquire(t, p, clock, "b") == newer, qt.IsTrue)
	qt.Assert(t, d.n.Load(), qt.Equals, int64(3))
}

// The same while all connections are in use: the one that comes back first is of
// no use to who waits, and is given up for one that is.
func TestReturnedConnectionMakesRoom(t *testing.T) {
	p, _, _, clock := newPool(t)
	p.SetCeiling(1)
	a := mustAcquire(t, p, clock, "a")
	got := make(chan *Conn, 1)
	go func() {
		c, _ := acquireFor(p, clock, "b")
		got <- c
	}()
	waiting(t, p, 1)
	p.Release(a)
	c := <-got
	qt.Assert(t, c, qt.IsNotNil)
	qt.Assert(t, c.Workspace, qt.Equals, "b")
	qt.Assert(t, p.Load().Open, qt.Equals, 1)
}

// Orders and questions of the product take any connection: a replica is to be
// fenced, and all connections of the full database belong to workspaces.
func TestOrdersTakeAnyConnection(t *testing.T) {
	p, _, d, clock := newPool(t)
	p.SetCeiling(1)
	c := mustAcquire(t, p, clock, "a")
	p.Release(c)
	first, err := p.AcquireFirst(context.Background(), clock.Now().Add(time.Second))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first == c, qt.IsTrue)
	qt.Assert(t, d.n.Load(), qt.Equals, int64(1))
}

// Many callers of many workspaces press on few connections. Each gets one of its
// own workspace, and the database never has more than it takes.
func TestManyWorkspacesShareFewConnections(t *testing.T) {
	p, _, _, clock := newPool(t)
	p.SetCeiling(3)
	const callers = 60
	done := make(chan string, callers)
	for i := range callers {
		workspace := string(rune('a' + i%7))
		go func() {
			c, err := acquireFor(p, clock, workspace)
			switch {
			case err != nil:
				done <- err.Error()
			case c.Workspace != workspace:
				done <- "of " + c.Workspace
			case p.Load().Open > 3:
				done <- "too many are open"
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
