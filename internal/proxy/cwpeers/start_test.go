package cwpeers

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// rowTable is a table that lists its rows and counts the reads.
type rowTable struct {
	*fakeNetwork
	reads int
	// unavailable is true while List returns an error.
	unavailable bool
}

func (t *rowTable) List(_ context.Context, prefix string) ([]cwplatform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.unavailable {
		return nil, &cwplatform.UnavailableError{Cause: errNoAnswer}
	}
	var out []cwplatform.Row
	for key, value := range t.rows {
		if strings.HasPrefix(key, prefix) {
			out = append(out, cwplatform.Row{Key: key, Value: value, ETag: "5"})
		}
	}
	return out, nil
}

// startInstance runs the Peers of an instance against a table until the test ends.
func startInstance(t *testing.T, table *rowTable, self cwholder.Instance, first bool) *Peers {
	p := &Peers{Self: self, Table: table, Dial: table.dial, Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), FirstStart: first}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-done, qt.IsNil)
	})
	return p
}

func newRowTable() *rowTable {
	return &rowTable{fakeNetwork: &fakeNetwork{unresponsive: map[string]bool{}, rows: map[string][]byte{}, refused: map[string]bool{}}}
}

func (t *rowTable) put(i cwholder.Instance) { t.rows[InstanceKey(i)] = row(i).Value }

// connectedFeeder has the feeder connected and then returns the result of Feeder.
func connectedFeeder(p *Peers) (cwport.Feeder, bool) {
	p.Feeder()
	time.Sleep(10 * time.Millisecond)
	return p.Feeder()
}

// Guards against instances that read the rows of all data centres from the store when
// they start.
func TestStartupReadsOnlyOwnDataCentre(t *testing.T) {
	t.Run("restart", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			table := newRowTable()
			for i := range 40 {
				table.put(instance(fmt.Sprint("i", i), "z"))
				table.put(instance(fmt.Sprint("i", i), "y"))
			}
			followers := 0
			for i := range 40 {
				p := startInstance(t, table, instance(fmt.Sprint("i", i), "z"), false)
				time.Sleep(100 * time.Millisecond)
				f, root := connectedFeeder(p)
				if f != nil {
					followers++
				}
				qt.Assert(t, f != nil || root, qt.IsTrue)
			}
			qt.Assert(t, followers, qt.Equals, 38)
			qt.Assert(t, table.reads, qt.Equals, 40)
			qt.Assert(t, table.writes, qt.Equals, 0)
		})
	})
	t.Run("first start of the deployment", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			table := newRowTable()
			var all []*Peers
			for i := range 40 {
				all = append(all, startInstance(t, table, instance(fmt.Sprint("i", i), "z"), true))
			}
			time.Sleep(2 * firstStartWait)
			followers := 0
			for _, p := range all {
				if f, _ := connectedFeeder(p); f != nil {
					followers++
				}
			}
			qt.Assert(t, followers, qt.Equals, 38)
			qt.Assert(t, table.reads, qt.Equals, 40)
			qt.Assert(t, table.writes, qt.Equals, 40)
		})
	})
	t.Run("new instance", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			table := newRowTable()
			for i := range 40 {
				table.put(instance(fmt.Sprint("i", i), "z"))
			}
			p := startInstance(t, table, instance("new", "z"), false)
			time.Sleep(100 * time.Millisecond)
			f, root := connectedFeeder(p)
			qt.Assert(t, f != nil || root, qt.IsTrue)
			qt.Assert(t, table.reads, qt.Equals, 1)
			qt.Assert(t, table.writes, qt.Equals, 1)
		})
	})
	t.Run("store unavailable", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			table := newRowTable()
			table.unavailable = true
			p := startInstance(t, table, instance("i0", "z"), false)
			time.Sleep(5 * time.Second)
			_, root := p.Feeder()
			qt.Assert(t, root, qt.IsFalse)
			table.withLock(func() { table.unavailable = false })
			time.Sleep(time.Second)
			_, root = p.Feeder()
			qt.Assert(t, root, qt.IsTrue)
		})
	})
}
