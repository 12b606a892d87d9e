package cwengine

import (
	"context"
	"maps"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmembers"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// takeOut takes a target that is gone out of the list. It may live all the same, and
// keeps its place in its group. The caller holds mu.
func (e *Engine) takeOut(id cwgroup.MemberID) {
	l, ok := e.listings[id]
	if !ok {
		return
	}
	delete(e.listings, id)
	e.absent[id] = l
	e.memberships[l.Service] = e.memberships[l.Service].WithGone(id, l.Leaving)
}

// updateMemberships brings the memberships up to date with the list of targets. The
// caller holds mu.
func (e *Engine) updateMemberships(now time.Time) {
	staying := make(map[string][]cwgroup.MemberID)
	for _, l := range e.listings {
		if !l.Leaving && !l.Lapsed {
			staying[l.Service] = append(staying[l.Service], l.ID)
		}
	}
	for service, ids := range staying {
		before, known := e.memberships[service]
		after := before
		if !known && !e.cfg.FirstStart {
			after = after.WithUnknownSize(now.Add(recordedWait))
		}
		after = after.WithAtLeast(e.newlyRecorded(service, known)).WithListed(ids, now)
		e.memberships[service] = after
		if after.Size() != before.Size() {
			e.cfg.Log.Info("groupSize", "group", service, "members", after.Size(), "before", before.Size(), "listed", len(ids), "known", after.Known())
		}
		if g := e.groups[service]; g != nil && after.Settled() != before.Settled() {
			g.SetSize(after.Settled())
		}
	}
	for id, l := range e.absent {
		if !slices.Contains(e.memberships[l.Service].Absent(), id) {
			delete(e.absent, id)
		}
	}
}

// newlyRecorded returns how many members a group has by what is remembered in the
// table, if that is news; zero if it is not. The caller holds mu.
//
// The failure: an instance starts after the store has lost the row of a group's members
// and while most of their entries have lapsed. It takes the one that is listed for the
// group, the replaced primary perhaps, which then leads by itself. The row of the last
// change of primary tells how many there were; at a start it may be older, so it counts
// only where there is no other. Whoever has been there since writes the row again.
func (e *Engine) newlyRecorded(service string, started bool) int {
	r := recorded{row: e.rows[service].Members}
	if e.cfg.Recorded != nil {
		r.members = e.cfg.Recorded(service)
	}
	before := e.recorded[service]
	e.recorded[service] = r
	n := 0
	if r.members != before.members {
		n = r.members
	}
	if r.row != before.row && (started || r.members == 0) {
		n = max(n, r.row)
	}
	return n
}

// recorded is how many members a group has by the row of its members, and by that of
// its last change of primary; zero where there is none.
type recorded struct{ members, row int }

// recordedWait is how long an instance that finds a group of which nothing is remembered
// waits for those who know how many members it has: some steps of theirs. It is as long
// as entries that lapsed may take to be back.
const recordedWait = 2500 * time.Millisecond

// loopMemberships looks at the memberships again and again.
func (e *Engine) loopMemberships(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-e.cfg.Clock.After(membershipStep):
		case <-ctx.Done():
			return nil
		}
		e.mu.Lock()
		e.updateMemberships(e.cfg.Clock.Now())
		e.mu.Unlock()
	}
	return nil
}

// membershipStep is how often they are looked at.
const membershipStep = time.Second

// Members returns the members of each group, also those that are gone and keep their
// place. Groups of which not all are known are left out.
func (e *Engine) Members() map[string]cwmembers.Count {
	e.mu.RLock()
	defer e.mu.RUnlock()
	out := make(map[string]cwmembers.Count)
	add := func(l cwport.Listing) {
		c := out[l.Service]
		c.Members, c.Of = append(c.Members, l), e.memberships[l.Service].Settled()
		out[l.Service] = c
	}
	for _, l := range e.listings {
		add(l)
	}
	for _, l := range e.absent {
		add(l)
	}
	maps.DeleteFunc(out, func(_ string, c cwmembers.Count) bool { return len(c.Members) < c.Of })
	return out
}
