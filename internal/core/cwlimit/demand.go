package cwlimit

import (
	"maps"
	"slices"
	"time"
)

// Parameters of SlotShares.
const (
	// DemandMaxAge is the age above which the report of a holder no longer counts: a
	// holder that has died, or whose link is lost, must not keep slots of the others.
	DemandMaxAge = time.Second
	// statementsPerSlot is the number of statements that are divided among the holders
	// for each slot of a target: the one that runs, and one that is on its way there
	// while the answer to the last one is on its way back.
	statementsPerSlot = 2
)

// Demand is the statements of one holder at one target.
type Demand struct {
	// Running is the number of statements in progress.
	Running int
	// Waiting is the number of waiting statements by priority. It has no zero values.
	Waiting map[int]int
}

// Contended reports whether statements wait.
func (d Demand) Contended() bool { return len(d.Waiting) > 0 }

// idle reports whether the holder has no statement at the target.
func (d Demand) idle() bool { return d.Running == 0 && !d.Contended() }

// SlotShares divides the slots of one target among the holders that have statements for
// it, by the demand that they report. The zero SlotShares has no reports.
//
// Each holder computes its own share. Holders whose reports differ for a moment compute
// shares whose sum differs from the slots; ConcurrencyLimit remains the upper bound.
//
// A SlotShares is not safe for concurrent use.
type SlotShares struct {
	// reports has the newest report of each other holder.
	reports map[string]demandReport
}

type demandReport struct {
	Demand
	at time.Time
}

// Record records the demand of another holder at a time. A report that is older than the
// known one is ignored.
func (s *SlotShares) Record(holder string, d Demand, at time.Time) {
	if known, ok := s.reports[holder]; ok && at.Before(known.at) {
		return
	}
	if s.reports == nil {
		s.reports = make(map[string]demandReport)
	}
	s.reports[holder] = demandReport{Demand: d, at: at}
}

// Share returns how many statements holder self may have in progress at a target with the
// given number of slots, at least 1. It returns false if the slots are not divided: no
// report of another holder with statements counts, or no statement waits anywhere.
func (s *SlotShares) Share(self string, own Demand, slots int, now time.Time) (int, bool) {
	if len(s.reports) == 0 || slots <= 0 {
		return 0, false
	}
	demands, contended := map[string]Demand{self: own}, own.Contended()
	for holder, r := range s.reports {
		switch {
		case now.Sub(r.at) > DemandMaxAge:
			delete(s.reports, holder)
		case !r.idle():
			demands[holder] = r.Demand
			contended = contended || r.Contended()
		}
	}
	if len(demands) < 2 || !contended {
		return 0, false
	}
	return shareOf(self, demands, statementsPerSlot*slots), true
}

// shareOf divides slots among the holders: one each, then by priority, and within the
// first priority that needs more than is left, in proportion to the waiting statements.
// What no statement needs is available to each holder until the next reports.
func shareOf(self string, demands map[string]Demand, slots int) int {
	holders := slices.Sorted(maps.Keys(demands))
	index, share, left := slices.Index(holders, self), 1, max(0, slots-len(holders))
	for _, p := range waitingPriorities(demands) {
		needs, sum := make([]int, len(holders)), 0
		for i, h := range holders {
			needs[i] = demands[h].Waiting[p]
			sum += needs[i]
		}
		if sum >= left {
			return share + proportional(needs, sum, left)[index]
		}
		share += needs[index]
		left -= sum
	}
	return share + left
}

// waitingPriorities returns the priorities with waiting statements, the highest first.
func waitingPriorities(demands map[string]Demand) []int {
	seen := make(map[int]bool)
	for _, d := range demands {
		for p := range d.Waiting {
			seen[p] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// proportional divides total in proportion to the needs, whose sum is positive. What the
// rounding leaves goes to the largest remainders, the first ones among equal ones, so
// that all holders compute the same division.
func proportional(needs []int, sum, total int) []int {
	out, order := make([]int, len(needs)), make([]int, len(needs))
	left := total
	for i, n := range needs {
		out[i], order[i] = total*n/sum, i
		left -= out[i]
	}
	slices.SortStableFunc(order, func(a, b int) int { return total*needs[b]%sum - total*needs[a]%sum })
	for _, i := range order[:left] {
		out[i]++
	}
	return out
}
