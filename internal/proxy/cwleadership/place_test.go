package cwleadership

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// placeRead places a read of data of up to a second, which must see lastWrite.
func (b *testGroup) placeRead(lastWrite cwgroup.LogPosition) Placement {
	b.t.Helper()
	rd := Read{ArrivedAt: b.clock.Now(), MaxAge: time.Second, LastWrite: lastWrite}
	p, err := b.PlaceRead(context.Background(), rd, b.clock.Now())
	qt.Assert(b.t, err, qt.IsNil)
	return p
}

// Guards against reads that run into the refusal of the read before them.
func TestMemberThatRefusedIsAvoided(t *testing.T) {
	b := newTestGroup(t)
	written := cwgroup.LogPosition{Term: 1, Index: 101}
	b.reportHealth("a", cwgroup.RolePrimary, 1, 101)
	b.reportHealth("b", cwgroup.RoleReplica, 1, 101)
	b.reportHealth("c", cwgroup.RoleReplica, 1, 101)
	// Members that have not been tried get one read each. The primary serves the others.
	refused := map[cwgroup.MemberID]bool{}
	for range 2 {
		p := b.placeRead(written)
		qt.Assert(t, p.Primary || refused[p.ID], qt.IsFalse)
		refused[p.ID] = true
		b.ObserveFloor(p, cwstatement.Response{Code: cwstatement.Behind, LogEnd: cwgroup.LogPosition{Term: 1, Index: 100}}, b.clock.Now())
	}
	for range 20 {
		b.clock.Advance(time.Millisecond)
		qt.Assert(t, b.placeRead(written).Primary, qt.IsTrue)
	}
	b.ObservePosition("c", written, false, b.clock.Now())
	qt.Assert(t, b.placeRead(written).ID, qt.Equals, cwgroup.MemberID("c"))
}

// Guards against a read that is refused although the only member that can serve it will
// have its floor a moment later.
func TestReadWaitsForAReplica(t *testing.T) {
	b := newTestGroup(t)
	b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
	b.reportHealth("b", cwgroup.RoleReplica, 1, 100)
	index := cwgroup.LogIndex(100)
	for range 300 {
		index++
		b.ObservePosition("a", cwgroup.LogPosition{Term: 1, Index: index}, true, b.clock.Now())
		b.clock.Advance(20 * time.Millisecond)
		b.ObservePosition("b", cwgroup.LogPosition{Term: 1, Index: index - 1}, false, b.clock.Now())
	}
	arrivedAt := b.clock.Now()
	rd := Read{ArrivedAt: arrivedAt, MaxAge: time.Second, LastWrite: cwgroup.LogPosition{Term: 1, Index: index}, RefusedBy: []cwgroup.MemberID{"a", "c"}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	placed := make(chan Placement, 1)
	go func() {
		p, _ := b.PlaceRead(ctx, rd, arrivedAt.Add(200*time.Millisecond))
		placed <- p
	}()
	qt.Assert(t, b.clock.BlockUntilContext(ctx, 1), qt.IsNil)
	b.clock.Advance(100 * time.Millisecond)
	p := <-placed
	qt.Assert(t, p.ID, qt.Equals, cwgroup.MemberID("b"))
	qt.Assert(t, p.Held > 0 && p.Held <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", p.Held))
}

// Guards against a session that is sent with a floor newer than it needs: its last
// write is of an earlier term, and this proxy learnt of the new term late.
func TestFloorOfASessionThatWroteInAnEarlierTerm(t *testing.T) {
	b := newTestGroup(t)
	for i := range cwgroup.LogIndex(4) {
		m := cwgroup.LogPosition{Term: 2, Index: 500 + i}
		at := b.clock.Now()
		b.clock.Advance(time.Millisecond)
		b.observeHealth("a", cwstatement.Health{Role: cwgroup.RolePrimary, Term: 2, LogEnd: m}, at)
		b.observeHealth("b", cwstatement.Health{Role: cwgroup.RoleReplica, Term: 2, LogEnd: m}, at)
		b.clock.Advance(900 * time.Millisecond)
	}
	for _, tc := range []struct {
		name      string
		lastWrite cwgroup.LogPosition
		want      cwgroup.LogIndex
	}{
		{"no write", cwgroup.LogPosition{}, 503},
		{"in an earlier term", cwgroup.LogPosition{Term: 1, Index: 480}, 503},
		{"long ago", cwgroup.LogPosition{Term: 2, Index: 400}, 503},
		{"a moment ago", cwgroup.LogPosition{Term: 2, Index: 510}, 510},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Assert(t, b.placeRead(tc.lastWrite).Floor.Index, qt.Equals, tc.want)
		})
	}
}
