package cwlead

import (
	"context"
	"fmt"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwclaim"
)

// Times of restarts.
const (
	// rowTimeout bounds one reading of the group's row after a restart, and
	// rowPause is the wait before the next one: a store that is away is asked
	// twice a second, as for the desired state.
	rowTimeout = 500 * time.Millisecond
	rowPause   = 500 * time.Millisecond
	// emptyFor is how long a restarted member's answer to an order to fence does
	// not count while it lacks records of before. A primary that crashed is back
	// sooner, and a living one has sent everything by then. Later the member
	// counts again, so that a group is not lost for good to two failures.
	emptyFor = 10 * time.Second
)

// restart is what a member's start under the id that it had undoes. It knows
// nothing of before: neither that it was fenced nor the records that were
// acknowledged because it held them.
type restart struct {
	// at is when this proxy learnt of it. Reports that were asked for earlier may
	// be of the life before.
	at time.Time
	// unchecked is true until the group's row was read after that and showed no
	// change of primary that the member may have been fenced for.
	unchecked bool
	// owed is where the primary's log stood; zero once the member has that much.
	owed cwgroup.Mark
}

// EmptyError reports a member that restarted and lacks records of before.
type EmptyError struct {
	Member cwgroup.MemberID
	// Has is where its log stands, Owed where it must.
	Has, Owed cwgroup.Mark
}

func (e *EmptyError) Error() string {
	return fmt.Sprintf("%s has restarted and has the log to %s only, of %s", e.Member, e.Has, e.Owed)
}

// restarted records that a member has started again under its id. The caller holds
// mu.
//
// The failure: a replica is fenced, starts again, has forgotten its fence and
// follows the primary that was replaced. An instance that reaches just these two
// confirms the old primary, serves stale reads and acknowledges writes that
// nobody else has. Or: a replica has forgotten a record that was acknowledged on
// its word, the primary is lost, and the majority that is fenced then lacks the
// record. The guard: what the member said before counts no more; it counts
// towards no confirmation and no acknowledgement until the group's row, read
// after the restart, shows that no change of primary had fenced it, and cannot be
// one that the table lost with a restore; and its fence counts once its log reaches
// what the primary had.
func (g *Group) restarted(id cwgroup.MemberID, why string) {
	now := g.cfg.Clock.Now()
	rs := restart{at: now, unchecked: true, owed: g.restarts[id].owed}
	if p, ok := g.sup.View().Primary(); ok && p.Last.AtLeast(rs.owed) {
		rs.owed = p.Last
	}
	g.cfg.Log.Warn("targetRestarted", "group", g.cfg.Service, "target", id, "why", why, "owed", rs.owed)
	g.restarts[id] = rs
	g.confirmed = time.Time{}
	g.streams[id] = &stream{}
	g.lag.Forget(id)
	g.sup.Forget(id, now)
	g.members[id].Pool.Cull(now)
	g.notify()
	go g.runRowCheck(id, now)
}

// bornAgain reports whether a listing tells of another life of a known member.
// Clocks can be set back, so any other time of birth does.
func bornAgain(before, after time.Time) bool {
	return !before.IsZero() && !after.IsZero() && !before.Equal(after)
}

// lostRecords reports whether a member's log is shorter than at an earlier
// answer though it was in the same term then, and notes where it stands. Only a
// restart does that. Answers to questions that overlap tell nothing. The caller
// holds mu.
func (g *Group) lostRecords(id cwgroup.MemberID, term cwgroup.Term, received cwgroup.Mark, asked time.Time) bool {
	s := g.streams[id]
	if s == nil || asked.Before(s.toldAt) {
		return false
	}
	lost := !s.toldAt.IsZero() && term <= s.toldTerm && !received.AtLeast(s.told)
	s.toldAt, s.toldTerm, s.told = g.cfg.Clock.Now(), term, received
	return lost
}

// afterRestart returns a report as far as it counts after the member's restart; false
// if it does not. The caller holds mu.
func (g *Group) afterRestart(r cwgroup.Report) (cwgroup.Report, bool) {
	rs, ok := g.restarts[r.Member]
	if !ok {
		return r, true
	}
	if r.At.Before(rs.at) {
		return r, false
	}
	if r.Last.AtLeast(rs.owed) {
		rs.owed = cwgroup.Mark{}
		g.restarts[r.Member] = rs
	}
	empty := rs.owed != cwgroup.Mark{}
	switch {
	case r.Role == cwgroup.RolePrimary && rs.unchecked:
		return r, false
	case r.Role == cwgroup.RolePrimary && empty:
		// It leads a log that lacks what it acknowledged; another member has it.
		r.Role = cwgroup.RoleFenced
	case rs.unchecked:
		r.Adopted = 0
	case !empty:
		delete(g.restarts, r.Member)
	}
	return r, true
}

// runRowCheck reads the group's row until it shows whether a restarted member
// may have forgotten a fence.
func (g *Group) runRowCheck(id cwgroup.MemberID, at time.Time) {
	for !g.checkRow(id, at) {
		g.cfg.Clock.Sleep(rowPause)
	}
}

// checkRow reads the row once, and returns true if nothing is left to be done.
func (g *Group) checkRow(id cwgroup.MemberID, at time.Time) bool {
	ctx, cancel := context.WithTimeout(context.Background(), rowTimeout)
	defer cancel()
	row, _, err := cwclaim.Claims{Table: g.cfg.Table, Group: g.cfg.Service}.Read(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if rs, ok := g.restarts[id]; !ok || rs.at != at || g.closed {
		return true
	}
	if err != nil {
		g.cfg.Log.Debug("restartUnchecked", "group", g.cfg.Service, "target", id, "cause", err)
		return false
	}
	g.noteRow(row)
	leads := id
	if p, ok := g.sup.View().Primary(); ok {
		leads = p.Member
	}
	if !row.Done || row.Primary != "" && row.Primary != leads || g.rowMayBeLost(g.cfg.Clock.Now()) {
		return false
	}
	rs := g.restarts[id]
	rs.unchecked = false
	g.restarts[id] = rs
	g.cfg.Log.Info("restartChecked", "group", g.cfg.Service, "target", id, "afterMs", g.cfg.Clock.Since(at).Milliseconds())
	return true
}

// fenceCounts returns an error if a member that was fenced lacks records of
// before its restart.
func (g *Group) fenceCounts(id cwgroup.MemberID, received cwgroup.Mark) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	rs, ok := g.restarts[id]
	if !ok || received.AtLeast(rs.owed) {
		return nil
	}
	if waited := g.cfg.Clock.Since(rs.at); waited >= emptyFor {
		g.cfg.Log.Warn("emptyMemberCounts", "group", g.cfg.Service, "target", id, "has", received, "owed", rs.owed, "waitedMs", waited.Milliseconds())
		return nil
	}
	return &EmptyError{Member: id, Has: received, Owed: rs.owed}
}
