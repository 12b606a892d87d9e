package cwrendezvous

import (
	"fmt"
	"hash/fnv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a change of the hash: during an update, instances of two
// versions run side by side and must agree on the order. The weight must be the
// FNV-1a hash of the key, a zero byte and the node, followed by the finalizer of
// splitmix64.
func TestWeightMatchesStandardHash(t *testing.T) {
	for i := range 100 {
		node, key := fmt.Sprintf("front-%d", i*i), fmt.Sprintf("group %d", i)
		h := fnv.New64a()
		fmt.Fprintf(h, "%s\x00%s", key, node)
		x := h.Sum64()
		x ^= x >> 30
		x *= 0xbf58476d1ce4e5b9
		x ^= x >> 27
		x *= 0x94d049bb133111eb
		qt.Assert(t, weight(node, key), qt.Equals, x^x>>31)
	}
	var sum uint64
	allocs := testing.AllocsPerRun(100, func() { sum += weight("front-1", "group") })
	qt.Assert(t, allocs, qt.Equals, 0.0, qt.Commentf("sum %d", sum))
}
