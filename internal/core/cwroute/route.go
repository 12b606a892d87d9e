// Package cwroute routes reads and writes to the members of a replicated group.
//
// A session that reads its own writes has a floor: the log position (a
// cwgroup.LogPosition) that a member must have applied before it may serve the
// session's reads. A caller that accepts bounded staleness states a maximum age
// of the data instead. A read with a floor may go to any replica that has
// applied the floor; a read with a maximum age may go to any replica whose data
// is known to be no older; a read with both needs both.
//
// Among the replicas that qualify, Router prefers the nearest data centre, then the
// least loaded member. If no replica qualifies, a Policy chooses between the
// primary and waiting for a replica to catch up. FastestTarget balances reads by
// expected response time instead, and ApplyTracker estimates whether a member has
// applied a floor. PositionHistory and LagTracker estimate the age of replica data
// and the replication lag from observed log positions.
//
// The package does no I/O: it takes a cwgroup.View, the load and the current
// time, and returns a Decision.
package cwroute

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwsession"
)

// Action is the action that a Decision prescribes for a read.
type Action uint8

// The actions of a Decision.
const (
	// Serve runs the read at Decision.Member.
	Serve Action = iota
	// Wait waits for the next status report, for at most Decision.Wait, and then
	// decides again.
	Wait
	// AskPrimary asks the primary for its log position, confirmed by a majority
	// of the members, and then decides again. It is returned while the floor is
	// unknown, or while the primary's data may be older than the read accepts.
	AskPrimary
	// Refuse rejects the read without running it.
	Refuse
)

// Decision is the routing decision for one read.
type Decision struct {
	Action Action
	// Member is the member that serves the read. It is set for Serve only.
	Member cwgroup.MemberID
	// Replica is true if Member is not the primary.
	Replica bool
	// Wait is the longest time to wait. It is set for Wait only.
	Wait time.Duration
	// RetryAfter is the time after which the caller may retry. It is set for
	// Refuse only.
	RetryAfter time.Duration
}

// Candidate holds what a decision needs to know about one member in addition to
// its status report.
type Candidate struct {
	Member cwgroup.MemberID
	// Distance is the one-way network delay to the member's data centre.
	Distance time.Duration
	// Load is the number of statements that this proxy has in progress at the
	// member, divided by the member's limit.
	Load float64
	// Draining is true if the member is draining for a planned stop and accepts no
	// new work.
	Draining bool
	// Age is an upper bound of the age of the member's data, by this proxy's
	// clock. It is valid only if AgeKnown is true.
	Age      time.Duration
	AgeKnown bool
	// CatchUp is the expected time until the member has applied the floor.
	CatchUp time.Duration
}

// Read describes one read to be routed.
type Read struct {
	Floor cwsession.Floor
	// MaxAge is the greatest age of data that the caller accepts. Zero means that
	// only the floor counts.
	MaxAge time.Duration
	// Waited is how long the read has already been waiting for a replica.
	Waited time.Duration
	// PrimaryConfirmed is true if a majority has confirmed the primary since the read
	// arrived. The primary's data then counts as current.
	PrimaryConfirmed bool
}

// MaxReportAge is how long a status report stays valid. A member whose last report is
// older serves no reads.
const MaxReportAge = 2 * time.Second

// RetryAfter is the time after which a caller may retry a refused read.
const RetryAfter = 250 * time.Millisecond

// Policy decides what happens to a read for which no replica qualifies while a
// primary is available.
type Policy interface {
	// WaitForReplica returns true and the longest time to wait if the read is to
	// wait for a replica, and false if it is to go to the primary. catchUp is the
	// shortest expected time until a replica has applied the floor; waited is how
	// long the read has been waiting already.
	WaitForReplica(catchUp, waited time.Duration) (time.Duration, bool)
}

// PrimaryFallback sends every read that no replica can serve to the primary.
type PrimaryFallback struct{}

// WaitForReplica implements Policy.
func (PrimaryFallback) WaitForReplica(time.Duration, time.Duration) (time.Duration, bool) {
	return 0, false
}

// BoundedWait lets a read wait for a replica while its total wait is expected to
// stay within Bound, and sends it to the primary otherwise.
type BoundedWait struct{ Bound time.Duration }

// WaitForReplica implements Policy.
func (p BoundedWait) WaitForReplica(catchUp, waited time.Duration) (time.Duration, bool) {
	left := p.Bound - waited
	if left <= 0 || catchUp > left {
		return 0, false
	}
	return left, true
}

// Router routes reads. Policy applies to reads for which no replica qualifies.
type Router[P Policy] struct {
	Policy P
}

// Route returns the routing decision for a read, given a candidate for each
// member of the group.
func (r Router[P]) Route(v cwgroup.View, cands []Candidate, rd Read, now time.Time) Decision {
	primary, primaryOK := availablePrimary(v, now)
	if !rd.Floor.Known && rd.MaxAge == 0 {
		if !primaryOK {
			return Decision{Action: Refuse, RetryAfter: RetryAfter}
		}
		return Decision{Action: AskPrimary}
	}
	best, catchUp := selectReplica(v, cands, rd, now)
	if best != nil {
		return Decision{Action: Serve, Member: best.Member, Replica: true}
	}
	// A proxy on the minority side of a partition still sees a primary that has
	// been replaced, and a session that wrote to the new primary may move to
	// this proxy. The term of the session's floor reveals that: a primary of an
	// earlier term lacks the session's writes.
	if !primaryOK || rd.Floor.Known && primary.AdoptedTerm < rd.Floor.Position.Term {
		return Decision{Action: Refuse, RetryAfter: RetryAfter}
	}
	if rd.MaxAge > 0 && !rd.PrimaryConfirmed && !confirmedWithin(cands, primary.Member, rd.MaxAge) {
		return Decision{Action: AskPrimary}
	}
	if catchUp >= 0 {
		if wait, ok := r.Policy.WaitForReplica(catchUp, rd.Waited); ok {
			return Decision{Action: Wait, Wait: wait}
		}
	}
	return Decision{Action: Serve, Member: primary.Member}
}

// selectReplica returns the preferred replica among those that qualify for the
// read, or nil if there is none. The second result is the shortest expected
// catch-up time of the replicas that don't qualify; it is negative if there are
// none.
func selectReplica(v cwgroup.View, cands []Candidate, rd Read, now time.Time) (*Candidate, time.Duration) {
	var best *Candidate
	catchUp := time.Duration(-1)
	for i := range cands {
		c := &cands[i]
		rep, ok := v.Report(c.Member)
		if !ok || c.Draining || !replicaInCurrentTerm(v, rep) || now.Sub(rep.At) > MaxReportAge || !rep.Reachable {
			continue
		}
		if !meetsRequirements(rep, c, rd) {
			if catchUp < 0 || c.CatchUp < catchUp {
				catchUp = c.CatchUp
			}
			continue
		}
		if best == nil || preferred(c, best) {
			best = c
		}
	}
	return best, catchUp
}

// confirmedWithin reports whether a majority confirmed the primary within the
// last maxAge. A primary that has been replaced and doesn't know it yet may
// lack all writes since its last confirmation.
func confirmedWithin(cands []Candidate, primary cwgroup.MemberID, maxAge time.Duration) bool {
	for i := range cands {
		if cands[i].Member == primary {
			return cands[i].AgeKnown && cands[i].Age <= maxAge
		}
	}
	return false
}

// replicaInCurrentTerm reports whether the member is a replica whose log
// belongs to the current primary's term.
//
// It excludes replaced primaries, and members whose log ends in unacknowledged
// records of an earlier term that will be truncated: the position of such a
// member can be past the floor on a diverged log that the session never saw.
// These members have applied nothing of the group's current term, have the
// primary role in an earlier term, or are fenced and have no primary to follow
// yet.
func replicaInCurrentTerm(v cwgroup.View, r cwgroup.Report) bool {
	return r.Role == cwgroup.RoleReplica && r.Applied.Term >= v.Term() && r.Applied.Term > 0
}

// meetsRequirements reports whether a replica's data satisfies the floor and
// the maximum age of a read.
func meetsRequirements(rep cwgroup.Report, c *Candidate, rd Read) bool {
	if rd.Floor.Known && !rep.Applied.AtLeast(rd.Floor.Position) {
		return false
	}
	if rd.MaxAge == 0 {
		return true
	}
	return c.AgeKnown && c.Age <= rd.MaxAge
}

// preferred reports whether a is preferred to b: by distance, then by load.
func preferred(a, b *Candidate) bool {
	if a.Distance != b.Distance {
		return a.Distance < b.Distance
	}
	return a.Load < b.Load
}

// availablePrimary returns the report of the group's primary. The second result is
// false if the primary is unknown, unreachable, silent for longer than
// MaxReportAge, or known to be replaced.
func availablePrimary(v cwgroup.View, now time.Time) (cwgroup.Report, bool) {
	p, ok := v.Primary()
	if !ok || !p.Reachable || now.Sub(p.At) > MaxReportAge || v.Superseded(p.AdoptedTerm) {
		return cwgroup.Report{}, false
	}
	return p, true
}

// WritablePrimary returns the report of the primary that takes writes. The second
// result is false if a write cannot be acknowledged at present.
//
// Unless a majority of the members has adopted the primary's term, a write is
// refused before it runs: an isolated primary would execute it, it could never
// be acknowledged, and its outcome would stay unknown.
func WritablePrimary(v cwgroup.View, now time.Time) (cwgroup.Report, bool) {
	p, ok := availablePrimary(v, now)
	if !ok {
		return cwgroup.Report{}, false
	}
	following := v.Where(func(r cwgroup.Report) bool {
		return r.AdoptedTerm == p.AdoptedTerm && now.Sub(r.At) <= MaxReportAge && r.Reachable
	})
	return p, v.Quorums().Decides(following)
}
