package cwquota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
)

// drain takes tokens until one is refused, and returns their number. The requests don't
// count as demand of a higher priority.
func drain(s *Shard, now time.Time) int {
	for n := 0; ; n++ {
		if !s.Take(Request{Priority: Priorities}, now).Allowed {
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
	qt.Assert(t, l.FirstTenureOf(start, rule.Window, false), qt.Equals, GainedTenure(at(20), rule.Window))
	qt.Assert(t, Listing{}.FirstTenureOf(start, rule.Window, false), qt.Equals, RestartTenure(start))
	t.Run("first start of the whole system", func(t *testing.T) {
		qt.Assert(t, Listing{AddedAt: at(1)}.FirstTenureOf(start, rule.Window, true), qt.Equals, FirstTenure(start))
		qt.Assert(t, Listing{GainedAt: at(6)}.FirstTenureOf(start, rule.Window, true), qt.Equals, GainedTenure(at(6), rule.Window))
	})
}

// Guards against a token that a later request takes although an operation waits for it,
// and against later requests that queue behind a place that was used.
func TestPlaces(t *testing.T) {
	params := ParamsFor(cwcatalogue.Quota{Rate: 10, Burst: 10}, rule, 1)
	wait := func(s *Shard, priority int) Decision {
		d := s.Take(Request{Priority: priority, MaxWait: time.Second}, start)
		qt.Assert(t, !d.Allowed && d.Place != 0, qt.IsTrue)
		return d
	}
	empty := func() *Shard {
		s := NewShard(params, FirstTenure(start))
		drain(s, start)
		return s
	}
	t.Run("are kept", func(t *testing.T) {
		s := empty()
		first, second := wait(s, 1), wait(s, 1)
		qt.Assert(t, first.RetryAfter < second.RetryAfter, qt.IsTrue)
		for _, d := range []Decision{first, second} {
			now := start.Add(d.RetryAfter)
			qt.Assert(t, s.Take(Request{Priority: 1}, now).Allowed, qt.IsFalse)
			qt.Assert(t, s.Take(Request{Priority: 1, Place: d.Place}, now).Allowed, qt.IsTrue)
		}
	})
	t.Run("of low priority give way", func(t *testing.T) {
		s := empty()
		d := wait(s, 1)
		now := start.Add(d.RetryAfter)
		qt.Assert(t, s.Take(Request{}, now).Allowed, qt.IsTrue)
		qt.Assert(t, s.Take(Request{Priority: 1, Place: d.Place}, now).Allowed, qt.IsFalse)
	})
	t.Run("are used once", func(t *testing.T) {
		s := empty()
		d := wait(s, 1)
		now := start.Add(d.RetryAfter)
		qt.Assert(t, s.Take(Request{Priority: 1, Place: d.Place}, now).Allowed, qt.IsTrue)
		qt.Assert(t, s.demand.promised.total(1)+s.demand.kept.total(1), qt.Equals, 0)
	})
	t.Run("lapse if they are not used", func(t *testing.T) {
		s := empty()
		d := wait(s, 1)
		qt.Assert(t, s.Take(Request{Priority: 1}, start.Add(d.RetryAfter+s.ring.length)).Allowed, qt.IsTrue)
	})
	t.Run("that are unknown change nothing", func(t *testing.T) {
		s := empty()
		for _, place := range []int64{1, 1 << 62, s.ring.current, s.ring.current + 1} {
			qt.Assert(t, s.Take(Request{Place: place}, start).Allowed, qt.IsFalse)
		}
		qt.Assert(t, s.demand.promised.total(Priorities-1), qt.Equals, 0)
	})
}
