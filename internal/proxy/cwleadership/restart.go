package cwleadership

import (
	"context"
	"fmt"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwclaim"
)

// Timeouts and intervals after restarts.
const (
	// rowTimeout bounds one request for the group's row, and rowRetryInterval is the
	// wait before the next one. An unavailable store is asked twice a second, as for
	// the desired state.
	rowTimeout       = 500 * time.Millisecond
	rowRetryInterval = 500 * time.Millisecond
	// missingRecordsTimeout is how long a restarted member's fence doesn't count while
	// its log lacks earlier records. A primary that crashed is back sooner, and a
	// running one has sent the missing records by then. After that the member counts
	// again, so that two failures don't make the group unavailable for good.
	missingRecordsTimeout = 10 * time.Second
)

// restart is the state of a member that started again under the same id. The member has
// forgotten any fence, and may have lost records that were acknowledged because it held
// them.
type restart struct {
	// detectedAt is when this proxy detected the restart. Reports requested earlier may
	// be from before it.
	detectedAt time.Time
	// fenceUnchecked is true until the group's row, read after detectedAt, shows no
	// change of primary for which the member may have been fenced.
	fenceUnchecked bool
	// requiredPosition is the log position that the member must reach again: that of the
	// primary at the restart. It is zero once the member has reached it.
	requiredPosition cwgroup.LogPosition
}

// MissingRecordsError reports a restarted member whose log lacks records that it may
// have had before.
type MissingRecordsError struct {
	Member cwgroup.MemberID
	// End is the end of its log, Required the position that it must reach.
	End, Required cwgroup.LogPosition
}

func (e *MissingRecordsError) Error() string {
	return fmt.Sprintf("%s restarted and its log ends at %s, before the required %s", e.Member, e.End, e.Required)
}

// recordRestart records that a member has started again under the same id. The caller
// holds mu.
//
// A fenced replica that restarts has forgotten its fence and follows the primary that
// was replaced. An instance that reaches only these two members would confirm the old
// primary, serve stale reads, and acknowledge writes that no other member has. A
// replica can also have lost a record that was acknowledged on its report; if the
// primary is then lost, the majority that is fenced lacks the record.
//
// Against both, everything that the member reported before the restart is discarded.
// The member counts towards no confirmation or acknowledgement until the group's row,
// read after the restart, shows that no change of primary had fenced it; a row that may
// have been lost in a restore of the table doesn't count. Its fence counts once its log
// has reached the position of the primary.
func (g *Group) recordRestart(id cwgroup.MemberID, reason string) {
	now := g.cfg.Clock.Now()
	rs := restart{detectedAt: now, fenceUnchecked: true, requiredPosition: g.restarts[id].requiredPosition}
	if p, ok := g.sup.View().Primary(); ok && p.Durable.AtLeast(rs.requiredPosition) {
		rs.requiredPosition = p.Durable
	}
	g.cfg.Log.Warn("targetRestarted", "group", g.cfg.Service, "target", id, "why", reason, "owed", rs.requiredPosition)
	g.restarts[id] = rs
	g.confirmedAt = time.Time{}
	g.logProgress[id] = &logProgress{}
	delete(g.lastHealth, id)
	g.applied.Forget(id)
	g.outliers.Remove(id)
	g.sup.MemberRestarted(id, now)
	g.members[id].Pool.CloseIdleBefore(now)
	g.notify()
	go g.runFenceCheck(id, now)
}

// isRestart reports whether two start times of a member are of different starts. Clocks
// can be set back, so any difference counts.
func isRestart(before, after time.Time) bool {
	return !before.IsZero() && !after.IsZero() && !before.Equal(after)
}

// logShrank reports whether a member's log is shorter than in an earlier report of the
// same term, and records the new position. Only a restart shortens a log within a term.
// The answer to a request that was sent before the last answer arrived is not compared,
// since the two may have overtaken each other. The caller holds mu.
func (g *Group) logShrank(id cwgroup.MemberID, term cwgroup.Term, received cwgroup.LogPosition, sentAt time.Time) bool {
	s := g.logProgress[id]
	if s == nil || sentAt.Before(s.reportedAt) {
		return false
	}
	shrank := !s.reportedAt.IsZero() && term <= s.reportedTerm && !received.AtLeast(s.reported)
	s.reportedAt, s.reportedTerm, s.reported = g.cfg.Clock.Now(), term, received
	return shrank
}

// adjustAfterRestart returns the part of a report that counts after the member's
// restart; false if nothing of it counts. The caller holds mu.
func (g *Group) adjustAfterRestart(r cwgroup.Report) (cwgroup.Report, bool) {
	rs, ok := g.restarts[r.Member]
	if !ok {
		return r, true
	}
	if r.At.Before(rs.detectedAt) {
		return r, false
	}
	if r.Durable.AtLeast(rs.requiredPosition) {
		rs.requiredPosition = cwgroup.LogPosition{}
		g.restarts[r.Member] = rs
	}
	incomplete := rs.requiredPosition != cwgroup.LogPosition{}
	switch {
	case r.Role == cwgroup.RolePrimary && rs.fenceUnchecked:
		return r, false
	case r.Role == cwgroup.RolePrimary && incomplete:
		// The primary's log lacks records that it has acknowledged; another member has
		// them.
		r.Role = cwgroup.RoleFenced
	case rs.fenceUnchecked:
		r.AdoptedTerm = 0
	case !incomplete:
		delete(g.restarts, r.Member)
	}
	return r, true
}

// runFenceCheck reads the group's row until it shows that a restarted member can't have
// forgotten a fence, or the check is no longer needed.
func (g *Group) runFenceCheck(id cwgroup.MemberID, detectedAt time.Time) {
	for !g.checkFenceInRow(id, detectedAt) {
		g.cfg.Clock.Sleep(rowRetryInterval)
	}
}

// checkFenceInRow reads the row once. It returns true if the check is finished or no
// longer needed.
func (g *Group) checkFenceInRow(id cwgroup.MemberID, detectedAt time.Time) bool {
	ctx, cancel := context.WithTimeout(context.Background(), rowTimeout)
	defer cancel()
	row, _, err := cwclaim.Store{Table: g.cfg.Table, Group: g.cfg.Service}.Read(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if rs, ok := g.restarts[id]; !ok || rs.detectedAt != detectedAt || g.closed {
		return true
	}
	if err != nil {
		g.cfg.Log.Debug("restartUnchecked", "group", g.cfg.Service, "target", id, "cause", err)
		return false
	}
	g.observeRow(row)
	primary := id
	if p, ok := g.sup.View().Primary(); ok {
		primary = p.Member
	}
	if !row.Done || row.Primary != "" && row.Primary != primary || g.rowMayBeLost(g.cfg.Clock.Now()) {
		return false
	}
	rs := g.restarts[id]
	rs.fenceUnchecked = false
	g.restarts[id] = rs
	g.cfg.Log.Info("restartChecked", "group", g.cfg.Service, "target", id, "afterMs", g.cfg.Clock.Since(detectedAt).Milliseconds())
	return true
}

// checkFencedLog returns a *MissingRecordsError if a fenced member restarted and lacks
// earlier records, unless it has lacked them for missingRecordsTimeout.
func (g *Group) checkFencedLog(id cwgroup.MemberID, received cwgroup.LogPosition) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	rs, ok := g.restarts[id]
	if !ok || received.AtLeast(rs.requiredPosition) {
		return nil
	}
	if waited := g.cfg.Clock.Since(rs.detectedAt); waited >= missingRecordsTimeout {
		g.cfg.Log.Warn("emptyMemberCounts", "group", g.cfg.Service, "target", id, "has", received, "owed", rs.requiredPosition, "waitedMs", waited.Milliseconds())
		return nil
	}
	return &MissingRecordsError{Member: id, End: received, Required: rs.requiredPosition}
}
