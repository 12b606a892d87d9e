package cwleadership

import "cicadawalk.example/cicadawalk/internal/core/cwgroup"

// requestConfirmation starts health checks of the primary, if its last report is about
// to expire, and of enough other members for a majority. Calls within confirmInterval
// of the last one do nothing.
func (g *Group) requestConfirmation() {
	g.mu.Lock()
	v := g.sup.View()
	p, ok := v.Primary()
	now := g.cfg.Clock.Now()
	if now.Before(g.nextConfirmAt) {
		g.mu.Unlock()
		return
	}
	g.nextConfirmAt = now.Add(confirmInterval)
	var ask []Member
	if m := g.members[p.Member]; ok && m != nil && now.Sub(p.At) > confirmRefreshAge-confirmInterval {
		ask = append(ask, *m)
	}
	need := cwgroup.Majority(v.Size()) - 1
	for _, m := range g.othersByProximity(p.Member) {
		if need == 0 {
			break
		}
		ask = append(ask, m)
		need--
	}
	ask = g.limitChecks(ask, now)
	g.mu.Unlock()
	g.check(ask, CauseConfirmation)
}

// othersByProximity returns all members except one: first those in this data centre,
// then those in others, then those that are unreachable or leaving. The caller holds
// mu.
func (g *Group) othersByProximity(except cwgroup.MemberID) []Member {
	var near, far, unreachable []Member
	for id, m := range g.members {
		switch {
		case id == except:
		case g.unreachable[id] || m.Draining:
			unreachable = append(unreachable, *m)
		case m.DataCentre == g.cfg.DataCentre:
			near = append(near, *m)
		default:
			far = append(far, *m)
		}
	}
	return append(append(near, far...), unreachable...)
}
