package cwleadership

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwevidence"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
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
	for i, m := range r.Reports {
		if _, listed := g.members[m.Member]; listed {
			g.recordHealth(m.Member, m.Health, at[i], false)
		}
	}
	if _, listed := g.members[r.Primary.Member]; listed {
		g.recordPrimaryReport(r.Primary, p, logAt)
	}
	return nil
}

// recordPrimaryReport records what an observer knows of the primary: its answer to a
// request sent at the given time, and positions of its log with their times. The positions
// count only if the member is the primary of that term here as well. The caller holds mu.
func (g *Group) recordPrimaryReport(p cwport.PrimaryReport, at time.Time, logAt []time.Time) {
	g.observeTerm(p.Term, g.cfg.Clock.Now())
	if rep, _ := g.sup.View().Report(p.Member); at.After(rep.At) {
		end := p.Position
		if rep.Durable.AtLeast(end) && rep.AdoptedTerm == p.Term {
			end = rep.Durable
		}
		g.updateView(cwgroup.Report{
			Status: cwgroup.Status{Member: p.Member, Role: cwgroup.RolePrimary, AdoptedTerm: p.Term, Durable: end, Applied: end},
			At:     at, Reachable: !g.unreachable[p.Member],
		})
	}
	if known, ok := g.sup.View().Primary(); !ok || known.Member != p.Member || known.AdoptedTerm != p.Term || g.term != p.Term {
		return
	}
	for i, l := range p.Log {
		g.history.Observe(l.Position, logAt[i])
	}
}
