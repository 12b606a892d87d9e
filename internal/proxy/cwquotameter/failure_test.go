package cwquotameter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/core/cwquota"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// overload is seven times the usual load, without retries.
var overload = callers{rate: burstLoad, maxWait: wait}

// inWindowMode reports whether an instance issues in window mode.
func (c *cluster) inWindowMode(i int) bool {
	m := c.meters[i]
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shards[workspace].shard.WindowMode(time.Now())
}

// rowActive reports whether the workspace's row is active.
func (c *cluster) rowActive() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	row, ok := c.table.rows[KeyPrefix+workspace]
	return ok && recordStore{log: c.meters[0].Log}.decode(row).Active
}

// Guards against window mode without a record in the store, and against operations that
// are held up by a store that is away.
func TestStoreAway(t *testing.T) {
	t.Run("when window mode is wanted", func(t *testing.T) {
		runCluster(t, func(c *cluster) {
			c.settle()
			c.table.away = true
			began := time.Now()
			c.run(3*time.Second, overload)
			qt.Assert(c, c.inWindowMode(0), qt.IsFalse)
			n := c.ranBetween(began, began.Add(time.Second))
			qt.Assert(c, n >= quotaRate+clusterBurst, qt.IsTrue, qt.Commentf("%d", n))
			c.assertWithinQuota()
		})
	})
	t.Run("until the lease is over", func(t *testing.T) {
		runCluster(t, func(c *cluster) {
			c.settle()
			c.run(time.Second, overload)
			qt.Assert(c, c.inWindowMode(0), qt.IsTrue)
			c.table.away = true
			c.run(cwquota.Lease, overload)
			qt.Assert(c, c.inWindowMode(0), qt.IsFalse)
			c.run(2*window, overload)
			c.assertWithinQuota()
		})
	})
}

// Guards against a lease from a write that may not have been applied, and against a
// write that is repeated although it was applied.
func TestLostAnswerToWrite(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.settle()
		c.table.lostAnswers = 1
		c.run(time.Second, overload)
		qt.Assert(c, c.inWindowMode(0), qt.IsTrue)
		qt.Assert(c, c.table.commits <= clusterSize, qt.IsTrue)
		c.assertWithinQuota()
	})
}

// Guards against an issuer that replaces one in window mode and doesn't know what that
// one issued, and against rows that stay active after the load is over.
func TestRestartInActiveWorkspace(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.settle()
		c.run(time.Second, overload)
		for i := range c.meters {
			c.start(i)
		}
		began := time.Now()
		c.run(2*window, overload)
		c.assertWithinQuota()
		n := c.ranBetween(began, began.Add(window))
		qt.Assert(c, n <= clusterSize*2, qt.IsTrue, qt.Commentf("%d operations in the first window", n))
		qt.Assert(c, c.rowActive(), qt.IsTrue)
		time.Sleep(3 * (cwquota.Lease + window))
		qt.Assert(c, c.rowActive(), qt.IsFalse)
		qt.Assert(c, c.inWindowMode(0), qt.IsFalse)
	})
}

// Guards against an operation whose token is lost although it ran nowhere, and against
// one that is counted twice, or at an issuer that has been restarted.
func TestRefund(t *testing.T) {
	runCluster(t, func(c *cluster) {
		m := c.meters[0]
		d := m.Take(operation)
		qt.Assert(c, d.Allowed, qt.IsTrue)
		for range 2 {
			m.Return(workspace, d)
			time.Sleep(2 * linkTime)
		}
		returned := func() (n uint64) {
			for _, m := range c.meters {
				n += m.Counts.Returned.Get()
			}
			return n
		}
		qt.Assert(c, returned(), qt.Equals, uint64(1))
		d = m.Take(operation)
		for i := range c.meters {
			c.start(i)
			c.meters[i].IssueQuota(operation)
		}
		c.meters[0].Return(workspace, d)
		time.Sleep(2 * linkTime)
		qt.Assert(c, returned(), qt.Equals, uint64(0))
	})
}

// Guards against a shard that two instances keep at the same time: one that no longer
// keeps it according to its own list refuses, and one that gains it issues only its
// initial tokens until the other one must have noticed.
func TestShardMoves(t *testing.T) {
	f := &fakeIssuers{}
	m, clock := newMeter(f)
	clock.Advance(time.Minute)
	qt.Assert(t, m.IssueQuota(operation).Allowed, qt.IsTrue)
	f.listing = cwquota.Listing{Known: true, AddedAt: clock.Now()}
	qt.Assert(t, m.IssueQuota(operation).Unknown, qt.IsTrue)
	clock.Advance(time.Minute)
	f.listing = cwquota.Listing{Known: true, Issuer: true, AddedAt: f.listing.AddedAt, GainedAt: clock.Now()}
	n := 0
	for m.IssueQuota(operation).Allowed {
		n++
	}
	// A quarter of the slack of 20, divided by two shards.
	qt.Assert(t, n, qt.Equals, 2)
	clock.Advance(3 * window)
	qt.Assert(t, m.IssueQuota(operation).Allowed, qt.IsTrue)
}

// Guards against issuers of older builds that are asked again at once or not at all.
func TestOlderIssuer(t *testing.T) {
	t.Run("without the method", func(t *testing.T) {
		f := &fakeIssuers{}
		m, clock := newMeter(f)
		f.local = []cwport.QuotaIssuer{f.issuer("a", cwport.QuotaDecision{}, &cwport.UnsupportedError{Method: "quota"}), f.issuer("b", allowed, nil)}
		for range 5 {
			qt.Assert(t, m.Take(operation).Allowed, qt.IsTrue)
			clock.Advance(unsupportedPause / 10)
		}
		qt.Assert(t, f.asked["a"], qt.Equals, 1)
		clock.Advance(unsupportedPause)
		m.Take(operation)
		qt.Assert(t, f.asked["a"], qt.Equals, 2)
	})
	t.Run("without grants and delays", func(t *testing.T) {
		f := &fakeIssuers{}
		m, _ := newMeter(f)
		f.local = []cwport.QuotaIssuer{f.issuer("a", spent, nil)}
		v := m.Take(cwport.QuotaRequest{Workspace: workspace, MaxWait: wait})
		qt.Assert(t, v.RetryAfter, qt.Equals, spent.RetryAfter)
		f.local = []cwport.QuotaIssuer{f.issuer("b", allowed, nil)}
		m.Return(workspace, m.Take(operation))
	})
}

// Guards against an operation that begins before its token returns, and against a delay
// that is accepted before all issuers were asked.
func TestDelayedOperation(t *testing.T) {
	runCluster(t, func(c *cluster) {
		m := c.meters[0]
		answer := &fakeRemote{issuers: &fakeIssuers{asked: map[string]int{}}, answer: cwport.QuotaDecision{Allowed: true, Delay: wait}}
		best := offer{issuer: cwport.QuotaIssuer{Name: "a", Remote: answer}}
		began := time.Now()
		v := m.askAgain(cwport.QuotaRequest{Workspace: workspace, MaxWait: wait}, best)
		qt.Assert(c, v.Allowed && time.Since(began) >= wait, qt.IsTrue)
		c.settle()
		c.run(2*window, overload)
		delayed := uint64(0)
		for _, m := range c.meters {
			delayed += m.Counts.Delayed.Get()
		}
		qt.Assert(c, delayed > 0, qt.IsTrue)
	})
}

// Guards against issuers that start after the store was restored from a copy without the
// row on which their predecessors relied, and against instances that are capped for good
// because the store was restored once.
func TestRestartAfterRestore(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.settle()
		c.run(time.Second, overload)
		c.table.mu.Lock()
		clear(c.table.rows)
		c.table.era++
		c.table.mu.Unlock()
		for i := range c.meters {
			c.start(i)
		}
		c.run(2*window, overload)
		c.assertWithinQuota()
		time.Sleep(4 * (cwquota.Lease + window))
		for i := range c.meters {
			c.start(i)
		}
		time.Sleep(5 * storeTime)
		m := c.meters[0]
		m.mu.Lock()
		defer m.mu.Unlock()
		qt.Assert(c, m.records.activeAtStart(workspace), qt.IsFalse)
	})
}

// Guards against a row that stays active long after its last use because its issuers
// learn late when it was last written: after a restart, its workspace is nearly without
// quota.
func TestRowIsDueAfterItsLastChange(t *testing.T) {
	m, clock := newMeter(&fakeIssuers{})
	m.records.expectActive(workspace, clock.Now().Add(cwquota.Lease))
	observe := func(value string, version cwfeed.Version) {
		m.ObserveRows([]cwport.Row{{Key: KeyPrefix + workspace, Value: []byte(value), Version: version}})
	}
	due := func() time.Duration {
		return m.records.watched[workspace].dueAt(m.Tolerance.Window, true).Sub(clock.Now())
	}
	idle := cwquota.Lease + m.Tolerance.Window + cwquota.MaxDelay(m.Tolerance.Window)
	clock.Advance(time.Second)
	observe(`{"active":true}`, 7)
	qt.Assert(t, due(), qt.Equals, idle)
	clock.Advance(time.Second)
	observe(`{"active":true}`, 7)
	qt.Assert(t, due(), qt.Equals, idle-time.Second)
	observe(`{"active":true}`, 8)
	qt.Assert(t, due(), qt.Equals, idle)
	clock.Advance(cwquota.Lease)
	observe(`{}`, 9)
	qt.Assert(t, m.records.watched[workspace], qt.IsNil)
}
