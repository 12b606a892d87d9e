package cwlead

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Committed waits until a commit may be acknowledged.
func (g *Group) Committed(m cwgroup.Mark) cwack.Outcome {
	now := g.cfg.Clock.Now()
	done := make(chan cwack.Outcome, 1)
	g.mu.Lock()
	if g.synchronous && m.Term == g.term && now.Sub(g.learnt) >= Lease {
		// The primary itself has waited for a replica.
		g.mu.Unlock()
		return cwack.Acknowledged
	}
	g.tracker.Add(cwack.Wait{Mark: m, Deadline: now.Add(AckTimeout), Done: func(o cwack.Outcome) { done <- o }})
	g.observeAcks(now)
	start := !g.acking && g.tracker.Len() > 0
	g.acking = g.acking || start
	g.mu.Unlock()
	if start {
		go g.runAcks()
	}
	return <-done
}

// observeAcks ends the waits that can end. Nothing of a new term is
// acknowledged before the confirmations of the term before it have lapsed
// everywhere. The caller holds mu.
func (g *Group) observeAcks(now time.Time) {
	if now.Sub(g.learnt) < Lease && g.start.Term > 0 && g.term > 1 {
		return
	}
	g.tracker.Observe(g.sup.View(), now)
}

// runAcks asks the replicas where their logs stand while commits wait.
func (g *Group) runAcks() {
	pause := ackPollMin
	g.cfg.Clock.Sleep(ackFirst)
	for n := 1; ; n++ {
		g.mu.Lock()
		g.observeAcks(g.cfg.Clock.Now())
		if g.tracker.Len() == 0 {
			g.acking = false
			g.mu.Unlock()
			return
		}
		p, _ := g.sup.View().Primary()
		ask := g.nearest(p.Member)
		g.mu.Unlock()
		// The nearest alone at first: it usually has the record.
		ask = ask[:min(n, len(ask))]
		g.askAll(ask)
		g.cfg.Clock.Sleep(pause)
		pause = min(pause*3/2, ackPollMax)
	}
}
