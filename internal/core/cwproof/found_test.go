package cwproof

import (
	"strings"
	"testing"
	"time"
)

// assertHolds plays a schedule and fails if anything was broken.
func assertHolds(t *testing.T, seed uint64, o options, faults ...fault) {
	t.Helper()
	if broken := newWorld(seed, o).play(faults); len(broken) > 0 {
		t.Fatalf("%s", strings.Join(broken, "\n"))
	}
}

// Writes stand still for good although every database is well again: the
// primary froze, the keeper found no majority since the second database froze
// too, and gave up. When the primary woke it obeyed the old order and stepped
// down. Nobody led, so there was no primary to suspect, and nobody acted.
func TestNobodyLeadsAfterAFenceWithoutPromotion(t *testing.T) {
	assertHolds(t, 0, checked,
		fault{kind: cutProxyFromMember, at: 500 * time.Millisecond, lasts: time.Millisecond, target: 0, other: 1},
		fault{kind: freezeMember, at: 506 * time.Millisecond, lasts: 114 * time.Millisecond, target: 0, other: 2},
		fault{kind: freezeMember, at: 606 * time.Millisecond, lasts: 1627 * time.Millisecond, target: 0, other: 2},
		fault{kind: freezeMember, at: 1110 * time.Millisecond, lasts: 5 * time.Second, target: 1, other: 1})
}

// Bookings hang and then fail for as long as a path is cut: the primary answers
// every proxy, but neither replica can copy from it any more, so nothing that
// it takes can be acknowledged. It must be replaced although it is reachable.
func TestPrimaryThatCannotReplicateIsReplaced(t *testing.T) {
	w := newWorld(3, checked)
	broken := w.play([]fault{{kind: cutPrimaryFromReplicas, at: time.Second, lasts: 10 * time.Second}})
	if len(broken) > 0 {
		t.Fatalf("%s", strings.Join(broken, "\n"))
	}
	longest := w.longestPause()
	if longest > 7*time.Second {
		t.Fatalf("nothing was acknowledged for %v", longest)
	}
}

// A database stays without work for good: a keeper made it adopt a later term,
// found no majority and died. It cannot follow the primary of an earlier term,
// so the primary's term must be raised for it.
func TestStrandedMemberComesBack(t *testing.T) {
	w := newWorld(5, checked)
	w.after(2*time.Second, func() { w.members[2].adopt(9, "nobody") })
	if broken := w.play(nil); len(broken) > 0 {
		t.Fatalf("%s", strings.Join(broken, "\n"))
	}
}

// A casero writes, his phone reconnects without its token through a proxy that
// is cut off together with a primary that has been replaced, and his record is
// not there. That proxy asked its primary for its position, and the primary
// still believed that it led.
func TestReadAfterRoamingToTheWrongSide(t *testing.T) {
	for seed := range uint64(20) {
		assertHolds(t, seed, checked, fault{kind: splitPrimary, at: time.Second, lasts: 6 * time.Second, target: int(seed % 3)})
	}
}

// A database stays without work for good: two keepers claimed the same term
// while the table was slow, the database adopted it for the one that lost, and
// so refuses to follow the primary of the other.
func TestMemberThatAdoptedForTheOtherClaimComesBack(t *testing.T) {
	assertHolds(t, 0, checked,
		fault{kind: freezeMember, at: 500 * time.Millisecond, lasts: time.Millisecond, target: 0, other: 1},
		fault{kind: killMember, at: 503 * time.Millisecond, lasts: 988 * time.Millisecond, target: 0, other: 1},
		fault{kind: tableSlow, at: 500 * time.Millisecond, lasts: 1736 * time.Millisecond, target: 1, other: 1})
}
