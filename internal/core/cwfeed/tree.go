// Package cwfeed models the distribution of changes from the platform's store to
// the instances.
//
// In each data centre a few instances, the roots, query the store. Every other
// instance queries its parent in a distribution tree, its feeder, and answers the
// queries of its own children from what it has received. The queries are long
// polls: the store or the feeder holds a query until it has something new to
// report, or until a wait has passed. All instances compute the same
// DistributionTree from the list of instances by rendezvous hashing, without
// communication. Lists that differ for a while only cause a detour, because an
// instance does not rely on its feeder:
//
//   - Each response states how long ago the store confirmed its contents. This
//     age is passed down the tree and never reduced.
//   - An instance whose data was not confirmed for too long queries the store
//     itself, whatever its feeder says. See Staleness.
//
// So a feeder that is suspended, cut off, behind, or in a cycle with others delays
// changes by a bounded time only. A ChangeLog holds the rows from which queries are
// answered.
package cwfeed

import "cicadawalk.example/cicadawalk/internal/core/cwrendezvous"

// Default parameters of a DistributionTree.
const (
	// DefaultRoots is the number of instances in a data centre that query the
	// store. While one restarts, the other one serves half of the data centre
	// without a gap.
	DefaultRoots = 2
	// DefaultFanout is the maximum number of children of an instance. Answering
	// sixteen children every one or two seconds takes about 0.1% of a core, and
	// 425 instances of a data centre are reached in two steps.
	DefaultFanout = 16
	// DefaultMinInstances is the number of instances in a data centre below which
	// all of them query the store. A root queries the store two to three times as
	// often as an instance does for itself alone, so two roots save nothing with
	// fewer than six instances.
	DefaultMinInstances = 8
)

// DistributionTree arranges the instances of a data centre in distribution trees.
// The zero DistributionTree uses the default parameters.
type DistributionTree struct {
	// Roots, Fanout and MinInstances replace DefaultRoots, DefaultFanout and
	// DefaultMinInstances if they are not zero.
	Roots, Fanout, MinInstances int
}

// Parent returns the feeder of self. The second result is false if self queries
// the store. instances are those of one data centre, self included, without
// those that self knows to be unreachable: the next instance in the rendezvous
// order replaces a lost root.
func (t DistributionTree) Parent(self string, instances []string) (string, bool) {
	roots, fanout := orDefault(t.Roots, DefaultRoots), orDefault(t.Fanout, DefaultFanout)
	if len(instances) < orDefault(t.MinInstances, DefaultMinInstances) {
		return "", false
	}
	rank := cwrendezvous.Rank(self, treeKey, instances)
	if rank < roots || rank >= len(instances) {
		return "", false
	}
	return cwrendezvous.Order(treeKey, instances)[(rank-roots)/fanout], true
}

// treeKey is the rendezvous key of the tree. It differs from the names of groups,
// so that roots don't hold more groups than other instances.
const treeKey = "tree of feeders"

// orDefault returns value, or fallback if value is not positive.
func orDefault(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}
