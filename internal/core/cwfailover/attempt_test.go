package cwfailover

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

var start = time.Unix(1000, 0)

var members = []cwgroup.MemberID{"a", "b", "c"}

func testPlan() Plan {
	return Plan{
		Group: "g", Members: members, Quorums: cwgroup.Quorums{Current: cwgroup.Configuration{Members: members}},
		Term: 4, Claim: "k", MembersCheckTerm: true, WithoutTable: true,
	}
}

func logPosition(t cwgroup.Term, p cwgroup.LogIndex) cwgroup.LogPosition {
	return cwgroup.LogPosition{Term: t, Index: p}
}

func adoptResponse(id cwgroup.MemberID, last cwgroup.LogPosition) Response {
	return Response{Kind: AdoptTerm, Member: id, Claim: "k", Status: cwgroup.Status{Member: id, AdoptedTerm: 4, Claim: "k", Durable: last}}
}

// describeCommands returns the kind and the member of each command.
func describeCommands(commands []Command) []string {
	out := []string{}
	for _, c := range commands {
		out = append(out, c.Kind.String()+" "+string(c.Member))
	}
	return out
}

func assertCommands(t *testing.T, got []Command, want ...string) {
	t.Helper()
	qt.Assert(t, describeCommands(got), qt.DeepEquals, append([]string{}, want...))
}

func fencingAttempt(t *testing.T, p Plan) *Attempt {
	k := NewAttempt(p)
	assertCommands(t, k.Start(start), "claimRow ")
	assertCommands(t, k.Handle(Response{Kind: WriteClaim, RowOutcome: RowConfirmed}, start), "adopt a", "adopt b", "adopt c")
	return k
}

func TestSuccessfulChange(t *testing.T) {
	k := fencingAttempt(t, testPlan())
	assertCommands(t, k.Handle(adoptResponse("b", logPosition(3, 7)), start))
	assertCommands(t, k.Handle(adoptResponse("c", logPosition(3, 9)), start))
	assertCommands(t, k.Tick(start.Add(FenceGracePeriod)), "promote c")
	assertCommands(t, k.Handle(Response{Kind: Promote, Member: "c"}, start), "follow a", "follow b", "recordRow ")
	k.Handle(Response{Kind: Follow, Member: "a", Failed: true}, start)
	k.Handle(Response{Kind: Follow, Member: "b"}, start)
	k.Handle(Response{Kind: RecordPrimary, RowOutcome: RowUnavailable}, start)
	qt.Assert(t, k.Phase(), qt.Equals, PhaseDone)
}

// Guards against losing acknowledged records. A member that was partitioned led
// term 2 for a while, and its log is longer than what the others acknowledged in
// term 3. The most advanced member is the one whose last record has the latest
// term, not the one with the longest log.
func TestMostAdvancedComparesTermFirst(t *testing.T) {
	k := fencingAttempt(t, testPlan())
	k.Handle(adoptResponse("a", logPosition(2, 500)), start)
	k.Handle(adoptResponse("b", logPosition(3, 100)), start)
	assertCommands(t, k.Handle(Response{Kind: AdoptTerm, Member: "c", Failed: true}, start), "promote b")
}

// Guards against an expired attempt that goes on: a proxy is paused after fencing,
// another proxy changes the primary, and the first one resumes. It must send
// nothing.
func TestExpiredAttemptSendsNothing(t *testing.T) {
	k := fencingAttempt(t, testPlan())
	k.Handle(adoptResponse("a", logPosition(3, 5)), start)
	resumed := start.Add(ClaimTTL)
	assertCommands(t, k.Handle(adoptResponse("b", logPosition(3, 5)), resumed))
	qt.Assert(t, k.Phase(), qt.Equals, PhaseAbandoned)
	qt.Assert(t, k.Reason(), qt.Equals, ReasonClaimExpired)
}

func TestChangeWithoutTable(t *testing.T) {
	t.Run("allowed, table unavailable", func(t *testing.T) {
		k := NewAttempt(testPlan())
		k.Start(start)
		assertCommands(t, k.Handle(Response{Kind: WriteClaim, RowOutcome: RowUnavailable}, start), "adopt a", "adopt b", "adopt c")
	})
	t.Run("not allowed, table unavailable", func(t *testing.T) {
		p := testPlan()
		p.WithoutTable = false
		k := NewAttempt(p)
		k.Start(start)
		assertCommands(t, k.Handle(Response{Kind: WriteClaim, RowOutcome: RowUnavailable}, start))
		qt.Assert(t, k.Reason(), qt.Equals, ReasonTableUnavailable)
	})
	t.Run("allowed, table slow", func(t *testing.T) {
		k := NewAttempt(testPlan())
		k.Start(start)
		assertCommands(t, k.Tick(start.Add(TableTimeout/2)))
		assertCommands(t, k.Tick(start.Add(TableTimeout)), "adopt a", "adopt b", "adopt c")
	})
}

// Guards against conflicting with one's own claim: the table stored the claim but
// the response was lost. Written again, the claim would conflict with itself; it is
// read back instead.
func TestClaimIsReadBackAfterALostResponse(t *testing.T) {
	k := NewAttempt(testPlan())
	k.Start(start)
	assertCommands(t, k.Handle(Response{Kind: WriteClaim, RowOutcome: RowUnknown}, start), "readRow ")
	assertCommands(t, k.Handle(Response{Kind: ReadClaim, RowOutcome: RowConfirmed}, start), "adopt a", "adopt b", "adopt c")
}

// Of two concurrent attempts, the one that finds another claim, or a later term at
// a member, is abandoned.
func TestConflictEndsTheAttempt(t *testing.T) {
	k := NewAttempt(testPlan())
	k.Start(start)
	k.Handle(Response{Kind: WriteClaim, RowOutcome: RowConflict}, start)
	qt.Assert(t, k.Reason(), qt.Equals, ReasonClaimConflict)

	k = fencingAttempt(t, testPlan())
	k.Handle(Response{Kind: AdoptTerm, Member: "a", Failed: true, Status: cwgroup.Status{Member: "a", AdoptedTerm: 5}}, start)
	qt.Assert(t, k.Reason(), qt.Equals, ReasonHigherTerm)

	k = fencingAttempt(t, testPlan())
	k.Handle(Response{Kind: AdoptTerm, Member: "a", Failed: true}, start)
	k.Handle(Response{Kind: AdoptTerm, Member: "b", Failed: true}, start)
	qt.Assert(t, k.Reason(), qt.Equals, ReasonNoMajority)
}

// Members that do not check terms would obey an attempt that was superseded long
// ago, so the claim is read back before each command, and the command expires soon
// after.
func TestReadBackWhenMembersIgnoreTerms(t *testing.T) {
	p := testPlan()
	p.MembersCheckTerm, p.WithoutTable = false, false
	k := NewAttempt(p)
	k.Start(start)
	assertCommands(t, k.Handle(Response{Kind: WriteClaim, RowOutcome: RowConfirmed}, start), "readRow ")
	commands := k.Handle(Response{Kind: ReadClaim, RowOutcome: RowConfirmed}, start)
	assertCommands(t, commands, "adopt a", "adopt b", "adopt c")
	qt.Assert(t, commands[0].NotAfter, qt.Equals, start.Add(ReadBackTTL))
	k.Handle(adoptResponse("a", logPosition(3, 5)), start)
	assertCommands(t, k.Handle(adoptResponse("b", logPosition(3, 5)), start))
	assertCommands(t, k.Handle(adoptResponse("c", logPosition(3, 5)), start), "announceRow ")
	assertCommands(t, k.Handle(Response{Kind: RecordReplacedTerm, RowOutcome: RowConflict}, start))
	qt.Assert(t, k.Reason(), qt.Equals, ReasonClaimConflict)
}

// Guards against a promotion whose replaced term is not recorded in the group's row
// beforehand.
func TestReplacedTermIsRecordedBeforePromotion(t *testing.T) {
	recordingAttempt := func(t *testing.T) (*Attempt, []Command) {
		p := testPlan()
		p.MembersCheckTerm, p.WithoutTable, p.ReplacedTerm = false, false, 2
		k := NewAttempt(p)
		k.Start(start)
		k.Handle(Response{Kind: WriteClaim, RowOutcome: RowConfirmed}, start)
		k.Handle(Response{Kind: ReadClaim, RowOutcome: RowConfirmed}, start)
		for _, id := range members {
			resp := adoptResponse(id, logPosition(3, 5))
			resp.Status.PriorTerm = 3
			if commands := k.Handle(resp, start); len(commands) > 0 {
				return k, commands
			}
		}
		t.Fatal("no command to record the replaced term")
		return nil, nil
	}
	t.Run("records the replaced term", func(t *testing.T) {
		k, commands := recordingAttempt(t)
		assertCommands(t, commands, "announceRow ")
		qt.Assert(t, commands[0].ReplacedTerm, qt.Equals, cwgroup.Term(3))
		commands = k.Handle(Response{Kind: RecordReplacedTerm, RowOutcome: RowConfirmed}, start)
		assertCommands(t, commands, "promote a")
		qt.Assert(t, commands[0].NotAfter, qt.Equals, start.Add(ReadBackTTL))
	})
	t.Run("response lost", func(t *testing.T) {
		k, _ := recordingAttempt(t)
		assertCommands(t, k.Handle(Response{Kind: RecordReplacedTerm, RowOutcome: RowUnknown}, start), "announceRow ")
		assertCommands(t, k.Handle(Response{Kind: RecordReplacedTerm, RowOutcome: RowConfirmed}, start), "promote a")
	})
	t.Run("late response to an earlier read", func(t *testing.T) {
		k, _ := recordingAttempt(t)
		assertCommands(t, k.Handle(Response{Kind: ReadClaim, RowOutcome: RowConfirmed}, start))
		assertCommands(t, k.Handle(Response{Kind: RecordReplacedTerm, RowOutcome: RowConfirmed}, start), "promote a")
	})
	t.Run("table unavailable", func(t *testing.T) {
		k, _ := recordingAttempt(t)
		assertCommands(t, k.Handle(Response{Kind: RecordReplacedTerm, RowOutcome: RowUnavailable}, start))
		qt.Assert(t, k.Reason(), qt.Equals, ReasonTableUnavailable)
	})
}

// Guards against promoting the leaving primary itself, which would have to be
// replaced again a second later: it took two more records while the others were
// already fenced, and so had the longest log. It must be fenced first. If all
// others were fenced, the records that only it has cannot have been acknowledged.
func TestPlannedStopAvoidsTheLeavingMember(t *testing.T) {
	p := testPlan()
	p.LeavingPrimary = "a"
	attemptWithLeavingPrimary := func(t *testing.T, last cwgroup.LogPosition) *Attempt {
		k := NewAttempt(p)
		assertCommands(t, k.Start(start), "claimRow ")
		assertCommands(t, k.Handle(Response{Kind: WriteClaim, RowOutcome: RowConfirmed}, start), "adopt a")
		assertCommands(t, k.Handle(adoptResponse("a", last), start), "adopt b", "adopt c")
		return k
	}
	t.Run("another member is equally advanced", func(t *testing.T) {
		k := attemptWithLeavingPrimary(t, logPosition(3, 5))
		k.Handle(adoptResponse("b", logPosition(3, 5)), start)
		assertCommands(t, k.Handle(adoptResponse("c", logPosition(3, 4)), start), "promote b")
	})
	t.Run("leaving member has the longest log, all others are fenced", func(t *testing.T) {
		k := attemptWithLeavingPrimary(t, logPosition(3, 6))
		k.Handle(adoptResponse("b", logPosition(3, 5)), start)
		assertCommands(t, k.Handle(adoptResponse("c", logPosition(3, 4)), start), "promote b")
	})
	t.Run("leaving member has the longest log, another member is missing", func(t *testing.T) {
		k := attemptWithLeavingPrimary(t, logPosition(3, 6))
		k.Handle(adoptResponse("b", logPosition(3, 5)), start)
		assertCommands(t, k.Handle(Response{Kind: AdoptTerm, Member: "c", Claim: "k", Failed: true}, start), "promote a")
	})
	t.Run("leaving member does not answer", func(t *testing.T) {
		k := NewAttempt(p)
		k.Start(start)
		k.Handle(Response{Kind: WriteClaim, RowOutcome: RowConfirmed}, start)
		failed := Response{Kind: AdoptTerm, Member: "a", Claim: "k", Failed: true}
		assertCommands(t, k.Handle(failed, start), "adopt b", "adopt c")
		k.Handle(adoptResponse("b", logPosition(3, 5)), start)
		assertCommands(t, k.Handle(adoptResponse("c", logPosition(3, 4)), start), "promote b")
	})
}

func TestFailurePolicies(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		e                    Evidence
		byProxies, byReplica bool
	}{
		{"one of three, replicas connected", Evidence{FreshVotes: 3, SuspectVotes: 1, ListedProxies: 3, GroupSize: 3, ReplicasConnected: 2}, false, false},
		{"two of three, replicas connected", Evidence{FreshVotes: 3, SuspectVotes: 2, ListedProxies: 3, GroupSize: 3, ReplicasConnected: 2}, true, false},
		{"all of three for the minimum time, replicas connected", Evidence{FreshVotes: 3, SuspectVotes: 3, ListedProxies: 3, GroupSize: 3, ReplicasConnected: 2, SuspectedFor: MinUnanimousSuspicion}, true, true},
		{"two of three, replicas disconnected", Evidence{FreshVotes: 3, SuspectVotes: 2, ListedProxies: 3, GroupSize: 3, ReplicasDisconnected: 2}, true, true},
		{"other proxies failed with the primary", Evidence{FreshVotes: 1, SuspectVotes: 1, ListedProxies: 4, GroupSize: 3, ReplicasDisconnected: 2}, false, true},
		{"partitioned together with one replica", Evidence{FreshVotes: 1, SuspectVotes: 1, ListedProxies: 4, GroupSize: 3, ReplicasDisconnected: 1}, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Check(t, ProxyMajorityPolicy{}.ShouldReplace(tc.e), qt.Equals, tc.byProxies)
			qt.Check(t, ProxiesAndReplicasPolicy{}.ShouldReplace(tc.e), qt.Equals, tc.byReplica)
		})
	}
}

// Guards against a promotion that is still on the way when another proxy claims the group.
func TestPromotionArrivesWithinItsClaim(t *testing.T) {
	k := fencingAttempt(t, testPlan())
	k.Handle(adoptResponse("b", logPosition(3, 7)), start)
	k.Handle(adoptResponse("c", logPosition(3, 9)), start)
	commands := k.Tick(start.Add(FenceGracePeriod))
	assertCommands(t, commands, "promote c")
	qt.Assert(t, commands[0].NotAfter.Add(PromotionTransit).After(start.Add(ClaimTTL)), qt.IsFalse)
}

func TestMayClaim(t *testing.T) {
	s := NewSupervisor("p", "s", "g", members)
	other := Row{Term: 4, Claim: "x", Owner: "q"}
	qt.Assert(t, s.MayClaim(Row{Term: 3, Done: true}, 4, start), qt.IsTrue)
	qt.Assert(t, s.MayClaim(Row{Term: 4, Done: true}, 4, start), qt.IsFalse)
	qt.Assert(t, s.MayClaim(other, 4, start), qt.IsFalse)
	qt.Assert(t, s.MayClaim(other, 4, start.Add(ClaimTTL-1)), qt.IsFalse)
	qt.Assert(t, s.MayClaim(other, 4, start.Add(ClaimTTL)), qt.IsTrue)
}

// Guards against needless fencing. A data centre is cut off with one replica, and
// the silence of the primary is detected shortly before that of the other replica.
// Fencing the remaining replica at that moment would only stop its reads.
func TestOnlyReportsSinceTheSuspicionCount(t *testing.T) {
	s := NewSupervisor("p", "s", "g", members)
	report := func(id cwgroup.MemberID, r cwgroup.Role, at time.Time) {
		s.AddReport(cwgroup.Report{Status: cwgroup.Status{
			Member: id, Role: r, AdoptedTerm: 1, Durable: logPosition(1, 5), Applied: logPosition(1, 5), UpstreamAge: time.Second,
		}, At: at, Reachable: true}, "a", at)
	}
	report("a", cwgroup.RolePrimary, start)
	report("b", cwgroup.RoleReplica, start)
	report("c", cwgroup.RoleReplica, start)
	suspectedAt := start.Add(600 * time.Millisecond)
	s.SetUnreachable("a", suspectedAt)
	report("b", cwgroup.RoleReplica, suspectedAt.Add(50*time.Millisecond))
	inputs := TickInputs{ListedProxies: 1, MembersCheckTerm: true, WithoutTable: true}
	s.Tick(suspectedAt.Add(60*time.Millisecond), inputs)
	qt.Assert(t, s.ChangingPrimary(), qt.IsFalse)
	report("c", cwgroup.RoleReplica, suspectedAt.Add(70*time.Millisecond))
	s.Tick(suspectedAt.Add(80*time.Millisecond), inputs)
	qt.Assert(t, s.ChangingPrimary(), qt.IsTrue)
}

// Guards against promoting by an outdated status: a majority is fenced, and one of
// its members restarts before the promotion is sent. It has lost its fence and
// possibly some of its records.
func TestRestartedMemberLosesItsFence(t *testing.T) {
	t.Run("while waiting for other members", func(t *testing.T) {
		k := fencingAttempt(t, testPlan())
		k.Handle(adoptResponse("b", logPosition(3, 7)), start)
		k.Handle(adoptResponse("c", logPosition(3, 9)), start)
		k.MemberRestarted("c")
		assertCommands(t, k.Tick(start.Add(FenceGracePeriod)))
		assertCommands(t, k.Handle(adoptResponse("a", logPosition(3, 8)), start), "promote a")
	})
	t.Run("with no other member left", func(t *testing.T) {
		k := fencingAttempt(t, testPlan())
		k.Handle(Response{Kind: AdoptTerm, Member: "a", Failed: true}, start)
		k.Handle(adoptResponse("b", logPosition(3, 7)), start)
		k.MemberRestarted("b")
		qt.Assert(t, k.Reason(), qt.Equals, ReasonMemberRestarted)
	})
	t.Run("while recording the replaced term", func(t *testing.T) {
		p := testPlan()
		p.MembersCheckTerm, p.WithoutTable = false, false
		k := NewAttempt(p)
		k.Start(start)
		k.Handle(Response{Kind: WriteClaim, RowOutcome: RowConfirmed}, start)
		k.Handle(Response{Kind: ReadClaim, RowOutcome: RowConfirmed}, start)
		k.Handle(adoptResponse("a", logPosition(3, 7)), start)
		k.Handle(adoptResponse("b", logPosition(3, 7)), start)
		assertCommands(t, k.Handle(adoptResponse("c", logPosition(3, 7)), start), "announceRow ")
		k.MemberRestarted("c")
		qt.Assert(t, k.Reason(), qt.Equals, ReasonMemberRestarted)
		assertCommands(t, k.Handle(Response{Kind: RecordReplacedTerm, RowOutcome: RowConfirmed}, start))
	})
}

// fencedFor returns a member's response that it is fenced for a term of the members' own.
func fencedFor(id cwgroup.MemberID, t cwgroup.Term) Response {
	r := adoptResponse(id, logPosition(3, 7))
	r.Status.FencedTerm = t
	return r
}

// Guards against lost records: a member that was fenced for a lower term than another one can
// still acknowledge for a primary that was promoted in between.
func TestMembersAreFencedForOneTerm(t *testing.T) {
	k := fencingAttempt(t, testPlan())
	assertCommands(t, k.Handle(fencedFor("a", 4), start))
	assertCommands(t, k.Handle(fencedFor("b", 5), start), "adopt a")
	assertCommands(t, k.Tick(start.Add(FenceGracePeriod)))
	assertCommands(t, k.Handle(fencedFor("a", 5), start))
	assertCommands(t, k.Handle(fencedFor("c", 4), start), "adopt c")
	assertCommands(t, k.Tick(start.Add(FenceGracePeriod)), "promote a")
}

// Guards against a group without a primary: a member ends while a leaving primary has already
// been demoted for the change.
func TestMemberThatEndsDuringTheChangeIsNotNeeded(t *testing.T) {
	k := fencingAttempt(t, testPlan())
	k.Handle(adoptResponse("a", logPosition(3, 7)), start)
	k.SetQuorums(cwgroup.Quorums{Current: cwgroup.Configuration{Members: []cwgroup.MemberID{"a"}}})
	k.Handle(Response{Kind: AdoptTerm, Member: "b", Failed: true}, start)
	assertCommands(t, k.Handle(Response{Kind: AdoptTerm, Member: "c", Failed: true}, start), "promote a")
}

// Guards against records lost for good: those that had them have ended, and an empty member is
// promoted.
func TestMemberWithoutAcknowledgedRecordsIsNotPromoted(t *testing.T) {
	p := testPlan()
	p.Acknowledged = logPosition(3, 8)
	k := fencingAttempt(t, p)
	for _, id := range members {
		assertCommands(t, k.Handle(adoptResponse(id, logPosition(3, 7)), start))
	}
	qt.Assert(t, k.Reason(), qt.Equals, ReasonRecordsMissing)
}

// Guards against a group without a primary: a leaving primary is demoted although too few of the
// other members can be fenced, since a data centre has just been cut off.
func TestPlannedChangeWaitsForEnoughMembers(t *testing.T) {
	s := NewSupervisor("p", "s", "g", members)
	report := func(id cwgroup.MemberID, r cwgroup.Role, at time.Time) {
		s.AddReport(cwgroup.Report{Status: cwgroup.Status{
			Member: id, Role: r, AdoptedTerm: 1, Durable: logPosition(1, 5), Applied: logPosition(1, 5),
		}, At: at, Reachable: true}, "a", at)
	}
	report("a", cwgroup.RolePrimary, start)
	s.SetStopping([]cwgroup.MemberID{"a"}, start)
	s.SetMembers(members, cwgroup.Quorums{Current: cwgroup.Configuration{Members: []cwgroup.MemberID{"b", "c"}}})
	later := start.Add(StopPropagationTime)
	inputs := TickInputs{ListedProxies: 1, MembersCheckTerm: true, WithoutTable: true}
	report("a", cwgroup.RolePrimary, later)
	report("b", cwgroup.RoleReplica, later)
	s.Tick(later, inputs)
	qt.Assert(t, s.ChangingPrimary(), qt.IsFalse)
	report("c", cwgroup.RoleReplica, later)
	s.Tick(later, inputs)
	qt.Assert(t, s.ChangingPrimary(), qt.IsTrue)
}
