package cwpath

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// newSuspecting returns a detector that began to suspect the path directly at 250 ms,
// with a request sent at 0, and has sent its probes.
func newSuspecting() *Detector {
	d := &Detector{Self: "x", Rand: rand.New(rand.NewPCG(1, 1))}
	d.SetNeighbours([]string{"y", "z"})
	d.ObserveOverdue(at(0), at(250*ms))
	d.ObserveProbe(at(250 * ms))
	d.TakeMessages()
	return d
}

func TestIsolated(t *testing.T) {
	joined := Reply{NotReadySince: at(260 * ms)}
	for name, tc := range map[string]struct {
		replies []Reply
		now     time.Duration
		want    bool
	}{
		"two instances for the delay":         {[]Reply{joined}, 350 * ms, true},
		"two instances, too soon":             {[]Reply{joined}, 349 * ms, false},
		"one instance":                        {nil, 350 * ms, false},
		"a neighbour reaches others":          {[]Reply{joined, {AnsweredAt: at(255 * ms)}}, 350 * ms, false},
		"a neighbour had answers until a cut": {[]Reply{joined, {AnsweredAt: at(80 * ms)}}, 350 * ms, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newSuspecting()
			for i, r := range tc.replies {
				d.ReceiveReply(fmt.Sprint("n", i), r)
			}
			qt.Assert(t, d.Isolated(at(tc.now)), qt.Equals, tc.want)
			// An answer ends direct suspicion, and only an answer to the instance itself.
			d.ReceiveReply("y", Reply{AnsweredAt: at(time.Second)})
			qt.Assert(t, d.Suspected(), qt.IsTrue)
			d.ObserveAnswer(at(time.Second))
			qt.Assert(t, d.Isolated(at(2*time.Second)), qt.IsFalse)
		})
	}
}

// Guards against callers that reconnect to a neighbour that is cut off as well, and
// against one that joins repeatedly and keeps their sessions open.
func TestMayCloseIdle(t *testing.T) {
	d := newSuspecting()
	qt.Assert(t, d.MayCloseIdle(time.Second, at(2249*ms)), qt.IsFalse)
	qt.Assert(t, d.MayCloseIdle(time.Second, at(2250*ms)), qt.IsTrue)
	d.ReceiveReply("y", Reply{NotReadySince: at(900 * ms)})
	d.ReceiveReply("z", Reply{NotReadySince: at(5 * time.Second)})
	qt.Assert(t, d.MayCloseIdle(time.Second, at(2899*ms)), qt.IsFalse)
	qt.Assert(t, d.MayCloseIdle(time.Second, at(2900*ms)), qt.IsTrue)
}

// Guards against an old report that a resumed instance passes on, and against a report
// that circulates after it has ended.
func TestReportsThatAreNotAdopted(t *testing.T) {
	d := &Detector{Self: "x"}
	old := Report{ID: "y/1", Instance: "y", SilentSince: at(0)}
	_, begun := d.ReceiveReport(old, at(MaxReportAge+ms))
	qt.Assert(t, begun, qt.IsFalse)
	r := Report{ID: "y/2", Instance: "y", SilentSince: at(3 * time.Second)}
	_, begun = d.ReceiveReport(r, at(3200*ms))
	qt.Assert(t, begun, qt.IsTrue)
	d.ObserveAnswer(at(3210 * ms))
	r.SilentSince = at(3400 * ms)
	reply, begun := d.ReceiveReport(r, at(3500*ms))
	qt.Assert(t, begun, qt.IsFalse)
	qt.Assert(t, reply, qt.Equals, Reply{AnsweredAt: at(3210 * ms)})
}

// Guards against instances that suspect the path once more after a cut, because probes that
// they sent before a neighbour had an answer time out.
func TestRequestsFromBeforeNeighboursAnswerAreNotOverdue(t *testing.T) {
	d := &Detector{Self: "x"}
	d.ReceiveReport(Report{ID: "y/1", Instance: "y", SilentSince: at(0)}, at(250*ms))
	d.ObserveProbe(at(250 * ms))
	d.ReceiveReply("z", Reply{AnsweredAt: at(400 * ms)})
	qt.Assert(t, d.Suspected(), qt.IsFalse)
	qt.Assert(t, d.Unconfirmed(), qt.IsTrue)
	qt.Assert(t, d.ObserveOverdue(at(250*ms), at(500*ms)), qt.IsFalse)
	qt.Assert(t, d.ObserveOverdue(at(410*ms), at(580*ms)), qt.IsTrue)
	d.ObserveAnswer(at(600 * ms))
	qt.Assert(t, d.Unconfirmed(), qt.IsFalse)
}

func TestNeighboursOfOlderBuildsAreLeftOut(t *testing.T) {
	d := newSuspecting()
	d.MethodUnknown("y", at(300*ms))
	d.ObserveAnswer(at(400 * ms))
	for i, after := range []time.Duration{time.Second, OldBuildPause + time.Second} {
		d.TakeMessages()
		d.ObserveOverdue(at(after-100*ms), at(after))
		qt.Check(t, d.TakeMessages(), qt.HasLen, i+1)
		d.ObserveAnswer(at(after))
	}
}

// Guards against a map that grows as instances of older builds come and go.
func TestOldBuildsAreForgotten(t *testing.T) {
	d := newSuspecting()
	d.MethodUnknown("y", at(0))
	d.MethodUnknown("z", at(OldBuildPause))
	qt.Assert(t, d.spread.oldBuilds, qt.HasLen, 1)
}

func TestProbeInterval(t *testing.T) {
	var p ProbeInterval
	qt.Assert(t, p.Interval(), qt.Equals, defaultProbeInterval)
	for _, d := range []time.Duration{0, 500, 1000, 1590, 2000, 2500, 3000} {
		p.Observe(at(d * ms))
	}
	qt.Assert(t, p.Interval(), qt.Equals, 500*ms)
}

// Guards against a sentinel that stops pinging when the wall clock is set back. A time with
// a monotonic reading differs from the same time without it.
func TestNextPingIsMonotonic(t *testing.T) {
	next := NextPing(1, time.Now())
	qt.Assert(t, next == next.Round(0), qt.IsFalse)
}

// Guards against pings whose number grows with the instances, and sentinels that ping at
// the same time.
func TestPings(t *testing.T) {
	var names []string
	for i := range 50 {
		names = append(names, fmt.Sprint("i", i))
	}
	pinged := map[time.Time]bool{}
	for _, name := range names {
		rank, sentinel := SentinelRank(name, "z", names)
		for now := NextPing(rank, epoch); sentinel && !now.After(at(3*time.Second)); now = NextPing(rank, now) {
			pinged[now] = true
		}
	}
	qt.Assert(t, pinged, qt.HasLen, int(3*time.Second/pingSpacing))
	candidates := PingCandidates("x", map[string][]string{"a": names[:1], "b": names[1:20], "c": names[20:]})
	targets := slices.Sorted(slices.Values(PingTargets(candidates, 5, rand.New(rand.NewPCG(1, 1)))))
	qt.Assert(t, slices.Compact(targets), qt.HasLen, 5)
}
