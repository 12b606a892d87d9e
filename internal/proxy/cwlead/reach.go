package cwlead

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwclaim"
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

// NoteUnserved records that holders that are cut off sent a statement elsewhere,
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

// Overtaken reports whether others are likely to serve the group while statements
// are refused here.
//
// The failure: a primary and some of the instances are cut off from the rest,
// which replaces it. Callers of these instances are refused whatever they ask of
// the group for as long as the cut lasts; the other instances serve it. An
// instance that is cut off from most members therefore reads the group's row
// again and again. If another member was promoted, or if the row cannot be read
// either, others can act on the group and it cannot.
func (g *Group) Overtaken() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.cutOff.Load() {
		g.overtaken, g.rowLost = false, false
		return false
	}
	now := g.cfg.Clock.Now()
	p, _ := g.sup.View().Primary()
	replaced := g.row.Done && g.row.Primary != "" && g.row.Primary != p.Member
	refused := now.Sub(g.unservedAt) < unservedFor
	g.overtaken = (replaced || g.rowLost) && (refused || g.overtaken)
	if g.overtaken {
		// Its callers go, and it is watched until the cut ends.
		g.use(now)
	}
	return g.overtaken
}

// readRow reads the group's row if most members are out of reach and it was not
// read lately. The caller holds mu.
func (g *Group) readRow(now time.Time) {
	if !g.cutOff.Load() || !g.used(now) || now.Before(g.readRowAt) {
		return
	}
	g.readRowAt = now.Add(rowPause)
	go g.runReadRow()
}

func (g *Group) runReadRow() {
	ctx, cancel := context.WithTimeout(context.Background(), rowTimeout)
	defer cancel()
	row, _, err := cwclaim.Claims{Table: g.cfg.Table, Group: g.cfg.Service}.Read(ctx)
	if err != nil {
		g.cfg.Log.Debug("rowNotRead", "group", g.cfg.Service, "cause", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rowLost = err != nil
	if err == nil {
		g.noteRow(row)
	}
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
	majority := cwgroup.Majority(v.Size())
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

// Idle reports whether no statement came for the group for a time, and this proxy is not
// changing its primary.
func (g *Group) Idle(d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cfg.Clock.Now().Sub(g.usedAt) >= d && !g.sup.Keeping()
}

// use notes that a statement came. The caller holds mu.
func (g *Group) use(now time.Time) {
	if !g.used(now) {
		g.usedSince = now
		g.wake()
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
	if held && g.unheld {
		g.wake()
	}
	g.unheld = !held
	if place >= 0 {
		g.rank = place % ranks
	}
}

// watched reports whether this proxy watches the group. The caller holds mu.
func (g *Group) watched(now time.Time) bool {
	return !g.unheld || g.used(now) || g.sup.Keeping()
}
