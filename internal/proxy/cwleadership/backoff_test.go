package cwleadership

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// countChecks makes the group count its health checks.
func (b *testGroup) countChecks() *atomic.Int64 {
	var n atomic.Int64
	b.cfg.CountCheck = func(CheckCause) { n.Add(1) }
	return &n
}

// runCheckTicks runs the ticks of an unsettled group for d, and waits after each one until the
// health checks that it began have ended.
func (b *testGroup) runCheckTicks(d time.Duration) {
	b.t.Helper()
	for end := b.clock.Now().Add(d); b.clock.Now().Before(end); b.clock.Advance(activeTick) {
		b.tick(context.Background(), &errgroup.Group{})
		b.awaitChecks()
	}
}

func (b *testGroup) awaitChecks() {
	b.t.Helper()
	for range 2000 {
		b.mu.Lock()
		n := len(b.checking)
		b.mu.Unlock()
		if n == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	b.t.Fatal("a health check has not ended after 2 s")
}

// Guards against instances of a data centre that is cut off and check all members of all
// groups 20 times a second, and against a backoff that hides news: a row of the store or
// an answer must lead to a check in the next tick.
func TestChecksAreSpacedWhileCutOff(t *testing.T) {
	for _, tc := range []struct {
		name string
		news func(b *testGroup)
		want int64
	}{
		{"no news", func(*testGroup) {}, 0},
		{"a row of the store", func(b *testGroup) { b.SetRow(cwfailover.Row{Term: 2, Claim: "y-1", Primary: "b", Done: true}) }, 3},
		{"a member answers", func(b *testGroup) { b.reportHealth("b", cwgroup.RoleReplica, 1, 100) }, 3},
		{"other data centres answer again", func(b *testGroup) { b.cfg.RemotePath.RecordAnswer(b.clock.Now()) }, 3},
		{"a member restarts", func(b *testGroup) { b.listMembers(time.UnixMilli(900)) }, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestGroup(t)
			b.KeepWatching()
			for _, id := range []cwgroup.MemberID{"a", "b", "c"} {
				b.DialFailed(cwport.Endpoint{ID: id}, errUnavailable)
			}
			b.cfg.RemotePath.RecordOverdue(b.clock.Now())
			n := b.countChecks()
			b.runCheckTicks(3 * time.Second)
			qt.Assert(t, n.Load() <= 3*7, qt.IsTrue, qt.Commentf("%d checks in 3 s", n.Load()))
			b.KeepWatching()
			b.runCheckTicks(300 * time.Millisecond)
			before := n.Load()
			tc.news(b)
			b.runCheckTicks(activeTick)
			qt.Assert(t, n.Load()-before, qt.Equals, tc.want)
		})
	}
}
