package cwleadership

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwevidence"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwclaim"
)

// Times of use and reachability.
const (
	// inUseWindow is how long a group counts as in use after a statement.
	inUseWindow = 5 * time.Second
	// unservedWindow is how long an unserved statement counts as evidence about its
	// group. A group in use has several statements a second.
	unservedWindow = time.Second
	// reachabilityKnownAfter is how long a group must be in use until each of its
	// members has answered a health check or been found unreachable, if no observer is
	// asked first.
	reachabilityKnownAfter = healthTimeout + 2*activeTick
)

// MajorityUnreachable reports whether fewer than a majority of the members can be
// reached from here.
func (g *Group) MajorityUnreachable() bool { return g.majorityUnreachable.Load() }

// RecordUnserved records that holders that are cut off forwarded a statement, and that
// it could not be served here either.
//
// When a data centre is cut off by packet loss, its holders know after a second. The
// instances that forward statements to them would each have to find out for every group,
// over paths that they have not used, and the last ones would report it only when the
// cut is over. The balancer keeps using the whole data centre until all of its
// instances report it.
func (g *Group) RecordUnserved() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastUnservedAt = g.cfg.Clock.Now()
}

// RecentlyUnserved reports whether RecordUnserved was called within unservedWindow.
func (g *Group) RecentlyUnserved() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cfg.Clock.Now().Sub(g.lastUnservedAt) < unservedWindow
}

// ServedElsewhere reports whether other instances are likely to serve the group while
// this one refuses its statements.
//
// When a primary and some instances are cut off from the rest, the rest replaces the
// primary. These instances refuse every statement for the group as long as the cut
// lasts, while the other instances serve it. An instance that can't reach a majority of
// the members therefore reads the group's row repeatedly. If the row names another
// primary, or can't be read either, others can act on the group and this instance
// can't.
func (g *Group) ServedElsewhere() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.majorityUnreachable.Load() {
		g.servedElsewhere, g.rowUnreadable = false, false
		return false
	}
	now := g.cfg.Clock.Now()
	p, _ := g.sup.View().Primary()
	replaced := g.row.Done && g.row.Primary != "" && g.row.Primary != p.Member
	refused := now.Sub(g.lastUnservedAt) < unservedWindow
	g.servedElsewhere = (replaced || g.rowUnreadable) && (refused || g.servedElsewhere)
	if g.servedElsewhere {
		// Keep watching the group until the cut ends, even once its callers have left.
		g.markUsed(now)
	}
	return g.servedElsewhere
}

// startRowRead starts reading the group's row if fewer than a majority of the members
// can be reached, the group is in use, and the last read is at least rowRetryInterval
// ago. The caller holds mu.
func (g *Group) startRowRead(now time.Time) {
	if !g.majorityUnreachable.Load() || !g.inUse(now) || now.Before(g.nextRowReadAt) {
		return
	}
	g.nextRowReadAt = now.Add(rowRetryInterval)
	go g.runRowRead()
}

func (g *Group) runRowRead() {
	ctx, cancel := context.WithTimeout(context.Background(), rowTimeout)
	defer cancel()
	row, _, err := cwclaim.Store{Table: g.cfg.Table, Group: g.cfg.Service}.Read(ctx)
	if err != nil {
		g.cfg.Log.Debug("rowNotRead", "group", g.cfg.Service, "cause", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rowUnreadable = err != nil
	if err == nil {
		g.observeRow(row)
	}
}

// MajorityAnswering reports whether a majority of the members has answered within Lease.
func (g *Group) MajorityAnswering() bool { return g.majorityAnswering.Load() }

// updateReachability recomputes whether a majority of the members can be reached and
// whether one has answered lately. The caller holds mu.
func (g *Group) updateReachability(now time.Time) {
	v := g.sup.View()
	reachable := func(id cwgroup.MemberID) bool { return g.members[id] != nil && !g.unreachable[id] }
	answering := v.Where(func(r cwgroup.Report) bool { return !g.unreachable[r.Member] && now.Sub(r.At) < Lease })
	g.majorityUnreachable.Store(!v.Quorums().Decides(reachable))
	g.majorityAnswering.Store(v.Quorums().Decides(answering))
}

// ReachabilityKnown reports whether the group is in use, and has been for long enough to
// know which members can be reached.
func (g *Group) ReachabilityKnown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	after := reachabilityKnownAfter
	if g.observed {
		after += cwevidence.AnswerTimeout
	}
	return g.inUse(now) && now.Sub(g.inUseSince) >= after
}

// Idle reports whether no statement has used the group for d and this proxy is not
// changing its primary.
func (g *Group) Idle(d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cfg.Clock.Now().Sub(g.lastUsedAt) >= d && !g.sup.ChangingPrimary()
}

// markUsed records that a statement uses the group. The caller holds mu.
func (g *Group) markUsed(now time.Time) {
	if !g.inUse(now) {
		g.inUseSince = now
		g.beginStartInquiry(now)
		g.wake()
	}
	g.lastUsedAt = now
}

func (g *Group) inUse(now time.Time) bool { return now.Sub(g.lastUsedAt) < inUseWindow }

// KeepWatching marks the group as used, so that this proxy goes on watching it without
// statements.
func (g *Group) KeepWatching() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.markUsed(g.cfg.Clock.Now())
}

// SetHeld sets whether this proxy holds the group, and its rank among the holders; a
// negative rank means that the rank is not known.
//
// If each of many proxies checked the members of every group, targets would spend more
// time on health checks than on statements. A group without statements at this proxy is
// therefore watched only by its holders.
func (g *Group) SetHeld(rank int, held bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if held && g.heldElsewhere {
		g.wake()
	}
	g.heldElsewhere = !held
	if rank >= 0 {
		g.rank = rank % rankCount
	}
}

// watched reports whether this proxy watches the group. The caller holds mu.
func (g *Group) watched(now time.Time) bool {
	return !g.heldElsewhere || g.inUse(now) || g.sup.ChangingPrimary()
}
