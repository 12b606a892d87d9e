package cwlead

import (
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/proxy/cwtargets"
)

// Member is one target of a group.
type Member struct {
	cwport.Listing
	Pool *cwtargets.Pool
	// leavingSince is when this proxy learnt that it leaves; zero if it stays.
	leavingSince time.Time
}

// SetMembers replaces the targets of the group, which has size members or, if they are
// more, these. Each takes ceiling connections.
func (g *Group) SetMembers(list []cwport.Listing, size, ceiling int, synchronous bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.synchronous, g.size = synchronous, size
	seen := make(map[cwgroup.MemberID]bool, len(list))
	for _, l := range list {
		seen[l.ID] = true
		g.setMember(l, ceiling)
	}
	for id, m := range g.members {
		if !seen[id] {
			m.Pool.Close()
			delete(g.members, id)
			delete(g.streams, id)
			delete(g.lost, id)
			delete(g.restarts, id)
		}
	}
	g.recount(g.cfg.Clock.Now())
	g.notify()
}

// SetSize tells how many members the group has, listed or not.
func (g *Group) SetSize(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.size = n
	g.recount(g.cfg.Clock.Now())
	g.notify()
}

// recount settles which members count towards a majority: all but those that
// have been leaving for a while and do not lead.
//
// The failure: a member is replaced by a new one and both are listed until the
// old one ends. Both lie in one data centre, that is cut off, and the two others
// are no majority of four. It shows as a group that serves nothing though most
// of it is there. A member that leaves counts for LeavingCounts yet, so that
// every proxy has heard of the change before any stops counting it. The caller
// holds mu.
func (g *Group) recount(now time.Time) {
	p, _ := g.sup.View().Primary()
	var ids, stopping []cwgroup.MemberID
	for id, m := range g.members {
		if m.Leaving {
			stopping = append(stopping, id)
		}
		if !m.Leaving || id == p.Member || now.Sub(m.leavingSince) < LeavingCounts {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	if v := g.sup.View(); !slices.Equal(ids, v.Members()) || max(g.size, len(ids)) != v.Size() {
		g.cfg.Log.Info("membersCounted", "group", g.cfg.Service, "members", ids, "of", max(g.size, len(ids)))
		g.sup.SetMembers(ids, g.size)
	}
	g.sup.SetStopping(stopping, now)
}

func (g *Group) setMember(l cwport.Listing, ceiling int) {
	m, ok := g.members[l.ID]
	again := ok && bornAgain(m.Born, l.Born)
	if ok && m.Address != l.Address {
		m.Pool.Close()
		ok = false
	}
	if !ok {
		to := cwport.Endpoint{ID: l.ID, Service: l.Service, Address: l.Address}
		m = &Member{Pool: cwtargets.NewPool(to, ceiling, g.cfg.Dialer, g.cfg.Clock, g)}
		g.members[l.ID] = m
		g.streams[l.ID] = &stream{}
	}
	if l.Leaving && !m.Leaving {
		m.leavingSince = g.cfg.Clock.Now()
	}
	m.Listing = l
	m.Pool.SetCeiling(ceiling)
	m.Pool.SetSlots(l.Slots)
	if again {
		g.restarted(l.ID, "its entry tells another start")
	}
}

// Member returns a member by its id.
func (g *Group) Member(id cwgroup.MemberID) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[id]
	if !ok {
		return Member{}, false
	}
	return *m, true
}
