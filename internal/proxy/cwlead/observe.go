package cwlead

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// stream is whether a replica still hears its primary.
type stream struct {
	received  cwgroup.Mark
	advanced  time.Time
	owedSince time.Time
	// told is where the log stood by the member's last answer about itself, in
	// toldTerm; the answer came at toldAt.
	told     cwgroup.Mark
	toldTerm cwgroup.Term
	toldAt   time.Time
}

// Saw takes where a member's log stood, from the answer to a statement that
// was sent at asked. Led is true if only a primary answers that way.
func (g *Group) Saw(id cwgroup.MemberID, m cwgroup.Mark, led bool, asked time.Time) {
	if m == (cwgroup.Mark{}) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if member, ok := g.members[id]; ok && g.away(member) {
		g.cfg.Path.RecordAnswer(g.cfg.Clock.Now())
	}
	g.sawTerm(m.Term, g.cfg.Clock.Now())
	rep, known := g.sup.View().Report(id)
	if led {
		g.observePrimary(id, m, asked)
		g.report(cwgroup.Report{
			Status: cwgroup.Status{Member: id, Role: cwgroup.RolePrimary, Adopted: max(m.Term, rep.Adopted), Last: m, Applied: m},
			At:     asked, Reachable: true,
		})
		return
	}
	if !known {
		return
	}
	if !g.observePrimary(id, m, asked) {
		g.lag.Replica(id, m, g.cfg.Clock.Now())
	}
	g.sawLog(rep, m)
}

// observePrimary traces where the primary's log stood, if the member is the primary,
// and reports whether it is. The caller holds mu.
//
// The failure: a replaced primary is a late replica of the new one now, and its last
// answer about itself still says that it leads. Its positions, taken for the new
// primary's, make floors as old as it is late.
func (g *Group) observePrimary(id cwgroup.MemberID, m cwgroup.Mark, asked time.Time) bool {
	if p, ok := g.sup.View().Primary(); !ok || p.Member != id {
		return false
	}
	g.trace.Observe(m, asked)
	g.lag.Primary(m, g.cfg.Clock.Now())
	return true
}

// sawLog records that a member's log holds the record at m. The caller holds mu.
//
// What the traffic shows saves most questions: a member that has a record of
// the present term followed its primary after the record was committed, so it
// was not fenced then, and the primary still led.
func (g *Group) sawLog(rep cwgroup.Report, m cwgroup.Mark) {
	changed := false
	if m.AtLeast(rep.Applied) && m != rep.Applied {
		rep.Applied, changed = m, true
	}
	if m.AtLeast(rep.Last) && m != rep.Last {
		rep.Last, changed = m, true
	}
	at, ok := g.trace.CommittedAfter(m)
	if ok && m.Term == g.term && rep.Adopted == g.term && at.After(rep.At) {
		rep.At, changed = at, true
	}
	if changed {
		g.report(rep)
	}
}

// NotPrimary records that a member refused to lead a transaction that was sent
// at asked.
func (g *Group) NotPrimary(id cwgroup.MemberID, asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	rep, ok := g.sup.View().Report(id)
	if !ok || rep.Role != cwgroup.RolePrimary || asked.Before(rep.At) {
		return
	}
	rep.Role, rep.At = cwgroup.RoleReplica, asked
	g.report(rep)
}

// heard takes what a member said about itself.
func (g *Group) heard(id cwgroup.MemberID, h cwstatement.Health, asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	if g.lostRecords(id, h.Term, h.Received, asked) {
		g.restarted(id, "its log is shorter than it was")
	}
	applied := cwgroup.Mark{}
	if rep, ok := g.sup.View().Report(id); ok {
		applied = rep.Applied
	}
	g.sawTerm(max(h.Term, h.Received.Term), now)
	role := h.Role
	if h.Fence > h.Term {
		role = cwgroup.RoleFenced
	}
	if role == cwgroup.RolePrimary {
		applied = h.Received
		g.lag.Primary(applied, now)
		if h.Term == g.term {
			g.trace.Observe(applied, asked)
		}
	}
	if m, ok := g.members[id]; ok {
		m.Pool.Crowded(h.Connections)
	}
	g.report(cwgroup.Report{
		Status: cwgroup.Status{
			Member: id, Role: role, Adopted: max(h.Term, h.Fence), Last: h.Received, Applied: applied,
			UpstreamAge: g.upstreamAge(id, h.Received, now),
		},
		At: asked, Reachable: true,
	})
}

// sawTerm records that a member is in a term, or has a record of it: some member was
// promoted to lead it, so whoever led before has been replaced. The caller holds mu.
func (g *Group) sawTerm(t cwgroup.Term, now time.Time) {
	if t <= 1 || t-1 <= g.sup.View().Replaced() {
		return
	}
	g.sup.SetReplaced(t-1, now)
	g.cfg.Log.Info("termsReplaced", "group", g.cfg.Service, "upTo", t-1, "known", g.term)
}

// report takes a report and draws what follows from it. The caller holds mu.
func (g *Group) report(r cwgroup.Report) {
	now := g.cfg.Clock.Now()
	delete(g.lost, r.Member)
	if m, ok := g.members[r.Member]; ok && g.away(m) {
		g.cfg.Path.RecordAnswer(now)
	}
	r, ok := g.afterRestart(r)
	if !ok {
		return
	}
	g.sup.ReportLatest(r, now)
	v := g.sup.View()
	if p, ok := v.Primary(); ok {
		if p.Reachable && p.At.After(g.silentSince) {
			g.silentSince = time.Time{}
		}
		g.learn(p, now)
		if at, ok := cwroute.Sampled(v, p, p.At); ok && p.Reachable {
			if at.After(g.confirmed) {
				g.confirmed = at
			}
		}
	}
	g.observeAcks(now)
	g.notify()
}

// learn notes a primary of a new term. The caller holds mu.
func (g *Group) learn(p cwgroup.Report, now time.Time) {
	if p.Adopted <= g.term {
		return
	}
	g.cfg.Log.Info("primaryKnown", "group", g.cfg.Service, "primary", p.Member, "term", p.Adopted, "position", p.Last, "before", g.term)
	if g.term > 0 {
		// What was confirmed of an earlier term says nothing of this one.
		g.confirmed = time.Time{}
	}
	g.trace = cwroute.History{Spacing: traceSpacing}
	g.trace.Observe(p.Last, p.At)
	// The members were fenced before the change was recorded. The record of an
	// earlier change says nothing, even of the same member.
	recorded := g.row.Done && g.row.Primary == p.Member && g.rowTerm == g.term
	g.term, g.learnt, g.start = p.Adopted, now, p.Last
	g.sawTerm(p.Adopted, now)
	if recorded {
		g.learnt = g.rowSeen
	}
}

// upstreamAge returns how long a replica has not received what its primary is
// known to have, or to have had when it fell silent. The caller holds mu.
func (g *Group) upstreamAge(id cwgroup.MemberID, received cwgroup.Mark, now time.Time) time.Duration {
	s := g.streams[id]
	if s == nil {
		return 0
	}
	if received.Compare(s.received) != 0 {
		s.received, s.advanced = received, now
	}
	p, ok := g.sup.View().Primary()
	silent := !g.silentSince.IsZero()
	if ok && p.Reachable && !silent && s.received.AtLeast(p.Last) {
		s.owedSince = time.Time{}
		return 0
	}
	if s.owedSince.IsZero() {
		s.owedSince = now
		if silent {
			s.owedSince = g.silentSince
		}
	}
	if s.advanced.After(s.owedSince) {
		return now.Sub(s.advanced)
	}
	return now.Sub(s.owedSince)
}
