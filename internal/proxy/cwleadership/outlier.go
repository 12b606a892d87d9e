package cwleadership

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwoutlier"
)

// RecordResult records the result of a caller's statement at a member.
func (g *Group) RecordResult(id cwgroup.MemberID, r cwoutlier.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.members[id]; !ok {
		return
	}
	if e, ok := g.outliers.Record(id, r, g.cfg.Clock.Now()); ok {
		g.handleOutlier(e)
	}
}

// ejectOutliers passes the state of the members to the detector and ejects the outliers
// from reads. The caller holds mu.
func (g *Group) ejectOutliers(v cwgroup.View, now time.Time) {
	due := g.outliers.Due(now)
	var serving []cwoutlier.Candidate
	for id, m := range g.members {
		rep, known := v.Report(id)
		healthy := !known || rep.Reachable
		g.outliers.SetHealth(id, healthy, now)
		if due && healthy && !m.Draining {
			serving = append(serving, cwoutlier.Candidate{Member: id, Slots: m.Slots, Saturated: m.Pool.Load().Waiting > 0})
		}
	}
	for _, e := range g.outliers.Evaluate(serving, now) {
		g.handleOutlier(e)
	}
}

// handleOutlier logs and reports that a member was ejected from reads or readmitted. The
// caller holds mu.
func (g *Group) handleOutlier(e cwoutlier.Event) {
	if e.For > 0 {
		g.cfg.Log.Warn("memberEjected", "group", g.cfg.Service, "target", e.Member, "reason", e.Reason, "forMs", e.For.Milliseconds())
	} else {
		g.cfg.Log.Info("memberReadmitted", "group", g.cfg.Service, "target", e.Member, "reason", e.Reason)
	}
	if g.cfg.OnOutlier != nil {
		g.cfg.OnOutlier(e)
	}
}

// EjectionReason returns why a member is ejected from reads; empty if it is not.
func (g *Group) EjectionReason(id cwgroup.MemberID) cwoutlier.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outliers.Reason(id)
}

// outlierChangeInterval is the minimum time from a change of primary until the new
// primary is replaced for being an outlier. Each change refuses writes for about a
// second; if the cause is not the member, changes don't help.
const outlierChangeInterval = 30 * time.Second

// outlierPrimary returns the primary if it is to be replaced because it serves callers
// worse than the other members, which its trials have confirmed, while a replica serves
// them well. Without the store it is kept, since a claim could not be written. The caller
// holds mu.
func (g *Group) outlierPrimary(now time.Time) (cwgroup.MemberID, bool) {
	v := g.sup.View()
	p, ok := v.Primary()
	if !ok || !p.Reachable || !g.outliers.Confirmed(p.Member) || g.rowUnreadable || now.Sub(g.termLearntAt) < outlierChangeInterval {
		return "", false
	}
	for id, m := range g.members {
		rep, known := v.Report(id)
		if id != p.Member && known && rep.Reachable && !m.Draining && g.outliers.Reason(id) == "" {
			return p.Member, true
		}
	}
	return "", false
}
