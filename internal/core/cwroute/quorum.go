package cwroute

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// ReadQuorum returns a mark at or above everything that was acknowledged before
// since, from what members other than the primary said. Every acknowledged record
// was held by the primary and one more member at least, so all members but one
// must have answered questions that were asked at since or later; the one that
// did not may be the primary. The second result is false if too few did, if one
// of them leads, or if a member does not count.
func ReadQuorum(v cwgroup.View, since time.Time, counts func(cwgroup.MemberID) bool) (cwgroup.Mark, bool) {
	primary, known := v.Primary()
	var top cwgroup.Mark
	heard := 0
	for _, r := range v.Reports() {
		switch {
		case known && r.Member == primary.Member:
			continue
		case r.At.Before(since) || !r.Reachable:
			continue
		case r.Role == cwgroup.RolePrimary && r.Adopted <= v.Replaced():
			// It does not know yet that it was replaced.
			continue
		case r.Role == cwgroup.RolePrimary || !counts(r.Member):
			return cwgroup.Mark{}, false
		}
		heard++
		if r.Last.AtLeast(top) {
			top = r.Last
		}
	}
	if n := v.Size(); n < 2 || heard < n-1 {
		return cwgroup.Mark{}, false
	}
	return top, true
}
