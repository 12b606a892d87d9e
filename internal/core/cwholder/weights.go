package cwholder

import (
	"math/bits"

	"cicadawalk.example/cicadawalk/internal/core/cwrendezvous"
)

// maxWeightRatio is the maximum ratio of the weights of two instances. It bounds the
// share of the groups that are affected by the loss of one strong instance.
const maxWeightRatio = 4

// weightScale converts the capacities of instances to weights for rendezvous hashing.
// The zero weightScale is that of instances whose capacities are all unknown.
type weightScale struct {
	// smallest is the smallest known capacity, in thousandths of a core; zero if none
	// is known.
	smallest int
}

// weight returns the weight of an instance. Instances whose capacity is unknown count
// as the smallest.
func (s weightScale) weight(capacity int) int {
	if s.smallest == 0 {
		return 1
	}
	if capacity == 0 {
		return s.smallest
	}
	return max(s.smallest, min(capacity, s.limit()))
}

// limit returns the largest weight. It follows from the three leading bits of the
// smallest capacity, so that it seldom changes, and the weights of all strong instances
// with it, when a slightly smaller instance joins.
func (s weightScale) limit() int {
	const leadingBits = 3
	rest := max(0, bits.Len(uint(s.smallest))-leadingBits)
	return s.smallest >> rest << rest * maxWeightRatio
}

// changesWeights reports whether a known or, if unknown is true, an unknown capacity
// can have another weight under the scale o.
func (s weightScale) changesWeights(o weightScale, unknown bool) bool {
	if s.smallest == 0 || o.smallest == 0 {
		return s != o
	}
	return s.limit() != o.limit() || unknown && s.smallest != o.smallest
}

// node returns an instance as a node for rendezvous hashing.
func (p *Placement) node(id string) cwrendezvous.Node {
	return cwrendezvous.Node{Name: id, Weight: p.scale.weight(p.capacities[id])}
}

// nodes returns the instances of a data centre as nodes for rendezvous hashing.
func (p *Placement) nodes(centre string) []cwrendezvous.Node {
	if p.nodesByCentre == nil {
		p.nodesByCentre = make(map[string][]cwrendezvous.Node)
	}
	nodes, ok := p.nodesByCentre[centre]
	if !ok {
		for _, id := range p.idsByCentre[centre] {
			nodes = append(nodes, p.node(id))
		}
		p.nodesByCentre[centre] = nodes
	}
	return nodes
}

// Capacity returns the capacity of an instance in thousandths of a core; zero if it is
// unknown.
func (p *Placement) Capacity(id string) int { return p.capacities[id] }

// SetCapacity records the capacity of a known instance in thousandths of a core, or
// that it is unknown if it is zero. It reports whether that changed.
func (p *Placement) SetCapacity(id string, capacity int) bool {
	i, ok := p.instances[id]
	if !ok || p.capacities[id] == capacity {
		return false
	}
	p.invalidate(i, -1)
	if p.capacities == nil {
		p.capacities = make(map[string]int)
	}
	p.capacities[id] = capacity
	p.rescale()
	p.invalidate(i, 1)
	return true
}

// rescale updates the scale after a change of the capacities. If weights change, all
// cached results are dropped.
func (p *Placement) rescale() {
	var s weightScale
	unknown := false
	for id := range p.instances {
		c := p.capacities[id]
		unknown = unknown || c == 0
		if c > 0 && (s.smallest == 0 || c < s.smallest) {
			s.smallest = c
		}
	}
	before := p.scale
	p.scale = s
	clear(p.nodesByCentre)
	if before.changesWeights(s, unknown) {
		clear(p.routes)
		clear(p.ranks)
	}
}
