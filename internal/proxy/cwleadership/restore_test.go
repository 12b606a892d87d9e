package cwleadership

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwclaim"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// restorableTable is a table with one row, which a restore can change or remove.
type restorableTable struct {
	mu    sync.Mutex
	value []byte
	era   uint64
}

func (r *restorableTable) Get(_ context.Context, key string) (cwplatform.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.value == nil {
		return cwplatform.Row{}, &cwplatform.NotFoundError{Key: key}
	}
	return cwplatform.Row{Key: key, Value: r.value, ETag: "7"}, nil
}

func (r *restorableTable) List(context.Context, string) ([]cwplatform.Row, error) { return nil, nil }

func (r *restorableTable) Commit(_ context.Context, c cwplatform.Change) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Expect[0].ETag == "" != (r.value == nil) {
		return &cwplatform.ConflictError{Key: c.Expect[0].Key}
	}
	r.value = c.Put[0].Value
	return nil
}

// restore resets the table to a copy with the given value, nil for no row, and begins a
// new era.
func (r *restorableTable) restore(value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.value = value
	r.era++
}

func (r *restorableTable) newestEra() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

func (r *restorableTable) row(t *testing.T) cwfailover.Row {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.value == nil {
		return cwfailover.Row{Done: true}
	}
	row, err := cwclaim.Decode(r.value)
	qt.Assert(t, err, qt.IsNil)
	return row
}

// newRestorableGroup returns a group with a known primary, and its table with the given
// row.
func newRestorableGroup(t *testing.T, value string) (*testGroup, *restorableTable) {
	b := newTestGroup(t)
	table := &restorableTable{value: []byte(value)}
	b.cfg.Table, b.cfg.Era = table, table.newestEra
	b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
	b.reportHealth("c", cwgroup.RoleReplica, 1, 100)
	return b, table
}

// observeRestore passes the table's era to the group.
func (b *testGroup) observeRestore(r *restorableTable) { b.SetEra(r.newestEra(), b.clock.Now()) }

// runTicks advances virtual time by d, with a tick at each step.
func (b *testGroup) runTicks(d time.Duration) {
	b.t.Helper()
	eg, ctx := errgroup.WithContext(context.Background())
	for end := b.clock.Now().Add(d); b.clock.Now().Before(end); {
		b.tick(ctx, eg)
		b.clock.Advance(activeTick)
		time.Sleep(time.Millisecond)
	}
	qt.Assert(b.t, eg.Wait(), qt.IsNil)
}

func (b *testGroup) claimable() bool { return b.mayClaim(cwfailover.Row{Done: true}, 9) }

// Guards against a second promotion right after one whose claim was lost in a restore.
func TestNoClaimRightAfterRestore(t *testing.T) {
	b, table := newRestorableGroup(t, rowChangedToB)
	qt.Assert(t, b.claimable(), qt.IsTrue)
	table.restore(nil)
	qt.Assert(t, b.claimable(), qt.IsFalse, qt.Commentf("an answer of the table has shown the restore"))
	b.observeRestore(table)
	qt.Assert(t, b.claimable(), qt.IsFalse)
	b.clock.Advance(cwfailover.ClaimTTL)
	qt.Assert(t, b.claimable(), qt.IsTrue)
}

// Guards against a proxy that reads its claim back from a restored copy and goes on
// with its change of primary beside a newer claim.
func TestClaimFromBeforeRestoreIsAbandoned(t *testing.T) {
	const mine = `{"term":2,"claim":"x-1","keeper":"x"}`
	b, table := newRestorableGroup(t, mine)
	readBack := cwfailover.Command{Kind: cwfailover.ReadClaim, Term: 2, Claim: "x-1"}
	qt.Assert(t, b.executeRowCommand(context.Background(), readBack), qt.Equals, cwfailover.RowConfirmed)
	table.restore([]byte(mine))
	qt.Assert(t, b.executeRowCommand(context.Background(), readBack), qt.Equals, cwfailover.RowConflict)
	b.observeRestore(table)
	qt.Assert(t, b.executeRowCommand(context.Background(), readBack), qt.Equals, cwfailover.RowConflict)
}

// restartOf returns the state of a member's restart. The group's own check of the row may
// change it at the same time.
func (b *testGroup) restartOf(id cwgroup.MemberID) restart {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.restarts[id]
}

// Guards against stale reads from a member that forgot its fence, when the row that
// would show the fence was lost in a restore.
func TestRestartCheckWaitsAfterRestore(t *testing.T) {
	b, table := newRestorableGroup(t, rowChangedToB)
	table.restore(nil)
	b.listMembers(time.UnixMilli(900))
	unchecked := func() bool {
		checked := b.checkFenceInRow("c", b.restartOf("c").detectedAt)
		qt.Assert(t, checked, qt.Equals, !b.restartOf("c").fenceUnchecked)
		return b.restartOf("c").fenceUnchecked
	}
	qt.Assert(t, unchecked(), qt.IsTrue, qt.Commentf("an answer of the table has shown the restore"))
	b.observeRestore(table)
	qt.Assert(t, unchecked(), qt.IsTrue)
	b.clock.Advance(cwfailover.ClaimTTL)
	qt.Assert(t, unchecked(), qt.IsFalse)
}

// Guards against the same stale reads at any later time, because no proxy wrote the
// lost row again.
func TestRowLostInRestoreIsRewritten(t *testing.T) {
	const claimed = `{"term":1,"claim":"n","keeper":"z"}`
	for _, tc := range []struct{ name, after, want string }{
		{"the row is gone", "", rowChangedToB},
		{"the row is from before the change", `{"term":1,"claim":"j","keeper":"z","primary":"a","done":true}`, rowChangedToB},
		{"the claim is unfinished", `{"term":2,"claim":"k","keeper":"y"}`, rowChangedToB},
		{"another claim is in progress", claimed, claimed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, table := newRestorableGroup(t, rowChangedToB)
			b.SetRow(table.row(t))
			table.restore(nil)
			if tc.after != "" {
				table.restore([]byte(tc.after))
			}
			b.observeRestore(table)
			b.SetHeld(0, false)
			qt.Assert(t, b.tickInterval(), qt.Equals, activeTick, qt.Commentf("even if others hold the group"))
			b.runTicks(cwfailover.ClaimTTL)
			want, err := cwclaim.Decode([]byte(tc.want))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, table.row(t), qt.Equals, want)
		})
	}
}
