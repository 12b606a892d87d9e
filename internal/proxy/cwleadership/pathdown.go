package cwleadership

import (
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
)

// typicalIsolationTime is the usual time until the load balancer sends the callers of a
// data centre that is cut off to others: two of its probes.
const typicalIsolationTime = 2 * time.Second

// pathDownError is the refusal of a statement that needs a member in another data centre
// while none answers. Waiting for the timeout of the statement would not help its
// caller.
func (g *Group) pathDownError(now time.Time, mayServeElsewhere bool) *NoPrimaryError {
	return &NoPrimaryError{
		Group: g.cfg.Service, Reason: "other data centres do not answer", MayServeElsewhere: mayServeElsewhere,
		RetryAfter: max(typicalDetectionTime, typicalIsolationTime-g.cfg.RemotePath.suspectedFor(now)),
	}
}

// majorityBehindPath reports whether a majority of the members can't be reached because
// other data centres do not answer. The caller holds mu.
func (g *Group) majorityBehindPath(now time.Time) bool {
	here := func(id cwgroup.MemberID) bool {
		m := g.members[id]
		return m != nil && !g.isRemote(m)
	}
	return !g.sup.View().Quorums().Decides(here) && g.cfg.RemotePath.Down(now)
}

// reachableOptions returns the targets without those in other data centres while these
// do not answer. As long as that is not certain, targets in other data centres are
// options if there are no others. The caller holds mu.
//
// A read that first tries a member behind a cut path waits for its timeout, although a
// member in this data centre has the data.
func (g *Group) reachableOptions(options []cwroute.ReadTarget, now time.Time) []cwroute.ReadTarget {
	if !g.cfg.RemotePath.Suspected() {
		return options
	}
	here := slices.DeleteFunc(slices.Clone(options), func(o cwroute.ReadTarget) bool { return o.Remote })
	if len(here) > 0 || g.cfg.RemotePath.Down(now) {
		return here
	}
	return options
}
