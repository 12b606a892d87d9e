// Package cwwatch keeps one proxy's view of one group up to date, and acts on
// it.
//
// A Group owns a feed to each member. What the feeds report becomes a View; the
// view decides where reads go, when writes are acknowledged, and whether the
// primary is to be replaced. The decisions are those of the core packages; this
// package gives them events, the clock and a lock, and sends their orders.
package cwwatch

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwack"
	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwplace"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// tick is how often time is let pass in a group's decisions.
const tick = 25 * time.Millisecond

// Watchers is what a group knows about the other proxies.
type Watchers interface {
	// Live returns the ids of the instances that the platform lists as live,
	// this one included.
	Live() []string
	// Publish tells the other watchers how this proxy votes.
	Publish(group string, v cwfailover.Vote)
}

// Journal records what the proxy did by itself.
type Journal interface {
	Record(kind, subject, before, after string)
}

// Pools is what a group tells the owner of the pools.
type Pools interface {
	// Load returns the load of the pool to a member.
	Load(id cwgroup.MemberID) float64
	// Cull closes old connections to a member that may have gone silent.
	Cull(id cwgroup.MemberID)
}

// Config is what a group is made with.
type Config struct {
	Self       cwfailover.InstanceID
	DataCentre string
	Service    string
	Group      cwcatalogue.Group
	Contract   cwcatalogue.Contract
	// Distance returns the one-way delay to a data centre.
	Distance func(dataCentre string) time.Duration
	Clock    clockwork.Clock
	Log      *log.Logger
	Table    cwplatform.Table
	Watchers Watchers
	Journal  Journal
	Pools    Pools
	// Seed makes claim ids unique; it must differ between processes.
	Seed string
}

// Group is the live state of one group at this proxy.
type Group struct {
	cfg   Config
	feeds map[cwgroup.MemberID]*cwtarget.Feed

	mu        sync.Mutex
	contract  cwcatalogue.Contract
	view      cwgroup.View
	following map[cwgroup.MemberID]cwgroup.MemberID
	history   cwroute.History
	lag       cwroute.LagMeter
	tracker   cwack.Tracker
	detector  cwfailover.Detector[cwfailover.ByProxiesAndReplicas]
	stopping  map[cwgroup.MemberID]bool
	// changed is closed and replaced whenever the view or the stops change.
	changed chan struct{}
	// openWrites counts this proxy's write transactions in progress.
	openWrites int
	// keeping is true while this proxy changes the primary.
	keeping bool
	// due is when this proxy may begin to replace the primary; zero if the
	// evidence is not enough.
	due    time.Time
	claims int
	// otherClaim and otherSince remember another proxy's unfinished claim.
	otherClaim cwgroup.ClaimID
	otherSince time.Time
	// retryAt is when a failed change may be tried again.
	retryAt time.Time
	// strandedSince is when a member was first seen beyond the primary's term.
	strandedSince time.Time
	tip           tipAsk
	lostAt        time.Time
	gaps          []time.Duration
}

// New returns a group that is not running yet.
func New(cfg Config) *Group {
	g := &Group{
		cfg:       cfg,
		contract:  cfg.Contract,
		feeds:     make(map[cwgroup.MemberID]*cwtarget.Feed),
		view:      cwgroup.NewView(cfg.Group.Name, cfg.Group.MemberIDs()),
		following: make(map[cwgroup.MemberID]cwgroup.MemberID),
		stopping:  make(map[cwgroup.MemberID]bool),
		changed:   make(chan struct{}),
	}
	g.detector.Self = cfg.Self
	for _, t := range cfg.Group.Targets {
		g.feeds[t.ID] = &cwtarget.Feed{
			Member:  t.ID,
			Address: t.Address,
			Startup: cwtarget.Startup{User: "cicadawalk", Database: cfg.Service, Application: cwtarget.ControlApplication},
			Clock:   cfg.Clock,
			Events:  g,
		}
	}
	return g
}

// Run keeps the group up to date until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	for _, f := range g.feeds {
		eg.Go(func() error { return f.Run(ctx) })
	}
	eg.Go(func() error { return g.loop(ctx, eg) })
	return eg.Wait()
}

// loop lets time pass.
func (g *Group) loop(ctx context.Context, eg *errgroup.Group) error {
	for ctx.Err() == nil {
		select {
		case <-g.cfg.Clock.After(tick):
		case <-ctx.Done():
			return nil
		}
		g.tick(ctx, eg)
	}
	return nil
}

func (g *Group) tick(ctx context.Context, eg *errgroup.Group) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	g.tracker.Observe(g.view, now)
	g.measureGap(now)
	plan, drain, start := g.decide(now)
	var repairs []cwfailover.Order
	if !start && g.mayRepair(now) {
		repairs = cwfailover.Repairs(g.view, g.following, now)
	}
	if start {
		g.keeping = true
	}
	g.mu.Unlock()
	if start {
		eg.Go(func() error {
			g.keep(ctx, plan, drain)
			return nil
		})
	}
	for _, o := range repairs {
		eg.Go(func() error {
			g.send(ctx, o)
			return nil
		})
	}
}

// Reported implements cwtarget.FeedEvents.
func (g *Group) Reported(r cwtarget.Report, asked time.Time) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	g.view = g.view.WithReport(cwgroup.Report{Status: r.Status, At: now, Reachable: true})
	g.following[r.Member] = r.Following
	if p, ok := g.view.Primary(); ok && p.Member == r.Member && r.Role == cwgroup.RolePrimary {
		if !asked.IsZero() {
			g.history.Observe(r.Last, asked)
		}
		g.lag.Primary(r.Last, now)
	} else {
		g.lag.Replica(r.Member, r.Applied, now)
	}
	g.tracker.Observe(g.view, now)
	g.vote(now)
	g.notify()
	g.mu.Unlock()
}

// Unreachable implements cwtarget.FeedEvents.
func (g *Group) Unreachable(id cwgroup.MemberID) {
	g.mu.Lock()
	g.view = g.view.WithUnreachable(id)
	g.vote(g.cfg.Clock.Now())
	g.notify()
	g.mu.Unlock()
	g.cfg.Pools.Cull(id)
}

// WentSilent implements cwtarget.FeedEvents.
func (g *Group) WentSilent(id cwgroup.MemberID) {
	g.cfg.Log.Warn("silentConnections", "group", g.cfg.Group.Name, "target", id)
	g.cfg.Pools.Cull(id)
}

// notify wakes whoever waits for a change. The caller holds mu.
func (g *Group) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// vote updates this proxy's vote and publishes it if it changed. The caller
// holds mu.
func (g *Group) vote(now time.Time) {
	p, ok := g.view.Primary()
	suspect := ok && !p.Reachable
	if g.detector.SetOwn(g.view.Term(), suspect, now) {
		v := g.detector.Own()
		go g.cfg.Watchers.Publish(g.cfg.Group.Name, v)
	}
}

// Vote returns this proxy's vote, for heartbeats.
func (g *Group) Vote() cwfailover.Vote {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Own()
}

// ObserveVote takes another watcher's vote.
func (g *Group) ObserveVote(v cwfailover.Vote) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v.At = g.cfg.Clock.Now()
	g.detector.Observe(v)
}

// View returns the present view.
func (g *Group) View() cwgroup.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view
}

// Name returns the group's name.
func (g *Group) Name() string { return g.cfg.Group.Name }

// SetContract replaces the contract of the group's entry.
func (g *Group) SetContract(c cwcatalogue.Contract) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.contract = c
}

// SetStopping tells which members are to be left in peace.
func (g *Group) SetStopping(ids map[cwgroup.MemberID]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = ids
	g.notify()
}

// rank is this proxy's place among the live ones for this group. Lower ranks
// act first, so that keepers seldom run at once.
func (g *Group) rank() int {
	return cwplace.Rank(string(g.cfg.Self), g.cfg.Group.Name, g.cfg.Watchers.Live())
}

// measureGap notes how long no write could be placed. The caller holds mu.
func (g *Group) measureGap(now time.Time) {
	p, ok := cwroute.WritePrimary(g.view, now)
	switch {
	case !ok && g.lostAt.IsZero() && g.view.Term() > 0:
		g.lostAt = now
	case ok && !g.lostAt.IsZero():
		gap := now.Sub(g.lostAt)
		g.lostAt = time.Time{}
		g.gaps = append(g.gaps, gap)
		g.cfg.Log.Info("writesResumed", "group", g.cfg.Group.Name, "primary", p.Member, "term", p.Adopted, "gapMs", gap.Milliseconds())
	}
}

// TakeGaps returns the failover gaps since the last call.
func (g *Group) TakeGaps() []time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.gaps
	g.gaps = nil
	return out
}
