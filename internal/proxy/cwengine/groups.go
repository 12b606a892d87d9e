package cwengine

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/proxy/cwleadership"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// runningGroup is a group with the function that stops its background work.
type runningGroup struct {
	*cwleadership.Group
	cancel context.CancelFunc
}

// groupPlan is what the engine knows about a group, whether the group is running or
// not.
type groupPlan struct {
	contract cwcatalogue.Contract
	capacity cwholder.TargetCapacity
	// held is true if this instance holds the group, and rank is its rank among the
	// holders, counted from 0. Both follow from capacity and are valid if
	// placementKnown is true.
	placementKnown, held bool
	rank                 int
}

// updateGroups rebuilds the plans from the catalogue, stops the groups that no entry
// names any more, and updates the others. The caller holds mu.
func (e *Engine) updateGroups() {
	previous := e.plans
	e.plans = make(map[string]*groupPlan, len(previous))
	for _, entry := range e.entries.Templates() {
		service := entry.Groups[0].Name
		p := &groupPlan{contract: entry.Contract}
		if old := previous[service]; old != nil {
			p.capacity, p.placementKnown, p.held, p.rank = old.capacity, old.placementKnown, old.held, old.rank
		}
		e.plans[service] = p
	}
	e.updateMemberships(e.cfg.Clock.Now())
	for service := range e.groups {
		if e.plans[service] == nil {
			e.stopGroup(service)
		}
	}
	for service, p := range e.plans {
		e.updateGroup(service, p)
	}
}

// updateGroup brings the plan of a group up to date with the list of its targets,
// and the group too if it is running. The caller holds mu.
func (e *Engine) updateGroup(service string, p *groupPlan) {
	members := e.listings.forService(service)
	if d := capacityOf(p.contract, members, len(e.plans)); d != p.capacity {
		p.capacity, p.placementKnown = d, false
	}
	if g := e.groups[service]; g != nil {
		g.SetMembers(members, e.memberships[service].StableSize(), p.contract.Connections)
	}
	e.updateHolding(service, p)
}

// capacityOf returns the capacity of the members of a group, out of the given number
// of groups.
func capacityOf(c cwcatalogue.Contract, members []cwport.ListedTarget, groups int) cwholder.TargetCapacity {
	d := cwholder.TargetCapacity{Connections: c.Connections, ManyGroups: groups > cwholder.ManyGroupsThreshold}
	for _, l := range members {
		d.Slots = max(d.Slots, l.Slots)
	}
	return d
}

// updateHolding determines whether this instance holds a group and starts the group
// if it does, or if there are few groups. It also passes the rank to the group and
// prepares the connections to its holders. The caller holds mu.
func (e *Engine) updateHolding(service string, p *groupPlan) {
	few := !p.capacity.ManyGroups
	e.updatePlacement(service, p)
	if p.held || few {
		e.startGroup(service, p)
	}
	if e.cfg.Holders == nil {
		return
	}
	if g := e.groups[service]; g != nil {
		g.SetHeld(p.rank, p.held)
	}
	if few {
		e.cfg.Holders.Connect(service, p.capacity)
	}
}

// updatePlacement determines whether this instance holds a group, and its rank among
// the holders. The caller holds mu.
func (e *Engine) updatePlacement(service string, p *groupPlan) {
	switch {
	case e.cfg.Holders == nil:
		p.rank, p.held = 0, true
	case p.capacity.ManyGroups && p.capacity.Slots == 0:
		// The capacity depends on the targets, which are not known yet, so the
		// holders cannot be determined.
		p.rank, p.held, p.placementKnown = -1, false, false
	case !p.placementKnown:
		p.rank, p.held = e.cfg.Holders.HolderRank(service, p.capacity)
		p.placementKnown = true
	}
}

// startGroup starts a group unless it is running. The caller holds mu.
func (e *Engine) startGroup(service string, p *groupPlan) *runningGroup {
	if g := e.groups[service]; g != nil {
		return g
	}
	ctx, cancel := context.WithCancel(e.runCtx)
	g := &runningGroup{Group: e.cfg.NewGroup(service), cancel: cancel}
	e.groups[service] = g
	g.SetMembers(e.listings.forService(service), e.memberships[service].StableSize(), p.contract.Connections)
	g.SetEra(e.era, e.restoredAt)
	if row, ok := e.rows[service]; ok {
		g.SetRow(row)
	}
	e.eg.Go(func() error { return g.Run(ctx) })
	return g
}

// stopGroup stops a running group. The caller holds mu.
func (e *Engine) stopGroup(service string) {
	g := e.groups[service]
	g.cancel()
	g.Close()
	delete(e.groups, service)
}

// groupIdleTimeout is the time without statements after which a group is stopped, if
// it is one of many and other instances hold it. It is longer than any transaction.
const groupIdleTimeout = 2 * time.Minute

// stopIdleGroups stops the groups that this instance neither holds nor uses. The
// caller holds mu.
//
// An instance with a thousand groups runs a statement itself when no holder accepts
// it, and over time would have started all of them.
func (e *Engine) stopIdleGroups() {
	for service, g := range e.groups {
		if p := e.plans[service]; p != nil && p.capacity.ManyGroups && !p.held && g.Idle(groupIdleTimeout) {
			e.stopGroup(service)
		}
	}
}

// RefreshHolders determines again which groups this instance holds, and which instances
// path reports are exchanged with, after the list of instances has changed.
func (e *Engine) RefreshHolders() {
	if e.path != nil {
		e.path.instancesChanged()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Holders == nil {
		return
	}
	for service, p := range e.plans {
		p.placementKnown = false
		e.updateHolding(service, p)
	}
}

// SetRow records the stored failover row of a service's group. A group that starts
// later gets it then, because an instance that starts may receive the row before it
// has read which services exist. A row of an older term than the known one is not
// kept.
func (e *Engine) SetRow(service string, row cwfailover.Row) {
	e.mu.Lock()
	g := e.groups[service]
	if row.Term >= e.rows[service].Term {
		e.rows[service] = row
	}
	e.mu.Unlock()
	if g != nil {
		g.SetRow(row)
	}
}

// SetEra records the era of the platform's store. An era later than the first one
// means that the store was restored from an older copy.
func (e *Engine) SetEra(era uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.eraKnown && era > e.era {
		e.restoredAt = e.cfg.Clock.Now()
	}
	e.era, e.eraKnown = era, true
	for _, g := range e.groups {
		g.SetEra(era, e.restoredAt)
	}
}

// Group returns the group of a service, and false if it is not running.
func (e *Engine) Group(service string) (*cwleadership.Group, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	g, ok := e.groups[service]
	if !ok {
		return nil, false
	}
	return g.Group, true
}

// GroupCount returns the number of groups in the catalogue, running or not.
func (e *Engine) GroupCount() int {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return len(e.plans)
}

// groupForStatement returns the group of a service for a statement that runs here, and
// starts it if it is not running. A group that comes into use first learns from other
// holders what they know. It returns false if no entry names the service.
func (e *Engine) groupForStatement(service string) (*cwleadership.Group, bool) {
	g, ok := e.ensureGroup(service)
	if ok {
		g.AwaitReports(e.runCtx)
	}
	return g, ok
}

// ensureGroup returns the group of a service and starts it if it is not running. It
// returns false if no entry names the service.
func (e *Engine) ensureGroup(service string) (*cwleadership.Group, bool) {
	if g, ok := e.Group(service); ok {
		return g, true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.plans[service]
	if p == nil {
		return nil, false
	}
	g := e.startGroup(service, p)
	if e.cfg.Holders != nil {
		g.SetHeld(p.rank, p.held)
	}
	return g.Group, true
}

// findEntry returns the entry with the name that a caller gave.
func (e *Engine) findEntry(name string) (cwcatalogue.Entry, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.entries.Entry(name)
}

// capacity returns the capacity of a group's members; zero if the group is not known.
func (e *Engine) capacity(group string) cwholder.TargetCapacity {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if p := e.plans[group]; p != nil {
		return p.capacity
	}
	return cwholder.TargetCapacity{}
}

// HolderRank returns the rank of this instance among the holders of a group, counted
// from 0, and false if it does not hold the group. The rank is 0 where every instance
// holds every group.
func (e *Engine) HolderRank(group string) (int, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	p := e.plans[group]
	if p == nil {
		return 0, false
	}
	return p.rank, p.held
}
