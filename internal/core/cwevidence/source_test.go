package cwevidence

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against requests to observers that can't answer, and against checks by an instance
// whose neighbour observes the group.
func TestChooseObserver(t *testing.T) {
	now := time.Unix(1000, 0)
	holders := []Candidate{{Name: "h1"}, {Name: "h2"}}
	// answered returns the source after the outcomes of the holders, in order.
	answered := func(outcomes ...Outcome) Source {
		var s Source
		for i, o := range outcomes {
			s, _ = s.WithOutcome(holders[i].Name, o, now)
		}
		return s
	}
	again, changed := answered(Unsupported).WithOutcome("h1", Used, now)
	qt.Assert(t, changed, qt.IsTrue)
	_, changed = answered(NoAnswer).WithOutcome("h1", NoAnswer, now)
	qt.Assert(t, changed, qt.IsFalse)
	for _, tc := range []struct {
		name       string
		source     Source
		candidates []Candidate
		after      time.Duration
		want       string
	}{
		{"the first holder", Source{}, holders, 0, "h1"},
		{"the first one is silent", answered(NoAnswer), holders, SilenceBackoff - 1, "h2"},
		{"it may be asked again", answered(NoAnswer), holders, SilenceBackoff, "h1"},
		{"an older build", answered(Unsupported), holders, UnsupportedBackoff - 1, "h2"},
		{"it answers again", again, holders, 0, "h1"},
		{"reports that are too old", answered(TooOld), holders, 0, "h1"},
		{"nobody answers", answered(NotObserving, Malformed), holders, 0, ""},
		{"this instance is the first holder", Source{}, []Candidate{{Name: "h1", Self: true}, {Name: "h2"}}, 0, ""},
		{"this instance is the second holder", Source{}, []Candidate{{Name: "h1"}, {Name: "h2", Self: true}}, 0, "h1"},
		{"no holder in this data centre", Source{}, nil, 0, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := ""
			if i, ok := tc.source.Choose(tc.candidates, now.Add(tc.after)); ok {
				got = tc.candidates[i].Name
			}
			qt.Assert(t, got, qt.Equals, tc.want)
		})
	}
}

// Guards against instances that stop checking the members themselves because an observer
// answers, and against requests more often than the observer checks.
func TestRounds(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name                 string
		holds, cutOff        bool
		wantAsks, wantChecks int
	}{{"a holder", true, false, 100, 4}, {"another user", false, false, 27, 4}, {"cut off", true, true, 15, 4}} {
		t.Run(tc.name, func(t *testing.T) {
			var r Rounds
			asks, checks := 0, 0
			for now := start; now.Sub(start) < 5*time.Second; now = now.Add(AskInterval) {
				if r.CheckDue(now) {
					r, checks = r.WithCheck(now), checks+1
				}
				if r.AskDue(now) {
					r, asks = r.WithAsk(now, AskLimit(tc.holds, tc.cutOff)), asks+1
				}
			}
			qt.Assert(t, asks, qt.Equals, tc.wantAsks)
			qt.Assert(t, checks, qt.Equals, tc.wantChecks)
			qt.Assert(t, r.WithNews().AskDue(start), qt.IsTrue)
		})
	}
}

// Guards against memory that grows with every instance that has ended.
func TestSourceForgetsInstancesThatEnded(t *testing.T) {
	var s Source
	now := time.Unix(1000, 0)
	for i := range 100 {
		s, _ = s.WithOutcome(fmt.Sprint(i), NoAnswer, now)
		now = now.Add(time.Minute)
	}
	qt.Assert(t, len(s.unusable) <= 3, qt.IsTrue, qt.Commentf("%d instances", len(s.unusable)))
}
