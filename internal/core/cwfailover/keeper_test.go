package cwfailover

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

var start = time.Unix(1000, 0)

var members = []cwgroup.MemberID{"a", "b", "c"}

func plan() Plan {
	return Plan{Group: "g", Members: members, Term: 4, Claim: "k", ChecksTerm: true, WithoutTable: true}
}

func mark(t cwgroup.Term, p cwgroup.Position) cwgroup.Mark {
	return cwgroup.Mark{Term: t, Position: p}
}

func adoptedBy(id cwgroup.MemberID, last cwgroup.Mark) Event {
	return Event{Kind: Adopt, Member: id, Claim: "k", Status: cwgroup.Status{Member: id, Adopted: 4, Claim: "k", Last: last}}
}

// kinds returns what orders are for, with their members.
func kinds(orders []Order) []string {
	out := []string{}
	for _, o := range orders {
		out = append(out, o.Kind.String()+" "+string(o.Member))
	}
	return out
}

func assertOrders(t *testing.T, got []Order, want ...string) {
	t.Helper()
	qt.Assert(t, kinds(got), qt.DeepEquals, append([]string{}, want...))
}

func fencing(t *testing.T, p Plan) *Keeper {
	k := NewKeeper(p)
	assertOrders(t, k.Start(start), "claimRow ")
	assertOrders(t, k.Handle(Event{Kind: ClaimRow, Row: RowDone}, start), "adopt a", "adopt b", "adopt c")
	return k
}

func TestKeeperGoesThroughItsSteps(t *testing.T) {
	k := fencing(t, plan())
	assertOrders(t, k.Handle(adoptedBy("b", mark(3, 7)), start))
	assertOrders(t, k.Handle(adoptedBy("c", mark(3, 9)), start))
	assertOrders(t, k.Tick(start.Add(FencePatience)), "promote c")
	assertOrders(t, k.Handle(Event{Kind: Promote, Member: "c"}, start), "follow a", "follow b", "recordRow ")
	k.Handle(Event{Kind: Follow, Member: "a", Failed: true}, start)
	k.Handle(Event{Kind: Follow, Member: "b"}, start)
	k.Handle(Event{Kind: RecordRow, Row: RowUnavailable}, start)
	qt.Assert(t, k.Phase(), qt.Equals, Done)
}

// Acknowledged records vanish: a member that was cut off led term 2 for a while
// and has a long log of its own, beyond what the others acknowledged in term 3.
// The most advanced is the one with the latest term, not the longest log.
func TestMostAdvancedGoesByTermFirst(t *testing.T) {
	k := fencing(t, plan())
	k.Handle(adoptedBy("a", mark(2, 500)), start)
	k.Handle(adoptedBy("b", mark(3, 100)), start)
	assertOrders(t, k.Handle(Event{Kind: Adopt, Member: "c", Failed: true}, start), "promote b")
}

// A keeper is paused after the fence, another proxy changes the primary, and
// the first one wakes. Whatever it would send now is too late.
func TestPausedKeeperSendsNothing(t *testing.T) {
	k := fencing(t, plan())
	k.Handle(adoptedBy("a", mark(3, 5)), start)
	woken := start.Add(ClaimLife)
	assertOrders(t, k.Handle(adoptedBy("b", mark(3, 5)), woken))
	qt.Assert(t, k.Phase(), qt.Equals, Abandoned)
	qt.Assert(t, k.Reason(), qt.Equals, ReasonExpired)
}

func TestKeeperWithoutTable(t *testing.T) {
	t.Run("allowed", func(t *testing.T) {
		k := NewKeeper(plan())
		k.Start(start)
		assertOrders(t, k.Handle(Event{Kind: ClaimRow, Row: RowUnavailable}, start), "adopt a", "adopt b", "adopt c")
	})
	t.Run("not allowed", func(t *testing.T) {
		p := plan()
		p.WithoutTable = false
		k := NewKeeper(p)
		k.Start(start)
		assertOrders(t, k.Handle(Event{Kind: ClaimRow, Row: RowUnavailable}, start))
		qt.Assert(t, k.Reason(), qt.Equals, ReasonTable)
	})
	t.Run("slow", func(t *testing.T) {
		k := NewKeeper(plan())
		k.Start(start)
		assertOrders(t, k.Tick(start.Add(TablePatience/2)))
		assertOrders(t, k.Tick(start.Add(TablePatience)), "adopt a", "adopt b", "adopt c")
	})
}

// The table took the claim but its answer was lost. Sent again blindly, the
// claim would clash with itself; read back, it counts.
func TestLostAnswerIsReadBack(t *testing.T) {
	k := NewKeeper(plan())
	k.Start(start)
	assertOrders(t, k.Handle(Event{Kind: ClaimRow, Row: RowUnknown}, start), "readRow ")
	assertOrders(t, k.Handle(Event{Kind: ReadRow, Row: RowDone}, start), "adopt a", "adopt b", "adopt c")
}

// Two keepers at once: the one that finds another claim, or a later term at a
// member, gives way.
func TestKeeperGivesWay(t *testing.T) {
	k := NewKeeper(plan())
	k.Start(start)
	k.Handle(Event{Kind: ClaimRow, Row: RowConflict}, start)
	qt.Assert(t, k.Reason(), qt.Equals, ReasonClaimed)

	k = fencing(t, plan())
	k.Handle(Event{Kind: Adopt, Member: "a", Failed: true, Status: cwgroup.Status{Member: "a", Adopted: 5}}, start)
	qt.Assert(t, k.Reason(), qt.Equals, ReasonHigherTerm)

	k = fencing(t, plan())
	k.Handle(Event{Kind: Adopt, Member: "a", Failed: true}, start)
	k.Handle(Event{Kind: Adopt, Member: "b", Failed: true}, start)
	qt.Assert(t, k.Reason(), qt.Equals, ReasonMajority)
}

// Members that obey anybody would obey a keeper that was overtaken long ago, so
// the claim is read back before each order, and the order soon expires.
func TestOrdersToUncheckedMembersFollowAReadBack(t *testing.T) {
	p := plan()
	p.ChecksTerm, p.WithoutTable = false, false
	k := NewKeeper(p)
	k.Start(start)
	assertOrders(t, k.Handle(Event{Kind: ClaimRow, Row: RowDone}, start), "readRow ")
	orders := k.Handle(Event{Kind: ReadRow, Row: RowDone}, start)
	assertOrders(t, orders, "adopt a", "adopt b", "adopt c")
	qt.Assert(t, orders[0].NotAfter, qt.Equals, start.Add(RecheckLife))
	k.Handle(adoptedBy("a", mark(3, 5)), start)
	assertOrders(t, k.Handle(adoptedBy("b", mark(3, 5)), start))
	assertOrders(t, k.Handle(adoptedBy("c", mark(3, 5)), start), "announceRow ")
	assertOrders(t, k.Handle(Event{Kind: AnnounceRow, Row: RowConflict}, start))
	qt.Assert(t, k.Reason(), qt.Equals, ReasonClaimed)
}

// Guards against a promotion that the group's row does not tell of beforehand.
func TestPromotionIsAnnounced(t *testing.T) {
	announcing := func(t *testing.T) (*Keeper, []Order) {
		p := plan()
		p.ChecksTerm, p.WithoutTable, p.Replaces = false, false, 2
		k := NewKeeper(p)
		k.Start(start)
		k.Handle(Event{Kind: ClaimRow, Row: RowDone}, start)
		k.Handle(Event{Kind: ReadRow, Row: RowDone}, start)
		for _, id := range members {
			ev := adoptedBy(id, mark(3, 5))
			ev.Status.Before = 3
			if orders := k.Handle(ev, start); len(orders) > 0 {
				return k, orders
			}
		}
		t.Fatal("nothing is announced")
		return nil, nil
	}
	t.Run("with the term that is replaced", func(t *testing.T) {
		k, orders := announcing(t)
		assertOrders(t, orders, "announceRow ")
		qt.Assert(t, orders[0].Replaced, qt.Equals, cwgroup.Term(3))
		orders = k.Handle(Event{Kind: AnnounceRow, Row: RowDone}, start)
		assertOrders(t, orders, "promote a")
		qt.Assert(t, orders[0].NotAfter, qt.Equals, start.Add(RecheckLife))
	})
	t.Run("an answer is lost", func(t *testing.T) {
		k, _ := announcing(t)
		assertOrders(t, k.Handle(Event{Kind: AnnounceRow, Row: RowUnknown}, start), "announceRow ")
		assertOrders(t, k.Handle(Event{Kind: AnnounceRow, Row: RowDone}, start), "promote a")
	})
	t.Run("a late answer to an earlier question", func(t *testing.T) {
		k, _ := announcing(t)
		assertOrders(t, k.Handle(Event{Kind: ReadRow, Row: RowDone}, start))
		assertOrders(t, k.Handle(Event{Kind: AnnounceRow, Row: RowDone}, start), "promote a")
	})
	t.Run("the table is away", func(t *testing.T) {
		k, _ := announcing(t)
		assertOrders(t, k.Handle(Event{Kind: AnnounceRow, Row: RowUnavailable}, start))
		qt.Assert(t, k.Reason(), qt.Equals, ReasonTable)
	})
}

// A primary that is to leave is replaced by itself, and replaced again a second
// later: it took two more records while the others were fenced already, and was
// the most advanced. It is fenced first; and what only it has cannot have been
// acknowledged if all others were fenced.
func TestPlannedStopAvoidsTheLeavingMember(t *testing.T) {
	p := plan()
	p.Avoid = "a"
	leaving := func(t *testing.T, last cwgroup.Mark) *Keeper {
		k := NewKeeper(p)
		assertOrders(t, k.Start(start), "claimRow ")
		assertOrders(t, k.Handle(Event{Kind: ClaimRow, Row: RowDone}, start), "adopt a")
		assertOrders(t, k.Handle(adoptedBy("a", last), start), "adopt b", "adopt c")
		return k
	}
	t.Run("among equals", func(t *testing.T) {
		k := leaving(t, mark(3, 5))
		k.Handle(adoptedBy("b", mark(3, 5)), start)
		assertOrders(t, k.Handle(adoptedBy("c", mark(3, 4)), start), "promote b")
	})
	t.Run("also if it has more than all others", func(t *testing.T) {
		k := leaving(t, mark(3, 6))
		k.Handle(adoptedBy("b", mark(3, 5)), start)
		assertOrders(t, k.Handle(adoptedBy("c", mark(3, 4)), start), "promote b")
	})
	t.Run("unless one that may have more is missing", func(t *testing.T) {
		k := leaving(t, mark(3, 6))
		k.Handle(adoptedBy("b", mark(3, 5)), start)
		assertOrders(t, k.Handle(Event{Kind: Adopt, Member: "c", Claim: "k", Failed: true}, start), "promote a")
	})
	t.Run("and does not wait for it if it is gone", func(t *testing.T) {
		k := NewKeeper(p)
		k.Start(start)
		k.Handle(Event{Kind: ClaimRow, Row: RowDone}, start)
		gone := Event{Kind: Adopt, Member: "a", Claim: "k", Failed: true}
		assertOrders(t, k.Handle(gone, start), "adopt b", "adopt c")
		k.Handle(adoptedBy("b", mark(3, 5)), start)
		assertOrders(t, k.Handle(adoptedBy("c", mark(3, 4)), start), "promote b")
	})
}

func TestDetectPolicies(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		e                    Evidence
		byProxies, byReplica bool
	}{
		{"one of three, replicas still hear it", Evidence{Heard: 3, Suspects: 1, Listed: 3, Members: 3, StreamsAlive: 2}, false, false},
		{"two of three, replicas still hear it", Evidence{Heard: 3, Suspects: 2, Listed: 3, Members: 3, StreamsAlive: 2}, true, false},
		{"all, for long, replicas still hear it", Evidence{Heard: 3, Suspects: 3, Listed: 3, Members: 3, StreamsAlive: 2, Lasted: Persist}, true, true},
		{"two of three, replicas lost it", Evidence{Heard: 3, Suspects: 2, Listed: 3, Members: 3, StreamsLost: 2}, true, true},
		{"the other proxies died with it", Evidence{Heard: 1, Suspects: 1, Listed: 4, Members: 3, StreamsLost: 2}, false, true},
		{"cut off with one replica", Evidence{Heard: 1, Suspects: 1, Listed: 4, Members: 3, StreamsLost: 1}, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Check(t, ByProxies{}.Enough(tc.e), qt.Equals, tc.byProxies)
			qt.Check(t, ByProxiesAndReplicas{}.Enough(tc.e), qt.Equals, tc.byReplica)
		})
	}
}

func TestMayClaim(t *testing.T) {
	s := NewSupervisor("p", "s", "g", members)
	other := Row{Term: 4, Claim: "x", Keeper: "q"}
	qt.Assert(t, s.MayClaim(Row{Term: 3, Done: true}, 4, start), qt.IsTrue)
	qt.Assert(t, s.MayClaim(Row{Term: 4, Done: true}, 4, start), qt.IsFalse)
	qt.Assert(t, s.MayClaim(other, 4, start), qt.IsFalse)
	qt.Assert(t, s.MayClaim(other, 4, start.Add(ClaimLife-1)), qt.IsFalse)
	qt.Assert(t, s.MayClaim(other, 4, start.Add(ClaimLife)), qt.IsTrue)
}

// A hall is cut off with one replica. The silence of the primary is noticed a
// moment before that of the other replica; fencing the one that is left in that
// moment would take its reads away for nothing.
func TestOnlyMembersHeardSinceTheSuspicionCount(t *testing.T) {
	s := NewSupervisor("p", "s", "g", members)
	report := func(id cwgroup.MemberID, r cwgroup.Role, at time.Time) {
		s.Report(cwgroup.Report{Status: cwgroup.Status{
			Member: id, Role: r, Adopted: 1, Last: mark(1, 5), Applied: mark(1, 5), UpstreamAge: time.Second,
		}, At: at, Reachable: true}, "a", at)
	}
	report("a", cwgroup.RolePrimary, start)
	report("b", cwgroup.RoleReplica, start)
	report("c", cwgroup.RoleReplica, start)
	cut := start.Add(600 * time.Millisecond)
	s.Unreachable("a", cut)
	report("b", cwgroup.RoleReplica, cut.Add(50*time.Millisecond))
	one := Conditions{Listed: 1, ChecksTerm: true, WithoutTable: true}
	s.Tick(cut.Add(60*time.Millisecond), one)
	qt.Assert(t, s.Keeping(), qt.IsFalse)
	report("c", cwgroup.RoleReplica, cut.Add(70*time.Millisecond))
	s.Tick(cut.Add(80*time.Millisecond), one)
	qt.Assert(t, s.Keeping(), qt.IsTrue)
}

// A majority is fenced, and one of it starts again before the promotion is
// ordered: it has forgotten the fence, and perhaps what it had. The promotion
// would go by what is no longer so.
func TestRestartedMemberIsNotFenced(t *testing.T) {
	t.Run("while others are waited for", func(t *testing.T) {
		k := fencing(t, plan())
		k.Handle(adoptedBy("b", mark(3, 7)), start)
		k.Handle(adoptedBy("c", mark(3, 9)), start)
		k.Forget("c")
		assertOrders(t, k.Tick(start.Add(FencePatience)))
		assertOrders(t, k.Handle(adoptedBy("a", mark(3, 8)), start), "promote a")
	})
	t.Run("with nobody left to wait for", func(t *testing.T) {
		k := fencing(t, plan())
		k.Handle(Event{Kind: Adopt, Member: "a", Failed: true}, start)
		k.Handle(adoptedBy("b", mark(3, 7)), start)
		k.Forget("b")
		qt.Assert(t, k.Reason(), qt.Equals, ReasonRestarted)
	})
	t.Run("while it is announced", func(t *testing.T) {
		p := plan()
		p.ChecksTerm, p.WithoutTable = false, false
		k := NewKeeper(p)
		k.Start(start)
		k.Handle(Event{Kind: ClaimRow, Row: RowDone}, start)
		k.Handle(Event{Kind: ReadRow, Row: RowDone}, start)
		k.Handle(adoptedBy("a", mark(3, 7)), start)
		k.Handle(adoptedBy("b", mark(3, 7)), start)
		assertOrders(t, k.Handle(adoptedBy("c", mark(3, 7)), start), "announceRow ")
		k.Forget("c")
		qt.Assert(t, k.Reason(), qt.Equals, ReasonRestarted)
		assertOrders(t, k.Handle(Event{Kind: AnnounceRow, Row: RowDone}, start))
	})
}
