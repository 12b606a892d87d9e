package cwlimit

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func waiting(priority, n int) Demand { return Demand{Running: 1, Waiting: map[int]int{priority: n}} }

func TestSlotShares(t *testing.T) {
	assertShare := func(t *testing.T, s *SlotShares, own Demand, after time.Duration, want int) {
		t.Helper()
		n, ok := s.Share("a", own, 4, now.Add(after))
		qt.Assert(t, ok, qt.Equals, want > 0)
		qt.Assert(t, n, qt.Equals, want)
	}
	t.Run("no division without reports", func(t *testing.T) {
		assertShare(t, &SlotShares{}, waiting(0, 9), 0, 0)
	})
	t.Run("no division while nothing waits", func(t *testing.T) {
		s := &SlotShares{}
		s.Record("b", Demand{Running: 3}, now)
		assertShare(t, s, Demand{Running: 3}, 0, 0)
	})
	t.Run("holders without statements keep no slots", func(t *testing.T) {
		s := &SlotShares{}
		s.Record("b", Demand{}, now)
		assertShare(t, s, waiting(0, 9), 0, 0)
	})
	t.Run("the highest priority that waits", func(t *testing.T) {
		s := &SlotShares{}
		s.Record("b", waiting(2, 100), now)
		assertShare(t, s, waiting(0, 9), 0, 7)
		assertShare(t, s, waiting(0, 2), 0, 3)
		s.Record("b", waiting(0, 100), now)
		assertShare(t, s, waiting(2, 100), 0, 1)
	})
	t.Run("in proportion to the waiting statements", func(t *testing.T) {
		s := &SlotShares{}
		s.Record("b", waiting(1, 10), now)
		assertShare(t, s, waiting(1, 20), 0, 5)
	})
	t.Run("slots that are not needed are available to all", func(t *testing.T) {
		s := &SlotShares{}
		s.Record("b", waiting(0, 1), now)
		assertShare(t, s, Demand{Running: 1}, 0, 6)
	})
	t.Run("the report of a dead holder stops counting after 1 s", func(t *testing.T) {
		s := &SlotShares{}
		s.Record("b", waiting(0, 100), now)
		assertShare(t, s, waiting(1, 9), DemandMaxAge, 1)
		assertShare(t, s, waiting(1, 9), DemandMaxAge+1, 0)
	})
	t.Run("an older report is ignored", func(t *testing.T) {
		s := &SlotShares{}
		s.Record("b", waiting(0, 100), now)
		s.Record("b", waiting(2, 1), now.Add(-time.Millisecond))
		assertShare(t, s, waiting(1, 9), 0, 1)
	})
}

// Guards against holders that together use more statements than are divided, or leave a
// holder without any, although all know the same reports.
func TestSharesAreDivision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, holders := rapid.IntRange(1, 20).Draw(t, "slots"), instanceNames(rapid.IntRange(2, 8).Draw(t, "holders"))
		demands := make(map[string]Demand)
		total := 0
		for _, h := range holders {
			d := Demand{Running: 1, Waiting: map[int]int{}}
			for p := range 3 {
				if n := rapid.IntRange(0, 30).Draw(t, fmt.Sprint(h, p)); n > 0 {
					d.Waiting[p], total = n, total+n
				}
			}
			demands[h] = d
		}
		sum, divided := 0, statementsPerSlot*slots
		for _, self := range holders {
			var s SlotShares
			for _, h := range holders {
				if h != self {
					s.Record(h, demands[h], now)
				}
			}
			n, ok := s.Share(self, demands[self], slots, now)
			if ok != (total > 0) || ok && n < 1 {
				t.Fatalf("share %d, %v with %d waiting", n, ok, total)
			}
			sum += n
		}
		if left := divided - len(holders); total >= left && left >= 0 && total > 0 && sum != divided {
			t.Fatalf("shares sum to %d of %d", sum, divided)
		}
	})
}
