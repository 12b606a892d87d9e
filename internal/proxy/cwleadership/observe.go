package cwleadership

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwevidence"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// logProgress tracks how far a replica's log has come and whether it still receives
// from its primary.
type logProgress struct {
	// received is the end of the log by the last answer, and advancedAt when it last
	// changed. behindSince is when the log was first found to lack records of the
	// primary; zero if it lacks none.
	received    cwgroup.LogPosition
	advancedAt  time.Time
	behindSince time.Time
	// reported is the log position in the member's last health report, received at
	// reportedAt in reportedTerm.
	reported     cwgroup.LogPosition
	reportedTerm cwgroup.Term
	reportedAt   time.Time
}

// ObservePosition records the log position in a member's answer to a statement that was
// sent at sentAt. byPrimary is true if only a primary gives such an answer.
func (g *Group) ObservePosition(id cwgroup.MemberID, m cwgroup.LogPosition, byPrimary bool, sentAt time.Time) {
	if m == (cwgroup.LogPosition{}) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if member, ok := g.members[id]; ok && g.isRemote(member) {
		g.cfg.RemotePath.RecordAnswer(g.cfg.Clock.Now())
	}
	g.observeTerm(m.Term, g.cfg.Clock.Now())
	rep, known := g.sup.View().Report(id)
	if byPrimary {
		g.observePrimary(id, m, sentAt)
		g.applyReport(cwgroup.Report{
			Status: cwgroup.Status{Member: id, Role: cwgroup.RolePrimary, AdoptedTerm: max(m.Term, rep.AdoptedTerm), Durable: m, Applied: m},
			At:     sentAt, Reachable: true,
		})
		return
	}
	if !known {
		return
	}
	if !g.observePrimary(id, m, sentAt) {
		g.applied.Observe(id, m, sentAt, g.cfg.Clock.Now())
	}
	g.observeReplicaLog(rep, m)
}

// ObserveFloor records what a replica's answer to a read placed at p and sent at sentAt
// shows about the read's floor.
func (g *Group) ObserveFloor(p Placement, a cwstatement.Response, sentAt time.Time) {
	if p.Primary || p.Floor == (cwgroup.LogPosition{}) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.members[p.ID]; !ok {
		return
	}
	switch a.Code {
	case cwstatement.OK:
		g.applied.ObserveServed(p.ID, p.Floor, sentAt, g.cfg.Clock.Now())
	case cwstatement.Behind:
		g.applied.ObserveBehind(p.ID, p.Floor, a.LogEnd, sentAt, g.cfg.Clock.Now())
	}
}

// observePrimary samples the primary's log position if the member is the primary, and
// reports whether it is. The caller holds mu.
//
// The last report of a replaced primary may still say that it leads, although it is now
// a lagging replica of the new one. Taken for the new primary's, its positions would
// produce read floors that are too old by its lag.
func (g *Group) observePrimary(id cwgroup.MemberID, m cwgroup.LogPosition, sentAt time.Time) bool {
	if p, ok := g.sup.View().Primary(); !ok || p.Member != id {
		return false
	}
	g.history.Observe(m, sentAt)
	g.applied.ObservePrimary(m, g.cfg.Clock.Now())
	return true
}

// observeReplicaLog records that a member's log holds the record at m. The caller holds
// mu.
//
// This saves most health checks: a member with a record of the current term received it
// from its primary after the record was committed, so the member was not fenced at that
// time and the primary still led.
func (g *Group) observeReplicaLog(rep cwgroup.Report, m cwgroup.LogPosition) {
	changed := false
	if m.AtLeast(rep.Applied) && m != rep.Applied {
		rep.Applied, changed = m, true
	}
	if m.AtLeast(rep.Durable) && m != rep.Durable {
		rep.Durable, changed = m, true
	}
	at, ok := g.history.CommittedAfter(m)
	if ok && m.Term == g.term && rep.AdoptedTerm == g.term && at.After(rep.At) {
		rep.At, changed = at, true
	}
	if changed {
		g.applyReport(rep)
	}
}

// RecordNotPrimary records that a member refused a transaction that was sent at sentAt
// because it is not the primary.
func (g *Group) RecordNotPrimary(id cwgroup.MemberID, sentAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	rep, ok := g.sup.View().Report(id)
	if !ok || rep.Role != cwgroup.RolePrimary || sentAt.Before(rep.At) {
		return
	}
	rep.Role, rep.At = cwgroup.RoleReplica, sentAt
	g.applyReport(rep)
}

// observeHealth records a member's answer to a health request that was sent at sentAt.
func (g *Group) observeHealth(id cwgroup.MemberID, h cwstatement.Health, sentAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordHealth(id, h, sentAt, true)
}

// recordHealth records a member's answer to a health request that was sent at sentAt. own
// is true if this instance sent it; otherwise an observer passed the answer on, which
// doesn't show whether this instance reaches the member. The caller holds mu.
func (g *Group) recordHealth(id cwgroup.MemberID, h cwstatement.Health, sentAt time.Time, own bool) {
	now := g.cfg.Clock.Now()
	if g.logShrank(id, h.Term, h.LogEnd, sentAt) {
		g.recordRestart(id, "its log is shorter than before")
	}
	g.observeTerm(max(h.Term, h.LogEnd.Term), now)
	g.keepHealth(id, h, sentAt)
	rep, _ := g.sup.View().Report(id)
	if !own {
		if !sentAt.After(rep.At) {
			return
		}
		g.observeReturn(rep, sentAt)
	}
	r := healthReport(id, h, sentAt, rep.Applied)
	if r.Role == cwgroup.RolePrimary && h.Term == g.term {
		if own {
			g.applied.ObservePrimary(h.LogEnd, now)
		}
		g.history.Observe(h.LogEnd, sentAt)
	}
	if m, ok := g.members[id]; ok {
		m.Pool.ObserveConnections(h.Connections)
		if own {
			g.ackDelays[id] = g.ackDelays[id].WithAnswer(now.Sub(sentAt))
		}
	}
	if own {
		r.UpstreamAge = g.upstreamAge(id, h.LogEnd, now)
		g.applyReport(r)
		return
	}
	r.UpstreamAge, r.Reachable = g.upstreamAge(id, h.LogEnd, sentAt), !g.unreachable[id]
	g.updateView(r)
}

// healthReport returns the report of a member that answered a health request sent at
// sentAt and that can be reached. applied is the last known position that it has applied.
func healthReport(id cwgroup.MemberID, h cwstatement.Health, sentAt time.Time, applied cwgroup.LogPosition) cwgroup.Report {
	role := h.Role
	if h.FencedTerm > h.Term {
		role = cwgroup.RoleFenced
	}
	if role == cwgroup.RolePrimary {
		applied = h.LogEnd
	}
	return cwgroup.Report{
		Status: cwgroup.Status{Member: id, Role: role, AdoptedTerm: max(h.Term, h.FencedTerm), Durable: h.LogEnd, Applied: applied},
		At:     sentAt, Reachable: true,
	}
}

// markReached records that a member has answered this instance. The caller holds mu.
func (g *Group) markReached(id cwgroup.MemberID, now time.Time) {
	if g.unreachable[id] {
		delete(g.unreachable, id)
		g.resetBackoffs()
	}
	if m, ok := g.members[id]; ok && g.isRemote(m) {
		g.cfg.RemotePath.RecordAnswer(now)
	}
}

// observeReturn makes this instance check a member at once that it can't reach if the
// member has answered an observer after a silence. The caller holds mu.
func (g *Group) observeReturn(last cwgroup.Report, at time.Time) {
	if g.unreachable[last.Member] && !last.At.IsZero() && at.Sub(last.At) >= cwevidence.MaxRetryInterval {
		delete(g.backoffs, last.Member)
		g.wake()
	}
}

// observeTerm records that a member is in term t or holds a record of it. Some member
// was promoted in t, so the primaries of all earlier terms have been replaced. The
// caller holds mu.
func (g *Group) observeTerm(t cwgroup.Term, now time.Time) {
	if t <= 1 || t-1 <= g.sup.View().ReplacedTerm() {
		return
	}
	g.sup.SetReplacedTerm(t-1, now)
	g.cfg.Log.Info("termsReplaced", "group", g.cfg.Service, "upTo", t-1, "known", g.term)
}

// applyReport applies a report to the view that follows from a member's answer to this
// instance. If a later report was passed on in the meantime, the answer only shows that
// the member can be reached. The caller holds mu.
func (g *Group) applyReport(r cwgroup.Report) {
	g.markReached(r.Member, g.cfg.Clock.Now())
	if last, ok := g.sup.View().Report(r.Member); ok && last.At.After(r.At) && !last.Reachable {
		r = last
		r.Reachable = true
	}
	g.updateView(r)
}

// updateView applies a member's report to the view and updates the state derived from it:
// the primary, confirmations and commits that wait. The caller holds mu.
func (g *Group) updateView(r cwgroup.Report) {
	now := g.cfg.Clock.Now()
	r, ok := g.adjustAfterRestart(r)
	if !ok {
		return
	}
	g.sup.AddLatestReport(r, now)
	v := g.sup.View()
	if p, ok := v.Primary(); ok {
		if p.Reachable && p.At.After(g.primarySilentSince) {
			g.primarySilentSince = time.Time{}
		}
		g.observeNewPrimary(p, now)
		if at, ok := cwroute.ConfirmedAt(v, p, p.At); ok && p.Reachable {
			if at.After(g.confirmedAt) {
				g.confirmedAt = at
			}
		}
	}
	g.resolveAckWaits(now)
	g.notify()
}

// observeNewPrimary records the primary of a new term. The caller holds mu.
func (g *Group) observeNewPrimary(p cwgroup.Report, now time.Time) {
	if p.AdoptedTerm <= g.term {
		return
	}
	g.cfg.Log.Info("primaryKnown", "group", g.cfg.Service, "primary", p.Member, "term", p.AdoptedTerm, "position", p.Durable, "before", g.term)
	if g.term > 0 {
		// Confirmations of an earlier term don't apply to this one.
		g.confirmedAt = time.Time{}
	}
	g.resetBackoffs()
	g.history = cwroute.PositionHistory{Spacing: historySpacing}
	g.history.Observe(p.Durable, p.At)
	// The members were fenced before the change was recorded in the row, so the time at
	// which the row was read can serve as termLearntAt. The row of an earlier change
	// doesn't count, even if it names the same member.
	recorded := g.row.Done && g.row.Primary == p.Member && g.termWhenRowSeen == g.term
	g.term, g.termLearntAt, g.termStart = p.AdoptedTerm, now, p.Durable
	g.observeTerm(p.AdoptedTerm, now)
	if recorded {
		g.termLearntAt = g.rowSeenAt
	}
}

// upstreamAge returns how long a replica had lacked records by the time of a check that
// its primary is known to have, or to have had when it stopped answering. The caller holds
// mu.
func (g *Group) upstreamAge(id cwgroup.MemberID, received cwgroup.LogPosition, checkedBy time.Time) time.Duration {
	now := g.cfg.Clock.Now()
	s := g.logProgress[id]
	if s == nil {
		return 0
	}
	if received.Compare(s.received) != 0 {
		s.received, s.advancedAt = received, now
	}
	p, ok := g.sup.View().Primary()
	silent := !g.primarySilentSince.IsZero()
	if ok && p.Reachable && !silent && s.received.AtLeast(p.Durable) {
		s.behindSince = time.Time{}
		return 0
	}
	if s.behindSince.IsZero() {
		s.behindSince = now
		if silent {
			s.behindSince = g.primarySilentSince
		}
	}
	since := s.behindSince
	if s.advancedAt.After(since) {
		since = s.advancedAt
	}
	return max(0, checkedBy.Sub(since))
}
