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
	// this one included. The slice does not change, and is the same one while
	// the list stays the same.
	Live() []string
	// Publish tells the other watchers at once how this proxy votes.
	Publish()
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
	Self     cwfailover.InstanceID
	Service  string
	Group    cwcatalogue.Group
	Contract cwcatalogue.Contract
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
	// ranked is used by loop only.
	ranked ranked

	mu       sync.Mutex
	contract cwcatalogue.Contract
	sup      *cwfailover.Supervisor
	history  cwroute.History
	lag      cwroute.LagMeter
	tracker  cwack.Tracker
	// changed is closed and replaced whenever the view or the stops change.
	changed chan struct{}
	// openWrites counts this proxy's write transactions in progress.
	openWrites int
	// closed is true once Run has ended; no wait begins after.
	closed bool
	tip    tipAsk
	// lostAt is when writes could not be placed any more; zero while they can.
	lostAt time.Time
	gaps   []time.Duration
}

// New returns a group that is not running yet.
func New(cfg Config) *Group {
	g := &Group{
		cfg:      cfg,
		contract: cfg.Contract,
		feeds:    make(map[cwgroup.MemberID]*cwtarget.Feed),
		sup:      cwfailover.NewSupervisor(cfg.Self, cfg.Seed, cfg.Group.Name, cfg.Group.MemberIDs()),
		changed:  make(chan struct{}),
	}
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
	err := eg.Wait()
	g.close()
	return err
}

// close ends the waits of a group that the catalogue has changed or removed.
// Nothing reports to it any more, so they would never end by themselves.
func (g *Group) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.tracker.Close()
	g.notify()
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
	c := g.conditions()
	g.mu.Lock()
	c.OpenWrites = g.openWrites
	c.ChecksTerm, c.WithoutTable = g.contract.ChecksTerm, g.contract.FailoverWithoutTable
	g.tracker.Observe(g.sup.View(), now)
	g.measureGap(now)
	orders := g.sup.Tick(now, c)
	result, ended := g.sup.Ended(now, c)
	if ended {
		g.notify()
	}
	g.mu.Unlock()
	if ended {
		g.tell(result)
	}
	g.dispatch(ctx, eg, orders)
}

// conditions asks who else watches the group. It takes no lock of the group's.
func (g *Group) conditions() cwfailover.Conditions {
	live := g.cfg.Watchers.Live()
	if !g.ranked.of(live) {
		g.ranked = ranked{live: live, rank: cwplace.Rank(string(g.cfg.Self), g.cfg.Group.Name, live)}
	}
	return cwfailover.Conditions{Listed: len(live), Rank: g.ranked.rank}
}

// ranked remembers a rank with the list that it was worked out from; hashing
// 1,700 instances at each tick would cost more than all other control.
type ranked struct {
	live []string
	rank int
}

// of reports whether the rank is that of the list.
func (r ranked) of(live []string) bool {
	return len(r.live) > 0 && len(r.live) == len(live) && &r.live[0] == &live[0]
}

// Reported implements cwtarget.FeedEvents.
func (g *Group) Reported(r cwtarget.Report, asked time.Time) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	voted := g.sup.Report(cwgroup.Report{Status: r.Status, At: now, Reachable: true}, r.Following, now)
	if p, ok := g.sup.View().Primary(); ok && p.Member == r.Member && r.Role == cwgroup.RolePrimary {
		if at, ok := cwroute.Sampled(g.sup.View(), p, asked); ok && !asked.IsZero() {
			g.history.Observe(r.Last, at)
		}
		g.lag.Primary(r.Last, now)
	} else {
		g.lag.Replica(r.Member, r.Applied, now)
	}
	g.tracker.Observe(g.sup.View(), now)
	g.notify()
	g.mu.Unlock()
	g.publish(voted)
}

// Unreachable implements cwtarget.FeedEvents.
func (g *Group) Unreachable(id cwgroup.MemberID) {
	g.mu.Lock()
	voted := g.sup.Unreachable(id, g.cfg.Clock.Now())
	g.notify()
	g.mu.Unlock()
	g.publish(voted)
	g.cfg.Pools.Cull(id)
}

// WentSilent implements cwtarget.FeedEvents.
func (g *Group) WentSilent(id cwgroup.MemberID) {
	g.cfg.Log.Warn("silentConnections", "group", g.cfg.Group.Name, "target", id)
	g.cfg.Pools.Cull(id)
}

// notify wakes those that wait for a change. The caller holds mu.
func (g *Group) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// publish tells the other watchers of a vote that changed.
func (g *Group) publish(changed bool) {
	if changed {
		go g.cfg.Watchers.Publish()
	}
}

// Vote returns this proxy's vote, for heartbeats.
func (g *Group) Vote() cwfailover.Vote {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sup.Vote()
}

// ObserveVote takes another watcher's vote.
func (g *Group) ObserveVote(v cwfailover.Vote) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v.At = g.cfg.Clock.Now()
	g.sup.ObserveVote(v)
}

// View returns the present view.
func (g *Group) View() cwgroup.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sup.View()
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
func (g *Group) SetStopping(ids []cwgroup.MemberID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sup.SetStopping(ids, g.cfg.Clock.Now())
	g.notify()
}

// measureGap notes how long no write could be placed. The caller holds mu.
func (g *Group) measureGap(now time.Time) {
	p, ok := cwroute.WritePrimary(g.sup.View(), now)
	switch {
	case !ok && g.lostAt.IsZero() && g.sup.View().Term() > 0:
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
