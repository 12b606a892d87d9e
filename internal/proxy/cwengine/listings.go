package cwengine

import (
	"maps"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// targetList is the list of targets that the platform publishes. The zero value is an
// empty list.
type targetList struct {
	byID map[cwgroup.MemberID]cwport.ListedTarget
	// byService has the ids of each service's targets in ascending order. Each target
	// is in exactly one of the lists, and no list is empty.
	byService map[string][]cwgroup.MemberID
}

// set adds a target or replaces its listing.
func (l *targetList) set(t cwport.ListedTarget) {
	if l.byID == nil {
		l.byID = make(map[cwgroup.MemberID]cwport.ListedTarget)
		l.byService = make(map[string][]cwgroup.MemberID)
	}
	if before, ok := l.byID[t.ID]; !ok || before.Service != t.Service {
		l.remove(t.ID)
		ids := l.byService[t.Service]
		at, _ := slices.BinarySearch(ids, t.ID)
		l.byService[t.Service] = slices.Insert(ids, at, t.ID)
	}
	l.byID[t.ID] = t
}

// withDrainingSince returns a listing with the time at which this instance learnt that its target is
// draining: now, unless the target was draining in l already.
func (l *targetList) withDrainingSince(t cwport.ListedTarget, now time.Time) cwport.ListedTarget {
	before, ok := l.byID[t.ID]
	switch {
	case !t.Draining:
		t.DrainingSince = time.Time{}
	case ok && before.Draining:
		t.DrainingSince = before.DrainingSince
	default:
		t.DrainingSince = now
	}
	return t
}

// remove removes a target. It returns the listing, and false if there was none.
func (l *targetList) remove(id cwgroup.MemberID) (cwport.ListedTarget, bool) {
	t, ok := l.byID[id]
	if !ok {
		return cwport.ListedTarget{}, false
	}
	delete(l.byID, id)
	ids := slices.DeleteFunc(slices.Clone(l.byService[t.Service]), func(o cwgroup.MemberID) bool { return o == id })
	l.byService[t.Service] = ids
	if len(ids) == 0 {
		delete(l.byService, t.Service)
	}
	return t, true
}

// forService returns the targets of a service, ordered by id.
func (l *targetList) forService(service string) []cwport.ListedTarget {
	out := make([]cwport.ListedTarget, 0, len(l.byService[service]))
	for _, id := range l.byService[service] {
		out = append(out, l.byID[id])
	}
	return out
}

// active returns the targets of a service that are not draining and whose entries are
// present, ordered by id.
func (l *targetList) active(service string) []cwgroup.MemberID {
	var out []cwgroup.MemberID
	for _, id := range l.byService[service] {
		if isActive(l.byID[id]) {
			out = append(out, id)
		}
	}
	return out
}

// inactive returns how many targets of a service are draining, and how many of the others have no
// entry at present.
func (l *targetList) inactive(service string) (draining, lapsed int) {
	for _, id := range l.byService[service] {
		switch t := l.byID[id]; {
		case t.Draining:
			draining++
		case t.EntryMissing:
			lapsed++
		}
	}
	return draining, lapsed
}

// anyActive reports whether a service has a target that is not draining and whose entry
// is present.
func (l *targetList) anyActive(service string) bool {
	return slices.ContainsFunc(l.byService[service], func(id cwgroup.MemberID) bool { return isActive(l.byID[id]) })
}

// isActive reports whether a target is not draining and its entry is present.
func isActive(t cwport.ListedTarget) bool { return !t.Draining && !t.EntryMissing }

// services returns the services that have targets, in no particular order.
func (l *targetList) services() []string { return slices.Collect(maps.Keys(l.byService)) }
