package cwengine

import (
	"context"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmembers"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// removeTarget removes a target from the list. The target may still be running, so it
// still counts as a member of its group. The caller holds mu.
func (e *Engine) removeTarget(id cwgroup.MemberID) {
	l, ok := e.listings.remove(id)
	if !ok {
		return
	}
	e.absentListings[id] = l
	e.memberships[l.Service] = e.memberships[l.Service].WithRemoved(id, l.Draining)
}

// updateMemberships brings all memberships up to date with the list of targets. The
// caller holds mu.
func (e *Engine) updateMemberships(now time.Time) {
	for _, service := range e.listings.services() {
		e.updateMembership(service, now)
	}
	e.pruneAbsentListings()
}

// updateMembership brings the membership of one service up to date with the list of
// targets. The caller holds mu.
func (e *Engine) updateMembership(service string, now time.Time) {
	if !e.listings.anyActive(service) {
		return
	}
	before, known := e.memberships[service]
	e.setMembership(service, before, known, e.newlyRecordedSize(service, known), now)
}

// refreshMemberships updates the memberships that may have changed since their last
// update, through time alone or through the stored rows. The caller holds mu.
//
// It skips the others, since each of hundreds of instances checks the members of a
// thousand groups once a second.
func (e *Engine) refreshMemberships(now time.Time) {
	for service := range e.listings.byService {
		if !e.listings.anyActive(service) {
			continue
		}
		before, known := e.memberships[service]
		n := e.newlyRecordedSize(service, known)
		if !known || n > 0 || before.ChangesWithTime() {
			e.setMembership(service, before, known, n, now)
		}
	}
	e.pruneAbsentListings()
}

// setMembership updates the membership of a service that has active targets. before is
// the previous membership, if known is true, and atLeast is the size that was newly
// read from the stored rows, or zero. The caller holds mu.
func (e *Engine) setMembership(service string, before cwgroup.Membership, known bool, atLeast int, now time.Time) {
	ids := e.listings.active(service)
	after := before
	if !known && !e.cfg.FirstStart {
		after = after.WithUnknownSize(now.Add(recordedSizeWait))
	}
	after = after.WithMinimumSize(atLeast).WithLeaving(e.listings.inactive(service)).WithListed(ids, now)
	e.memberships[service] = after
	if after.Size() != before.Size() && (known || e.groups[service] != nil) {
		e.cfg.Log.Info("groupSize", "group", service, "members", after.Size(), "before", before.Size(), "listed", len(ids), "known", after.SizeKnown())
	}
	if g := e.groups[service]; g != nil && after.StableSize() != before.StableSize() {
		g.SetSize(after.StableSize())
	}
}

// pruneAbsentListings removes the listings of targets that no longer count as members
// of their groups. The caller holds mu.
func (e *Engine) pruneAbsentListings() {
	for id, l := range e.absentListings {
		if !slices.Contains(e.memberships[l.Service].Absent(), id) {
			delete(e.absentListings, id)
		}
	}
}

// newlyRecordedSize returns the size of a group according to the stored rows if it has
// changed since the last call, and zero otherwise. known is true if the membership of
// the group was known before. The caller holds mu.
//
// It matters for an instance that starts after the store has lost the row of a group's
// members and while most of their entries have lapsed. That instance would take the
// one listed member for the whole group; if this is a replaced primary, it would then
// lead by itself. The row of the last change of primary has the size of the group at
// that time. For an instance that starts, that row may be older than the row of the
// members, so it counts only if there is no such row. Any instance that has been
// running since then writes the row of the members again.
func (e *Engine) newlyRecordedSize(service string, known bool) int {
	r := recordedSize{row: e.rows[service].GroupSize}
	if e.cfg.RecordedSize != nil {
		r.members = e.cfg.RecordedSize(service)
	}
	before := e.lastRecorded[service]
	e.lastRecorded[service] = r
	n := 0
	if r.members != before.members {
		n = r.members
	}
	if r.row != before.row && (known || r.members == 0) {
		n = max(n, r.row)
	}
	return n
}

// recordedSize is the size of a group according to the row of its members, and
// according to the row of its last change of primary; zero if there is no such row.
type recordedSize struct{ members, row int }

// recordedSizeWait is how long an instance that finds no stored size of a group waits
// for other instances, which know the size, to write it: several of their
// intervals. It is as long as lapsed entries may take to return.
const recordedSizeWait = 2500 * time.Millisecond

// loopMemberships updates the memberships and stops idle groups periodically.
func (e *Engine) loopMemberships(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-e.cfg.Clock.After(membershipInterval):
		case <-ctx.Done():
			return nil
		}
		e.mu.Lock()
		e.refreshMemberships(e.cfg.Clock.Now())
		e.stopIdleGroups()
		e.mu.Unlock()
	}
	return nil
}

// membershipInterval is the time between two updates.
const membershipInterval = time.Second

// Members returns the members of each group that this instance holds, by service,
// including those that are no longer listed and still count. It leaves out groups of
// which some members are not known.
func (e *Engine) Members() map[string]cwmembers.CountedMembers {
	e.mu.RLock()
	defer e.mu.RUnlock()
	absent := make(map[string][]cwport.ListedTarget)
	for _, l := range e.absentListings {
		absent[l.Service] = append(absent[l.Service], l)
	}
	out := make(map[string]cwmembers.CountedMembers)
	for service, p := range e.plans {
		if !p.held {
			continue
		}
		c := cwmembers.CountedMembers{Members: append(e.listings.forService(service), absent[service]...), StableSize: e.memberships[service].StableSize()}
		if len(c.Members) > 0 && len(c.Members) >= c.StableSize {
			out[service] = c
		}
	}
	return out
}
