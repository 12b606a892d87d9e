package cwleadership

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwevidence"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// recordReports records the reports of an answer. The error is a *cwevidence.ClockError;
// then none of the answer is recorded.
func (g *Group) recordReports(r cwport.MembersResponse, x cwevidence.Exchange) error {
	p, err := x.CheckedAt(r.Primary.Age)
	if err != nil {
		return err
	}
	at := make([]time.Time, len(r.Reports))
	for i, m := range r.Reports {
		if at[i], err = x.CheckedAt(m.Age); err != nil {
			return err
		}
	}
	logAt := make([]time.Time, len(r.Primary.Log))
	for i, l := range r.Primary.Log {
		if logAt[i], err = x.CheckedAt(l.Age); err != nil {
			return err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.term
	for i, m := range r.Reports {
		if _, listed := g.members[m.Member]; listed {
			g.recordHealth(m.Member, m.Health, at[i], false)
		}
	}
	if _, listed := g.members[r.Primary.Member]; listed {
		g.recordPrimaryReport(r.Primary, p)
		g.recordPrimaryLog(r.Primary, logAt, g.term > known)
	}
	return nil
}

// recordPrimaryReport records what an observer knows of the primary: its answer to a
// request sent at the given time. The caller holds mu.
func (g *Group) recordPrimaryReport(p cwport.PrimaryReport, at time.Time) {
	g.observeTerm(p.Term, g.cfg.Clock.Now())
	rep, _ := g.sup.View().Report(p.Member)
	if !at.After(rep.At) {
		return
	}
	end := p.Position
	if rep.Durable.AtLeast(end) && rep.AdoptedTerm == p.Term {
		end = rep.Durable
	}
	g.updateView(cwgroup.Report{
		Status: cwgroup.Status{Member: p.Member, Role: cwgroup.RolePrimary, AdoptedTerm: p.Term, Durable: end, Applied: end},
		At:     at, Reachable: !g.unreachable[p.Member],
	})
}

// recordPrimaryLog records positions of the primary's log with their times. They count only
// if the member is the primary of that term here as well. newTerm is true if the term has
// become known by the same answer. The caller holds mu.
func (g *Group) recordPrimaryLog(p cwport.PrimaryReport, at []time.Time, newTerm bool) {
	known, ok := g.sup.View().Primary()
	if !ok || known.Member != p.Member || known.AdoptedTerm != p.Term || g.term != p.Term {
		return
	}
	if newTerm && len(p.Log) > 0 {
		// The history has only samples of this answer. They can be later than the first
		// of these positions, which would then be ignored.
		g.history = cwroute.PositionHistory{Spacing: historySpacing}
	}
	for i, l := range p.Log {
		g.history.Observe(l.Position, at[i])
	}
}
