package cwoutlier

import (
	"math"
	"time"
)

// Parameters of the comparison.
const (
	// memory is the time constant with which results fade out.
	memory = 2 * time.Second
	// minResults is the number of results from which a member is compared, and
	// minRestResults that of the others with which it is. A member that hangs gets few
	// statements, because those in progress there lead others elsewhere.
	minResults     = 2.5
	minRestResults = 5
	// An outlier's share of bad results is more than excessShare above shareFactor times
	// that of the others. Each bad result costs a caller a second attempt or its
	// objective, while an ejection costs nothing as long as the others have capacity.
	excessShare = 0.1
	shareFactor = 3
	// restPrior is added to the bad results of the others, so that few results without
	// a bad one don't prove that there will be none.
	restPrior = 2
	// slowFactor is the multiple of the others' mean time from which a member is slow.
	// Uneven statements and queues cause less.
	slowFactor = 3
	// hopelessShare is the share of bad results from which a member takes more from
	// callers than its capacity gives them, even if the others have none left.
	hopelessShare = 0.5
)

// counts are the results of a member's statements, each with a weight that decreases
// with its age.
type counts struct {
	updatedAt time.Time
	// all is the sum of served, failed and missing. overran counts the served ones that
	// took longer than there was room for. timed counts those that were measured, and
	// seconds is the sum of their times.
	all, served, failed, missing, overran float64
	timed, seconds                        float64
}

// fade returns the weight of a result of the given age.
func fade(age time.Duration) float64 { return math.Exp(-age.Seconds() / memory.Seconds()) }

// at returns the counts with the weights at now.
func (c counts) at(now time.Time) counts {
	if c.updatedAt.IsZero() || !now.After(c.updatedAt) {
		return c
	}
	f := fade(now.Sub(c.updatedAt))
	return counts{
		updatedAt: now, all: c.all * f, served: c.served * f, failed: c.failed * f, missing: c.missing * f,
		overran: c.overran * f, timed: c.timed * f, seconds: c.seconds * f,
	}
}

func (c counts) plus(o counts) counts {
	return counts{
		all: c.all + o.all, served: c.served + o.served, failed: c.failed + o.failed, missing: c.missing + o.missing,
		overran: c.overran + o.overran, timed: c.timed + o.timed, seconds: c.seconds + o.seconds,
	}
}

// add adds a result.
func (c *counts) add(r Result, now time.Time) {
	*c = c.at(now)
	if c.updatedAt.IsZero() {
		c.updatedAt = now
	}
	c.all++
	switch r.Outcome {
	case Failed:
		c.failed++
	case Missing:
		c.missing++
	case Served:
		c.served++
		if r.MissingFor > 0 {
			f := fade(r.MissingFor)
			c.missing, c.all = max(0, c.missing-f), c.all-min(c.missing, f)
		}
		if r.overran() {
			c.overran++
		}
	}
	if r.Took > 0 {
		c.timed++
		c.seconds += r.Took.Seconds()
	}
}

// meanSeconds returns the mean time of the measured statements; zero if there are none.
func (c counts) meanSeconds() float64 { return c.seconds / max(c.timed, 1) }

// compare returns why a member with these counts is an outlier compared with the rest,
// and its share of bad results; the reason is empty if it is none.
//
// A member that has more work than the others is late without being worse than they
// are. It is recognised by serving more statements per slot than they do, each of them
// slowly.
func (c counts) compare(rest counts, slots, restSlots int) (Reason, float64) {
	if c.all < minResults || rest.all < minRestResults {
		return "", 0
	}
	exceeds := func(bad, restBad float64) bool {
		// The share is certain up to the standard deviation of the count.
		return (bad-math.Sqrt(bad))/c.all > excessShare+shareFactor*(restBad+restPrior)/(rest.all+restPrior)
	}
	share := (c.failed + c.missing + c.overran) / c.all
	if exceeds(c.failed, rest.failed) {
		return Errors, share
	}
	slow := c.timed > 0 && rest.timed > 0 && c.meanSeconds() > slowFactor*rest.meanSeconds()
	moreWork := c.served*float64(max(1, restSlots)) > rest.served*float64(max(1, slots))
	switch {
	case slow && moreWork:
		return "", 0
	case exceeds(c.missing, rest.missing):
		return MissingAnswers, share
	case slow && exceeds(c.overran, rest.overran):
		return Slow, share
	}
	return "", 0
}
