package cwsimulation

import (
	"strings"
	"testing"
	"time"
)

// assertNoViolations runs a schedule and fails the test if there are violations.
func assertNoViolations(t *testing.T, seed uint64, o options, faults ...fault) {
	t.Helper()
	if violations := newSimulation(seed, o).runSchedule(faults); len(violations) > 0 {
		t.Fatalf("%s", strings.Join(violations, "\n"))
	}
}

// Guards against a group that stays without a primary after all databases have
// recovered. The primary froze, and the failover attempt was abandoned because the second
// database froze too and there was no majority. When the primary resumed, it obeyed the
// earlier fencing command and stepped down. There was then no primary to suspect, so no
// proxy started a failover.
func TestGroupRecoversAfterFenceWithoutPromotion(t *testing.T) {
	assertNoViolations(t, 0, withTermChecks,
		fault{kind: cutProxyFromMember, at: 500 * time.Millisecond, lasts: time.Millisecond, target: 0, other: 1},
		fault{kind: freezeMember, at: 506 * time.Millisecond, lasts: 114 * time.Millisecond, target: 0, other: 2},
		fault{kind: freezeMember, at: 606 * time.Millisecond, lasts: 1627 * time.Millisecond, target: 0, other: 2},
		fault{kind: freezeMember, at: 1110 * time.Millisecond, lasts: 5 * time.Second, target: 1, other: 1})
}

// Guards against writes that fail for as long as a path is cut. The primary answers every
// proxy, but no replica can replicate from it, so no write can be acknowledged. It must
// be replaced although it is reachable.
func TestPrimaryCutFromReplicasIsReplaced(t *testing.T) {
	sim := newSimulation(3, withTermChecks)
	violations := sim.runSchedule([]fault{{kind: cutPrimaryFromReplicas, at: time.Second, lasts: 10 * time.Second}})
	if len(violations) > 0 {
		t.Fatalf("%s", strings.Join(violations, "\n"))
	}
	longest := sim.longestPause()
	if longest > 7*time.Second {
		t.Fatalf("nothing was acknowledged for %v", longest)
	}
}

// Guards against a database that never rejoins its group. A failover attempt made it
// adopt a later term, found no majority and ended. The database cannot follow a primary
// of an earlier term, so the primary's term must be raised.
func TestMemberWithLaterTermRejoins(t *testing.T) {
	sim := newSimulation(5, withTermChecks)
	sim.after(2*time.Second, func() { sim.members[2].adopt(9, "nobody") })
	if violations := sim.runSchedule(nil); len(violations) > 0 {
		t.Fatalf("%s", strings.Join(violations, "\n"))
	}
}

// Guards against stale reads after a reconnect. A caller writes and then reconnects
// without its session token, through a proxy that is partitioned together with a
// replaced primary, and does not find its record. The proxy took the position for the
// read from that primary, which did not know that it had been replaced.
func TestReadAfterReconnectToReplacedPrimary(t *testing.T) {
	for seed := range uint64(20) {
		assertNoViolations(t, seed, withTermChecks, fault{kind: splitPrimary, at: time.Second, lasts: 6 * time.Second, target: int(seed % 3)})
	}
}

// Guards against a database that never rejoins its group. Two proxies claimed the same
// term while the table was slow. The database adopted the term for the losing claim, and
// so refuses to follow the primary of the other claim.
func TestMemberWithLosingClaimRejoins(t *testing.T) {
	assertNoViolations(t, 0, withTermChecks,
		fault{kind: freezeMember, at: 500 * time.Millisecond, lasts: time.Millisecond, target: 0, other: 1},
		fault{kind: killMember, at: 503 * time.Millisecond, lasts: 988 * time.Millisecond, target: 0, other: 1},
		fault{kind: tableSlow, at: 500 * time.Millisecond, lasts: 1736 * time.Millisecond, target: 1, other: 1})
}

// Guards against records lost while two members leave and those that replace them receive
// nothing: the records are acknowledged on account of the leaving ones, and the primary is
// cut off and replaced on account of the others. The rejected rules show that the schedule
// brings this about.
func TestRecordsOfLeavingMembersAreKept(t *testing.T) {
	t.Parallel()
	schedule := []fault{
		{kind: replaceTarget, at: 500 * time.Millisecond, target: 1},
		{kind: replaceTarget, at: 500 * time.Millisecond, target: 2},
		{kind: deafenReplicas, at: 1100 * time.Millisecond, lasts: 8 * time.Second, target: 0, other: 1},
		{kind: isolatePrimary, at: 5900 * time.Millisecond, lasts: 4 * time.Second},
	}
	dropped, trusted := whileMembersChange, whileSynchronousMembersChange
	dropped.dropLeavingMembers = true
	trusted.ackAtSynchronousReplica = true
	for seed := range uint64(3) {
		assertNoViolations(t, seed, whileMembersChange, schedule...)
		assertNoViolations(t, seed, whileSynchronousMembersChange, schedule...)
		for name, o := range map[string]options{"leaving members are dropped": dropped, "a synchronous primary is trusted": trusted} {
			if violations := newSimulation(seed, o).runSchedule(schedule); len(violations) == 0 {
				t.Errorf("%s: no violation with seed %d", name, seed)
			}
		}
	}
}
