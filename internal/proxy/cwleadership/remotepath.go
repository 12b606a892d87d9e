package cwleadership

import (
	"sync"
	"time"
)

// RemotePath tracks whether any target in other data centres answers this instance, over
// all groups. The zero RemotePath suspects nothing.
//
// When a data centre is cut off, each group on its own would find out only once one of
// its statements has timed out at each of its members in turn. The last group would do
// so three seconds after the first, and callers would be refused in the meantime. The
// absence of any answer from other data centres, while requests are outstanding, is a
// single fact about the instance.
type RemotePath struct {
	// OnSuspicion is called when suspicion begins, without any lock held.
	OnSuspicion func()

	mu sync.Mutex
	// lastAnswerAt is when a target in another data centre last answered.
	lastAnswerAt time.Time
	// suspected is true if a statement's answer was overdue and no target in another
	// data centre has answered since the statement was sent.
	suspected bool
}

// RecordAnswer records that a target in another data centre answered at now.
func (p *RemotePath) RecordAnswer(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAnswerAt, p.suspected = now, false
}

// RecordOverdue records that the answer to a statement sent to a target in another data
// centre at sentAt is overdue.
func (p *RemotePath) RecordOverdue(sentAt time.Time) {
	p.mu.Lock()
	begins := !p.suspected && p.lastAnswerAt.Before(sentAt)
	p.suspected = p.suspected || begins
	onSuspicion := p.OnSuspicion
	p.mu.Unlock()
	if begins && onSuspicion != nil {
		onSuspicion()
	}
}

// Suspected reports whether nothing has come from other data centres since an overdue
// statement was sent there.
func (p *RemotePath) Suspected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspected
}

// isRemote reports whether a member is in another data centre.
func (g *Group) isRemote(m *Member) bool { return m.DataCentre != g.cfg.DataCentre }

// RecordOverdue records that the answer to a statement sent to a member at sentAt is
// overdue, and probes the member.
func (g *Group) RecordOverdue(m Member, sentAt time.Time) {
	if g.isRemote(&m) {
		g.cfg.RemotePath.RecordOverdue(sentAt)
	}
	g.suspectPrimary(m.ID, sentAt)
	g.Probe(m.ID)
}

// ProbeRemote probes the members in other data centres if this proxy watches the group.
// It reports whether there were any.
func (g *Group) ProbeRemote() bool {
	g.mu.Lock()
	var ask []Member
	for _, m := range g.members {
		if g.isRemote(m) && g.watched(g.cfg.Clock.Now()) {
			ask = append(ask, *m)
		}
	}
	g.mu.Unlock()
	for _, m := range ask {
		g.probe(m.ID, CausePath)
	}
	return len(ask) > 0
}
