package cwengine

import (
	"maps"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
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
		if !l.Leaving {
			staying[l.Service] = append(staying[l.Service], l.ID)
		}
	}
	for service, ids := range staying {
		before, known := e.memberships[service]
		after := before
		if !known || e.unrecorded[service] {
			n := e.recorded(service)
			after = after.WithAtLeast(n)
			e.unrecorded[service] = n == 0
		}
		after = after.WithListed(ids, now)
		e.memberships[service] = after
		if after.Size() != before.Size() {
			e.cfg.Log.Info("groupSize", "group", service, "members", after.Size(), "before", before.Size(), "listed", len(ids))
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

// recorded returns how many members a group has as it is remembered from before this
// instance started; zero if it is not. Of a remembered member that was exchanged and the
// new one only one counts. The caller holds mu.
//
// The failure: an instance starts after the store has lost the row of a group's members
// and while most of their entries have lapsed. It takes the one that is listed for the
// group, the replaced primary perhaps, which then leads by itself. The row of the last
// change of primary tells how many there were; it may be older, so it counts only where
// there is no other.
func (e *Engine) recorded(service string) int {
	if e.cfg.Recorded != nil {
		if n := e.cfg.Recorded(service); n > 0 {
			return n
		}
	}
	return e.rows[service].Members
}

// Members returns the members of each group, also those that are gone and keep their
// place. Groups of which not all are known are left out.
func (e *Engine) Members() map[string][]cwport.Listing {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateMemberships(e.cfg.Clock.Now())
	out := make(map[string][]cwport.Listing)
	for _, l := range e.listings {
		out[l.Service] = append(out[l.Service], l)
	}
	for _, l := range e.absent {
		out[l.Service] = append(out[l.Service], l)
	}
	maps.DeleteFunc(out, func(service string, all []cwport.Listing) bool {
		return len(all) < e.memberships[service].Settled()
	})
	return out
}
