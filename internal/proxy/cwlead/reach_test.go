package cwlead

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// loseMost makes most members of the group unreachable while statements for it
// are refused, and lets the group look at its row.
func (b *testGroup) loseMost() {
	b.tell("a", cwgroup.RolePrimary, 1, 100)
	for _, id := range []cwgroup.MemberID{"b", "c"} {
		b.DialFailed(cwport.Endpoint{ID: id}, errAway)
	}
	b.lookAtRow()
}

// lookAtRow lets one tick pass, and waits for what it reads.
func (b *testGroup) lookAtRow() {
	b.t.Helper()
	b.KeepWatching()
	b.NoteUnserved()
	b.clock.Advance(rowPause)
	before := b.table.asked()
	b.tick(context.Background(), &errgroup.Group{})
	for range 400 {
		if b.table.asked() > before {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	b.t.Fatal("the row was not read")
}

// assertOvertaken waits until the group is taken to be served elsewhere, or not.
func (b *testGroup) assertOvertaken(want bool) {
	b.t.Helper()
	for range 400 {
		if b.Overtaken() == want {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	b.t.Fatalf("overtaken: not %t within 2 s", want)
}

// Callers of some instances are refused for eight seconds though the others serve
// their group: these instances, with the old primary, are cut off from the other
// members and from the store, and nothing told them that callers are better off
// elsewhere, since other groups were in reach.
func TestInstanceOnTheSmallerSideSendsCallersAway(t *testing.T) {
	t.Run("the store is out of reach as well", func(t *testing.T) {
		b := newTestGroup(t)
		b.table.setAway(true)
		b.loseMost()
		b.assertOvertaken(true)
		b.clock.Advance(2 * unservedFor)
		b.assertOvertaken(true)
	})
	t.Run("the row names another primary", func(t *testing.T) {
		b := newTestGroup(t)
		b.table.value = []byte(changedToB)
		b.loseMost()
		b.assertOvertaken(true)
	})
	t.Run("members are in reach again", func(t *testing.T) {
		b := newTestGroup(t)
		b.table.setAway(true)
		b.loseMost()
		b.tell("b", cwgroup.RoleReplica, 1, 100)
		b.tick(context.Background(), &errgroup.Group{})
		b.assertOvertaken(false)
	})
}

// The members are lost to everybody, and nobody has done anything about it: an
// instance that sent its callers away would help none of them.
func TestLostMembersAloneSendNobodyAway(t *testing.T) {
	b := newTestGroup(t)
	b.loseMost()
	b.assertOvertaken(false)
	b.table.setAway(true)
	b.lookAtRow()
	b.assertOvertaken(true)
	b.table.setAway(false)
	b.lookAtRow()
	b.assertOvertaken(false)
}
