package cwroute

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// member simulates a database that executes a few statements concurrently and
// queues the others in order of arrival.
type member struct {
	id      cwgroup.MemberID
	primary bool
	// slotFreeAt is the time from which each slot is free.
	slotFreeAt []time.Duration
}

// execute runs a statement that arrives at now and returns the time at which it
// ends.
func (m *member) execute(now, work time.Duration) time.Duration {
	i := slices.Index(m.slotFreeAt, slices.Min(m.slotFreeAt))
	m.slotFreeAt[i] = max(now, m.slotFreeAt[i]) + work
	return m.slotFreeAt[i]
}

// memberStats is what one proxy knows about a member from its own statements:
// the end times of those in progress and the average latency.
type memberStats struct {
	endTimes []time.Duration
	latency  time.Duration
}

// record adds a statement that started at now and ends at end.
func (s *memberStats) record(now, end time.Duration) {
	s.endTimes = append(s.endTimes, end)
	s.latency += (end - now - s.latency) / 16
}

// readTarget returns the member as a ReadTarget at time now.
func (s *memberStats) readTarget(m *member, now time.Duration) ReadTarget {
	s.endTimes = slices.DeleteFunc(s.endTimes, func(end time.Duration) bool { return end <= now })
	return ReadTarget{Member: m.id, Primary: m.primary, Latency: s.latency, InFlight: len(s.endTimes), Slots: len(m.slotFreeAt)}
}

// simulateLoad simulates eight proxies for one minute that send writes to the
// primary and reads to the member that choose returns. It returns the shares of
// writes and reads that ended within aim.
func simulateLoad(aim time.Duration, choose func([]ReadTarget) ReadTarget) (writes, reads float64) {
	r := rand.New(rand.NewPCG(1, 2))
	members := []*member{
		{id: "a", primary: true, slotFreeAt: make([]time.Duration, 3)},
		{id: "b", slotFreeAt: make([]time.Duration, 3)},
		{id: "c", slotFreeAt: make([]time.Duration, 3)},
	}
	var proxies [8][3]memberStats
	var onTime, all [2]float64
	for now := time.Duration(0); now < time.Minute; now += time.Duration(r.ExpFloat64() * float64(time.Second/380)) {
		work := time.Duration((0.5 + r.ExpFloat64()/2) * float64(18*time.Millisecond))
		proxy := &proxies[r.IntN(len(proxies))]
		kind, to := 0, 0
		if r.Float64() < 0.65 {
			kind = 1
			var targets []ReadTarget
			for i, m := range members {
				targets = append(targets, proxy[i].readTarget(m, now))
			}
			o := choose(targets)
			to = slices.IndexFunc(members, func(m *member) bool { return m.id == o.Member })
		}
		end := members[to].execute(now, work)
		proxy[to].record(now, end)
		all[kind]++
		if end-now <= aim {
			onTime[kind]++
		}
	}
	return onTime[0] / all[0], onTime[1] / all[1]
}

// Guards against reads that fill up the primary, so that writes miss their
// latency target while replicas are idle. Three members with three slots each
// get 380 statements of 18 ms per second, 35% of them writes, which only the
// primary executes.
//
// The share of writes within 60 ms is 0.87 without PrimaryPenaltyPercent and 0.91
// with it; that of reads is 0.99 in both cases.
func TestReadsLeavePrimaryCapacityForWrites(t *testing.T) {
	const aim = 60 * time.Millisecond
	fastest := func(targets []ReadTarget) ReadTarget {
		o, _ := FastestTarget(targets)
		return o
	}
	withoutPrimaryPenalty := func(targets []ReadTarget) ReadTarget {
		for i := range targets {
			targets[i].Primary = false
		}
		return fastest(targets)
	}
	writesBefore, readsBefore := simulateLoad(aim, withoutPrimaryPenalty)
	writes, reads := simulateLoad(aim, fastest)
	t.Logf("within the latency target: writes %.2f without the primary penalty, %.2f with it; reads %.2f without, %.2f with", writesBefore, writes, readsBefore, reads)
	qt.Assert(t, 1-writes < 0.8*(1-writesBefore), qt.IsTrue)
	qt.Assert(t, reads > readsBefore-0.02, qt.IsTrue)
}
