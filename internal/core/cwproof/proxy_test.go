package cwproof

import (
	"fmt"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
	"cicadawalk.example/cicadawalk/internal/core/cwsession"
)

// unreachableAfter is how long a feed takes to call a silent member
// unreachable: the silence and the fresh connection that fails.
const unreachableAfter = 900 * time.Millisecond

// proxy is the decision parts of one proxy, with fakes around them.
type proxy struct {
	process
	index   int
	sup     *cwfailover.Supervisor
	tracker cwack.Tracker
	lagging cwroute.LagTracker
	history cwroute.PositionHistory
	heard   map[cwgroup.MemberID]time.Time
	changes int
	// starts counts the restarts, which makes claims unique.
	starts int
}

func newProxy(w *world, i int) *proxy {
	p := &proxy{process: process{w: w, name: fmt.Sprintf("p%d", i)}, index: i, heard: make(map[cwgroup.MemberID]time.Time)}
	p.restart()
	for _, m := range w.members {
		w.every(250*time.Millisecond, func() { p.do(func() { p.probe(m) }) })
	}
	w.every(25*time.Millisecond, func() { p.do(p.tick) })
	w.every(time.Second, func() { p.do(p.beat) })
	return p
}

// restart makes the proxy anew; whatever it knew is gone.
func (p *proxy) restart() {
	p.starts++
	p.sup = cwfailover.NewSupervisor(cwfailover.InstanceID(p.name), fmt.Sprint(p.starts), "g", []cwgroup.MemberID{"m0", "m1", "m2"})
	p.tracker, p.lagging, p.history = cwack.Tracker{}, cwroute.LagTracker{}, cwroute.PositionHistory{}
	for _, m := range p.w.members {
		p.heard[m.id()] = p.w.now
	}
}

// hear brings a member's status to the proxy.
func (p *proxy) hear(m *member) {
	s, f := m.status(), m.following()
	p.w.send(m.name, p.name, func() { p.do(func() { p.report(s, f, time.Time{}) }) })
}

func (p *proxy) report(s cwgroup.Status, following cwgroup.MemberID, asked time.Time) {
	p.heard[s.Member] = p.w.now
	if p.sup.AddReport(cwgroup.Report{Status: s, At: p.w.now, Reachable: true}, following, p.w.now) {
		p.beat()
	}
	if pr, ok := p.sup.View().Primary(); ok && pr.Member == s.Member {
		p.lagging.ObservePrimary(s.Durable, p.w.now)
		if at, ok := cwroute.ConfirmedAt(p.sup.View(), pr, asked); ok && !asked.IsZero() {
			p.history.Observe(s.Durable, at)
		}
	} else {
		p.lagging.ObserveReplica(s.Member, s.Applied, p.w.now)
	}
	p.tracker.Update(p.sup.View(), p.w.now)
}

// probe asks a member for its status. One that is down refuses at once.
func (p *proxy) probe(m *member) {
	asked := p.w.now
	p.w.send(p.name, m.name, func() {
		if m.down {
			p.w.send(m.name, p.name, func() { p.do(func() { p.unreachable(m.id()) }) })
			return
		}
		m.do(func() {
			s, f := m.status(), m.following()
			p.w.send(m.name, p.name, func() { p.do(func() { p.report(s, f, asked) }) })
		})
	})
}

func (p *proxy) unreachable(id cwgroup.MemberID) {
	if p.sup.SetUnreachable(id, p.w.now) {
		p.beat()
	}
}

func (p *proxy) beat() {
	v := p.sup.Vote()
	for _, o := range p.w.proxies {
		if o == p {
			continue
		}
		p.w.send(p.name, o.name, func() {
			o.do(func() {
				v.ReceivedAt = p.w.now
				o.sup.AddVote(v)
			})
		})
	}
}

func (p *proxy) conditions() cwfailover.TickInputs {
	return cwfailover.TickInputs{
		ListedProxies:    len(p.w.proxies),
		Rank:             p.index,
		MembersCheckTerm: p.w.opts.checksTerm,
		WithoutTable:     p.w.opts.withoutTable,
	}
}

func (p *proxy) tick() {
	for _, m := range p.w.members {
		if p.w.now.Sub(p.heard[m.id()]) > unreachableAfter {
			p.unreachable(m.id())
		}
	}
	p.tracker.Update(p.sup.View(), p.w.now)
	orders := p.sup.Tick(p.w.now, p.conditions())
	if r, ok := p.sup.TakeResult(p.w.now, p.conditions()); ok && r.Changed() {
		p.changes++
	}
	p.dispatch(orders)
}

// dispatch sends orders a moment later; the proxy may be paused in between.
func (p *proxy) dispatch(orders []cwfailover.Command) {
	for _, o := range orders {
		p.w.after(p.w.delay()/4, func() {
			p.do(func() {
				if p.w.now.After(o.NotAfter) {
					p.handle(cwfailover.Response{Kind: o.Kind, Member: o.Member, Claim: o.Claim, Failed: true, RowOutcome: cwfailover.RowUnavailable})
					return
				}
				p.carry(o)
			})
		})
	}
}

func (p *proxy) handle(ev cwfailover.Response) {
	p.dispatch(p.sup.Handle(ev, p.w.now))
}

// carry takes an order to a member or the table.
func (p *proxy) carry(o cwfailover.Command) {
	ev := cwfailover.Response{Kind: o.Kind, Member: o.Member, Claim: o.Claim}
	switch o.Kind {
	case cwfailover.WriteClaim, cwfailover.ReadClaim, cwfailover.RecordReplacedTerm, cwfailover.RecordPrimary:
		p.askTable(o, ev)
		return
	}
	answered := false
	p.w.after(500*time.Millisecond, func() {
		p.do(func() {
			if !answered {
				answered = true
				ev.Failed = true
				p.handle(ev)
			}
		})
	})
	m := p.w.member(o.Member)
	p.w.send(p.name, m.name, func() {
		m.do(func() {
			ok := false
			switch o.Kind {
			case cwfailover.AdoptTerm:
				ok = m.adopt(o.Term, o.Claim)
			case cwfailover.Promote:
				ok = m.promote(o.Term, o.Claim)
			case cwfailover.Follow:
				ok = m.obeyFollow(o.Term, o.Claim, p.w.member(o.Primary))
			}
			s := m.status()
			p.w.send(m.name, p.name, func() {
				p.do(func() {
					if !answered {
						answered = true
						ev.Failed, ev.Status = !ok, s
						p.handle(ev)
					}
				})
			})
		})
	})
}

func (w *world) member(id cwgroup.MemberID) *member {
	for _, m := range w.members {
		if m.id() == id {
			return m
		}
	}
	return nil
}

// askTable reads the row, and changes it if it is still as it was read.
func (p *proxy) askTable(o cwfailover.Command, ev cwfailover.Response) {
	t := p.w.table
	answer := func(out cwfailover.RowOutcome) {
		ev.RowOutcome = out
		p.w.after(p.w.delay(), func() { p.do(func() { p.handle(ev) }) })
	}
	if t.down || p.w.cuts[link(p.name, "table")] > 0 {
		p.w.after(p.w.delay(), func() { answer(cwfailover.RowUnavailable) })
		return
	}
	p.w.after(p.w.delay()+t.slow, func() {
		row, version := t.row, t.version
		p.do(func() {
			mine := row.claim == o.Claim
			cwRow := cwfailover.Row{Term: row.term, Claim: row.claim, Owner: cwfailover.InstanceID(row.keeper), Done: row.done || row.term == 0}
			switch {
			case o.Kind == cwfailover.ReadClaim && mine:
				answer(cwfailover.RowConfirmed)
				return
			case o.Kind == cwfailover.ReadClaim,
				o.Kind == cwfailover.RecordReplacedTerm && !mine,
				o.Kind == cwfailover.WriteClaim && !mine && !p.sup.MayClaim(cwRow, o.Term, p.w.now),
				o.Kind == cwfailover.RecordPrimary && row.term > o.Term:
				answer(cwfailover.RowConflict)
				return
			}
			next := tableRow{term: o.Term, claim: o.Claim, keeper: p.name, done: o.Kind == cwfailover.RecordPrimary}
			p.w.after(p.w.delay()+t.slow, func() { p.commitRow(next, version, answer) })
		})
	})
}

func (p *proxy) commitRow(next tableRow, version int, answer func(cwfailover.RowOutcome)) {
	t := p.w.table
	switch {
	case t.down:
		answer(cwfailover.RowUnavailable)
	case t.version != version:
		answer(cwfailover.RowConflict)
	default:
		t.row = next
		t.version++
		t.writes++
		if t.lose > 0 {
			t.lose--
			answer(cwfailover.RowUnknown)
			return
		}
		answer(cwfailover.RowConfirmed)
	}
}

// place decides about a read as a Group does.
func (p *proxy) place(rd cwroute.Read) cwroute.Decision {
	var cands []cwroute.Candidate
	v := p.sup.View()
	for _, m := range p.w.members {
		c := cwroute.Candidate{Member: m.id(), Load: p.w.rng.Float64()}
		if rep, ok := v.Report(m.id()); ok {
			c.Age, c.AgeKnown = p.history.Age(rep.Applied, p.w.now)
		}
		if rd.Floor.Known {
			c.CatchUp = p.lagging.CatchUp(m.id(), rd.Floor.Position, p.w.now)
		}
		cands = append(cands, c)
	}
	if b := p.w.opts.waitReads; b > 0 {
		return cwroute.Router[cwroute.BoundedWait]{Policy: cwroute.BoundedWait{Bound: b}}.Route(v, cands, rd, p.w.now)
	}
	return cwroute.Router[cwroute.PrimaryFallback]{}.Route(v, cands, rd, p.w.now)
}

// tip asks every member for its status, and answers with the primary's position
// once a majority has confirmed its term.
func (p *proxy) tip(then func(cwgroup.LogPosition)) {
	var answers []cwgroup.Status
	done := false
	for _, m := range p.w.members {
		p.w.send(p.name, m.name, func() {
			m.do(func() {
				s := m.status()
				p.w.send(m.name, p.name, func() {
					p.do(func() {
						answers = append(answers, s)
						if mark, ok := cwgroup.ConfirmedPosition(answers, len(p.w.members)); ok && !done {
							done = true
							then(mark)
						}
					})
				})
			})
		})
	}
}

func floorOf(m cwgroup.LogPosition) cwsession.Floor { return cwsession.Floor{Position: m, Known: true} }
