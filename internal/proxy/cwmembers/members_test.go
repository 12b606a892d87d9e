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

// table is the platform's table, whose rows come to every record.
type table struct {
	mu      sync.Mutex
	row     cwport.Row
	writes  int
	away    bool
	records []*Record
}

func (s *table) Get(context.Context, string) (cwplatform.Row, error) {
	return cwplatform.Row{}, &cwplatform.NotFoundError{}
}
func (s *table) List(context.Context, string) ([]cwplatform.Row, error) { return nil, nil }

func (s *table) Commit(_ context.Context, c cwplatform.Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.away:
		return &cwplatform.UnavailableError{Cause: io.EOF}
	case c.Expect[0].ETag != "" && c.Expect[0].ETag != s.row.Tag(),
		c.Expect[0].ETag == "" && s.row.Version > 0:
		return &cwplatform.ConflictError{Key: c.Expect[0].Key}
	}
	s.writes++
	s.row = cwport.Row{Key: c.Put[0].Key, Value: c.Put[0].Value, Version: s.row.Version + 1}
	for _, r := range s.records {
		r.Rows([]cwport.Row{s.row}, false)
	}
	return nil
}

func (s *table) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// counted is what an instance counts.
type counted struct {
	mu      sync.Mutex
	members []cwport.Listing
}

// set makes an instance count members; without any, the store tells it nothing.
func (c *counted) set(ids ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = nil
	for _, id := range ids {
		c.members = append(c.members, cwport.Listing{ID: cwgroup.MemberID(id), Service: "s", Address: "10.0.0.1:1", DataCentre: "z", Slots: 3, Role: cwport.LeadershipReplica})
	}
}

func (c *counted) get() map[string]Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members == nil {
		return nil
	}
	return map[string]Count{"s": {Members: c.members, Of: len(c.members)}}
}

// run starts the records of instances that hold the group in the places given,
// and lets f play.
func run(t *testing.T, f func(c *qt.C, s *table, all []*counted), places ...int) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &table{}
		var all []*counted
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		for _, place := range places {
			n := &counted{}
			n.set("a", "b", "c")
			r := &Record{
				Table: s, Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Counted: n.get,
				Place: func(string) (int, bool) { return place, place >= 0 }, Groups: func() int { return 1 },
			}
			r.Rows(nil, true)
			s.records, all = append(s.records, r), append(all, n)
			wg.Go(func() { c.Check(r.Run(ctx), qt.IsNil) })
		}
		f(c, s, all)
	})
}

func remembered(r *Record) (ids []string) {
	for _, l := range sorted(r.Remembered()) {
		ids = append(ids, string(l.ID))
	}
	return ids
}

func TestRecord(t *testing.T) {
	t.Run("what is counted is written once and read as it was", func(t *testing.T) {
		run(t, func(c *qt.C, s *table, all []*counted) {
			time.Sleep(time.Minute)
			c.Assert(s.writes, qt.Equals, 1)
			c.Assert(sorted(s.records[2].Remembered()), qt.DeepEquals, all[0].get()["s"].Members)
		}, 0, 1, -1)
	})
	t.Run("a member that comes or goes", func(t *testing.T) {
		run(t, func(c *qt.C, s *table, all []*counted) {
			time.Sleep(5 * time.Second)
			for _, n := range all {
				n.set("a", "c", "d")
			}
			time.Sleep(3 * time.Second)
			c.Assert(remembered(s.records[1]), qt.DeepEquals, []string{"a", "c", "d"})
			c.Assert(s.writes, qt.Equals, 2)
		}, 0, 1)
	})
	// The first holder is gone for good and its row of the list of instances is
	// left, so that it keeps its place.
	t.Run("the first holder is lost", func(t *testing.T) {
		run(t, func(c *qt.C, s *table, _ []*counted) {
			time.Sleep(8 * time.Second)
			c.Assert(remembered(s.records[0]), qt.DeepEquals, []string{"a", "b", "c"})
		}, 1, 2)
	})
	t.Run("an instance that the store tells nothing writes nothing", func(t *testing.T) {
		run(t, func(c *qt.C, s *table, all []*counted) {
			time.Sleep(5 * time.Second)
			all[0].set()
			time.Sleep(time.Minute)
			c.Assert(remembered(s.records[0]), qt.DeepEquals, []string{"a", "b", "c"})
		}, 0)
	})
	t.Run("one that knows of more members does not wait for its turn", func(t *testing.T) {
		run(t, func(c *qt.C, s *table, all []*counted) {
			all[0].set("a")
			time.Sleep(1500 * time.Millisecond)
			all[0].set()
			time.Sleep(time.Second)
			c.Assert(remembered(s.records[2]), qt.DeepEquals, []string{"a", "b", "c"})
			c.Assert(s.records[2].Recorded("s"), qt.Equals, 3)
		}, 0, 1, 2)
	})
	t.Run("a write that fails is made up for", func(t *testing.T) {
		run(t, func(c *qt.C, s *table, _ []*counted) {
			s.setAway(true)
			time.Sleep(5 * time.Second)
			s.setAway(false)
			time.Sleep(3 * time.Second)
			c.Assert(s.writes, qt.Equals, 1)
		}, 0)
	})
	t.Run("a row that cannot be read keeps what was known and is written anew", func(t *testing.T) {
		run(t, func(c *qt.C, s *table, _ []*counted) {
			time.Sleep(5 * time.Second)
			s.mu.Lock()
			s.row = cwport.Row{Key: KeyPrefix + "s", Value: []byte("?"), Version: 9}
			s.records[0].Rows([]cwport.Row{s.row}, false)
			s.mu.Unlock()
			c.Assert(remembered(s.records[0]), qt.DeepEquals, []string{"a", "b", "c"})
			time.Sleep(3 * time.Second)
			c.Assert(s.writes, qt.Equals, 2)
			c.Assert(remembered(s.records[0]), qt.DeepEquals, []string{"a", "b", "c"})
		}, 0)
	})
}

// Guards against a start of all whose first rows come at once, are refused, and come again.
func TestFirstRowsOfManyGroupsComeInTurn(t *testing.T) {
	const groups = 1000
	seconds := make(map[time.Duration]int)
	for g := range groups {
		seconds[turn(fmt.Sprintf("ledger%04d", g), groups).Truncate(time.Second)]++
	}
	for at, n := range seconds {
		qt.Assert(t, n < 2*int(time.Second/spacing), qt.IsTrue, qt.Commentf("%d rows in the second after %v", n, at))
	}
	qt.Assert(t, turn("ledger0000", 3) < 3*spacing, qt.IsTrue)
}

// Guards against a record and an engine that wait for each other for good.
func TestNobodyIsAskedWithTheLockHeld(t *testing.T) {
	r := &Record{Clock: clockwork.NewRealClock(), Log: log.New(io.Discard)}
	ask := func() { r.Recorded("s") }
	r.Groups = func() int { ask(); return 1000 }
	r.Place = func(string) (int, bool) { ask(); return 0, true }
	r.Rows(nil, true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.due("s", Count{Members: []cwport.Listing{{ID: "a"}}, Of: 1})
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the record waits for itself")
	}
}

// Guards against first rows that each holder of a group writes.
func TestFirstRowOfManyGroupsIsWrittenByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for place, wait := range []time.Duration{0, placeDelay, 2 * placeDelay} {
			r := &Record{
				Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Groups: func() int { return 1000 },
				Place: func(string) (int, bool) { return place, true },
			}
			r.Rows(nil, true)
			c := Count{Members: []cwport.Listing{{ID: "a"}}, Of: 1}
			r.due("s", c)
			time.Sleep(wait + turn("s", 1000) - time.Millisecond)
			_, due := r.due("s", c)
			qt.Assert(t, due, qt.IsFalse)
			time.Sleep(time.Millisecond)
			_, due = r.due("s", c)
			qt.Assert(t, due, qt.IsTrue)
		}
	})
}

// Guards against a row that was lost and waits for its turn as if it were the first one.
func TestRowThatWasLostIsWrittenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := Count{Members: []cwport.Listing{{ID: "a"}}, Of: 1}
		r := &Record{
			Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Groups: func() int { return 100_000 },
			Place: func(string) (int, bool) { return 0, true },
		}
		r.Rows(nil, true)
		_, due := r.due("s", c)
		qt.Assert(t, due, qt.IsFalse, qt.Commentf("the first row has its turn"))
		r.Rows([]cwport.Row{{Key: KeyPrefix + "s", Value: []byte(`[{"id":"a","of":1}]`), Version: 3}}, false)
		_, due = r.due("s", c)
		qt.Assert(t, due, qt.IsFalse, qt.Commentf("the row is there"))
		r.Rows(nil, true)
		_, due = r.due("s", c)
		qt.Assert(t, due, qt.IsTrue)
	})
}
