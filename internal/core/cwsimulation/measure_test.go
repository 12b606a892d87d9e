package cwsimulation

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

// seedCount returns the number of simulations for a measurement: few, as in CI, or the
// value of CICADAWALK_SEEDS, which is 1,000 for the figures in the documentation.
func seedCount(t *testing.T, few int) int {
	n, err := strconv.Atoi(os.Getenv("CICADAWALK_SEEDS"))
	if err != nil {
		return few
	}
	return n
}

// TestFailoverGap measures the longest time without an acknowledgement after each kind of
// failure of the primary, in virtual time.
func TestFailoverGap(t *testing.T) {
	for name, kind := range map[string]faultKind{
		"kill": killPrimary, "freeze": freezePrimary, "isolate": isolatePrimary, "desert": cutPrimaryFromReplicas,
	} {
		t.Run(name, func(t *testing.T) {
			var gaps []time.Duration
			writes, changes := 0, 0
			n := seedCount(t, 40)
			for seed := range n {
				sim := newSimulation(uint64(seed), withTermChecks)
				sim.every(10*time.Millisecond, sim.ledger.write)
				at := 2*time.Second + time.Duration(seed%100)*3*time.Millisecond
				sim.after(at, func() { sim.inject(fault{kind: kind, lasts: 8 * time.Second}) })
				sim.run(9 * time.Second)
				gaps = append(gaps, sim.longestPause())
				writes += sim.table.writes
				changes += len(sim.promoted) - 1
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

// TestAnySingleFaultWithinSevenSeconds measures the longest time without an acknowledgement
// after a single fault of every kind, while a majority of the databases and one proxy
// work.
func TestAnySingleFaultWithinSevenSeconds(t *testing.T) {
	var worst time.Duration
	for kind := range faultKinds {
		for seed := range seedCount(t, 6) {
			sim := newSimulation(uint64(seed), withTermChecks)
			sim.every(10*time.Millisecond, sim.ledger.write)
			sim.after(2*time.Second, func() {
				sim.inject(fault{kind: kind, lasts: 8 * time.Second, target: seed % 3, other: 1 + seed%2})
			})
			sim.run(11 * time.Second)
			worst = max(worst, sim.longestPause())
		}
	}
	cwbound.CheckBound(t, "failoverGapWorstMs/any", float64(worst.Milliseconds()))
}

// TestSteadyStateWritesNothing counts the writes to the table while there are no faults.
func TestSteadyStateWritesNothing(t *testing.T) {
	sim := newSimulation(1, withTermChecks)
	sim.every(10*time.Millisecond, sim.ledger.write)
	sim.run(60 * time.Second)
	cwbound.CheckBound(t, "tableWritesPerMinuteSteady", float64(sim.table.writes))
	cwbound.CheckBound(t, "changesPerMinuteSteady", float64(len(sim.promoted)-1))
}

// TestAcknowledgementRule compares two rules on the same seeds: to acknowledge a write
// when the primary has it, or when a majority has it. It measures the lost writes and the
// latency of writes.
func TestAcknowledgementRule(t *testing.T) {
	lost := map[bool]int{}
	var wait [2]time.Duration
	n := seedCount(t, 40)
	for seed := range n {
		for i, atPrimary := range []bool{false, true} {
			o := withTermChecks
			o.ackAtPrimary = atPrimary
			o.lag = 20 * time.Millisecond
			sim := newSimulation(uint64(seed), o)
			sim.every(5*time.Millisecond, sim.ledger.write)
			sim.after(2*time.Second, func() { sim.inject(fault{kind: killPrimary, lasts: 4 * time.Second}) })
			sim.run(1900 * time.Millisecond)
			for _, r := range sim.ledger.requests {
				if r.acked {
					wait[i] += r.latency / time.Duration(len(sim.ledger.requests)*n)
				}
			}
			sim.run(10 * time.Second)
			sim.ledger.stopped = true
			sim.run(10 * time.Second)
			for _, v := range sim.ledger.violations(sim.primary().log) {
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

// session is a caller that reads and writes at random.
type session struct {
	sim         *simulation
	position    cwgroup.LogPosition
	lastRequest int
}

// TestReplicaReadShare measures the share of reads that replicas serve, for several
// delays in applying the log, shares of writes and routing policies.
func TestReplicaReadShare(t *testing.T) {
	for _, policy := range []struct {
		name string
		wait time.Duration
	}{{"toPrimary", 0}, {"wait50ms", 50 * time.Millisecond}, {"wait150ms", 150 * time.Millisecond}} {
		for _, lag := range []time.Duration{0, 10, 100, 1000} {
			for _, writes := range []float64{0.01, 0.1, 0.5} {
				o := withTermChecks
				o.replicaWait, o.applyLag = policy.wait, lag*time.Millisecond
				sim := newSimulation(7, o)
				for range 20 {
					s := &session{sim: sim}
					sim.every(50*time.Millisecond, func() { s.step(writes) })
				}
				sim.run(10 * time.Second)
				if len(sim.ledger.staleReads) > 0 {
					t.Fatalf("%v", sim.ledger.staleReads)
				}
				share := float64(sim.ledger.replicaReads) / float64(sim.ledger.reads)
				name := fmt.Sprintf("replicaReadShare/%s/lag%dms/writes%.0f%%", policy.name, lag, writes*100)
				t.Logf("%s = %.3f, waited %v a read", name, share, sim.ledger.readWait/time.Duration(sim.ledger.reads))
				if lag == 100 && writes == 0.1 {
					cwbound.CheckBound(t, name, share)
				}
			}
		}
	}
}

func (s *session) step(writes float64) {
	p := s.sim.ledger.proxy()
	if s.sim.rng.Float64() < writes {
		l := s.sim.ledger
		l.next++
		r := &request{id: l.next, startedAt: s.sim.now}
		r.done = func() { s.position, s.lastRequest = r.position, r.id }
		l.requests[r.id] = r
		l.try(r, p)
		return
	}
	if s.lastRequest == 0 {
		return
	}
	s.sim.ledger.routeRead(s.sim.ledger.requests[s.lastRequest], p, cwroute.Read{Floor: floorOf(s.position)})
}
