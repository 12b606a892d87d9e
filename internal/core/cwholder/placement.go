package cwholder

import (
	"maps"
	"slices"

	"cicadawalk.example/cicadawalk/internal/core/cwrendezvous"
)

// Placement computes the holders of each group from the known instances and
// caches the results. When an instance is added or removed, only the groups
// whose holders it changes are recomputed, because with hundreds of instances
// and a thousand groups every instance processes each change of all others. The
// zero Placement has no instances.
//
// A Placement is not safe for concurrent use.
type Placement struct {
	// Self is the instance from whose view Rank and ForwardingOrder answer.
	Self Instance

	instances map[string]Instance
	// idsByCentre has the IDs of the instances in each data centre. It has no
	// empty lists.
	idsByCentre map[string][]string
	// capacities has the known capacities of instances in thousandths of a core, by ID,
	// and scale converts them to weights. nodesByCentre caches the result of nodes.
	capacities    map[string]int
	scale         weightScale
	nodesByCentre map[string][]cwrendezvous.Node
	// routes and ranks cache the results of ForwardingOrder and Rank by group.
	routes map[string]groupRoute
	ranks  map[string]selfRank
}

// groupRoute is the cached result of ForwardingOrder for a group.
type groupRoute struct {
	capacity TargetCapacity
	// holders are the group's holders, and order the same in the order in which
	// Self forwards statements to them.
	holders, order []Instance
}

// selfRank is the cached result of Rank for a group.
type selfRank struct {
	capacity TargetCapacity
	// preceding is the number of instances in the data centre of Self that
	// precede Self in the group's rendezvous order. localHolders is the number
	// of holders that the group has in that data centre.
	preceding, localHolders int
	// rank is the index of Self in the list of holders; -1 if it is not a holder.
	rank int
}

// Set adds or updates an instance and reports whether anything changed. The capacity of
// an instance that changed is unknown until SetCapacity is called.
func (p *Placement) Set(i Instance) bool {
	if p.instances[i.ID] == i {
		return false
	}
	p.Remove(i.ID)
	if p.instances == nil {
		p.instances = make(map[string]Instance)
		p.idsByCentre = make(map[string][]string)
	}
	p.instances[i.ID] = i
	p.idsByCentre[i.DataCentre] = append(p.idsByCentre[i.DataCentre], i.ID)
	p.rescale()
	p.invalidate(i, 1)
	return true
}

// Remove removes the instance with the ID and reports whether it was known.
func (p *Placement) Remove(id string) bool {
	i, ok := p.instances[id]
	if !ok {
		return false
	}
	delete(p.instances, id)
	remaining := slices.DeleteFunc(p.idsByCentre[i.DataCentre], func(n string) bool { return n == id })
	p.idsByCentre[i.DataCentre] = remaining
	if len(remaining) == 0 {
		delete(p.idsByCentre, i.DataCentre)
	}
	p.invalidate(i, -1)
	delete(p.capacities, id)
	p.rescale()
	return true
}

// Instance returns the instance with the ID. The second result is false if it is
// not known.
func (p *Placement) Instance(id string) (Instance, bool) {
	i, ok := p.instances[id]
	return i, ok
}

// Instances returns all instances by ID. Callers must not change the map.
func (p *Placement) Instances() map[string]Instance { return p.instances }

// InstanceIDs returns the IDs of the instances in a data centre. Callers must not
// change the slice.
func (p *Placement) InstanceIDs(dataCentre string) []string { return p.idsByCentre[dataCentre] }

// invalidate drops the cached results that an instance changes which was added
// (by is 1) or removed (by is -1).
func (p *Placement) invalidate(i Instance, by int) {
	if n := len(p.idsByCentre[i.DataCentre]); n == 0 || n == 1 && by > 0 {
		// The set of data centres has changed as well.
		clear(p.routes)
		clear(p.ranks)
		return
	}
	for group, r := range p.routes {
		if p.affects(i, group, r) {
			delete(p.routes, group)
			delete(p.ranks, group)
		}
	}
	if i.DataCentre != p.Self.DataCentre {
		return
	}
	for group, known := range p.ranks {
		if i.ID == p.Self.ID || known.rank >= 0 {
			delete(p.ranks, group)
			continue
		}
		if !cwrendezvous.PrecedesWeighted(p.node(i.ID), p.node(p.Self.ID), group) {
			continue
		}
		known.preceding += by
		p.ranks[group] = known
		if known.preceding < known.localHolders {
			delete(p.ranks, group)
		}
	}
}

// affects reports whether an instance is one of the holders of a group, or
// becomes one if it is added.
func (p *Placement) affects(i Instance, group string, r groupRoute) bool {
	var near []cwrendezvous.Node
	for _, h := range r.holders {
		if h.ID == i.ID {
			return true
		}
		if h.DataCentre == i.DataCentre {
			near = append(near, p.node(h.ID))
		}
	}
	return cwrendezvous.RankWeighted(p.node(i.ID), group, near) < p.holdersIn(i.DataCentre, group, r.capacity)
}

// holdersIn returns the number of holders of a group in a data centre.
func (p *Placement) holdersIn(centre, group string, d TargetCapacity) int {
	rank := 0
	for other := range p.idsByCentre {
		if other != centre && cwrendezvous.Precedes(other, centre, group) {
			rank++
		}
	}
	return d.holdersInDataCentre(rank, len(p.idsByCentre))
}

// Holders returns the group's holders. With more than ManyGroupsThreshold groups,
// this is the order in which all instances forward statements to them. If a data
// centre has no more instances than the group needs holders there, all of them are
// holders and none of them has to forward.
func (p *Placement) Holders(group string, d TargetCapacity) []Instance {
	return p.holders(group, d, func(centre string, n int) []string {
		return cwrendezvous.FirstWeighted(group, p.nodes(centre), n)
	})
}

// PlainHolders returns the instances that would hold a group if all capacities were
// equal. It is for roles that must not move when a capacity becomes known.
func (p *Placement) PlainHolders(group string, d TargetCapacity) []Instance {
	return p.holders(group, d, func(centre string, n int) []string {
		return cwrendezvous.First(group, p.idsByCentre[centre], n)
	})
}

// holders returns the holders of a group, of which first returns the first n in a data
// centre.
func (p *Placement) holders(group string, d TargetCapacity, first func(centre string, n int) []string) []Instance {
	centres := cwrendezvous.Order(group, slices.Collect(maps.Keys(p.idsByCentre)))
	var out, additional []Instance
	for rank, c := range centres {
		for n, id := range first(c, d.holdersInDataCentre(rank, len(centres))) {
			if n == 0 {
				out = append(out, p.instances[id])
			} else {
				additional = append(additional, p.instances[id])
			}
		}
	}
	return append(out, additional...)
}

// ForwardingOrder returns the group's holders in the order in which Self forwards
// statements to them. Callers must not change the slice.
func (p *Placement) ForwardingOrder(group string, d TargetCapacity) []Instance {
	return p.cachedRoute(group, d).order
}

// CachedHolders returns the same holders as Holders, from the cache if possible. Callers
// must not change the slice.
func (p *Placement) CachedHolders(group string, d TargetCapacity) []Instance {
	return p.cachedRoute(group, d).holders
}

// cachedRoute returns the route of a group and computes it if it is not cached.
func (p *Placement) cachedRoute(group string, d TargetCapacity) groupRoute {
	if r, ok := p.routes[group]; ok && r.capacity == d {
		return r
	}
	holders := p.Holders(group, d)
	r := groupRoute{capacity: d, holders: holders, order: holders}
	if !d.ManyGroups {
		r.order = p.forwardingOrder(group, holders)
	}
	if p.routes == nil {
		p.routes = make(map[string]groupRoute)
	}
	p.routes[group] = r
	return r
}

// Rank returns the index of Self in the list of the group's holders. The second
// result is false if Self is not a holder. The other holders are computed only
// if Self is one.
func (p *Placement) Rank(group string, d TargetCapacity) (int, bool) {
	known, ok := p.ranks[group]
	if !ok || known.capacity != d {
		known = p.computeRank(group, d)
		if p.ranks == nil {
			p.ranks = make(map[string]selfRank)
		}
		p.ranks[group] = known
	}
	return known.rank, known.rank >= 0
}

// computeRank computes the result of Rank for a group.
func (p *Placement) computeRank(group string, d TargetCapacity) selfRank {
	centre := p.idsByCentre[p.Self.DataCentre]
	out := selfRank{capacity: d, preceding: len(centre), localHolders: p.holdersIn(p.Self.DataCentre, group, d), rank: -1}
	if p.instances[p.Self.ID] == p.Self {
		out.preceding = cwrendezvous.RankWeighted(p.node(p.Self.ID), group, p.nodes(p.Self.DataCentre))
		if out.preceding < out.localHolders {
			out.rank = slices.Index(p.cachedRoute(group, d).holders, p.Self)
		}
	}
	return out
}
