package cwlimit

import (
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// sharedTarget simulates a target that executes as many statements concurrently
// as it has slots, in order of arrival, for several proxies.
type sharedTarget struct {
	slots int
	// slotFreeAt is the time from which each slot is free.
	slotFreeAt []time.Duration
}

// execute runs a statement that arrives at the time at and returns the time at
// which it ends.
func (s *sharedTarget) execute(at, work time.Duration) time.Duration {
	best := 0
	for i := range s.slotFreeAt {
		if s.slotFreeAt[i] < s.slotFreeAt[best] {
			best = i
		}
	}
	done := max(at, s.slotFreeAt[best]) + work
	s.slotFreeAt[best] = done
	return done
}

// Guards against a long queue at the target. Eight proxies send a target a fifth
// more statements than it can execute. Without a ConcurrencyLimit each statement
// waits there behind all others; with it, the time at the target stays near the
// unloaded time while the target stays fully used.
func TestConcurrencyLimitKeepsQueueShort(t *testing.T) {
	const (
		proxies = 8
		work    = 18 * time.Millisecond
		step    = time.Millisecond
	)
	r := rand.New(rand.NewSource(1))
	target := &sharedTarget{slots: 3, slotFreeAt: make([]time.Duration, 3)}
	limits := make([]ConcurrencyLimit, proxies)
	waiting := make([]int, proxies)
	type statement struct {
		proxy      int
		sent, done time.Duration
	}
	var running []statement
	busy := make([]int, proxies)
	for i := range limits {
		limits[i] = ConcurrencyLimit{Initial: 3, Max: 20}
		for range 2 * averageDivisor {
			limits[i].Observe(work, 0)
		}
	}
	served := 0
	var worst, sum time.Duration
	const length = 20 * time.Second
	for now := time.Duration(0); now < length; now += step {
		kept := running[:0]
		for _, f := range running {
			if f.done > now {
				kept = append(kept, f)
				continue
			}
			busy[f.proxy]--
			limits[f.proxy].Observe(f.done-f.sent, waiting[f.proxy])
			if now > length/2 {
				served++
				sum += f.done - f.sent
				worst = max(worst, f.done-f.sent)
			}
		}
		running = kept
		for p := range limits {
			if r.Float64() < 1.2*3/float64(work/step)/proxies && waiting[p] < 20 {
				waiting[p]++
			}
			for waiting[p] > 0 && busy[p] < limits[p].Limit() {
				waiting[p]--
				busy[p]++
				d := time.Duration(float64(work) * (0.5 + r.Float64()))
				running = append(running, statement{p, now, target.execute(now, d)})
			}
		}
	}
	mean := sum / time.Duration(served)
	busyShare := float64(served) * float64(work) / float64(3*length/2)
	t.Logf("mean %v, worst %v at the target, %.0f%% of it used", mean, worst, 100*busyShare)
	qt.Assert(t, mean < 4*work, qt.IsTrue, qt.Commentf("mean %v", mean))
	qt.Assert(t, busyShare > 0.9, qt.IsTrue, qt.Commentf("%.2f used", busyShare))
}

// Guards against a limit that holds a proxy back at a target without a queue.
func TestConcurrencyLimitGrowsWithoutQueue(t *testing.T) {
	p := ConcurrencyLimit{Initial: 1, Max: 10}
	for range 200 {
		p.Observe(10*time.Millisecond, 3)
	}
	qt.Assert(t, p.Limit(), qt.Equals, 10)
}
