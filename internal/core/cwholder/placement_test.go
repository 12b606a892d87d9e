package cwholder

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// placementOf returns a Placement of self that knows all instances.
func placementOf(self Instance, all []Instance) *Placement {
	p := &Placement{Self: self}
	for _, i := range all {
		p.Set(i)
	}
	return p
}

// testCapacities are the target capacities that the tests of Placement use.
var testCapacities = []TargetCapacity{{}, {Connections: 36, Slots: 3}, {Connections: 216, Slots: 5}, {Connections: 900, Slots: 3}, {Connections: 278, Slots: 3, ManyGroups: true}}

// Guards against an instance that neither holds a group nor forwards its
// statements, because Rank and the list of holders disagree.
func TestRankAgreesWithHolders(t *testing.T) {
	all := instances(9, "a", "b", "c")
	for _, d := range testCapacities {
		for g := range 40 {
			group := string(rune('A' + g))
			holders := Holders(group, all, d)
			for _, self := range all {
				rank, held := placementOf(self, all).Rank(group, d)
				qt.Assert(t, rank, qt.Equals, slices.Index(holders, self))
				qt.Assert(t, held, qt.Equals, rank >= 0)
			}
		}
	}
}

// Guards against cached results that stay after a change of the instances that
// makes them wrong.
func TestCachedPlacementEqualsRecomputed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := instances(6, "a", "b", "c", "d", "e")
		p := placementOf(all[0], all[:rapid.IntRange(1, len(all)).Draw(t, "first")])
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			i := rapid.SampledFrom(all).Draw(t, "instance")
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				p.Remove(i.ID)
			case 1:
				p.Set(i)
			case 2:
				i.DataCentre = rapid.SampledFrom([]string{"a", "b", "f"}).Draw(t, "data centre")
				p.Set(i)
			case 3:
				p.SetCapacity(i.ID, rapid.SampledFrom([]int{0, 134, 150, 192, 800}).Draw(t, "capacity"))
			}
			recomputed := placementOf(p.Self, slices.Collect(maps.Values(p.Instances())))
			for id, c := range p.capacities {
				recomputed.SetCapacity(id, c)
			}
			for g := range 2 * len(testCapacities) {
				group := fmt.Sprint("group-", g)
				d := testCapacities[g/2]
				rank, _ := p.Rank(group, d)
				want, _ := recomputed.Rank(group, d)
				if rank != want {
					t.Fatalf("%s: rank %d, recomputed %d", group, rank, want)
				}
				if g%2 == 0 {
					// For most groups an instance caches its rank and no route.
					continue
				}
				if got, want := p.ForwardingOrder(group, d), recomputed.ForwardingOrder(group, d); !slices.Equal(got, want) {
					t.Fatalf("%s: route %v, recomputed %v", group, got, want)
				}
			}
		}
	})
}

// Guards against a change of one instance that makes the others recompute every
// group.
func TestChangeInvalidatesAffectedGroupsOnly(t *testing.T) {
	const groups = 1000
	d := TargetCapacity{Connections: 278, Slots: 3, ManyGroups: true}
	for _, n := range []int{5, 20, 50} {
		all := instances(n, "a", "b", "c", "d", "e", "f")
		p := placementOf(all[0], all[:len(all)-1])
		for g := range groups {
			p.ForwardingOrder(fmt.Sprint("group-", g), d)
			p.Rank(fmt.Sprint("group-", g), d)
		}
		p.Set(all[len(all)-1])
		invalidated := groups - len(p.routes)
		held := groups * holdersWithManyGroups / len(all)
		qt.Assert(t, invalidated < 2*held, qt.IsTrue, qt.Commentf("%d instances: %d groups invalidated, %d groups held", len(all), invalidated, held))
		p.Remove(all[len(all)-1].ID)
		qt.Assert(t, groups-len(p.routes), qt.Equals, invalidated)
		uncached := 0
		for g := range groups {
			if _, ok := p.ranks[fmt.Sprint("group-", g)]; !ok {
				uncached++
			}
		}
		qt.Assert(t, uncached <= invalidated, qt.IsTrue, qt.Commentf("%d instances: %d ranks to recompute", len(all), uncached))
	}
}

// BenchmarkInstanceChange measures Rank for 1,000 groups and a change of one
// instance.
func BenchmarkInstanceChange(b *testing.B) {
	const groups = 1000
	d := TargetCapacity{Connections: 278, Slots: 3, ManyGroups: true}
	for _, n := range []int{50, 164, 330} {
		b.Run(fmt.Sprintf("%d instances", 6*n), func(b *testing.B) {
			all := instances(n, "a", "b", "c", "d", "e", "f")
			p := placementOf(all[0], all)
			b.ReportAllocs()
			for b.Loop() {
				for g := range groups {
					p.Rank(fmt.Sprint("group-", g), d)
				}
				p.Remove(all[1].ID)
				p.Set(all[1])
			}
		})
	}
}
