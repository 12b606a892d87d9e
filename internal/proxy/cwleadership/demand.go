package cwleadership

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/proxy/cwtargetpool"
)

// Demand returns the statements of this proxy at the members of the group.
func (g *Group) Demand() []cwport.MemberDemand {
	var out []cwport.MemberDemand
	for id, p := range g.pools() {
		out = append(out, cwport.MemberDemand{Member: id, Demand: p.Demand()})
	}
	return out
}

// Contended reports whether statements wait for admission at a member.
func (g *Group) Contended() bool {
	for _, p := range g.pools() {
		if p.Demand().Contended() {
			return true
		}
	}
	return false
}

// RecordDemand records the statements of another holder at the members, as of a time.
// Members that this proxy does not know are ignored.
func (g *Group) RecordDemand(holder string, members []cwport.MemberDemand, at time.Time) {
	pools := g.pools()
	for _, m := range members {
		if p, ok := pools[m.Member]; ok {
			p.RecordDemand(string(g.cfg.Self), holder, m.Demand, at)
		}
	}
}

// SlotShares returns this proxy's share of the slots of each member whose slots are
// divided among the holders.
func (g *Group) SlotShares() map[cwgroup.MemberID]int {
	out := make(map[cwgroup.MemberID]int)
	for id, p := range g.pools() {
		if n, divided := p.SlotShare(); divided {
			out[id] = n
		}
	}
	return out
}

// pools returns the pools of the members.
func (g *Group) pools() map[cwgroup.MemberID]*cwtargetpool.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[cwgroup.MemberID]*cwtargetpool.Pool, len(g.members))
	for id, m := range g.members {
		out[id] = m.Pool
	}
	return out
}
