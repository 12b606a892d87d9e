package cwevidence

import "time"

// Bounds and steps of the expected replication delay.
const (
	// MinAckDelay is the shortest delay that is expected. Replicating a record takes about
	// as long, and the answers to other statements may show it in the meantime.
	MinAckDelay = 3 * time.Millisecond
	// maxAckDelay is the longest one. A commit is not acknowledged later than it has to be
	// by more than this because of one slow replication.
	maxAckDelay = 40 * time.Millisecond
	// ackDelayIncrease is added after a poll that came too early. ackDelayDivisor is the
	// divisor of the part that is subtracted after one that did not.
	ackDelayIncrease = 4 * time.Millisecond
	ackDelayDivisor  = 16
)

// AckDelay estimates how long after a commit a replica has the record. The estimate grows
// by a fixed amount after each poll that came too early and shrinks slowly otherwise, so
// that most first polls find the record. It is immutable; the zero AckDelay expects
// MinAckDelay.
type AckDelay struct {
	estimate time.Duration
}

// Expected returns the expected delay.
func (d AckDelay) Expected() time.Duration { return max(d.estimate, MinAckDelay) }

// WithPoll returns the estimate after a poll that was sent the given time after a commit.
// found is true if the replica had the record.
func (d AckDelay) WithPoll(elapsed time.Duration, found bool) AckDelay {
	e := d.Expected()
	if !found {
		return AckDelay{estimate: min(max(e, elapsed)+ackDelayIncrease, maxAckDelay)}
	}
	return AckDelay{estimate: min(e-e/ackDelayDivisor, max(elapsed, MinAckDelay))}
}
