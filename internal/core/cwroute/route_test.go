package cwroute

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwsession"
)

var now = time.Unix(1000, 0)

func report(id cwgroup.MemberID, r cwgroup.Role, adopted cwgroup.Term, applied cwgroup.LogPosition) cwgroup.Report {
	return cwgroup.Report{
		Status: cwgroup.Status{Member: id, Role: r, AdoptedTerm: adopted, Durable: applied, Applied: applied},
		At:     now, Reachable: true,
	}
}

func view(reports ...cwgroup.Report) cwgroup.View {
	v := cwgroup.NewView("g", []cwgroup.MemberID{"a", "b", "c"})
	for _, r := range reports {
		v = v.WithReport(r)
	}
	return v
}

func floor(t cwgroup.Term, p cwgroup.LogIndex) cwsession.Floor {
	return cwsession.Floor{Position: cwgroup.LogPosition{Term: t, Index: p}, Known: true}
}

// testGroup returns a view of a primary a at position 1/10, a replica b at 1/10 and
// a replica c at 1/7.
func testGroup() cwgroup.View {
	return view(
		report("a", cwgroup.RolePrimary, 1, cwgroup.LogPosition{Term: 1, Index: 10}),
		report("b", cwgroup.RoleReplica, 1, cwgroup.LogPosition{Term: 1, Index: 10}),
		report("c", cwgroup.RoleReplica, 1, cwgroup.LogPosition{Term: 1, Index: 7}))
}

// testCandidates returns a candidate for each member of testGroup.
func testCandidates() []Candidate {
	return []Candidate{
		{Member: "a"},
		{Member: "b", Distance: 2 * time.Millisecond, AgeKnown: true, Age: 50 * time.Millisecond, CatchUp: 0},
		{Member: "c", Distance: time.Millisecond, AgeKnown: true, Age: 900 * time.Millisecond, CatchUp: 30 * time.Millisecond},
	}
}

func TestRoute(t *testing.T) {
	primary := Decision{Action: Serve, Member: "a"}
	at := func(id cwgroup.MemberID) Decision { return Decision{Action: Serve, Member: id, Replica: true} }
	for _, tc := range []struct {
		name string
		v    cwgroup.View
		rd   Read
		want Decision
	}{
		{"nearest replica has the floor", testGroup(), Read{Floor: floor(1, 7)}, at("c")},
		{"only the farther replica has the floor", testGroup(), Read{Floor: floor(1, 9)}, at("b")},
		{"no replica has the floor", testGroup(), Read{Floor: floor(1, 11)}, primary},
		{"floor of a later term than the primary's", testGroup(), Read{Floor: floor(2, 3)}, Decision{Action: Refuse, RetryAfter: RetryAfter}},
		{"floor unknown", testGroup(), Read{}, Decision{Action: AskPrimary}},
		{"one replica within the maximum age", testGroup(), Read{MaxAge: 100 * time.Millisecond}, at("b")},
		{"no replica within the maximum age", testGroup(), Read{MaxAge: 10 * time.Millisecond}, Decision{Action: AskPrimary}},
		{"no replica within the maximum age, primary confirmed", testGroup(), Read{MaxAge: 10 * time.Millisecond, PrimaryConfirmed: true}, primary},
		{"maximum age and floor", testGroup(), Read{Floor: floor(1, 9), MaxAge: time.Second}, at("b")},
		{"no member known", view(), Read{Floor: floor(1, 1)}, Decision{Action: Refuse, RetryAfter: RetryAfter}},
		{"no primary, floor unknown", view(report("b", cwgroup.RoleReplica, 1, cwgroup.LogPosition{Term: 1, Index: 10})), Read{}, Decision{Action: Refuse, RetryAfter: RetryAfter}},
		{"no primary, floor known", view(report("b", cwgroup.RoleReplica, 1, cwgroup.LogPosition{Term: 1, Index: 10})), Read{Floor: floor(1, 9)}, at("b")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Assert(t, Router[PrimaryFallback]{}.Route(tc.v, testCandidates(), tc.rd, now), qt.Equals, tc.want)
		})
	}
}

// Guards against reads of unacknowledged records that disappear later. They come
// about if a read goes to a replaced primary, or to a replica whose log still
// ends in records of a diverged branch. Neither may serve reads, whatever its
// position.
func TestReplacedAndDivergedMembersServeNoReads(t *testing.T) {
	replaced := report("a", cwgroup.RolePrimary, 1, cwgroup.LogPosition{Term: 1, Index: 50})
	promoted := report("b", cwgroup.RolePrimary, 2, cwgroup.LogPosition{Term: 2, Index: 12})
	diverged := report("c", cwgroup.RoleReplica, 2, cwgroup.LogPosition{Term: 1, Index: 40})
	d := Router[PrimaryFallback]{}.Route(view(replaced, promoted, diverged), testCandidates(), Read{Floor: floor(1, 10)}, now)
	qt.Assert(t, d, qt.Equals, Decision{Action: Serve, Member: "b"})
	fenced := report("c", cwgroup.RoleFenced, 2, cwgroup.LogPosition{Term: 2, Index: 40})
	d = Router[PrimaryFallback]{}.Route(view(promoted, fenced), testCandidates(), Read{Floor: floor(1, 10)}, now)
	qt.Assert(t, d, qt.Equals, Decision{Action: Serve, Member: "b"})
}

func TestBoundedWait(t *testing.T) {
	r := Router[BoundedWait]{Policy: BoundedWait{Bound: 50 * time.Millisecond}}
	v := view(
		report("a", cwgroup.RolePrimary, 1, cwgroup.LogPosition{Term: 1, Index: 10}),
		report("c", cwgroup.RoleReplica, 1, cwgroup.LogPosition{Term: 1, Index: 7}))
	d := r.Route(v, testCandidates(), Read{Floor: floor(1, 9)}, now)
	qt.Assert(t, d, qt.Equals, Decision{Action: Wait, Wait: 50 * time.Millisecond})
	d = r.Route(v, testCandidates(), Read{Floor: floor(1, 9), Waited: 30 * time.Millisecond}, now)
	qt.Assert(t, d, qt.Equals, Decision{Action: Serve, Member: "a"})
}

func TestDrainingAndUnreachableMembersServeNoReads(t *testing.T) {
	cs := testCandidates()
	cs[1].Draining = true
	d := Router[PrimaryFallback]{}.Route(testGroup(), cs, Read{Floor: floor(1, 9)}, now)
	qt.Assert(t, d.Member, qt.Equals, cwgroup.MemberID("a"))
	d = Router[PrimaryFallback]{}.Route(testGroup(), testCandidates(), Read{Floor: floor(1, 9)}, now.Add(MaxReportAge+1))
	qt.Assert(t, d.Action, qt.Equals, Refuse)
	d = Router[PrimaryFallback]{}.Route(testGroup().WithUnreachable("b"), testCandidates(), Read{Floor: floor(1, 9)}, now)
	qt.Assert(t, d.Member, qt.Equals, cwgroup.MemberID("a"))
}

// Guards against a write that runs at a primary that is cut off from its
// replicas, where it can never be acknowledged. It must be refused before it
// runs.
func TestWritablePrimaryNeedsAMajority(t *testing.T) {
	p, ok := WritablePrimary(testGroup(), now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, p.Member, qt.Equals, cwgroup.MemberID("a"))
	_, ok = WritablePrimary(testGroup().WithUnreachable("b").WithUnreachable("c"), now)
	qt.Assert(t, ok, qt.IsFalse)
	moved := report("b", cwgroup.RoleFenced, 2, cwgroup.LogPosition{Term: 1, Index: 10})
	_, ok = WritablePrimary(testGroup().WithReport(moved).WithUnreachable("c"), now)
	qt.Assert(t, ok, qt.IsFalse)
}

func TestAge(t *testing.T) {
	var h PositionHistory
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	_, known := h.Age(cwgroup.LogPosition{Term: 1, Index: 5}, now)
	qt.Assert(t, known, qt.IsFalse)
	for i := range 10 {
		h.Observe(cwgroup.LogPosition{Term: 1, Index: cwgroup.LogIndex(i + 1)}, at(i*300))
	}
	age, known := h.Age(cwgroup.LogPosition{Term: 1, Index: 10}, at(3000))
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, age, qt.Equals, 300*time.Millisecond)
	age, _ = h.Age(cwgroup.LogPosition{Term: 1, Index: 4}, at(3000))
	qt.Assert(t, age, qt.Equals, 2100*time.Millisecond)
	// Without new samples of the primary the age grows.
	age, _ = h.Age(cwgroup.LogPosition{Term: 1, Index: 10}, at(9000))
	qt.Assert(t, age, qt.Equals, 6300*time.Millisecond)
	for i := range 1000 {
		h.Observe(cwgroup.LogPosition{Term: 1, Index: cwgroup.LogIndex(i + 11)}, at(3000+i*300))
	}
	qt.Assert(t, len(h.samples) <= maxSamples, qt.IsTrue)
	_, known = h.Age(cwgroup.LogPosition{Term: 1, Index: 10}, at(400000))
	qt.Assert(t, known, qt.IsFalse)
}

// Guards against bounded-staleness reads that are served without end from a
// replaced primary. It happens if a data centre is cut off together with that
// primary, which keeps answering: a caller that accepts data five seconds old
// would get ever older data.
func TestConfirmedAtNeedsAMajority(t *testing.T) {
	v := testGroup()
	p, _ := v.Primary()
	at, ok := ConfirmedAt(v, p, now.Add(-time.Second))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, at, qt.Equals, now.Add(-time.Second))
	// The other members last reported at now, so a later request confirms no
	// later time.
	at, ok = ConfirmedAt(v, p, now.Add(time.Hour))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, at, qt.Equals, now)
	_, ok = ConfirmedAt(view(p), p, now)
	qt.Assert(t, ok, qt.IsFalse)
}

func TestLagTracker(t *testing.T) {
	var l LagTracker
	for i := range 20 {
		m := cwgroup.LogPosition{Term: 1, Index: cwgroup.LogIndex(i + 1)}
		l.ObservePrimary(m, now.Add(time.Duration(i)*10*time.Millisecond))
		l.ObserveReplica("b", m, now.Add(time.Duration(i)*10*time.Millisecond+40*time.Millisecond))
	}
	last := now.Add(190 * time.Millisecond)
	qt.Assert(t, l.CatchUp("b", cwgroup.LogPosition{Term: 1, Index: 20}, last), qt.Equals, 40*time.Millisecond)
	qt.Assert(t, l.CatchUp("b", cwgroup.LogPosition{Term: 1, Index: 20}, last.Add(10*time.Millisecond)), qt.Equals, 30*time.Millisecond)
	qt.Assert(t, l.CatchUp("b", cwgroup.LogPosition{Term: 1, Index: 20}, last.Add(time.Second)), qt.Equals, time.Duration(0))
}

// A replica that has a record received it from the primary after the last sample
// in which the primary's log ended below that record.
func TestCommittedAfter(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	h := PositionHistory{Spacing: 10 * time.Millisecond}
	for i, p := range []cwgroup.LogIndex{5, 7, 9} {
		h.Observe(cwgroup.LogPosition{Term: 1, Index: p}, at(100*i))
	}
	for _, tc := range []struct {
		name     string
		position cwgroup.LogIndex
		want     time.Time
		ok       bool
	}{
		{"below the first sample", 5, time.Time{}, false},
		{"between two samples", 6, at(0), true},
		{"at a sample", 9, at(100), true},
		{"beyond the last", 10, at(200), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, ok := h.CommittedAfter(cwgroup.LogPosition{Term: 1, Index: tc.position})
			qt.Assert(t, ok, qt.Equals, tc.ok)
			qt.Assert(t, got, qt.Equals, tc.want)
		})
	}
}
