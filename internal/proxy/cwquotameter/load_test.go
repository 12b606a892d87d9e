package cwquotameter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwquota"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// wait is what is left for quota of the aim of the callers' operations.
const wait = 100 * time.Millisecond

// settle lets the usual load run until issuers may use window mode.
func (c *cluster) settle() { c.run(2*window, callers{rate: usualLoad, maxWait: wait}) }

// Guards against refused operations of a workspace that is below the limit of its
// window: at seven times its usual load it gets all of the first window.
func TestBurstGetsWholeWindow(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.settle()
		began := time.Now()
		c.run(6*time.Second, callers{rate: burstLoad, maxWait: wait, retries: 2})
		ratio := float64(c.ranBetween(began, began.Add(window))) / c.limit()
		c.Logf("issued / allowed %.3f; the store got %d reads, %d lists, %d writes", ratio, c.table.gets, c.table.lists, c.table.commits)
		qt.Assert(c, ratio >= 0.97, qt.IsTrue, qt.Commentf("%.3f", ratio))
		c.assertWithinQuota()
		c.assertUseReported(0.97)
		qt.Assert(c, c.table.lists, qt.Equals, clusterSize)
		// An attempt takes up to three requests, and is repeated after half a lease.
		attempts := clusterSize * (1 + int(time.Since(began)/(cwquota.Lease/2)))
		qt.Assert(c, c.table.gets+c.table.commits <= 3*attempts, qt.IsTrue)
	})
}

// assertUseReported fails if the metrics report less use of contended windows.
func (c *cluster) assertUseReported(least float64) {
	for _, m := range c.meters {
		issued, allowed := m.Counts.ContendedIssued.Get(), m.Counts.ContendedAllowed.Get()
		qt.Assert(c, issued <= allowed && float64(issued) >= least*float64(allowed), qt.IsTrue, qt.Commentf("%d of %d", issued, allowed))
	}
}

// Guards against operations of high priority that are refused because those of low
// priority took all tokens, and against tokens that are set aside and never used.
func TestPriorities(t *testing.T) {
	const highLoad = 20
	runCluster(t, func(c *cluster) {
		c.settle()
		began := time.Now()
		out := c.run(12*time.Second,
			callers{rate: highLoad, maxWait: wait}, callers{rate: burstLoad, priority: 2, maxWait: wait, retries: 2})
		high, low := out[0], out[1]
		c.Logf("high %d of %d, low %d of %d", high.served, high.sent, low.served, low.sent)
		qt.Assert(c, float64(high.served) >= 0.99*float64(high.sent), qt.IsTrue)
		for from := began; from.Before(began.Add(6 * time.Second)); from = from.Add(time.Second) {
			ratio := float64(c.ranBetween(from, from.Add(window))) / c.limit()
			qt.Assert(c, ratio >= 0.97, qt.IsTrue, qt.Commentf("%.3f from %v", ratio, from.Sub(began)))
		}
		c.assertWithinQuota()
	})
}

// Guards against requests to the store, and against refused or late operations, while
// the load is below the quota, in particular right after all instances were restarted,
// and while all of it is in one data centre, whose shards are then empty.
func TestUsualLoadIsServedAtOnce(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.settle()
		for range 2 {
			// More than the rate of the shards of one data centre, less than that of all.
			out := c.run(2*window, callers{rate: 0.8 * quotaRate, maxWait: wait, instances: perCentre})
			qt.Assert(c, out[0].served, qt.Equals, out[0].sent)
			qt.Assert(c, c.table.gets+c.table.commits, qt.Equals, 0)
			for i := range c.meters {
				c.start(i)
			}
			time.Sleep(storeTime)
		}
	})
}

// Guards against a request for quota that costs more than its decision.
func TestRequestsAllocateLittle(t *testing.T) {
	m, clock := newMeter(&fakeIssuers{})
	clock.Advance(time.Minute)
	low := cwport.QuotaRequest{Workspace: workspace, Priority: 3, MaxWait: minWait}
	for name, lease := range map[string]time.Duration{"bucket mode": 0, "window mode": time.Hour} {
		t.Run(name, func(t *testing.T) {
			m.IssueQuota(low)
			m.shards[workspace].shard.Lease(clock.Now().Add(lease))
			qt.Assert(t, testing.AllocsPerRun(1000, func() { m.IssueQuota(low) }), qt.Equals, 0.0)
		})
	}
}
