package cwleadership

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwclaim"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// testGroup is a group on virtual time whose members' answers are given by the test.
type testGroup struct {
	*Group
	t     *testing.T
	clock *clockwork.FakeClock
	table *rowTable
}

func newTestGroup(t *testing.T) *testGroup {
	b := &testGroup{t: t, clock: clockwork.NewFakeClockAt(time.Unix(1000, 0)), table: &rowTable{}}
	b.Group = New(Config{
		Self: "x", DataCentre: "dc", Service: "ledger", Clock: b.clock, Log: log.New(io.Discard),
		Dialer: failingDialer{}, Table: b.table,
	})
	b.listMembers(time.UnixMilli(500))
	t.Cleanup(b.Close)
	return b
}

// listMembers sets members a, b and c; c has the given start time.
func (b *testGroup) listMembers(startedAt time.Time) {
	b.SetMembers([]cwport.ListedTarget{
		{ID: "a", Service: "ledger", Address: "10.0.0.1:1", DataCentre: "dc", Slots: 3, StartedAt: time.UnixMilli(400)},
		{ID: "b", Service: "ledger", Address: "10.0.0.2:1", DataCentre: "dc", Slots: 3, StartedAt: time.UnixMilli(400)},
		{ID: "c", Service: "ledger", Address: "10.0.0.3:1", DataCentre: "dc", Slots: 3, StartedAt: startedAt},
	}, 3, 8)
}

// reportHealth lets a member answer a health check sent now, one millisecond later,
// with its log at a position of term 1.
func (b *testGroup) reportHealth(id cwgroup.MemberID, role cwgroup.Role, term cwgroup.Term, received cwgroup.LogIndex) {
	asked := b.clock.Now()
	b.clock.Advance(time.Millisecond)
	b.observeHealth(id, cwstatement.Health{Role: role, Term: term, LogEnd: cwgroup.LogPosition{Term: 1, Index: received}}, asked)
}

// awaitFenceCheck waits until the row has been checked after a restart of c, or, if
// want is false, until it has been read without passing the check.
func (b *testGroup) awaitFenceCheck(want bool) {
	b.t.Helper()
	for range 400 {
		b.clock.Advance(10 * time.Millisecond)
		time.Sleep(time.Millisecond)
		b.mu.Lock()
		checked := !b.restarts["c"].fenceUnchecked
		b.mu.Unlock()
		if checked == want && (want || b.table.readCount() > 1) {
			return
		}
	}
	b.t.Fatalf("row check passed: not %t after 400 steps", want)
}

func (b *testGroup) assertConfirmed(want bool) {
	b.t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	qt.Assert(b.t, b.clock.Since(b.confirmedAt) < Lease, qt.Equals, want)
}

// rowTable is a table with at most one row.
type rowTable struct {
	mu          sync.Mutex
	value       []byte
	unavailable bool
	reads       int
}

func (r *rowTable) readCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads
}

func (r *rowTable) setUnavailable(unavailable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unavailable = unavailable
}

func (r *rowTable) Get(_ context.Context, key string) (cwplatform.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	switch {
	case r.unavailable:
		return cwplatform.Row{}, &cwplatform.UnavailableError{Cause: errUnavailable}
	case r.value == nil:
		return cwplatform.Row{}, &cwplatform.NotFoundError{Key: key}
	}
	return cwplatform.Row{Key: key, Value: r.value, ETag: "7"}, nil
}

func (r *rowTable) List(context.Context, string) ([]cwplatform.Row, error) { return nil, nil }
func (r *rowTable) Commit(context.Context, cwplatform.Change) error        { return errUnavailable }
func (failingDialer) Dial(context.Context, cwport.Endpoint, string) (cwport.TargetConn, error) {
	return nil, errUnavailable
}

type failingDialer struct{}

var errUnavailable = errors.New("unavailable")

const rowChangedToB = `{"term":2,"claim":"k","keeper":"y","primary":"b","done":true}`

// Guards against a read that misses a record acknowledged a minute ago: the primary was
// replaced unseen by this instance; the replica fenced for that restarted, forgot its
// fence and follows the old primary. The instance reaches only these two members and
// takes them for a majority.
func TestRestartedReplicaDoesNotConfirmReplacedPrimary(t *testing.T) {
	for _, tc := range []struct {
		name      string
		startedAt time.Time
	}{
		{"its clock advanced", time.UnixMilli(900)},
		{"its clock was set back", time.UnixMilli(100)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestGroup(t)
			_, err := cwclaim.Decode([]byte(rowChangedToB))
			qt.Assert(t, err, qt.IsNil)
			b.table.value = []byte(rowChangedToB)
			b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
			b.reportHealth("c", cwgroup.RoleReplica, 1, 100)
			b.assertConfirmed(true)
			b.listMembers(tc.startedAt)
			b.assertConfirmed(false)
			b.awaitFenceCheck(false)
			b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
			b.reportHealth("c", cwgroup.RoleReplica, 1, 100)
			b.assertConfirmed(false)
		})
	}
}

// Guards against missing a restart that the list of targets doesn't show yet: the
// connection breaks, the restarted replica is checked first, and its log is shorter
// than before.
func TestRestartIsDetectedByAShorterLog(t *testing.T) {
	b := newTestGroup(t)
	b.table.setUnavailable(true)
	b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
	b.reportHealth("c", cwgroup.RoleReplica, 1, 100)
	b.reportHealth("c", cwgroup.RoleReplica, 1, 3)
	b.assertConfirmed(false)
	b.reportHealth("a", cwgroup.RolePrimary, 1, 101)
	b.reportHealth("c", cwgroup.RoleReplica, 1, 101)
	b.assertConfirmed(false)
	b.table.setUnavailable(false)
	b.awaitFenceCheck(true)
	b.reportHealth("a", cwgroup.RolePrimary, 1, 101)
	b.reportHealth("c", cwgroup.RoleReplica, 1, 101)
	b.assertConfirmed(true)
}

// Guards against taking these for a restart: a replica ahead of a new primary is
// truncated in the new term, and the answers to two health checks overlap.
func TestShorterLogWithoutRestart(t *testing.T) {
	t.Run("truncated in a later term", func(t *testing.T) {
		b := newTestGroup(t)
		b.reportHealth("c", cwgroup.RoleReplica, 1, 100)
		b.reportHealth("c", cwgroup.RoleReplica, 2, 90)
		qt.Assert(t, b.restarts, qt.HasLen, 0)
	})
	t.Run("overlapping answers", func(t *testing.T) {
		b := newTestGroup(t)
		asked := b.clock.Now()
		b.reportHealth("c", cwgroup.RoleReplica, 1, 100)
		b.observeHealth("c", cwstatement.Health{Term: 1, LogEnd: cwgroup.LogPosition{Term: 1, Index: 90}}, asked)
		qt.Assert(t, b.restarts, qt.HasLen, 0)
	})
}

// Guards against acknowledging a record on the report of a replica that restarted and
// lost it. Reports from before the restart don't count, nor do later ones until it is
// known that no change of primary had fenced the replica.
func TestRestartedReplicaDoesNotAcknowledge(t *testing.T) {
	b := newTestGroup(t)
	b.table.setUnavailable(true)
	b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
	b.reportHealth("c", cwgroup.RoleReplica, 1, 102)
	b.listMembers(time.UnixMilli(900))
	done := make(chan cwack.Outcome, 1)
	b.mu.Lock()
	b.tracker.Add(cwack.PendingWrite{
		Position: cwgroup.LogPosition{Term: 1, Index: 101}, Deadline: b.clock.Now().Add(time.Hour),
		Notify: func(o cwack.Outcome) { done <- o },
	})
	b.mu.Unlock()
	b.reportHealth("a", cwgroup.RolePrimary, 1, 101)
	b.reportHealth("c", cwgroup.RoleReplica, 1, 101)
	qt.Assert(t, done, qt.HasLen, 0)
	b.table.setUnavailable(false)
	b.awaitFenceCheck(true)
	b.reportHealth("c", cwgroup.RoleReplica, 1, 101)
	qt.Assert(t, <-done, qt.Equals, cwack.Acknowledged)
}

// Guards against the loss of an acknowledged record: the primary and a replica held it,
// the replica restarted empty, and the primary failed before the replica had copied it
// again. The two remaining members are a majority, but neither has the record.
func TestMemberWithMissingRecordsIsNotInMajority(t *testing.T) {
	b := newTestGroup(t)
	b.reportHealth("a", cwgroup.RolePrimary, 1, 100)
	b.reportHealth("c", cwgroup.RoleReplica, 1, 100)
	b.listMembers(time.UnixMilli(900))
	has := func(n cwgroup.LogIndex) error { return b.checkFencedLog("c", cwgroup.LogPosition{Term: 1, Index: n}) }
	var empty *MissingRecordsError
	qt.Assert(t, errors.As(has(99), &empty), qt.IsTrue)
	qt.Assert(t, has(100), qt.IsNil)
	qt.Assert(t, b.checkFencedLog("b", cwgroup.LogPosition{Term: 1, Index: 7}), qt.IsNil)
	b.clock.Advance(missingRecordsTimeout)
	qt.Assert(t, has(99), qt.IsNil)
}

// A restarted primary that still has its log leads again once the group's row shows
// that it was not replaced. Without its log it must not lead, or callers would miss
// what was acknowledged before.
func TestRestartedPrimary(t *testing.T) {
	for _, tc := range []struct {
		name  string
		has   cwgroup.LogIndex
		leads bool
	}{{"with its log", 100, true}, {"without its log", 0, false}} {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestGroup(t)
			b.reportHealth("c", cwgroup.RolePrimary, 1, 100)
			b.listMembers(time.UnixMilli(900))
			b.reportHealth("c", cwgroup.RolePrimary, 1, tc.has)
			_, err := b.Primary()
			qt.Assert(t, err, qt.IsNotNil)
			b.awaitFenceCheck(true)
			b.reportHealth("c", cwgroup.RolePrimary, 1, tc.has)
			_, err = b.Primary()
			qt.Assert(t, err == nil, qt.Equals, tc.leads)
		})
	}
}
