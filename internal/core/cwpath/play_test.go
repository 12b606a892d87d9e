package cwpath

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	ms = time.Millisecond
	// oneWay is half of the time in which an instance answers, connectTime the time to
	// open a connection.
	oneWay, connectTime = 10 * ms, 20 * ms
	// probeTimeout is the time after which an unanswered probe is overdue.
	probeTimeout = 250 * ms
)

// play simulates the instances of one data centre on virtual time.
type play struct {
	now    time.Time
	rand   *rand.Rand
	nodes  []*playNode
	events []event
	// lossPercent is the share of messages that are lost.
	lossPercent int
	messages    int
}

type event struct {
	at  time.Time
	run func()
}

type playNode struct {
	Detector
	// cutFrom and cutUntil bound the time in which nothing is exchanged with other data
	// centres, frozenUntil is when a pause ends.
	cutFrom, cutUntil, frozenUntil time.Time
	connected                      map[string]bool
	// suspectedAt and isolatedAt are when the current suspicion and isolation were first
	// seen; longest is the longest suspicion.
	suspectedAt, isolatedAt time.Time
	longest                 time.Duration
	oldBuild                bool
}

var epoch = time.Unix(1000, 0)

func newPlay(n, lossPercent int, seed uint64) *play {
	p := &play{now: epoch, rand: rand.New(rand.NewPCG(seed, 0)), lossPercent: lossPercent}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("i%02d", i))
	}
	for i, name := range names {
		node := &playNode{connected: make(map[string]bool)}
		node.Self, node.Rand = name, rand.New(rand.NewPCG(seed, uint64(i)))
		node.SetNeighbours(slices.DeleteFunc(slices.Clone(names), func(o string) bool { return o == name }))
		p.nodes = append(p.nodes, node)
	}
	return p
}

func (p *play) after(d time.Duration, run func()) {
	p.events = append(p.events, event{p.now.Add(d), run})
}

// at runs f at a node once it is not paused.
func (p *play) at(n *playNode, d time.Duration, f func()) {
	p.after(d, func() {
		if wait := n.frozenUntil.Sub(p.now); wait > 0 {
			p.at(n, wait, f)
			return
		}
		f()
		p.settle(n)
	})
}

// run processes events until the end, and looks at all nodes every 5 ms.
func (p *play) run(end time.Time) {
	for next := p.now; p.now.Before(end); {
		if i := p.earliest(); i >= 0 && !p.events[i].at.After(next) {
			e := p.events[i]
			p.events = slices.Delete(p.events, i, i+1)
			p.now = e.at
			e.run()
			continue
		}
		p.now = next
		for _, n := range p.nodes {
			p.watch(n)
		}
		next = next.Add(5 * ms)
	}
}

func (p *play) earliest() int {
	best := -1
	for i, e := range p.events {
		if best < 0 || e.at.Before(p.events[best].at) {
			best = i
		}
	}
	return best
}

func (p *play) watch(n *playNode) {
	if !n.frozenUntil.After(p.now) {
		observe(&n.suspectedAt, n.Suspected(), p.now)
		observe(&n.isolatedAt, n.Isolated(p.now), p.now)
	}
	if !n.suspectedAt.IsZero() {
		n.longest = max(n.longest, p.now.Sub(n.suspectedAt))
	}
}

func observe(since *time.Time, state bool, now time.Time) {
	switch {
	case !state:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}

// settle sends the messages and probes of a node after an event.
func (p *play) settle(n *playNode) {
	if n.Suspected() && n.probedAt.IsZero() {
		p.probe(n, n.begunAt)
	}
	for _, m := range n.TakeMessages() {
		p.send(n, m)
	}
}

// probe sends two probes, and repeats them until the suspicion ends.
func (p *play) probe(n *playNode, begun time.Time) {
	if !n.begunAt.Equal(begun) {
		return
	}
	n.ObserveProbe(p.now)
	sent := p.now
	for range ConfirmPings {
		if p.rand.IntN(100) >= p.lossPercent && !p.cut(n) {
			p.at(n, 2*oneWay, func() { n.ObserveAnswer(p.now) })
		}
		p.at(n, probeTimeout, func() { n.ObserveOverdue(sent, p.now) })
	}
	p.at(n, SuspectedPingInterval, func() { p.probe(n, begun) })
}

func (p *play) cut(n *playNode) bool {
	return !p.now.Before(n.cutFrom) && p.now.Before(n.cutUntil)
}

// send delivers a report with its times as ages, as the wire protocol does.
func (p *play) send(from *playNode, m Message) {
	p.messages++
	i, _ := slices.BinarySearchFunc(p.nodes, m.To, func(n *playNode, name string) int { return cmp.Compare(n.Self, name) })
	to, sent, wait := p.nodes[i], p.now, oneWay
	if !from.connected[m.To] {
		from.connected[m.To], wait = true, wait+connectTime
	}
	done := false
	p.at(from, wait+CallTimeout, func() {
		if !done {
			from.CallFailed(p.now)
		}
		done = true
	})
	if p.rand.IntN(100) < p.lossPercent {
		return
	}
	p.at(to, wait, func() {
		if to.oldBuild {
			p.at(from, oneWay, func() { done = true; from.MethodUnknown(m.To, p.now) })
			return
		}
		r := m.Report
		r.SilentSince = r.SilentSince.Add(p.now.Sub(sent))
		reply, _ := to.ReceiveReport(r, p.now)
		if !reply.AnsweredAt.IsZero() {
			reply.AnsweredAt = sent.Add(-p.now.Sub(reply.AnsweredAt))
		}
		if p.rand.IntN(100) < p.lossPercent {
			return
		}
		p.at(from, oneWay, func() {
			if !done {
				done = true
				from.ReceiveReply(m.To, reply)
			}
		})
	})
}

// cutAll cuts off all instances for a time. The first one finds an overdue request after
// 250 ms.
func (p *play) cutAll(d time.Duration) {
	for _, n := range p.nodes {
		n.cutFrom, n.cutUntil = p.now, p.now.Add(d)
	}
	n, sent := p.nodes[0], p.now
	p.at(n, probeTimeout, func() { n.ObserveOverdue(sent, p.now) })
}

// Guards against instances that learn late that their data centre is cut off.
func TestReportSpreads(t *testing.T) {
	for seed := range uint64(50) {
		p := newPlay(50, 10, seed)
		p.cutAll(10 * time.Second)
		begun := epoch.Add(probeTimeout)
		for _, n := range p.nodes[40:45] {
			n.frozenUntil = begun.Add(100 * ms)
		}
		p.nodes[46].oldBuild, p.nodes[47].oldBuild = true, true
		for i, n := range p.nodes[1:10] {
			// An answer that was under way when the path was cut.
			p.at(n, time.Duration(10*i)*ms, func() { n.ObserveAnswer(p.now) })
		}
		p.run(begun.Add(500 * ms))
		for i, n := range p.nodes {
			if n.oldBuild {
				continue
			}
			qt.Assert(t, n.suspectedAt.IsZero(), qt.IsFalse, qt.Commentf("seed %d: %s does not suspect the path", seed, n.Self))
			qt.Assert(t, n.suspectedAt.Sub(begun) <= 200*ms, qt.IsTrue, qt.Commentf("seed %d: %s after %v", seed, n.Self, n.suspectedAt.Sub(begun)))
			limit := 200*ms + IsolationDelay + 5*ms
			qt.Assert(t, !n.isolatedAt.IsZero() && n.isolatedAt.Sub(begun) <= limit, qt.IsTrue, qt.Commentf("seed %d: node %d isolated at %v", seed, i, n.isolatedAt))
		}
		qt.Assert(t, p.messages <= 2*fanOut*len(p.nodes), qt.IsTrue, qt.Commentf("%d messages", p.messages))
	}
}

// Guards against instances that stay not ready after the path has recovered.
func TestRecoverySpreads(t *testing.T) {
	for seed := range uint64(20) {
		p := newPlay(50, 10, seed)
		p.cutAll(3 * time.Second)
		p.run(epoch.Add(2900 * ms))
		qt.Assert(t, p.suspecting(), qt.Equals, 50)
		p.run(epoch.Add(3600 * ms))
		qt.Assert(t, p.suspecting(), qt.Equals, 0)
	}
}

func (p *play) suspecting() int {
	n := 0
	for _, o := range p.nodes {
		if o.Suspected() {
			n++
		}
	}
	return n
}

// Guards against a data centre that is taken out of rotation although it reaches others:
// because some of its instances are cut off, probes are lost or instances pause.
func TestReachingInstancesAreNotIsolated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlay(rapid.IntRange(2, 30).Draw(t, "instances"), 10, rapid.Uint64().Draw(t, "seed"))
		millis := func(name string, limit int) time.Duration {
			return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * ms
		}
		for range rapid.IntRange(0, 5).Draw(t, "cuts") {
			n := p.nodes[rapid.IntRange(1, len(p.nodes)-1).Draw(t, "cut")]
			n.cutFrom = epoch.Add(millis("from", 1000))
			n.cutUntil = n.cutFrom.Add(millis("for", 3000))
			sent := n.cutFrom
			p.at(n, sent.Sub(epoch)+probeTimeout, func() { n.ObserveOverdue(sent, p.now) })
		}
		for range rapid.IntRange(0, 5).Draw(t, "lost") {
			n := p.nodes[rapid.IntRange(0, len(p.nodes)-1).Draw(t, "loser")]
			p.at(n, millis("lost at", 3000), func() { n.ObserveOverdue(p.now.Add(-probeTimeout), p.now) })
		}
		for range rapid.IntRange(0, 5).Draw(t, "pauses") {
			n := p.nodes[rapid.IntRange(0, len(p.nodes)-1).Draw(t, "paused")]
			p.after(millis("paused at", 3000), func() { n.frozenUntil = p.now.Add(90 * ms) })
		}
		p.run(epoch.Add(4 * time.Second))
		for _, n := range p.nodes {
			if n.cutFrom.IsZero() && n.longest > time.Second {
				t.Fatalf("%s suspects the path for %v", n.Self, n.longest)
			}
		}
	})
}
