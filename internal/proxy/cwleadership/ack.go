package cwleadership

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// AwaitAck blocks until the outcome of a commit at m is known: acknowledged by a
// second member, superseded by a change of primary, or timed out after AckTimeout.
func (g *Group) AwaitAck(m cwgroup.LogPosition) cwack.Outcome {
	now := g.cfg.Clock.Now()
	done := make(chan cwack.Outcome, 1)
	g.mu.Lock()
	if g.synchronous && m.Term == g.term && now.Sub(g.termLearntAt) >= Lease {
		// The primary has already waited for a synchronous replica.
		g.mu.Unlock()
		return cwack.Acknowledged
	}
	g.tracker.Add(cwack.PendingWrite{Position: m, Deadline: now.Add(AckTimeout), Notify: func(o cwack.Outcome) { done <- o }})
	g.resolveAckWaits(now)
	start := !g.pollingAcks && g.tracker.Len() > 0
	g.pollingAcks = g.pollingAcks || start
	g.mu.Unlock()
	if start {
		go g.pollForAcks()
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

// pollForAcks asks replicas for their log positions while commits wait for an
// acknowledgement.
func (g *Group) pollForAcks() {
	pause := ackPollMin
	g.cfg.Clock.Sleep(ackPollDelay)
	for n := 1; ; n++ {
		g.mu.Lock()
		g.resolveAckWaits(g.cfg.Clock.Now())
		if g.tracker.Len() == 0 {
			g.pollingAcks = false
			g.mu.Unlock()
			return
		}
		p, _ := g.sup.View().Primary()
		ask := g.othersByProximity(p.Member)
		// Start with the nearest replica alone, which usually has the record, and add
		// one replica in each round.
		ask = ask[:min(n, len(ask))]
		g.mu.Unlock()
		g.check(ask, CauseAck)
		g.cfg.Clock.Sleep(pause)
		pause = min(pause*3/2, ackPollMax)
	}
}
