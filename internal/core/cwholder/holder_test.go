package cwholder

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// instances returns n instances in each of the data centres.
func instances(n int, centres ...string) []Instance {
	var all []Instance
	for _, c := range centres {
		for i := range n {
			all = append(all, Instance{ID: fmt.Sprintf("%s-%d", c, i), DataCentre: c})
		}
	}
	return all
}

// countInCentre returns the number of instances in a data centre.
func countInCentre(list []Instance, centre string) int {
	n := 0
	for _, i := range list {
		if i.DataCentre == centre {
			n++
		}
	}
	return n
}

func TestHolders(t *testing.T) {
	scarce := TargetCapacity{Connections: 36, Slots: 3}
	t.Run("few instances", func(t *testing.T) {
		all := instances(2, "a", "b", "c", "d")
		qt.Assert(t, Holders("g", all, scarce), qt.HasLen, len(all))
	})
	t.Run("many instances and few connections", func(t *testing.T) {
		all := instances(20, "a", "b", "c", "d")
		holders := Holders("g", all, scarce)
		qt.Assert(t, holders, qt.HasLen, 4*MinPerDataCentre)
		qt.Assert(t, countInCentre(holders, "a"), qt.Equals, MinPerDataCentre)
	})
	t.Run("more connections", func(t *testing.T) {
		all := instances(20, "a", "b", "c", "d")
		holders := Holders("g", all, TargetCapacity{Connections: 216, Slots: 5})
		qt.Assert(t, holders, qt.HasLen, 4*5)
	})
	t.Run("unknown capacity of the targets", func(t *testing.T) {
		qt.Assert(t, Holders("g", instances(3, "a"), TargetCapacity{}), qt.HasLen, MinPerDataCentre)
	})
}

// Guards against reopening all connections at once when an instance is lost:
// instances that did not use the lost holder must keep their holder.
func TestLossKeepsOtherHolders(t *testing.T) {
	all := instances(20, "a", "b")
	before := Holders("g", all, TargetCapacity{Connections: 36, Slots: 3})
	lost := before[0]
	var rest []Instance
	for _, i := range all {
		if i != lost {
			rest = append(rest, i)
		}
	}
	after := Holders("g", rest, TargetCapacity{Connections: 36, Slots: 3})
	for _, self := range rest {
		was, is := ForwardingOrder(self, "g", before)[0], ForwardingOrder(self, "g", after)[0]
		if was != lost && is != was && is != self {
			// Only the new holder may attract further instances.
			qt.Assert(t, before, qt.Not(qt.Contains), is)
		}
	}
}

func TestForwardingOrder(t *testing.T) {
	all := instances(20, "a", "b", "c")
	holders := Holders("g", all, TargetCapacity{Connections: 36, Slots: 3})
	count := map[string]int{}
	for _, self := range all {
		order := ForwardingOrder(self, "g", holders)
		qt.Assert(t, order[0].DataCentre, qt.Equals, self.DataCentre)
		qt.Assert(t, order, qt.HasLen, len(holders))
		if order[0] == self {
			continue
		}
		count[order[0].ID]++
	}
	for id, n := range count {
		qt.Assert(t, n < 17, qt.IsTrue, qt.Commentf("%s is the first holder of %d of 18 instances in its data centre", id, n))
	}
}

// Guards against spreading the few statements per second of a group over many
// holders.
func TestFewHoldersWithManyGroups(t *testing.T) {
	many := TargetCapacity{Connections: 278, Slots: 3, ManyGroups: true}
	centresOf := func(list []Instance) map[string]bool {
		out := make(map[string]bool)
		for _, i := range list {
			out[i.DataCentre] = true
		}
		return out
	}
	t.Run("spread over as many data centres as possible", func(t *testing.T) {
		for n, centres := range map[int][]string{4: {"a", "b", "c", "d", "e", "f"}, 3: {"a", "b", "c"}, 2: {"a", "b"}, 1: {"a"}} {
			holders := Holders("g", instances(20, centres...), many)
			qt.Assert(t, holders, qt.HasLen, holdersWithManyGroups)
			qt.Assert(t, centresOf(holders), qt.HasLen, n)
			qt.Assert(t, centresOf(holders[:n]), qt.HasLen, n)
		}
	})
	t.Run("all instances have the same order", func(t *testing.T) {
		all := instances(20, "a", "b", "c", "d", "e", "f")
		holders := Holders("g", all, many)
		for _, self := range all {
			qt.Assert(t, placementOf(self, all).ForwardingOrder("g", many), qt.DeepEquals, holders)
		}
	})
	t.Run("groups are spread evenly", func(t *testing.T) {
		all := instances(50, "a", "b", "c", "d", "e", "f")
		held := make(map[string]int)
		for g := range 300 {
			for _, h := range Holders(fmt.Sprintf("group-%d", g), all, many) {
				held[h.ID]++
			}
		}
		for id, n := range held {
			qt.Assert(t, n < 16, qt.IsTrue, qt.Commentf("%s holds %d", id, n))
		}
	})
	t.Run("loss of an instance changes only its own groups", func(t *testing.T) {
		all := instances(20, "a", "b", "c", "d", "e", "f")
		for g := range 100 {
			group := fmt.Sprintf("group-%d", g)
			before := Holders(group, all, many)
			lost := all[g]
			after := Holders(group, slices.DeleteFunc(slices.Clone(all), func(i Instance) bool { return i == lost }), many)
			if !slices.Contains(before, lost) {
				qt.Assert(t, after, qt.DeepEquals, before)
			}
		}
	})
}
