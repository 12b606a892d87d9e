package cwleadership

import (
	"cmp"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwevidence"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// AwaitAck blocks until the outcome of a commit at m is known: acknowledged by a
// second member, superseded by a change of primary, or timed out after AckTimeout.
//
// That a primary itself waits for a synchronous replica before it answers does not suffice:
// the replica may be one that is leaving, or that no proxy knows yet, and a change of
// primary need not fence it.
func (g *Group) AwaitAck(m cwgroup.LogPosition) cwack.Outcome {
	now := g.cfg.Clock.Now()
	done := make(chan cwack.Outcome, 1)
	g.mu.Lock()
	g.tracker.Add(cwack.PendingWrite{Position: m, Deadline: now.Add(AckTimeout), Notify: func(o cwack.Outcome) { done <- o }})
	g.resolveAckWaits(now)
	start := !g.pollingAcks && g.tracker.Len() > 0
	g.pollingAcks = g.pollingAcks || start
	g.mu.Unlock()
	if start {
		go g.pollForAcks(ackPoll{position: m, committedAt: now})
	}
	return <-done
}

// resolveAckWaits completes the waiting commits whose outcome is known. In a new term
// nothing is acknowledged until the confirmations of the previous term have expired at
// every proxy. The caller holds mu.
func (g *Group) resolveAckWaits(now time.Time) {
	if now.Sub(g.termLearntAt) < Lease && g.termStart.Term > 0 && g.term > 1 {
		return
	}
	g.tracker.Update(g.sup.View(), now)
}

// ackPoll is the first poll of a replica for a commit.
type ackPoll struct {
	position    cwgroup.LogPosition
	committedAt time.Time
	// member is the replica, polled at sentAt; empty before the poll.
	member cwgroup.MemberID
	sentAt time.Time
}

// pollForAcks asks replicas for their log positions while commits wait for an
// acknowledgement, the first time when a replica is expected to have the record of the
// given commit.
func (g *Group) pollForAcks(first ackPoll) {
	g.mu.Lock()
	order := g.replicasByAckDelay()
	g.mu.Unlock()
	wait := cwevidence.MinAckDelay
	if len(order) > 0 {
		wait = g.expectedAckDelay(order[0].ID)
	}
	g.cfg.Clock.Sleep(wait)
	var pause time.Duration
	for n := 1; ; n++ {
		g.mu.Lock()
		now := g.cfg.Clock.Now()
		g.resolveAckWaits(now)
		g.observeAckPoll(&first)
		if g.tracker.Len() == 0 {
			g.pollingAcks = false
			g.mu.Unlock()
			return
		}
		// Start with the replica alone that is expected to have the record first, and add
		// one replica in each round.
		ask := g.replicasByAckDelay()
		ask = ask[:min(n, len(ask))]
		pause = min(pause*3/2, ackPollMax)
		if n == 1 && len(ask) > 0 {
			first.member, first.sentAt = ask[0].ID, now
			pause = g.ackDelays[first.member].PollPause()
		}
		g.mu.Unlock()
		g.check(ask, CauseAck)
		g.cfg.Clock.Sleep(max(pause, ackPollMin))
	}
}

// replicasByAckDelay returns the replicas in the order of their expected delays, and those
// of the same delay by proximity. The caller holds mu.
func (g *Group) replicasByAckDelay() []Member {
	p, _ := g.sup.View().Primary()
	list := g.othersByProximity(p.Member)
	slices.SortStableFunc(list, func(a, b Member) int {
		if g.unreachable[a.ID] != g.unreachable[b.ID] {
			return 0
		}
		return cmp.Compare(g.ackDelays[a.ID].Expected(), g.ackDelays[b.ID].Expected())
	})
	return list
}

func (g *Group) expectedAckDelay(id cwgroup.MemberID) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ackDelays[id].Expected()
}

// observeAckPoll adjusts the expected delay of a replica to the answer to the first poll,
// once there is one. The caller holds mu.
func (g *Group) observeAckPoll(first *ackPoll) {
	rep, known := g.sup.View().Report(first.member)
	if first.member == "" || !known || rep.At.Before(first.sentAt) {
		return
	}
	id := first.member
	g.ackDelays[id] = g.ackDelays[id].WithPoll(first.sentAt.Sub(first.committedAt), rep.HasRecord(first.position))
	first.member = ""
}
