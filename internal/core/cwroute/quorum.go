package cwroute

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// QuorumReadPosition returns a log position at or above every record that was
// acknowledged before since, computed from the reports of the members other than
// the primary. Every acknowledged record is held by the primary and at least one
// more member, so all members but one must have reported at since or later; the
// missing one may be the primary. The second result is false if fewer have
// reported, if one of them is a primary that is not known to be replaced, or if
// eligible returns false for one of them.
func QuorumReadPosition(v cwgroup.View, since time.Time, eligible func(cwgroup.MemberID) bool) (cwgroup.LogPosition, bool) {
	primary, known := v.Primary()
	var top cwgroup.LogPosition
	reported := 0
	for _, r := range v.Reports() {
		switch {
		case known && r.Member == primary.Member:
			continue
		case r.At.Before(since) || !r.Reachable:
			continue
		case r.Role == cwgroup.RolePrimary && r.AdoptedTerm <= v.ReplacedTerm():
			// This member has been replaced as primary and doesn't know it yet.
			continue
		case r.Role == cwgroup.RolePrimary || !eligible(r.Member):
			return cwgroup.LogPosition{}, false
		}
		reported++
		if r.Durable.AtLeast(top) {
			top = r.Durable
		}
	}
	if n := v.Size(); n < 2 || reported < n-1 {
		return cwgroup.LogPosition{}, false
	}
	return top, true
}
