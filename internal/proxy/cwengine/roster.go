package cwengine

import (
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
	e.rosters[l.Service] = e.rosters[l.Service].WithGone(id, l.Leaving)
}

// muster brings the rosters up to date with the list of targets. The caller holds mu.
func (e *Engine) muster(now time.Time) {
	staying := make(map[string][]cwgroup.MemberID)
	for _, l := range e.listings {
		if !l.Leaving {
			staying[l.Service] = append(staying[l.Service], l.ID)
		}
	}
	for service, ids := range staying {
		before, known := e.rosters[service]
		if !known {
			before = e.recorded(service)
		}
		after := before.WithListed(ids, now)
		e.rosters[service] = after
		if after.Size() != before.Size() {
			e.cfg.Log.Info("groupSize", "group", service, "members", after.Size(), "before", before.Size(), "listed", len(ids))
		}
	}
	for id, l := range e.absent {
		if !slices.Contains(e.rosters[l.Service].Absent(), id) {
			delete(e.absent, id)
		}
	}
}

// recorded returns the roster of a group that was not listed here before, as it is
// remembered. Of a remembered member that was exchanged and the new one only one counts.
func (e *Engine) recorded(service string) cwgroup.Roster {
	if e.cfg.Recorded == nil {
		return cwgroup.Roster{}
	}
	return cwgroup.Roster{}.WithAtLeast(e.cfg.Recorded(service))
}

// Members returns the members of each group, also those that are gone and keep their
// place.
func (e *Engine) Members() map[string][]cwport.Listing {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.muster(e.cfg.Clock.Now())
	out := make(map[string][]cwport.Listing)
	for _, l := range e.listings {
		out[l.Service] = append(out[l.Service], l)
	}
	for _, l := range e.absent {
		out[l.Service] = append(out[l.Service], l)
	}
	return out
}
