package cwdirectory

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// A target leaves. One answer says so; another one, older and held up on its
// way, says that it is there, and is taken last: work goes to it again.
func TestOlderAnswerChangesNothing(t *testing.T) {
	c := qt.New(t)
	out := &sink{present: map[cwgroup.MemberID]bool{}}
	d := &Directory{Sink: out, Decoder: decoder{}, Clock: clockwork.NewRealClock(), Log: log.New(io.Discard)}
	d.prepare()
	row := func(v cwfeed.Version, removed bool) []cwport.Row {
		return []cwport.Row{{Key: "a", Version: v, Removed: removed}}
	}
	now := time.Now()
	d.take(cwport.Targets, decoder{}.Decode(cwport.Targets, 5, row(4, false)), true, now)
	d.take(cwport.Targets, decoder{}.Decode(cwport.Targets, 9, row(8, true)), false, now)
	d.take(cwport.Targets, decoder{}.Decode(cwport.Targets, 7, row(6, false)), false, now)
	d.mu.Lock()
	c.Assert(d.vanished["a"].IsZero(), qt.IsFalse, qt.Commentf("the entry is gone, and nothing newer says that it is back"))
	d.mu.Unlock()
	older := append(row(6, false), cwport.Row{Key: "b", Version: 5})
	d.take(cwport.Targets, decoder{}.Decode(cwport.Targets, 8, older), true, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	c.Assert(d.vanished["a"].IsZero(), qt.IsFalse)
	rows, _ := d.topics[cwport.Targets].history.Since(0)
	c.Assert(rows, qt.HasLen, 0, qt.Commentf("b was gone by version 9, and is told to nobody"))
}

// The store answers about the list of targets and not about the product's own
// rows, where the members of groups are remembered. Callers are served all the
// same.
func TestListCountsWithoutTheOwnRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTable()
		store.put(cwport.Targets, "a", false)
		out := &sink{present: map[cwgroup.MemberID]bool{}}
		d := &Directory{Source: withoutOwn{askedBy{store, "front-1"}}, Sink: out, Remembered: func() []cwport.Listing { return nil }}
		runAlone(t, d, func(c *qt.C) {
			time.Sleep(3 * time.Second)
			c.Assert(out.has("a"), qt.IsTrue)
		})
	})
}

// withoutOwn is a store that does not answer about the product's own rows.
type withoutOwn struct{ askedBy }

func (s withoutOwn) Snapshot(ctx context.Context, t cwport.Topic) (cwport.Batch, error) {
	if t == cwport.Own {
		return cwport.Batch{}, errAway
	}
	return s.askedBy.Snapshot(ctx, t)
}

// A replacement starts while the store is away. When the store returns, one of a
// group's three members has its entry back, the others a second and a half later.
// The instance took the one for the whole group; a supervisor read a booking's
// state from before it was made.
func TestFirstListAfterAnOutageIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTable()
		store.setAway(func(string) bool { return true })
		out := &sink{present: map[cwgroup.MemberID]bool{}}
		runAlone(t, &Directory{Source: askedBy{store, "front-1"}, Sink: out}, func(c *qt.C) {
			time.Sleep(5 * time.Second)
			store.put(cwport.Targets, "a", false)
			store.setAway(func(string) bool { return false })
			back := time.Now()
			time.AfterFunc(1500*time.Millisecond, func() {
				store.put(cwport.Targets, "b", false)
				store.put(cwport.Targets, "c", false)
			})
			for !out.has("a") && !out.has("b") && !out.has("c") {
				time.Sleep(10 * time.Millisecond)
			}
			c.Assert(out.has("a") && out.has("b") && out.has("c"), qt.IsTrue)
			c.Assert(time.Since(back) < 5*time.Second, qt.IsTrue, qt.Commentf("the list is told after %v", time.Since(back)))
		})
	})
}

// All instances are killed within a second or two of the store's return, which
// none of them sees when it starts again. The entries of two of a group's members
// are not back yet. The third, which had led until it was replaced behind a cut,
// was taken for the whole group and led on.
func TestMembersAreRememberedAcrossAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTable()
		store.put(cwport.Targets, "a", false)
		store.put(cwport.Own, "members/s", false)
		out := &sink{present: map[cwgroup.MemberID]bool{}}
		ownRead := false
		d := &Directory{
			GoneAfter: 8 * time.Second, Source: askedBy{store, "front-1"},
			Sink: rowsSink{out, func() { ownRead = true }},
			Remembered: func() []cwport.Listing {
				qt.Check(t, ownRead, qt.IsTrue, qt.Commentf("asked before the rows are known"))
				return []cwport.Listing{{ID: "a"}, {ID: "b"}, {ID: "c"}}
			},
		}
		runAlone(t, d, func(c *qt.C) {
			time.Sleep(100 * time.Millisecond)
			c.Assert(out.has("a") && out.has("b") && out.has("c"), qt.IsTrue)
			time.Sleep(1400 * time.Millisecond)
			store.put(cwport.Targets, "b", false)
			time.Sleep(7 * time.Second)
			c.Assert(out.has("b"), qt.IsTrue)
			c.Assert(out.has("c"), qt.IsFalse, qt.Commentf("its entry did not come back"))
		})
	})
}

// rowsSink is a sink that is told of rows.
type rowsSink struct {
	*sink
	rows func()
}

func (s rowsSink) Rows([]cwport.Row, bool) { s.rows() }

// starter starts an instance of a fleet, whose store does not answer it about the list of
// targets, and returns what it is told.
func starter(fl *fleet) (*Directory, *sink) {
	started := fl.names[0]
	for _, name := range fl.names {
		if _, root := (member{fl, name}).Feeder(); !root {
			started = name
		}
	}
	out := &sink{present: map[cwgroup.MemberID]bool{}}
	return &Directory{
		Stale: fleetStale, Source: withoutTargets{askedBy{fl.store, started}}, Decoder: decoder{}, Sink: out,
		Feeders: member{fl, started},
	}, out
}

// Guards against a first list that lacks a member which its feeder counts.
func TestFirstListOfAFeederIsWhole(t *testing.T) {
	t.Run("nothing is missing", func(t *testing.T) {
		run(t, fleetSize, func(c *qt.C, fl *fleet) {
			fl.store.put(cwport.Targets, "a", false)
			time.Sleep(5 * time.Second)
			d, out := starter(fl)
			runAlone(t, d, func(c *qt.C) {
				time.Sleep(time.Second)
				c.Assert(d.newsSource(), qt.Equals, fromFeeder)
				c.Assert(out.has("a"), qt.IsTrue)
			})
		})
	})
	t.Run("an entry is missing that counts", func(t *testing.T) {
		run(t, fleetSize, func(c *qt.C, fl *fleet) {
			for _, name := range fl.names {
				d := fl.dirs[name]
				d.mu.Lock()
				d.GoneAfter = 20 * time.Second
				d.mu.Unlock()
			}
			fl.store.put(cwport.Targets, "a", false)
			fl.store.put(cwport.Targets, "b", false)
			time.Sleep(5 * time.Second)
			fl.store.put(cwport.Targets, "b", true)
			time.Sleep(5 * time.Second)
			d, out := starter(fl)
			answers := &metrics.Counter{}
			d.Counts.FeederAnswers = answers
			runAlone(t, d, func(c *qt.C) {
				time.Sleep(10 * time.Second)
				c.Assert(d.newsSource(), qt.Equals, fromFeeder)
				c.Assert(out.has("a"), qt.IsFalse)
				c.Assert(answers.Get() < 30, qt.IsTrue, qt.Commentf("%d answers", answers.Get()))
				time.Sleep(15 * time.Second)
				c.Assert(out.has("a"), qt.IsTrue, qt.Commentf("the entry stays away, and counts nowhere any more"))
			})
		})
	})
	t.Run("the store does not answer the feeders either", func(t *testing.T) {
		run(t, fleetSize, func(c *qt.C, fl *fleet) {
			fl.store.put(cwport.Targets, "a", false)
			time.Sleep(5 * time.Second)
			fl.store.setAway(func(string) bool { return true })
			time.Sleep(15 * time.Second)
			d, out := starter(fl)
			runAlone(t, d, func(c *qt.C) {
				time.Sleep(10 * time.Second)
				c.Assert(out.has("a"), qt.IsFalse)
			})
		})
	})
}

// Guards against a start of all that reads everything from the store for each instance.
func TestStartOfAllReadsTheStoreForItsRoots(t *testing.T) {
	for _, n := range []int{fleetSize, 3 * fleetSize} {
		run(t, n, func(c *qt.C, fl *fleet) {
			roots := len(fl.roots())
			c.Assert(fl.store.snapshots, qt.Equals, roots*cwport.TopicCount, qt.Commentf("%d instances, %d roots", n, roots))
		})
	}
}

// withoutTargets is a store that does not answer about the list of targets.
type withoutTargets struct{ askedBy }

func (s withoutTargets) Snapshot(ctx context.Context, t cwport.Topic) (cwport.Batch, error) {
	if t == cwport.Targets {
		return cwport.Batch{}, errAway
	}
	return s.askedBy.Snapshot(ctx, t)
}

// Guards against a first list from a feeder whose entries have yet to come back.
func TestSettled(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		name   string
		change func(d *Directory)
		want   bool
	}{
		{"nothing is missing", func(*Directory) {}, true},
		{"the store is away", func(d *Directory) { d.away = true }, false},
		{"an entry is missing", func(d *Directory) { d.vanished["a"] = now.Add(-time.Second) }, false},
		{"the store was away a moment ago", func(d *Directory) { d.backAt = now.Add(-MinGoneAfter / 2) }, false},
		{"entries have had the time to come back", func(d *Directory) { d.backAt = now.Add(-MinGoneAfter) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := &Directory{Clock: clockwork.NewRealClock()}
			d.prepare()
			tc.change(d)
			qt.Assert(t, d.settled(now), qt.Equals, tc.want)
		})
	}
}

// Guards against first rows of a feeder that are old, or come before those they need.
func TestTakesFirst(t *testing.T) {
	whole := func() cwport.News {
		var n cwport.News
		for i := range n.Topics {
			n.Topics[i].Whole = true
		}
		return n
	}
	for _, tc := range []struct {
		name   string
		change func(d *Directory, n *cwport.News, a *cwfeed.FeederAnswer)
		want   bool
	}{
		{"all is well", func(*Directory, *cwport.News, *cwfeed.FeederAnswer) {}, true},
		{"the feeder counts more", func(_ *Directory, n *cwport.News, _ *cwfeed.FeederAnswer) { n.TargetsUnsettled = true }, false},
		{"who belongs to the groups is not known", func(d *Directory, _ *cwport.News, _ *cwfeed.FeederAnswer) { d.topics[cwport.Own].read = false }, false},
		{"changes alone", func(_ *Directory, n *cwport.News, _ *cwfeed.FeederAnswer) { n.Topics[cwport.Targets].Whole = false }, false},
		{"an old word", func(_ *Directory, _ *cwport.News, a *cwfeed.FeederAnswer) { a.Age = fleetStale.Targets }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := &Directory{Clock: clockwork.NewRealClock(), Stale: fleetStale}
			d.prepare()
			d.topics[cwport.Own].read = true
			n, a := whole(), cwfeed.FeederAnswer{Sent: time.Now()}
			tc.change(d, &n, &a)
			qt.Assert(t, d.takesFirst(cwport.Targets, n, a), qt.Equals, tc.want)
		})
	}
}
