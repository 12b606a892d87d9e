package cwroute

import (
	"slices"
	"sort"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Parameters of an ApplyTracker.
const (
	// MaxBehind is the probability that a member lacks the floor of a read above which
	// a read sent there is rated with the work of a second attempt.
	MaxBehind = 0.01
	// timelineSpacing is the minimum time between two samples of the primary's log, and
	// timelineLength the number of samples kept: at least five seconds.
	timelineSpacing = 5 * time.Millisecond
	timelineLength  = 1024
	// observationSpacing is the minimum time between two observations of a member that
	// count in its distribution. Answers that follow one another closely show the same
	// state of the member, and would displace earlier observations.
	observationSpacing = 20 * time.Millisecond
	// trialInterval is the minimum time without an observation after which a member is
	// tried with one read although it probably lacks the floor. A member that has lacked
	// a record for long is tried each time that this time has grown by 1/trialGrowth.
	trialInterval = 500 * time.Millisecond
	trialGrowth   = 4
	// unlikelyMissing is the probability above which the floor is likely to be missing
	// even at a member that applies records as usual. Trials are then unlikely to
	// succeed and take place less often by unlikelyFactor.
	unlikelyMissing = 0.25
	unlikelyFactor  = 4
)

// ApplyTracker estimates the probability that a member has not yet applied a log
// position. It learns from the positions in answers and from refusals. All times are by
// this proxy's clock. The zero ApplyTracker is ready to use.
type ApplyTracker struct {
	// timeline has positions of the primary's log, in ascending order, each with the
	// time by which the log had reached it.
	timeline []sample
	members  map[cwgroup.MemberID]*appliedState
}

// appliedState is what is known about the application of the log at one member.
type appliedState struct {
	delay delayDistribution
	// applied is the newest position that the member is known to have applied.
	applied cwgroup.LogPosition
	// lacked is a position that the member had not applied at observedAt; zero if it
	// lacked no known position then. It is past applied.
	lacked     cwgroup.LogPosition
	observedAt time.Time
	// overstates is true if the member refused a floor in an answer whose position was
	// past that floor: its answers then show what it has received, not what it has
	// applied. Only the floors of the reads that it served count.
	overstates bool
	// countedAt is when an observation was last counted in delay, and triedAt when a
	// trial last began.
	countedAt, triedAt time.Time
}

// ObservePrimary records that the primary's log has reached m by now.
func (t *ApplyTracker) ObservePrimary(m cwgroup.LogPosition, now time.Time) {
	n := len(t.timeline)
	if n > 0 && t.timeline[n-1].position.AtLeast(m) {
		return
	}
	if n > 1 && now.Sub(t.timeline[n-2].at) < timelineSpacing {
		t.timeline[n-1] = sample{at: now, position: m}
		return
	}
	if n == 2*timelineLength {
		t.timeline = slices.Delete(t.timeline, 0, timelineLength)
	}
	t.timeline = append(t.timeline, sample{at: now, position: m})
}

// firstAtLeast returns the index of the first sample at or past m.
func (t *ApplyTracker) firstAtLeast(m cwgroup.LogPosition) int {
	return sort.Search(len(t.timeline), func(i int) bool { return t.timeline[i].position.AtLeast(m) })
}

// age returns how long before now the primary's log was known to have reached m; zero
// if it is not known to have reached it.
func (t *ApplyTracker) age(m cwgroup.LogPosition, now time.Time) time.Duration {
	i := t.firstAtLeast(m)
	if i == len(t.timeline) {
		return 0
	}
	return max(0, now.Sub(t.timeline[i].at))
}

// state returns the state of a member, and creates it if necessary.
func (t *ApplyTracker) state(id cwgroup.MemberID) *appliedState {
	if t.members == nil {
		t.members = make(map[cwgroup.MemberID]*appliedState)
	}
	s := t.members[id]
	if s == nil {
		s = &appliedState{}
		t.members[id] = s
	}
	return s
}

// Observe records the position m in a member's answer to a statement that was sent at
// sentAt and answered by now: the member had applied m, and nothing past it.
func (t *ApplyTracker) Observe(id cwgroup.MemberID, m cwgroup.LogPosition, sentAt, now time.Time) {
	s := t.state(id)
	if s.overstates {
		return
	}
	if m.AtLeast(s.applied) {
		s.applied = m
	}
	t.update(s, t.next(s.applied, sentAt), sentAt, now)
}

// ObserveServed records that a member served a read with floor.
func (t *ApplyTracker) ObserveServed(id cwgroup.MemberID, floor cwgroup.LogPosition, sentAt, now time.Time) {
	s := t.state(id)
	if !s.overstates || floor == (cwgroup.LogPosition{}) {
		return
	}
	if floor.AtLeast(s.applied) {
		s.applied = floor
	}
	t.update(s, cwgroup.LogPosition{}, sentAt, now)
}

// ObserveBehind records that a member refused a read sent at sentAt because it had not
// applied floor. m is the position in the answer.
func (t *ApplyTracker) ObserveBehind(id cwgroup.MemberID, floor, m cwgroup.LogPosition, sentAt, now time.Time) {
	s := t.state(id)
	s.overstates = m.AtLeast(floor)
	if s.overstates {
		s.applied = cwgroup.LogPosition{}
	}
	if s.applied.AtLeast(floor) {
		return
	}
	lacked := floor
	if next := t.next(s.applied, sentAt); !s.overstates && next != (cwgroup.LogPosition{}) && floor.AtLeast(next) {
		lacked = next
	}
	t.update(s, lacked, sentAt, now)
}

// next returns the first sample past m, or zero if the primary's log was not known to
// have reached it at the time at.
func (t *ApplyTracker) next(m cwgroup.LogPosition, at time.Time) cwgroup.LogPosition {
	i := t.firstAtLeast(m)
	if i < len(t.timeline) && t.timeline[i].position == m {
		i++
	}
	if i == len(t.timeline) || t.timeline[i].at.After(at) {
		return cwgroup.LogPosition{}
	}
	return t.timeline[i].position
}

// update records an observation of a member: that it had applied s.applied by now, and
// that it had not applied lacked, if that is not zero, at sentAt.
func (t *ApplyTracker) update(s *appliedState, lacked cwgroup.LogPosition, sentAt, now time.Time) {
	appliedAge, lackedAge := time.Duration(-1), time.Duration(-1)
	if i := t.firstAtLeast(s.applied); i < len(t.timeline) && t.timeline[i].position == s.applied {
		appliedAge = max(0, now.Sub(t.timeline[i].at))
	} else if i > 0 {
		appliedAge = max(0, now.Sub(t.timeline[i-1].at))
	}
	if lacked != (cwgroup.LogPosition{}) {
		lackedAge = t.age(lacked, sentAt)
	}
	if !sentAt.Before(s.observedAt) {
		s.lacked, s.observedAt = lacked, sentAt
	}
	if now.Sub(s.countedAt) >= observationSpacing {
		s.countedAt = now
		s.delay.observe(appliedAge, lackedAge)
	}
}

// Forget discards what a member has applied. The distribution of its delay is kept.
func (t *ApplyTracker) Forget(id cwgroup.MemberID) {
	if s := t.members[id]; s != nil {
		*s = appliedState{delay: s.delay}
	}
}

// Remove discards everything about a member.
func (t *ApplyTracker) Remove(id cwgroup.MemberID) { delete(t.members, id) }

// Behind returns the probability that a member has not applied floor at the time at.
//
// If the member is known to have lacked an earlier position, it lacks the floor at
// least as long as that position. So a member that stands still is noticed by the first
// answer that shows it, whatever its delay was before.
func (t *ApplyTracker) Behind(id cwgroup.MemberID, floor cwgroup.LogPosition, at time.Time) float64 {
	s := t.state(id)
	if s.applied.AtLeast(floor) {
		return 0
	}
	p := s.delay.missingAt(t.age(floor, at))
	if s.lacked == (cwgroup.LogPosition{}) || !floor.AtLeast(s.lacked) || at.Before(s.observedAt) {
		return p
	}
	lackedAge := t.age(s.lacked, s.observedAt)
	since := at.Sub(s.observedAt)
	return max(p, min(1, s.delay.missingAt(lackedAge+since)/s.delay.missingAt(lackedAge)))
}

// Hold returns the shortest time after which the member lacks the floor with a
// probability of at most MaxBehind. The second result is false if that takes longer
// than limit.
func (t *ApplyTracker) Hold(id cwgroup.MemberID, floor cwgroup.LogPosition, now time.Time, limit time.Duration) (time.Duration, bool) {
	age := t.age(floor, now)
	for _, a := range ages {
		hold := a - age
		switch {
		case hold <= 0:
			continue
		case hold > limit:
			return 0, false
		case t.Behind(id, floor, now.Add(hold)) <= MaxBehind:
			return hold, true
		}
	}
	return 0, false
}

// TrialDue reports whether a read may try a member that probably lacks the floor,
// because it has not been observed for long. Without trials, a member that is avoided
// because it stood still would never be known to have caught up.
func (t *ApplyTracker) TrialDue(id cwgroup.MemberID, floor cwgroup.LogPosition, now time.Time) bool {
	s := t.state(id)
	interval := trialInterval
	if s.lacked != (cwgroup.LogPosition{}) {
		interval = max(interval, t.age(s.lacked, s.observedAt)/trialGrowth)
	}
	if s.delay.missingAt(t.age(floor, now)) > unlikelyMissing && !s.observedAt.IsZero() {
		interval *= unlikelyFactor
	}
	last := s.observedAt
	if s.triedAt.After(last) {
		last = s.triedAt
	}
	return now.Sub(last) >= interval
}

// BeginTrial records that a read tries a member at now.
func (t *ApplyTracker) BeginTrial(id cwgroup.MemberID, now time.Time) { t.state(id).triedAt = now }

// Fastest returns the target with the shortest expected response time for a read that
// needs floor. If Hold of the target is positive, the read waits for that time and is
// placed anew. It waits for at most holdLimit. The second result is false if targets is
// empty. The primary has every position; of the other targets, Fastest sets Behind,
// Hold and Trial.
func (t *ApplyTracker) Fastest(targets []ReadTarget, floor cwgroup.LogPosition, now time.Time, holdLimit time.Duration) (ReadTarget, bool) {
	options := make([]ReadTarget, 0, 2*len(targets))
	for _, o := range targets {
		if !o.Primary {
			o.Behind = t.Behind(o.Member, floor, now)
		}
		if o.Behind > MaxBehind {
			if hold, ok := t.Hold(o.Member, floor, now, holdLimit); ok {
				later := o
				later.Hold, later.Behind = hold, MaxBehind
				options = append(options, later)
			}
			if t.TrialDue(o.Member, floor, now) {
				o.Trial, o.Behind = true, 0
			}
		}
		options = append(options, o)
	}
	best, ok := FastestTarget(options)
	if best.Trial {
		t.BeginTrial(best.Member, now)
	}
	return best, ok
}
