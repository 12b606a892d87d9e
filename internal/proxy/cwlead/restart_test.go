package cwlead

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

// testGroup is a group whose members' answers the test gives, on virtual time.
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
		Dialer: noDialer{}, Table: b.table,
	})
	b.list(time.UnixMilli(500))
	t.Cleanup(b.Close)
	return b
}

// list lists the members; c was born at the given time.
func (b *testGroup) list(born time.Time) {
	b.SetMembers([]cwport.Listing{
		{ID: "a", Service: "ledger", Address: "10.0.0.1:1", DataCentre: "dc", Slots: 3, Born: time.UnixMilli(400)},
		{ID: "b", Service: "ledger", Address: "10.0.0.2:1", DataCentre: "dc", Slots: 3, Born: time.UnixMilli(400)},
		{ID: "c", Service: "ledger", Address: "10.0.0.3:1", DataCentre: "dc", Slots: 3, Born: born},
	}, 3, 8, false)
}

// tell has a member answer a question that is asked now, a millisecond later.
func (b *testGroup) tell(id cwgroup.MemberID, role cwgroup.Role, term cwgroup.Term, received cwgroup.Position) {
	asked := b.clock.Now()
	b.clock.Advance(time.Millisecond)
	b.heard(id, cwstatement.Health{Role: role, Term: term, Received: cwgroup.Mark{Term: 1, Position: received}}, asked)
}

// rowChecked waits until the row was read after a restart of c, or not, as wanted.
func (b *testGroup) rowChecked(want bool) {
	b.t.Helper()
	for range 400 {
		b.clock.Advance(10 * time.Millisecond)
		time.Sleep(time.Millisecond)
		b.mu.Lock()
		checked := !b.restarts["c"].unchecked
		b.mu.Unlock()
		if checked == want && (want || b.table.asked() > 1) {
			return
		}
	}
	b.t.Fatalf("row checked: not %t", want)
}

func (b *testGroup) assertConfirmed(want bool) {
	b.t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	qt.Assert(b.t, b.clock.Since(b.confirmed) < Lease, qt.Equals, want)
}

// rowTable has one row, if any.
type rowTable struct {
	mu    sync.Mutex
	value []byte
	away  bool
	n     int
}

func (r *rowTable) asked() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

func (r *rowTable) setAway(away bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = away
}

func (r *rowTable) Get(_ context.Context, key string) (cwplatform.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n++
	switch {
	case r.away:
		return cwplatform.Row{}, &cwplatform.UnavailableError{Cause: errAway}
	case r.value == nil:
		return cwplatform.Row{}, &cwplatform.NotFoundError{Key: key}
	}
	return cwplatform.Row{Key: key, Value: r.value, ETag: "7"}, nil
}

func (r *rowTable) List(context.Context, string) ([]cwplatform.Row, error) { return nil, nil }
func (r *rowTable) Commit(context.Context, cwplatform.Change) error        { return errAway }
func (noDialer) Dial(context.Context, cwport.Endpoint, string) (cwport.Target, error) {
	return nil, errAway
}

type noDialer struct{}

var errAway = errors.New("away")

const changedToB = `{"term":2,"claim":"k","keeper":"y","primary":"b","done":true}`

// A clerk reads a booking and misses one that was acknowledged a minute ago. The
// primary was replaced while an instance saw nothing of it; the replica that had
// been fenced for that started again, forgot its fence and follows the old
// primary. The instance, which reaches these two, takes them for a majority.
func TestRestartedReplicaConfirmsNoReplacedPrimary(t *testing.T) {
	for _, tc := range []struct {
		name string
		born time.Time
	}{
		{"its clock went on", time.UnixMilli(900)},
		{"its clock was set back", time.UnixMilli(100)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestGroup(t)
			_, err := cwclaim.Decode([]byte(changedToB))
			qt.Assert(t, err, qt.IsNil)
			b.table.value = []byte(changedToB)
			b.tell("a", cwgroup.RolePrimary, 1, 100)
			b.tell("c", cwgroup.RoleReplica, 1, 100)
			b.assertConfirmed(true)
			b.list(tc.born)
			b.assertConfirmed(false)
			b.rowChecked(false)
			b.tell("a", cwgroup.RolePrimary, 1, 100)
			b.tell("c", cwgroup.RoleReplica, 1, 100)
			b.assertConfirmed(false)
		})
	}
}

// The connection breaks and the restarted replica is asked before its entry in
// the list tells of the restart: its log is shorter than it was.
func TestRestartShowsByAShorterLog(t *testing.T) {
	b := newTestGroup(t)
	b.table.setAway(true)
	b.tell("a", cwgroup.RolePrimary, 1, 100)
	b.tell("c", cwgroup.RoleReplica, 1, 100)
	b.tell("c", cwgroup.RoleReplica, 1, 3)
	b.assertConfirmed(false)
	b.tell("a", cwgroup.RolePrimary, 1, 101)
	b.tell("c", cwgroup.RoleReplica, 1, 101)
	b.assertConfirmed(false)
	b.table.setAway(false)
	b.rowChecked(true)
	b.tell("a", cwgroup.RolePrimary, 1, 101)
	b.tell("c", cwgroup.RoleReplica, 1, 101)
	b.assertConfirmed(true)
}

// What looks like a restart and is none: a replica that was ahead of a new
// primary is cut back in its term, and answers to two questions cross.
func TestShorterLogThatIsNoRestart(t *testing.T) {
	t.Run("cut back in a later term", func(t *testing.T) {
		b := newTestGroup(t)
		b.tell("c", cwgroup.RoleReplica, 1, 100)
		b.tell("c", cwgroup.RoleReplica, 2, 90)
		qt.Assert(t, b.restarts, qt.HasLen, 0)
	})
	t.Run("answers that cross", func(t *testing.T) {
		b := newTestGroup(t)
		asked := b.clock.Now()
		b.tell("c", cwgroup.RoleReplica, 1, 100)
		b.heard("c", cwstatement.Health{Term: 1, Received: cwgroup.Mark{Term: 1, Position: 90}}, asked)
		qt.Assert(t, b.restarts, qt.HasLen, 0)
	})
}

// A record is acknowledged on the word of a replica that starts again and has
// forgotten it. Neither does its word of before count, nor its next one before
// it is known that nobody had fenced it.
func TestRestartedReplicaAcknowledgesNothing(t *testing.T) {
	b := newTestGroup(t)
	b.table.setAway(true)
	b.tell("a", cwgroup.RolePrimary, 1, 100)
	b.tell("c", cwgroup.RoleReplica, 1, 102)
	b.list(time.UnixMilli(900))
	done := make(chan cwack.Outcome, 1)
	b.mu.Lock()
	b.tracker.Add(cwack.Wait{
		Mark: cwgroup.Mark{Term: 1, Position: 101}, Deadline: b.clock.Now().Add(time.Hour),
		Done: func(o cwack.Outcome) { done <- o },
	})
	b.mu.Unlock()
	b.tell("a", cwgroup.RolePrimary, 1, 101)
	b.tell("c", cwgroup.RoleReplica, 1, 101)
	qt.Assert(t, done, qt.HasLen, 0)
	b.table.setAway(false)
	b.rowChecked(true)
	b.tell("c", cwgroup.RoleReplica, 1, 101)
	qt.Assert(t, <-done, qt.Equals, cwack.Acknowledged)
}

// A booking that was acknowledged is gone: the primary and a replica held it, the
// replica started again empty, and the primary was lost before it had it back.
// The two that are left are a majority, but neither has the booking.
func TestEmptyMemberIsNoPartOfAMajority(t *testing.T) {
	b := newTestGroup(t)
	b.tell("a", cwgroup.RolePrimary, 1, 100)
	b.tell("c", cwgroup.RoleReplica, 1, 100)
	b.list(time.UnixMilli(900))
	has := func(n cwgroup.Position) error { return b.fenceCounts("c", cwgroup.Mark{Term: 1, Position: n}) }
	var empty *EmptyError
	qt.Assert(t, errors.As(has(99), &empty), qt.IsTrue)
	qt.Assert(t, has(100), qt.IsNil)
	qt.Assert(t, b.fenceCounts("b", cwgroup.Mark{Term: 1, Position: 7}), qt.IsNil)
	b.clock.Advance(emptyFor)
	qt.Assert(t, has(99), qt.IsNil)
}

// A primary starts again. With its log it leads on, as soon as the group's row
// shows that nobody took its place; without it, it must not: callers would miss
// whatever was acknowledged before.
func TestRestartedPrimary(t *testing.T) {
	for _, tc := range []struct {
		name  string
		has   cwgroup.Position
		leads bool
	}{{"with its log", 100, true}, {"without its log", 0, false}} {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestGroup(t)
			b.tell("c", cwgroup.RolePrimary, 1, 100)
			b.list(time.UnixMilli(900))
			b.tell("c", cwgroup.RolePrimary, 1, tc.has)
			_, err := b.Primary()
			qt.Assert(t, err, qt.IsNotNil)
			b.rowChecked(true)
			b.tell("c", cwgroup.RolePrimary, 1, tc.has)
			_, err = b.Primary()
			qt.Assert(t, err == nil, qt.Equals, tc.leads)
		})
	}
}
