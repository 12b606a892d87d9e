package cwleadership

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/proxy/cwclaim"
)

// restoreClaimHold is how long after a restore of the table no proxy claims a group.
// Within this time, any change of primary whose claim was lost reads its claim back and
// ends, a member that it has promoted leads, and rows known to other proxies are
// written again.
const restoreClaimHold = cwfailover.ClaimTTL

// SetEra sets the era of the table's data, and when this proxy learnt that the table
// had been restored from an older copy; zero if it has not been.
func (g *Group) SetEra(era uint64, restored time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !restored.Equal(g.restoredAt) {
		g.rowLossChecked, g.nextRestoreCheckAt = false, restored.Add(g.restoreCheckDelay())
	}
	g.era, g.restoredAt = era, restored
	g.wake()
}

// restoreCheckDelay returns how long after a restore this proxy checks whether the row
// was lost. The proxy that wrote the row checks first, so that most others find it
// present. The caller holds mu.
func (g *Group) restoreCheckDelay() time.Duration {
	if g.row.Owner == g.cfg.Self {
		return 0
	}
	return time.Duration(g.rank+1) * cwfailover.RankDelay
}

// startRowRestore starts writing the group's row again if it is known here and a
// restore of the table may have lost it. The caller holds mu.
//
// The row records that members were fenced for a change of primary, and which number
// the next claim must exceed; a restarted member that has forgotten its fence is
// checked against it. Without the row, that member and the replaced primary would be
// taken for a majority, and reads would miss what was acknowledged since the change. No
// claim competes with this write: while the row may be lost, no group is claimed.
func (g *Group) startRowRestore(now time.Time) {
	if !g.rowRestorePending(now) || now.Before(g.nextRestoreCheckAt) {
		return
	}
	g.nextRestoreCheckAt = now.Add(rowRetryInterval)
	go g.runRowRestore(g.row, g.restoredAt)
}

// rowRestorePending reports whether this proxy still has to check if a restore lost the
// row. The caller holds mu.
func (g *Group) rowRestorePending(now time.Time) bool {
	return !g.rowLossChecked && g.row.Claim != "" && !g.restoredAt.IsZero() && g.rowMayBeLost(now)
}

func (g *Group) runRowRestore(row cwfailover.Row, restored time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), rowTimeout)
	defer cancel()
	outcome := cwclaim.Store{Table: g.cfg.Table, Group: g.cfg.Service, Self: g.cfg.Self}.RestoreRow(ctx, row)
	switch outcome {
	case cwfailover.RowConfirmed:
		g.cfg.Log.Info("claimWrittenAgain", "group", g.cfg.Service, "term", row.Term, "claim", row.Claim, "keeper", row.Owner, "done", row.Done)
	case cwfailover.RowUnknown, cwfailover.RowUnavailable:
		g.cfg.Log.Warn("claimNotWritten", "group", g.cfg.Service, "term", row.Term, "claim", row.Claim, "row", outcome)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if restored.Equal(g.restoredAt) {
		g.rowLossChecked = true
	}
}

// rowMayBeLost reports whether the group's row may be missing or older than the newest
// one because the table was restored from an older copy a moment ago. The caller holds
// mu.
//
// If a restore loses the claim of an instance that has promoted a member, another
// instance that has not heard of the change sees neither claim nor primary and promotes
// again: two changes of primary follow each other at once, by different holders. Or the
// first instance reads back a claim that was in the copy and goes on with it, although
// other claims have followed since. Therefore no proxy claims a group or trusts a claim
// that it reads back while a lost claim may still be in progress. An answer of the
// table can show the restore before SetEra reports it to this group, so Config.Era is
// compared as well.
func (g *Group) rowMayBeLost(now time.Time) bool {
	if g.cfg.Era != nil && g.cfg.Era() > g.era {
		return true
	}
	return !g.restoredAt.IsZero() && now.Sub(g.restoredAt) < restoreClaimHold
}
