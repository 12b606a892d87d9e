package cwlimit

import (
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// shared is a target that executes slots statements at once, in order of
// arrival, for several proxies.
type shared struct {
	slots int
	// free is when each slot is free again.
	free []time.Duration
}

func (s *shared) run(at, work time.Duration) time.Duration {
	best := 0
	for i := range s.free {
		if s.free[i] < s.free[best] {
			best = i
		}
	}
	done := max(at, s.free[best]) + work
	s.free[best] = done
	return done
}

// Eight proxies send one target a fifth more than it can do. Without a pace each
// statement waits in its queue behind all others; with one, the target's own
// time stays near the unloaded one, and the target is busy all the same.
func TestPaceKeepsTheQueueShort(t *testing.T) {
	const (
		proxies = 8
		work    = 18 * time.Millisecond
		step    = time.Millisecond
	)
	r := rand.New(rand.NewSource(1))
	target := &shared{slots: 3, free: make([]time.Duration, 3)}
	paces := make([]Pace, proxies)
	waiting := make([]int, proxies)
	type flight struct {
		proxy      int
		sent, done time.Duration
	}
	var flights []flight
	busy := make([]int, proxies)
	for i := range paces {
		paces[i] = Pace{Start: 3, Max: 20}
		for range 2 * paceSmoothing {
			paces[i].Observe(work, 0)
		}
	}
	served := 0
	var late, sum time.Duration
	const length = 20 * time.Second
	for now := time.Duration(0); now < length; now += step {
		kept := flights[:0]
		for _, f := range flights {
			if f.done > now {
				kept = append(kept, f)
				continue
			}
			busy[f.proxy]--
			paces[f.proxy].Observe(f.done-f.sent, waiting[f.proxy])
			if now > length/2 {
				served++
				sum += f.done - f.sent
				late = max(late, f.done-f.sent)
			}
		}
		flights = kept
		for p := range paces {
			if r.Float64() < 1.2*3/float64(work/step)/proxies && waiting[p] < 20 {
				waiting[p]++
			}
			for waiting[p] > 0 && busy[p] < paces[p].Limit() {
				waiting[p]--
				busy[p]++
				d := time.Duration(float64(work) * (0.5 + r.Float64()))
				flights = append(flights, flight{p, now, target.run(now, d)})
			}
		}
	}
	mean := sum / time.Duration(served)
	busyShare := float64(served) * float64(work) / float64(3*length/2)
	t.Logf("mean %v, worst %v at the target, %.0f%% of it used", mean, late, 100*busyShare)
	qt.Assert(t, mean < 4*work, qt.IsTrue, qt.Commentf("mean %v", mean))
	qt.Assert(t, busyShare > 0.9, qt.IsTrue, qt.Commentf("%.2f used", busyShare))
}

// Alone at a target that is not busy, a proxy is never held back for long.
func TestPaceGrowsWhileNothingQueues(t *testing.T) {
	p := Pace{Start: 1, Max: 10}
	for range 200 {
		p.Observe(10*time.Millisecond, 3)
	}
	qt.Assert(t, p.Limit(), qt.Equals, 10)
}
