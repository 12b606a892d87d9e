package cwengine

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/proxy/cwlead"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

type runningGroup struct {
	*cwlead.Group
	cancel context.CancelFunc
}

// plan is what is known of a group whether it is made or not.
type plan struct {
	contract cwcatalogue.Contract
	demand   cwholder.Demand
	// held is true if this instance holds the group, and place its place among the
	// holders; both by demand, if placed is true.
	placed, held bool
	place        int
}

// regroup plans the group of each service that an entry names, and makes those that
// are needed. The caller holds mu.
func (e *Engine) regroup() {
	before := e.plans
	e.plans = make(map[string]*plan, len(before))
	for _, entry := range e.entries.Shapes() {
		service := entry.Groups[0].Name
		p := &plan{contract: entry.Contract}
		if old := before[service]; old != nil {
			p.demand, p.placed, p.held, p.place = old.demand, old.placed, old.held, old.place
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
		e.replan(service, p)
	}
}

// replan brings a group's plan up to date with the list of its targets, and the group
// if it is made. The caller holds mu.
func (e *Engine) replan(service string, p *plan) {
	members := e.listings.of(service)
	if d := demandOf(p.contract, members, len(e.plans)); d != p.demand {
		p.demand, p.placed = d, false
	}
	if g := e.groups[service]; g != nil {
		g.SetMembers(members, e.memberships[service].Settled(), p.contract.Connections, p.contract.Synchronous)
	}
	e.rehold(service, p)
}

// demandOf returns what the targets of one of some groups take.
func demandOf(c cwcatalogue.Contract, members []cwport.Listing, groups int) cwholder.Demand {
	d := cwholder.Demand{Connections: c.Connections, Many: groups > cwholder.ManyGroups}
	for _, l := range members {
		d.Slots = max(d.Slots, l.Slots)
	}
	return d
}

// rehold makes a group if this instance holds it, tells it its place, and gets ready to
// hand over its statements. The caller holds mu.
func (e *Engine) rehold(service string, p *plan) {
	few := !p.demand.Many
	e.placePlan(service, p)
	if p.held || few {
		e.startGroup(service, p)
	}
	if e.cfg.Holders == nil {
		return
	}
	if g := e.groups[service]; g != nil {
		g.SetHeld(p.place, p.held)
	}
	if few {
		e.cfg.Holders.Connect(service, p.demand)
	}
}

// placePlan settles whether this instance holds a group. The caller holds mu.
func (e *Engine) placePlan(service string, p *plan) {
	switch {
	case e.cfg.Holders == nil:
		p.place, p.held = 0, true
	case p.demand.Many && p.demand.Slots == 0:
		// What its targets take is not known, and so neither is who holds it.
		p.place, p.held, p.placed = -1, false, false
	case !p.placed:
		p.place, p.held = e.cfg.Holders.Holds(service, p.demand)
		p.placed = true
	}
}

// startGroup makes a group that is not there and lets it run. The caller holds mu.
func (e *Engine) startGroup(service string, p *plan) *runningGroup {
	if g := e.groups[service]; g != nil {
		return g
	}
	ctx, cancel := context.WithCancel(e.run)
	g := &runningGroup{Group: e.cfg.NewGroup(service), cancel: cancel}
	e.groups[service] = g
	g.SetMembers(e.listings.of(service), e.memberships[service].Settled(), p.contract.Connections, p.contract.Synchronous)
	g.SetEra(e.era, e.restoredAt)
	if row, ok := e.rows[service]; ok {
		g.SetRow(row)
	}
	e.eg.Go(func() error { return g.Run(ctx) })
	return g
}

// stopGroup ends a group that is made. The caller holds mu.
func (e *Engine) stopGroup(service string) {
	g := e.groups[service]
	g.cancel()
	g.Close()
	delete(e.groups, service)
}

// idleGroup is how long no statement may come for a group, of many and held by others,
// until it is given up here: longer than any transaction.
const idleGroup = 2 * time.Minute

// stopIdle ends the groups that this instance neither holds nor uses. The caller holds mu.
//
// The load it answers: an instance before a thousand groups runs a statement by itself
// when no holder takes it, and in time has made all of them.
func (e *Engine) stopIdle() {
	for service, g := range e.groups {
		if p := e.plans[service]; p != nil && p.demand.Many && !p.held && g.Idle(idleGroup) {
			e.stopGroup(service)
		}
	}
}

// Rehold tells the groups anew whether this instance holds them.
func (e *Engine) Rehold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Holders == nil {
		return
	}
	for service, p := range e.plans {
		p.placed = false
		e.rehold(service, p)
	}
}

// SetRow takes the row of a service's group as it stands in the table. A group that
// is made later gets it then: an instance that starts can be told of it before it has
// read which services there are.
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

// SetEra takes the era of the platform's store. One after the first means that the
// store has come back from an older copy.
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

// Group returns the group of a service if it is made.
func (e *Engine) Group(service string) (*cwlead.Group, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	g, ok := e.groups[service]
	if !ok {
		return nil, false
	}
	return g.Group, true
}

// Groups returns how many groups there are, made or not.
func (e *Engine) Groups() int {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return len(e.plans)
}

// use returns the group of a service, and makes it if it is not there yet.
func (e *Engine) use(service string) (*cwlead.Group, bool) {
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
		g.SetHeld(p.place, p.held)
	}
	return g.Group, true
}

// entryNamed returns the entry that a caller names.
func (e *Engine) entryNamed(name string) (cwcatalogue.Entry, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.entries.Entry(name)
}

// demand returns what the group's targets take.
func (e *Engine) demand(group string) cwholder.Demand {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if p := e.plans[group]; p != nil {
		return p.demand
	}
	return cwholder.Demand{}
}

// Place returns this instance's place among the holders of a group, 0 where every
// instance holds it; false if it is none of them.
func (e *Engine) Place(group string) (int, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	p := e.plans[group]
	if p == nil {
		return 0, false
	}
	return p.place, p.held
}
