package cwquota

import (
	"math"
	"time"
)

// Numbers of the measurement of demand.
const (
	// Priorities is the number of priorities that are told apart; those beyond count as
	// the last one.
	Priorities = 8
	// demandTimePart is the part of a window over which rates are averaged. Tokens are
	// set aside for up to one window, for which the rate of a much shorter time says
	// little; over a whole window, a burst of high priority would be noticed late.
	demandTimePart = 2
	// promiseSlots is the number of slots for which promises are kept, more than
	// maxPromiseWindows.
	promiseSlots      = 128
	maxPromiseWindows = 2
)

// PriorityIndex returns the index of a priority among those that are told apart.
func PriorityIndex(p int) int { return min(max(p, 0), Priorities-1) }

// demand measures the rate of requests by priority, and the retry times that were
// stated to refused operations.
type demand struct {
	// averaging is the time constant of the exponential average.
	averaging time.Duration
	// rates are in requests per second, at updatedAt.
	rates     [Priorities]float64
	updatedAt time.Time
	// promised is the number of operations that were told to retry in the current slot
	// or a later one, at the slot's number modulo promiseSlots. outstanding is its sum.
	promised    [Priorities][promiseSlots]uint16
	outstanding [Priorities]int
	// current is the number of the current slot.
	current int64
}

// record counts a request.
func (d *demand) record(priority int, now time.Time) {
	if age := now.Sub(d.updatedAt); age > 0 {
		decay := math.Exp(-age.Seconds() / d.averaging.Seconds())
		for i := range d.rates {
			d.rates[i] *= decay
		}
		d.updatedAt = now
	}
	d.rates[priority] += 1 / d.averaging.Seconds()
}

// higherRate returns the rate of the requests of higher priority.
func (d *demand) higherRate(priority int) (sum float64) {
	for _, r := range d.rates[:priority] {
		sum += r
	}
	return sum
}

// advance drops the promises for slots before the given one.
func (d *demand) advance(current int64) {
	if current-d.current >= promiseSlots {
		d.promised, d.outstanding, d.current = [Priorities][promiseSlots]uint16{}, [Priorities]int{}, current
		return
	}
	for ; d.current < current; d.current++ {
		i := d.current % promiseSlots
		for p := range Priorities {
			d.outstanding[p] -= int(d.promised[p][i])
			d.promised[p][i] = 0
		}
	}
}

// promisedIn returns the number of operations of higher priority that were told to retry
// in the slot k slots after the current one.
func (d *demand) promisedIn(k, priority int) (sum int) {
	i := (d.current + int64(k)) % promiseSlots
	for p := range priority {
		sum += int(d.promised[p][i])
	}
	return sum
}

// ahead returns the number of promised tokens that come before one for the priority.
func (d *demand) ahead(priority int) (sum int) {
	for _, n := range d.outstanding[:priority+1] {
		sum += n
	}
	return sum
}

// promise records that an operation was told to retry in a slot.
func (d *demand) promise(priority int, slot int64) {
	n := &d.promised[priority][slot%promiseSlots]
	if slot < d.current || slot >= d.current+promiseSlots || *n == math.MaxUint16 {
		return
	}
	*n++
	d.outstanding[priority]++
}
