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

// Bounds of the time until another replica is polled.
const (
	// minPollPause is about the time in which a busy replica in the same data centre
	// answers, and maxPollPause a few hundredths of the time for which commits wait.
	minPollPause = 8 * time.Millisecond
	maxPollPause = 40 * time.Millisecond
	// answerTimeDivisor is the divisor of the moving average of answer times.
	answerTimeDivisor = 4
)

// AckDelay estimates how long after a commit a replica has the record, and how long it
// takes to answer a poll. The estimate of the delay grows by a fixed amount after each poll
// that came too early and shrinks slowly otherwise, so that most first polls find the
// record. It is immutable; the zero AckDelay expects MinAckDelay.
type AckDelay struct {
	estimate   time.Duration
	answerTime time.Duration
}

// Expected returns the expected delay.
func (d AckDelay) Expected() time.Duration { return max(d.estimate, MinAckDelay) }

// WithPoll returns the estimate after a poll that was sent the given time after a commit.
// found is true if the replica had the record.
func (d AckDelay) WithPoll(elapsed time.Duration, found bool) AckDelay {
	e := d.Expected()
	if !found {
		d.estimate = min(max(e, elapsed)+ackDelayIncrease, maxAckDelay)
	} else {
		d.estimate = min(e-e/ackDelayDivisor, max(elapsed, MinAckDelay))
	}
	return d
}

// WithAnswer returns the estimate after a health check that was answered in the given time.
func (d AckDelay) WithAnswer(took time.Duration) AckDelay {
	d.answerTime += (took - d.answerTime) / answerTimeDivisor
	return d
}

// PollPause returns how long to wait after a poll before the next one, which includes
// another replica: twice the usual time of an answer. A shorter pause would poll the other
// replica although the answer is on its way.
func (d AckDelay) PollPause() time.Duration {
	return min(max(2*d.answerTime, minPollPause), maxPollPause)
}
