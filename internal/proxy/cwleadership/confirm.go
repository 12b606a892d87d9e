package cwleadership

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwevidence"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// requestConfirmation obtains reports of the primary, if its last report is about to
// expire, and of enough other members for a majority: from an observer, or by own health
// checks. Calls within confirmInterval of the last one do nothing, nor do calls while no
// primary is known that can be reached: the loop then obtains reports. data is the maximum age
// of the data that the reads need, or Lease for the newest; waiting is true if a read
// waits for the confirmation.
func (g *Group) requestConfirmation(data time.Duration, waiting bool) {
	g.mu.Lock()
	now := g.cfg.Clock.Now()
	if now.Before(g.nextConfirmAt) || !g.knowsPrimary(now) {
		g.mu.Unlock()
		return
	}
	g.nextConfirmAt = now.Add(confirmInterval)
	maxAge, shared := cwevidence.ReadMaxAge(data)
	v := g.sup.View()
	p, _ := v.Primary()
	q := inquiry{
		cause: CauseConfirmation, own: g.membersToConfirm, hedge: waiting,
		request: cwport.MembersRequest{
			MaxAge: maxAge, Wait: cwevidence.AnswerWait, Others: len(g.othersToConfirm(p.Member)), Primary: now.Sub(p.At) >= maxAge,
		},
		sufficient: func(askedAt time.Time) bool { return !g.confirmedAt.Before(askedAt.Add(-maxAge)) },
	}
	g.mu.Unlock()
	if shared && q.request.Others > 0 {
		g.obtain(q)
	} else {
		g.checkOwn(q)
	}
}

// awaitConfirmation waits until changed is closed or a confirmation may be requested again.
// It returns false if the deadline has passed or ctx has ended.
//
// The request of a read can be dropped in favour of one before it that needs less recent
// reports, whose answer need not change the view.
func (g *Group) awaitConfirmation(ctx context.Context, changed <-chan struct{}, deadline time.Time) bool {
	if g.awaitChange(ctx, changed, min(deadline.Sub(g.cfg.Clock.Now()), confirmInterval)) {
		return true
	}
	return ctx.Err() == nil && g.cfg.Clock.Now().Before(deadline)
}

// membersToConfirm returns the members whose health checks confirm the primary. The caller
// holds mu.
func (g *Group) membersToConfirm(now time.Time) []Member {
	v := g.sup.View()
	p, ok := v.Primary()
	var ask []Member
	if m := g.members[p.Member]; ok && m != nil && now.Sub(p.At) > confirmRefreshAge-confirmInterval {
		ask = append(ask, *m)
	}
	return append(ask, g.othersToConfirm(p.Member)...)
}

// othersToConfirm returns the members that confirm the primary together with it, as near as
// possible. The caller holds mu.
func (g *Group) othersToConfirm(primary cwgroup.MemberID) []Member {
	q := g.sup.View().Quorums()
	confirming := []cwgroup.MemberID{primary}
	others := g.othersByProximity(primary)
	for i, m := range others {
		if q.Decides(cwgroup.SetOf(confirming...)) {
			return others[:i]
		}
		confirming = append(confirming, m.ID)
	}
	return others
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
