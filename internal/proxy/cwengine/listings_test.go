package cwengine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Guards against a target that counts as leaving only since the instance started, or since its entry was
// written again.
func TestDrainingCountsFromTheFirstNews(t *testing.T) {
	env := newTestEnv(t, cwcatalogue.ReadLatest)
	env.listed = nil
	e := env.engine("x")
	e.listingsLoaded.Store(false)
	listing := func(id cwgroup.MemberID, draining bool) cwport.ListedTarget {
		return cwport.ListedTarget{ID: id, Service: testService, Address: string(id), Draining: draining}
	}
	since := func(id cwgroup.MemberID) time.Time {
		e.mu.RLock()
		defer e.mu.RUnlock()
		return e.listings.byID[id].DrainingSince
	}
	e.SetTargets([]cwport.ListedTarget{listing("a", true), listing("b", false)})
	qt.Assert(t, since("a").IsZero(), qt.IsTrue)
	before := env.clock.Now()
	e.UpdateTargets([]cwport.ListedTarget{listing("a", true), listing("b", true)}, nil)
	qt.Assert(t, since("a").IsZero(), qt.IsTrue)
	learnt := since("b")
	qt.Assert(t, learnt.Before(before), qt.IsFalse)
	env.clock.Sleep(time.Second)
	e.SetTargets([]cwport.ListedTarget{listing("a", true), listing("b", true)})
	qt.Assert(t, since("b"), qt.Equals, learnt)
}
