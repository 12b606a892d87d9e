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

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("entry-%d", i)
	}
	return out
}

func TestSharesFillTheLimitAndNoMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Shares{Limit: rapid.IntRange(0, 60).Draw(t, "limit"), Control: rapid.IntRange(0, 20).Draw(t, "control")}
		holders := names(rapid.IntRange(1, 40).Draw(t, "holders"))
		sum := 0
		for _, h := range holders {
			sum += s.Of(h, "db-1", holders)
		}
		if want := max(0, s.Limit-s.Control); sum != want {
			t.Fatalf("shares sum to %d, want %d", sum, want)
		}
	})
}

// A failover's connections are refused: the list of instances lags, a new proxy
// took its share already and the others still had the larger ones. Whatever the
// order in which proxies start and stop and hear of it, the sum stays within.
func TestHeldSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tick, lagTicks = 100 * time.Millisecond, 10
		s := Shares{Limit: 25, Control: 5}
		all := names(6)
		held := make([]Held, len(all))
		running := make([]bool, len(all))
		var truth [][]string
		for n := range 80 {
			i := rapid.IntRange(0, 40).Draw(t, "flip")
			if i < len(all) {
				running[i] = !running[i]
				held[i] = Held{Lag: lagTicks * tick}
			}
			var live []string
			for i, h := range all {
				if running[i] {
					live = append(live, h)
				}
			}
			truth = append(truth, live)
			sum := 0
			for i, h := range all {
				if !running[i] {
					continue
				}
				// Each proxy sees the list as it was some time ago.
				old := max(0, n-rapid.IntRange(0, lagTicks-1).Draw(t, "old"))
				sum += held[i].Update(s.Of(h, "db", truth[old]), now.Add(time.Duration(n)*tick))
			}
			if sum > s.Limit-s.Control {
				t.Fatalf("%d connections held at tick %d", sum, n)
			}
		}
	})
}

type waiter struct {
	Ticket
	started bool
	refused *cwrefusal.Refusal
}

func wait(deadline time.Duration) *waiter {
	w := &waiter{}
	w.Deadline = now.Add(deadline)
	w.Ready = func(r *cwrefusal.Refusal) { w.started, w.refused = r == nil, r }
	return w
}

func TestGate(t *testing.T) {
	g := Gate{Limit: 1, QueueLimit: 2}
	first, second, third, fourth := wait(time.Second), wait(time.Second), wait(time.Second), wait(time.Second)
	for _, w := range []*waiter{first, second, third, fourth} {
		g.Enter(&w.Ticket, now)
	}
	qt.Assert(t, first.started, qt.IsTrue)
	qt.Assert(t, second.started || second.refused != nil, qt.IsFalse)
	qt.Assert(t, fourth.refused.NotRun, qt.IsTrue)
	qt.Assert(t, fourth.refused.RetryAfter > 0, qt.IsTrue)
	g.Leave(10*time.Millisecond, now)
	qt.Assert(t, second.started, qt.IsTrue)
	g.Abandon(&third.Ticket)
	g.Leave(10*time.Millisecond, now)
	qt.Assert(t, third.started, qt.IsFalse)
	qt.Assert(t, g.Busy(), qt.Equals, 0)

	t.Run("who cannot make it is refused at once", func(t *testing.T) {
		g := Gate{Limit: 1, QueueLimit: 100}
		g.Enter(&wait(time.Hour).Ticket, now)
		g.Leave(time.Second, now)
		g.Enter(&wait(time.Hour).Ticket, now)
		late := wait(500 * time.Millisecond)
		g.Enter(&late.Ticket, now)
		qt.Assert(t, late.refused, qt.Not(qt.IsNil))
		qt.Assert(t, late.refused.RetryAfter, qt.Equals, time.Second)
	})
	t.Run("who has least time goes first", func(t *testing.T) {
		g := Gate{Limit: 1, QueueLimit: 100}
		g.Enter(&wait(time.Hour).Ticket, now)
		patient, urgent, second := wait(time.Hour), wait(time.Second), wait(time.Second)
		for _, w := range []*waiter{patient, urgent, second} {
			g.Enter(&w.Ticket, now)
		}
		g.Leave(time.Millisecond, now)
		qt.Assert(t, urgent.started && !second.started && !patient.started, qt.IsTrue)
		g.Leave(time.Millisecond, now)
		qt.Assert(t, second.started && !patient.started, qt.IsTrue)
	})
	t.Run("priority goes before haste, haste before patience", func(t *testing.T) {
		g := Gate{Limit: 1, QueueLimit: 100}
		g.Enter(&wait(time.Hour).Ticket, now)
		low, high, due := wait(time.Second), wait(time.Hour), wait(time.Hour)
		high.Priority, due.Priority = -1, -1
		due.Due = now
		for _, w := range []*waiter{low, high, due} {
			g.Enter(&w.Ticket, now)
		}
		g.Leave(time.Millisecond, now)
		qt.Assert(t, due.started && !high.started, qt.IsTrue)
		g.Leave(time.Millisecond, now)
		qt.Assert(t, high.started && !low.started, qt.IsTrue)
	})
	t.Run("who waited too long is refused when that is sure", func(t *testing.T) {
		g := Gate{Limit: 1, QueueLimit: 100}
		g.Enter(&wait(time.Hour).Ticket, now)
		w := wait(time.Second)
		g.Enter(&w.Ticket, now)
		g.Expire(now.Add(2 * time.Second))
		qt.Assert(t, w.refused.NotRun, qt.IsTrue)
		qt.Assert(t, g.Queued(), qt.Equals, 0)
	})
}

func TestBudgetBoundsRetries(t *testing.T) {
	b := Budget{Ratio: 0.1, Max: 5}
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

func TestAdaptiveLimitFindsTheKnee(t *testing.T) {
	// A target that executes four statements well at once: beyond, they queue.
	a := Adaptive{Seed: 3, Max: 50}
	for range 3000 {
		n := a.Limit()
		a.Observe(time.Duration(max(1, n/4))*5*time.Millisecond, n)
	}
	qt.Assert(t, a.Limit() <= 16, qt.IsTrue, qt.Commentf("%d", a.Limit()))
	qt.Assert(t, a.Limit() >= 4, qt.IsTrue, qt.Commentf("%d", a.Limit()))
}
