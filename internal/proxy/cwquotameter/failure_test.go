package cwquotameter

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwquota"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// overload is seven times the usual load, without retries.
var overload = callers{rate: burstLoad, maxWait: wait}

// Guards against issuers that replace others and don't know what those issued, and against
// a workspace that is nearly without quota after all of its issuers were killed.
func TestRestartUnderOverload(t *testing.T) {
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
		c.Logf("%d operations in the first window, the buckets are refilled with %.0f", n, c.refill(window))
		qt.Assert(c, float64(n) >= 0.97*c.refill(window), qt.IsTrue)
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
	t.Run("without grants and places", func(t *testing.T) {
		f := &fakeIssuers{}
		m, _ := newMeter(f)
		f.local = []cwport.QuotaIssuer{f.issuer("a", spent, nil)}
		v := m.Take(cwport.QuotaRequest{Workspace: workspace, MaxWait: wait})
		qt.Assert(t, v.RetryAfter, qt.Equals, spent.RetryAfter)
		f.local = []cwport.QuotaIssuer{f.issuer("b", allowed, nil)}
		m.Return(workspace, m.Take(operation))
	})
}

// Guards against an operation that asks again before its wait is over or without its
// place, and against one that is refused although the issuer has answered.
func TestWaitingOperation(t *testing.T) {
	placed := cwport.QuotaDecision{RetryAfter: wait, Place: 7}
	ask := func(t *testing.T, answers ...cwport.QuotaDecision) (cwport.QuotaDecision, []cwport.QuotaRequest, time.Duration) {
		script := &scriptedRemote{answers: answers}
		var v cwport.QuotaDecision
		var waited time.Duration
		runCluster(t, func(c *cluster) {
			began := time.Now()
			v = c.meters[0].askAgain(cwport.QuotaRequest{Workspace: workspace, MaxWait: wait}, offer{issuer: cwport.QuotaIssuer{Name: "a", Remote: script}})
			waited = time.Since(began)
		})
		return v, script.requests, waited
	}
	t.Run("served", func(t *testing.T) {
		v, requests, waited := ask(t, placed, allowed)
		qt.Assert(t, v.Allowed, qt.IsTrue)
		qt.Assert(t, waited, qt.Equals, wait)
		qt.Assert(t, requests, qt.DeepEquals, []cwport.QuotaRequest{
			{Workspace: workspace, MaxWait: wait}, {Workspace: workspace, MaxWait: minWait, Repeated: true, Place: 7},
		})
	})
	t.Run("refused again", func(t *testing.T) {
		v, requests, _ := ask(t, placed, spent)
		qt.Assert(t, v.Allowed, qt.IsFalse)
		qt.Assert(t, v.RetryAfter, qt.Equals, spent.RetryAfter)
		qt.Assert(t, requests, qt.HasLen, 2)
	})
	t.Run("not beyond its wait", func(t *testing.T) {
		v, requests, waited := ask(t, spent)
		qt.Assert(t, v.RetryAfter, qt.Equals, spent.RetryAfter)
		qt.Assert(t, requests, qt.HasLen, 1)
		qt.Assert(t, waited, qt.Equals, time.Duration(0))
	})
}

// scriptedRemote is an issuer with a sequence of answers.
type scriptedRemote struct {
	fakeRemote
	answers  []cwport.QuotaDecision
	requests []cwport.QuotaRequest
}

func (r *scriptedRemote) AskQuota(_ context.Context, q cwport.QuotaRequest) (cwport.QuotaDecision, error) {
	r.requests = append(r.requests, q)
	return r.answers[len(r.requests)-1], nil
}
