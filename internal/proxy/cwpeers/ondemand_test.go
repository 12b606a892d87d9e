package cwpeers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// manyGroupsCapacity is that of a group in a deployment with many groups.
var manyGroupsCapacity = cwholder.TargetCapacity{Connections: 278, Slots: 3, ManyGroups: true}

// manyGroupsTest has the Peers of an instance that does not hold group "g", one of 24 in
// four data centres, on virtual time.
type manyGroupsTest struct {
	*qt.C
	*Peers
	net  *fakeNetwork
	path *pathRecorder
	// holders are those of the group, in the order in which they are chosen.
	holders []cwholder.Instance
}

// runManyGroups runs f with such an instance.
func runManyGroups(t *testing.T, f func(w manyGroupsTest)) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakeNetwork{unresponsive: map[string]bool{}, rows: map[string][]byte{}, refused: map[string]bool{}, hanging: map[string]chan struct{}{}}
		var rows []cwport.Row
		var all []cwholder.Instance
		for i := range 24 {
			in := instance(fmt.Sprintf("i%d", i), fmt.Sprintf("z%d", i%4))
			all, rows = append(all, in), append(rows, row(in))
		}
		holders := cwholder.Holders("g", all, manyGroupsCapacity)
		self := all[slices.IndexFunc(all, func(i cwholder.Instance) bool { return !slices.Contains(holders, i) })]
		path := &pathRecorder{}
		p := &Peers{Self: self, Table: n, Dial: n.dial, Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), PathMonitor: path}
		p.ApplyRows(rows, true)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- p.Run(ctx) }()
		f(manyGroupsTest{C: qt.New(t), Peers: p, net: n, path: path, holders: holders})
		cancel()
		qt.Check(t, <-done, qt.IsNil)
	})
}

// chooseHolder returns the holder chosen for a statement, and how long the choice took.
func (w manyGroupsTest) chooseHolder(tried ...string) (cwport.Holder, time.Duration) {
	w.Helper()
	began := time.Now()
	h, ok := w.Holder("g", manyGroupsCapacity, tried)
	w.Assert(ok, qt.IsTrue)
	return h, time.Since(began)
}

// dialled returns the names of the instances to which a connection was attempted, in
// order.
func (n *fakeNetwork) dialled() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.dials)
}

// Guards against a statement that connects to every holder of its group.
func TestManyGroupsStatementConnectsOneHolder(t *testing.T) {
	runManyGroups(t, func(w manyGroupsTest) {
		for range 3 {
			h, _ := w.chooseHolder()
			w.Assert(h.Name(), qt.Equals, w.holders[0].ID)
			_, err := forwardTo(h, "s")
			w.Assert(err, qt.IsNil)
			time.Sleep(time.Second)
		}
		w.Assert(w.net.dialled(), qt.DeepEquals, []string{w.holders[0].ID})
	})
}

// Guards against callers that wait for a holder that is gone.
func TestNextHolderTakesStatement(t *testing.T) {
	t.Run("the first refuses connections", func(t *testing.T) {
		runManyGroups(t, func(w manyGroupsTest) {
			w.net.withLock(func() { w.net.refused[w.holders[0].ID] = true })
			h, took := w.chooseHolder()
			w.Assert(h.Name(), qt.Equals, w.holders[1].ID)
			w.Assert(took < cwholder.HedgeDelay, qt.IsTrue)
		})
	})
	t.Run("the first does not answer", func(t *testing.T) {
		runManyGroups(t, func(w manyGroupsTest) {
			hang := make(chan struct{})
			defer close(hang)
			w.net.withLock(func() { w.net.hanging[w.holders[0].ID] = hang })
			h, took := w.chooseHolder()
			w.Assert(h.Name(), qt.Equals, w.holders[1].ID)
			w.Assert(took < maxConnectWait, qt.IsTrue)
			w.Assert(w.net.dialled(), qt.DeepEquals, []string{w.holders[0].ID, w.holders[1].ID})
		})
	})
	t.Run("the first was tried before", func(t *testing.T) {
		runManyGroups(t, func(w manyGroupsTest) {
			h, _ := w.chooseHolder(w.holders[0].ID)
			w.Assert(h.Name(), qt.Equals, w.holders[1].ID)
		})
	})
	t.Run("the first is used again once it accepts connections", func(t *testing.T) {
		runManyGroups(t, func(w manyGroupsTest) {
			w.net.withLock(func() { w.net.refused[w.holders[0].ID] = true })
			for range 5 {
				h, _ := w.chooseHolder()
				w.Assert(h.Name(), qt.Equals, w.holders[1].ID)
				time.Sleep(time.Second)
			}
			w.net.withLock(func() { w.net.refused[w.holders[0].ID] = false })
			time.Sleep(maxDialBackoff)
			w.chooseHolder()
			time.Sleep(10 * time.Millisecond)
			h, _ := w.chooseHolder()
			w.Assert(h.Name(), qt.Equals, w.holders[0].ID)
		})
	})
	t.Run("all refuse connections", func(t *testing.T) {
		runManyGroups(t, func(w manyGroupsTest) {
			w.net.withLock(func() {
				for _, h := range w.holders {
					w.net.refused[h.ID] = true
				}
			})
			began := time.Now()
			_, ok := w.Holder("g", manyGroupsCapacity, nil)
			w.Assert(ok, qt.IsFalse)
			w.Assert(time.Since(began) < maxConnectWait, qt.IsTrue)
		})
	})
}

// pathRecorder records when an answer last arrived from another data centre, and when
// the latest unanswered message was sent there. Either is zero if there was none.
type pathRecorder struct {
	mu                sync.Mutex
	answered, overdue time.Time
}

func (p *pathRecorder) RecordAnswer(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered = now
}

func (p *pathRecorder) RecordOverdue(sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.overdue = sent
}

func (p *pathRecorder) cut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answered.Before(p.overdue)
}

// Guards against an instance that accepts callers while its data centre is cut off: a
// missing answer from another data centre must be reported to PathMonitor.
func TestUnansweredStatementIsReportedToPathMonitor(t *testing.T) {
	runManyGroups(t, func(w manyGroupsTest) {
		var remote cwholder.Instance
		for _, h := range w.holders {
			if h.DataCentre != w.Self.DataCentre {
				remote = h
				break
			}
		}
		var tried []string
		for _, h := range w.holders {
			if h != remote {
				tried = append(tried, h.ID)
			}
		}
		h, _ := w.chooseHolder(tried...)
		w.Assert(h.Name(), qt.Equals, remote.ID)
		_, err := forwardTo(h, "s")
		w.Assert(err, qt.IsNil)
		w.Assert(w.path.cut(), qt.IsFalse)
		w.net.withLock(func() { w.net.unresponsive[remote.ID] = true })
		began := time.Now()
		_, err = forwardTo(h, "s")
		w.Assert(err, qt.ErrorAs, new(*cwport.NoResponseError))
		w.Assert(w.path.cut(), qt.IsTrue)
		w.Assert(time.Since(began) <= 2*answerTimeout, qt.IsTrue)
	})
}

// Guards against instances that suspect the path because one of another data centre has
// closed its connections: a probe that fails at once is not overdue.
func TestProbeOfClosedConnectionIsNotOverdue(t *testing.T) {
	path := &pathRecorder{}
	n := &fakeNetwork{unresponsive: map[string]bool{"i": true}}
	conn := &fakeConn{net: n, name: "i", done: make(chan struct{})}
	l := &link{remote: instance("i", "z1"), clock: clockwork.NewRealClock(), log: log.New(io.Discard), path: path}
	_ = conn.Close()
	l.probe(conn)
	qt.Assert(t, path.cut(), qt.IsFalse)
}

// Guards against an instance that ends up connected to all others.
func TestIdleOnDemandConnectionIsClosed(t *testing.T) {
	runManyGroups(t, func(w manyGroupsTest) {
		connected := func() bool {
			w.mu.Lock()
			l := w.links[w.holders[0].ID]
			w.mu.Unlock()
			return l.state(time.Now()).Ready
		}
		h, _ := w.chooseHolder()
		for range 3 {
			_, err := forwardTo(h, "s")
			w.Assert(err, qt.IsNil)
			time.Sleep(idleTimeout / 2)
			w.Assert(connected(), qt.IsTrue)
		}
		time.Sleep(idleTimeout)
		w.Assert(connected(), qt.IsFalse)
		w.chooseHolder()
		w.Assert(w.net.dialled(), qt.HasLen, 2)
	})
}

// Guards against recomputing the holders of every group when rows arrive that change
// nothing.
func TestUnchangedRowsDoNotNotify(t *testing.T) {
	c := qt.New(t)
	notified := 0
	p := &Peers{Self: instance("a", "z"), Clock: clockwork.NewFakeClock(), Log: log.New(io.Discard), OnChange: func() { notified++ }}
	rows := []cwport.Row{row(instance("a", "z")), row(instance("b", "z"))}
	p.ApplyRows(rows, true)
	c.Assert(notified, qt.Equals, 1)
	p.ApplyRows(rows[1:], false)
	p.ApplyRows(rows, true)
	p.notifyChanged()
	c.Assert(notified, qt.Equals, 1)
	p.ApplyRows([]cwport.Row{row(instance("b", "y"))}, false)
	p.notifyChanged()
	c.Assert(notified, qt.Equals, 2)
}

// Guards against a simultaneous start in which each instance logs one line for every
// other instance.
func TestInstancesListedTogetherLogOneLine(t *testing.T) {
	for _, n := range []int{1, maxSingleLogLines, maxSingleLogLines + 1, 1000} {
		var lines bytes.Buffer
		p := &Peers{Self: instance("a", "z"), Clock: clockwork.NewFakeClock(), Log: log.New(&lines)}
		var rows []cwport.Row
		for i := range n {
			rows = append(rows, row(instance(fmt.Sprint("i", i), "z")))
		}
		p.ApplyRows(rows, true)
		qt.Assert(t, bytes.Count(lines.Bytes(), []byte("\n")) <= maxSingleLogLines, qt.IsTrue, qt.Commentf("%d instances", n))
	}
}
