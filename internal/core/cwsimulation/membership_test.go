package cwsimulation

import (
	"maps"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Timing of planned replacements.
const (
	// listInterval is the time between two reads of the platform's list by a proxy.
	listInterval = 500 * time.Millisecond
	// joinTime is the time from the listing of a new member until the one that it replaces
	// announces its leaving, and drainTime the time from then until that one ends.
	joinTime  = 500 * time.Millisecond
	drainTime = 8 * time.Second
	// dropGrace is the time of the rejected rule options.dropLeavingMembers.
	dropGrace = 4 * time.Second
)

// replaceMember replaces the member in a place as planned: the new one starts first, and
// the old one continues to receive and to serve until it ends.
func (sim *simulation) replaceMember(place int) {
	old := sim.members[place]
	if old.leaving {
		return
	}
	m := newMember(sim, len(sim.all))
	m.role, m.follow, m.adopted, m.place = cwgroup.RoleReplica, nil, 0, place
	m.log, m.receivedAt = nil, nil
	sim.members[place] = m
	sim.all = append(sim.all, m)
	for _, p := range sim.proxies {
		sim.every(250*time.Millisecond, func() { p.do(func() { p.probe(m) }) })
	}
	sim.after(joinTime, func() { old.leaving = true })
	sim.after(joinTime+drainTime, func() { old.ended, old.down = true, true })
}

// readList reads the platform's list of members if the proxy reaches it.
func (p *proxy) readList() {
	if p.sim.table.down || p.sim.cuts[pathBetween(p.name, "table")] > 0 {
		return
	}
	p.listed, p.draining = nil, nil
	for _, m := range p.sim.all {
		switch {
		case m.ended:
		case m.leaving:
			p.draining = append(p.draining, m.id())
		default:
			p.listed = append(p.listed, m.id())
		}
	}
	for _, id := range append(p.listed, p.draining...) {
		if _, known := p.lastHeard[id]; !known {
			p.lastHeard[id] = p.sim.now
		}
	}
	for _, id := range p.draining {
		if _, known := p.leavingSince[id]; !known {
			p.leavingSince[id] = p.sim.now
		}
	}
	p.countMembers()
}

// countMembers sets which members count, in the same way as a cwleadership.Group.
func (p *proxy) countMembers() {
	now := p.sim.now
	all := append(append([]cwgroup.MemberID{}, p.listed...), p.draining...)
	p.supervisor.SetStopping(p.draining, now)
	if p.sim.options.dropLeavingMembers {
		p.dropLeaving(now)
		return
	}
	p.reconfiguration = p.reconfiguration.WithMembers(p.listed, p.draining, 3, now)
	if after, ok := p.reconfiguration.SettleAfter(); ok {
		if end, at, ok := p.history.FirstSince(after); ok {
			p.reconfiguration = p.reconfiguration.WithSettled(p.supervisor.View(), end, at)
		}
	}
	p.supervisor.SetMembers(all, p.reconfiguration.Quorums(now))
}

// dropLeaving is the rejected rule: members that have been leaving for dropGrace are not
// members any more, unless they lead.
func (p *proxy) dropLeaving(now time.Time) {
	counted := append([]cwgroup.MemberID{}, p.listed...)
	primary, _ := p.supervisor.View().Primary()
	for _, id := range p.draining {
		if id == primary.Member || now.Sub(p.leavingSince[id]) < dropGrace {
			counted = append(counted, id)
		}
	}
	p.supervisor.SetMembers(counted, cwgroup.Quorums{Current: cwgroup.Configuration{Members: counted, MinSize: 3}})
}

// known returns the members that the proxy has had in its list, in a fixed order.
func (p *proxy) known() []cwgroup.MemberID { return slices.Sorted(maps.Keys(p.lastHeard)) }

// knows reports whether the proxy has the member in its list.
func (p *proxy) knows(id cwgroup.MemberID) bool {
	_, known := p.lastHeard[id]
	return known
}

// cutZone cuts a data centre off: its place in the group, also the member that is being
// replaced there, and its proxy.
func (sim *simulation) cutZone(zone int, lasts time.Duration) {
	var here, there []string
	for _, p := range sim.proxies {
		if p.index == zone {
			here = append(here, p.name)
		} else {
			there = append(there, p.name)
		}
	}
	for _, m := range sim.all {
		if m.place == zone {
			here = append(here, m.name)
		} else {
			there = append(there, m.name)
		}
	}
	for _, a := range here {
		sim.cutPath(a, "table", lasts)
		for _, b := range there {
			sim.cutPath(a, b, lasts)
		}
	}
}
