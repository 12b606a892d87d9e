package cwquota

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
)

// drain takes tokens until one is refused, and returns their number.
func drain(s *Shard, now time.Time) int {
	for n := 0; ; n++ {
		if !s.Take(Request{}, now).Allowed {
			return n
		}
	}
}

func TestShard(t *testing.T) {
	q := cwcatalogue.Quota{Rate: 10, Burst: 10}
	params := ParamsFor(q, rule, 1)
	first := func() *Shard { return NewShard(params, FirstTenure(start)) }
	t.Run("operations within the quota are never refused", func(t *testing.T) {
		s := first()
		qt.Assert(t, drain(s, start) >= 10, qt.IsTrue)
		for n := 1; n <= 100; n++ {
			qt.Assert(t, s.Take(Request{}, start.Add(time.Duration(n)*100*time.Millisecond)).Allowed, qt.IsTrue, qt.Commentf("operation %d", n))
		}
	})
	t.Run("refusal states when the next token is available", func(t *testing.T) {
		s := first()
		drain(s, start)
		d := s.Take(Request{}, start)
		qt.Assert(t, d.Allowed, qt.IsFalse)
		qt.Assert(t, d.RetryAfter > 0 && d.RetryAfter <= 100*time.Millisecond, qt.IsTrue)
		qt.Assert(t, s.Take(Request{}, start.Add(d.RetryAfter+time.Microsecond)).Allowed, qt.IsTrue)
	})
	t.Run("lower quota discards accumulated tokens", func(t *testing.T) {
		s := first()
		lower := cwcatalogue.Quota{Rate: 1, Burst: 1}
		s.SetParams(ParamsFor(lower, rule, 1), start)
		n := drain(s, start) + drain(s, start.Add(rule.Window))
		qt.Assert(t, float64(n) <= allowed(lower), qt.IsTrue, qt.Commentf("%d", n))
	})
	t.Run("quota with a rate of zero", func(t *testing.T) {
		s := NewShard(ParamsFor(cwcatalogue.Quota{Burst: 1}, cwcatalogue.QuotaTolerance{Window: time.Second}, 1), FirstTenure(start))
		qt.Assert(t, drain(s, start), qt.Equals, 1)
		qt.Assert(t, s.Take(Request{}, start.Add(time.Hour)).RetryAfter, qt.Equals, zeroRateWait)
	})
}

// Guards against a lease that others may clear too early: a row that has not changed
// since it was read may have been seen long ago.
func TestLease(t *testing.T) {
	a := Attempt{ReadAt: start, SentAt: start.Add(time.Second), Read: Record{Active: true, Version: "4"}}
	qt.Assert(t, a.LeaseIfWritten(), qt.Equals, start.Add(time.Second+Lease))
	for _, again := range []Record{{Active: true, Version: "4"}, {Active: false, Version: "5"}, {}} {
		_, ok := a.LeaseIfRead(again)
		qt.Assert(t, ok, qt.IsFalse, qt.Commentf("%+v", again))
	}
	until, ok := a.LeaseIfRead(Record{Active: true, Version: "5"})
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, until, qt.Equals, start.Add(Lease))
}

// Guards against tokens that a refund creates.
func TestReturn(t *testing.T) {
	params := ParamsFor(cwcatalogue.Quota{Rate: 10, Burst: 10}, rule, 1)
	s := NewShard(params, FirstTenure(start))
	drain(s, start)
	now := start.Add(time.Second)
	grants := []Grant{}
	for range 10 {
		grants = append(grants, s.Take(Request{}, now).Grant)
	}
	drain(s, now)
	t.Run("counts once", func(t *testing.T) {
		qt.Assert(t, s.Return(grants[0], now), qt.IsTrue)
		qt.Assert(t, s.Return(grants[0], now), qt.IsFalse)
		qt.Assert(t, drain(s, now), qt.Equals, 1)
	})
	t.Run("unknown grant", func(t *testing.T) {
		qt.Assert(t, s.Return(grants[0]+1000, now), qt.IsFalse)
		qt.Assert(t, s.Return(0, now), qt.IsFalse)
	})
	t.Run("grants that an almost full bucket would have lost", func(t *testing.T) {
		almostFull := now.Add(time.Duration((params.Depth - 2.5) / params.Rate * float64(time.Second)))
		drain(s, almostFull)
		for _, g := range grants[1:8] {
			qt.Assert(t, s.Return(g, almostFull), qt.IsTrue)
		}
		n := drain(s, almostFull)
		qt.Assert(t, n >= 2 && n <= 3, qt.IsTrue, qt.Commentf("%d", n))
	})
	t.Run("grant of window mode is not credited to the bucket", func(t *testing.T) {
		now := now.Add(rule.Window)
		s.Lease(now.Add(time.Second))
		g := s.Take(Request{}, now)
		qt.Assert(t, g.Allowed, qt.IsTrue)
		s.DropLease()
		drain(s, now)
		qt.Assert(t, s.Return(g.Grant, now), qt.IsTrue)
		qt.Assert(t, drain(s, now), qt.Equals, 0)
	})
	t.Run("grant older than the window", func(t *testing.T) {
		qt.Assert(t, s.Return(grants[8], now.Add(2*rule.Window)), qt.IsFalse)
	})
}

// Guards against a shard that is believed to be kept without interruption although
// another instance kept it in between.
func TestListing(t *testing.T) {
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	l := Listing{Known: true, Issuer: true, AddedAt: at(10), GainedAt: at(20)}
	qt.Assert(t, l.GainedSince(at(5)), qt.IsTrue)
	qt.Assert(t, l.GainedSince(at(15)), qt.IsFalse)
	qt.Assert(t, l.FirstTenureOf(start, rule.Window, false, false), qt.Equals, GainedTenure(at(20), rule.Window))
	qt.Assert(t, Listing{}.FirstTenureOf(start, rule.Window, false, true), qt.Equals, RestartTenure(start, rule.Window, true))
	t.Run("first start of the whole system", func(t *testing.T) {
		settling := Listing{AddedAt: at(1)}.FirstTenureOf(start, rule.Window, true, false)
		qt.Assert(t, settling, qt.Equals, FirstTenure(start).WithSettling(at(6)))
	})
}

// Guards against small quotas of which the fraction of each shard is lost, and against
// shards that together have more than the whole.
func TestRanksShareFractions(t *testing.T) {
	const shards = 16
	params := ParamsFor(cwcatalogue.Quota{Rate: 11, Burst: 11}, rule, shards)
	settled := start.Add(3 * rule.Window)
	total, least := 0.0, 0.0
	for rank := range shards {
		l := Listing{Complete: true, Rank: rank}
		total += params.ForRank(l, start, settled).Limit
		least += params.ForRank(l, start, start.Add(rule.Window)).Limit
	}
	qt.Assert(t, total, qt.Equals, math.Floor(params.Limit*shards))
	qt.Assert(t, least, qt.Equals, math.Floor(params.Limit)*shards)
}
