package cwlead

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
)

// quorumFloor returns the mark that a read needs where the primary says nothing.
// The second result is false if it cannot be told. The caller holds mu.
//
// The failure: a primary is lost, and for as long as it takes to replace it, or
// as the store is away and nobody may, reads that any member could serve are
// refused for want of its word on where its log stands. Whatever is acknowledged
// in its term is held by one more member. If all others were asked after that,
// the furthest of their logs has it; and if none of them had moved on and led by
// then, nothing had been acknowledged in a later term.
func (g *Group) quorumFloor(rd Read) (cwgroup.Mark, bool) {
	m, ok := cwroute.ReadQuorum(g.sup.View(), rd.since(), func(id cwgroup.MemberID) bool {
		_, restarted := g.restarts[id]
		return !restarted
	})
	if ok && rd.Seen.AtLeast(m) {
		m = rd.Seen
	}
	return m, ok
}

// since returns the time of which the read must see everything acknowledged.
func (rd Read) since() time.Time { return rd.Came.Add(-rd.MaxAge) }

// awaitQuorum asks the members other than the primary where their logs stand and
// waits for an answer. It returns false if they are too few, or if their answers
// are due.
func (g *Group) awaitQuorum(ctx context.Context, changed <-chan struct{}, rd Read, deadline time.Time) bool {
	now := g.cfg.Clock.Now()
	if !now.Before(deadline) || now.Sub(rd.Came) >= askTimeout {
		return false
	}
	ask, enough := g.quorumToAsk(rd, now)
	g.askAll(ask)
	if enough {
		g.await(ctx, changed, confirmEvery)
	}
	return enough
}

// quorumToAsk returns the members other than the primary that were not asked
// since the read needs it, none if some were asked a moment ago; and whether
// enough members can be reached.
func (g *Group) quorumToAsk(rd Read, now time.Time) (ask []Member, enough bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.sup.View()
	p, _ := v.Primary()
	reached := 0
	for _, id := range v.Members() {
		if id == p.Member || g.lost[id] {
			continue
		}
		reached++
		if rep, known := v.Report(id); !known || rep.At.Before(rd.since()) {
			ask = append(ask, *g.members[id])
		}
	}
	if now.Before(g.confirmAt) {
		ask = nil
	} else {
		g.confirmAt = now.Add(confirmEvery)
	}
	return ask, reached >= v.Size()-1
}
