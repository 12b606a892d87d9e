package cwholder

import (
	"maps"
	"slices"

	"cicadawalk.example/cicadawalk/internal/core/cwplace"
)

// Placement tells who holds each group, by the instances that are known. It keeps what it
// has worked out until a change of the instances touches it: one that comes or goes is
// compared with the holders of a group, and other groups stay as they are. Its zero value
// knows no instances.
//
// The load it answers: hundreds of instances before a thousand groups, in which each
// instance hears of each change of all others.
type Placement struct {
	// Self is the instance whose places and routes are told.
	Self Instance

	instances map[string]Instance
	// centres has the names of the instances of each data centre; none is empty.
	centres map[string][]string
	// routes and places are what was worked out for a group.
	routes map[string]route
	places map[string]place
}

type route struct {
	demand Demand
	// holders are those of the group, and route the same in the order in which Self
	// hands statements over.
	holders, route []Instance
}

type place struct {
	demand Demand
	// before counts the instances of the data centre of Self that come before it in the
	// order of the group, and wanted the holders that the group has there.
	before, wanted int
	// rank is the place of Self among the holders, -1 if it is none.
	rank int
}

// Set takes an instance that is new or has moved, and reports whether that is news.
func (p *Placement) Set(i Instance) bool {
	if p.instances[i.ID] == i {
		return false
	}
	p.Remove(i.ID)
	if p.instances == nil {
		p.instances = make(map[string]Instance)
		p.centres = make(map[string][]string)
	}
	p.instances[i.ID] = i
	p.centres[i.DataCentre] = append(p.centres[i.DataCentre], i.ID)
	p.changed(i, 1)
	return true
}

// Remove takes an instance out, and reports whether it was there.
func (p *Placement) Remove(name string) bool {
	i, ok := p.instances[name]
	if !ok {
		return false
	}
	delete(p.instances, name)
	left := slices.DeleteFunc(p.centres[i.DataCentre], func(n string) bool { return n == name })
	p.centres[i.DataCentre] = left
	if len(left) == 0 {
		delete(p.centres, i.DataCentre)
	}
	p.changed(i, -1)
	return true
}

// Instance returns the instance of a name.
func (p *Placement) Instance(name string) (Instance, bool) {
	i, ok := p.instances[name]
	return i, ok
}

// Instances returns all instances by name. It is not to be changed.
func (p *Placement) Instances() map[string]Instance { return p.instances }

// Centre returns the names of a data centre's instances. It is not to be changed.
func (p *Placement) Centre(name string) []string { return p.centres[name] }

// changed drops what an instance may change that was added, by 1, or removed, by -1.
func (p *Placement) changed(i Instance, by int) {
	if n := len(p.centres[i.DataCentre]); n == 0 || n == 1 && by > 0 {
		// The data centres have changed with it.
		clear(p.routes)
		clear(p.places)
		return
	}
	for group, r := range p.routes {
		if p.touches(i, group, r) {
			delete(p.routes, group)
			delete(p.places, group)
		}
	}
	if i.DataCentre != p.Self.DataCentre {
		return
	}
	for group, known := range p.places {
		if i.ID == p.Self.ID || known.rank >= 0 {
			delete(p.places, group)
			continue
		}
		if !cwplace.Before(i.ID, p.Self.ID, group) {
			continue
		}
		known.before += by
		p.places[group] = known
		if known.before < known.wanted {
			delete(p.places, group)
		}
	}
}

// touches reports whether an instance is among the holders of a group, or would be.
func (p *Placement) touches(i Instance, group string, r route) bool {
	var near []string
	for _, h := range r.holders {
		if h.ID == i.ID {
			return true
		}
		if h.DataCentre == i.DataCentre {
			near = append(near, h.ID)
		}
	}
	return cwplace.Rank(i.ID, group, append(near, i.ID)) < p.wanted(i.DataCentre, group, r.demand)
}

// wanted returns how many holders a group has in a data centre.
func (p *Placement) wanted(centre, group string, d Demand) int {
	rank := 0
	for other := range p.centres {
		if other != centre && cwplace.Before(other, centre, group) {
			rank++
		}
	}
	return d.inDataCentre(rank, len(p.centres))
}

// Holders returns the group's holders, of many groups in the order in which all
// instances hand statements to them. Where a data centre has no more instances than it
// needs holders, all of them hold the group and nothing is handed over there.
func (p *Placement) Holders(group string, d Demand) []Instance {
	centres := cwplace.Order(group, slices.Collect(maps.Keys(p.centres)))
	var out, others []Instance
	for rank, c := range centres {
		for n, name := range cwplace.First(group, p.centres[c], d.inDataCentre(rank, len(centres))) {
			if n == 0 {
				out = append(out, p.instances[name])
			} else {
				others = append(others, p.instances[name])
			}
		}
	}
	return append(out, others...)
}

// Route returns the group's holders in the order in which Self hands statements to them.
// It is not to be changed.
func (p *Placement) Route(group string, d Demand) []Instance { return p.route(group, d).route }

func (p *Placement) route(group string, d Demand) route {
	if r, ok := p.routes[group]; ok && r.demand == d {
		return r
	}
	holders := p.Holders(group, d)
	r := route{demand: d, holders: holders, route: holders}
	if !d.Many {
		r.route = Order(p.Self, group, holders)
	}
	if p.routes == nil {
		p.routes = make(map[string]route)
	}
	p.routes[group] = r
	return r
}

// Place returns the place of Self among the group's holders; false if it is none. The
// others are worked out only if it is one.
func (p *Placement) Place(group string, d Demand) (int, bool) {
	known, ok := p.places[group]
	if !ok || known.demand != d {
		known = p.place(group, d)
		if p.places == nil {
			p.places = make(map[string]place)
		}
		p.places[group] = known
	}
	return known.rank, known.rank >= 0
}

func (p *Placement) place(group string, d Demand) place {
	centre := p.centres[p.Self.DataCentre]
	out := place{demand: d, before: len(centre), wanted: p.wanted(p.Self.DataCentre, group, d), rank: -1}
	if p.instances[p.Self.ID] == p.Self {
		out.before = cwplace.Rank(p.Self.ID, group, centre)
		if out.before < out.wanted {
			out.rank = slices.Index(p.route(group, d).holders, p.Self)
		}
	}
	return out
}
