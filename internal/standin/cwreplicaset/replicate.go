package cwreplicaset

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// SetStepDownDelay sets how long, by the clock, a primary that was replaced
// remains a primary after it can reach the new one. A demotion ends that earlier.
func (g *Group) SetStepDownDelay(d time.Duration, clock clockwork.Clock) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stepDownDelay, g.clock = d, clock
}

// Restart stops a member, breaks all connections to it, and starts it again after
// the duration by the clock. It returns when the member has started. The member
// keeps its log and loses its fence. If it was a primary and another member is
// the primary of a later term by then, it starts as a replica. Restart does
// nothing if the member is already down.
func (g *Group) Restart(id cwgroup.MemberID, after time.Duration, clock clockwork.Clock) {
	g.mu.Lock()
	m := g.members[id]
	if m.down {
		g.mu.Unlock()
		return
	}
	m.incarnation++
	m.down = true
	g.mu.Unlock()
	clock.Sleep(after)
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.ended {
		return
	}
	m.down, m.fenceTerm = false, 0
	if p := g.newestPrimary(); p != nil && p != m && p.term > m.term {
		m.role = cwgroup.RoleReplica
	}
	g.replicate()
}

// Promote implements cwport.Promoter. Any instance may give the order, and neither
// its holder nor its fencing token is checked.
func (g *Group) Promote(_ context.Context, p cwport.Promotion) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[p.ID]
	if m == nil || m.down {
		return &cwport.RefusedError{Code: cwstatement.WrongTarget}
	}
	g.promotions = append(g.promotions, p)
	if g.promotionDelay > 0 {
		go g.promoteLater(m)
		return nil
	}
	g.makePrimary(m)
	return nil
}

// promoteLater makes a member the primary after promotionDelay, unless it is down
// by then.
func (g *Group) promoteLater(m *Member) {
	g.clock.Sleep(g.promotionDelay)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !m.down {
		g.makePrimary(m)
	}
}

// makePrimary makes a member the primary of the next term and removes the fences that are not
// above it, also of members that can't reach it. It does nothing if the member is already a
// primary.
func (g *Group) makePrimary(m *Member) {
	if m.role == cwgroup.RolePrimary {
		return
	}
	m.role, m.term, m.fenceTerm = cwgroup.RolePrimary, g.newestTerm()+1, 0
	for _, o := range g.members {
		if o.fenceTerm <= m.term {
			o.fenceTerm = 0
		}
	}
	m.applyDue(g.now())
	g.replicate()
}

// newestTerm returns the newest term in which a member was promoted.
func (g *Group) newestTerm() cwgroup.Term {
	t := cwgroup.Term(0)
	for _, m := range g.members {
		t = max(t, m.term)
	}
	return t
}

// newestPrimary returns the primary with the highest term; nil if there is none.
func (g *Group) newestPrimary() *Member {
	var best *Member
	for _, id := range g.memberOrder {
		if m := g.members[id]; m.role == cwgroup.RolePrimary && (best == nil || m.term > best.term) {
			best = m
		}
	}
	return best
}

// connected reports whether two members can reach each other: both are up and
// responsive, and the path between them is not cut.
func (g *Group) connected(a, b *Member) bool {
	return !a.down && !b.down && !a.unresponsive && !b.unresponsive && !g.cutPaths[path{string(a.id), string(b.id)}]
}

// replicate makes every replica receive the log of its upstream primary, if it has
// one and its receipt is not stopped. That also removes its fence. Replaced
// primaries step down first.
func (g *Group) replicate() {
	g.stepDownReplaced()
	now := g.now()
	for _, id := range g.memberOrder {
		m := g.members[id]
		if m.role == cwgroup.RolePrimary || m.receiveStopped {
			continue
		}
		if p := g.upstreamOf(m); p != nil {
			m.role, m.term, m.fenceTerm = cwgroup.RoleReplica, p.term, 0
			m.receiveLog(p.log, now)
		}
	}
}

// upstreamOf returns the primary that a replica receives from: of those that it can
// reach, the one with the highest term, unless that is below the replica's own term
// or its fence. It returns nil if there is none.
func (g *Group) upstreamOf(m *Member) *Member {
	var best *Member
	for _, id := range g.memberOrder {
		p := g.members[id]
		usable := p.role == cwgroup.RolePrimary && p.term >= max(m.term, m.fenceTerm) && g.connected(p, m)
		if usable && (best == nil || p.term > best.term) {
			best = p
		}
	}
	return best
}

// stepDownReplaced makes replicas of the primaries that can reach a primary of a
// later term, at once or after stepDownDelay.
func (g *Group) stepDownReplaced() {
	p := g.newestPrimary()
	for _, old := range g.members {
		replaced := old.role == cwgroup.RolePrimary && old != p && old.term < p.term && g.connected(old, p)
		if !replaced || old.steppingDown {
			continue
		}
		if g.stepDownDelay == 0 {
			old.role = cwgroup.RoleReplica
			continue
		}
		old.steppingDown = true
		go g.stepDownLater(old, old.term)
	}
}

// stepDownLater makes a replaced primary a replica after stepDownDelay, if it is
// still a primary in the same term and can reach the new primary.
func (g *Group) stepDownLater(m *Member, term cwgroup.Term) {
	g.clock.Sleep(g.stepDownDelay)
	g.mu.Lock()
	defer g.mu.Unlock()
	m.steppingDown = false
	if p := g.newestPrimary(); m.role == cwgroup.RolePrimary && m.term == term && p != m && g.connected(m, p) {
		m.role = cwgroup.RoleReplica
	}
	g.replicate()
}

// now returns the time by the group's clock; the zero time if none was set, since
// no delay is configured then.
func (g *Group) now() time.Time {
	if g.clock == nil {
		return time.Time{}
	}
	return g.clock.Now()
}

// commit appends a transaction to the member's log and replicates it. A transaction
// without writes appends nothing.
func (g *Group) commit(m *Member, writes map[string]string) {
	if len(writes) == 0 {
		return
	}
	m.appendRecord(writes, g.now())
	g.replicate()
}

// hasReplica reports whether a running replica has received the member's log up to its
// present end.
func (g *Group) hasReplica(m *Member) bool {
	end := m.lastReceived()
	for _, o := range g.members {
		if o != m && !o.down && containsPosition(o.log, end) {
			return true
		}
	}
	return false
}
