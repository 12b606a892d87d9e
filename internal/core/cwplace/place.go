// Package cwplace spreads work over instances by rendezvous hashing: every
// instance computes the same order for a key from the same list, without
// talking to the others, and a change of the list moves as little as possible.
package cwplace

import (
	"cmp"
	"slices"
)

// Figures of FNV-1a with 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// weight is computed for each pair of a node and a key, hundreds of thousands at a
// change of the nodes, so it allocates nothing.
func weight(node, key string) uint64 {
	x := uint64(fnvOffset)
	for i := range len(key) {
		x = (x ^ uint64(key[i])) * fnvPrime
	}
	x *= fnvPrime
	for i := range len(node) {
		x = (x ^ uint64(node[i])) * fnvPrime
	}
	// FNV mixes the last bytes poorly; finish as in splitmix64.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Order returns the nodes in the order of the key, first choice first.
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

// Before reports whether a node comes before another one in the order of the key.
func Before(node, other, key string) bool {
	return before(weight(node, key), node, weight(other, key), other)
}

func before(w uint64, node string, than uint64, other string) bool {
	return w > than || w == than && node < other
}

// Rank returns the place of self in the order of the key, or len(nodes) if it
// is not among them.
func Rank(self, key string, nodes []string) int {
	if !slices.Contains(nodes, self) {
		return len(nodes)
	}
	mine, rank := weight(self, key), 0
	for _, n := range nodes {
		if before(weight(n, key), n, mine, self) {
			rank++
		}
	}
	return rank
}

// fewFirst is up to how many nodes First selects without putting all in order.
const fewFirst = 8

// First returns the first n nodes in the order of the key.
func First(key string, nodes []string, n int) []string {
	if n > fewFirst {
		out := Order(key, nodes)
		return out[:min(n, len(out))]
	}
	var weights [fewFirst]uint64
	out := make([]string, 0, n)
	for _, node := range nodes {
		w := weight(node, key)
		at := len(out)
		for at > 0 && before(w, node, weights[at-1], out[at-1]) {
			at--
		}
		if at == n {
			continue
		}
		if len(out) == n {
			out = out[:n-1]
		}
		copy(weights[at+1:], weights[at:len(out)])
		weights[at] = w
		out = slices.Insert(out, at, node)
	}
	return out
}
