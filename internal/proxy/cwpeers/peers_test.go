package cwpeers

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// fakeNetwork simulates the other instances, and the table, in memory.
type fakeNetwork struct {
	mu sync.Mutex
	// unresponsive are the instances that accept connections and do not answer.
	unresponsive map[string]bool
	// rows is the table; writes counts the calls of Commit.
	rows   map[string][]byte
	writes int
	// commitFails is true while Commit returns an error.
	commitFails bool
	// refused are the instances that refuse connections.
	refused map[string]bool
	// changesErr is the result of all requests for changes.
	changesErr error
	// dials are the attempted connections, in order. An attempt to a hanging instance
	// lasts until its channel is closed.
	dials   []string
	hanging map[string]chan struct{}
	// held, if not nil, is closed when statements with the id "held" are answered.
	held chan struct{}
}

func (n *fakeNetwork) dial(_ context.Context, name, _ string) (Conn, error) {
	n.mu.Lock()
	n.dials = append(n.dials, name)
	hang := n.hanging[name]
	n.mu.Unlock()
	if hang != nil {
		<-hang
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refused[name] {
		return nil, errNoAnswer
	}
	return &fakeConn{net: n, name: name, done: make(chan struct{})}, nil
}

// withLock calls f with mu held.
func (n *fakeNetwork) withLock(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (n *fakeNetwork) Get(context.Context, string) (cwplatform.Row, error) {
	return cwplatform.Row{}, &cwplatform.NotFoundError{}
}
func (n *fakeNetwork) List(context.Context, string) ([]cwplatform.Row, error) { return nil, nil }

func (n *fakeNetwork) Commit(_ context.Context, c cwplatform.Change) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.writes++
	if n.commitFails {
		return &cwplatform.UnavailableError{Cause: errNoAnswer}
	}
	n.rows[c.Put[0].Key] = c.Put[0].Value
	return nil
}

// fakeConn is a connection to an instance that answers, or is unresponsive.
type fakeConn struct {
	net  *fakeNetwork
	name string
	done chan struct{}
	once sync.Once
}

// awaitAnswer returns nil at once if the instance answers, and otherwise an error when
// ctx or the connection has ended.
func (c *fakeConn) awaitAnswer(ctx context.Context) error {
	c.net.mu.Lock()
	unresponsive := c.net.unresponsive[c.name]
	c.net.mu.Unlock()
	if !unresponsive {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return errNoAnswer
	}
}

func (c *fakeConn) Forward(ctx context.Context, h cwport.ForwardRequest) (cwport.ForwardResponse, error) {
	if err := c.awaitAnswer(ctx); err != nil {
		return cwport.ForwardResponse{}, &cwport.NoResponseError{Instance: c.name, Cause: err}
	}
	if h.Statement.ID == "held" {
		select {
		case <-c.net.held:
		case <-c.done:
			return cwport.ForwardResponse{}, &cwport.NoResponseError{Instance: c.name, Cause: errNoAnswer}
		}
	}
	return cwport.ForwardResponse{TryOtherHolder: h.Statement.ID == "elsewhere", Leaving: h.Statement.ID == "leaving"}, nil
}

func (c *fakeConn) ServeChanges(ctx context.Context, _ cwport.ChangesRequest) (cwport.ChangesResponse, error) {
	if err := c.awaitAnswer(ctx); err != nil {
		return cwport.ChangesResponse{}, err
	}
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	return cwport.ChangesResponse{}, c.net.changesErr
}

func (c *fakeConn) Members(ctx context.Context, q cwport.MembersRequest) (cwport.MembersResponse, error) {
	if err := c.awaitAnswer(ctx); err != nil {
		return cwport.MembersResponse{}, err
	}
	return cwport.MembersResponse{Observes: true, Reports: []cwport.MemberReport{{Member: cwgroup.MemberID(q.Group)}}}, nil
}

func (c *fakeConn) SendPathReport(ctx context.Context, _ cwport.PathReport) (cwport.PathReply, error) {
	return cwport.PathReply{}, c.awaitAnswer(ctx)
}

func (c *fakeConn) TakeQuota(ctx context.Context, _ cwport.QuotaRequest) (cwport.QuotaDecision, error) {
	return cwport.QuotaDecision{Allowed: true}, c.awaitAnswer(ctx)
}

func (c *fakeConn) ReturnQuota(ctx context.Context, _ string, _ cwport.QuotaGrant) error {
	return c.awaitAnswer(ctx)
}

func (c *fakeConn) Ping(ctx context.Context) error { return c.awaitAnswer(ctx) }
func (c *fakeConn) Done() <-chan struct{}          { return c.done }

func (c *fakeConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return nil
}

// scarceCapacity is that of a group with connections for few holders.
var scarceCapacity = cwholder.TargetCapacity{Connections: 4, Slots: 2}

func instance(name, centre string) cwholder.Instance {
	return cwholder.Instance{ID: name, DataCentre: centre, Address: "10.0.0.1:1"}
}

// row returns the row of an instance as the table has it.
func row(i cwholder.Instance) cwport.Row {
	return cwport.Row{Key: InstanceKey(i), Value: []byte(`{"address":"` + i.Address + `","dataCentre":"` + i.DataCentre + `"}`), Version: 5}
}

// startNonHolder runs the Peers of an instance that does not hold group "g", which two
// others of its data centre hold.
func startNonHolder(t *testing.T) (*qt.C, *Peers, *fakeNetwork, *clockwork.FakeClock) {
	c := qt.New(t)
	n := &fakeNetwork{unresponsive: map[string]bool{}, rows: map[string][]byte{}, refused: map[string]bool{}}
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	var rows []cwport.Row
	var all []cwholder.Instance
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		all = append(all, instance(name, "z"))
		rows = append(rows, row(instance(name, "z")))
	}
	var self cwholder.Instance
	for _, i := range all {
		if holders := cwholder.Holders("g", all, scarceCapacity); holders[0] != i && holders[1] != i {
			self = i
		}
	}
	p := &Peers{Self: self, Table: n, Dial: n.dial, Clock: clock, Log: log.New(io.Discard)}
	p.ApplyRows(rows, true)
	runPeers(t, p, clock)
	return c, p, n, clock
}

// runPeers runs p and advances its clock until the test ends.
func runPeers(t *testing.T, p *Peers, clock *clockwork.FakeClock) *qt.C {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { return p.Run(ctx) })
	eg.Go(func() error { return loopClock(ctx, clock) })
	c.Cleanup(func() {
		cancel()
		c.Check(eg.Wait(), qt.IsNil)
	})
	return c
}

// loopClock advances the fake clock until ctx ends.
func loopClock(ctx context.Context, clock *clockwork.FakeClock) error {
	for ctx.Err() == nil {
		clock.Advance(5 * time.Millisecond)
		time.Sleep(200 * time.Microsecond)
	}
	return nil
}

// eventually waits up to 20 s of the fake clock until f returns true.
func eventually(c *qt.C, clock *clockwork.FakeClock, f func() bool) {
	c.Helper()
	for end := clock.Now().Add(20 * time.Second); !f(); clock.Sleep(10 * time.Millisecond) {
		if clock.Now().After(end) {
			c.Fatal("not within 20 s")
		}
	}
}

// awaitHolder waits until a holder is chosen for a statement and returns it.
func awaitHolder(c *qt.C, p *Peers, clock *clockwork.FakeClock, tried ...string) cwport.Holder {
	c.Helper()
	var h cwport.Holder
	eventually(c, clock, func() bool {
		var ok bool
		h, ok = p.Holder("g", scarceCapacity, tried)
		return ok
	})
	return h
}

// forwardTo has a holder run a statement with the given id.
func forwardTo(h cwport.Holder, id string) (cwport.ForwardResponse, error) {
	return h.Forward(context.Background(), cwport.ForwardRequest{Statement: cwstatement.Statement{ID: id}})
}

func TestHolder(t *testing.T) {
	t.Run("statements do not wait for a connection", func(t *testing.T) {
		c, p, _, clock := startNonHolder(t)
		_, ok := p.Holder("g", scarceCapacity, nil)
		c.Assert(ok, qt.IsFalse)
		first := awaitHolder(c, p, clock)
		_, err := forwardTo(first, "s")
		c.Assert(err, qt.IsNil)
		second := awaitHolder(c, p, clock, first.Name())
		c.Assert(second.Name(), qt.Not(qt.Equals), first.Name())
	})
	t.Run("one that returned a statement is avoided for a while", func(t *testing.T) {
		c, p, _, clock := startNonHolder(t)
		first := awaitHolder(c, p, clock)
		r, err := forwardTo(first, "elsewhere")
		c.Assert(err, qt.IsNil)
		c.Assert(r.TryOtherHolder, qt.IsTrue)
		eventually(c, clock, func() bool {
			h, ok := p.Holder("g", scarceCapacity, nil)
			return ok && h.Name() != first.Name()
		})
		eventually(c, clock, func() bool {
			h, ok := p.Holder("g", scarceCapacity, nil)
			return ok && h.Name() == first.Name()
		})
	})
	t.Run("one that shuts down is not used until it is connected again", func(t *testing.T) {
		c, p, _, clock := startNonHolder(t)
		first := awaitHolder(c, p, clock)
		_, err := forwardTo(first, "leaving")
		c.Assert(err, qt.IsNil)
		for end := clock.Now().Add(5 * avoidFor); clock.Now().Before(end); clock.Advance(avoidFor / 10) {
			h, ok := p.Holder("g", scarceCapacity, nil)
			c.Assert(!ok || h.Name() != first.Name(), qt.IsTrue)
		}
		p.mu.Lock()
		l := p.links[first.Name()]
		p.mu.Unlock()
		l.mu.Lock()
		conn := l.conn
		l.mu.Unlock()
		c.Assert(conn.Close(), qt.IsNil)
		eventually(c, clock, func() bool {
			h, ok := p.Holder("g", scarceCapacity, nil)
			return ok && h.Name() == first.Name()
		})
	})
	t.Run("one whose row was removed is not used", func(t *testing.T) {
		c, p, _, clock := startNonHolder(t)
		first := awaitHolder(c, p, clock)
		p.ApplyRows([]cwport.Row{{Key: InstanceKey(instance(first.Name(), "z")), Removed: true}}, false)
		// Without the removed instance, this one may hold the group itself.
		h, ok := p.Holder("g", scarceCapacity, nil)
		c.Assert(!ok || h.Name() != first.Name(), qt.IsTrue)
	})
}

// Guards against a write of unknown outcome whose holder answers: the connection closed
// under the statement when the holder's row was removed.
func TestStatementOutlivesRowOfItsHolder(t *testing.T) {
	c, p, n, clock := startNonHolder(t)
	first := awaitHolder(c, p, clock)
	n.withLock(func() { n.held = make(chan struct{}) })
	answered := make(chan error, 1)
	go func() {
		_, err := forwardTo(first, "held")
		answered <- err
	}()
	p.mu.Lock()
	l := p.links[first.Name()]
	p.mu.Unlock()
	eventually(c, clock, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.activeCalls > 0
	})
	p.ApplyRows([]cwport.Row{{Key: InstanceKey(instance(first.Name(), "z")), Removed: true}}, false)
	n.withLock(func() { close(n.held) })
	c.Assert(<-answered, qt.IsNil)
	eventually(c, clock, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.conn == nil
	})
}

// Guards against a caller that waits until its statement times out, after half a minute,
// because a holder froze, though other holders could serve it.
func TestUnresponsiveHolderIsDroppedQuickly(t *testing.T) {
	c, p, n, clock := startNonHolder(t)
	first := awaitHolder(c, p, clock)
	n.withLock(func() { n.unresponsive[first.Name()] = true })
	began := clock.Now()
	_, err := forwardTo(first, "s")
	c.Assert(err, qt.ErrorAs, new(*cwport.NoResponseError))
	c.Assert(clock.Since(began) < 10*time.Second, qt.IsTrue, qt.Commentf("%v", clock.Since(began)))
	c.Assert(awaitHolder(c, p, clock).Name(), qt.Not(qt.Equals), first.Name())
}

// Guards against a write with an unknown outcome on an idle connection whose state the
// network has dropped: the write did not run, yet could not be refused as not run.
func TestDeadIdleConnectionIsDetected(t *testing.T) {
	c, p, n, clock := startNonHolder(t)
	first := awaitHolder(c, p, clock)
	n.withLock(func() { n.unresponsive[first.Name()] = true })
	eventually(c, clock, func() bool {
		h, ok := p.Holder("g", scarceCapacity, nil)
		return !ok || h.Name() != first.Name()
	})
}

func TestOwnRow(t *testing.T) {
	t.Run("an existing row is not written again", func(t *testing.T) {
		c, _, n, clock := startNonHolder(t)
		clock.Sleep(5 * registerInterval)
		n.withLock(func() { c.Check(n.writes, qt.Equals, 0) })
	})
	t.Run("a removed row is written, however often that fails", func(t *testing.T) {
		c, p, n, clock := startNonHolder(t)
		n.withLock(func() { n.commitFails = true })
		p.ApplyRows([]cwport.Row{{Key: InstanceKey(p.Self), Removed: true}}, false)
		clock.Sleep(3 * registerInterval)
		n.withLock(func() { n.commitFails = false })
		eventually(c, clock, func() bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.rows[InstanceKey(p.Self)] != nil
		})
	})
}

// Guards against instances that are alive but count as gone because a restore of the
// store has lost their rows.
func TestInstancesMissingAfterRestoreAreKept(t *testing.T) {
	// without returns the rows of all instances but one.
	without := func(name string) (rest []cwport.Row) {
		for _, other := range []string{"a", "b", "c", "d", "e"} {
			if other != name {
				rest = append(rest, row(instance(other, "z")))
			}
		}
		return rest
	}
	t.Run("the instance writes its row again", func(t *testing.T) {
		c, p, _, clock := startNonHolder(t)
		first := awaitHolder(c, p, clock)
		p.ApplyRows(without(first.Name()), true)
		clock.Sleep(2 * registerInterval)
		p.ApplyRows([]cwport.Row{row(instance(first.Name(), "z"))}, false)
		for range 10 {
			h, ok := p.Holder("g", scarceCapacity, nil)
			c.Assert(ok, qt.IsTrue)
			c.Assert(h.Name(), qt.Equals, first.Name())
			_, err := forwardTo(h, "s")
			c.Assert(err, qt.IsNil)
			clock.Sleep(registerInterval)
		}
	})
	t.Run("the instance is gone", func(t *testing.T) {
		c, p, _, clock := startNonHolder(t)
		first := awaitHolder(c, p, clock)
		p.ApplyRows(without(first.Name()), true)
		h, ok := p.Holder("g", scarceCapacity, nil)
		c.Assert(ok, qt.IsTrue)
		c.Assert(h.Name(), qt.Equals, first.Name())
		eventually(c, clock, func() bool {
			h, ok := p.Holder("g", scarceCapacity, nil)
			return !ok || h.Name() != first.Name()
		})
	})
	t.Run("this instance writes its own row again", func(t *testing.T) {
		c, p, n, clock := startNonHolder(t)
		p.ApplyRows(without(p.Self.ID), true)
		eventually(c, clock, func() bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.rows[InstanceKey(p.Self)] != nil
		})
	})
}

// Guards against recomputing all holders for every single row when hundreds of
// instances start together and the row of each reaches the others separately.
func TestRowChangesAreBatched(t *testing.T) {
	c := qt.New(t)
	notified := 0
	p := &Peers{Self: instance("a", "z"), Clock: clockwork.NewFakeClock(), Log: log.New(io.Discard), OnChange: func() { notified++ }}
	p.ApplyRows(nil, true)
	c.Assert(notified, qt.Equals, 1, qt.Commentf("the first rows are reported at once"))
	for _, name := range []string{"b", "c", "d", "e", "f"} {
		p.ApplyRows([]cwport.Row{row(instance(name, "z"))}, false)
	}
	c.Assert(notified, qt.Equals, 1)
	p.notifyChanged()
	p.notifyChanged()
	c.Assert(notified, qt.Equals, 2)
}

// Guards against two failures of an instance that holds a group and is cut off from its
// targets. It gets no help as long as it is the first in its own order of holders. And a
// write that it sends to another instance, on a connection that was cut together with
// those to the targets, has an unknown outcome though it could have been refused as not
// run.
func TestIsolatedHolderAsksOthersForHelp(t *testing.T) {
	c, p, n, clock := startNonHolder(t)
	plenty := cwholder.TargetCapacity{Connections: 100, Slots: 2}
	_, ok := p.Holder("g", plenty, nil)
	c.Assert(ok, qt.IsFalse)
	help := func() (cwport.Holder, bool) { return p.Holder("g", plenty, []string{p.Self.ID}) }
	var first cwport.Holder
	eventually(c, clock, func() bool {
		first, ok = help()
		return ok
	})
	c.Assert(first.Name(), qt.Not(qt.Equals), p.Self.ID)

	n.mu.Lock()
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		n.unresponsive[name] = true
	}
	n.mu.Unlock()
	clock.Sleep(answerTimeout)
	_, ok = help()
	c.Assert(ok, qt.IsFalse)
}
