package cwleadership

import "time"

// settleInterval is the time between two requests for the reports that show whether the
// members in force have everything that was acknowledged before a change of the members.
const settleInterval = 500 * time.Millisecond

// settleMembers ends the earlier configurations of the group once a majority of the members
// in force has what may have been acknowledged on their account: a position that the
// primary's log had when no proxy decided by them any longer, and that was confirmed since.
// The caller holds mu.
func (g *Group) settleMembers(now time.Time) {
	after, pending := g.reconfiguration.SettleAfter()
	if !pending || now.Before(after) {
		return
	}
	end, at, ok := g.history.FirstSince(after)
	if !ok || at.After(g.confirmedAt) {
		return
	}
	g.reconfiguration = g.reconfiguration.WithSettled(g.sup.View(), end, at)
	if left, pending := g.reconfiguration.SettleAfter(); !pending || left.After(after) {
		g.cfg.Log.Info("membersSettled", "group", g.cfg.Service, "members", g.reconfiguration.Current().Members, "position", end)
	}
}

// settleDue reports whether reports are to be requested now to settle a change of the
// members. The caller holds mu.
func (g *Group) settleDue(now time.Time) bool {
	after, pending := g.reconfiguration.SettleAfter()
	if !pending || now.Before(after) || now.Before(g.nextSettleAt) || !g.knowsPrimary(now) {
		return false
	}
	g.nextSettleAt = now.Add(settleInterval)
	return true
}
