package cwrendezvous

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestOrderAndRankAgree(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e"}
	for i := range 50 {
		key := fmt.Sprint(i)
		for rank, n := range Order(key, nodes) {
			qt.Assert(t, Rank(n, key, nodes), qt.Equals, rank)
		}
	}
	qt.Assert(t, Rank("x", "k", nodes), qt.Equals, len(nodes))
	qt.Assert(t, First("k", nodes, 9), qt.HasLen, 5)
}

func TestDistributionIsEvenAndStable(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e"}
	count := map[string]int{}
	moved := 0
	for i := range 5000 {
		key := fmt.Sprint("shard-", i)
		first := Order(key, nodes)[0]
		count[first]++
		if without := slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == "e" }); Order(key, without)[0] != first {
			moved++
		}
	}
	for n, c := range count {
		qt.Assert(t, c > 850 && c < 1150, qt.IsTrue, qt.Commentf("%s is first for %d keys", n, c))
	}
	qt.Assert(t, moved, qt.Equals, count["e"])
}

// Guards against First and Precedes disagreeing with Order.
func TestFirstAgreesWithOrder(t *testing.T) {
	var nodes []string
	for i := range 40 {
		nodes = append(nodes, fmt.Sprint("node-", i))
	}
	for key := range 50 {
		order := Order(fmt.Sprint(key), nodes)
		for n := range len(nodes) + 2 {
			qt.Assert(t, First(fmt.Sprint(key), nodes, n), qt.DeepEquals, order[:min(n, len(order))])
		}
		qt.Assert(t, Precedes(order[0], order[1], fmt.Sprint(key)), qt.IsTrue)
		qt.Assert(t, Precedes(order[1], order[0], fmt.Sprint(key)), qt.IsFalse)
	}
}
