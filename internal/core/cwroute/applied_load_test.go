package cwroute

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// event is an action of a simulation at a virtual time.
type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// replicaSim simulates a primary a and the replicas b and c, which apply each record
// after a random delay, in order, and one proxy whose sessions write and read.
type replicaSim struct {
	r      *rand.Rand
	now    time.Time
	events eventQueue
	// delays are the mean delays of the replicas. c stands still from stallFrom to
	// stallTo.
	delays             [3]time.Duration
	stallFrom, stallTo time.Time
	// appliedAt has, for each member, the time at which each record is applied.
	appliedAt [3][]time.Time
	members   [3]member
	stats     [3]memberStats
	rule      readRule
	history   PositionHistory

	reads, behind, atPrimary int
	times                    []time.Duration
}

// readRule chooses the target of a read from targets without catch-up information, and
// learns from answers.
type readRule interface {
	observePrimary(m cwgroup.LogPosition, now time.Time)
	observe(id cwgroup.MemberID, m cwgroup.LogPosition, sentAt, now time.Time)
	observeBehind(id cwgroup.MemberID, floor, m cwgroup.LogPosition, sentAt, now time.Time)
	choose(targets []ReadTarget, floor cwgroup.LogPosition, now time.Time) ReadTarget
}

// averageLagRule adds the average lag, less the age of the floor, to the response time.
type averageLagRule struct {
	lag     LagTracker
	applied map[cwgroup.MemberID]cwgroup.LogPosition
}

func (u *averageLagRule) observePrimary(m cwgroup.LogPosition, now time.Time) {
	u.lag.ObservePrimary(m, now)
}

func (u *averageLagRule) observe(id cwgroup.MemberID, m cwgroup.LogPosition, _, now time.Time) {
	u.lag.ObserveReplica(id, m, now)
	u.applied[id] = m
}

func (*averageLagRule) observeBehind(_ cwgroup.MemberID, _, _ cwgroup.LogPosition, _, _ time.Time) {}

func (u *averageLagRule) choose(targets []ReadTarget, floor cwgroup.LogPosition, now time.Time) ReadTarget {
	for i, o := range targets {
		if !o.Primary && !u.applied[o.Member].AtLeast(floor) {
			targets[i].Hold = u.lag.CatchUp(o.Member, floor, now)
		}
	}
	o, _ := FastestTarget(targets)
	o.Hold = 0
	return o
}

// applyRule uses the distribution of each member's delay.
type applyRule struct{ ApplyTracker }

func (u *applyRule) observePrimary(m cwgroup.LogPosition, now time.Time) { u.ObservePrimary(m, now) }

func (u *applyRule) observe(id cwgroup.MemberID, m cwgroup.LogPosition, sentAt, now time.Time) {
	u.Observe(id, m, sentAt, now)
}

func (u *applyRule) observeBehind(id cwgroup.MemberID, floor, m cwgroup.LogPosition, sentAt, now time.Time) {
	u.ObserveBehind(id, floor, m, sentAt, now)
}

func (u *applyRule) choose(targets []ReadTarget, floor cwgroup.LogPosition, now time.Time) ReadTarget {
	o, _ := u.Fastest(targets, floor, now, simAim/2)
	return o
}

// simAim is the latency objective of the simulated reads.
const simAim = 250 * time.Millisecond

func (s *replicaSim) at(t time.Time, do func()) { heap.Push(&s.events, event{t, do}) }

// position returns the newest position that a member has applied.
func (s *replicaSim) position(i int) cwgroup.LogPosition {
	n, _ := slices.BinarySearchFunc(s.appliedAt[i], s.now, func(at, now time.Time) int {
		if at.After(now) {
			return 1
		}
		return -1
	})
	return cwgroup.LogPosition{Term: 1, Index: cwgroup.LogIndex(n)}
}

// commit appends a record and draws when each replica applies it.
func (s *replicaSim) commit() cwgroup.LogPosition {
	for i, mean := range s.delays {
		at := s.now
		if i > 0 {
			const sigma = 0.8
			d := math.Exp(s.r.NormFloat64()*sigma-sigma*sigma/2) * float64(mean)
			at = at.Add(time.Duration(min(d, 6*float64(mean))))
		}
		if i == 2 && at.After(s.stallFrom) && at.Before(s.stallTo) {
			at = s.stallTo
		}
		if n := len(s.appliedAt[i]); n > 0 && at.Before(s.appliedAt[i][n-1]) {
			at = s.appliedAt[i][n-1]
		}
		s.appliedAt[i] = append(s.appliedAt[i], at)
	}
	return cwgroup.LogPosition{Term: 1, Index: cwgroup.LogIndex(len(s.appliedAt[0]))}
}

const oneWay = time.Millisecond

// write runs a write of a session and then calls done with its position.
func (s *replicaSim) write(done func(cwgroup.LogPosition)) {
	began := s.now
	end := s.members[0].execute(began.Sub(now)+oneWay, s.work())
	s.stats[0].record(began.Sub(now), end+oneWay)
	s.at(now.Add(end), func() {
		m := s.commit()
		s.at(s.now.Add(oneWay), func() {
			s.history.Observe(m, began)
			s.rule.observePrimary(m, s.now)
			done(m)
		})
	})
}

func (s *replicaSim) work() time.Duration {
	return time.Duration((0.5 + s.r.ExpFloat64()/2) * float64(18*time.Millisecond))
}

// read runs a read that may see data of up to maxAge and must see lastWrite, and then
// calls done. tried are the members that refused it.
func (s *replicaSim) read(began time.Time, floor cwgroup.LogPosition, tried []cwgroup.MemberID, done func()) {
	var targets []ReadTarget
	for i := range s.members {
		if !slices.Contains(tried, s.members[i].id) {
			targets = append(targets, s.stats[i].readTarget(&s.members[i], s.now.Sub(now)))
		}
	}
	o := s.rule.choose(targets, floor, s.now)
	if o.Hold > 0 {
		s.at(s.now.Add(o.Hold), func() { s.read(began, floor, tried, done) })
		return
	}
	i := slices.IndexFunc(s.members[:], func(m member) bool { return m.id == o.Member })
	sentAt := s.now
	s.at(s.now.Add(oneWay), func() {
		if !s.position(i).AtLeast(floor) {
			m := s.position(i)
			s.at(s.now.Add(oneWay), func() {
				s.behind++
				s.rule.observe(o.Member, m, sentAt, s.now)
				s.rule.observeBehind(o.Member, floor, m, sentAt, s.now)
				s.read(began, floor, append(tried, o.Member), done)
			})
			return
		}
		end := s.members[i].execute(s.now.Sub(now), s.work())
		s.stats[i].record(sentAt.Sub(now), end+oneWay)
		s.at(now.Add(end), func() {
			m := s.position(i)
			s.at(s.now.Add(oneWay), func() {
				if i == 0 {
					s.atPrimary++
					s.history.Observe(m, sentAt)
					s.rule.observePrimary(m, s.now)
				} else {
					s.rule.observe(o.Member, m, sentAt, s.now)
				}
				s.reads++
				s.times = append(s.times, s.now.Sub(began))
				done()
			})
		})
	})
}

// runSession runs the operations of a session: 12% writes. Half of the writes are
// followed by a read at once.
func (s *replicaSim) runSession(lastWrite cwgroup.LogPosition) {
	read := func(m cwgroup.LogPosition, pause time.Duration) {
		s.at(s.now.Add(pause), func() {
			floor, _, _ := s.history.FirstSince(s.now.Add(-1500 * time.Millisecond))
			if m.AtLeast(floor) {
				floor = m
			}
			s.read(s.now, floor, nil, func() { s.runSession(m) })
		})
	}
	pause := time.Duration(s.r.ExpFloat64() * float64(180*time.Millisecond))
	if s.r.Float64() >= 0.12 {
		read(lastWrite, pause)
		return
	}
	s.at(s.now.Add(pause), func() {
		s.write(func(m cwgroup.LogPosition) {
			if s.r.IntN(2) == 0 {
				read(m, 0)
				return
			}
			s.runSession(m)
		})
	})
}

// replicaResult is the outcome of a simulation of 40 s.
type replicaResult struct {
	behind, atPrimary float64
	mean, p99         time.Duration
}

func simulateReplicas(rule readRule, sessions int, delays [3]time.Duration, stall bool) replicaResult {
	s := &replicaSim{r: rand.New(rand.NewPCG(1, 2)), now: now, delays: delays, rule: rule, stallFrom: now, stallTo: now}
	if stall {
		s.stallFrom, s.stallTo = now.Add(15*time.Second), now.Add(21*time.Second)
	}
	for i, id := range []cwgroup.MemberID{"a", "b", "c"} {
		s.members[i] = member{id: id, primary: i == 0, slotFreeAt: make([]time.Duration, 3)}
	}
	for range sessions {
		s.at(now, func() { s.runSession(cwgroup.LogPosition{}) })
	}
	for len(s.events) > 0 && s.events[0].at.Before(now.Add(40*time.Second)) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	slices.Sort(s.times)
	sum := time.Duration(0)
	for _, d := range s.times {
		sum += d
	}
	n := len(s.times)
	return replicaResult{
		behind: float64(s.behind) / float64(n), atPrimary: float64(s.atPrimary) / float64(n),
		mean: sum / time.Duration(n), p99: s.times[n*99/100],
	}
}

// Guards against reads that are refused because the replica has not applied their
// floor, where the delay varies or a replica stands still. Ninety sessions use nine
// tenths of the members' capacity.
func TestReadsAvoidMembersThatAreBehind(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name     string
		sessions int
		delays   [3]time.Duration
		stall    bool
	}{
		{"150 ms", 40, [3]time.Duration{0, 150 * ms, 150 * ms}, false},
		{"12 ms", 40, [3]time.Duration{0, 12 * ms, 12 * ms}, false},
		{"12 and 150 ms", 40, [3]time.Duration{0, 12 * ms, 150 * ms}, false},
		{"150 ms, one stands still", 40, [3]time.Duration{0, 150 * ms, 150 * ms}, true},
		{"12 ms, one stands still", 40, [3]time.Duration{0, 12 * ms, 12 * ms}, true},
		{"150 ms, few sessions, one stands still", 6, [3]time.Duration{0, 150 * ms, 150 * ms}, true},
		{"12 ms, high load, one stands still", 90, [3]time.Duration{0, 12 * ms, 12 * ms}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before := simulateReplicas(&averageLagRule{applied: map[cwgroup.MemberID]cwgroup.LogPosition{}}, tc.sessions, tc.delays, tc.stall)
			after := simulateReplicas(&applyRule{}, tc.sessions, tc.delays, tc.stall)
			t.Logf("by average lag %+v", before)
			t.Logf("by distribution %+v", after)
			qt.Assert(t, after.behind <= 0.01, qt.IsTrue)
			qt.Assert(t, after.mean <= before.mean*11/10, qt.IsTrue)
		})
	}
}
