package cwleadership

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// loseMajority makes two of three members unreachable while statements for the group
// are refused, lets the group read its row, and waits for the health checks that began meanwhile:
// they fail, and a member that reports later would become unreachable again.
func (b *testGroup) loseMajority() {
	b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
	for _, id := range []cwgroup.MemberID{"b", "c"} {
		b.DialFailed(cwport.Endpoint{ID: id}, errUnavailable)
	}
	b.awaitRowRead()
	b.awaitChecks()
}

// awaitRowRead runs one tick and waits until it has read the row.
func (b *testGroup) awaitRowRead() {
	b.t.Helper()
	b.KeepWatching()
	b.RecordUnserved()
	b.clock.Advance(rowRetryInterval)
	before := b.table.readCount()
	b.tick(context.Background(), &errgroup.Group{})
	for range 400 {
		if b.table.readCount() > before {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	b.t.Fatal("the row was not read")
}

// assertServedElsewhere waits until ServedElsewhere returns want.
func (b *testGroup) assertServedElsewhere(want bool) {
	b.t.Helper()
	for range 400 {
		if b.ServedElsewhere() == want {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	b.t.Fatalf("served elsewhere: not %t after 2 s", want)
}

// Guards against callers that are refused for eight seconds by instances that are cut
// off, together with the old primary, from the other members and the store, while the
// other instances serve the group. Other groups were reachable, so nothing showed that
// callers are better served elsewhere.
func TestMinorityInstanceReportsGroupServedElsewhere(t *testing.T) {
	t.Run("the store is unreachable as well", func(t *testing.T) {
		b := newTestGroup(t)
		b.table.setUnavailable(true)
		b.loseMajority()
		b.assertServedElsewhere(true)
		b.clock.Advance(2 * unservedWindow)
		b.assertServedElsewhere(true)
	})
	t.Run("the row names another primary", func(t *testing.T) {
		b := newTestGroup(t)
		b.table.value = []byte(rowChangedToB)
		b.loseMajority()
		b.assertServedElsewhere(true)
	})
	t.Run("members are reachable again", func(t *testing.T) {
		b := newTestGroup(t)
		b.table.setUnavailable(true)
		b.loseMajority()
		b.reportHealth("b", cwgroup.RoleReplica, 1, 100)
		b.tick(context.Background(), &errgroup.Group{})
		b.assertServedElsewhere(false)
	})
}

// If the members are unreachable for every instance and no change of primary has taken
// place, sending callers elsewhere would help none of them.
func TestUnreachableMembersAloneAreNotServedElsewhere(t *testing.T) {
	b := newTestGroup(t)
	b.loseMajority()
	b.assertServedElsewhere(false)
	b.table.setUnavailable(true)
	b.awaitRowRead()
	b.assertServedElsewhere(true)
	b.table.setUnavailable(false)
	b.awaitRowRead()
	b.assertServedElsewhere(false)
}
