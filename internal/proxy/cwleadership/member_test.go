package cwleadership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Guards against memory that grows with each exchange of a member, also if a check of the
// member begins just after it was removed.
func TestRemovedMemberLeavesNothing(t *testing.T) {
	b := newTestGroup(t)
	b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
	b.reportHealth("b", cwgroup.RoleReplica, 1, 100)
	b.mu.Lock()
	b.readLog[readLogKey{member: "c"}] = readLogEntry{loggedAt: b.clock.Now()}
	b.mu.Unlock()
	b.SetMembers([]cwport.ListedTarget{
		{ID: "a", Service: "ledger", Address: "10.0.0.1:1", DataCentre: "dc", Slots: 3, StartedAt: time.UnixMilli(400)},
		{ID: "b", Service: "ledger", Address: "10.0.0.2:1", DataCentre: "dc", Slots: 3, StartedAt: time.UnixMilli(400)},
	}, 2, 8, false)
	qt.Assert(t, b.beginHealthCheck("c", CauseUnsettled), qt.IsFalse)
	b.mu.Lock()
	defer b.mu.Unlock()
	qt.Assert(t, b.lastCheckAt, qt.HasLen, 0)
	qt.Assert(t, b.readLog, qt.HasLen, 0)
}
