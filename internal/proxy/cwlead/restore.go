package cwlead

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/proxy/cwclaim"
)

// restoreHold is how long after a restore of the table nobody claims a group. Any
// attempt that is under way by a claim that was lost reads it back within this time
// and ends; a member that it has promoted leads by then; and rows that others know
// are written again.
const restoreHold = cwfailover.ClaimLife

// SetEra takes the era of the table's data, and when this proxy learnt that it had
// come back from an older copy; zero if it has not.
func (g *Group) SetEra(era uint64, restored time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !restored.Equal(g.restoredAt) {
		g.rowRestored, g.checkRowAt = false, restored.Add(g.turn())
	}
	g.era, g.restoredAt = era, restored
	g.wake()
}

// turn is how long this proxy waits until it looks whether a row was lost: whoever
// wrote the row comes first, so that most others find it there. The caller holds mu.
func (g *Group) turn() time.Duration {
	if g.row.Keeper == g.cfg.Self {
		return 0
	}
	return time.Duration(g.rank+1) * cwfailover.RankDelay
}

// restoreRow writes the group's row again if it is known here and the table has lost
// it with a restore. The caller holds mu.
//
// The failure: the row tells that members were fenced for a change of primary, and
// which number the next claim must exceed. A member that has forgotten its fence is
// checked by it. Once it is lost, the member and the replaced primary are taken for a
// majority, and reads miss what was acknowledged since. Nobody else writes it: while
// it may be lost, no group is claimed.
func (g *Group) restoreRow(now time.Time) {
	if !g.restoring(now) || now.Before(g.checkRowAt) {
		return
	}
	g.checkRowAt = now.Add(rowPause)
	go g.runRestoreRow(g.row, g.restoredAt)
}

// restoring reports whether it is still to be seen if the table has lost the row. The
// caller holds mu.
func (g *Group) restoring(now time.Time) bool {
	return !g.rowRestored && g.row.Claim != "" && !g.restoredAt.IsZero() && g.rowMayBeLost(now)
}

func (g *Group) runRestoreRow(row cwfailover.Row, restored time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), rowTimeout)
	defer cancel()
	outcome := cwclaim.Claims{Table: g.cfg.Table, Group: g.cfg.Service, Self: g.cfg.Self}.WriteAgain(ctx, row)
	switch outcome {
	case cwfailover.RowDone:
		g.cfg.Log.Info("claimWrittenAgain", "group", g.cfg.Service, "term", row.Term, "claim", row.Claim, "keeper", row.Keeper, "done", row.Done)
	case cwfailover.RowUnknown, cwfailover.RowUnavailable:
		g.cfg.Log.Warn("claimNotWritten", "group", g.cfg.Service, "term", row.Term, "claim", row.Claim, "row", outcome)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if restored.Equal(g.restoredAt) {
		g.rowRestored = true
	}
}

// rowMayBeLost reports whether the group's row may be an older one than the newest,
// or missing, because the table has come back from an older copy a moment ago. The
// caller holds mu.
//
// The failure: an instance claims the group and promotes a member, and the table
// loses the claim. Another instance that has not heard of it sees neither claim nor
// primary and promotes again. It shows as two changes of primary, one right after
// the other, by holders that act by turns. Or: the first instance reads back a claim
// that was in the copy, and goes on with it though others have followed since. The
// guard: nobody claims, and no claim is read back as good, while a lost one may
// still be worked on. An answer of the table can tell of the restore before this
// group is told.
func (g *Group) rowMayBeLost(now time.Time) bool {
	if g.cfg.Era != nil && g.cfg.Era() > g.era {
		return true
	}
	return !g.restoredAt.IsZero() && now.Sub(g.restoredAt) < restoreHold
}
