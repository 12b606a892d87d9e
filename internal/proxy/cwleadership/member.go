package cwleadership

import (
	"maps"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/proxy/cwtargetpool"
)

// Member is one target of a group with its connection pool.
type Member struct {
	cwport.ListedTarget
	Pool *cwtargetpool.Pool
}

// SetMembers replaces the targets of the group. The group has size members, or
// len(list) if that is more. Each target accepts ceiling connections from all proxies
// together.
func (g *Group) SetMembers(list []cwport.ListedTarget, size, ceiling int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.size = size
	seen := make(map[cwgroup.MemberID]bool, len(list))
	for _, l := range list {
		seen[l.ID] = true
		g.setMember(l, ceiling)
	}
	for id, m := range g.members {
		if !seen[id] {
			m.Pool.Close()
			delete(g.members, id)
			delete(g.logProgress, id)
			delete(g.unreachable, id)
			delete(g.backoffs, id)
			delete(g.lastHealth, id)
			delete(g.lastCheckAt, id)
			delete(g.ackDelays, id)
			delete(g.restarts, id)
			maps.DeleteFunc(g.readLog, func(k readLogKey, _ readLogEntry) bool { return k.member == id })
			g.applied.Remove(id)
			g.outliers.Remove(id)
		}
	}
	g.updateCountedMembers(g.cfg.Clock.Now())
	g.notify()
}

// SetSize sets how many members the group has, listed or not.
func (g *Group) SetSize(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.size = n
	g.updateCountedMembers(g.cfg.Clock.Now())
	g.notify()
}

// updateCountedMembers sets which members count towards which majority, and which are being
// stopped. A primary that is an outlier is replaced like one that is leaving, but counts.
//
// A member that is leaving and its replacement are both listed until the old one ends. If
// both are in one data centre and that data centre is cut off, the two others are no
// majority of four, and the group would serve nothing although most of it is reachable.
// Members that are leaving therefore stop counting; cwgroup.Reconfiguration tells when they
// may. The caller holds mu.
func (g *Group) updateCountedMembers(now time.Time) {
	var staying, leaving []cwgroup.MemberID
	for id, m := range g.members {
		if m.Draining {
			leaving = append(leaving, id)
		} else {
			staying = append(staying, id)
		}
	}
	before := g.reconfiguration.Current()
	g.reconfiguration = g.reconfiguration.WithMembers(staying, leaving, g.size, now)
	if c := g.reconfiguration.Current(); !c.Equal(before) {
		g.cfg.Log.Info("membersCounted", "group", g.cfg.Service, "members", c.Members, "of", c.Size(), "leaving", leaving)
	}
	g.settleMembers(now)
	g.sup.SetMembers(slices.Sorted(maps.Keys(g.members)), g.reconfiguration.Quorums(now))
	if id, ok := g.outlierPrimary(now); ok && !slices.Contains(leaving, id) {
		if !g.sup.Stopping(id) {
			g.cfg.Log.Warn("primaryIsOutlier", "group", g.cfg.Service, "target", id, "reason", g.outliers.Reason(id))
		}
		leaving = append(leaving, id)
	}
	g.sup.SetStopping(leaving, now)
}

func (g *Group) setMember(l cwport.ListedTarget, ceiling int) {
	m, ok := g.members[l.ID]
	restarted := ok && isRestart(m.StartedAt, l.StartedAt)
	if ok && m.Address != l.Address {
		m.Pool.Close()
		ok = false
	}
	if !ok || restarted || l.Draining != m.Draining {
		g.resetBackoffs()
	}
	if !ok {
		to := cwport.Endpoint{ID: l.ID, Service: l.Service, Address: l.Address}
		m = &Member{Pool: cwtargetpool.NewPool(to, ceiling, g.cfg.Dialer, g.cfg.Clock, g)}
		g.members[l.ID] = m
		g.logProgress[l.ID] = &logProgress{}
	}
	m.ListedTarget = l
	m.Pool.SetMaxConnections(ceiling)
	m.Pool.SetSlots(l.Slots)
	if restarted {
		g.recordRestart(l.ID, "its list entry has another start time")
	}
}

// servesNoLonger reports whether a member has been leaving for so long that it gets no more
// statements.
//
// It is replaced as the primary long before that, unless no other member has its records, or
// it was promoted for that reason. The others then receive them from it. A member that was
// leaving already when this proxy started gets none at all: nobody knows for how long it has
// been, and the platform counts from its announcement.
func (g *Group) servesNoLonger(m *Member, now time.Time) bool {
	return m.Draining && g.cfg.LeavingServes > 0 && now.Sub(m.DrainingSince) >= g.cfg.LeavingServes
}

// Member returns the member with the given id.
func (g *Group) Member(id cwgroup.MemberID) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[id]
	if !ok {
		return Member{}, false
	}
	return *m, true
}
