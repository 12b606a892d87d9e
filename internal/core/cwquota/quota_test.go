package cwquota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
)

var (
	start = time.Unix(1000, 0)
	rule  = cwcatalogue.QuotaTolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
)

// allowed returns the number of operations that the rule allows in one window.
func allowed(q cwcatalogue.Quota) float64 {
	return (q.Rate*rule.Window.Seconds()+q.Burst)*(1+rule.Overage) + rule.Slack
}

// maxInWindow returns the greatest number of tokens issued in any time span of
// the window's length.
func maxInWindow(issued []time.Time) int {
	greatest, first := 0, 0
	for i, at := range issued {
		for at.Sub(issued[first]) > rule.Window {
			first++
		}
		greatest = max(greatest, i-first+1)
	}
	return greatest
}

// Guards against a workspace that gets more than its quota in some window of five
// seconds. It comes about if the workspace sends many times its usual load while
// its issuers are killed and restarted, each at most once per window, and callers
// take tokens from any shard that they reach.
func TestShardsStayWithinQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := cwcatalogue.Quota{
			Rate:  rapid.Float64Range(0, 300).Draw(t, "rate"),
			Burst: rapid.Float64Range(0, 300).Draw(t, "burst"),
		}
		shards := rapid.IntRange(1, 12).Draw(t, "shards")
		params := BucketParamsFor(q, rule, shards)
		now := start
		issuers := make([]*Shard, shards)
		replaced := make([]time.Time, shards)
		for i := range issuers {
			issuers[i] = NewShard(params, now, true)
		}
		var issued []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pauseMs")) * time.Millisecond)
			i := rapid.IntRange(0, shards-1).Draw(t, "shard")
			if rapid.IntRange(0, 9).Draw(t, "kill") == 0 && now.Sub(replaced[i]) > rule.Window {
				issuers[i], replaced[i] = NewShard(params, now, false), now
			}
			for range rapid.IntRange(0, 200).Draw(t, "asks") {
				if ok, _ := issuers[i].Take(now); ok {
					issued = append(issued, now)
				}
			}
		}
		if got, want := maxInWindow(issued), allowed(q); float64(got) > want+1e-6 {
			t.Fatalf("%d tokens issued in one window, %.1f allowed", got, want)
		}
	})
}

func TestShard(t *testing.T) {
	q := cwcatalogue.Quota{Rate: 10, Burst: 10}
	params := BucketParamsFor(q, rule, 1)
	drain := func(s *Shard, now time.Time) int {
		for n := 0; ; n++ {
			if ok, _ := s.Take(now); !ok {
				return n
			}
		}
	}
	t.Run("operations within the quota are never refused", func(t *testing.T) {
		s := NewShard(params, start, true)
		qt.Assert(t, drain(s, start) >= 10, qt.IsTrue)
		for n := 1; n <= 100; n++ {
			ok, _ := s.Take(start.Add(time.Duration(n) * 100 * time.Millisecond))
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("operation %d", n))
		}
	})
	t.Run("refusal states when the next token is available", func(t *testing.T) {
		s := NewShard(params, start, true)
		drain(s, start)
		ok, wait := s.Take(start)
		qt.Assert(t, ok, qt.IsFalse)
		qt.Assert(t, wait > 0 && wait <= 100*time.Millisecond, qt.IsTrue)
		ok, _ = s.Take(start.Add(wait + time.Microsecond))
		qt.Assert(t, ok, qt.IsTrue)
	})
	t.Run("lower quota discards accumulated tokens", func(t *testing.T) {
		s := NewShard(params, start, true)
		lower := cwcatalogue.Quota{Rate: 1, Burst: 1}
		s.SetParams(BucketParamsFor(lower, rule, 1), start)
		n := drain(s, start) + drain(s, start.Add(rule.Window))
		qt.Assert(t, float64(n) <= allowed(lower), qt.IsTrue, qt.Commentf("%d", n))
	})
	t.Run("quota with a rate of zero", func(t *testing.T) {
		s := NewShard(BucketParamsFor(cwcatalogue.Quota{Burst: 1}, cwcatalogue.QuotaTolerance{Window: time.Second}, 1), start, true)
		qt.Assert(t, drain(s, start), qt.Equals, 1)
		_, wait := s.Take(start.Add(time.Hour))
		qt.Assert(t, wait, qt.Equals, zeroRateWait)
	})
}
