package cwevidence

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against checks of an unreachable member in every tick of the loop, and against
// intervals beyond the limit, by which a member that returns would be noticed late.
func TestBackoffDoublesUpToItsLimit(t *testing.T) {
	start := time.Unix(1000, 0)
	var b Backoff
	var checkedAt []time.Duration
	for now := start; now.Sub(start) < 4*time.Second; now = now.Add(50 * time.Millisecond) {
		if b.Due(now) {
			checkedAt = append(checkedAt, now.Sub(start))
			b = b.WithCheck(now, MaxRetryInterval)
		}
	}
	ms := time.Millisecond
	qt.Assert(t, checkedAt, qt.DeepEquals, []time.Duration{0, 50 * ms, 150 * ms, 350 * ms, 750 * ms, 1550 * ms, 2550 * ms, 3550 * ms})
}
