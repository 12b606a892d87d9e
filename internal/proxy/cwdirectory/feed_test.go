package cwdirectory

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

const fleetSize = 32

// Every instance asked the store for every topic, and all were woken by every
// change: with 195 instances a quiet minute cost 7,000 calls, the largest price
// that the deployment paid.
func TestFewAskTheStore(t *testing.T) {
	run(t, fleetSize, func(c *qt.C, fl *fleet) {
		c.Assert(fl.roots(), qt.HasLen, cwfeed.DefaultRoots)
		before := fl.store.count()
		took := fl.change(c)
		c.Assert(took < 500*time.Millisecond, qt.IsTrue, qt.Commentf("in force after %v", took))
		time.Sleep(time.Minute)
		calls := fl.store.count() - before
		// Each root asks for three topics, every 1.9, 3.6 and 9 s.
		c.Assert(calls <= 120, qt.IsTrue, qt.Commentf("%d calls in a minute", calls))
	})
}

// All instances start at once. Each was two seconds without a feeder, since the
// first question was held like any other while nothing changed.
func TestFeederIsKnownAtOnce(t *testing.T) {
	run(t, fleetSize, func(c *qt.C, fl *fleet) {
		restarted := fl.names[0]
		for _, name := range fl.names {
			if _, root := (member{fl, name}).Feeder(); !root {
				restarted = name
			}
		}
		for range 5 {
			d := &Directory{
				Stale: fleetStale, Source: askedBy{fl.store, restarted}, Decoder: decoder{},
				Sink:    &sink{present: map[cwgroup.MemberID]bool{}},
				Feeders: placedLater{member{fl, restarted}, time.Now().Add(50 * time.Millisecond)},
			}
			runAlone(t, d, func(*qt.C) {
				time.Sleep(300 * time.Millisecond)
				c.Check(d.newsSource(), qt.Equals, fromFeeder)
			})
		}
	})
}

// placedLater is an instance that has no place in the tree before it has read the
// list of instances.
type placedLater struct {
	member
	from time.Time
}

func (p placedLater) Feeder() (cwport.Feeder, bool) {
	if time.Now().Before(p.from) {
		return nil, false
	}
	return p.member.Feeder()
}

// An operator's change is acknowledged while an instance that tells others
// stands still, or does not reach the store. Those that it tells are well, and
// owe their callers the new state in time.
func TestDesiredStateIsInForceInTime(t *testing.T) {
	for _, tc := range []struct {
		name    string
		harm    func(fl *fleet, roots []string)
		without int
	}{
		{"a root freezes", func(fl *fleet, roots []string) { fl.freeze(roots[0]) }, 1},
		{"all roots freeze", func(fl *fleet, roots []string) {
			for _, r := range roots {
				fl.freeze(r)
			}
		}, 2},
		{"the store does not answer the roots", func(fl *fleet, roots []string) {
			fl.store.setAway(func(name string) bool { return slices.Contains(roots, name) })
		}, 2},
		{"the store answers nobody for a while", func(fl *fleet, _ []string) {
			fl.store.setAway(func(string) bool { return true })
			time.Sleep(20 * time.Second)
			fl.store.setAway(func(string) bool { return false })
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, fleetSize, func(c *qt.C, fl *fleet) {
				roots := fl.roots()
				tc.harm(fl, roots)
				took := fl.change(c, roots[:tc.without]...)
				c.Assert(took < configBound, qt.IsTrue, qt.Commentf("in force after %v", took))
			})
		})
	}
}

// The store is away. Every instance asked it twice a second, 390 calls a second
// of 195 instances, all of them refused and counted.
func TestStoreThatIsAwayIsAskedByFew(t *testing.T) {
	run(t, fleetSize, func(c *qt.C, fl *fleet) {
		fl.store.setAway(func(string) bool { return true })
		time.Sleep(20 * time.Second)
		before := fl.store.count()
		time.Sleep(20 * time.Second)
		perSecond := float64(fl.store.count()-before) / 20
		c.Assert(perSecond <= 18, qt.IsTrue, qt.Commentf("%.1f calls a second", perSecond))
	})
}

// The store is back for a moment, shows that entries lapsed, and goes away
// again; an instance that hears of it from another one only must not take living
// targets as gone, and must do so once the store says so.
func TestFollowerKeepsTargetsWhileTheStoreIsAway(t *testing.T) {
	run(t, fleetSize, func(c *qt.C, fl *fleet) {
		fl.store.put(cwport.Targets, "a", false)
		time.Sleep(5 * time.Second)
		fl.store.put(cwport.Targets, "a", true)
		time.Sleep(1200 * time.Millisecond)
		fl.store.setAway(func(string) bool { return true })
		time.Sleep(time.Minute)
		for _, name := range fl.names {
			c.Assert(fl.sinks[name].has("a"), qt.IsTrue, qt.Commentf("%s", name))
		}
		fl.store.setAway(func(string) bool { return false })
		time.Sleep(time.Minute)
		for _, name := range fl.names {
			c.Assert(fl.sinks[name].has("a"), qt.IsFalse, qt.Commentf("%s", name))
		}
	})
}
