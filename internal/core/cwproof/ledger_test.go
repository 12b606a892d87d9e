package cwproof

import (
	"fmt"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
)

// request is a keyed write of a caller, repeated until its answer is known.
type request struct {
	id    int
	began time.Time
	// acked and notRun are what the caller was told; at most one is set.
	acked, notRun bool
	tries         int
	mark          cwgroup.LogPosition
	took          time.Duration
	// done, if set, is called in place of a read of the record.
	done func()
}

// ledger is what callers were told.
type ledger struct {
	w        *world
	requests map[int]*request
	next     int
	stale    []string
	acks     []time.Time
	reads    int
	replica  int
	waited   time.Duration
	stopped  bool
}

// retryAfter is how long a caller waits for an answer before it repeats the
// request with the same key through another proxy.
const retryAfter = 1500 * time.Millisecond

func (l *ledger) proxy() *proxy { return l.w.proxies[l.w.rng.IntN(len(l.w.proxies))] }

// write begins a new request.
func (l *ledger) write() {
	if l.stopped {
		return
	}
	l.next++
	r := &request{id: l.next, began: l.w.now}
	l.requests[r.id] = r
	l.try(r, l.proxy())
}

// try sends a request through a proxy. After a few tries it is given up, by a
// tombstone.
func (l *ledger) try(r *request, p *proxy) {
	if r.acked || r.notRun {
		return
	}
	r.tries++
	bury := r.tries > 6
	p.do(func() {
		pr, ok := cwroute.WritablePrimary(p.sup.View(), l.w.now)
		if !ok {
			return
		}
		m := l.w.member(pr.Member)
		l.w.send(p.name, m.name, func() { m.do(func() { l.runAt(r, p, m, bury) }) })
	})
	l.w.after(retryAfter, func() { l.try(r, l.proxy()) })
}

// runAt is what a database does with a keyed request: the key is unique, so a
// request that is there already is not run again.
func (l *ledger) runAt(r *request, p *proxy, m *member, bury bool) {
	if m.role != cwgroup.RolePrimary {
		return
	}
	found, tombstone := m.has(r.id)
	if !found {
		tombstone = bury
		m.append(rec{term: m.adopted, id: r.id, tombstone: bury})
		m.tell()
	}
	mark := m.last()
	if l.w.opts.noSettle && found {
		// The mutation: an old record is answered as done without waiting.
		l.w.send(m.name, p.name, func() { p.do(func() { l.told(r, tombstone, mark) }) })
		return
	}
	l.w.send(m.name, p.name, func() { p.do(func() { l.await(r, p, mark, tombstone) }) })
}

// await acknowledges once a majority has the record.
func (l *ledger) await(r *request, p *proxy, mark cwgroup.LogPosition, tombstone bool) {
	if l.w.opts.ackAtPrimary {
		l.told(r, tombstone, mark)
		return
	}
	p.tracker.Add(cwack.PendingWrite{Position: mark, Deadline: l.w.now.Add(5 * time.Second), Notify: func(o cwack.Outcome) {
		if o == cwack.Acknowledged {
			l.told(r, tombstone, mark)
		}
	}})
	p.tracker.Update(p.sup.View(), l.w.now)
}

func (l *ledger) told(r *request, tombstone bool, mark cwgroup.LogPosition) {
	if r.acked || r.notRun {
		return
	}
	r.acked, r.notRun, r.mark, r.took = !tombstone, tombstone, mark, l.w.now.Sub(r.began)
	if r.acked {
		l.acks = append(l.acks, l.w.now)
		if r.done != nil {
			r.done()
			return
		}
		l.w.after(time.Duration(l.w.rng.Int64N(int64(300*time.Millisecond))), func() { l.read(r) })
	}
}

// read lets the session that wrote r read it, through any proxy, with its token
// or without.
func (l *ledger) read(r *request) {
	p := l.proxy()
	p.do(func() {
		if l.w.rng.IntN(4) > 0 {
			l.placed(r, p, cwroute.Read{Floor: floorOf(r.mark)})
			return
		}
		p.tip(func(tip cwgroup.LogPosition) { l.placed(r, p, cwroute.Read{Floor: floorOf(tip)}) })
	})
}

func (l *ledger) placed(r *request, p *proxy, rd cwroute.Read) {
	d := p.place(rd)
	switch d.Action {
	case cwroute.Wait:
		l.w.after(5*time.Millisecond, func() {
			p.do(func() {
				rd.Waited += 5 * time.Millisecond
				l.waited += 5 * time.Millisecond
				l.placed(r, p, rd)
			})
		})
	case cwroute.Serve:
		l.reads++
		if d.Replica {
			l.replica++
		}
		m := l.w.member(d.Member)
		l.w.send(p.name, m.name, func() {
			m.do(func() {
				if found, _ := find(m.log[:m.applied()], r.id); !found {
					l.stale = append(l.stale, fmt.Sprintf("request %d (%v, floor %v) not at %s, which has %v as %v", r.id, r.mark, rd.Floor.Position, m.name, m.last(), m.role))
				}
			})
		})
	}
}

// violations holds what callers were told against a log.
func (l *ledger) violations(log []rec) []string {
	count := make(map[int]int)
	buried := make(map[int]bool)
	for _, r := range log {
		if r.id == 0 {
			continue
		}
		count[r.id]++
		buried[r.id] = r.tombstone
	}
	var out []string
	for id, r := range l.requests {
		switch {
		case count[id] > 1:
			out = append(out, fmt.Sprintf("doubled: %d", id))
		case r.acked && (count[id] == 0 || buried[id]):
			out = append(out, fmt.Sprintf("lost: %d, acknowledged at %v", id, r.mark))
		case r.notRun && count[id] == 1 && !buried[id]:
			out = append(out, fmt.Sprintf("false not run: %d", id))
		}
	}
	for _, s := range l.stale {
		out = append(out, "stale: "+s)
	}
	return out
}

// longestPause returns the longest time without an acknowledgement.
func (w *world) longestPause() time.Duration {
	var longest time.Duration
	last := epoch
	for _, at := range w.ledger.acks {
		longest = max(longest, at.Sub(last))
		last = at
	}
	return longest
}
