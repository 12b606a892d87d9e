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

// Guards against work for a target that has left: an older answer, delayed on its way,
// lists the target and arrives after the one that reports its removal.
func TestOlderAnswerChangesNothing(t *testing.T) {
	c := qt.New(t)
	out := &fakeSink{present: map[cwgroup.MemberID]bool{}}
	d := &Directory{Sink: out, Decoder: decoder{}, Clock: clockwork.NewRealClock(), Log: log.New(io.Discard)}
	d.initState()
	row := func(v cwfeed.Version, removed bool) []cwport.Row {
		return []cwport.Row{{Key: "a", Version: v, Removed: removed}}
	}
	now := time.Now()
	d.applyBatch(cwport.TopicTargets, decoder{}.Decode(cwport.TopicTargets, 5, row(4, false)), true, now)
	d.applyBatch(cwport.TopicTargets, decoder{}.Decode(cwport.TopicTargets, 9, row(8, true)), false, now)
	d.applyBatch(cwport.TopicTargets, decoder{}.Decode(cwport.TopicTargets, 7, row(6, false)), false, now)
	d.mu.Lock()
	c.Assert(d.missingSince["a"].IsZero(), qt.IsFalse, qt.Commentf("the entry is missing, and no newer answer has it"))
	d.mu.Unlock()
	older := append(row(6, false), cwport.Row{Key: "b", Version: 5})
	d.applyBatch(cwport.TopicTargets, decoder{}.Decode(cwport.TopicTargets, 8, older), true, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	c.Assert(d.missingSince["a"].IsZero(), qt.IsFalse)
	rows, _ := d.topics[cwport.TopicTargets].changeLog.ChangesSince(0)
	c.Assert(rows, qt.HasLen, 0, qt.Commentf("b was removed by version 9, and is not passed on"))
}

// Guards against callers that are not served because the store answers requests for the
// list of targets and not for own rows, which store the members of groups.
func TestTargetsAppliedWithoutOwnRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(cwport.TopicTargets, "a", false)
		out := &fakeSink{present: map[cwgroup.MemberID]bool{}}
		d := &Directory{Source: failingOwnRows{storeClient{store, "front-1"}}, Sink: out, RememberedTargets: func() []cwport.ListedTarget { return nil }}
		runOne(t, d, func(c *qt.C) {
			time.Sleep(3 * time.Second)
			c.Assert(out.has("a"), qt.IsTrue)
		})
	})
}

// failingOwnRows is a store that does not answer requests for own rows.
type failingOwnRows struct{ storeClient }

func (s failingOwnRows) Snapshot(ctx context.Context, t cwport.Topic) (cwport.Batch, error) {
	if t == cwport.TopicOwn {
		return cwport.Batch{}, errUnavailable
	}
	return s.storeClient.Snapshot(ctx, t)
}

// Guards against a stale read from an instance that starts while the store is unavailable.
// When the store returned, one of a group's three members had its entry back, the others
// only 1.5 s later. The instance took the one for the whole group, and a caller read the
// state of a booking from before it was made.
func TestFirstListAfterOutageIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.setUnavailable(func(string) bool { return true })
		out := &fakeSink{present: map[cwgroup.MemberID]bool{}}
		runOne(t, &Directory{Source: storeClient{store, "front-1"}, Sink: out}, func(c *qt.C) {
			time.Sleep(5 * time.Second)
			store.put(cwport.TopicTargets, "a", false)
			store.setUnavailable(func(string) bool { return false })
			returned := time.Now()
			time.AfterFunc(1500*time.Millisecond, func() {
				store.put(cwport.TopicTargets, "b", false)
				store.put(cwport.TopicTargets, "c", false)
			})
			for !out.has("a") && !out.has("b") && !out.has("c") {
				time.Sleep(10 * time.Millisecond)
			}
			c.Assert(out.has("a") && out.has("b") && out.has("c"), qt.IsTrue)
			c.Assert(time.Since(returned) < 5*time.Second, qt.IsTrue, qt.Commentf("the list is passed on after %v", time.Since(returned)))
		})
	})
}

// Guards against a replaced primary that leads again. All instances were killed within a
// second or two of the store's return, so none of them knew of the outage when it started
// again. The entries of two of a group's members were not back yet. The third, a former
// primary that was replaced during a partition, was taken for the whole group.
func TestMembersAreRememberedAcrossRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(cwport.TopicTargets, "a", false)
		store.put(cwport.TopicOwn, "members/s", false)
		out := &fakeSink{present: map[cwgroup.MemberID]bool{}}
		ownRead := false
		d := &Directory{
			RemovalDelay: 8 * time.Second, Source: storeClient{store, "front-1"},
			Sink: rowsSink{out, func() { ownRead = true }},
			RememberedTargets: func() []cwport.ListedTarget {
				qt.Check(t, ownRead, qt.IsTrue, qt.Commentf("called before the own rows are known"))
				return []cwport.ListedTarget{{ID: "a"}, {ID: "b"}, {ID: "c"}}
			},
		}
		runOne(t, d, func(c *qt.C) {
			time.Sleep(100 * time.Millisecond)
			c.Assert(out.has("a") && out.has("b") && out.has("c"), qt.IsTrue)
			time.Sleep(1400 * time.Millisecond)
			store.put(cwport.TopicTargets, "b", false)
			time.Sleep(7 * time.Second)
			c.Assert(out.has("b"), qt.IsTrue)
			c.Assert(out.has("c"), qt.IsFalse, qt.Commentf("its entry did not come back"))
		})
	})
}

// rowsSink calls a function when it receives own rows.
type rowsSink struct {
	*fakeSink
	rows func()
}

func (s rowsSink) ApplyRows([]cwport.Row, bool) { s.rows() }

// startInFleet returns a new Directory for a follower of a fleet and its sink. The store
// does not answer its requests for the list of targets. The caller runs it.
func startInFleet(fl *fleet) (*Directory, *fakeSink) {
	started := fl.names[0]
	for _, name := range fl.names {
		if _, root := (fleetInstance{fl, name}).Feeder(); !root {
			started = name
		}
	}
	out := &fakeSink{present: map[cwgroup.MemberID]bool{}}
	return &Directory{
		StaleAfter: fleetStale, Source: failingTargets{storeClient{fl.store, started}}, Decoder: decoder{}, Sink: out,
		Feeders: fleetInstance{fl, started},
	}, out
}

// Guards against a first list from a feeder that lacks a member which the feeder uses.
func TestFirstListFromFeederIsComplete(t *testing.T) {
	t.Run("nothing is missing", func(t *testing.T) {
		runFleet(t, fleetSize, func(c *qt.C, fl *fleet) {
			fl.store.put(cwport.TopicTargets, "a", false)
			time.Sleep(5 * time.Second)
			d, out := startInFleet(fl)
			runOne(t, d, func(c *qt.C) {
				time.Sleep(time.Second)
				c.Assert(d.changeSource(), qt.Equals, fromFeeder)
				c.Assert(out.has("a"), qt.IsTrue)
			})
		})
	})
	t.Run("the feeder uses a target whose entry is missing", func(t *testing.T) {
		runFleet(t, fleetSize, func(c *qt.C, fl *fleet) {
			for _, name := range fl.names {
				d := fl.dirs[name]
				d.mu.Lock()
				d.RemovalDelay = 20 * time.Second
				d.mu.Unlock()
			}
			fl.store.put(cwport.TopicTargets, "a", false)
			fl.store.put(cwport.TopicTargets, "b", false)
			time.Sleep(5 * time.Second)
			fl.store.put(cwport.TopicTargets, "b", true)
			time.Sleep(5 * time.Second)
			d, out := startInFleet(fl)
			answers := &metrics.Counter{}
			d.Counts.FeederAnswers = answers
			runOne(t, d, func(c *qt.C) {
				time.Sleep(10 * time.Second)
				c.Assert(d.changeSource(), qt.Equals, fromFeeder)
				c.Assert(out.has("a"), qt.IsFalse)
				c.Assert(answers.Get() < 30, qt.IsTrue, qt.Commentf("%d answers", answers.Get()))
				time.Sleep(15 * time.Second)
				c.Assert(out.has("a"), qt.IsTrue, qt.Commentf("the feeder has removed the target whose entry did not come back"))
			})
		})
	})
	t.Run("the store does not answer the feeders either", func(t *testing.T) {
		runFleet(t, fleetSize, func(c *qt.C, fl *fleet) {
			fl.store.put(cwport.TopicTargets, "a", false)
			time.Sleep(5 * time.Second)
			fl.store.setUnavailable(func(string) bool { return true })
			time.Sleep(15 * time.Second)
			d, out := startInFleet(fl)
			runOne(t, d, func(c *qt.C) {
				time.Sleep(10 * time.Second)
				c.Assert(out.has("a"), qt.IsFalse)
			})
		})
	})
}

// Guards against a simultaneous start in which every instance reads all rows from the
// store.
func TestOnlyRootsReadSnapshotsAtStartup(t *testing.T) {
	for _, n := range []int{fleetSize, 3 * fleetSize} {
		runFleet(t, n, func(c *qt.C, fl *fleet) {
			roots := len(fl.roots())
			c.Assert(fl.store.snapshots, qt.Equals, roots*cwport.TopicCount, qt.Commentf("%d instances, %d roots", n, roots))
		})
	}
}

// failingTargets is a store that does not answer requests for the list of targets.
type failingTargets struct{ storeClient }

func (s failingTargets) Snapshot(ctx context.Context, t cwport.Topic) (cwport.Batch, error) {
	if t == cwport.TopicTargets {
		return cwport.Batch{}, errUnavailable
	}
	return s.storeClient.Snapshot(ctx, t)
}

// Guards against a first list from a feeder while entries that lapsed are not yet written
// again.
func TestListComplete(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		name   string
		change func(d *Directory)
		want   bool
	}{
		{"nothing is missing", func(*Directory) {}, true},
		{"the store is unavailable", func(d *Directory) { d.unavailable = true }, false},
		{"an entry is missing", func(d *Directory) { d.missingSince["a"] = now.Add(-time.Second) }, false},
		{"the store was unavailable a moment ago", func(d *Directory) { d.availableSince = now.Add(-MinRemovalDelay / 2) }, false},
		{"entries have had the time to come back", func(d *Directory) { d.availableSince = now.Add(-MinRemovalDelay) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := &Directory{Clock: clockwork.NewRealClock()}
			d.initState()
			tc.change(d)
			qt.Assert(t, d.listComplete(now), qt.Equals, tc.want)
		})
	}
}

// Guards against accepting the first rows from a feeder when they are stale, or before the
// rows on which they depend.
func TestAcceptsFirst(t *testing.T) {
	whole := func() cwport.ChangesResponse {
		var n cwport.ChangesResponse
		for i := range n.Topics {
			n.Topics[i].Complete = true
		}
		return n
	}
	for _, tc := range []struct {
		name   string
		change func(d *Directory, n *cwport.ChangesResponse, a *cwfeed.FeederResponse)
		want   bool
	}{
		{"a recent and complete answer", func(*Directory, *cwport.ChangesResponse, *cwfeed.FeederResponse) {}, true},
		{"the feeder uses targets without entries", func(_ *Directory, n *cwport.ChangesResponse, _ *cwfeed.FeederResponse) { n.TargetsIncomplete = true }, false},
		{"own rows with the members of groups are not loaded", func(d *Directory, _ *cwport.ChangesResponse, _ *cwfeed.FeederResponse) {
			d.topics[cwport.TopicOwn].loaded = false
		}, false},
		{"changes alone", func(_ *Directory, n *cwport.ChangesResponse, _ *cwfeed.FeederResponse) {
			n.Topics[cwport.TopicTargets].Complete = false
		}, false},
		{"a stale answer", func(_ *Directory, _ *cwport.ChangesResponse, a *cwfeed.FeederResponse) { a.Age = fleetStale.Targets }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := &Directory{Clock: clockwork.NewRealClock(), StaleAfter: fleetStale}
			d.initState()
			d.topics[cwport.TopicOwn].loaded = true
			n, a := whole(), cwfeed.FeederResponse{Sent: time.Now()}
			tc.change(d, &n, &a)
			qt.Assert(t, d.acceptsFirst(cwport.TopicTargets, n, a), qt.Equals, tc.want)
		})
	}
}
