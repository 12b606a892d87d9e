package cwleadership

import (
	"context"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwoutlier"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
)

// Read holds the freshness requirements of a read.
type Read struct {
	// ArrivedAt is when the read arrived.
	ArrivedAt time.Time
	// MaxAge is the maximum age of the data that the caller accepts.
	MaxAge time.Duration
	// LastWrite is the log position of the session's last write.
	LastWrite cwgroup.LogPosition
	// RefusedBy holds the members that refused the read.
	RefusedBy []cwgroup.MemberID
}

// holdUntil returns the time until which the read may wait for a replica to apply its
// floor: half of the time in which it must start, so that it can still be served
// elsewhere.
func (rd Read) holdUntil(deadline time.Time) time.Time {
	return rd.ArrivedAt.Add(deadline.Sub(rd.ArrivedAt) / 2)
}

// PlaceRead returns the member at which a read with a maximum age runs; it may be the
// primary. The target itself enforces the age, since it refuses a read whose floor it
// has not applied. If the best member is expected to apply the floor soon, PlaceRead
// waits for that. The error is a *NoPrimaryError.
func (g *Group) PlaceRead(ctx context.Context, rd Read, deadline time.Time) (Placement, error) {
	held := time.Duration(0)
	for {
		g.mu.Lock()
		now := g.cfg.Clock.Now()
		g.markUsed(now)
		floor, evidence, ok := g.readFloor(rd)
		if !ok {
			floor, ok = g.quorumFloor(rd)
			evidence = g.newEvidence(BasisMembers, rd.freshAsOf())
		}
		stale := rd.ArrivedAt.Sub(g.confirmedAt) > min(confirmRefreshAge, rd.MaxAge/2)
		changed := g.changed
		_, _, leaderErr := g.leader(now)
		down := g.majorityBehindPath(now)
		var place Placement
		var hold time.Duration
		var found bool
		if ok {
			place, hold, found = g.chooseMember(rd, floor, now, rd.holdUntil(deadline).Sub(now))
			place.Evidence, place.Held = evidence, held
		}
		g.mu.Unlock()
		if stale {
			g.requestConfirmation(rd.MaxAge, !found)
		}
		if hold > 0 && ctx.Err() == nil {
			g.sleep(ctx, hold)
			held += hold
			continue
		}
		if found {
			return place, nil
		}
		if ok {
			return Placement{}, &NoPrimaryError{Group: g.cfg.Service, Reason: "no member can serve the read", RetryAfter: typicalDetectionTime, MayServeElsewhere: down}
		}
		if leaderErr != nil && g.awaitQuorum(ctx, changed, rd, deadline) {
			continue
		}
		if leaderErr != nil || down || !g.awaitConfirmation(ctx, changed, deadline) {
			return Placement{}, &NoPrimaryError{
				Group: g.cfg.Service, Reason: "the age of the data is not known", RetryAfter: typicalDetectionTime, MayServeElsewhere: leaderErr != nil || down,
			}
		}
	}
}

// sleep waits for d or until ctx ends.
func (g *Group) sleep(ctx context.Context, d time.Duration) {
	t := g.cfg.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
	case <-ctx.Done():
	}
}

// readFloor returns the position that a log must reach to serve the read. The last
// result is false if no confirmed sample of the primary's log is recent enough. The
// caller holds mu.
//
// A position of an earlier term may lie on a branch that was rolled back, which no log
// will hold again. Everything of that term that was kept lies below the first record of
// this term, so any position of this term replaces it: the one that the maximum age
// requires if it is of this term, else termStart, which can be far newer.
func (g *Group) readFloor(rd Read) (cwgroup.LogPosition, Evidence, bool) {
	aged, at, ok := g.history.FirstSince(rd.ArrivedAt.Add(-rd.MaxAge))
	if !ok || at.After(g.confirmedAt) {
		return cwgroup.LogPosition{}, Evidence{}, false
	}
	evidence := g.newEvidence(BasisPrimary, at)
	seen := rd.LastWrite
	switch {
	case seen.Term >= g.term || seen == (cwgroup.LogPosition{}):
	case aged.Term == g.term:
		seen = aged
	default:
		seen = g.termStart
	}
	if seen.AtLeast(aged) {
		return seen, evidence, true
	}
	return aged, evidence, true
}

// newEvidence returns the evidence for a placement chosen now. The caller holds mu.
func (g *Group) newEvidence(b Basis, complete time.Time) Evidence {
	v := g.sup.View()
	p, _ := v.Primary()
	return Evidence{Basis: b, Leader: p.Member, ConfirmedAt: g.confirmedAt, CompleteAt: complete, GroupSize: v.Size()}
}

// chooseMember returns the member that is expected to answer the read first. If the
// second result is positive, the read is to wait for that time, of at most holdLimit,
// and be placed anew. The caller holds mu.
func (g *Group) chooseMember(rd Read, floor cwgroup.LogPosition, now time.Time, holdLimit time.Duration) (Placement, time.Duration, bool) {
	v := g.sup.View()
	primary, _ := v.Primary()
	if rd.LastWrite.Term == g.term {
		// Another instance may have written it. Its age counts from now on.
		g.applied.ObservePrimary(rd.LastWrite, now)
	}
	g.ejectOutliers(v, now)
	var options, ejected []cwroute.ReadTarget
	for id, m := range g.members {
		rep, known := v.Report(id)
		if m.Draining && id != primary.Member || slices.Contains(rd.RefusedBy, id) {
			continue
		}
		load := m.Pool.Load()
		o := cwroute.ReadTarget{
			Member: id, Remote: m.DataCentre != g.cfg.DataCentre, Primary: id == primary.Member,
			Wait: load.ExpectedWait, Latency: load.Latency, InFlight: load.InFlight + load.Waiting, Slots: m.Slots,
		}
		switch standing := g.outliers.Standing(id, now); {
		case standing == cwoutlier.Admitted:
			options = append(options, o)
		case known && !rep.Reachable && (o.Primary || !g.outliers.HealthDoubted(id)):
			// A primary that can't be reached is replaced; a trial there would only
			// fail a read.
		case standing == cwoutlier.TrialDue && (o.Primary || g.applied.Behind(id, floor, now) <= cwroute.MaxBehind):
			g.outliers.BeginTrial(id, now)
			return g.newReadPlacement(id, primary, floor), 0, true
		case !known || rep.Reachable:
			ejected = append(ejected, o)
		}
	}
	options, ejected = g.reachableOptions(options, now), g.reachableOptions(ejected, now)
	o, ok := g.applied.Fastest(options, floor, now, holdLimit)
	if (!ok || o.Hold == 0 && o.Behind > likelyBehind) && len(ejected) > 0 {
		o, ok = g.applied.Fastest(append(options, ejected...), floor, now, holdLimit)
	}
	if !ok {
		return Placement{}, 0, false
	}
	return g.newReadPlacement(o.Member, primary, floor), o.Hold, true
}

// likelyBehind is the probability that the best member lacks the floor from which a
// member that is ejected may serve the read.
const likelyBehind = 0.5

// newReadPlacement returns the placement of a read at a member. The caller holds mu.
func (g *Group) newReadPlacement(id cwgroup.MemberID, primary cwgroup.Report, floor cwgroup.LogPosition) Placement {
	return Placement{Member: *g.members[id], Term: primary.AdoptedTerm, Primary: id == primary.Member, Floor: floor}
}
