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

// readAttempt is the result of an attempt to place a read.
type readAttempt struct {
	// place is valid if found is true. If hold is positive, the read is to wait for that
	// time and be placed anew.
	place Placement
	found bool
	hold  time.Duration
	// floorKnown is true if the position is known that a member's log must reach.
	floorKnown bool
	// stale is true if a confirmation is to be requested.
	stale bool
	// leaderErr is why there is no primary; nil if there is one. down is true if a
	// majority can't be reached because other data centres do not answer.
	leaderErr error
	down      bool
	// changed is closed when the view changes.
	changed <-chan struct{}
}

// PlaceRead returns the member at which a read with a maximum age runs; it may be the
// primary. The target itself enforces the age, since it refuses a read whose floor it
// has not applied. If the best member is expected to apply the floor soon, PlaceRead
// waits for that. The error is a *NoPrimaryError.
func (g *Group) PlaceRead(ctx context.Context, rd Read, deadline time.Time) (Placement, error) {
	held := time.Duration(0)
	for {
		a := g.tryPlaceRead(rd, deadline)
		if a.stale {
			g.requestConfirmation(rd.MaxAge, !a.found)
		}
		if a.hold > 0 && ctx.Err() == nil {
			g.sleep(ctx, a.hold)
			held += a.hold
			continue
		}
		if a.found {
			a.place.Held = held
			return a.place, nil
		}
		if a.floorKnown {
			return Placement{}, &NoPrimaryError{Group: g.cfg.Service, Reason: "no member can serve the read", RetryAfter: typicalDetectionTime, MayServeElsewhere: a.down}
		}
		if a.leaderErr != nil && g.awaitQuorum(ctx, a.changed, rd, deadline) {
			continue
		}
		if a.leaderErr != nil || a.down || !g.awaitConfirmation(ctx, a.changed, deadline) {
			return Placement{}, &NoPrimaryError{
				Group: g.cfg.Service, Reason: "the age of the data is not known", RetryAfter: typicalDetectionTime, MayServeElsewhere: a.leaderErr != nil || a.down,
			}
		}
	}
}

// tryPlaceRead places a read by what is known now.
func (g *Group) tryPlaceRead(rd Read, deadline time.Time) readAttempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	g.markUsed(now)
	floor, evidence, ok := g.readFloor(rd)
	if !ok {
		floor, ok = g.quorumFloor(rd)
		evidence = g.newEvidence(BasisMembers, rd.freshAsOf())
	}
	a := readAttempt{
		floorKnown: ok, stale: rd.ArrivedAt.Sub(g.confirmedAt) > min(confirmRefreshAge, rd.MaxAge/2),
		down: g.majorityBehindPath(now), changed: g.changed,
	}
	_, _, a.leaderErr = g.leader(now)
	if ok {
		a.place, a.hold, a.found = g.chooseMember(rd, floor, now, rd.holdUntil(deadline).Sub(now))
		a.place.Evidence = evidence
	}
	return a
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
	suspected := g.cfg.RemotePath.Suspected()
	var options, ejected []cwroute.ReadTarget
	for id, m := range g.members {
		rep, known := v.Report(id)
		if m.Draining && (id != primary.Member || g.servesNoLonger(m, now)) || slices.Contains(rd.RefusedBy, id) {
			continue
		}
		o := g.readTarget(m, id == primary.Member)
		switch standing := g.outliers.Standing(id, now); {
		case standing == cwoutlier.Admitted:
			options = append(options, o)
		case known && !rep.Reachable && (o.Primary || !g.outliers.HealthDoubted(id)):
			// A primary that can't be reached is replaced; a trial there would only
			// fail a read.
		case standing == cwoutlier.TrialDue && !(o.Remote && suspected) && (o.Primary || g.applied.Behind(id, floor, now) <= cwroute.MaxBehind):
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

// readTarget describes a member as a target of reads.
func (g *Group) readTarget(m *Member, primary bool) cwroute.ReadTarget {
	load := m.Pool.Load()
	return cwroute.ReadTarget{
		Member: m.ID, Remote: g.isRemote(m), Primary: primary,
		Wait: load.ExpectedWait, Latency: load.Latency, InFlight: load.InFlight + load.Waiting, Slots: m.Slots,
	}
}

// likelyBehind is the probability that the best member lacks the floor from which a
// member that is ejected may serve the read.
const likelyBehind = 0.5

// newReadPlacement returns the placement of a read at a member. The caller holds mu.
func (g *Group) newReadPlacement(id cwgroup.MemberID, primary cwgroup.Report, floor cwgroup.LogPosition) Placement {
	return Placement{Member: *g.members[id], Term: primary.AdoptedTerm, Primary: id == primary.Member, Floor: floor}
}
