package cwroute

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwsession"
)

var now = time.Unix(1000, 0)

func report(id cwgroup.MemberID, r cwgroup.Role, adopted cwgroup.Term, applied cwgroup.Mark) cwgroup.Report {
	return cwgroup.Report{
		Status: cwgroup.Status{Member: id, Role: r, Adopted: adopted, Last: applied, Applied: applied},
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

func floor(t cwgroup.Term, p cwgroup.Position) cwsession.Floor {
	return cwsession.Floor{Mark: cwgroup.Mark{Term: t, Position: p}, Known: true}
}

// group is a primary a at 1/10, a replica b at 1/10 and a replica c at 1/7.
func group() cwgroup.View {
	return view(
		report("a", cwgroup.RolePrimary, 1, cwgroup.Mark{Term: 1, Position: 10}),
		report("b", cwgroup.RoleReplica, 1, cwgroup.Mark{Term: 1, Position: 10}),
		report("c", cwgroup.RoleReplica, 1, cwgroup.Mark{Term: 1, Position: 7}))
}

func cands() []Candidate {
	return []Candidate{
		{Member: "a"},
		{Member: "b", Distance: 2 * time.Millisecond, AgeKnown: true, Age: 50 * time.Millisecond, CatchUp: 0},
		{Member: "c", Distance: time.Millisecond, AgeKnown: true, Age: 900 * time.Millisecond, CatchUp: 30 * time.Millisecond},
	}
}

func TestPlace(t *testing.T) {
	primary := Decision{Kind: Serve, Member: "a"}
	at := func(id cwgroup.MemberID) Decision { return Decision{Kind: Serve, Member: id, Replica: true} }
	for _, tc := range []struct {
		name string
		v    cwgroup.View
		rd   Read
		want Decision
	}{
		{"the nearest that has the floor", group(), Read{Floor: floor(1, 7)}, at("c")},
		{"the farther one if only it has the floor", group(), Read{Floor: floor(1, 9)}, at("b")},
		{"the primary if no replica has it", group(), Read{Floor: floor(1, 11)}, primary},
		{"a floor of a later term than the primary's", group(), Read{Floor: floor(2, 3)}, Decision{Kind: Refuse, RetryAfter: RetryAfter}},
		{"no floor known", group(), Read{}, Decision{Kind: AskPrimary}},
		{"an age that one replica keeps", group(), Read{MaxAge: 100 * time.Millisecond}, at("b")},
		{"an age that none keeps", group(), Read{MaxAge: 10 * time.Millisecond}, Decision{Kind: AskPrimary}},
		{"an age that none keeps, the primary confirmed", group(), Read{MaxAge: 10 * time.Millisecond, Confirmed: true}, primary},
		{"age and floor", group(), Read{Floor: floor(1, 9), MaxAge: time.Second}, at("b")},
		{"nobody is there", view(), Read{Floor: floor(1, 1)}, Decision{Kind: Refuse, RetryAfter: RetryAfter}},
		{"no primary, floor unknown", view(report("b", cwgroup.RoleReplica, 1, cwgroup.Mark{Term: 1, Position: 10})), Read{}, Decision{Kind: Refuse, RetryAfter: RetryAfter}},
		{"no primary, floor known", view(report("b", cwgroup.RoleReplica, 1, cwgroup.Mark{Term: 1, Position: 10})), Read{Floor: floor(1, 9)}, at("b")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Assert(t, Router[ToPrimary]{}.Place(tc.v, cands(), tc.rd, now), qt.Equals, tc.want)
		})
	}
}

// An owner sees a record that nobody acknowledged, and then it is gone: the
// read went to a replaced primary, or to a replica whose log still has a tail
// of the old branch. Neither is asked, whatever its position.
func TestDeadBranchIsNotRead(t *testing.T) {
	old := report("a", cwgroup.RolePrimary, 1, cwgroup.Mark{Term: 1, Position: 50})
	next := report("b", cwgroup.RolePrimary, 2, cwgroup.Mark{Term: 2, Position: 12})
	tail := report("c", cwgroup.RoleReplica, 2, cwgroup.Mark{Term: 1, Position: 40})
	d := Router[ToPrimary]{}.Place(view(old, next, tail), cands(), Read{Floor: floor(1, 10)}, now)
	qt.Assert(t, d, qt.Equals, Decision{Kind: Serve, Member: "b"})
	fenced := report("c", cwgroup.RoleFenced, 2, cwgroup.Mark{Term: 2, Position: 40})
	d = Router[ToPrimary]{}.Place(view(next, fenced), cands(), Read{Floor: floor(1, 10)}, now)
	qt.Assert(t, d, qt.Equals, Decision{Kind: Serve, Member: "b"})
}

func TestWaitUpTo(t *testing.T) {
	r := Router[WaitUpTo]{Policy: WaitUpTo{Bound: 50 * time.Millisecond}}
	v := view(
		report("a", cwgroup.RolePrimary, 1, cwgroup.Mark{Term: 1, Position: 10}),
		report("c", cwgroup.RoleReplica, 1, cwgroup.Mark{Term: 1, Position: 7}))
	d := r.Place(v, cands(), Read{Floor: floor(1, 9)}, now)
	qt.Assert(t, d, qt.Equals, Decision{Kind: Wait, Wait: 50 * time.Millisecond})
	d = r.Place(v, cands(), Read{Floor: floor(1, 9), Waited: 30 * time.Millisecond}, now)
	qt.Assert(t, d, qt.Equals, Decision{Kind: Serve, Member: "a"})
}

func TestLeavingAndSilentMembersGetNothing(t *testing.T) {
	cs := cands()
	cs[1].Leaving = true
	d := Router[ToPrimary]{}.Place(group(), cs, Read{Floor: floor(1, 9)}, now)
	qt.Assert(t, d.Member, qt.Equals, cwgroup.MemberID("a"))
	d = Router[ToPrimary]{}.Place(group(), cands(), Read{Floor: floor(1, 9)}, now.Add(Fresh+1))
	qt.Assert(t, d.Kind, qt.Equals, Refuse)
	d = Router[ToPrimary]{}.Place(group().WithUnreachable("b"), cands(), Read{Floor: floor(1, 9)}, now)
	qt.Assert(t, d.Member, qt.Equals, cwgroup.MemberID("a"))
}

// A clerk's booking runs at a primary that is cut off from its replicas, and
// the answer can never be given. It is refused before it runs.
func TestWritePrimaryNeedsAMajority(t *testing.T) {
	p, ok := WritePrimary(group(), now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, p.Member, qt.Equals, cwgroup.MemberID("a"))
	_, ok = WritePrimary(group().WithUnreachable("b").WithUnreachable("c"), now)
	qt.Assert(t, ok, qt.IsFalse)
	moved := report("b", cwgroup.RoleFenced, 2, cwgroup.Mark{Term: 1, Position: 10})
	_, ok = WritePrimary(group().WithReport(moved).WithUnreachable("c"), now)
	qt.Assert(t, ok, qt.IsFalse)
}

func TestAge(t *testing.T) {
	var h History
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	_, known := h.Age(cwgroup.Mark{Term: 1, Position: 5}, now)
	qt.Assert(t, known, qt.IsFalse)
	for i := range 10 {
		h.Observe(cwgroup.Mark{Term: 1, Position: cwgroup.Position(i + 1)}, at(i*300))
	}
	age, known := h.Age(cwgroup.Mark{Term: 1, Position: 10}, at(3000))
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, age, qt.Equals, 300*time.Millisecond)
	age, _ = h.Age(cwgroup.Mark{Term: 1, Position: 4}, at(3000))
	qt.Assert(t, age, qt.Equals, 2100*time.Millisecond)
	// The primary is not seen any more: the age grows.
	age, _ = h.Age(cwgroup.Mark{Term: 1, Position: 10}, at(9000))
	qt.Assert(t, age, qt.Equals, 6300*time.Millisecond)
	for i := range 1000 {
		h.Observe(cwgroup.Mark{Term: 1, Position: cwgroup.Position(i + 11)}, at(3000+i*300))
	}
	qt.Assert(t, len(h.samples) <= maxSamples, qt.IsTrue)
	_, known = h.Age(cwgroup.Mark{Term: 1, Position: 10}, at(400000))
	qt.Assert(t, known, qt.IsFalse)
}

// A hall is cut off together with a primary that has been replaced. An owner
// who accepts data of five seconds must not be served from it for ever.
func TestSampledNeedsAMajority(t *testing.T) {
	v := group()
	p, _ := v.Primary()
	at, ok := Sampled(v, p, now.Add(-time.Second))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, at, qt.Equals, now.Add(-time.Second))
	// The others were last heard at now; later questions sample no later time.
	at, ok = Sampled(v, p, now.Add(time.Hour))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, at, qt.Equals, now)
	_, ok = Sampled(view(p), p, now)
	qt.Assert(t, ok, qt.IsFalse)
}

func TestLagMeter(t *testing.T) {
	var l LagMeter
	for i := range 20 {
		m := cwgroup.Mark{Term: 1, Position: cwgroup.Position(i + 1)}
		l.Primary(m, now.Add(time.Duration(i)*10*time.Millisecond))
		l.Replica("b", m, now.Add(time.Duration(i)*10*time.Millisecond+40*time.Millisecond))
	}
	qt.Assert(t, l.Lag("b"), qt.Equals, 40*time.Millisecond)
	last := now.Add(190 * time.Millisecond)
	qt.Assert(t, l.CatchUp("b", cwgroup.Mark{Term: 1, Position: 20}, last.Add(10*time.Millisecond)), qt.Equals, 30*time.Millisecond)
	qt.Assert(t, l.CatchUp("b", cwgroup.Mark{Term: 1, Position: 20}, last.Add(time.Second)), qt.Equals, time.Duration(0))
}

// A replica shows a record that was committed after the proxy saw the primary's
// log end below it: the replica followed the primary later than that.
func TestCommittedAfter(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	h := History{Spacing: 10 * time.Millisecond}
	for i, p := range []cwgroup.Position{5, 7, 9} {
		h.Observe(cwgroup.Mark{Term: 1, Position: p}, at(100*i))
	}
	for _, tc := range []struct {
		name     string
		position cwgroup.Position
		want     time.Time
		ok       bool
	}{
		{"below the first sample", 5, time.Time{}, false},
		{"between two samples", 6, at(0), true},
		{"at a sample", 9, at(100), true},
		{"beyond the last", 10, at(200), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, ok := h.CommittedAfter(cwgroup.Mark{Term: 1, Position: tc.position})
			qt.Assert(t, ok, qt.Equals, tc.ok)
			qt.Assert(t, got, qt.Equals, tc.want)
		})
	}
}
