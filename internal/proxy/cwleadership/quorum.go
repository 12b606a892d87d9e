package cwleadership

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwevidence"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// quorumFloor returns the position that a log must reach to serve the read, from the
// positions of the members other than the primary. The second result is false if too
// few of them have answered since the time that the read needs, or if one of them leads
// or has restarted. The caller holds mu.
//
// Without it, reads that any member could serve are refused while the primary is lost,
// because its log position is unknown; that lasts until the primary is replaced, or as
// long as the store is unavailable and no proxy may replace it. Every record
// acknowledged in the primary's term is held by more members. If those asked after the
// acknowledgement include one of them, the most advanced of their logs has the record;
// and if none of them led a later term by then, nothing had been acknowledged in a later
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
	due, enough := g.quorumCheckDue(now)
	if !enough {
		return false
	}
	if due {
		g.requestQuorum(rd, now)
	}
	g.awaitChange(ctx, changed, confirmInterval)
	return true
}

// quorumCheckDue reports whether confirmInterval has passed since the last request, and
// whether enough members other than the primary can be reached.
func (g *Group) quorumCheckDue(now time.Time) (due, enough bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.sup.View()
	p, _ := v.Primary()
	down := g.cfg.RemotePath.Down(now)
	enough = v.Quorums().Covers(func(id cwgroup.MemberID) bool {
		m := g.members[id]
		return m != nil && id != p.Member && !g.unreachable[id] && !(down && g.isRemote(m))
	})
	due = enough && !now.Before(g.nextConfirmAt)
	if due {
		g.nextConfirmAt = now.Add(confirmInterval)
	}
	return due, enough
}

// requestQuorum obtains reports of the members other than the primary that are recent
// enough for the read: from an observer, or by own health checks.
func (g *Group) requestQuorum(rd Read, now time.Time) {
	maxAge, shared := cwevidence.SinceMaxAge(rd.freshAsOf(), now)
	missing := func(time.Time) []Member { return g.quorumMembersToCheck(rd) }
	q := inquiry{
		cause: CauseQuorumRead, own: missing, hedge: true,
		request:    cwport.MembersRequest{MaxAge: maxAge, Wait: cwevidence.AnswerWait, Others: max(1, g.memberCount()-1)},
		sufficient: func(time.Time) bool { return len(missing(now)) == 0 },
	}
	if shared {
		g.obtain(q)
	} else {
		g.checkOwn(q)
	}
}

// memberCount returns the size of the group.
func (g *Group) memberCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sup.View().Size()
}

// quorumMembersToCheck returns the members other than the primary that can be reached and
// have no report that is recent enough for the read. The caller holds mu.
func (g *Group) quorumMembersToCheck(rd Read) []Member {
	v := g.sup.View()
	p, _ := v.Primary()
	var ask []Member
	for _, id := range v.Members() {
		if id == p.Member || g.unreachable[id] {
			continue
		}
		if rep, known := v.Report(id); !known || rep.At.Before(rd.freshAsOf()) {
			ask = append(ask, *g.members[id])
		}
	}
	return ask
}
