package cwlead

import "cicadawalk.example/cicadawalk/internal/core/cwgroup"

// confirm asks the primary and one more member about themselves.
func (g *Group) confirm() {
	g.mu.Lock()
	v := g.sup.View()
	p, ok := v.Primary()
	now := g.cfg.Clock.Now()
	if now.Before(g.confirmAt) {
		g.mu.Unlock()
		return
	}
	g.confirmAt = now.Add(confirmEvery)
	var ask []Member
	if m := g.members[p.Member]; ok && m != nil && now.Sub(p.At) > refreshAt-confirmEvery {
		ask = append(ask, *m)
	}
	need := cwgroup.Majority(v.Size()) - 1
	for _, m := range g.nearest(p.Member) {
		if need == 0 {
			break
		}
		ask = append(ask, m)
		need--
	}
	g.mu.Unlock()
	g.askAll(ask)
}

// nearest returns the members except one, those that answer first, and of
// those the ones in this data centre. The caller holds mu.
func (g *Group) nearest(except cwgroup.MemberID) []Member {
	var near, far, lost []Member
	for id, m := range g.members {
		switch {
		case id == except:
		case g.lost[id] || m.Leaving:
			lost = append(lost, *m)
		case m.DataCentre == g.cfg.DataCentre:
			near = append(near, *m)
		default:
			far = append(far, *m)
		}
	}
	return append(append(near, far...), lost...)
}
