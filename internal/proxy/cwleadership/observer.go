package cwleadership

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwevidence"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// CauseObserver is a request of another instance for reports.
const CauseObserver CheckCause = "observer"

// healthAnswer is a member's last answer to a health check.
type healthAnswer struct {
	health cwstatement.Health
	// at is a time not later than that at which the check was sent, by this instance or
	// by the one that passed the answer on.
	at time.Time
}

// keepHealth keeps a member's answer to pass it on, unless a later one is known. The
// caller holds mu.
func (g *Group) keepHealth(id cwgroup.MemberID, h cwstatement.Health, at time.Time) {
	if _, listed := g.members[id]; listed && at.After(g.lastHealth[id].at) {
		g.lastHealth[id] = healthAnswer{health: h, at: at}
	}
}

// ServeMembers answers another instance's request for the reports of the members. One
// check answers all requests that arrive while it is in progress.
func (g *Group) ServeMembers(ctx context.Context, q cwport.MembersRequest) cwport.MembersResponse {
	arrivedAt := g.cfg.Clock.Now()
	end := arrivedAt.Add(min(q.Wait, cwevidence.MaxAnswerWait))
	for {
		g.mu.Lock()
		now := g.cfg.Clock.Now()
		if g.heldElsewhere || g.closed {
			g.mu.Unlock()
			return cwport.MembersResponse{Held: cwevidence.HeldFor(arrivedAt, now)}
		}
		missing := g.missingReports(q, now)
		if len(missing) == 0 || !now.Before(end) || ctx.Err() != nil {
			defer g.mu.Unlock()
			return g.reports(arrivedAt, now)
		}
		missing = g.notJustChecked(missing, now)
		changed := g.changed
		g.mu.Unlock()
		g.check(missing, CauseObserver)
		g.awaitChange(ctx, changed, min(end.Sub(now), cwevidence.MinRetryInterval))
	}
}

// missingReports returns the members without a report that is recent enough for the
// request, as far as they can be reached and their reports are needed. The caller holds
// mu.
func (g *Group) missingReports(q cwport.MembersRequest, now time.Time) []Member {
	recent := func(at time.Time) bool { return now.Sub(at) < q.MaxAge }
	p, _ := g.sup.View().Primary()
	var missing []Member
	need := q.Others
	for _, m := range g.othersByProximity(p.Member) {
		if recent(g.lastHealth[m.ID].at) {
			need--
		} else if !g.unreachable[m.ID] {
			missing = append(missing, m)
		}
	}
	if q.Others > 0 {
		missing = missing[:min(max(0, need), len(missing))]
	}
	m, known := g.members[p.Member]
	wanted := q.Others == 0 || q.Primary
	if known && wanted && !g.unreachable[p.Member] && !recent(p.At) && !recent(g.lastHealth[p.Member].at) {
		missing = append(missing, *m)
	}
	return missing
}

// notJustChecked leaves out the members whose last check began less than
// MinRetryInterval ago. The caller holds mu.
//
// A member that refuses health checks because it is busy would otherwise be asked again
// at once, for each request of another instance.
func (g *Group) notJustChecked(list []Member, now time.Time) []Member {
	var out []Member
	for _, m := range list {
		if now.Sub(g.lastCheckAt[m.ID]) >= cwevidence.MinRetryInterval {
			out = append(out, m)
		}
	}
	return out
}

// reports returns what is known here of the members, as an answer that is sent now to a
// request that arrived at arrivedAt. The caller holds mu.
func (g *Group) reports(arrivedAt, now time.Time) cwport.MembersResponse {
	r := cwport.MembersResponse{Held: cwevidence.HeldFor(arrivedAt, now), Observes: true}
	for id, a := range g.lastHealth {
		if age := cwevidence.AgeOf(a.at, now); age <= cwevidence.MaxReportAge {
			r.Reports = append(r.Reports, cwport.MemberReport{Member: id, Health: a.health, Age: age})
		}
	}
	p, ok := g.sup.View().Primary()
	if !ok || p.AdoptedTerm != g.term {
		return r
	}
	age := cwevidence.AgeOf(p.At, now)
	if age > cwevidence.MaxReportAge {
		return r
	}
	r.Primary = cwport.PrimaryReport{Member: p.Member, Term: p.AdoptedTerm, Position: p.Durable, Age: age}
	for _, s := range g.history.Latest(g.confirmedAt) {
		if age := cwevidence.AgeOf(s.At, now); age <= cwevidence.MaxReportAge {
			r.Primary.Log = append(r.Primary.Log, cwport.LogSample{Position: s.Position, Age: age})
		}
	}
	return r
}
