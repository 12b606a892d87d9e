package cwsimulation

import (
	"fmt"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
)

// request is a write of a caller with a request key. It is repeated until the caller has
// an answer.
type request struct {
	id        int
	startedAt time.Time
	// acked and notRun are the answer to the caller. At most one is set.
	acked, notRun bool
	tries         int
	position      cwgroup.LogPosition
	latency       time.Duration
	// done, if set, is called after the acknowledgement. If it is nil, the record is
	// read instead.
	done func()
}

// ledger sends the requests of the callers and records their answers.
type ledger struct {
	sim          *simulation
	requests     map[int]*request
	next         int
	staleReads   []string
	ackTimes     []time.Time
	reads        int
	replicaReads int
	readWait     time.Duration
	stopped      bool
}

// retryAfter is the time that a caller waits for an answer before it repeats the request
// with the same key through another proxy.
const retryAfter = 1500 * time.Millisecond

func (l *ledger) proxy() *proxy { return l.sim.proxies[l.sim.rng.IntN(len(l.sim.proxies))] }

// write starts a new request.
func (l *ledger) write() {
	if l.stopped {
		return
	}
	l.next++
	r := &request{id: l.next, startedAt: l.sim.now}
	l.requests[r.id] = r
	l.try(r, l.proxy())
}

// try sends a request through a proxy and schedules the next attempt. After six attempts
// the request is abandoned: a tombstone is written in its place.
func (l *ledger) try(r *request, p *proxy) {
	if r.acked || r.notRun {
		return
	}
	r.tries++
	abandon := r.tries > 6
	p.do(func() {
		pr, ok := cwroute.WritablePrimary(p.supervisor.View(), l.sim.now)
		if !ok {
			return
		}
		m := l.sim.member(pr.Member)
		l.sim.send(p.name, m.name, func() { m.do(func() { l.execute(r, p, m, abandon) }) })
	})
	l.sim.after(retryAfter, func() { l.try(r, l.proxy()) })
}

// execute runs a request at a database. The request key is unique, so a request that the
// log contains already is not run again.
func (l *ledger) execute(r *request, p *proxy, m *member, abandon bool) {
	if m.role != cwgroup.RolePrimary {
		return
	}
	found, tombstone := m.has(r.id)
	if !found {
		tombstone = abandon
		m.append(logRecord{term: m.adopted, id: r.id, tombstone: abandon})
		m.pushStatus()
	}
	position := m.last()
	if l.sim.options.skipDuplicateWait && found {
		// The mutation: a duplicate is acknowledged without waiting for a
		// majority.
		l.sim.send(m.name, p.name, func() { p.do(func() { l.complete(r, tombstone, position) }) })
		return
	}
	answer := func() {
		l.sim.send(m.name, p.name, func() { p.do(func() { l.awaitMajority(r, p, position, tombstone) }) })
	}
	if l.sim.options.synchronous {
		m.awaiting = append(m.awaiting, syncAnswer{length: len(m.log), answer: answer})
		return
	}
	answer()
}

// awaitMajority answers the request when a majority has the record.
func (l *ledger) awaitMajority(r *request, p *proxy, position cwgroup.LogPosition, tombstone bool) {
	if l.sim.options.ackAtPrimary || l.sim.options.ackAtSynchronousReplica {
		l.complete(r, tombstone, position)
		return
	}
	p.tracker.Add(cwack.PendingWrite{Position: position, Deadline: l.sim.now.Add(5 * time.Second), Notify: func(o cwack.Outcome) {
		if o == cwack.Acknowledged {
			l.complete(r, tombstone, position)
		}
	}})
	p.tracker.Update(p.supervisor.View(), l.sim.now)
}

func (l *ledger) complete(r *request, tombstone bool, position cwgroup.LogPosition) {
	if r.acked || r.notRun {
		return
	}
	r.acked, r.notRun, r.position, r.latency = !tombstone, tombstone, position, l.sim.now.Sub(r.startedAt)
	if r.acked {
		l.ackTimes = append(l.ackTimes, l.sim.now)
		if r.done != nil {
			r.done()
			return
		}
		l.sim.after(time.Duration(l.sim.rng.Int64N(int64(300*time.Millisecond))), func() { l.read(r) })
	}
}

// read reads the record of r in the session that wrote it, through a random proxy, with
// or without its session token.
func (l *ledger) read(r *request) {
	p := l.proxy()
	p.do(func() {
		if l.sim.rng.IntN(4) > 0 {
			l.routeRead(r, p, cwroute.Read{Floor: floorOf(r.position)})
			return
		}
		quorum := l.sim.options.quorumReads && l.sim.rng.IntN(2) > 0
		p.readPosition(quorum, func(position cwgroup.LogPosition) { l.routeRead(r, p, cwroute.Read{Floor: floorOf(position)}) })
	})
}

func (l *ledger) routeRead(r *request, p *proxy, rd cwroute.Read) {
	d := p.routeRead(rd)
	switch d.Action {
	case cwroute.Wait:
		l.sim.after(5*time.Millisecond, func() {
			p.do(func() {
				rd.Waited += 5 * time.Millisecond
				l.readWait += 5 * time.Millisecond
				l.routeRead(r, p, rd)
			})
		})
	case cwroute.Serve:
		l.reads++
		if d.Replica {
			l.replicaReads++
		}
		m := l.sim.member(d.Member)
		l.sim.send(p.name, m.name, func() {
			m.do(func() {
				if found, _ := findRecord(m.log[:m.applied()], r.id); !found {
					l.staleReads = append(l.staleReads, fmt.Sprintf("request %d (%v, floor %v) is missing at %s, which has %v as %v", r.id, r.position, rd.Floor.Position, m.name, m.last(), m.role))
				}
			})
		})
	}
}

// violations compares the answers that callers received with a log.
func (l *ledger) violations(log []logRecord) []string {
	count := make(map[int]int)
	tombstones := make(map[int]bool)
	for _, r := range log {
		if r.id == 0 {
			continue
		}
		count[r.id]++
		tombstones[r.id] = r.tombstone
	}
	var out []string
	for id, r := range l.requests {
		switch {
		case count[id] > 1:
			out = append(out, fmt.Sprintf("doubled: %d", id))
		case r.acked && (count[id] == 0 || tombstones[id]):
			out = append(out, fmt.Sprintf("lost: %d, acknowledged at %v", id, r.position))
		case r.notRun && count[id] == 1 && !tombstones[id]:
			out = append(out, fmt.Sprintf("false not run: %d", id))
		}
	}
	for _, s := range l.staleReads {
		out = append(out, "stale: "+s)
	}
	return out
}

// longestPause returns the longest time between two acknowledgements.
func (sim *simulation) longestPause() time.Duration {
	var longest time.Duration
	last := epoch
	for _, at := range sim.ledger.ackTimes {
		longest = max(longest, at.Sub(last))
		last = at
	}
	return longest
}
