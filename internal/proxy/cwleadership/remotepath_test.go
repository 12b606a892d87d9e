package cwleadership

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwpath"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/proxy/cwtargetpool"
)

// Suspicion begins once, when no remote target has answered since an overdue statement
// was sent, and ends with any answer. A single slow target doesn't cause it.
func TestRemotePathSuspected(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	begun := 0
	p := RemotePath{OnSuspicion: func() { begun++ }}
	p.RecordAnswer(at(10))
	p.RecordOverdue(at(5))
	qt.Assert(t, p.Suspected(), qt.IsFalse)
	p.RecordOverdue(at(20))
	p.RecordOverdue(at(30))
	qt.Assert(t, p.Suspected(), qt.IsTrue)
	qt.Assert(t, begun, qt.Equals, 1)
	p.RecordAnswer(at(300))
	qt.Assert(t, p.Suspected(), qt.IsFalse)
}

// Guards against an overload by probes: hundreds of instances with thousands of groups
// suspect the same path, and each probes every member of every group three times a
// second. Only the members of watched groups are probed.
func TestRemoteProbesSkipUnwatchedGroups(t *testing.T) {
	b := newTestGroup(t)
	b.cfg.DataCentre = "elsewhere"
	b.SetHeld(-1, false)
	qt.Assert(t, b.ProbeRemote(), qt.IsFalse)
	b.KeepWatching()
	qt.Assert(t, b.ProbeRemote(), qt.IsTrue)
}

// Guards against a data centre that is not ready after a cut because health checks fail at
// once: the pools wait before they connect again, or connections are reset.
func TestHealthCheckThatFailsAtOnceIsNotOverdue(t *testing.T) {
	b := newTestGroup(t)
	b.cfg.RemotePath.Clock = b.clock
	b.mu.Lock()
	a := b.members["a"]
	a.DataCentre = "far"
	b.mu.Unlock()
	b.cfg.RemotePath.RecordAnswer(b.clock.Now())
	b.clock.Advance(time.Millisecond)
	for range 2 {
		b.runHealthCheck(*a)
		qt.Assert(t, b.cfg.RemotePath.Suspected(), qt.IsFalse)
	}
	silent := &cwtargetpool.UnreachableError{Cause: context.DeadlineExceeded}
	qt.Assert(t, isOverdue(silent, cwpath.MinOverdue), qt.IsTrue)
	for _, err := range []error{&cwport.RefusedError{}, &cwtargetpool.OverloadedError{}} {
		qt.Assert(t, isOverdue(err, healthTimeout), qt.IsFalse, qt.Commentf("%v", err))
	}
	qt.Assert(t, isOverdue(errors.New("connection reset"), cwpath.MinOverdue-1), qt.IsFalse)
}
