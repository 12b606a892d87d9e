package cwlead

import (
	"sync"
	"time"
)

// Path is what an instance knows of its ways to the targets of other data
// centres, whatever group they belong to. The zero Path has no doubts.
//
// The failure: a data centre is cut off. Each group finds that out by itself,
// once a statement of its own has waited for each of its members in turn, and
// the last one does so three seconds after the first; callers are refused
// meanwhile. That nothing comes from anywhere, though something was asked, is
// one fact about the instance.
type Path struct {
	// Doubted is called, without any lock held, when doubt begins.
	Doubted func()

	mu sync.Mutex
	// heard is when a target of another data centre last answered.
	heard time.Time
	// doubted is true while a statement has waited for suspectAfter and nothing
	// has come from any of these targets since it was sent.
	doubted bool
}

// Heard takes that a target of another data centre has answered.
func (p *Path) Heard(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard, p.doubted = now, false
}

// Silent takes that a statement to a target of another data centre, which was
// sent at a given time, has had no answer for long.
func (p *Path) Silent(sent time.Time) {
	p.mu.Lock()
	begins := !p.doubted && p.heard.Before(sent)
	p.doubted = p.doubted || begins
	doubted := p.Doubted
	p.mu.Unlock()
	if begins && doubted != nil {
		doubted()
	}
}

// InDoubt reports whether nothing has come from other data centres since
// something was asked there.
func (p *Path) InDoubt() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.doubted
}

// away reports whether a member is in another data centre.
func (g *Group) away(m *Member) bool { return m.DataCentre != g.cfg.DataCentre }

// Silent takes that a statement that was sent to a member at a given time has
// had no answer for long, and asks the member for a sign of life.
func (g *Group) Silent(m Member, sent time.Time) {
	if g.away(&m) {
		g.cfg.Path.Silent(sent)
	}
	g.doubtPrimary(m.ID, sent)
	g.Suspect(m.ID)
}

// SuspectAway asks the members in other data centres for a sign of life, if this
// proxy looks after the group. It reports whether there were any.
func (g *Group) SuspectAway() bool {
	g.mu.Lock()
	var ask []Member
	for _, m := range g.members {
		if g.away(m) && g.watched(g.cfg.Clock.Now()) {
			ask = append(ask, *m)
		}
	}
	g.mu.Unlock()
	for _, m := range ask {
		g.Suspect(m.ID)
	}
	return len(ask) > 0
}
