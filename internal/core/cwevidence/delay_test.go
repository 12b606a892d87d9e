package cwevidence

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against polls of a second replica while the answer of the first one is on its way.
func TestPollPauseExceedsAnswerTime(t *testing.T) {
	for _, took := range []time.Duration{time.Millisecond, 12 * time.Millisecond, 300 * time.Millisecond} {
		var d AckDelay
		for range 20 {
			d = d.WithAnswer(took)
		}
		qt.Assert(t, d.PollPause() > took || d.PollPause() == maxPollPause, qt.IsTrue)
		qt.Assert(t, d.PollPause() >= minPollPause, qt.IsTrue)
	}
}

// Guards against polls that come before the replica can have the record, and against
// acknowledgements that are delayed by far more than the replication.
func TestAckDelayFollowsReplication(t *testing.T) {
	for _, mean := range []time.Duration{time.Millisecond, 12 * time.Millisecond, 30 * time.Millisecond} {
		t.Run(mean.String(), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			var d AckDelay
			const commits = 2000
			found := 0
			var late time.Duration
			for range commits {
				actual := time.Duration(float64(mean) * (0.8 + 0.4*rng.Float64()))
				polledAt := d.Expected()
				if polledAt >= actual {
					found++
					late += polledAt - actual
				}
				d = d.WithPoll(polledAt, polledAt >= actual)
			}
			t.Logf("%d of %d first polls find the record, %v late on average", found, commits, late/commits)
			qt.Assert(t, found >= commits*6/10, qt.IsTrue)
			qt.Assert(t, late/commits < 6*time.Millisecond, qt.IsTrue)
		})
	}
}
