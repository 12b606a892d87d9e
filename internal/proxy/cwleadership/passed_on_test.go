package cwleadership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwevidence"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// passOn lets an observer pass on a member's report of the given age, with the member's
// log at a position of term 1.
func (b *testGroup) passOn(id cwgroup.MemberID, role cwgroup.Role, term cwgroup.Term, received cwgroup.LogIndex, age time.Duration) {
	b.t.Helper()
	x := cwevidence.Exchange{RequestedAt: b.clock.Now(), AnsweredAt: b.clock.Now()}
	err := b.recordReports(cwport.MembersResponse{Observes: true, Reports: []cwport.MemberReport{{
		Member: id, Age: age, Health: cwstatement.Health{Role: role, Term: term, LogEnd: cwgroup.LogPosition{Term: 1, Index: received}},
	}}}, x)
	qt.Assert(b.t, err, qt.IsNil)
}

// report returns the report of a member that counts.
func (b *testGroup) report(id cwgroup.MemberID) (cwgroup.Report, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sup.View().Report(id)
}

// Guards against a confirmation that lasts longer because a report was passed on.
func TestPassedOnReportConfirmsByItsAge(t *testing.T) {
	b := newTestGroup(t)
	b.passOn("a", cwgroup.RolePrimary, 1, 100, 0)
	b.passOn("c", cwgroup.RoleReplica, 1, 100, Lease-100*time.Millisecond)
	b.assertConfirmed(true)
	b.clock.Advance(101 * time.Millisecond)
	b.assertConfirmed(false)
}

// Guards against a member that counts as reachable, or a path to other data centres that
// counts as recovered, because another instance reaches the member.
func TestPassedOnReportDoesNotShowReachability(t *testing.T) {
	for name, passOn := range map[string]func(b *testGroup){
		"a health answer": func(b *testGroup) { b.passOn("a", cwgroup.RolePrimary, 1, 101, 0) },
		"an answer of the primary": func(b *testGroup) {
			p := cwport.PrimaryReport{Member: "a", Term: 1, Position: cwgroup.LogPosition{Term: 1, Index: 101}}
			x := cwevidence.Exchange{RequestedAt: b.clock.Now(), AnsweredAt: b.clock.Now()}
			qt.Assert(t, b.recordReports(cwport.MembersResponse{Observes: true, Primary: p}, x), qt.IsNil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestGroup(t)
			b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
			b.DialFailed(cwport.Endpoint{ID: "a"}, errUnavailable)
			b.cfg.DataCentre = "other"
			b.cfg.RemotePath.RecordOverdue(b.clock.Now().Add(time.Second))
			b.clock.Advance(time.Second)
			passOn(b)
			rep, _ := b.report("a")
			qt.Assert(t, rep.Reachable, qt.IsFalse)
			qt.Assert(t, rep.Durable.Index, qt.Equals, cwgroup.LogIndex(101))
			qt.Assert(t, b.cfg.RemotePath.Suspected(), qt.IsTrue)
		})
	}
}

// Guards against a replaced primary that is confirmed by reports from before it was
// replaced.
func TestPassedOnReportsDoNotConfirmReplacedPrimary(t *testing.T) {
	for _, tc := range []struct {
		name  string
		learn func(b *testGroup)
	}{
		{"the new primary has answered", func(b *testGroup) { b.reportHealth("b", cwgroup.RolePrimary, 2, 100) }},
		{"a replica is in the new term", func(b *testGroup) { b.passOn("b", cwgroup.RoleReplica, 2, 100, 0) }},
		{"the row names a replaced term", func(b *testGroup) { b.SetRow(cwfailover.Row{Term: 2, Claim: "y-1", ReplacedTerm: 1}) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestGroup(t)
			tc.learn(b)
			b.clock.Advance(Lease)
			b.passOn("a", cwgroup.RolePrimary, 1, 100, 0)
			b.passOn("c", cwgroup.RoleReplica, 1, 100, 0)
			b.mu.Lock()
			defer b.mu.Unlock()
			p, ok := b.sup.View().Primary()
			qt.Assert(t, ok && p.Member == "a", qt.IsFalse)
			qt.Assert(t, b.clock.Since(b.confirmedAt) < Lease, qt.IsFalse)
		})
	}
}

// Guards against a restarted member that is counted because of what it reported before the
// restart, and against a restart that only an own answer shows.
func TestPassedOnReportsOfRestartedMember(t *testing.T) {
	begin := func(t *testing.T) *testGroup {
		b := newTestGroup(t)
		b.table.setUnavailable(true)
		b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
		b.reportHealth("c", cwgroup.RoleReplica, 1, 100)
		b.clock.Advance(time.Second)
		return b
	}
	t.Run("a report from before the restart", func(t *testing.T) {
		b := begin(t)
		b.listMembers(time.UnixMilli(900))
		b.clock.Advance(100 * time.Millisecond)
		b.passOn("c", cwgroup.RoleReplica, 1, 100, 200*time.Millisecond)
		_, ok := b.report("c")
		qt.Assert(t, ok, qt.IsFalse)
	})
	t.Run("a report from after the restart", func(t *testing.T) {
		b := begin(t)
		b.listMembers(time.UnixMilli(900))
		b.clock.Advance(100 * time.Millisecond)
		b.passOn("c", cwgroup.RoleReplica, 1, 100, 0)
		b.passOn("a", cwgroup.RolePrimary, 1, 100, 0)
		rep, _ := b.report("c")
		qt.Assert(t, rep.AdoptedTerm, qt.Equals, cwgroup.Term(0), qt.Commentf("the fence is not checked yet"))
		b.assertConfirmed(false)
	})
	t.Run("a log that has become shorter", func(t *testing.T) {
		b := begin(t)
		b.passOn("c", cwgroup.RoleReplica, 1, 90, 0)
		b.mu.Lock()
		defer b.mu.Unlock()
		qt.Assert(t, b.restarts["c"].fenceUnchecked, qt.IsTrue)
	})
}

// Guards against a report that replaces a later one because it arrived later.
func TestPassedOnReportDoesNotReplaceLaterOne(t *testing.T) {
	b := newTestGroup(t)
	b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
	b.reportHealth("c", cwgroup.RoleReplica, 1, 100)
	b.clock.Advance(50 * time.Millisecond)
	b.passOn("c", cwgroup.RoleReplica, 1, 90, 100*time.Millisecond)
	rep, _ := b.report("c")
	qt.Assert(t, rep.Durable.Index, qt.Equals, cwgroup.LogIndex(100))
	b.mu.Lock()
	defer b.mu.Unlock()
	qt.Assert(t, b.restarts, qt.HasLen, 0)
}

// Guards against a member that stays unreachable although it has answered this instance,
// because a report with a later time was passed on in the meantime.
func TestAnswerShowsReachabilityAfterLaterPassedOnReport(t *testing.T) {
	b := newTestGroup(t)
	b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
	b.DialFailed(cwport.Endpoint{ID: "a"}, errUnavailable)
	b.clock.Advance(50 * time.Millisecond)
	sentAt := b.clock.Now()
	b.clock.Advance(10 * time.Millisecond)
	b.passOn("a", cwgroup.RolePrimary, 1, 101, 5*time.Millisecond)
	b.observeHealth("a", cwstatement.Health{Role: cwgroup.RolePrimary, Term: 1, LogEnd: cwgroup.LogPosition{Term: 1, Index: 101}}, sentAt)
	rep, _ := b.report("a")
	qt.Assert(t, rep.Reachable, qt.IsTrue)
	qt.Assert(t, rep.At.After(sentAt), qt.IsTrue)
}

// Guards against a read that is refused although the data are recent enough: the instance
// has just learnt of the primary, whose last answer is later than the last confirmation.
func TestPassedOnLogServesReadsAfterFirstReport(t *testing.T) {
	for name, health := range map[string][]cwport.MemberReport{
		"without a health answer of the primary": nil,
		"with a health answer of the primary": {{
			Member: "a", Age: 50 * time.Millisecond, Health: cwstatement.Health{Role: cwgroup.RolePrimary, Term: 1, LogEnd: cwgroup.LogPosition{Term: 1, Index: 108}},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestGroup(t)
			position := func(i cwgroup.LogIndex) cwgroup.LogPosition { return cwgroup.LogPosition{Term: 1, Index: i} }
			answer := cwport.MembersResponse{
				Observes: true,
				Reports: append(health, cwport.MemberReport{
					Member: "c", Age: 200 * time.Millisecond, Health: cwstatement.Health{Role: cwgroup.RoleReplica, Term: 1, LogEnd: position(100)},
				}),
				Primary: cwport.PrimaryReport{Member: "a", Term: 1, Position: position(110), Age: 10 * time.Millisecond, Log: []cwport.LogSample{
					{Position: position(100), Age: 210 * time.Millisecond}, {Position: position(110), Age: 10 * time.Millisecond},
				}},
			}
			x := cwevidence.Exchange{RequestedAt: b.clock.Now(), AnsweredAt: b.clock.Now()}
			qt.Assert(t, b.recordReports(answer, x), qt.IsNil)
			qt.Assert(t, b.placeRead(cwgroup.LogPosition{}).Floor, qt.Equals, position(100))
		})
	}
}

// Guards against a primary that is replaced too early: a replica that was checked before the
// primary fell silent has not shown that it lost its primary.
func TestPassedOnReportFromBeforeSilenceShowsNoLoss(t *testing.T) {
	for _, tc := range []struct {
		name string
		age  time.Duration
		lost bool
	}{
		{"checked before", cwfailover.UpstreamTimeout + 100*time.Millisecond, false},
		{"checked at once", cwfailover.UpstreamTimeout, false},
		{"checked later", 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestGroup(t)
			b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
			b.reportHealth("c", cwgroup.RoleReplica, 1, 100)
			b.clock.Advance(time.Second)
			b.suspectPrimary("a", b.clock.Now())
			b.clock.Advance(cwfailover.UpstreamTimeout + time.Millisecond)
			b.passOn("c", cwgroup.RoleReplica, 1, 100, tc.age)
			qt.Assert(t, b.hasLostUpstream("c"), qt.Equals, tc.lost)
		})
	}
}
