package cwlead

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Times of use.
const (
	// usedFor is how long after a statement a group counts as in use.
	usedFor = 5 * time.Second
	// unservedFor is how long a statement that nobody could serve speaks for its
	// group: a group in use has several statements a second.
	unservedFor = time.Second
	// knownAfter is how long a group must be in use until every member of it was
	// asked, or found not to answer.
	knownAfter = askTimeout + 2*tick
)

// CutOff reports whether most members cannot be reached from here.
func (g *Group) CutOff() bool { return g.cutOff.Load() }

// NoteUnserved takes that holders that are cut off sent a statement elsewhere,
// and that it could not be served here either.
//
// The failure: a data centre is cut off by losing packets. Its holders know it
// after a second; the instances that hand statements to them would each have to
// find out for every group, on paths that they have not used, and the last ones
// say so when the cut is over. Until all of them say it, the balancer uses the
// whole data centre.
func (g *Group) NoteUnserved() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unservedAt = g.cfg.Clock.Now()
}

// Unserved reports whether that was so lately.
func (g *Group) Unserved() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cfg.Clock.Now().Sub(g.unservedAt) < unservedFor
}

// Reached reports whether a majority of the members has answered lately.
func (g *Group) Reached() bool { return g.reached.Load() }

// noteCutOff works out anew how many members can be reached. The caller holds
// mu.
func (g *Group) noteCutOff(now time.Time) {
	v := g.sup.View()
	left, heard := len(v.Members()), 0
	for _, id := range v.Members() {
		rep, known := v.Report(id)
		switch {
		case g.lost[id]:
			left--
		case known && now.Sub(rep.At) < Lease:
			heard++
		}
	}
	majority := cwgroup.Majority(len(v.Members()))
	g.cutOff.Store(left < majority)
	g.reached.Store(heard >= majority)
}

// Used reports whether statements came for the group lately, and for long
// enough to know which members can be reached.
func (g *Group) Used() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	return g.used(now) && now.Sub(g.usedSince) >= knownAfter
}

// use notes that a statement came. The caller holds mu.
func (g *Group) use(now time.Time) {
	if !g.used(now) {
		g.usedSince = now
	}
	g.usedAt = now
}

func (g *Group) used(now time.Time) bool { return now.Sub(g.usedAt) < usedFor }

// KeepWatching has the group watched for a while as if statements came for it.
func (g *Group) KeepWatching() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.use(g.cfg.Clock.Now())
}

// SetHeld tells whether this proxy holds the group, and its place among those
// that do, negative if it is not known.
//
// The failure: with many proxies each of them asks every group's members about
// themselves, and more of a target's time goes into questions than into
// statements. Only holders watch a group that this proxy has no statements for.
func (g *Group) SetHeld(place int, held bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unheld = !held
	if place >= 0 {
		g.rank = place % ranks
	}
}

// watched reports whether this proxy looks after the group. The caller holds mu.
func (g *Group) watched(now time.Time) bool {
	return !g.unheld || g.used(now) || g.sup.Keeping()
}
