package cwproof

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
	"cicadawalk.example/cicadawalk/internal/tool/cwbound"
)

// seeds is how many worlds a measurement runs: few in CI, 1,000 for the pages.
func seeds(t *testing.T, few int) int {
	n, err := strconv.Atoi(os.Getenv("CICADAWALK_SEEDS"))
	if err != nil {
		return few
	}
	return n
}

// TestFailoverGap measures how long nothing is acknowledged after each kind of
// loss of the primary, in virtual time.
func TestFailoverGap(t *testing.T) {
	for name, kind := range map[string]faultKind{
		"kill": killPrimary, "freeze": freezePrimary, "isolate": isolatePrimary, "desert": cutPrimaryFromReplicas,
	} {
		t.Run(name, func(t *testing.T) {
			var gaps []time.Duration
			writes, changes := 0, 0
			n := seeds(t, 40)
			for seed := range n {
				w := newWorld(uint64(seed), checked)
				w.every(10*time.Millisecond, w.ledger.write)
				at := 2*time.Second + time.Duration(seed%100)*3*time.Millisecond
				w.after(at, func() { w.inject(fault{kind: kind, lasts: 8 * time.Second}) })
				w.run(9 * time.Second)
				gaps = append(gaps, w.longestPause())
				writes += w.table.writes
				changes += len(w.promoted) - 1
			}
			slices.Sort(gaps)
			t.Logf("%s over %d seeds: p50 %v p90 %v p99 %v max %v", name, n, gaps[n/2], gaps[n*9/10], gaps[n*99/100], gaps[n-1])
			cwbound.CheckBound(t, "failoverGapMedianMs/"+name, float64(gaps[n/2].Milliseconds()))
			cwbound.CheckBound(t, "failoverGapWorstMs/"+name, float64(gaps[n-1].Milliseconds()))
			cwbound.CheckBound(t, "tableWritesPerFailover/"+name, float64(writes)/float64(n))
			cwbound.CheckBound(t, "changesPerFailover/"+name, float64(changes)/float64(n))
		})
	}
}

// TestAnyScheduleWithinSevenSeconds measures the longest time without an
// acknowledgement that follows a failure while a majority of databases and one
// proxy are well, over single failures of every kind.
func TestAnyScheduleWithinSevenSeconds(t *testing.T) {
	var worst time.Duration
	for kind := range faultKinds {
		for seed := range seeds(t, 6) {
			w := newWorld(uint64(seed), checked)
			w.every(10*time.Millisecond, w.ledger.write)
			w.after(2*time.Second, func() {
				w.inject(fault{kind: kind, lasts: 8 * time.Second, target: seed % 3, other: 1 + seed%2})
			})
			w.run(11 * time.Second)
			worst = max(worst, w.longestPause())
		}
	}
	cwbound.CheckBound(t, "failoverGapWorstMs/any", float64(worst.Milliseconds()))
}

// TestSteadyStateWritesNothing counts the table's writes while nothing fails.
func TestSteadyStateWritesNothing(t *testing.T) {
	w := newWorld(1, checked)
	w.every(10*time.Millisecond, w.ledger.write)
	w.run(60 * time.Second)
	cwbound.CheckBound(t, "tableWritesPerMinuteSteady", float64(w.table.writes))
	cwbound.CheckBound(t, "changesPerMinuteSteady", float64(len(w.promoted)-1))
}

// TestAcknowledgementRule compares acknowledging at the primary with
// acknowledging on a majority: what is lost on the same seeds, and what each
// adds to a write.
func TestAcknowledgementRule(t *testing.T) {
	lost := map[bool]int{}
	var wait [2]time.Duration
	n := seeds(t, 40)
	for seed := range n {
		for i, atPrimary := range []bool{false, true} {
			o := checked
			o.ackAtPrimary = atPrimary
			o.lag = 20 * time.Millisecond
			w := newWorld(uint64(seed), o)
			w.every(5*time.Millisecond, w.ledger.write)
			w.after(2*time.Second, func() { w.inject(fault{kind: killPrimary, lasts: 4 * time.Second}) })
			w.run(1900 * time.Millisecond)
			for _, r := range w.ledger.requests {
				if r.acked {
					wait[i] += r.took / time.Duration(len(w.ledger.requests)*n)
				}
			}
			w.run(10 * time.Second)
			w.ledger.stopped = true
			w.run(10 * time.Second)
			for _, v := range w.ledger.violations(w.primary().log) {
				if v[:4] == "lost" {
					lost[atPrimary]++
				}
			}
		}
	}
	t.Logf("over %d seeds: majority lost %d, %v a write; primary alone lost %d, %v a write", n, lost[false], wait[0], lost[true], wait[1])
	cwbound.CheckBound(t, "lostAcknowledged/majority", float64(lost[false]))
	cwbound.CheckBound(t, "lostAcknowledged/primaryAlone", float64(lost[true]))
}

// session is a caller that reads and writes in turn.
type session struct {
	w    *world
	mark cwgroup.LogPosition
	last int
}

// TestReplicaReadShare measures the share of reads at replicas for replicas
// that show what they have later, write shares and two policies.
func TestReplicaReadShare(t *testing.T) {
	for _, policy := range []struct {
		name string
		wait time.Duration
	}{{"toPrimary", 0}, {"wait50ms", 50 * time.Millisecond}, {"wait150ms", 150 * time.Millisecond}} {
		for _, lag := range []time.Duration{0, 10, 100, 1000} {
			for _, writes := range []float64{0.01, 0.1, 0.5} {
				o := checked
				o.waitReads, o.applyLag = policy.wait, lag*time.Millisecond
				w := newWorld(7, o)
				for range 20 {
					s := &session{w: w}
					w.every(50*time.Millisecond, func() { s.step(writes) })
				}
				w.run(10 * time.Second)
				if len(w.ledger.stale) > 0 {
					t.Fatalf("%v", w.ledger.stale)
				}
				share := float64(w.ledger.replica) / float64(w.ledger.reads)
				name := fmt.Sprintf("replicaReadShare/%s/lag%dms/writes%.0f%%", policy.name, lag, writes*100)
				t.Logf("%s = %.3f, waited %v a read", name, share, w.ledger.waited/time.Duration(w.ledger.reads))
				if lag == 100 && writes == 0.1 {
					cwbound.CheckBound(t, name, share)
				}
			}
		}
	}
}

func (s *session) step(writes float64) {
	p := s.w.ledger.proxy()
	if s.w.rng.Float64() < writes {
		l := s.w.ledger
		l.next++
		r := &request{id: l.next, began: s.w.now}
		r.done = func() { s.mark, s.last = r.mark, r.id }
		l.requests[r.id] = r
		l.try(r, p)
		return
	}
	if s.last == 0 {
		return
	}
	s.w.ledger.placed(s.w.ledger.requests[s.last], p, cwroute.Read{Floor: floorOf(s.mark)})
}
