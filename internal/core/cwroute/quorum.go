package cwroute

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// QuorumReadPosition returns a log position at or above every record that was
// acknowledged before since, computed from the reports of the members other than
// the primary. The members that have reported at since or later must have one in common
// with every set on whose account a record was acknowledged, see cwgroup.Quorums.Covers;
// the primary may be missing. The second result is false if too few have
// reported, if one of them is a primary that is not known to be replaced, or if
// eligible returns false for one of them.
func QuorumReadPosition(v cwgroup.View, since time.Time, eligible func(cwgroup.MemberID) bool) (cwgroup.LogPosition, bool) {
	primary, known := v.Primary()
	var top cwgroup.LogPosition
	var reported []cwgroup.MemberID
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
		reported = append(reported, r.Member)
		if r.Durable.AtLeast(top) {
			top = r.Durable
		}
	}
	if !v.Quorums().Covers(cwgroup.SetOf(reported...)) {
		return cwgroup.LogPosition{}, false
	}
	return top, true
}
