package cwoutlier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

var start = time.Unix(1000, 0)

// overdueAfter is when a simulated statement without an answer counts as missing, and
// room the time that its objective leaves.
const (
	overdueAfter = 250 * time.Millisecond
	room         = 200 * time.Millisecond
)

// fake is a member with a fault. Its statements take work on a free slot.
type fake struct {
	id         cwgroup.MemberID
	slotFreeAt [3]time.Time
	// from and to are the times between which the member has its fault.
	from, to time.Time
	// fault returns how a statement goes, given how it would go otherwise.
	fault func(r *rand.Rand, took time.Duration) (Outcome, time.Duration)
	// badHealth is true if health checks fail between from and to.
	badHealth bool
	reads     int
}

// run runs a statement.
func (f *fake) run(r *rand.Rand, now time.Time) (Outcome, time.Duration) {
	work := time.Duration((0.5 + r.ExpFloat64()/2) * float64(20*time.Millisecond))
	slot := 0
	for i, at := range f.slotFreeAt {
		if at.Before(f.slotFreeAt[slot]) {
			slot = i
		}
	}
	begin := now
	if f.slotFreeAt[slot].After(now) {
		begin = f.slotFreeAt[slot]
	}
	f.slotFreeAt[slot] = begin.Add(work)
	took := f.slotFreeAt[slot].Sub(now)
	if f.fault == nil || now.Before(f.from) || !now.Before(f.to) {
		return Served, took
	}
	return f.fault(r, took)
}

// outcome is what callers of the simulated group get.
type outcome struct {
	reads, bad int
	events     []Event
	// at has the time of each event since the start.
	at []time.Duration
}

// simulate runs a primary a, whose writes are a share of the statements, and the
// replicas b and c for 30 s. Reads go to the admitted member with the shortest queue.
func simulate(seed uint64, perSecond int, writes float64, members []*fake) outcome {
	var d Detector
	var out outcome
	type result struct {
		at     time.Time
		member cwgroup.MemberID
		r      Result
	}
	var pending []result
	r := rand.New(rand.NewPCG(seed, 2))
	record := func(e Event, now time.Time) {
		out.events, out.at = append(out.events, e), append(out.at, now.Sub(start))
	}
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(time.Duration(r.ExpFloat64() * float64(time.Second) / float64(perSecond))) {
		rest := pending[:0]
		for _, p := range pending {
			if p.at.After(now) {
				rest = append(rest, p)
			} else if e, ok := d.Record(p.member, p.r, p.at); ok {
				record(e, p.at)
			}
		}
		pending = rest
		var all []Candidate
		for _, m := range members {
			d.SetHealth(m.id, !m.badHealth || now.Before(m.from) || !now.Before(m.to), now)
			all = append(all, Candidate{Member: m.id, Slots: 3, Saturated: m.slotFreeAt[0].After(now.Add(room))})
		}
		for _, e := range d.Evaluate(all, now) {
			record(e, now)
		}
		to, write := members[0], r.Float64() < writes
		if !write {
			to = choose(&d, r, members, now)
			out.reads++
			to.reads++
		}
		ended, took := to.run(r, now)
		res := Result{Outcome: ended, SentAt: now, Took: took, Room: room}
		if write {
			res.Room = 0
		}
		if took > overdueAfter {
			res.MissingFor = took - overdueAfter
			pending = append(pending, result{now.Add(overdueAfter), to.id, Result{Outcome: Missing, SentAt: now}})
		}
		if ended != Missing {
			pending = append(pending, result{now.Add(took), to.id, res})
		}
		if !write && (ended != Served || took > room) {
			out.bad++
		}
	}
	return out
}

func choose(d *Detector, r *rand.Rand, members []*fake, now time.Time) *fake {
	var best *fake
	first := r.IntN(len(members))
	for i := range members {
		m := members[(first+i)%len(members)]
		switch d.Standing(m.id, now) {
		case TrialDue:
			d.BeginTrial(m.id, now)
			return m
		case Admitted:
			if best == nil || m.slotFreeAt[0].Before(best.slotFreeAt[0]) {
				best = m
			}
		}
	}
	return best
}

func group(c fake) []*fake {
	c.id = "c"
	return []*fake{{id: "a"}, {id: "b"}, &c}
}

// sometimes returns a fault that a share of the statements has.
func sometimes(share float64, ended Outcome, took time.Duration) func(*rand.Rand, time.Duration) (Outcome, time.Duration) {
	return func(r *rand.Rand, usual time.Duration) (Outcome, time.Duration) {
		if r.Float64() < share {
			return ended, took
		}
		return Served, usual
	}
}

// Guards against reads at a member that fails part of them, is slow, hangs, stops
// answering, or is healthy by its own account only, and against a member that is not
// readmitted once it is well. Without ejections a third of the reads goes there.
func TestBadMemberGetsFewReads(t *testing.T) {
	from, to := start.Add(5*time.Second), start.Add(17*time.Second)
	slow := func(_ *rand.Rand, usual time.Duration) (Outcome, time.Duration) { return Served, 15 * usual }
	for _, tc := range []struct {
		name   string
		member fake
		reason Reason
	}{
		{"errors", fake{fault: sometimes(0.3, Failed, 5*time.Millisecond)}, Errors},
		{"all errors, good health", fake{fault: sometimes(1, Failed, time.Millisecond)}, Errors},
		{"slow", fake{fault: slow}, Slow},
		{"hangs at times", fake{fault: sometimes(0.3, Missing, 2*time.Second)}, MissingAnswers},
		{"silent", fake{fault: sometimes(1, Missing, 2*time.Second)}, MissingAnswers},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.member.from, tc.member.to = from, to
			members := group(tc.member)
			out := simulate(1, 150, 0.12, members)
			qt.Assert(t, len(out.events) > 0, qt.IsTrue)
			t.Logf("%d of %d reads bad; ejected after %v; %d events", out.bad, out.reads, out.at[0]-5*time.Second, len(out.events))
			qt.Assert(t, out.events[0], qt.Equals, Event{Member: "c", Reason: tc.reason, For: MinEjection})
			qt.Assert(t, out.at[0] < 8500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", out.at[0]))
			// A third of the reads of 12 s would be 528.
			qt.Assert(t, out.bad < 60, qt.IsTrue, qt.Commentf("%d bad", out.bad))
			last := out.events[len(out.events)-1]
			qt.Assert(t, last.For == 0 && last.Member == "c", qt.IsTrue, qt.Commentf("%v", out.events))
			qt.Assert(t, members[2].reads > 600, qt.IsTrue, qt.Commentf("%d reads", members[2].reads))
		})
	}
}

// Guards against the loss of a member that serves although its health checks fail, and
// against trials at one that does not.
func TestBadHealth(t *testing.T) {
	from, to := start.Add(5*time.Second), start.Add(17*time.Second)
	members := group(fake{from: from, to: to, badHealth: true})
	out := simulate(1, 150, 0.12, members)
	qt.Assert(t, out.bad, qt.Equals, 0)
	qt.Assert(t, out.events[0], qt.Equals, Event{Member: "c", Reason: BadHealth})
	qt.Assert(t, members[2].reads > 1000, qt.IsTrue, qt.Commentf("%d reads", members[2].reads))
	members = group(fake{from: from, to: to, badHealth: true, fault: sometimes(1, Missing, 2*time.Second)})
	out = simulate(1, 150, 0.12, members)
	qt.Assert(t, out.bad <= 1, qt.IsTrue, qt.Commentf("%d bad", out.bad))
}

// Guards against ejections from a healthy group: under overload, with a primary that
// has most of the work, with errors that callers cause, and without traffic.
func TestHealthyGroupKeepsItsMembers(t *testing.T) {
	callerErrors := sometimes(0.2, Failed, time.Millisecond)
	for _, tc := range []struct {
		name      string
		perSecond int
		writes    float64
		fault     func(*rand.Rand, time.Duration) (Outcome, time.Duration)
	}{
		{"light load", 5, 0.12, nil},
		{"usual load", 150, 0.12, nil},
		{"overload", 520, 0.12, nil},
		{"overload by writes", 300, 0.6, nil},
		{"errors at all members", 150, 0.12, callerErrors},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(5) {
				members := group(fake{})
				for _, m := range members {
					m.from, m.to, m.fault = start, start.Add(time.Hour), tc.fault
				}
				out := simulate(seed, tc.perSecond, tc.writes, members)
				qt.Assert(t, out.events, qt.HasLen, 0, qt.Commentf("seed %d, %d of %d bad", seed, out.bad, out.reads))
			}
		})
	}
}

// Guards against a group without members for reads, and ejections outside of their
// bounds, whatever the results are.
func TestLimitsOfEjection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Detector
		var all []Candidate
		n := rapid.IntRange(1, 9).Draw(t, "members")
		for i := range n {
			all = append(all, Candidate{Member: cwgroup.MemberID(fmt.Sprint(i)), Slots: 3})
		}
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "results") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			c := rapid.SampledFrom(all).Draw(t, "member")
			if d.Standing(c.Member, now) == TrialDue {
				d.BeginTrial(c.Member, now)
			}
			ended := rapid.SampledFrom([]Outcome{Served, Served, Failed, Missing}).Draw(t, "outcome")
			d.Record(c.Member, Result{Outcome: ended, SentAt: now, Took: time.Duration(rapid.IntRange(0, 900).Draw(t, "took")) * time.Millisecond, Room: room}, now)
			for _, e := range d.Evaluate(all, now) {
				if e.For < MinEjection || e.For > MaxEjection {
					t.Fatalf("ejected for %v", e.For)
				}
			}
			if got := ejected(&d); got > max(1, n/maxEjectedDivisor) || got >= n {
				t.Fatalf("%d of %d members ejected", got, n)
			}
		}
	})
}

func TestEjectionTimeDoubles(t *testing.T) {
	var d Detector
	now := start
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		e := d.eject("c", Errors, now)
		qt.Assert(t, e.For, qt.Equals, want*time.Second)
		now = now.Add(e.For)
		qt.Assert(t, d.Standing("c", now.Add(-1)), qt.Equals, Ejected)
		qt.Assert(t, d.Standing("c", now), qt.Equals, TrialDue)
		d.BeginTrial("c", now)
		qt.Assert(t, d.Standing("c", now), qt.Equals, Ejected)
	}
	d.readmit("c", now)
	qt.Assert(t, d.eject("c", Errors, now.Add(MaxEjection)).For, qt.Equals, MinEjection)
}

// Guards against a member that gets no reads for good because a trial got no result while
// its health checks failed.
func TestTrialWithoutResultAtUnhealthyMember(t *testing.T) {
	var d Detector
	now := start
	healthy := []Candidate{{Member: "a", Slots: 3}, {Member: "b", Slots: 3}}
	d.Record("c", Result{Outcome: Served, SentAt: now}, now)
	d.SetHealth("c", false, now)
	now = now.Add(MinEjection)
	qt.Assert(t, d.Standing("c", now), qt.Equals, TrialDue)
	d.BeginTrial("c", now)
	now = now.Add(trialTimeout + time.Millisecond)
	d.Evaluate(healthy, now)
	qt.Assert(t, d.Standing("c", now.Add(MaxEjection)), qt.Equals, TrialDue)
}

// Guards against a healthy primary that is replaced because the statement of a trial was not
// sent.
func TestTrialWithoutResultConfirmsNothing(t *testing.T) {
	var d Detector
	all := []Candidate{{Member: "a", Slots: 3}, {Member: "b", Slots: 3}, {Member: "c", Slots: 3}}
	d.eject("c", Errors, start)
	now := start.Add(MinEjection)
	d.BeginTrial("c", now)
	now = now.Add(trialTimeout + time.Millisecond)
	d.Evaluate(all, now)
	qt.Assert(t, d.Confirmed("c"), qt.IsFalse)
	qt.Assert(t, d.Standing("c", now), qt.Equals, Ejected)
	qt.Assert(t, d.Standing("c", now.Add(MinEjection)), qt.Equals, TrialDue)
	d.BeginTrial("c", now.Add(MinEjection))
	d.Record("c", Result{Outcome: Failed, SentAt: now.Add(MinEjection)}, now.Add(MinEjection))
	qt.Assert(t, d.Confirmed("c"), qt.IsTrue)
}

// ejected returns the number of members that are ejected.
func ejected(d *Detector) int {
	n := 0
	for _, s := range d.members {
		if s.reason != "" {
			n++
		}
	}
	return n
}
