package cwleadership

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// suspectPrimary records that the primary's answer to a statement sent at sentAt is
// overdue, and asks the replicas whether they still receive from the primary.
//
// If the replicas were asked only once a fresh connection to the primary had failed as
// well, a lost primary would block writes for 0.3 s longer.
func (g *Group) suspectPrimary(id cwgroup.MemberID, sentAt time.Time) {
	g.mu.Lock()
	p, ok := g.sup.View().Primary()
	if !ok || p.Member != id || p.At.After(sentAt) {
		g.mu.Unlock()
		return
	}
	if g.primarySilentSince.IsZero() {
		g.primarySilentSince = g.cfg.Clock.Now()
	}
	ask := g.othersByProximity(id)
	g.mu.Unlock()
	g.check(ask, CauseOverdue)
}
