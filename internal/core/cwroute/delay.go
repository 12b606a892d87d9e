package cwroute

import (
	"math"
	"time"
)

// Parameters of a delayDistribution.
const (
	// ageCount ages are distinguished, from minAge, each ageFactor times the one
	// before it, to about 3.4 s. Older records count as the oldest of these ages.
	ageCount  = 32
	minAge    = time.Millisecond
	ageFactor = 1.3
	// maxObservations is the number of observations that an estimate is based on; older
	// ones fade out. One in a hundred is then still seen several times.
	maxObservations = 512
	// priorAge is the age at which a record is missing with a probability of 1/4 at a
	// member of which nothing is known. The prior counts as one observation.
	priorAge = 50 * time.Millisecond
)

// ages are the ages that a delayDistribution distinguishes, in ascending order.
var ages = func() (out [ageCount]time.Duration) {
	for i := range out {
		out[i] = time.Duration(float64(minAge) * math.Pow(ageFactor, float64(i)))
	}
	return out
}()

// delayDistribution estimates the distribution of the delay between the time at which
// a record is known to be in the primary's log and its application at a replica.
//
// An observation of a replica shows an age at which records were applied, and an age
// at which they were not; the delay lies in between. So it counts, for each age, how
// often records of that age were applied and how often they were missing. An age
// between the two is not counted, because the observation says nothing about it. The
// zero delayDistribution has no observations.
type delayDistribution struct {
	applied, missing [ageCount]float64
}

// observe records that records of the age applied were applied and that those of the
// age missing were not. A negative age stands for none.
func (d *delayDistribution) observe(applied, missing time.Duration) {
	const keep = 1 - 1.0/maxObservations
	for i, age := range ages {
		d.applied[i] *= keep
		d.missing[i] *= keep
		switch {
		case age <= missing:
			d.missing[i]++
		case applied >= 0 && age >= applied:
			d.applied[i]++
		}
	}
}

// missingAt returns the probability that a record of the given age is not applied yet.
func (d *delayDistribution) missingAt(age time.Duration) float64 {
	if age < minAge {
		return 1
	}
	i := ageCount - 1
	for i > 0 && ages[i] > age {
		i--
	}
	prior := float64(priorAge) / float64(priorAge+age)
	return (d.missing[i] + prior*prior) / (d.applied[i] + d.missing[i] + 1)
}
