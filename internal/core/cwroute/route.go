// Package cwroute decides which member of a group serves a read.
//
// A member may serve a session's read if its log holds the session's floor, or,
// where the caller accepts data of a stated age, if it is known to be no older
// than that. Among those, the nearest data centre is taken first, then the
// least loaded member. Where no replica qualifies, a Policy decides between
// going to the primary and waiting for a replica to catch up.
//
// The package does no I/O: it takes a View, the load and the present time, and
// returns a Decision.
package cwroute

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwsession"
)

// Kind says what to do with a read.
type Kind uint8

// The kinds of decision.
const (
	// Serve the read at Decision.Member.
	Serve Kind = iota
	// Wait until a report arrives, Decision.Wait at most, and decide again.
	Wait
	// AskPrimary for its position first, confirmed by a majority: the floor is
	// not known, or not how old the primary's data is.
	AskPrimary
	// Refuse the read as not run.
	Refuse
)

// Decision is what to do with a read.
type Decision struct {
	Kind   Kind
	Member cwgroup.MemberID
	// Replica is true if Member is not the primary.
	Replica bool
	Wait    time.Duration
	// RetryAfter accompanies Refuse.
	RetryAfter time.Duration
}

// Candidate is what a decision needs to know about one member besides its
// report.
type Candidate struct {
	Member cwgroup.MemberID
	// Distance is the one-way delay to the member's data centre.
	Distance time.Duration
	// Load is the number of statements that this proxy has in progress there,
	// divided by the member's limit.
	Load float64
	// Leaving is true if a planned stop keeps new work away.
	Leaving bool
	// Age is how old the member's data is at most, by this proxy's clock.
	// AgeKnown is false if that cannot be told.
	Age      time.Duration
	AgeKnown bool
	// CatchUp is the expected time until the member holds the floor.
	CatchUp time.Duration
}

// Read is one read to be placed.
type Read struct {
	Floor cwsession.Floor
	// MaxAge is the age of data that the caller accepts; zero means that only
	// the floor counts.
	MaxAge time.Duration
	// Waited is how long the read has been waiting already.
	Waited time.Duration
	// Confirmed is true if a majority has confirmed the primary since the read
	// came; then the primary's data has no age.
	Confirmed bool
}

// Fresh is how long a report counts. A member that was silent for longer takes
// no reads.
const Fresh = 2 * time.Second

// RetryAfter is the time after which a refused read may be repeated.
const RetryAfter = 250 * time.Millisecond

// Policy decides what happens to a read for which no replica qualifies but a
// primary is there.
type Policy interface {
	// Behind returns true to wait for a replica, with a bound, and false to go
	// to the primary. The argument is the shortest expected time until a replica
	// holds the floor.
	Behind(catchUp, waited time.Duration) (time.Duration, bool)
}

// ToPrimary sends every read that no replica can serve to the primary.
type ToPrimary struct{}

// Behind implements Policy.
func (ToPrimary) Behind(time.Duration, time.Duration) (time.Duration, bool) { return 0, false }

// WaitUpTo lets a read wait for a replica while the whole wait is expected to
// stay within the bound, and sends it to the primary otherwise.
type WaitUpTo struct{ Bound time.Duration }

// Behind implements Policy.
func (p WaitUpTo) Behind(catchUp, waited time.Duration) (time.Duration, bool) {
	left := p.Bound - waited
	if left <= 0 || catchUp > left {
		return 0, false
	}
	return left, true
}

// Router places reads by a policy.
type Router[P Policy] struct {
	Policy P
}

// Place decides about one read.
func (r Router[P]) Place(v cwgroup.View, cands []Candidate, rd Read, now time.Time) Decision {
	primary, primaryOK := usablePrimary(v, now)
	if !rd.Floor.Known && rd.MaxAge == 0 {
		if !primaryOK {
			return Decision{Kind: Refuse, RetryAfter: RetryAfter}
		}
		return Decision{Kind: AskPrimary}
	}
	best, catchUp := pickReplica(v, cands, rd, now)
	if best != nil {
		return Decision{Kind: Serve, Member: best.Member, Replica: true}
	}
	// The failure: a proxy on the wrong side of a partition still sees a primary
	// that was replaced, and a session that has written at the new one roams
	// here. Its floor tells: a primary of an earlier term lacks its writes.
	if !primaryOK || rd.Floor.Known && primary.Adopted < rd.Floor.Mark.Term {
		return Decision{Kind: Refuse, RetryAfter: RetryAfter}
	}
	if rd.MaxAge > 0 && !rd.Confirmed && !youngEnough(cands, primary.Member, rd.MaxAge) {
		return Decision{Kind: AskPrimary}
	}
	if catchUp >= 0 {
		if wait, ok := r.Policy.Behind(catchUp, rd.Waited); ok {
			return Decision{Kind: Wait, Wait: wait}
		}
	}
	return Decision{Kind: Serve, Member: primary.Member}
}

// pickReplica returns the best replica that may serve the read. If there is
// none, it returns the shortest expected catch-up, negative if no replica is
// expected to catch up.
func pickReplica(v cwgroup.View, cands []Candidate, rd Read, now time.Time) (*Candidate, time.Duration) {
	var best *Candidate
	catchUp := time.Duration(-1)
	for i := range cands {
		c := &cands[i]
		rep, ok := v.Report(c.Member)
		if !ok || c.Leaving || !onBranch(v, rep) || now.Sub(rep.At) > Fresh || !rep.Reachable {
			continue
		}
		if !qualifies(rep, c, rd) {
			if catchUp < 0 || c.CatchUp < catchUp {
				catchUp = c.CatchUp
			}
			continue
		}
		if best == nil || better(c, best) {
			best = c
		}
	}
	return best, catchUp
}

// youngEnough reports whether the primary is known to have led lately enough. A
// primary that was replaced without knowing has data as old as that.
func youngEnough(cands []Candidate, primary cwgroup.MemberID, maxAge time.Duration) bool {
	for i := range cands {
		if cands[i].Member == primary {
			return cands[i].AgeKnown && cands[i].Age <= maxAge
		}
	}
	return false
}

// onBranch reports whether the member is a replica on the branch of the current
// primary.
//
// The guard is against a read from a replaced primary, or from a member that
// still has a tail which nobody acknowledged and which will be cut: its
// position can be past the floor on a branch that the session never saw. Such a
// member's last applied record has an earlier term than the group's, or it leads one, or
// it is fenced and was not told yet whom to follow.
func onBranch(v cwgroup.View, r cwgroup.Report) bool {
	return r.Role == cwgroup.RoleReplica && r.Applied.Term >= v.Term() && r.Applied.Term > 0
}

func qualifies(rep cwgroup.Report, c *Candidate, rd Read) bool {
	if rd.Floor.Known && !rep.Applied.AtLeast(rd.Floor.Mark) {
		return false
	}
	if rd.MaxAge == 0 {
		return true
	}
	return c.AgeKnown && c.Age <= rd.MaxAge
}

func better(a, b *Candidate) bool {
	if a.Distance != b.Distance {
		return a.Distance < b.Distance
	}
	return a.Load < b.Load
}

func usablePrimary(v cwgroup.View, now time.Time) (cwgroup.Report, bool) {
	p, ok := v.Primary()
	if !ok || !p.Reachable || now.Sub(p.At) > Fresh || v.Superseded(p.Adopted) {
		return cwgroup.Report{}, false
	}
	return p, true
}

// WritePrimary returns the member to which a write goes, or false if a write
// could not be acknowledged now.
//
// A write is refused before it runs, rather than left unknown after, if no
// majority of the members follows the primary's term: an isolated primary would
// take the write and nobody could ever acknowledge it.
func WritePrimary(v cwgroup.View, now time.Time) (cwgroup.Report, bool) {
	p, ok := usablePrimary(v, now)
	if !ok {
		return cwgroup.Report{}, false
	}
	n := 0
	for _, r := range v.Reports() {
		if r.Adopted == p.Adopted && now.Sub(r.At) <= Fresh && r.Reachable {
			n++
		}
	}
	return p, n >= cwgroup.Majority(v.Size())
}
