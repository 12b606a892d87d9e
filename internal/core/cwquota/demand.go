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
	// promiseSlots is the number of slots for which promises are kept, more than those
	// of maxPromiseWindows.
	promiseSlots      = 128
	maxPromiseWindows = 2
)

// PriorityIndex returns the index of a priority among those that are told apart.
func PriorityIndex(p int) int { return min(max(p, 0), Priorities-1) }

// schedule counts operations by priority and by the slot in which they come back.
type schedule struct {
	// counts is at the slot's number modulo promiseSlots. It is 0 for slots that are over.
	counts [Priorities][promiseSlots]uint16
	// totals are the sums of counts.
	totals [Priorities]int
}

// add counts an operation, and returns false if there are too many in the slot.
func (s *schedule) add(priority int, slot int64) bool {
	n := &s.counts[priority][slot%promiseSlots]
	if *n == math.MaxUint16 {
		return false
	}
	*n++
	s.totals[priority]++
	return true
}

// remove takes an operation out of the count if there is one.
func (s *schedule) remove(priority int, slot int64) {
	if n := &s.counts[priority][slot%promiseSlots]; *n > 0 {
		*n--
		s.totals[priority]--
	}
}

// drop removes all operations of a slot.
func (s *schedule) drop(slot int64) {
	for p := range Priorities {
		n := &s.counts[p][slot%promiseSlots]
		s.totals[p] -= int(*n)
		*n = 0
	}
}

// total returns the number of operations of the priority and higher ones.
func (s *schedule) total(priority int) (sum int) {
	for _, n := range s.totals[:priority+1] {
		sum += n
	}
	return sum
}

// in returns the number of operations of the priority and higher ones in a slot.
func (s *schedule) in(slot int64, priority int) (sum int) {
	for p := range priority + 1 {
		sum += int(s.counts[p][slot%promiseSlots])
	}
	return sum
}

// demand measures the rate of requests by priority, and the retry times that were
// stated to refused operations.
type demand struct {
	// averaging is the time constant of the exponential average.
	averaging time.Duration
	// rates are in requests per second, at updatedAt.
	rates     [Priorities]float64
	updatedAt time.Time
	// promised are the operations that were told to retry in the current slot or a later
	// one. kept are those of them that wait and for which a token is kept.
	promised, kept schedule
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
		d.promised, d.kept, d.current = schedule{}, schedule{}, current
		return
	}
	for ; d.current < current; d.current++ {
		d.promised.drop(d.current)
		d.kept.drop(d.current)
	}
}

// promise records that an operation was told to retry in a slot, and keeps a token for it
// if it waits. It returns false if the slot is too far away or has too many promises.
func (d *demand) promise(priority int, slot int64, waits bool) bool {
	if slot < d.current || slot >= d.current+promiseSlots || !d.promised.add(priority, slot) {
		return false
	}
	if waits {
		d.kept.add(priority, slot)
	}
	return true
}

// use removes the promise for an operation that has waited for it. One whose slot is over
// was dropped before.
func (d *demand) use(priority int, slot int64) {
	if slot < d.current || slot >= d.current+promiseSlots {
		return
	}
	d.promised.remove(priority, slot)
	d.kept.remove(priority, slot)
}
