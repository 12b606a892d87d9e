package cwrendezvous

import (
	"cmp"
	"math"
	"slices"
)

// Node is a node with a weight. The share of the keys for which a node comes first is
// proportional to its weight.
type Node struct {
	Name string
	// Weight is positive.
	Weight int
}

// score is the position of a node in the order of a key.
type score struct {
	Node
	hash  uint64
	value float64
}

// newScore returns the score of a node for a key. Its value is -weight / ln(x), where x
// is the hash as a number between 0 and 1. It depends on this node only, so that a
// change of one node does not change the order of the others.
func newScore(n Node, key string) score {
	h := weight(n.Name, key)
	x := (float64(h) + 0.5) / (1 << 64)
	return score{Node: n, hash: h, value: -float64(n.Weight) / math.Log(x)}
}

// compare orders by descending value. Nodes of equal weight are compared by their hash,
// exactly as Order does, since different hashes can have the same value.
func (s score) compare(o score) int {
	if s.Weight != o.Weight && s.value != o.value {
		return cmp.Compare(o.value, s.value)
	}
	if c := cmp.Compare(o.hash, s.hash); c != 0 {
		return c
	}
	return cmp.Compare(s.Name, o.Name)
}

// OrderWeighted returns the names of the nodes in the order of the key. If all weights
// are equal, it is that of Order.
func OrderWeighted(key string, nodes []Node) []string { return FirstWeighted(key, nodes, len(nodes)) }

// FirstWeighted returns the names of the first n nodes in the order of the key, or all
// of them if there are fewer.
func FirstWeighted(key string, nodes []Node, n int) []string {
	first := make([]score, 0, min(n, len(nodes))+1)
	for _, node := range nodes {
		s := newScore(node, key)
		if len(first) == n && (n == 0 || s.compare(first[n-1]) >= 0) {
			continue
		}
		i, _ := slices.BinarySearchFunc(first, s, score.compare)
		first = slices.Insert(first, i, s)
		first = first[:min(n, len(first))]
	}
	out := make([]string, len(first))
	for i, s := range first {
		out[i] = s.Name
	}
	return out
}

// PrecedesWeighted reports whether node precedes other in the order of the key.
func PrecedesWeighted(node, other Node, key string) bool {
	return newScore(node, key).compare(newScore(other, key)) < 0
}

// RankWeighted returns the index of the node in the order of the key, where nodes are
// the others and may include the node itself.
func RankWeighted(node Node, key string, nodes []Node) int {
	s, rank := newScore(node, key), 0
	for _, n := range nodes {
		if newScore(n, key).compare(s) < 0 {
			rank++
		}
	}
	return rank
}
