package cwengine

import (
	"context"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmembers"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// takeOut takes a target that is gone out of the list. It may live all the same, and
// keeps its place in its group. The caller holds mu.
func (e *Engine) takeOut(id cwgroup.MemberID) {
	l, ok := e.listings.remove(id)
	if !ok {
		return
	}
	e.absent[id] = l
	e.memberships[l.Service] = e.memberships[l.Service].WithGone(id, l.Leaving)
}

// updateMemberships brings all memberships up to date with the list of targets. The
// caller holds mu.
func (e *Engine) updateMemberships(now time.Time) {
	for _, service := range e.listings.services() {
		e.updateMembership(service, now)
	}
	e.forgetAbsent()
}

// updateMembership does so with one service's. The caller holds mu.
func (e *Engine) updateMembership(service string, now time.Time) {
	if !e.listings.anyStays(service) {
		return
	}
	before, known := e.memberships[service]
	e.setMembership(service, before, known, e.newlyRecorded(service, known), now)
}

// tickMemberships brings those up to date that time, or what is remembered in the
// table, may have changed since they were last. The caller holds mu.
//
// The load it answers: the members of a thousand groups, looked at once a second by each
// of hundreds of instances.
func (e *Engine) tickMemberships(now time.Time) {
	for service := range e.listings.byService {
		if !e.listings.anyStays(service) {
			continue
		}
		before, known := e.memberships[service]
		n := e.newlyRecorded(service, known)
		if !known || n > 0 || before.Pending() {
			e.setMembership(service, before, known, n, now)
		}
	}
	e.forgetAbsent()
}

// setMembership sets the membership of a service of which targets stay. Before is what it
// was, if it was known, and atLeast how many members it has by what is newly remembered.
// The caller holds mu.
func (e *Engine) setMembership(service string, before cwgroup.Membership, known bool, atLeast int, now time.Time) {
	ids := e.listings.staying(service)
	after := before
	if !known && !e.cfg.FirstStart {
		after = after.WithUnknownSize(now.Add(recordedWait))
	}
	after = after.WithAtLeast(atLeast).WithListed(ids, now)
	e.memberships[service] = after
	if after.Size() != before.Size() && (known || e.groups[service] != nil) {
		e.cfg.Log.Info("groupSize", "group", service, "members", after.Size(), "before", before.Size(), "listed", len(ids), "known", after.Known())
	}
	if g := e.groups[service]; g != nil && after.Settled() != before.Settled() {
		g.SetSize(after.Settled())
	}
}

// forgetAbsent forgets the targets that are gone and have lost their places. The caller
// holds mu.
func (e *Engine) forgetAbsent() {
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
		e.tickMemberships(e.cfg.Clock.Now())
		e.stopIdle()
		e.mu.Unlock()
	}
	return nil
}

// membershipStep is how often they are looked at.
const membershipStep = time.Second

// Members returns the members of each group that this instance holds, also those that
// are gone and keep their place. Groups of which not all are known are left out.
func (e *Engine) Members() map[string]cwmembers.Count {
	e.mu.RLock()
	defer e.mu.RUnlock()
	absent := make(map[string][]cwport.Listing)
	for _, l := range e.absent {
		absent[l.Service] = append(absent[l.Service], l)
	}
	out := make(map[string]cwmembers.Count)
	for service, p := range e.plans {
		if !p.held {
			continue
		}
		c := cwmembers.Count{Members: append(e.listings.of(service), absent[service]...), Of: e.memberships[service].Settled()}
		if len(c.Members) > 0 && len(c.Members) >= c.Of {
			out[service] = c
		}
	}
	return out
}
