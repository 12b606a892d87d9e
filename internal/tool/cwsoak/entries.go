package cwsoak

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// roleReportInterval is the interval at which targets report a change of their role.
const roleReportInterval = 50 * time.Millisecond

// entry is a target's entry in the store. It is guarded by environment.mu, but for ended.
type entry struct {
	listing cwport.ListedTarget
	// ended is true once the target has ended for good. It is guarded by group.mu.
	ended bool
	// lapsed is true while the entry is missing from the store although the target
	// may be running.
	lapsed bool
}

// reportRole writes a target's entry if its role has changed and the target is up.
func (env *environment) reportRole(g *group, id cwgroup.MemberID) error {
	role, up := g.Role(id)
	now := cwport.RoleReplica
	if role == cwgroup.RolePrimary {
		now = cwport.RolePrimary
	}
	env.mu.Lock()
	e := g.entry(id)
	changed := up && !e.lapsed && e.listing.Role != now
	if changed {
		e.listing.Role = now
	}
	l := e.listing
	env.mu.Unlock()
	if !changed {
		return nil
	}
	return env.store.PutEntry(l)
}

// runRoleReports makes the targets report changes of their role until ctx ends.
func (env *environment) runRoleReports(ctx context.Context) {
	for sleep(ctx, roleReportInterval) {
		for _, g := range env.groups {
			for _, id := range g.allTargets() {
				if err := env.reportRole(g, id); err != nil {
					env.cfg.Log.Error("entryNotWritten", "target", id, "cause", err)
				}
			}
		}
	}
}

// lapseEntry removes a target's entry from the store. The returned function lets the
// target write it again.
func (env *environment) lapseEntry(g *group, id cwgroup.MemberID) (writeAgain func()) {
	env.setLapsed(g, id, true)
	env.store.RemoveEntry(string(id))
	return func() { env.setLapsed(g, id, false) }
}

// setLapsed sets whether an entry has lapsed, and clears its role, so that the next
// report writes it.
func (env *environment) setLapsed(g *group, id cwgroup.MemberID, lapsed bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	e := g.entry(id)
	e.lapsed, e.listing.Role = lapsed, cwport.RoleUnknown
}

// announceLeaving writes that a target is leaving.
func (env *environment) announceLeaving(g *group, id cwgroup.MemberID) {
	env.mu.Lock()
	e := g.entry(id)
	e.listing.Draining = true
	l, lapsed := e.listing, e.lapsed
	env.mu.Unlock()
	if lapsed {
		return
	}
	if err := env.store.PutEntry(l); err != nil {
		env.cfg.Log.Error("entryNotWritten", "target", id, "cause", err)
	}
}

// dataCentreOf returns the data centre of a target.
func (env *environment) dataCentreOf(g *group, id cwgroup.MemberID) string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return g.entry(id).listing.DataCentre
}
