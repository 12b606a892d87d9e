package cwlead

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
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
	g.era, g.restoredAt = era, restored
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
