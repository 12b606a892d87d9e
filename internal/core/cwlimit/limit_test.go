package cwlimit

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
)

var now = time.Unix(1000, 0)

func instanceNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("entry-%d", i)
	}
	return out
}

func TestSharesSumToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := ConnectionShares{Limit: rapid.IntRange(0, 60).Draw(t, "limit"), Reserved: rapid.IntRange(0, 20).Draw(t, "control")}
		holders := instanceNames(rapid.IntRange(1, 40).Draw(t, "holders"))
		sum := 0
		for _, h := range holders {
			sum += s.ShareOf(h, "db-1", holders)
		}
		if want := max(0, s.Limit-s.Reserved); sum != want {
			t.Fatalf("shares sum to %d, want %d", sum, want)
		}
	})
}

// Guards against connections that the target refuses, for example those of a
// failover, because the sum of all shares exceeds its limit. It comes about if
// the list of instances is out of date: a new proxy uses its share while the
// others still use their larger ones. The sum must stay within the limit in
// whatever order proxies start, stop and learn of each other.
func TestSharesInUseNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tick, lagTicks = 100 * time.Millisecond, 10
		s := ConnectionShares{Limit: 25, Reserved: 5}
		all := instanceNames(6)
		held := make([]DelayedShare, len(all))
		running := make([]bool, len(all))
		var listHistory [][]string
		for n := range 80 {
			i := rapid.IntRange(0, 40).Draw(t, "flip")
			if i < len(all) {
				running[i] = !running[i]
				held[i] = DelayedShare{ListLag: lagTicks * tick}
			}
			var live []string
			for i, h := range all {
				if running[i] {
					live = append(live, h)
				}
			}
			listHistory = append(listHistory, live)
			sum := 0
			for i, h := range all {
				if !running[i] {
					continue
				}
				// Each proxy sees a list of up to lagTicks-1 ticks ago.
				old := max(0, n-rapid.IntRange(0, lagTicks-1).Draw(t, "old"))
				sum += held[i].Update(s.ShareOf(h, "db", listHistory[old]), now.Add(time.Duration(n)*tick))
			}
			if sum > s.Limit-s.Reserved {
				t.Fatalf("shares sum to %d connections at tick %d", sum, n)
			}
		}
	})
}

// waiter is a ticket that records whether it was admitted or refused.
type waiter struct {
	Ticket
	started bool
	refused *cwrefusal.Refusal
}

// newWaiter returns a waiter whose deadline is that long after now.
func newWaiter(deadline time.Duration) *waiter {
	w := &waiter{}
	w.Deadline = now.Add(deadline)
	w.OnDecision = func(r *cwrefusal.Refusal) { w.started, w.refused = r == nil, r }
	return w
}

func TestAdmissionQueue(t *testing.T) {
	g := AdmissionQueue{Limit: 1, QueueLimit: 2}
	first, second, third, fourth := newWaiter(time.Second), newWaiter(time.Second), newWaiter(time.Second), newWaiter(time.Second)
	for _, w := range []*waiter{first, second, third, fourth} {
		g.Submit(&w.Ticket, now)
	}
	qt.Assert(t, first.started, qt.IsTrue)
	qt.Assert(t, second.started || second.refused != nil, qt.IsFalse)
	qt.Assert(t, fourth.refused.NotRun, qt.IsTrue)
	qt.Assert(t, fourth.refused.RetryAfter > 0, qt.IsTrue)
	g.Release(10*time.Millisecond, now)
	qt.Assert(t, second.started, qt.IsTrue)
	g.Cancel(&third.Ticket)
	g.Release(10*time.Millisecond, now)
	qt.Assert(t, third.started, qt.IsFalse)
	qt.Assert(t, g.InFlight(), qt.Equals, 0)

	t.Run("statement that cannot start in time is refused at once", func(t *testing.T) {
		g := AdmissionQueue{Limit: 1, QueueLimit: 100}
		g.Submit(&newWaiter(time.Hour).Ticket, now)
		g.Release(time.Second, now)
		g.Submit(&newWaiter(time.Hour).Ticket, now)
		late := newWaiter(500 * time.Millisecond)
		g.Submit(&late.Ticket, now)
		qt.Assert(t, late.refused, qt.Not(qt.IsNil))
		qt.Assert(t, late.refused.RetryAfter, qt.Equals, time.Second)
	})
	t.Run("earliest deadline is admitted first", func(t *testing.T) {
		g := AdmissionQueue{Limit: 1, QueueLimit: 100}
		g.Submit(&newWaiter(time.Hour).Ticket, now)
		relaxed, urgent, second := newWaiter(time.Hour), newWaiter(time.Second), newWaiter(time.Second)
		for _, w := range []*waiter{relaxed, urgent, second} {
			g.Submit(&w.Ticket, now)
		}
		g.Release(time.Millisecond, now)
		qt.Assert(t, urgent.started && !second.started && !relaxed.started, qt.IsTrue)
		g.Release(time.Millisecond, now)
		qt.Assert(t, second.started && !relaxed.started, qt.IsTrue)
	})
	t.Run("priority precedes due time", func(t *testing.T) {
		g := AdmissionQueue{Limit: 1, QueueLimit: 100}
		g.Submit(&newWaiter(time.Hour).Ticket, now)
		low, high, due := newWaiter(time.Second), newWaiter(time.Hour), newWaiter(time.Hour)
		high.Priority, due.Priority = -1, -1
		due.Due = now
		for _, w := range []*waiter{low, high, due} {
			g.Submit(&w.Ticket, now)
		}
		g.Release(time.Millisecond, now)
		qt.Assert(t, due.started && !high.started, qt.IsTrue)
		g.Release(time.Millisecond, now)
		qt.Assert(t, high.started && !low.started, qt.IsTrue)
	})
	t.Run("expired statement is refused", func(t *testing.T) {
		g := AdmissionQueue{Limit: 1, QueueLimit: 100}
		g.Submit(&newWaiter(time.Hour).Ticket, now)
		w := newWaiter(time.Second)
		g.Submit(&w.Ticket, now)
		g.Expire(now.Add(2 * time.Second))
		qt.Assert(t, w.refused.NotRun, qt.IsTrue)
		qt.Assert(t, g.Queued(), qt.Equals, 0)
	})
}

func TestRetryBudget(t *testing.T) {
	b := RetryBudget{Ratio: 0.1, Max: 5}
	spent := 0
	for range 1000 {
		b.Earn()
		if b.Spend() {
			spent++
		}
	}
	qt.Assert(t, spent <= 105, qt.IsTrue, qt.Commentf("%d", spent))
	qt.Assert(t, spent >= 95, qt.IsTrue, qt.Commentf("%d", spent))
}

func TestAdaptiveLimitConverges(t *testing.T) {
	// The target executes four statements concurrently and queues any more.
	a := AdaptiveLimit{Initial: 3, Max: 50}
	for range 3000 {
		n := a.Limit()
		a.Observe(time.Duration(max(1, n/4))*5*time.Millisecond, n)
	}
	qt.Assert(t, a.Limit() <= 16, qt.IsTrue, qt.Commentf("%d", a.Limit()))
	qt.Assert(t, a.Limit() >= 4, qt.IsTrue, qt.Commentf("%d", a.Limit()))
}
