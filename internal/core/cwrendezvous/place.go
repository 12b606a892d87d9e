// Package cwrendezvous implements rendezvous hashing. For each key, every instance
// computes the same order of the nodes in a list, without communication. If a
// node is added or removed, the relative order of the others stays the same, so
// that as few keys as possible move.
package cwrendezvous

import (
	"cmp"
	"slices"
)

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// weight returns the rendezvous weight of a node for a key: the FNV-1a hash of
// the key, a zero byte and the node, followed by a finalizer. It is computed
// hundreds of thousands of times when the list of nodes changes, once for each
// pair of a node and a key, so it must not allocate.
func weight(node, key string) uint64 {
	x := uint64(fnvOffset)
	for i := range len(key) {
		x = (x ^ uint64(key[i])) * fnvPrime
	}
	x *= fnvPrime
	for i := range len(node) {
		x = (x ^ uint64(node[i])) * fnvPrime
	}
	// FNV mixes the last bytes poorly, so apply the finalizer of splitmix64.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Order returns the nodes in descending order of their weight for the key. Nodes
// of equal weight are ordered by name.
func Order(key string, nodes []string) []string {
	weights := make(map[string]uint64, len(nodes))
	for _, n := range nodes {
		weights[n] = weight(n, key)
	}
	out := slices.Clone(nodes)
	slices.SortFunc(out, func(a, b string) int {
		if c := cmp.Compare(weights[b], weights[a]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return out
}

// Precedes reports whether node precedes other in the order of the key.
func Precedes(node, other, key string) bool {
	return precedes(weight(node, key), node, weight(other, key), other)
}

// precedes reports whether node, whose weight is w, precedes other, whose weight
// is otherWeight.
func precedes(w uint64, node string, otherWeight uint64, other string) bool {
	return w > otherWeight || w == otherWeight && node < other
}

// Rank returns the index of self in the order of the key, or len(nodes) if self
// is not one of the nodes.
func Rank(self, key string, nodes []string) int {
	if !slices.Contains(nodes, self) {
		return len(nodes)
	}
	selfWeight, rank := weight(self, key), 0
	for _, n := range nodes {
		if precedes(weight(n, key), n, selfWeight, self) {
			rank++
		}
	}
	return rank
}

// maxSelected is the largest n for which First selects nodes without sorting all
// of them.
const maxSelected = 8

// First returns the first n nodes in the order of the key, or all of them if
// there are fewer.
func First(key string, nodes []string, n int) []string {
	if n > maxSelected {
		out := Order(key, nodes)
		return out[:min(n, len(out))]
	}
	var weights [maxSelected]uint64
	out := make([]string, 0, n)
	for _, node := range nodes {
		w := weight(node, key)
		index := len(out)
		for index > 0 && precedes(w, node, weights[index-1], out[index-1]) {
			index--
		}
		if index == n {
			continue
		}
		if len(out) == n {
			out = out[:n-1]
		}
		copy(weights[index+1:], weights[index:len(out)])
		weights[index] = w
		out = slices.Insert(out, index, node)
	}
	return out
}
