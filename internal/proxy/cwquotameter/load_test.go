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

// settle lets the usual load run until all buckets are full.
func (c *cluster) settle() { c.run(2*window, callers{rate: usualLoad, maxWait: wait}) }

// Guards against refused operations of a workspace whose buckets have tokens: at seven
// times its usual load it gets all of the first window.
func TestBurstGetsWholeWindow(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.settle()
		began := time.Now()
		c.run(6*time.Second, callers{rate: burstLoad, maxWait: wait, retries: 2})
		ratio := float64(c.ranBetween(began, began.Add(window))) / c.limit()
		c.Logf("issued / allowed %.3f", ratio)
		qt.Assert(c, ratio >= 0.97, qt.IsTrue, qt.Commentf("%.3f", ratio))
		c.assertWithinQuota()
		c.assertUseReported()
	})
}

// refill is the number of tokens that are added to all buckets in a time.
func (c *cluster) refill(d time.Duration) float64 {
	m := c.meters[0]
	return clusterSize * cwquota.ParamsFor(c.quota, m.Tolerance, clusterSize).Rate * d.Seconds()
}

// assertUseReported fails if the metrics report that less was issued in contended windows
// than the buckets are refilled with, or more than the limit.
func (c *cluster) assertUseReported() {
	least := 0.97 * c.refill(window) / c.limit()
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
			callers{rate: highLoad}, callers{rate: burstLoad, priority: 2, maxWait: wait, retries: 2})
		high, low := out[0], out[1]
		c.Logf("high %d of %d, low %d of %d", high.served, high.sent, low.served, low.sent)
		qt.Assert(c, float64(high.served) >= 0.99*float64(high.sent), qt.IsTrue)
		for from := began; from.Before(began.Add(6 * time.Second)); from = from.Add(time.Second) {
			ratio := float64(c.ranBetween(from, from.Add(window))) / c.refill(window)
			qt.Assert(c, ratio >= 0.97, qt.IsTrue, qt.Commentf("%.3f from %v", ratio, from.Sub(began)))
		}
		c.assertWithinQuota()
	})
}

// Guards against refused operations while the load is below the quota, in particular
// right after all instances were restarted, and while all of it is in one data centre,
// whose shards are then empty.
func TestUsualLoadIsServedAtOnce(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.settle()
		for range 2 {
			// More than the rate of the shards of one data centre, less than that of all.
			out := c.run(2*window, callers{rate: 0.8 * quotaRate, maxWait: wait, instances: perCentre})
			qt.Assert(c, out[0].served, qt.Equals, out[0].sent)
			for i := range c.meters {
				c.start(i)
			}
		}
	})
}

// Guards against a request for quota that costs more than its decision.
func TestRequestsAllocateLittle(t *testing.T) {
	m, clock := newMeter(&fakeIssuers{})
	clock.Advance(time.Minute)
	low := cwport.QuotaRequest{Workspace: workspace, Priority: 3, MaxWait: minWait}
	m.IssueQuota(low)
	qt.Assert(t, testing.AllocsPerRun(1000, func() { m.IssueQuota(low) }), qt.Equals, 0.0)
}

// Guards against operations that are refused although their token comes within their
// wait, against those that wait in vain because others take their tokens, and against
// those of high priority that wait longer than those of low priority.
func TestOperationsWaitInOrder(t *testing.T) {
	const aimWait, d = 500 * time.Millisecond, 20 * time.Second
	runCluster(t, func(c *cluster) {
		c.run(2*time.Second, callers{rate: burstLoad, priority: 2})
		began := time.Now()
		// Slightly more than the buckets are refilled with.
		out := c.run(d, callers{rate: 30, maxWait: aimWait}, callers{rate: 85, priority: 2, maxWait: aimWait})
		high, low := out[0], out[1]
		mean := func(o *outcome) time.Duration { return o.waited / time.Duration(o.served) }
		n := c.ranBetween(began, began.Add(d))
		c.Logf("high %d of %d after %v, low %d of %d after %v; %d of %.0f", high.served, high.sent, mean(high), low.served, low.sent, mean(low), n, c.refill(d))
		c.Logf("waited and served %d, waited in vain %d", low.late, low.inVain)
		qt.Assert(c, low.late > low.sent/10 && low.inVain <= low.late/10, qt.IsTrue)
		qt.Assert(c, high.served, qt.Equals, high.sent)
		qt.Assert(c, mean(high) < mean(low), qt.IsTrue)
		qt.Assert(c, float64(n) >= 0.97*c.refill(d), qt.IsTrue)
		c.assertWithinQuota()
		waits := uint64(0)
		for _, m := range c.meters {
			waits += m.Counts.Delayed.Get()
		}
		qt.Assert(c, waits >= uint64(low.late+low.inVain), qt.IsTrue)
	})
}
