package cwquota

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
)

// exhausted returns a shard with an empty bucket, and the current time.
func exhausted() (*Shard, time.Time) {
	s, now := NewShard(ParamsFor(cwcatalogue.Quota{Rate: 100, Burst: 100}, rule, 1), FirstTenure(start)), start.Add(time.Second)
	drain(s, now)
	return s, now
}

// Guards against refused callers that are all told the same time, and against callers of
// low priority that are told earlier times than those of high priority.
func TestRetryTimes(t *testing.T) {
	const callers = 300
	type caller struct {
		priority int
		retryAt  time.Time
	}
	// play refuses the callers, lets each return at the time it was told, and returns
	// their mean retry times and the number of those that are served then, by priority.
	play := func(priorityOf func(i int) int) (mean [3]time.Duration, served [3]int) {
		s, now := exhausted()
		var all []caller
		for i := range callers {
			d := s.Take(Request{Priority: priorityOf(i), MaxWait: 1}, now)
			qt.Assert(t, d.Allowed, qt.IsFalse)
			all = append(all, caller{priorityOf(i), now.Add(d.RetryAfter)})
			mean[priorityOf(i)] += d.RetryAfter / (callers / 3)
		}
		slices.SortStableFunc(all, func(a, b caller) int { return a.retryAt.Compare(b.retryAt) })
		for _, c := range all {
			if s.Take(Request{Priority: c.priority}, c.retryAt).Allowed {
				served[c.priority]++
			}
		}
		return mean, served
	}
	const each = callers / 3
	t.Run("one priority", func(t *testing.T) {
		_, served := play(func(int) int { return 1 })
		qt.Assert(t, served, qt.Equals, [3]int{0, callers, 0})
	})
	t.Run("high priority first", func(t *testing.T) {
		mean, served := play(func(i int) int { return i / each })
		qt.Assert(t, served, qt.Equals, [3]int{each, each, each})
		qt.Assert(t, mean[0] < mean[1] && mean[1] < mean[2], qt.IsTrue, qt.Commentf("%v", mean))
	})
	t.Run("mixed", func(t *testing.T) {
		// Some of low priority were told their times before those of high priority came.
		mean, served := play(func(i int) int { return i % 3 })
		t.Logf("mean retry times %v, served %v", mean, served)
		qt.Assert(t, served[0], qt.Equals, each)
		qt.Assert(t, mean[0] < mean[1] && mean[1] < mean[2], qt.IsTrue, qt.Commentf("%v", mean))
	})
}
