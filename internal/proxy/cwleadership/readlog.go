package cwleadership

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Basis is the kind of evidence on which a read is placed.
type Basis string

// The kinds of evidence.
const (
	// BasisConfirmed is a primary that a majority was known to follow.
	BasisConfirmed Basis = "confirmed"
	// BasisPrimary is the log position of such a primary.
	BasisPrimary Basis = "primary"
	// BasisMembers is the log positions of all members but one.
	BasisMembers Basis = "members"
)

// Evidence describes, for logs, why a placement is fresh enough for a read.
type Evidence struct {
	// Basis is the kind of evidence.
	Basis Basis
	// Leader is the member that was taken to be the primary; empty if none was known.
	Leader cwgroup.MemberID
	// ConfirmedAt is when a majority was last known to follow it.
	ConfirmedAt time.Time
	// CompleteAt is a time before which everything acknowledged is at or below the
	// placement's floor.
	CompleteAt time.Time
	// GroupSize is the size of the group at the time.
	GroupSize int
}

// readLogInterval is the minimum interval between log lines for reads at one member on
// one basis. One line a second is enough to reconstruct the evidence behind that
// second's reads.
const readLogInterval = time.Second

// readLogKey identifies the reads at one member on one basis.
type readLogKey struct {
	member cwgroup.MemberID
	basis  Basis
}

// readLogEntry is the last line logged for such reads.
type readLogEntry struct {
	loggedAt time.Time
	leader   cwgroup.MemberID
	term     cwgroup.Term
	// suppressed is the number of reads since that line.
	suppressed int
}

// LogRead logs that the read with the given id ran at placement p. It logs one line a
// second for each member and basis, and one at once if the leader or its term has
// changed.
func (g *Group) LogRead(id string, p Placement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	key := readLogKey{p.ID, p.Evidence.Basis}
	last := g.readLog[key]
	if last.leader == p.Evidence.Leader && last.term == p.Term && now.Sub(last.loggedAt) < readLogInterval {
		last.suppressed++
		g.readLog[key] = last
		return
	}
	g.readLog[key] = readLogEntry{loggedAt: now, leader: p.Evidence.Leader, term: p.Term}
	g.cfg.Log.Info("readServed", "id", id, "group", g.cfg.Service, "target", p.ID, "floor", p.Floor, "basis", p.Evidence.Basis,
		"leader", p.Evidence.Leader, "term", p.Term, "ageMs", now.Sub(p.Evidence.CompleteAt).Milliseconds(),
		"confirmedMs", millisSince(now, p.Evidence.ConfirmedAt), "members", p.Evidence.GroupSize,
		"rowPrimary", g.row.Primary, "rowTerm", g.row.Term, "rowDone", g.row.Done, "readsBefore", last.suppressed)
}

// millisSince returns the milliseconds from at to now, or -1 if at is zero.
func millisSince(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}
