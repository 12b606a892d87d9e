package cwlead

import (
	"sync"
	"time"
)

// Path is what an instance knows of its ways to the targets of other data
// centres, whatever group they belong to. The zero Path suspects nothing.
//
// The failure: a data centre is cut off. Each group finds that out by itself,
// once a statement of its own has waited for each of its members in turn, and
// the last one does so three seconds after the first; callers are refused
// meanwhile. That nothing comes from anywhere, though something was asked, is
// one fact about the instance.
type Path struct {
	// OnSuspicion is called, without any lock held, when suspicion begins.
	OnSuspicion func()

	mu sync.Mutex
	// heard is when a target of another data centre last answered.
	heard time.Time
	// suspected is true while a statement has waited for suspectAfter and nothing
	// has come from any of these targets since it was sent.
	suspected bool
}

// RecordAnswer records that a target of another data centre has answered.
func (p *Path) RecordAnswer(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard, p.suspected = now, false
}

// RecordOverdue records that a statement to a target of another data centre, which was
// sent at a given time, has had no answer for long.
func (p *Path) RecordOverdue(sent time.Time) {
	p.mu.Lock()
	begins := !p.suspected && p.heard.Before(sent)
	p.suspected = p.suspected || begins
	suspected := p.OnSuspicion
	p.mu.Unlock()
	if begins && suspected != nil {
		suspected()
	}
}

// Suspected reports whether nothing has come from other data centres since
// something was asked there.
func (p *Path) Suspected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspected
}

// away reports whether a member is in another data centre.
func (g *Group) away(m *Member) bool { return m.DataCentre != g.cfg.DataCentre }

// RecordOverdue records that a statement that was sent to a member at a given time has
// had no answer for long, and probes the member.
func (g *Group) RecordOverdue(m Member, sent time.Time) {
	if g.away(&m) {
		g.cfg.Path.RecordOverdue(sent)
	}
	g.suspectPrimary(m.ID, sent)
	g.Suspect(m.ID)
}

// SuspectAway probes the members in other data centres, if this
// proxy watches the group. It reports whether there were any.
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
