package cwlimit

import "time"

// Parameters of ConcurrencyLimit.
const (
	// congestionPercent is the multiple of the unloaded time, in percent, above
	// which a target is considered to queue statements. The durations of
	// statements differ by a factor of five and their mix changes; 250 is more
	// than a change of the mix alone causes in the average.
	congestionPercent = 250
	// averageDivisor is the divisor of the moving average of a statement's time:
	// about twenty statements distinguish a queue from a single slow statement.
	averageDivisor = 16
	// unloadedDriftDivisor is the divisor by which the unloaded time follows a
	// higher average. An increase takes thousands of statements, so that it
	// adapts to a target that became slower permanently, but not to minutes of
	// load.
	unloadedDriftDivisor = 8192
	// An increase of the limit by 1 takes increaseInterval statements for each
	// statement in progress. With increaseQueue statements waiting it is twice as
	// fast.
	increaseInterval = 4
	increaseQueue    = 4
	// decreasePercent is the factor applied to the limit, in percent, for each
	// statement that finds the target queueing.
	decreasePercent = 96
)

// ConcurrencyLimit finds how many statements a proxy may have in progress at a
// target that it shares with other proxies.
//
// If all proxies together send more statements than the target executes
// concurrently, the target queues them in order of arrival, each waits for all
// others, and most are late. With a ConcurrencyLimit they queue in the proxy's
// AdmissionQueue instead, where the most urgent statements go first and those that
// cannot start in time are refused at once.
//
// The limit changes by additive increase and multiplicative decrease. It depends
// on the moving average of a statement's time compared with the lowest average
// observed. The increase grows with the number of waiting statements, so that a
// proxy with more callers gets a larger share.
type ConcurrencyLimit struct {
	// Initial is the initial limit, and Max its upper bound.
	Initial, Max int

	limit float64
	// averageTime is the moving average of a statement's time at the target.
	// unloadedTime is the lowest such average, taken as the time without load.
	averageTime, unloadedTime time.Duration
	// observations is the number of statements recorded.
	observations int
}

// Limit returns the current limit. It is at least 1.
func (p *ConcurrencyLimit) Limit() int {
	if p.limit == 0 {
		p.limit = float64(max(1, p.Initial))
	}
	return max(1, min(p.Max, int(p.limit)))
}

// Latency returns the moving average of a statement's time at the target.
func (p *ConcurrencyLimit) Latency() time.Duration { return p.averageTime }

// Observe records a statement's time at the target, and the number of statements
// that wait in this proxy.
func (p *ConcurrencyLimit) Observe(took time.Duration, waiting int) {
	limit := float64(p.Limit())
	p.recordTime(took)
	if p.averageTime*100 > p.unloadedTime*congestionPercent+time.Duration(congestionSlack)*100 {
		p.limit = max(1, p.limit*decreasePercent/100)
		return
	}
	if waiting > 0 {
		p.limit = min(float64(max(1, p.Max)), p.limit+(1+float64(waiting)/increaseQueue)/(increaseInterval*limit))
	}
}

// congestionSlack is added to the congestion threshold, because a difference of
// a few milliseconds is insignificant for statements that take one millisecond.
const congestionSlack = 3 * time.Millisecond

// recordTime updates the moving average and the unloaded time.
func (p *ConcurrencyLimit) recordTime(took time.Duration) {
	if p.observations == 0 {
		p.averageTime, p.unloadedTime = took, took
	}
	p.observations++
	p.averageTime += (took - p.averageTime) / averageDivisor
	if p.observations <= averageDivisor || p.averageTime < p.unloadedTime {
		p.unloadedTime = p.averageTime
		return
	}
	if p.Limit() == 1 {
		// Statements are slow even at the lowest limit, so the target itself
		// became slower. At higher limits the unloaded time would gradually
		// adapt to queueing.
		p.unloadedTime += (p.averageTime - p.unloadedTime) / unloadedDriftDivisor
	}
}
