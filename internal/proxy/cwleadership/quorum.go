package cwleadership

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
)

// quorumFloor returns the position that a log must reach to serve the read, from the
// positions of the members other than the primary. The second result is false if too
// few of them have answered since the time that the read needs, or if one of them leads
// or has restarted. The caller holds mu.
//
// Without it, reads that any member could serve are refused while the primary is lost,
// because its log position is unknown; that lasts until the primary is replaced, or as
// long as the store is unavailable and no proxy may replace it. Every record
// acknowledged in the primary's term is held by one more member. If all others were
// asked after the acknowledgement, the most advanced of their logs has the record; and
// if none of them led a later term by then, nothing had been acknowledged in a later
// term.
func (g *Group) quorumFloor(rd Read) (cwgroup.LogPosition, bool) {
	m, ok := cwroute.QuorumReadPosition(g.sup.View(), rd.freshAsOf(), func(id cwgroup.MemberID) bool {
		_, restarted := g.restarts[id]
		return !restarted
	})
	if ok && rd.LastWrite.AtLeast(m) {
		m = rd.LastWrite
	}
	return m, ok
}

// freshAsOf returns the time before which everything acknowledged must be visible to
// the read.
func (rd Read) freshAsOf() time.Time { return rd.ArrivedAt.Add(-rd.MaxAge) }

// awaitQuorum starts health checks of the members other than the primary and waits up
// to confirmInterval for a change. It returns false if too few of them can be reached,
// or if the deadline or healthTimeout since the read's arrival has passed.
func (g *Group) awaitQuorum(ctx context.Context, changed <-chan struct{}, rd Read, deadline time.Time) bool {
	now := g.cfg.Clock.Now()
	if !now.Before(deadline) || now.Sub(rd.ArrivedAt) >= healthTimeout {
		return false
	}
	ask, enough := g.quorumMembersToCheck(rd, now)
	g.check(ask, CauseQuorumRead)
	if enough {
		g.awaitChange(ctx, changed, confirmInterval)
	}
	return enough
}

// quorumMembersToCheck returns the members other than the primary without a report that
// is recent enough for the read, or none if confirmInterval has not passed since the
// last request; and whether enough members can be reached.
func (g *Group) quorumMembersToCheck(rd Read, now time.Time) (ask []Member, enough bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.sup.View()
	p, _ := v.Primary()
	reached := 0
	for _, id := range v.Members() {
		if id == p.Member || g.unreachable[id] {
			continue
		}
		reached++
		if rep, known := v.Report(id); !known || rep.At.Before(rd.freshAsOf()) {
			ask = append(ask, *g.members[id])
		}
	}
	if now.Before(g.nextConfirmAt) {
		ask = nil
	} else {
		g.nextConfirmAt = now.Add(confirmInterval)
	}
	return g.limitChecks(ask, now), reached >= v.Size()-1
}
