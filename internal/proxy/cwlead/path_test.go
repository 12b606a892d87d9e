package cwlead

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Doubt begins once, when nothing came since something was asked, and ends with
// any answer. A single slow target is no doubt about the path.
func TestPathInDoubt(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	begun := 0
	p := Path{Doubted: func() { begun++ }}
	p.Heard(at(10))
	p.Silent(at(5))
	qt.Assert(t, p.InDoubt(), qt.IsFalse)
	p.Silent(at(20))
	p.Silent(at(30))
	qt.Assert(t, p.InDoubt(), qt.IsTrue)
	qt.Assert(t, begun, qt.Equals, 1)
	p.Heard(at(300))
	qt.Assert(t, p.InDoubt(), qt.IsFalse)
}

// Hundreds of instances before thousands of groups doubt the same path, and each
// asks every member of every group three times a second. Each asks those that it
// looks after.
func TestDoubtAsksOnlyWhatIsLookedAfter(t *testing.T) {
	b := newTestGroup(t)
	b.cfg.DataCentre = "elsewhere"
	b.SetHeld(-1, false)
	qt.Assert(t, b.SuspectAway(), qt.IsFalse)
	b.KeepWatching()
	qt.Assert(t, b.SuspectAway(), qt.IsTrue)
}
