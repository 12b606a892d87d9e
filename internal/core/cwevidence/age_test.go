package cwevidence

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against a report that is taken for a later one after it was passed on: stale data
// would then be served as new, and a replaced primary confirmed. The clocks of the
// instances differ by any offset, and each message and each answer is delayed by any time,
// also by a suspension of the machine.
func TestPassedOnReportsNeverGetYounger(t *testing.T) {
	delay := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "delay"))
	})
	rapid.Check(t, func(t *rapid.T) {
		// now is the true time, and checkedAt the true time of the check.
		checkedAt := time.Unix(1000, 0)
		now := checkedAt.Add(delay.Draw(t, "answer of the member"))
		// known is checkedAt as the holder of the report knows it, by its own clock, which
		// is ahead of the true time by offset.
		known, offset := checkedAt, time.Duration(0)
		for range rapid.IntRange(1, 5).Draw(t, "hops") {
			now = now.Add(delay.Draw(t, "until the request"))
			nextOffset := time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "clock"))
			x := Exchange{RequestedAt: now.Add(nextOffset)}
			arrivedAt := now.Add(delay.Draw(t, "request on its way"))
			answeredAt := arrivedAt.Add(delay.Draw(t, "held"))
			age := AgeOf(known, answeredAt.Add(offset))
			x.Held = HeldFor(arrivedAt, answeredAt)
			now = answeredAt.Add(delay.Draw(t, "answer on its way"))
			x.AnsweredAt = now.Add(nextOffset)
			at, err := x.CheckedAt(age)
			if err != nil {
				t.Fatal(err)
			}
			known, offset = at, nextOffset
			if trueAt := known.Add(-offset); trueAt.After(checkedAt) {
				t.Fatalf("%v later than the check", trueAt.Sub(checkedAt))
			}
		}
	})
}

// Guards against reports that look newer than they are because the other instance's clock
// was set.
func TestImpossibleTimesAreRefused(t *testing.T) {
	sent := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		held, age time.Duration
		ok        bool
	}{
		"possible":                      {5 * time.Millisecond, time.Second, true},
		"held longer than the exchange": {11 * time.Millisecond, time.Second, false},
		"negative hold time":            {-time.Millisecond, time.Second, false},
		"negative age":                  {5 * time.Millisecond, -time.Microsecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			x := Exchange{RequestedAt: sent, AnsweredAt: sent.Add(10 * time.Millisecond), Held: tc.held}
			_, err := x.CheckedAt(tc.age)
			qt.Assert(t, err == nil, qt.Equals, tc.ok)
		})
	}
}
