package cwrendezvous

import (
	"fmt"
	"math"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// drawNodes draws up to 30 nodes with weights of up to maxWeight.
func drawNodes(t *rapid.T, maxWeight int) []Node {
	var nodes []Node
	for i := range rapid.IntRange(1, 30).Draw(t, "nodes") {
		nodes = append(nodes, Node{fmt.Sprint("node-", i), rapid.IntRange(1, maxWeight).Draw(t, "weight")})
	}
	return nodes
}

// Guards against an order that changes for deployments whose instances are equal.
func TestEqualWeightsGiveThePlainOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t, 1)
		weight, key := rapid.IntRange(1, 1<<20).Draw(t, "weight of all"), rapid.String().Draw(t, "key")
		var names []string
		for i := range nodes {
			nodes[i].Weight = weight
			names = append(names, nodes[i].Name)
		}
		n := rapid.IntRange(0, len(nodes)).Draw(t, "n")
		if got, want := FirstWeighted(key, nodes, n), First(key, names, n); !slices.Equal(got, want) {
			t.Fatalf("%v, without weights %v", got, want)
		}
	})
}

// Guards against keys that move between nodes that neither join nor leave, and against
// functions that disagree on the order.
func TestWeightedOrderIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, key := drawNodes(t, 4000), rapid.String().Draw(t, "key")
		order := OrderWeighted(key, nodes)
		leaves := rapid.SampledFrom(nodes).Draw(t, "leaves")
		others := slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return n == leaves })
		left := slices.DeleteFunc(slices.Clone(order), func(n string) bool { return n == leaves.Name })
		if got := OrderWeighted(key, others); !slices.Equal(got, left) {
			t.Fatalf("%v without %s, %v before", got, leaves.Name, order)
		}
		if rank := RankWeighted(leaves, key, nodes); order[rank] != leaves.Name {
			t.Fatalf("rank %d of %s in %v", rank, leaves.Name, order)
		}
		for _, n := range others {
			if before := slices.Index(order, leaves.Name) < slices.Index(order, n.Name); PrecedesWeighted(leaves, n, key) != before {
				t.Fatalf("%s before %s: %t in %v", leaves.Name, n.Name, !before, order)
			}
		}
	})
}

func TestShareIsProportionalToWeight(t *testing.T) {
	const keys = 20000
	nodes := []Node{{"a", 4}, {"b", 1}, {"c", 1}, {"d", 2}}
	count := map[string]int{}
	for i := range keys {
		count[FirstWeighted(fmt.Sprint("group-", i), nodes, 1)[0]]++
	}
	for _, n := range nodes {
		want := float64(keys*n.Weight) / 8
		qt.Assert(t, math.Abs(float64(count[n.Name])-want) < 0.05*want, qt.IsTrue, qt.Commentf("%s: %d", n.Name, count[n.Name]))
	}
}
