package cwevidence

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

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
