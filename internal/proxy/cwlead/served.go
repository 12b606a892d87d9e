package cwlead

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Basis says whose word a read's place rests on.
type Basis string

// The bases.
const (
	// BasisConfirmed is a primary that a majority was known to follow.
	BasisConfirmed Basis = "confirmed"
	// BasisPrimary is where the log of such a primary ended.
	BasisPrimary Basis = "primary"
	// BasisMembers is where the logs of all members but one ended.
	BasisMembers Basis = "members"
)

// Evidence is what a read's place rests on, for logs.
type Evidence struct {
	Basis Basis
	// Leader is the member that was taken to lead; empty if none was known.
	Leader cwgroup.MemberID
	// Confirmed is when a majority was last known to follow it.
	Confirmed time.Time
	// Complete is a time before which everything acknowledged is at or below the
	// place's floor.
	Complete time.Time
	// Members is how many members were counted.
	Members int
}

// servedEvery is how often a line tells of reads at one member on one basis, so
// that what a second's reads rested on can be told afterwards at few lines.
const servedEvery = time.Second

// servedKey names the reads at a member that rest on one basis.
type servedKey struct {
	member cwgroup.MemberID
	basis  Basis
}

// served is what was last logged of them.
type served struct {
	at     time.Time
	leader cwgroup.MemberID
	term   cwgroup.Term
	// reads are those since then.
	reads int
}

// Served notes that a read ran at a place. One line a second, member and basis tells of
// it, and one at once where the leader or its term is another than before.
func (g *Group) Served(id string, p Place) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	key := servedKey{p.ID, p.Evidence.Basis}
	last := g.served[key]
	if last.leader == p.Evidence.Leader && last.term == p.Term && now.Sub(last.at) < servedEvery {
		last.reads++
		g.served[key] = last
		return
	}
	g.served[key] = served{at: now, leader: p.Evidence.Leader, term: p.Term}
	g.cfg.Log.Info("readServed", "id", id, "group", g.cfg.Service, "target", p.ID, "floor", p.Floor, "basis", p.Evidence.Basis,
		"leader", p.Evidence.Leader, "term", p.Term, "ageMs", now.Sub(p.Evidence.Complete).Milliseconds(),
		"confirmedMs", sinceMs(now, p.Evidence.Confirmed), "members", p.Evidence.Members,
		"rowPrimary", g.row.Primary, "rowTerm", g.row.Term, "rowDone", g.row.Done, "readsBefore", last.reads)
}

// sinceMs returns the milliseconds since a time, -1 if it never came.
func sinceMs(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}
