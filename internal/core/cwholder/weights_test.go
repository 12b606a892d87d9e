package cwholder

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against holders that change for deployments whose instances are equal, or
// whose capacities are unknown.
func TestEqualOrUnknownCapacitiesChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := instances(rapid.IntRange(1, 9).Draw(t, "instances"), "a", "b", "c")
		plain, p := placementOf(all[0], all), placementOf(all[0], all)
		capacity := rapid.IntRange(1, 100_000).Draw(t, "capacity")
		for _, i := range all {
			if rapid.Bool().Draw(t, "known") {
				p.SetCapacity(i.ID, capacity)
			}
		}
		for _, d := range testCapacities {
			group := rapid.String().Draw(t, "group")
			if got, want := p.ForwardingOrder(group, d), plain.ForwardingOrder(group, d); !slices.Equal(got, want) {
				t.Fatalf("%v, without capacities %v", got, want)
			}
		}
	})
}

// Guards against groups that move between instances when another one joins or leaves
// that is not the smallest.
func TestOnlyGroupsOfTheInstanceMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := instances(6, "a", "b", "c")
		p := placementOf(all[0], all)
		p.SetCapacity(all[0].ID, 134)
		for _, i := range all[1:] {
			p.SetCapacity(i.ID, rapid.IntRange(134, 1000).Draw(t, "capacity"))
		}
		d := rapid.SampledFrom(testCapacities).Draw(t, "targets")
		leaves := rapid.SampledFrom(all[1:]).Draw(t, "leaves")
		var before [30][]Instance
		for g := range before {
			before[g] = p.Holders(fmt.Sprint(g), d)
		}
		p.Remove(leaves.ID)
		for g, holders := range before {
			after := p.Holders(fmt.Sprint(g), d)
			stays := func(i Instance) bool { return i == leaves || slices.Contains(after, i) }
			if !slices.Contains(holders, leaves) && !slices.Equal(holders, after) || !slices.ContainsFunc(holders, stays) || slices.ContainsFunc(holders, func(i Instance) bool { return !stays(i) }) {
				t.Fatalf("group %d: %v, after %s left %v", g, holders, leaves.ID, after)
			}
		}
	})
}

// Guards against a strong instance whose loss affects all groups, and against two
// holders of a data centre on one instance.
func TestShareOfAStrongInstanceIsBounded(t *testing.T) {
	const groups = 4000
	all := instances(8, "a", "b", "c")
	p := placementOf(all[0], all)
	for n, i := range all {
		p.SetCapacity(i.ID, 134+n)
	}
	p.SetCapacity("a-0", 16_000)
	held := map[string]int{}
	for g := range groups {
		qt.Assert(t, p.PlainHolders(fmt.Sprint(g), TargetCapacity{}), qt.DeepEquals, Holders(fmt.Sprint(g), all, TargetCapacity{}))
		holders := p.Holders(fmt.Sprint(g), TargetCapacity{})
		different := map[string]bool{}
		for _, i := range holders {
			held[i.ID]++
			different[i.ID] = true
		}
		qt.Assert(t, different, qt.HasLen, len(holders))
		qt.Assert(t, countInCentre(holders, "a"), qt.Equals, MinPerDataCentre)
	}
	average := (2*groups - held["a-0"]) / 7
	qt.Assert(t, held["a-0"] > average*5/2, qt.IsTrue)
	qt.Assert(t, held["a-0"] < average*maxWeightRatio, qt.IsTrue)
	qt.Assert(t, held["a-0"] < groups*7/10, qt.IsTrue, qt.Commentf("%d of %d", held["a-0"], groups))
	t.Logf("the strong instance holds %.2f of the groups of its data centre, each other %.2f", float64(held["a-0"])/groups, float64(average)/groups)
}
