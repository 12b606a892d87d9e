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

// fleetSize is enough instances for a tree with roots and followers.
const fleetSize = 32

// Guards against every instance polling the store for every topic: with 195 instances a
// minute without changes took 7,000 calls, the largest cost of the deployment.
func TestOnlyRootsPollStore(t *testing.T) {
	runFleet(t, fleetSize, func(c *qt.C, fl *fleet) {
		c.Assert(fl.roots(), qt.HasLen, cwfeed.DefaultRoots)
		before := fl.store.count()
		delay := fl.changeDesired(c)
		c.Assert(delay < 500*time.Millisecond, qt.IsTrue, qt.Commentf("in force after %v", delay))
		time.Sleep(time.Minute)
		calls := fl.store.count() - before
		// Each root requests three topics, every 1.9, 3.6 and 9 s.
		c.Assert(calls <= 120, qt.IsTrue, qt.Commentf("%d calls in a minute", calls))
	})
}

// Guards against two seconds without a feeder at a start, which occurred because the
// feeder held the first request like any other until something changed.
func TestFeederIsFoundAtStartup(t *testing.T) {
	runFleet(t, fleetSize, func(c *qt.C, fl *fleet) {
		restarted := fl.names[0]
		for _, name := range fl.names {
			if _, root := (fleetInstance{fl, name}).Feeder(); !root {
				restarted = name
			}
		}
		for range 5 {
			d := &Directory{
				StaleAfter: fleetStale, Source: storeClient{fl.store, restarted}, Decoder: decoder{},
				Sink:    &fakeSink{present: map[cwgroup.MemberID]bool{}},
				Feeders: delayedPlacement{fleetInstance{fl, restarted}, time.Now().Add(50 * time.Millisecond)},
			}
			runOne(t, d, func(*qt.C) {
				time.Sleep(300 * time.Millisecond)
				c.Check(d.changeSource(), qt.Equals, fromFeeder)
			})
		}
	})
}

// delayedPlacement is an instance that has no place in the tree before a time, like one
// that has not yet read the list of instances.
type delayedPlacement struct {
	fleetInstance
	from time.Time
}

func (p delayedPlacement) Feeder() (cwport.Feeder, bool) {
	if time.Now().Before(p.from) {
		return nil, false
	}
	return p.fleetInstance.Feeder()
}

// Guards against a desired state that is applied too late by healthy instances because
// their feeder is frozen or cannot reach the store.
func TestDesiredStateIsAppliedInTime(t *testing.T) {
	for _, tc := range []struct {
		name          string
		injectFault   func(fl *fleet, roots []string)
		excludedRoots int
	}{
		{"a root freezes", func(fl *fleet, roots []string) { fl.freeze(roots[0]) }, 1},
		{"all roots freeze", func(fl *fleet, roots []string) {
			for _, r := range roots {
				fl.freeze(r)
			}
		}, 2},
		{"the store does not answer the roots", func(fl *fleet, roots []string) {
			fl.store.setUnavailable(func(name string) bool { return slices.Contains(roots, name) })
		}, 2},
		{"the store answers no instance for a while", func(fl *fleet, _ []string) {
			fl.store.setUnavailable(func(string) bool { return true })
			time.Sleep(20 * time.Second)
			fl.store.setUnavailable(func(string) bool { return false })
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runFleet(t, fleetSize, func(c *qt.C, fl *fleet) {
				roots := fl.roots()
				tc.injectFault(fl, roots)
				took := fl.changeDesired(c, roots[:tc.excludedRoots]...)
				c.Assert(took < maxConfigDelay, qt.IsTrue, qt.Commentf("in force after %v", took))
			})
		})
	}
}

// Guards against every instance polling an unavailable store twice a second: with 195
// instances, 390 calls a second, all of which are rejected and count towards the rate
// limit.
func TestUnavailableStoreIsPolledByFew(t *testing.T) {
	runFleet(t, fleetSize, func(c *qt.C, fl *fleet) {
		fl.store.setUnavailable(func(string) bool { return true })
		time.Sleep(20 * time.Second)
		before := fl.store.count()
		time.Sleep(20 * time.Second)
		perSecond := float64(fl.store.count()-before) / 20
		c.Assert(perSecond <= 18, qt.IsTrue, qt.Commentf("%.1f calls a second", perSecond))
	})
}

// Guards against a follower that removes targets that are alive when the store becomes
// available for a moment, shows that entries lapsed, and becomes unavailable again. It
// must remove them once the store has confirmed that the entries are missing.
func TestFollowerKeepsTargetsWhileStoreUnavailable(t *testing.T) {
	runFleet(t, fleetSize, func(c *qt.C, fl *fleet) {
		fl.store.put(cwport.TopicTargets, "a", false)
		time.Sleep(5 * time.Second)
		fl.store.put(cwport.TopicTargets, "a", true)
		time.Sleep(1200 * time.Millisecond)
		fl.store.setUnavailable(func(string) bool { return true })
		time.Sleep(time.Minute)
		for _, name := range fl.names {
			c.Assert(fl.sinks[name].has("a"), qt.IsTrue, qt.Commentf("%s", name))
		}
		fl.store.setUnavailable(func(string) bool { return false })
		time.Sleep(time.Minute)
		for _, name := range fl.names {
			c.Assert(fl.sinks[name].has("a"), qt.IsFalse, qt.Commentf("%s", name))
		}
	})
}
