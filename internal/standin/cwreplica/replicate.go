package cwreplica

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// SetReplacedGoesOn makes a primary that was replaced go on for a while, by a clock,
// after it can reach the new one, unless it is demoted.
func (g *Group) SetReplacedGoesOn(d time.Duration, clock clockwork.Clock) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.goesOn, g.clock = d, clock
}

// Restart ends a member, with all connections to it, and starts it again after a
// while, by a clock. It has its log and has forgotten that it was fenced. One that
// led is a replica if another one leads a later term by then.
func (g *Group) Restart(id cwgroup.MemberID, after time.Duration, clock clockwork.Clock) {
	g.mu.Lock()
	m := g.members[id]
	if m.down {
		g.mu.Unlock()
		return
	}
	m.life++
	m.down = true
	g.mu.Unlock()
	clock.Sleep(after)
	g.mu.Lock()
	defer g.mu.Unlock()
	m.down, m.fence = false, 0
	if p := g.primary(); p != nil && p != m && p.term > m.term {
		m.role = cwgroup.RoleReplica
	}
	g.replicate()
}

// Promote implements cwport.Promoter.
func (g *Group) Promote(_ context.Context, p cwport.Promotion) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[p.ID]
	if m == nil || m.down {
		return &cwport.RefusedError{Code: cwstatement.WrongTarget}
	}
	g.promotions = append(g.promotions, p)
	if g.takes > 0 {
		go g.runPromotion(m)
		return nil
	}
	g.lead(m)
	return nil
}

func (g *Group) runPromotion(m *Member) {
	g.clock.Sleep(g.takes)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !m.down {
		g.lead(m)
	}
}

// lead makes a member the primary of the next term.
func (g *Group) lead(m *Member) {
	if m.role == cwgroup.RolePrimary {
		return
	}
	next := cwgroup.Term(0)
	for _, o := range g.members {
		next = max(next, o.term)
	}
	m.role, m.term, m.fence = cwgroup.RolePrimary, next+1, 0
	m.apply(g.now())
	g.replicate()
}

// primary returns the member that leads the highest term.
func (g *Group) primary() *Member {
	var best *Member
	for _, id := range g.order {
		if m := g.members[id]; m.role == cwgroup.RolePrimary && (best == nil || m.term > best.term) {
			best = m
		}
	}
	return best
}

// joined reports whether two members can reach each other.
func (g *Group) joined(a, b *Member) bool {
	return !a.down && !b.down && !a.dark && !b.dark && !g.cut[path{string(a.id), string(b.id)}]
}

// replicate lets every replica receive what it can, from the newest primary that it
// reaches and that is not older than the one it follows.
func (g *Group) replicate() {
	g.replaceOld()
	now := g.now()
	for _, id := range g.order {
		m := g.members[id]
		if m.role == cwgroup.RolePrimary || m.deaf {
			continue
		}
		if p := g.source(m); p != nil {
			m.role, m.term, m.fence = cwgroup.RoleReplica, p.term, 0
			m.take(p.log, now)
		}
	}
}

// source returns the primary that a replica receives from; nil if there is none.
func (g *Group) source(m *Member) *Member {
	var best *Member
	for _, id := range g.order {
		p := g.members[id]
		usable := p.role == cwgroup.RolePrimary && p.term >= max(m.term, m.fence) && g.joined(p, m)
		if usable && (best == nil || p.term > best.term) {
			best = p
		}
	}
	return best
}

// replaceOld lets primaries that were replaced step down, at once or in a while.
func (g *Group) replaceOld() {
	p := g.primary()
	for _, old := range g.members {
		replaced := old.role == cwgroup.RolePrimary && old != p && old.term < p.term && g.joined(old, p)
		if !replaced || old.leaving {
			continue
		}
		if g.goesOn == 0 {
			old.role = cwgroup.RoleReplica
			continue
		}
		old.leaving = true
		go g.runStepDown(old, old.term)
	}
}

func (g *Group) runStepDown(m *Member, term cwgroup.Term) {
	g.clock.Sleep(g.goesOn)
	g.mu.Lock()
	defer g.mu.Unlock()
	m.leaving = false
	if p := g.primary(); m.role == cwgroup.RolePrimary && m.term == term && p != m && g.joined(m, p) {
		m.role = cwgroup.RoleReplica
	}
	g.replicate()
}

// now returns the time, zero where nothing takes any.
func (g *Group) now() time.Time {
	if g.clock == nil {
		return time.Time{}
	}
	return g.clock.Now()
}

func (g *Group) commit(m *Member, writes map[string]string) {
	if len(writes) == 0 {
		return
	}
	m.append(writes, g.now())
	g.replicate()
}
