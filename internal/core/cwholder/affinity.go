package cwholder

import (
	"math"
	"slices"
	"time"
)

// Parameters of WorkspaceAffinity.
const (
	// affinityLoadFactor is the multiple of the average load up to which a holder gets
	// the statements of the workspaces that prefer it.
	affinityLoadFactor = 1.25
	// affinityLoadDecay is the time constant with which a statement stops counting: long
	// enough for an instance with a few statements per second to see the distribution,
	// and within the length of a burst.
	affinityLoadDecay = 5 * time.Second
	// affinityMinBound is the least bound: a few statements say nothing about the
	// distribution of the load.
	affinityMinBound = 3
)

// WorkspaceAffinity chooses the same holder of a group for all statements of a workspace,
// as long as that holder does not get much more load than the others.
//
// A connection to a target belongs to one workspace, and opening one uses a slot of the
// target. If each holder has statements of each workspace, most of them need a new
// connection. All instances prefer the same holder for a workspace, so that its
// statements reuse connections.
//
// The load of a holder is the statements that this instance sent to it recently. The sum
// over all instances is bounded likewise. A WorkspaceAffinity belongs to one group. The
// zero value has no load. It is not safe for concurrent use.
type WorkspaceAffinity struct {
	// load has the decayed number of statements by holder, as of updatedAt.
	load      map[string]float64
	updatedAt time.Time
}

// Order returns the holders in the order in which the statements of a workspace are
// offered to them: by rendezvous hashing, with overloaded holders last.
func (a *WorkspaceAffinity) Order(workspace, group string, holders []Instance, now time.Time) []Instance {
	a.decay(now)
	bound := a.bound(holders)
	// Placement without capacities: the load bound already accounts for weak holders.
	order := new(Placement).inOrder(workspace+"/"+group, holders)
	slices.SortStableFunc(order, func(x, y Instance) int {
		return a.overloaded(x, bound) - a.overloaded(y, bound)
	})
	return order
}

// Record records a statement that was sent to a holder.
func (a *WorkspaceAffinity) Record(holder string, now time.Time) {
	a.decay(now)
	if a.load == nil {
		a.load = make(map[string]float64)
	}
	a.load[holder]++
}

// Idle reports whether no statement counts any more, so that the WorkspaceAffinity is
// equal to a new one.
func (a *WorkspaceAffinity) Idle(now time.Time) bool {
	a.decay(now)
	return len(a.load) == 0
}

// bound returns the load that no holder may exceed. It includes the standard deviation of
// a count around its mean: a single instance sees few statements, and holders that were
// avoided because of chance would cost as many connections as no preference at all.
func (a *WorkspaceAffinity) bound(holders []Instance) float64 {
	sum := 1.0
	for _, h := range holders {
		sum += a.load[h.ID]
	}
	average := sum / float64(max(1, len(holders)))
	return max(affinityMinBound, affinityLoadFactor*average+math.Sqrt(average))
}

// overloaded returns 1 if another statement would exceed the bound of a holder, and 0
// otherwise.
func (a *WorkspaceAffinity) overloaded(h Instance, bound float64) int {
	if a.load[h.ID]+1 > bound {
		return 1
	}
	return 0
}

// forgottenLoad is the load below which a holder's entry is removed.
const forgottenLoad = 0.01

func (a *WorkspaceAffinity) decay(now time.Time) {
	elapsed := now.Sub(a.updatedAt)
	if elapsed <= 0 {
		return
	}
	a.updatedAt = now
	factor := math.Exp(-float64(elapsed) / float64(affinityLoadDecay))
	for id := range a.load {
		if a.load[id] *= factor; a.load[id] < forgottenLoad {
			delete(a.load, id)
		}
	}
}
