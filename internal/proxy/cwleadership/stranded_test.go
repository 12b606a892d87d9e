package cwleadership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// Guards against a replica that a failed change of primary has left fenced, and that nobody asks, since
// the primary is known and its commits get no answer.
func TestFencedReplicaIsAskedAgain(t *testing.T) {
	b := newTestGroup(t)
	b.KeepWatching()
	b.reportHealth("a", cwgroup.RolePrimary, 2, 100)
	asked := b.clock.Now()
	b.clock.Advance(time.Millisecond)
	b.observeHealth("b", cwstatement.Health{Role: cwgroup.RoleReplica, Term: 2, FencedTerm: 3, LogEnd: cwgroup.LogPosition{Term: 2, Index: 100}}, asked)
	b.clock.Advance(time.Second)
	b.reportHealth("a", cwgroup.RolePrimary, 2, 100)
	n := b.countChecks()
	b.runCheckTicks(activeTick)
	qt.Assert(t, n.Load(), qt.Equals, int64(3))
}
