package cwengine

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwlimit"
	"cicadawalk.example/cicadawalk/internal/proxy/cwleadership"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// ContendedGroups implements cwport.DemandRecorder. Slots are divided where the catalogue
// has workspaces, and each group has several holders that run statements. With many
// groups, all instances forward to the first holder of a group.
func (e *Engine) ContendedGroups() []cwport.ContendedGroup {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if len(e.access.quotas) == 0 {
		return nil
	}
	var out []cwport.ContendedGroup
	for service, g := range e.groups {
		if p := e.plans[service]; p != nil && p.held && !p.capacity.ManyGroups && g.Contended() {
			out = append(out, cwport.ContendedGroup{Name: service, Capacity: p.capacity})
		}
	}
	return out
}

// Demand implements cwport.DemandRecorder.
func (e *Engine) Demand(group string) []cwport.MemberDemand {
	if g, ok := e.Group(group); ok {
		return g.Demand()
	}
	return nil
}

// RecordDemand implements cwport.DemandRecorder.
func (e *Engine) RecordDemand(group, holder string, members []cwport.MemberDemand, at time.Time) {
	if g, ok := e.Group(group); ok {
		g.RecordDemand(holder, members, at)
	}
}

// UpdateAdmissionMetrics sets the gauges of waiting statements and of slot shares.
func (e *Engine) UpdateAdmissionMetrics() {
	waiting, shares := make(map[int]int), make(map[memberLabel]int)
	for service, g := range e.runningGroups() {
		for _, m := range g.Demand() {
			addWaiting(waiting, m.Demand)
		}
		for member, n := range g.SlotShares() {
			shares[memberLabel{service, member}] = n
		}
	}
	e.cfg.Metrics.setAdmission(waiting, shares)
}

func addWaiting(sum map[int]int, d cwlimit.Demand) {
	for p, n := range d.Waiting {
		sum[p] += n
	}
}

// runningGroups returns the running groups by service.
func (e *Engine) runningGroups() map[string]*cwleadership.Group {
	e.mu.RLock()
	defer e.mu.RUnlock()
	out := make(map[string]*cwleadership.Group, len(e.groups))
	for service, g := range e.groups {
		out[service] = g.Group
	}
	return out
}

var _ cwport.DemandRecorder = (*Engine)(nil)
