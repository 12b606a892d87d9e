package cwlimit

import "time"

// Figures of a pace.
const (
	// congested is the multiple of the unloaded time, in percent, beyond which a
	// target counts as queueing. Statements differ by a factor of five and their
	// mix shifts; two and a half is above what a shift alone does to the
	// average.
	congested = 250
	// paceSmoothing is the weight of the newest time in the average, as a
	// divisor: some twenty statements tell a queue from a slow one.
	paceSmoothing = 16
	// baseDrift is how slowly the unloaded time follows the average up, as a
	// divisor: over thousands of statements, for a target that became slower
	// for good. Minutes of load must not pass for that.
	baseDrift = 8192
	// paceRise is how many statements it takes, for each that is in progress, to
	// let one more in, and paceQueue how many must wait for that to go twice as
	// fast.
	paceRise  = 4
	paceQueue = 4
	// paceFall is the factor of the limit for each statement that found the
	// target queueing, in percent.
	paceFall = 96
)

// Pace finds how many statements this proxy may have in progress at a target
// that other proxies use, too.
//
// The load it answers: all proxies together send a target more than it executes
// at once, and it queues them in order of arrival, so that each waits for all
// others and most are late. With a pace the queue forms here instead, where
// statements with least time go first and those that cannot make it are refused at once.
//
// It moves by additive increase and multiplicative decrease, on the average time
// of a statement against the lowest average seen. The increase grows with the
// number that wait, so that a proxy with more callers gets a larger share.
type Pace struct {
	// Start is where the limit starts, Max its upper bound.
	Start, Max int

	limit      float64
	fast, base time.Duration
	seen       int
}

// Limit returns the present limit, at least 1.
func (p *Pace) Limit() int {
	if p.limit == 0 {
		p.limit = float64(max(1, p.Start))
	}
	return max(1, min(p.Max, int(p.limit)))
}

// Latency returns the average time of a statement lately.
func (p *Pace) Latency() time.Duration { return p.fast }

// Observe records one statement's time at the target, while others waited here.
func (p *Pace) Observe(took time.Duration, waiting int) {
	limit := float64(p.Limit())
	p.average(took)
	if p.fast*100 > p.base*congested+time.Duration(paceSlack)*100 {
		p.limit = max(1, p.limit*paceFall/100)
		return
	}
	if waiting > 0 {
		p.limit = min(float64(max(1, p.Max)), p.limit+(1+float64(waiting)/paceQueue)/(paceRise*limit))
	}
}

// paceSlack is added to the bound, since a few milliseconds mean nothing where
// statements take one.
const paceSlack = 3 * time.Millisecond

func (p *Pace) average(took time.Duration) {
	if p.seen == 0 {
		p.fast, p.base = took, took
	}
	p.seen++
	p.fast += (took - p.fast) / paceSmoothing
	if p.seen <= paceSmoothing || p.fast < p.base {
		p.base = p.fast
		return
	}
	if p.Limit() == 1 {
		// As little as can be is in progress, and it is slow all the same.
		// Otherwise queueing would in time pass for the target's own pace.
		p.base += (p.fast - p.base) / baseDrift
	}
}
