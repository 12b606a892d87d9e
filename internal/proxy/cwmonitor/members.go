package cwmonitor

import (
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Replace makes the group continue another one, which has other targets according to an
// earlier catalogue. It must be called before Run.
//
// It prevents records from being lost while some proxies have the earlier catalogue: they
// acknowledge on account of targets that this group does not know. Targets that were removed
// are taken for leaving until every connected proxy has the new catalogue, and for ended
// after that.
func (g *Group) Replace(before *Group) {
	members, removed := before.membersNow()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	g.members, g.removedUntil = members, now.Add(cwgroup.PropagationTime)
	for _, id := range append(removed, members.Current().Members...) {
		if !slices.Contains(g.cfg.Group.MemberIDs(), id) {
			g.removed = append(g.removed, id)
		}
	}
	g.updateMembers(now)
}

// membersNow returns the reconfiguration and a copy of the removed targets.
func (g *Group) membersNow() (cwgroup.Reconfiguration, []cwgroup.MemberID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members, slices.Clone(g.removed)
}

// updateMembers sets which targets count. The caller holds mu, except in New.
func (g *Group) updateMembers(now time.Time) {
	ids := g.cfg.Group.MemberIDs()
	if !now.Before(g.removedUntil) {
		g.removed = nil
	}
	g.members = g.members.WithMembers(ids, g.removed, len(ids), now)
	if after, ok := g.members.SettleAfter(); ok && !now.Before(after) {
		if end, at, ok := g.history.FirstSince(after); ok {
			g.members = g.members.WithSettled(g.sup.View(), end, at)
		}
	}
	g.sup.SetMembers(ids, g.members.Quorums(now))
}
