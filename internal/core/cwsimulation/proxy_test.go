package cwsimulation

import (
	"fmt"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
	"cicadawalk.example/cicadawalk/internal/core/cwsession"
)

// unreachableAfter is the time until a feed reports an unresponsive member as
// unreachable: the time without messages, and the new connection that fails.
const unreachableAfter = 900 * time.Millisecond

// proxy is a simulated proxy. It uses the real decision code; all other parts are fakes.
type proxy struct {
	process
	index      int
	supervisor *cwfailover.Supervisor
	tracker    cwack.Tracker
	lagTracker cwroute.LagTracker
	history    cwroute.PositionHistory
	// lastHeard has an entry for each member in the platform's list as last read: listed
	// and draining.
	lastHeard        map[cwgroup.MemberID]time.Time
	listed, draining []cwgroup.MemberID
	leavingSince     map[cwgroup.MemberID]time.Time
	reconfiguration  cwgroup.Reconfiguration
	changes          int
	// starts is the number of starts. It makes claims unique.
	starts int
}

func newProxy(sim *simulation, i int) *proxy {
	p := &proxy{process: process{sim: sim, name: fmt.Sprintf("p%d", i)}, index: i}
	p.restart()
	for _, m := range sim.members {
		sim.every(250*time.Millisecond, func() { p.do(func() { p.probe(m) }) })
	}
	sim.every(25*time.Millisecond, func() { p.do(p.tick) })
	sim.every(time.Second, func() { p.do(p.broadcastVote) })
	sim.every(listInterval, func() { p.do(p.readList) })
	return p
}

// restart replaces the state of the proxy by that of a new process.
func (p *proxy) restart() {
	p.starts++
	p.supervisor = cwfailover.NewSupervisor(cwfailover.InstanceID(p.name), fmt.Sprint(p.starts), "g", nil)
	p.tracker, p.lagTracker, p.history = cwack.Tracker{}, cwroute.LagTracker{}, cwroute.PositionHistory{}
	p.lastHeard, p.leavingSince = make(map[cwgroup.MemberID]time.Time), make(map[cwgroup.MemberID]time.Time)
	p.reconfiguration = cwgroup.Reconfiguration{}
	p.readList()
}

// receiveStatus delivers a member's current status to the proxy.
func (p *proxy) receiveStatus(m *member) {
	s, f := m.status(), m.following()
	p.sim.send(m.name, p.name, func() { p.do(func() { p.report(s, f, time.Time{}) }) })
}

func (p *proxy) report(s cwgroup.Status, following cwgroup.MemberID, asked time.Time) {
	if !p.knows(s.Member) {
		return
	}
	p.lastHeard[s.Member] = p.sim.now
	if p.supervisor.AddReport(cwgroup.Report{Status: s, At: p.sim.now, Reachable: true}, following, p.sim.now) {
		p.broadcastVote()
	}
	if pr, ok := p.supervisor.View().Primary(); ok && pr.Member == s.Member {
		p.lagTracker.ObservePrimary(s.Durable, p.sim.now)
		if at, ok := cwroute.ConfirmedAt(p.supervisor.View(), pr, asked); ok && !asked.IsZero() {
			p.history.Observe(s.Durable, at)
		}
	} else {
		p.lagTracker.ObserveReplica(s.Member, s.Applied, p.sim.now)
	}
	p.tracker.Update(p.supervisor.View(), p.sim.now)
}

// probe queries a member's status. A member that is down refuses the connection
// immediately.
func (p *proxy) probe(m *member) {
	asked := p.sim.now
	p.sim.send(p.name, m.name, func() {
		if m.down {
			p.sim.send(m.name, p.name, func() { p.do(func() { p.unreachable(m.id()) }) })
			return
		}
		m.do(func() {
			s, f := m.status(), m.following()
			p.sim.send(m.name, p.name, func() { p.do(func() { p.report(s, f, asked) }) })
		})
	})
}

func (p *proxy) unreachable(id cwgroup.MemberID) {
	if p.supervisor.SetUnreachable(id, p.sim.now) {
		p.broadcastVote()
	}
}

func (p *proxy) broadcastVote() {
	v := p.supervisor.Vote()
	for _, o := range p.sim.proxies {
		if o == p {
			continue
		}
		p.sim.send(p.name, o.name, func() {
			o.do(func() {
				v.ReceivedAt = p.sim.now
				o.supervisor.AddVote(v)
			})
		})
	}
}

func (p *proxy) tickInputs() cwfailover.TickInputs {
	return cwfailover.TickInputs{
		ListedProxies:    len(p.sim.proxies),
		Rank:             p.index,
		MembersCheckTerm: p.sim.options.checksTerm,
		WithoutTable:     p.sim.options.withoutTable,
	}
}

func (p *proxy) tick() {
	for _, id := range p.known() {
		if p.sim.now.Sub(p.lastHeard[id]) > unreachableAfter {
			p.unreachable(id)
		}
	}
	p.countMembers()
	p.tracker.Update(p.supervisor.View(), p.sim.now)
	commands := p.supervisor.Tick(p.sim.now, p.tickInputs())
	if r, ok := p.supervisor.TakeResult(p.sim.now, p.tickInputs()); ok && r.Changed() {
		p.changes++
	}
	p.dispatch(commands)
}

// dispatch executes commands after a short delay, in which the proxy may be paused.
func (p *proxy) dispatch(commands []cwfailover.Command) {
	for _, o := range commands {
		p.sim.after(p.sim.messageDelay()/4, func() {
			p.do(func() {
				if p.sim.now.After(o.NotAfter) {
					p.handle(cwfailover.Response{Kind: o.Kind, Member: o.Member, Claim: o.Claim, Failed: true, RowOutcome: cwfailover.RowUnavailable})
					return
				}
				p.execute(o)
			})
		})
	}
}

func (p *proxy) handle(ev cwfailover.Response) {
	p.dispatch(p.supervisor.Handle(ev, p.sim.now))
}

// execute sends a command to a member or to the table.
func (p *proxy) execute(o cwfailover.Command) {
	ev := cwfailover.Response{Kind: o.Kind, Member: o.Member, Claim: o.Claim}
	switch o.Kind {
	case cwfailover.WriteClaim, cwfailover.ReadClaim, cwfailover.RecordReplacedTerm, cwfailover.RecordPrimary:
		p.askTable(o, ev)
		return
	}
	answered := false
	p.sim.after(500*time.Millisecond, func() {
		p.do(func() {
			if !answered {
				answered = true
				ev.Failed = true
				p.handle(ev)
			}
		})
	})
	m := p.sim.member(o.Member)
	p.sim.send(p.name, m.name, func() {
		m.do(func() {
			ok := false
			switch o.Kind {
			case cwfailover.AdoptTerm:
				ok = m.adopt(o.Term, o.Claim)
			case cwfailover.Promote:
				ok = m.promote(o.Term, o.Claim)
			case cwfailover.Follow:
				ok = m.followPrimary(o.Term, o.Claim, p.sim.member(o.Primary))
			}
			s := m.status()
			p.sim.send(m.name, p.name, func() {
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

func (sim *simulation) member(id cwgroup.MemberID) *member {
	for _, m := range sim.all {
		if m.id() == id {
			return m
		}
	}
	return nil
}

// askTable reads the row, and replaces it if it was not changed since.
func (p *proxy) askTable(o cwfailover.Command, ev cwfailover.Response) {
	t := p.sim.table
	answer := func(out cwfailover.RowOutcome) {
		ev.RowOutcome = out
		p.sim.after(p.sim.messageDelay(), func() { p.do(func() { p.handle(ev) }) })
	}
	if t.down || p.sim.cuts[pathBetween(p.name, "table")] > 0 {
		p.sim.after(p.sim.messageDelay(), func() { answer(cwfailover.RowUnavailable) })
		return
	}
	p.sim.after(p.sim.messageDelay()+t.slow, func() {
		row, version := t.row, t.version
		p.do(func() {
			mine := row.claim == o.Claim
			cwRow := cwfailover.Row{Term: row.term, Claim: row.claim, Owner: cwfailover.InstanceID(row.owner), Done: row.done || row.term == 0}
			switch {
			case o.Kind == cwfailover.ReadClaim && mine:
				answer(cwfailover.RowConfirmed)
				return
			case o.Kind == cwfailover.ReadClaim,
				o.Kind == cwfailover.RecordReplacedTerm && !mine,
				o.Kind == cwfailover.WriteClaim && !mine && !p.supervisor.MayClaim(cwRow, o.Term, p.sim.now),
				o.Kind == cwfailover.RecordPrimary && row.term > o.Term:
				answer(cwfailover.RowConflict)
				return
			}
			next := tableRow{term: o.Term, claim: o.Claim, owner: p.name, done: o.Kind == cwfailover.RecordPrimary}
			p.sim.after(p.sim.messageDelay()+t.slow, func() { p.commitRow(next, version, answer) })
		})
	})
}

func (p *proxy) commitRow(next tableRow, version int, answer func(cwfailover.RowOutcome)) {
	t := p.sim.table
	switch {
	case t.down:
		answer(cwfailover.RowUnavailable)
	case t.version != version:
		answer(cwfailover.RowConflict)
	default:
		t.row = next
		t.version++
		t.writes++
		if t.lostResponses > 0 {
			t.lostResponses--
			answer(cwfailover.RowUnknown)
			return
		}
		answer(cwfailover.RowConfirmed)
	}
}

// routeRead selects a member for a read in the same way as a cwmonitor.Group.
func (p *proxy) routeRead(rd cwroute.Read) cwroute.Decision {
	var cands []cwroute.Candidate
	v := p.supervisor.View()
	for _, m := range p.sim.all {
		if !p.knows(m.id()) {
			continue
		}
		c := cwroute.Candidate{Member: m.id(), Load: p.sim.rng.Float64(), Draining: p.supervisor.Stopping(m.id())}
		if rep, ok := v.Report(m.id()); ok {
			c.Age, c.AgeKnown = p.history.Age(rep.Applied, p.sim.now)
		}
		if rd.Floor.Known {
			c.CatchUp = p.lagTracker.CatchUp(m.id(), rd.Floor.Position, p.sim.now)
		}
		cands = append(cands, c)
	}
	if b := p.sim.options.replicaWait; b > 0 {
		return cwroute.Router[cwroute.BoundedWait]{Policy: cwroute.BoundedWait{Bound: b}}.Route(v, cands, rd, p.sim.now)
	}
	return cwroute.Router[cwroute.PrimaryFallback]{}.Route(v, cands, rd, p.sim.now)
}

// readPosition queries the status of every member, and calls then with the primary's log
// position when a majority has confirmed the primary's term. If quorum is true, it calls
// then with the floor that follows from the members without a primary.
func (p *proxy) readPosition(quorum bool, then func(cwgroup.LogPosition)) {
	asked := p.sim.now
	var answers []cwgroup.Status
	done := false
	position := func() (cwgroup.LogPosition, bool) {
		if !quorum {
			return cwgroup.ConfirmedPosition(answers, p.supervisor.View().Quorums())
		}
		v := cwgroup.NewView("g", nil).WithMembers(p.supervisor.View().Members(), p.supervisor.View().Quorums())
		for _, s := range answers {
			v = v.WithReport(cwgroup.Report{Status: s, At: asked, Reachable: true})
		}
		return cwroute.QuorumReadPosition(v, asked, func(cwgroup.MemberID) bool { return true })
	}
	for _, id := range p.known() {
		m := p.sim.member(id)
		p.sim.send(p.name, m.name, func() {
			m.do(func() {
				s := m.status()
				p.sim.send(m.name, p.name, func() {
					p.do(func() {
						answers = append(answers, s)
						if m, ok := position(); ok && !done {
							done = true
							then(m)
						}
					})
				})
			})
		})
	}
}

func floorOf(m cwgroup.LogPosition) cwsession.Floor { return cwsession.Floor{Position: m, Known: true} }
