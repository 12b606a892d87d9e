package cwroute

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

func position(i int) cwgroup.LogPosition {
	return cwgroup.LogPosition{Term: 1, Index: cwgroup.LogIndex(i)}
}

// after returns the time ms milliseconds after now.
func after(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

// observedTracker returns a tracker of a primary that wrote a record every 10 ms until
// after(8000), and of a replica b that applied each of them 40 ms later and answered a
// read every 20 ms until after(upTo).
func observedTracker(upTo int) *ApplyTracker {
	t := &ApplyTracker{}
	for i := 1; i <= 800; i++ {
		t.ObservePrimary(position(i), after(i*10))
		if i*10 <= upTo && i > 4 && i%2 == 0 {
			t.Observe("b", position(i-4), after(i*10-1), after(i*10))
		}
	}
	return t
}

// Guards against reads at a member that is known, or can be expected, to lack their
// floor.
func TestBehind(t *testing.T) {
	b := observedTracker(8000)
	qt.Assert(t, b.Behind("b", position(796), after(8000)), qt.Equals, 0.0)
	qt.Assert(t, b.Behind("b", position(800), after(8001)) > 0.9, qt.IsTrue)
	qt.Assert(t, b.Behind("b", position(800), after(8100)) <= MaxBehind, qt.IsTrue)
	hold, ok := b.Hold("b", position(800), after(8001), time.Second)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, hold > 38*time.Millisecond && hold < 60*time.Millisecond, qt.IsTrue, qt.Commentf("%v", hold))
	_, ok = b.Hold("b", position(800), after(8001), 20*time.Millisecond)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, b.Behind("new", position(790), after(8000)) > MaxBehind, qt.IsTrue)
	qt.Assert(t, b.TrialDue("new", position(790), after(8000)), qt.IsTrue)
	b.BeginTrial("new", after(8000))
	qt.Assert(t, b.TrialDue("new", position(790), after(8001)), qt.IsFalse)
}

// Guards against a sequence of refusals by a member that stands still, and against a
// member that is avoided for good afterwards.
func TestRefusalCountsForTheNextReads(t *testing.T) {
	b := observedTracker(5000)
	floor := position(650)
	qt.Assert(t, b.Behind("b", floor, after(8000)) <= MaxBehind, qt.IsTrue)
	b.ObserveBehind("b", floor, position(500), after(8000), after(8001))
	for _, ms := range []int{8001, 8050, 8200} {
		qt.Assert(t, b.Behind("b", position(660), after(ms)) > 0.5, qt.IsTrue)
		qt.Assert(t, b.TrialDue("b", position(660), after(ms)), qt.IsFalse)
	}
	qt.Assert(t, b.TrialDue("b", position(660), after(9200)), qt.IsTrue)
	b.Observe("b", position(800), after(9200), after(9201))
	qt.Assert(t, b.Behind("b", position(790), after(9201)), qt.Equals, 0.0)
}

// Guards against reads at a member whose answers give the position that it has
// received, which is past what it has applied.
func TestPositionPastARefusedFloorIsNotApplied(t *testing.T) {
	b := observedTracker(8000)
	b.ObserveBehind("b", position(780), position(800), after(8000), after(8001))
	b.Observe("b", position(800), after(8001), after(8002))
	qt.Assert(t, b.Behind("b", position(780), after(8002)) > 0.5, qt.IsTrue)
	b.ObserveServed("b", position(780), after(8100), after(8101))
	qt.Assert(t, b.Behind("b", position(780), after(8101)), qt.Equals, 0.0)
	b.Forget("b")
	b.Observe("b", position(800), after(8110), after(8111))
	qt.Assert(t, b.Behind("b", position(800), after(8111)), qt.Equals, 0.0)
}

// Guards against a result that is no probability, whatever is observed.
func TestBehindIsAProbability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b ApplyTracker
		at := now
		m := rapid.Custom(func(t *rapid.T) cwgroup.LogPosition {
			return cwgroup.LogPosition{Term: cwgroup.Term(rapid.IntRange(1, 2).Draw(t, "term")), Index: cwgroup.LogIndex(rapid.IntRange(1, 50).Draw(t, "index"))}
		})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			sentAt := at.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "took")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				b.ObservePrimary(m.Draw(t, "primary"), at)
			case 1:
				b.Observe("b", m.Draw(t, "applied"), sentAt, at)
			case 2:
				b.ObserveBehind("b", m.Draw(t, "floor"), m.Draw(t, "position"), sentAt, at)
			case 3:
				b.ObserveServed("b", m.Draw(t, "floor"), sentAt, at)
			case 4:
				b.Forget("b")
			}
			p := b.Behind("b", m.Draw(t, "needed"), at)
			if !(p >= 0 && p <= 1) {
				t.Fatalf("probability %v", p)
			}
		}
	})
}
