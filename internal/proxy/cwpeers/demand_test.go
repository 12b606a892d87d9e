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

// manyGroups is the demand of a group among many.
var manyGroups = cwholder.Demand{Connections: 278, Slots: 3, Many: true}

// wide is the peers of an instance that does not hold group "g", among others in four
// data centres, on virtual time.
type wide struct {
	*qt.C
	*Peers
	net  *network
	path *recordedPath
	// holders are those of the group, in order.
	holders []cwholder.Instance
}

// runWide plays f with such an instance.
func runWide(t *testing.T, f func(w wide)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{silent: map[string]bool{}, rows: map[string][]byte{}, refused: map[string]bool{}, hanging: map[string]chan struct{}{}}
		var rows []cwport.Row
		var all []cwholder.Instance
		for i := range 24 {
			in := instance(fmt.Sprintf("i%d", i), fmt.Sprintf("z%d", i%4))
			all, rows = append(all, in), append(rows, row(in))
		}
		holders := cwholder.Holders("g", all, manyGroups)
		self := all[slices.IndexFunc(all, func(i cwholder.Instance) bool { return !slices.Contains(holders, i) })]
		path := &recordedPath{}
		p := &Peers{Self: self, Table: n, Dial: n.dial, Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Path: path}
		p.Rows(rows, true)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- p.Run(ctx) }()
		f(wide{C: qt.New(t), Peers: p, net: n, path: path, holders: holders})
		cancel()
		qt.Check(t, <-done, qt.IsNil)
	})
}

// holder returns who takes a statement, and how long that took.
func (w wide) holder(tried ...string) (cwport.Holder, time.Duration) {
	w.Helper()
	began := time.Now()
	h, ok := w.Holder("g", manyGroups, tried)
	w.Assert(ok, qt.IsTrue)
	return h, time.Since(began)
}

func (n *network) dialled() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.dials)
}

// Guards against one statement that connects every holder of its group.
func TestStatementOfManyGroupsConnectsOneHolder(t *testing.T) {
	runWide(t, func(w wide) {
		for range 3 {
			h, _ := w.holder()
			w.Assert(h.Name(), qt.Equals, w.holders[0].ID)
			_, err := hand(h, "s")
			w.Assert(err, qt.IsNil)
			time.Sleep(time.Second)
		}
		w.Assert(w.net.dialled(), qt.DeepEquals, []string{w.holders[0].ID})
	})
}

// Guards against callers who wait for a holder that is gone.
func TestNextHolderTakesTheStatement(t *testing.T) {
	t.Run("of one that refuses connections", func(t *testing.T) {
		runWide(t, func(w wide) {
			w.net.set(func() { w.net.refused[w.holders[0].ID] = true })
			h, took := w.holder()
			w.Assert(h.Name(), qt.Equals, w.holders[1].ID)
			w.Assert(took < cwholder.SpareAfter, qt.IsTrue)
		})
	})
	t.Run("of one that does not answer", func(t *testing.T) {
		runWide(t, func(w wide) {
			hang := make(chan struct{})
			defer close(hang)
			w.net.set(func() { w.net.hanging[w.holders[0].ID] = hang })
			h, took := w.holder()
			w.Assert(h.Name(), qt.Equals, w.holders[1].ID)
			w.Assert(took < connectWait, qt.IsTrue)
			w.Assert(w.net.dialled(), qt.DeepEquals, []string{w.holders[0].ID, w.holders[1].ID})
		})
	})
	t.Run("of one that was tried", func(t *testing.T) {
		runWide(t, func(w wide) {
			h, _ := w.holder(w.holders[0].ID)
			w.Assert(h.Name(), qt.Equals, w.holders[1].ID)
		})
	})
	t.Run("until it is there again", func(t *testing.T) {
		runWide(t, func(w wide) {
			w.net.set(func() { w.net.refused[w.holders[0].ID] = true })
			for range 5 {
				h, _ := w.holder()
				w.Assert(h.Name(), qt.Equals, w.holders[1].ID)
				time.Sleep(time.Second)
			}
			w.net.set(func() { w.net.refused[w.holders[0].ID] = false })
			time.Sleep(redialMax)
			w.holder()
			time.Sleep(10 * time.Millisecond)
			h, _ := w.holder()
			w.Assert(h.Name(), qt.Equals, w.holders[0].ID)
		})
	})
	t.Run("there is none", func(t *testing.T) {
		runWide(t, func(w wide) {
			w.net.set(func() {
				for _, h := range w.holders {
					w.net.refused[h.ID] = true
				}
			})
			began := time.Now()
			_, ok := w.Holder("g", manyGroups, nil)
			w.Assert(ok, qt.IsFalse)
			w.Assert(time.Since(began) < connectWait, qt.IsTrue)
		})
	})
}

// recordedPath is when something last came from other data centres, and what was sent
// there last that had no answer. Either may be zero.
type recordedPath struct {
	mu              sync.Mutex
	answered, unmet time.Time
}

func (p *recordedPath) RecordAnswer(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered = now
}

func (p *recordedPath) RecordOverdue(sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unmet = sent
}

func (p *recordedPath) cut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answered.Before(p.unmet)
}

// Guards against an instance that takes callers while its data centre is cut off.
func TestSilenceOfOtherDataCentresIsRecorded(t *testing.T) {
	runWide(t, func(w wide) {
		var far cwholder.Instance
		for _, h := range w.holders {
			if h.DataCentre != w.Self.DataCentre {
				far = h
				break
			}
		}
		var tried []string
		for _, h := range w.holders {
			if h != far {
				tried = append(tried, h.ID)
			}
		}
		h, _ := w.holder(tried...)
		w.Assert(h.Name(), qt.Equals, far.ID)
		_, err := hand(h, "s")
		w.Assert(err, qt.IsNil)
		w.Assert(w.path.cut(), qt.IsFalse)
		w.net.set(func() { w.net.silent[far.ID] = true })
		began := time.Now()
		_, err = hand(h, "s")
		w.Assert(err, qt.ErrorAs, new(*cwport.LostError))
		w.Assert(w.path.cut(), qt.IsTrue)
		w.Assert(time.Since(began) <= 2*silentAfter, qt.IsTrue)
	})
}

// Guards against an instance that is connected to all others in time.
func TestConnectionOnDemandIsClosedWhenItServesNothing(t *testing.T) {
	runWide(t, func(w wide) {
		connected := func() bool {
			w.mu.Lock()
			l := w.links[w.holders[0].ID]
			w.mu.Unlock()
			return l.state(time.Now()).Ready
		}
		h, _ := w.holder()
		for range 3 {
			_, err := hand(h, "s")
			w.Assert(err, qt.IsNil)
			time.Sleep(idleAfter / 2)
			w.Assert(connected(), qt.IsTrue)
		}
		time.Sleep(idleAfter)
		w.Assert(connected(), qt.IsFalse)
		w.holder()
		w.Assert(w.net.dialled(), qt.HasLen, 2)
	})
}

// Guards against rows without news that have every group placed anew.
func TestRowsWithoutNewsAreNotTold(t *testing.T) {
	c := qt.New(t)
	told := 0
	p := &Peers{Self: instance("a", "z"), Clock: clockwork.NewFakeClock(), Log: log.New(io.Discard), Changed: func() { told++ }}
	rows := []cwport.Row{row(instance("a", "z")), row(instance("b", "z"))}
	p.Rows(rows, true)
	c.Assert(told, qt.Equals, 1)
	p.Rows(rows[1:], false)
	p.Rows(rows, true)
	p.tell()
	c.Assert(told, qt.Equals, 1)
	p.Rows([]cwport.Row{row(instance("b", "y"))}, false)
	p.tell()
	c.Assert(told, qt.Equals, 2)
}

// Guards against a start of all that has each instance log a line for each other one.
func TestInstancesThatAreToldTogetherAreOneLine(t *testing.T) {
	for _, n := range []int{1, logEach, logEach + 1, 1000} {
		var lines bytes.Buffer
		p := &Peers{Self: instance("a", "z"), Clock: clockwork.NewFakeClock(), Log: log.New(&lines)}
		var rows []cwport.Row
		for i := range n {
			rows = append(rows, row(instance(fmt.Sprint("i", i), "z")))
		}
		p.Rows(rows, true)
		qt.Assert(t, bytes.Count(lines.Bytes(), []byte("\n")) <= logEach, qt.IsTrue, qt.Commentf("%d instances", n))
	}
}
