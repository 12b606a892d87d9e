// Package cwlead knows, for one proxy, who leads a group of targets that tell
// nothing unasked, and replaces a primary that has failed.
//
// What a Group knows comes from the traffic's own answers, each of which tells
// where a log stands, and from asking targets about themselves. It asks no more
// often than the traffic needs.
//
// Who leads is confirmed by a majority of the members, the primary among them,
// and the confirmation counts for Lease. A change of primary first makes a
// majority of the members stop receiving, so no confirmation of the old primary
// is younger than that. And no proxy acknowledges a commit of a new term before
// it has known that term for Lease. So while a confirmation counts, nothing has
// been acknowledged that the confirmed primary lacks.
package cwlead

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/proxy/cwtargets"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// Times of a group.
const (
	// Lease is how long a confirmation of the primary counts. Its inverse is
	// the rate of questions. Acknowledgements of a new term wait for it, which
	// costs nothing as long as it is not above what a promotion takes.
	Lease = time.Second
	// refreshAt is the age at which a confirmation that is in use is renewed,
	// so that no read waits for it.
	refreshAt = 650 * time.Millisecond
	// AckTimeout bounds the wait for a second member after a commit. A replica
	// that receives at all does so within a few milliseconds.
	AckTimeout = time.Second
	// LeavingCounts is how long a member that leaves counts towards a majority:
	// the longest that an instance in touch takes to learn of it, with a margin.
	LeavingCounts = 4 * time.Second
	// askTimeout bounds a question to a target on an open connection.
	askTimeout = 300 * time.Millisecond
	// tick is how often time is let pass while something is under way, calmTick
	// otherwise.
	tick     = 50 * time.Millisecond
	calmTick = 250 * time.Millisecond
	// calmAsk is how often the primary of a group without traffic is asked.
	calmAsk = 2 * time.Second
	// promotionPatience is how long a promoted member may take to lead before
	// somebody else promotes again. Promotions take about a second.
	promotionPatience = 4 * time.Second
	// traceSpacing is how finely the primary's log is traced; a confirmation by
	// traffic is older than it could be by as much.
	traceSpacing = 20 * time.Millisecond
	// confirmEvery is the least time between two questions for a confirmation:
	// an answer that is there comes within a few milliseconds.
	confirmEvery = 30 * time.Millisecond
	// ackFirst is the wait before the first question for a commit. A record
	// needs about as long to travel, and the traffic's own answers may show it.
	ackFirst = 3 * time.Millisecond
	// ackPollMin and ackPollMax bound the pause between two questions for one
	// commit: from what a busy replica takes to answer one to some hundredths
	// of AckTimeout.
	ackPollMin = 8 * time.Millisecond
	ackPollMax = 40 * time.Millisecond
)

// Config is what a group is made with.
type Config struct {
	Self       cwfailover.InstanceID
	DataCentre string
	Service    string
	Clock      clockwork.Clock
	Log        *log.Logger
	Dialer     cwport.Dialer
	Table      cwplatform.Table
	Promoter   cwport.Promoter
	// Turn is the least time between the acts of two holders.
	Turn time.Duration
	// Seed makes claim ids unique; it must differ between processes.
	Seed string
}

// Member is one target of a group.
type Member struct {
	cwport.Listing
	Pool *cwtargets.Pool
	// leavingSince is when this proxy learnt that it leaves; zero if it stays.
	leavingSince time.Time
}

// Group is what one proxy knows and does about one group.
type Group struct {
	cfg Config

	mu      sync.Mutex
	members map[cwgroup.MemberID]*Member
	sup     *cwfailover.Supervisor
	// trace is where the primary's log stood. What it shows up to confirmed is
	// what the group's primary had; later samples may come from one that was
	// replaced.
	trace   cwroute.History
	lag     cwroute.LagMeter
	tracker cwack.Tracker
	streams map[cwgroup.MemberID]*stream
	// changed is closed and replaced whenever the view changes.
	changed chan struct{}
	// term is the newest term whose primary this proxy knows. At learnt the
	// members had been fenced for it; start is where its log stood when its
	// primary was first seen.
	term   cwgroup.Term
	learnt time.Time
	start  cwgroup.Mark
	// confirmAt is when a confirmation may be asked for again.
	confirmAt time.Time
	// confirmed is when a majority was last known to be in term, and usedAt
	// when a statement last asked for the group.
	confirmed, usedAt time.Time
	acking            bool
	asked             map[cwgroup.MemberID]bool
	row               cwfailover.Row
	rowSeen           time.Time
	synchronous       bool
	// rank is this proxy's place among those that may replace the primary.
	rank int
	// fence is the version of the table row that holds this proxy's claim.
	fence uint64
}

// stream is whether a replica still hears its primary.
type stream struct {
	received  cwgroup.Mark
	advanced  time.Time
	owedSince time.Time
}

// New returns a group without members.
func New(cfg Config) *Group {
	return &Group{
		cfg:     cfg,
		members: make(map[cwgroup.MemberID]*Member),
		sup:     cwfailover.NewSupervisor(cfg.Self, cfg.Seed, cfg.Service, nil),
		streams: make(map[cwgroup.MemberID]*stream),
		asked:   make(map[cwgroup.MemberID]bool),
		changed: make(chan struct{}),
		row:     cwfailover.Row{Done: true},
		rank:    rankOf(cfg.Self, cfg.Service),
	}
}

// Name returns the group's name.
func (g *Group) Name() string { return g.cfg.Service }

// SetMembers replaces the targets of the group. Each takes ceiling connections.
func (g *Group) SetMembers(list []cwport.Listing, ceiling int, synchronous bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.synchronous = synchronous
	seen := make(map[cwgroup.MemberID]bool, len(list))
	for _, l := range list {
		seen[l.ID] = true
		g.setMember(l, ceiling)
	}
	for id, m := range g.members {
		if !seen[id] {
			m.Pool.Close()
			delete(g.members, id)
			delete(g.streams, id)
		}
	}
	g.recount(g.cfg.Clock.Now())
	g.notify()
}

// recount settles which members count towards a majority: all but those that
// have been leaving for a while and do not lead.
//
// The failure: a member is replaced by a new one and both are listed until the
// old one ends. Both lie in one data centre, that is cut off, and the two others
// are no majority of four. It shows as a group that serves nothing though most
// of it is there. A member that leaves counts for LeavingCounts yet, so that
// every proxy has heard of the change before any stops counting it. The caller
// holds mu.
func (g *Group) recount(now time.Time) {
	p, _ := g.sup.View().Primary()
	var ids, stopping []cwgroup.MemberID
	for id, m := range g.members {
		if m.Leaving {
			stopping = append(stopping, id)
		}
		if !m.Leaving || id == p.Member || now.Sub(m.leavingSince) < LeavingCounts {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	if !slices.Equal(ids, g.sup.View().Members()) {
		g.cfg.Log.Info("membersCounted", "group", g.cfg.Service, "members", ids)
		g.sup.SetMembers(ids)
	}
	g.sup.SetStopping(stopping, now)
}

func (g *Group) setMember(l cwport.Listing, ceiling int) {
	m, ok := g.members[l.ID]
	if ok && m.Address != l.Address {
		m.Pool.Close()
		ok = false
	}
	if !ok {
		to := cwport.Endpoint{ID: l.ID, Service: l.Service, Address: l.Address}
		m = &Member{Pool: cwtargets.NewPool(to, ceiling, g.cfg.Dialer, g.cfg.Clock, g)}
		g.members[l.ID] = m
		g.streams[l.ID] = &stream{}
	}
	if l.Leaving && !m.Leaving {
		m.leavingSince = g.cfg.Clock.Now()
	}
	m.Listing = l
	m.Pool.SetCeiling(ceiling)
	m.Pool.SetSlots(l.Slots)
}

// Close closes the connections of the group.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		m.Pool.Close()
	}
	g.tracker.Close()
	g.notify()
}

// notify wakes whoever waits for a change. The caller holds mu.
func (g *Group) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Member returns a member by its id.
func (g *Group) Member(id cwgroup.MemberID) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[id]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Saw takes where a member's log stood, from the answer to a statement that
// was sent at asked. Led is true if only a primary answers that way.
func (g *Group) Saw(id cwgroup.MemberID, m cwgroup.Mark, led bool, asked time.Time) {
	if m == (cwgroup.Mark{}) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	rep, known := g.sup.View().Report(id)
	if led {
		g.trace.Observe(m, asked)
		g.lag.Primary(m, g.cfg.Clock.Now())
		g.report(cwgroup.Report{
			Status: cwgroup.Status{Member: id, Role: cwgroup.RolePrimary, Adopted: max(m.Term, rep.Adopted), Last: m, Applied: m},
			At:     asked, Reachable: true,
		})
		return
	}
	if !known {
		return
	}
	if rep.Role == cwgroup.RolePrimary {
		g.trace.Observe(m, asked)
	}
	g.measureLag(rep, m)
	g.sawLog(rep, m)
}

// measureLag takes what a member has applied, to tell how long it takes to. The
// caller holds mu.
func (g *Group) measureLag(rep cwgroup.Report, m cwgroup.Mark) {
	if rep.Role == cwgroup.RolePrimary {
		g.lag.Primary(m, g.cfg.Clock.Now())
		return
	}
	g.lag.Replica(rep.Member, m, g.cfg.Clock.Now())
}

// sawLog takes that a member's log holds the record at m. The caller holds mu.
//
// What the traffic shows saves most questions: a member that has a record of
// the present term followed its primary after the record was committed, so it
// was not fenced then, and the primary still led.
func (g *Group) sawLog(rep cwgroup.Report, m cwgroup.Mark) {
	changed := false
	if m.AtLeast(rep.Applied) && m != rep.Applied {
		rep.Applied, changed = m, true
	}
	if m.AtLeast(rep.Last) && m != rep.Last {
		rep.Last, changed = m, true
	}
	at, ok := g.trace.CommittedAfter(m)
	if ok && m.Term == g.term && rep.Adopted == g.term && at.After(rep.At) {
		rep.At, changed = at, true
	}
	if changed {
		g.report(rep)
	}
}

// NotPrimary takes that a member refused to lead a transaction that was sent
// at asked.
func (g *Group) NotPrimary(id cwgroup.MemberID, asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	rep, ok := g.sup.View().Report(id)
	if !ok || rep.Role != cwgroup.RolePrimary || asked.Before(rep.At) {
		return
	}
	rep.Role, rep.At = cwgroup.RoleReplica, asked
	g.report(rep)
}

// heard takes what a member said about itself.
func (g *Group) heard(id cwgroup.MemberID, h cwstatement.Health, asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	applied := cwgroup.Mark{}
	if rep, ok := g.sup.View().Report(id); ok {
		applied = rep.Applied
	}
	role := h.Role
	if h.Fence > h.Term {
		role = cwgroup.RoleFenced
	}
	if role == cwgroup.RolePrimary {
		applied = h.Received
		g.lag.Primary(applied, now)
		if h.Term == g.term {
			g.trace.Observe(applied, asked)
		}
	}
	if m, ok := g.members[id]; ok {
		m.Pool.Crowded(h.Connections)
	}
	g.report(cwgroup.Report{
		Status: cwgroup.Status{
			Member: id, Role: role, Adopted: max(h.Term, h.Fence), Last: h.Received, Applied: applied,
			UpstreamAge: g.upstreamAge(id, h.Received, now),
		},
		At: asked, Reachable: true,
	})
}

// report takes a report and draws what follows from it. The caller holds mu.
func (g *Group) report(r cwgroup.Report) {
	now := g.cfg.Clock.Now()
	g.sup.ReportLatest(r, now)
	v := g.sup.View()
	if p, ok := v.Primary(); ok {
		g.learn(p, now)
		if at, ok := cwroute.Sampled(v, p, p.At); ok && p.Reachable {
			if at.After(g.confirmed) {
				g.confirmed = at
			}
		}
	}
	g.observeAcks(now)
	g.notify()
}

// learn notes a primary of a new term. The caller holds mu.
func (g *Group) learn(p cwgroup.Report, now time.Time) {
	if p.Adopted <= g.term {
		return
	}
	g.cfg.Log.Info("primaryKnown", "group", g.cfg.Service, "primary", p.Member, "term", p.Adopted, "position", p.Last, "before", g.term)
	if g.term > 0 {
		// What was confirmed of an earlier term says nothing of this one.
		g.confirmed = time.Time{}
	}
	g.trace = cwroute.History{Spacing: traceSpacing}
	g.trace.Observe(p.Last, p.At)
	g.term, g.learnt, g.start = p.Adopted, now, p.Last
	if g.row.Done && g.row.Term >= p.Adopted {
		// The members were fenced before the change was recorded.
		g.learnt = g.rowSeen
	}
}

// upstreamAge returns how long a replica has not received what its primary is
// known to have, or to have had when it fell silent. The caller holds mu.
func (g *Group) upstreamAge(id cwgroup.MemberID, received cwgroup.Mark, now time.Time) time.Duration {
	s := g.streams[id]
	if s == nil {
		return 0
	}
	if received.Compare(s.received) != 0 {
		s.received, s.advanced = received, now
	}
	p, ok := g.sup.View().Primary()
	if ok && p.Reachable && s.received.AtLeast(p.Last) {
		s.owedSince = time.Time{}
		return 0
	}
	if s.owedSince.IsZero() {
		s.owedSince = now
	}
	if s.advanced.After(s.owedSince) {
		return now.Sub(s.advanced)
	}
	return now.Sub(s.owedSince)
}

// DialFailed implements cwtargets.Events.
func (g *Group) DialFailed(to cwport.Endpoint, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.members[to.ID]; !ok {
		return
	}
	if rep, ok := g.sup.View().Report(to.ID); ok && rep.Reachable {
		g.cfg.Log.Warn("targetLost", "group", g.cfg.Service, "target", to.ID, "cause", err)
	}
	g.sup.Unreachable(to.ID, g.cfg.Clock.Now())
	g.notify()
}

// refusedForNow reports whether a target that refused a connection is there all
// the same.
//
// The failure: a target has as many connections as it takes, a fresh one to try
// it is refused, and the target counts as lost. It shows as a primary that is
// replaced, or reads that are refused, on the busiest days.
func refusedForNow(err error) bool {
	var refused *cwport.RefusedError
	return errors.As(err, &refused) && refused.Code == cwstatement.TooManyConnections
}

// Suspect asks a member for a sign of life on a fresh connection, after one of
// the older ones went silent. Idle connections older than a fresh one that
// works are closed.
func (g *Group) Suspect(id cwgroup.MemberID) {
	m, ok := g.Member(id)
	if !ok || !g.startAsking(id) {
		return
	}
	go g.runProbe(m)
}

func (g *Group) runProbe(m Member) {
	defer g.stopAsking(m.ID)
	at := g.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	t, err := g.cfg.Dialer.Dial(ctx, m.Pool.Endpoint())
	if refusedForNow(err) {
		return
	}
	if err != nil {
		g.DialFailed(m.Pool.Endpoint(), err)
		return
	}
	defer func() { _ = t.Close() }()
	_ = t.SetTimeout(askTimeout)
	asked := g.cfg.Clock.Now()
	h, err := t.Health()
	if refused := (*cwport.RefusedError)(nil); errors.As(err, &refused) {
		return
	}
	if err != nil {
		g.DialFailed(m.Pool.Endpoint(), err)
		return
	}
	m.Pool.Cull(at)
	g.heard(m.ID, h, asked)
}

// startAsking reports whether no question to the member is on its way.
func (g *Group) startAsking(id cwgroup.MemberID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.asked[id] {
		return false
	}
	g.asked[id] = true
	return true
}

func (g *Group) stopAsking(id cwgroup.MemberID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.asked, id)
}

// ask asks a member about itself on a connection of its pool.
func (g *Group) ask(m Member) {
	if !g.startAsking(m.ID) {
		return
	}
	go g.runAsk(m)
}

func (g *Group) runAsk(m Member) {
	defer g.stopAsking(m.ID)
	err := g.with(m, askTimeout, func(t cwport.Target, asked time.Time) error {
		h, err := t.Health()
		if err == nil {
			g.heard(m.ID, h, asked)
		}
		return err
	})
	if err != nil {
		g.cfg.Log.Debug("noHealth", "group", g.cfg.Service, "target", m.ID, "cause", err)
	}
}

// with lends a connection to f. A connection on which f failed for another
// reason than a refusal is closed, and the member is tried anew.
func (g *Group) with(m Member, d time.Duration, f func(t cwport.Target, asked time.Time) error) error {
	c, err := m.Pool.Acquire(context.Background(), g.cfg.Clock.Now().Add(d), nil)
	if err != nil {
		return err
	}
	if err := c.SetTimeout(d); err != nil {
		m.Pool.Discard(c)
		return err
	}
	err = f(c.Target, g.cfg.Clock.Now())
	if _, refused := err.(*cwport.RefusedError); err != nil && !refused {
		m.Pool.Discard(c)
		g.Suspect(m.ID)
		return err
	}
	m.Pool.Release(c)
	return err
}
