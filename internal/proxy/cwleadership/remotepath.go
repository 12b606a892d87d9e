package cwleadership

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwpath"
)

// RemotePath tracks whether other data centres answer this instance, over all groups
// and connections. The zero RemotePath suspects nothing. Set the exported fields before
// its first use.
//
// When a data centre is cut off, each group on its own would find out only once one of
// its statements has timed out at each of its members in turn. The last group would do
// so three seconds after the first, and callers would be refused in the meantime. The
// absence of any answer from other data centres, while requests are outstanding, is a
// single fact about the instance, and mostly about its data centre: see cwpath.
type RemotePath struct {
	// OnSuspicion is called when suspicion begins, without any lock held.
	OnSuspicion func()
	// OnMessages is called when there may be reports to send. It must not block, since
	// its caller may hold the lock of a group.
	OnMessages func()
	// Clock tells the time of events that are reported without one. If it is nil, an
	// overdue request counts as found overdue when it was sent.
	Clock clockwork.Clock

	mu       sync.Mutex
	detector cwpath.Detector
}

// Configure sets the name of this instance and the source of random numbers, which the
// RemotePath owns from then on.
func (p *RemotePath) Configure(self string, r *rand.Rand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detector.Self, p.detector.Rand = self, r
}

// RecordAnswer records that an answer arrived from another data centre at now.
func (p *RemotePath) RecordAnswer(now time.Time) {
	p.mu.Lock()
	ended := p.detector.ObserveAnswer(now)
	p.mu.Unlock()
	if ended {
		p.notify(false)
	}
}

// RecordOverdue records that the answer to a request sent to another data centre at
// sentAt is overdue.
func (p *RemotePath) RecordOverdue(sentAt time.Time) {
	now := sentAt
	if p.Clock != nil {
		now = p.Clock.Now()
	}
	p.mu.Lock()
	begun := p.detector.ObserveOverdue(sentAt, now)
	p.mu.Unlock()
	if begun {
		p.notify(true)
	}
}

// notify calls the callbacks. begun is true if suspicion has begun. The caller does not
// hold mu.
func (p *RemotePath) notify(begun bool) {
	if begun && p.OnSuspicion != nil {
		p.OnSuspicion()
	}
	if p.OnMessages != nil {
		p.OnMessages()
	}
}

// Suspected reports whether nothing has come from other data centres since an overdue
// request was sent there, according to this instance or a neighbour.
func (p *RemotePath) Suspected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.detector.Suspected()
}

// Down reports whether the path has been suspected for cwpath.IsolationDelay, so that a
// statement is not sent to another data centre.
func (p *RemotePath) Down(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.detector.Down(now)
}

// suspectedFor returns how long the path has been suspected; zero if it is not.
func (p *RemotePath) suspectedFor(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.detector.Suspected() {
		return 0
	}
	return now.Sub(p.detector.BegunAt())
}

// WithDetector calls f with the detector, which must not be used after f returns.
// Callbacks are not called for what f changes.
func (p *RemotePath) WithDetector(f func(d *cwpath.Detector)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.detector)
}

// ReceiveReport processes a report of a neighbour.
func (p *RemotePath) ReceiveReport(r cwpath.Report, now time.Time) cwpath.Reply {
	p.mu.Lock()
	reply, begun := p.detector.ReceiveReport(r, now)
	p.mu.Unlock()
	if begun || r.Ended {
		p.notify(begun)
	}
	return reply
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
func (g *Group) ProbeRemote() bool { return g.probeIfWatched(g.isRemote) }

// ProbeReachable probes the members that are not known to be unreachable, if this proxy
// watches the group.
func (g *Group) ProbeReachable() {
	g.probeIfWatched(func(m *Member) bool { return !g.unreachable[m.ID] })
}

// probeIfWatched probes the members that include selects, if this proxy watches the group.
// It reports whether there were any. include is called with mu held.
func (g *Group) probeIfWatched(include func(m *Member) bool) bool {
	g.mu.Lock()
	var ask []cwgroup.MemberID
	if g.watched(g.cfg.Clock.Now()) {
		for id, m := range g.members {
			if include(m) {
				ask = append(ask, id)
			}
		}
	}
	g.mu.Unlock()
	for _, id := range ask {
		g.probe(id, CausePath)
	}
	return len(ask) > 0
}
