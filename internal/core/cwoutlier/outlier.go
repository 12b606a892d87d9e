// Package cwoutlier finds the members of a group that serve callers worse than the
// other members, and decides when they get no reads.
//
// A Detector learns from the results of callers' statements alone: errors, missing
// answers, and times. A member that is an outlier is ejected: it gets no reads for a
// time that doubles with each ejection that follows soon. After that time, single reads
// try the member, and several successful ones in a row readmit it. Everything is
// relative to the other members. What slows down or fails at all members alike, such as
// overload or statements that are wrong, ejects none of them.
//
// A member whose health checks fail is ejected at once. If it served statements during
// these health checks, it gets trials like one that was ejected, and is readmitted if it
// serves them, whatever its health checks say.
//
// The package does no I/O; the time is passed in.
package cwoutlier

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Parameters of a Detector.
const (
	// MinEjection and MaxEjection bound the time of an ejection. It doubles from one to
	// the next, and starts again with MinEjection if the member was admitted for
	// MaxEjection in between. A member that misbehaves for a moment is missed for no
	// longer than that; one that stays bad gets three reads in half a minute at most.
	MinEjection = time.Second
	MaxEjection = 30 * time.Second
	// trialsNeeded is the number of successful trials in a row that readmit a member.
	// If half of its statements fail, seven in eight attempts to return fail.
	trialsNeeded = 3
	// trialTimeout is the time without a result after which a trial ends. A statement that
	// was sent has had a result by then, if only that its answer is overdue.
	trialTimeout = 2 * time.Second
	// evaluationInterval is the minimum time between two searches for outliers: a
	// fraction of the time that callers notice.
	evaluationInterval = 50 * time.Millisecond
	// maxEjectedDivisor is the divisor of the number of members that gives how many may
	// be ejected. One may be in any case if there are two or more.
	maxEjectedDivisor = 3
	// servedDuringCheck is the time before the loss of health from which on a served
	// statement shows that the member serves while its health checks fail. It is shorter
	// than the time after which a health check without an answer has failed, so that a
	// member that stopped answering is not tried.
	servedDuringCheck = 250 * time.Millisecond
	// servedMemory is the time for which a served statement proves that a member serves
	// although its health checks fail.
	servedMemory = time.Second
)

// Outcome is how a statement ended.
type Outcome uint8

// The outcomes of a statement.
const (
	// Served is a statement that the member answered.
	Served Outcome = iota
	// Failed is a statement that the member answered with an error, or whose connection
	// it closed.
	Failed
	// Missing is a statement without an answer in time.
	Missing
)

// Result is the result of a caller's statement at a member.
type Result struct {
	Outcome Outcome
	SentAt  time.Time
	// Took is the time that the statement took; zero if it was not measured. Room is
	// the time that the latency objective of its operation left for it; zero if that
	// does not matter.
	Took, Room time.Duration
	// MissingFor is the time since the statement was recorded as missing; zero if it was
	// not. A statement that is served after all was slow, and not missing.
	MissingFor time.Duration
}

// overran reports whether the statement took longer than there was room for.
func (r Result) overran() bool { return r.Room > 0 && r.Took > r.Room }

// Reason is why a member is ejected.
type Reason string

// The reasons.
const (
	Errors         Reason = "errors"
	MissingAnswers Reason = "missingAnswers"
	Slow           Reason = "slow"
	// BadHealth is a member whose health checks fail.
	BadHealth Reason = "badHealth"
)

// Standing says whether a member gets reads.
type Standing uint8

// The standings.
const (
	// Admitted is a member that gets reads.
	Admitted Standing = iota
	// Ejected is a member that gets none, unless no other member can serve them.
	Ejected
	// TrialDue is a member that gets the next read; see BeginTrial.
	TrialDue
)

// Candidate is a member that could serve reads.
type Candidate struct {
	Member cwgroup.MemberID
	// Slots is the number of statements that the member executes concurrently.
	Slots int
	// Saturated is true if statements wait for the member.
	Saturated bool
}

// Event is a change of a member's standing.
type Event struct {
	Member cwgroup.MemberID
	Reason Reason
	// For is the time of the ejection; zero if the member was readmitted.
	For time.Duration
}

// Detector tracks the members of one group. The zero Detector is ready to use. It is
// not safe for concurrent use.
type Detector struct {
	members       map[cwgroup.MemberID]*memberState
	nextEvaluated time.Time
}

// memberState is what is known about one member.
type memberState struct {
	counts counts
	// servedAt is when the latest statement that was served had been sent.
	servedAt time.Time
	// reason is why the member is ejected; empty if it is admitted. ejectedAt is when it
	// was ejected, or last readmitted, and until the end of the ejection, which took
	// ejection.
	reason    Reason
	ejectedAt time.Time
	until     time.Time
	ejection  time.Duration
	// trialAt is when the trial in progress began; zero if there is none. trials is the
	// number of successful ones in a row.
	trialAt time.Time
	trials  int
	// healthDoubted is true while the member's health checks fail although it serves or
	// may serve statements.
	healthDoubted bool
}

func (d *Detector) state(id cwgroup.MemberID) *memberState {
	if d.members == nil {
		d.members = make(map[cwgroup.MemberID]*memberState)
	}
	s := d.members[id]
	if s == nil {
		s = &memberState{}
		d.members[id] = s
	}
	return s
}

// Remove discards what is known about a member.
func (d *Detector) Remove(id cwgroup.MemberID) { delete(d.members, id) }

// Record records the result of a statement. If it ends the last trial that a member
// needed, or shows that the member is not to be readmitted, that is returned as an
// event.
func (d *Detector) Record(id cwgroup.MemberID, r Result, now time.Time) (Event, bool) {
	s := d.state(id)
	if r.SentAt.Before(s.ejectedAt) {
		return Event{}, false
	}
	if r.Outcome == Served && r.SentAt.After(s.servedAt) {
		s.servedAt = r.SentAt
	}
	if s.reason == "" {
		s.counts.add(r, now)
		return Event{}, false
	}
	if s.trialAt.IsZero() || r.SentAt.Before(s.trialAt) {
		return Event{}, false
	}
	s.trialAt = time.Time{}
	if r.Outcome != Served || s.reason == Slow && r.overran() {
		return d.eject(id, s.reason, now), true
	}
	s.trials++
	if s.trials < trialsNeeded {
		return Event{}, false
	}
	return d.readmit(id, now), true
}

// eject ejects a member, or ejects it for longer.
func (d *Detector) eject(id cwgroup.MemberID, why Reason, now time.Time) Event {
	s := d.state(id)
	if s.reason == "" && now.Sub(s.ejectedAt) >= MaxEjection {
		s.ejection = 0
	}
	s.ejection = min(max(MinEjection, 2*s.ejection), MaxEjection)
	s.reason, s.ejectedAt, s.until = why, now, now.Add(s.ejection)
	s.trialAt, s.trials, s.counts, s.healthDoubted = time.Time{}, 0, counts{}, false
	return Event{Member: id, Reason: why, For: s.ejection}
}

func (d *Detector) readmit(id cwgroup.MemberID, now time.Time) Event {
	s := d.state(id)
	e := Event{Member: id, Reason: s.reason}
	s.reason, s.ejectedAt, s.trialAt, s.trials = "", now, time.Time{}, 0
	return e
}

// SetHealth records whether the health checks of a member succeed. If they fail, the
// member is ejected, unless trials have readmitted it and it still serves. If they
// succeed again, an ejection for that reason ends.
func (d *Detector) SetHealth(id cwgroup.MemberID, good bool, now time.Time) {
	s := d.state(id)
	switch {
	case good && s.reason == BadHealth:
		d.readmit(id, now)
		s.ejection, s.healthDoubted = 0, false
	case good:
		s.healthDoubted = s.healthDoubted && s.reason != ""
	case s.reason == "" && !(s.healthDoubted && now.Sub(s.servedAt) < servedMemory):
		doubted := s.healthDoubted || now.Sub(s.servedAt) < servedDuringCheck
		d.eject(id, BadHealth, now)
		s.healthDoubted = doubted
	}
}

// Standing returns whether a member gets reads.
func (d *Detector) Standing(id cwgroup.MemberID, now time.Time) Standing {
	s := d.state(id)
	switch {
	case s.reason == "":
		return Admitted
	case now.Before(s.until) || !s.trialAt.IsZero(),
		s.reason == BadHealth && !s.healthDoubted:
		return Ejected
	}
	return TrialDue
}

// BeginTrial records that a read tries a member whose trial is due.
func (d *Detector) BeginTrial(id cwgroup.MemberID, now time.Time) { d.state(id).trialAt = now }

// HealthDoubted reports whether a member whose health checks fail serves, or may serve,
// statements all the same.
func (d *Detector) HealthDoubted(id cwgroup.MemberID) bool { return d.state(id).healthDoubted }

// Reason returns why a member is ejected; empty if it is admitted.
func (d *Detector) Reason(id cwgroup.MemberID) Reason { return d.state(id).reason }

// Confirmed reports whether a member is ejected for how it serves callers and was
// ejected before that: its trials failed, or it was an outlier again soon after they
// succeeded.
func (d *Detector) Confirmed(id cwgroup.MemberID) bool {
	s := d.state(id)
	return s.reason != "" && s.reason != BadHealth && s.ejection > MinEjection
}
