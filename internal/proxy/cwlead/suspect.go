package cwlead

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// suspectPrimary records that the primary has not answered a statement for long, and
// asks the replicas whether they still hear it.
//
// The failure: a primary is lost, and the question whether its replicas hear it
// is asked only once a fresh connection has failed, too: writes stand still for
// 0.3 s longer.
func (g *Group) suspectPrimary(id cwgroup.MemberID, sent time.Time) {
	g.mu.Lock()
	p, ok := g.sup.View().Primary()
	if !ok || p.Member != id || p.At.After(sent) {
		g.mu.Unlock()
		return
	}
	if g.silentSince.IsZero() {
		g.silentSince = g.cfg.Clock.Now()
	}
	ask := g.nearest(id)
	g.mu.Unlock()
	g.askAll(ask)
}
