package cwlead

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

// restoredTable is a table with one row, which a restore can lose.
type restoredTable struct {
	mu    sync.Mutex
	value []byte
	era   uint64
}

func (r *restoredTable) Get(_ context.Context, key string) (cwplatform.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.value == nil {
		return cwplatform.Row{}, &cwplatform.NotFoundError{Key: key}
	}
	return cwplatform.Row{Key: key, Value: r.value, ETag: "7"}, nil
}

func (r *restoredTable) List(context.Context, string) ([]cwplatform.Row, error) { return nil, nil }

func (r *restoredTable) Commit(_ context.Context, c cwplatform.Change) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Expect[0].ETag == "" != (r.value == nil) {
		return &cwplatform.ConflictError{Key: c.Expect[0].Key}
	}
	r.value = c.Put[0].Value
	return nil
}

// restore goes back to a copy with a value, nil for none.
func (r *restoredTable) restore(value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.value = value
	r.era++
}

func (r *restoredTable) newestEra() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

func (r *restoredTable) row(t *testing.T) cwfailover.Row {
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

// newRestoredGroup returns a group that knows a primary, before a table with a row.
func newRestoredGroup(t *testing.T, value string) (*testGroup, *restoredTable) {
	b := newTestGroup(t)
	table := &restoredTable{value: []byte(value)}
	b.cfg.Table, b.cfg.Era = table, table.newestEra
	b.tell("a", cwgroup.RolePrimary, 1, 100)
	b.tell("c", cwgroup.RoleReplica, 1, 100)
	return b, table
}

// hearOfRestore tells the group of the table's era.
func (b *testGroup) hearOfRestore(r *restoredTable) { b.SetEra(r.newestEra(), b.clock.Now()) }

// passTime lets virtual time pass with ticks.
func (b *testGroup) passTime(d time.Duration) {
	b.t.Helper()
	eg, ctx := errgroup.WithContext(context.Background())
	for end := b.clock.Now().Add(d); b.clock.Now().Before(end); {
		b.tick(ctx, eg)
		b.clock.Advance(tick)
		time.Sleep(time.Millisecond)
	}
	qt.Assert(b.t, eg.Wait(), qt.IsNil)
}

func (b *testGroup) claimable() bool { return b.mayClaim(cwfailover.Row{Done: true}, 9) }

// Guards against a second promotion, right after one whose claim a restore has lost.
func TestNothingIsClaimedRightAfterARestore(t *testing.T) {
	b, table := newRestoredGroup(t, changedToB)
	qt.Assert(t, b.claimable(), qt.IsTrue)
	table.restore(nil)
	qt.Assert(t, b.claimable(), qt.IsFalse, qt.Commentf("an answer of the table has told of a restore"))
	b.hearOfRestore(table)
	qt.Assert(t, b.claimable(), qt.IsFalse)
	b.clock.Advance(cwfailover.ClaimLife)
	qt.Assert(t, b.claimable(), qt.IsTrue)
}

// Guards against a keeper that reads its claim back from a copy and goes on beside another one.
func TestClaimOfBeforeARestoreIsGivenUp(t *testing.T) {
	const mine = `{"term":2,"claim":"x-1","keeper":"x"}`
	b, table := newRestoredGroup(t, mine)
	readBack := cwfailover.Order{Kind: cwfailover.ReadRow, Term: 2, Claim: "x-1"}
	qt.Assert(t, b.sendRow(context.Background(), readBack), qt.Equals, cwfailover.RowDone)
	table.restore([]byte(mine))
	qt.Assert(t, b.sendRow(context.Background(), readBack), qt.Equals, cwfailover.RowConflict)
	b.hearOfRestore(table)
	qt.Assert(t, b.sendRow(context.Background(), readBack), qt.Equals, cwfailover.RowConflict)
}

// Guards against stale reads by a member that forgot its fence, checked by a row that a restore has lost.
func TestRestartIsNotCheckedRightAfterARestore(t *testing.T) {
	b, table := newRestoredGroup(t, changedToB)
	table.restore(nil)
	b.list(time.UnixMilli(900))
	unchecked := func() bool {
		qt.Assert(t, b.checkRow("c", b.restarts["c"].at), qt.Equals, !b.restarts["c"].unchecked)
		return b.restarts["c"].unchecked
	}
	qt.Assert(t, unchecked(), qt.IsTrue, qt.Commentf("an answer of the table has told of a restore"))
	b.hearOfRestore(table)
	qt.Assert(t, unchecked(), qt.IsTrue)
	b.clock.Advance(cwfailover.ClaimLife)
	qt.Assert(t, unchecked(), qt.IsFalse)
}

// Guards against the same at any later time, since nobody wrote the lost row again.
func TestLostRowIsWrittenAgain(t *testing.T) {
	const claimed = `{"term":1,"claim":"n","keeper":"z"}`
	for _, tc := range []struct{ name, after, want string }{
		{"it is gone", "", changedToB},
		{"it is as it was before the change", `{"term":1,"claim":"j","keeper":"z","primary":"a","done":true}`, changedToB},
		{"its claim is not finished", `{"term":2,"claim":"k","keeper":"y"}`, changedToB},
		{"another claim is worked on", claimed, claimed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, table := newRestoredGroup(t, changedToB)
			b.SetRow(table.row(t))
			table.restore(nil)
			if tc.after != "" {
				table.restore([]byte(tc.after))
			}
			b.hearOfRestore(table)
			b.SetHeld(0, false)
			qt.Assert(t, b.pause(), qt.Equals, tick, qt.Commentf("also where others hold the group"))
			b.passTime(cwfailover.ClaimLife)
			want, err := cwclaim.Decode([]byte(tc.want))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, table.row(t), qt.Equals, want)
		})
	}
}
