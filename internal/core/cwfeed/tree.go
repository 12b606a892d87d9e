// Package cwfeed decides how news of the platform's store reaches the instances.
//
// In each data centre few instances, the roots, ask the store. Every other
// instance asks one that stands above it in a tree, its feeder, and answers
// those below with what it has learnt. All instances work out the same tree from
// the list of instances, by rendezvous hashing, without talking to each other;
// lists that differ for a while cost a detour and nothing else, because a
// feeder's word is not what an instance relies on:
//
//   - Each answer says how long ago the store itself confirmed what it tells.
//     That age is passed on from instance to instance, never made younger.
//   - An instance whose knowledge is not confirmed for too long asks the store
//     itself, whatever its feeder says. See Ages.
//
// So a feeder that is frozen, cut off, behind, or in a circle with others delays
// news by a bounded time. A History answers who asks.
package cwfeed

import "cicadawalk.example/cicadawalk/internal/core/cwplace"

// Figures of the tree.
const (
	// DefaultRoots is how many instances of a data centre ask the store: while
	// one is restarted, the other one tells half of the data centre without a
	// gap.
	DefaultRoots = 2
	// DefaultFanout is how many instances ask one. A node that answers sixteen
	// every second or two spends some 0.1% of a core on it, and 425 instances of
	// a data centre are reached in two steps.
	DefaultFanout = 16
	// DefaultLeast is the size of a data centre below which all its instances
	// ask the store. What others rely on is asked two to three times as often as
	// what one instance needs for itself, so two roots save nothing before six.
	DefaultLeast = 8
)

// Tree places the instances of a data centre. The zero value stands for the
// default figures.
type Tree struct {
	// Roots, Fanout and Least replace the default figures where they are not
	// zero.
	Roots, Fanout, Least int
}

// Parent returns the instance that self asks. The second result is false if self
// asks the store. The instances are those of one data centre, self among them,
// without those that self knows to be out of reach: a root that is lost is
// replaced by the next in order.
func (t Tree) Parent(self string, instances []string) (string, bool) {
	roots, fanout := figure(t.Roots, DefaultRoots), figure(t.Fanout, DefaultFanout)
	if len(instances) < figure(t.Least, DefaultLeast) {
		return "", false
	}
	rank := cwplace.Rank(self, treeKey, instances)
	if rank < roots || rank >= len(instances) {
		return "", false
	}
	return cwplace.Order(treeKey, instances)[(rank-roots)/fanout], true
}

// treeKey is what the order of the tree is hashed with. It differs from the
// names of groups, so that roots hold no more groups than others.
const treeKey = "tree of feeders"

func figure(own, usual int) int {
	if own > 0 {
		return own
	}
	return usual
}
