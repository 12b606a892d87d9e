package cwleadership

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwevidence"
)

// CheckCause is the reason for a health check.
type CheckCause string

// The reasons for health checks.
const (
	// CauseUnsettled is a primary that is unknown, in doubt or being changed.
	CauseUnsettled CheckCause = "unsettled"
	// CauseUnreachable is a member that can't be reached, in a group with a primary.
	CauseUnreachable CheckCause = "unreachable"
	// CauseIdle is a primary without traffic.
	CauseIdle CheckCause = "idle"
	// CauseConfirmation is a confirmation of the primary for reads.
	CauseConfirmation CheckCause = "confirmation"
	// CauseQuorumRead is a read without a primary.
	CauseQuorumRead CheckCause = "quorumRead"
	// CauseAck is a commit that waits for an acknowledgement.
	CauseAck CheckCause = "acknowledgement"
	// CauseOverdue is an overdue answer to a statement or to another request.
	CauseOverdue CheckCause = "overdue"
	// CausePath is a network path to other data centres that is in doubt.
	CausePath CheckCause = "path"
)

// limitChecks returns the members of the list that may be checked now, and counts them
// as checked. It leaves out members that can't be reached and whose backoff has not
// passed. At an instance that can't reach a majority, the members that it can reach are
// subject to a backoff as well: their answers confirm nothing. The caller holds mu.
//
// Otherwise the instances of a data centre that is cut off would check all members of
// all groups 20 times a second for as long as the cut lasts.
func (g *Group) limitChecks(list []Member, now time.Time) []Member {
	cutOff := g.majorityUnreachable.Load()
	limit := cwevidence.MaxRetryIntervalInMajority
	if cutOff || g.observed && g.heldElsewhere {
		limit = cwevidence.MaxRetryInterval
	}
	round := g.roundBackoff
	var out []Member
	for _, m := range list {
		b := g.backoffs[m.ID]
		switch {
		case g.unreachable[m.ID] && b.Due(now):
			g.backoffs[m.ID] = b.WithCheck(now, limit)
		case !g.unreachable[m.ID] && !cutOff:
		case !g.unreachable[m.ID] && round.Due(now):
			g.roundBackoff = round.WithCheck(now, limit)
		default:
			continue
		}
		out = append(out, m)
	}
	return out
}

// resetBackoffs makes the next check of every member due at once, after news that the
// state of the group may have changed. The caller holds mu.
func (g *Group) resetBackoffs() {
	clear(g.backoffs)
	g.roundBackoff = cwevidence.Backoff{}
	g.rounds = g.rounds.WithNews()
	g.wake()
}

// observePath resets the backoffs when the network path to other data centres has
// recovered. The caller holds mu.
func (g *Group) observePath() {
	suspected := g.cfg.RemotePath.Suspected()
	if g.pathSuspected && !suspected {
		g.resetBackoffs()
	}
	g.pathSuspected = suspected
}
