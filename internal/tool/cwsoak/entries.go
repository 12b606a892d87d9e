package cwsoak

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// reportEvery is how soon a target reports a change of its role.
const reportEvery = 50 * time.Millisecond

// entry is a target's entry in the list. The world's lock guards it.
type entry struct {
	listing cwport.Listing
	// lapsed is true while the list lacks it though the target may live.
	lapsed bool
}

// report writes a target's entry if it has changed.
func (w *world) report(g *group, id cwgroup.MemberID) error {
	role, up := g.Role(id)
	now := cwport.LeadershipReplica
	if role == cwgroup.RolePrimary {
		now = cwport.LeadershipPrimary
	}
	w.mu.Lock()
	e := g.entries[id]
	changed := up && !e.lapsed && e.listing.Role != now
	if changed {
		e.listing.Role = now
	}
	l := e.listing
	w.mu.Unlock()
	if !changed {
		return nil
	}
	return w.store.List(l)
}

// loopEntries lets the targets report how they see themselves.
func (w *world) loopEntries(ctx context.Context) {
	for pause(ctx, reportEvery) {
		for _, g := range w.groups {
			for _, id := range g.ids {
				if err := w.report(g, id); err != nil {
					w.cfg.Log.Error("entryNotWritten", "target", id, "cause", err)
				}
			}
		}
	}
}

// lapse takes a target's entry out of the list, and returns what writes it again.
func (w *world) lapse(g *group, id cwgroup.MemberID) (writeAgain func()) {
	w.setLapsed(g, id, true)
	w.store.Unlist(string(id))
	return func() { w.setLapsed(g, id, false) }
}

func (w *world) setLapsed(g *group, id cwgroup.MemberID, lapsed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := g.entries[id]
	e.lapsed, e.listing.Role = lapsed, cwport.LeadershipUnknown
}
