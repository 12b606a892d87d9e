package cwleadership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
