package cwengine

import (
	"maps"
	"slices"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// listings are the targets that the platform lists. The zero value has none.
type listings struct {
	byID map[cwgroup.MemberID]cwport.Listing
	// byService has the ids of each service's targets, in order. Each target is in one
	// list, and no list is empty.
	byService map[string][]cwgroup.MemberID
}

// put takes a target that is new or has changed.
func (l *listings) put(t cwport.Listing) {
	if l.byID == nil {
		l.byID = make(map[cwgroup.MemberID]cwport.Listing)
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

// remove takes a target out, and returns it if it was there.
func (l *listings) remove(id cwgroup.MemberID) (cwport.Listing, bool) {
	t, ok := l.byID[id]
	if !ok {
		return cwport.Listing{}, false
	}
	delete(l.byID, id)
	ids := slices.DeleteFunc(slices.Clone(l.byService[t.Service]), func(o cwgroup.MemberID) bool { return o == id })
	l.byService[t.Service] = ids
	if len(ids) == 0 {
		delete(l.byService, t.Service)
	}
	return t, true
}

// of returns a service's targets.
func (l *listings) of(service string) []cwport.Listing {
	out := make([]cwport.Listing, 0, len(l.byService[service]))
	for _, id := range l.byService[service] {
		out = append(out, l.byID[id])
	}
	return out
}

// staying returns those of a service's targets that stay and whose entries are there.
func (l *listings) staying(service string) []cwgroup.MemberID {
	var out []cwgroup.MemberID
	for _, id := range l.byService[service] {
		if stays(l.byID[id]) {
			out = append(out, id)
		}
	}
	return out
}

// anyStays reports whether there are any.
func (l *listings) anyStays(service string) bool {
	return slices.ContainsFunc(l.byService[service], func(id cwgroup.MemberID) bool { return stays(l.byID[id]) })
}

func stays(t cwport.Listing) bool { return !t.Leaving && !t.Lapsed }

// services returns the services that have targets.
func (l *listings) services() []string { return slices.Collect(maps.Keys(l.byService)) }
