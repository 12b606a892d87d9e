package cwmembers

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// fakeTable is the platform's table with one row, which it passes to every Recorder
// when it changes.
type fakeTable struct {
	mu          sync.Mutex
	row         cwport.Row
	writes      int
	unavailable bool
	recorders   []*Recorder
}

func (s *fakeTable) Get(context.Context, string) (cwplatform.Row, error) {
	return cwplatform.Row{}, &cwplatform.NotFoundError{}
}
func (s *fakeTable) List(context.Context, string) ([]cwplatform.Row, error) { return nil, nil }

func (s *fakeTable) Commit(_ context.Context, c cwplatform.Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.unavailable:
		return &cwplatform.UnavailableError{Cause: io.EOF}
	case c.Expect[0].ETag != "" && c.Expect[0].ETag != s.row.ETag(),
		c.Expect[0].ETag == "" && s.row.Version > 0:
		return &cwplatform.ConflictError{Key: c.Expect[0].Key}
	}
	s.writes++
	s.row = cwport.Row{Key: c.Put[0].Key, Value: c.Put[0].Value, Version: s.row.Version + 1}
	for _, r := range s.recorders {
		r.ObserveRows([]cwport.Row{s.row}, false)
	}
	return nil
}

func (s *fakeTable) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// countedMembers is the members that an instance counts.
type countedMembers struct {
	mu      sync.Mutex
	members []cwport.ListedTarget
}

// set sets the members that the instance counts; none stands for a store that reports
// no targets.
func (c *countedMembers) set(ids ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = nil
	for _, id := range ids {
		c.members = append(c.members, cwport.ListedTarget{ID: cwgroup.MemberID(id), Service: "s", Address: "10.0.0.1:1", DataCentre: "z", Slots: 3, Role: cwport.RoleReplica})
	}
}

func (c *countedMembers) get() map[string]CountedMembers {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members == nil {
		return nil
	}
	return map[string]CountedMembers{"s": {Members: c.members, StableSize: len(c.members)}}
}

// runRecorders runs the Recorders of instances that hold the group at the given ranks,
// negative for none, while f runs.
func runRecorders(t *testing.T, f func(c *qt.C, s *fakeTable, all []*countedMembers), ranks ...int) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &fakeTable{}
		var all []*countedMembers
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		for _, rank := range ranks {
			n := &countedMembers{}
			n.set("a", "b", "c")
			r := &Recorder{
				Table: s, Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Counted: n.get,
				HolderRank: func(string) (int, bool) { return rank, rank >= 0 }, GroupCount: func() int { return 1 },
			}
			r.ObserveRows(nil, true)
			s.recorders, all = append(s.recorders, r), append(all, n)
			wg.Go(func() { c.Check(r.Run(ctx), qt.IsNil) })
		}
		f(c, s, all)
	})
}

func rememberedIDs(r *Recorder) (ids []string) {
	for _, l := range sortedByID(r.RecordedMembers()) {
		ids = append(ids, string(l.ID))
	}
	return ids
}

func TestRecorder(t *testing.T) {
	t.Run("counted members are written once and read back unchanged", func(t *testing.T) {
		runRecorders(t, func(c *qt.C, s *fakeTable, all []*countedMembers) {
			time.Sleep(time.Minute)
			c.Assert(s.writes, qt.Equals, 1)
			c.Assert(sortedByID(s.recorders[2].RecordedMembers()), qt.DeepEquals, all[0].get()["s"].Members)
		}, 0, 1, -1)
	})
	t.Run("a member is added and another removed", func(t *testing.T) {
		runRecorders(t, func(c *qt.C, s *fakeTable, all []*countedMembers) {
			time.Sleep(5 * time.Second)
			for _, n := range all {
				n.set("a", "c", "d")
			}
			time.Sleep(3 * time.Second)
			c.Assert(rememberedIDs(s.recorders[1]), qt.DeepEquals, []string{"a", "c", "d"})
			c.Assert(s.writes, qt.Equals, 2)
		}, 0, 1)
	})
	// The first holder is gone for good, but its row in the list of instances remains,
	// so that it keeps its rank.
	t.Run("the first holder is lost", func(t *testing.T) {
		runRecorders(t, func(c *qt.C, s *fakeTable, _ []*countedMembers) {
			time.Sleep(8 * time.Second)
			c.Assert(rememberedIDs(s.recorders[0]), qt.DeepEquals, []string{"a", "b", "c"})
		}, 1, 2)
	})
	t.Run("an instance to which the store reports no targets writes nothing", func(t *testing.T) {
		runRecorders(t, func(c *qt.C, s *fakeTable, all []*countedMembers) {
			time.Sleep(5 * time.Second)
			all[0].set()
			time.Sleep(time.Minute)
			c.Assert(rememberedIDs(s.recorders[0]), qt.DeepEquals, []string{"a", "b", "c"})
		}, 0)
	})
	t.Run("a holder that knows more members does not wait for its rank", func(t *testing.T) {
		runRecorders(t, func(c *qt.C, s *fakeTable, all []*countedMembers) {
			all[0].set("a")
			time.Sleep(1500 * time.Millisecond)
			all[0].set()
			time.Sleep(time.Second)
			c.Assert(rememberedIDs(s.recorders[2]), qt.DeepEquals, []string{"a", "b", "c"})
			c.Assert(s.recorders[2].RecordedSize("s"), qt.Equals, 3)
		}, 0, 1, 2)
	})
	t.Run("a failed write is repeated", func(t *testing.T) {
		runRecorders(t, func(c *qt.C, s *fakeTable, _ []*countedMembers) {
			s.setUnavailable(true)
			time.Sleep(5 * time.Second)
			s.setUnavailable(false)
			time.Sleep(3 * time.Second)
			c.Assert(s.writes, qt.Equals, 1)
		}, 0)
	})
	t.Run("an unreadable row keeps the known members and is rewritten", func(t *testing.T) {
		runRecorders(t, func(c *qt.C, s *fakeTable, _ []*countedMembers) {
			time.Sleep(5 * time.Second)
			s.mu.Lock()
			s.row = cwport.Row{Key: KeyPrefix + "s", Value: []byte("?"), Version: 9}
			s.recorders[0].ObserveRows([]cwport.Row{s.row}, false)
			s.mu.Unlock()
			c.Assert(rememberedIDs(s.recorders[0]), qt.DeepEquals, []string{"a", "b", "c"})
			time.Sleep(3 * time.Second)
			c.Assert(s.writes, qt.Equals, 2)
			c.Assert(rememberedIDs(s.recorders[0]), qt.DeepEquals, []string{"a", "b", "c"})
		}, 0)
	})
}

// Guards against a simultaneous start of all instances whose first rows are written at
// once, refused, and repeated at once.
func TestFirstRowsOfManyGroupsAreSpreadOut(t *testing.T) {
	const groups = 1000
	seconds := make(map[time.Duration]int)
	for g := range groups {
		seconds[firstRowDelay(fmt.Sprintf("ledger%04d", g), groups).Truncate(time.Second)]++
	}
	for at, n := range seconds {
		qt.Assert(t, n < 2*int(time.Second/firstRowSpacing), qt.IsTrue, qt.Commentf("%d rows in the second after %v", n, at))
	}
	qt.Assert(t, firstRowDelay("ledger0000", 3) < 3*firstRowSpacing, qt.IsTrue)
}

// Guards against a deadlock between the Recorder and an engine that calls it from a
// callback.
func TestCallbacksRunWithoutTheLock(t *testing.T) {
	r := &Recorder{Clock: clockwork.NewRealClock(), Log: log.New(io.Discard)}
	ask := func() { r.RecordedSize("s") }
	r.GroupCount = func() int { ask(); return 1000 }
	r.HolderRank = func(string) (int, bool) { ask(); return 0, true }
	r.ObserveRows(nil, true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.writeDue("s", CountedMembers{Members: []cwport.ListedTarget{{ID: "a"}}, StableSize: 1})
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the Recorder deadlocks with its callback")
	}
}

// Guards against every holder of a group writing its first row.
func TestFirstRowIsWrittenByOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for rank, wait := range []time.Duration{0, rankDelay, 2 * rankDelay} {
			r := &Recorder{
				Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), GroupCount: func() int { return 1000 },
				HolderRank: func(string) (int, bool) { return rank, true },
			}
			r.ObserveRows(nil, true)
			c := CountedMembers{Members: []cwport.ListedTarget{{ID: "a"}}, StableSize: 1}
			r.writeDue("s", c)
			time.Sleep(wait + firstRowDelay("s", 1000) - time.Millisecond)
			_, due := r.writeDue("s", c)
			qt.Assert(t, due, qt.IsFalse)
			time.Sleep(time.Millisecond)
			_, due = r.writeDue("s", c)
			qt.Assert(t, due, qt.IsTrue)
		}
	})
}

// Guards against delaying a lost row as if it were the group's first one.
func TestLostRowIsRewrittenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := CountedMembers{Members: []cwport.ListedTarget{{ID: "a"}}, StableSize: 1}
		r := &Recorder{
			Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), GroupCount: func() int { return 100_000 },
			HolderRank: func(string) (int, bool) { return 0, true },
		}
		r.ObserveRows(nil, true)
		_, due := r.writeDue("s", c)
		qt.Assert(t, due, qt.IsFalse, qt.Commentf("the first row is delayed"))
		r.ObserveRows([]cwport.Row{{Key: KeyPrefix + "s", Value: []byte(`[{"id":"a","of":1}]`), Version: 3}}, false)
		_, due = r.writeDue("s", c)
		qt.Assert(t, due, qt.IsFalse, qt.Commentf("the row is present"))
		r.ObserveRows(nil, true)
		_, due = r.writeDue("s", c)
		qt.Assert(t, due, qt.IsTrue)
	})
}
