// Package cwmonitor tracks, for one proxy, the state of one group of targets that report
// their state over control connections, and acts on it.
//
// A Group owns a control connection to each member and combines the reports received on
// them into a View. The view determines where reads are placed, when writes are
// acknowledged, and whether the primary is to be replaced. The decisions are made by the
// core packages; this package supplies events, the clock and a lock, and executes their
// commands.
package cwmonitor

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
	"cicadawalk.example/cicadawalk/internal/core/cwrendezvous"
	"cicadawalk.example/cicadawalk/internal/core/cwroute"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// tick is the interval at which a group re-evaluates decisions that depend on time.
const tick = 25 * time.Millisecond

// PeerWatchers connects a group to the other proxies that watch it.
type PeerWatchers interface {
	// Live returns the ids of the instances that the platform lists as live, this one
	// included. The slice is never modified, and the same slice is returned until the
	// list changes.
	Live() []string
	// Publish sends this proxy's vote to the other watchers at once.
	Publish()
}

// Journal records actions that the proxy took on its own.
type Journal interface {
	// Record records one action: its kind, what it changed, and the state before and
	// after.
	Record(kind, subject, before, after string)
}

// Pools gives a group access to the connection pools.
type Pools interface {
	// Load returns the load of the pool to a member.
	Load(id cwgroup.MemberID) float64
	// Cull closes old connections to a member that may no longer respond.
	Cull(id cwgroup.MemberID)
}

// Config holds the settings and dependencies of a Group.
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
	Watchers PeerWatchers
	Journal  Journal
	Pools    Pools
	// ClaimSeed makes claim ids unique; it must differ between processes.
	ClaimSeed string
}

// Group tracks the state of one group at this proxy, places its statements and carries
// out changes of primary. Its methods are safe for concurrent use.
type Group struct {
	cfg          Config
	controlConns map[cwgroup.MemberID]*cwtarget.ControlConn
	// cachedRank is used by the loop goroutine only.
	cachedRank cachedRank

	mu       sync.Mutex
	contract cwcatalogue.Contract
	sup      *cwfailover.Supervisor
	// members tells which targets count. removed are those that are no longer in the
	// catalogue; other proxies count them until removedUntil.
	members      cwgroup.Reconfiguration
	removed      []cwgroup.MemberID
	removedUntil time.Time
	history      cwroute.PositionHistory
	lag          cwroute.LagTracker
	tracker      cwack.Tracker
	// changed is closed and replaced whenever the view or the stopping members change.
	changed chan struct{}
	// openWrites is the number of this proxy's write transactions in progress.
	openWrites int
	// closed is true once Run has ended; no wait may begin after that.
	closed        bool
	positionQuery positionQuery
	// writesBlockedSince is the time since which no write could be placed; zero while
	// writes can be placed.
	writesBlockedSince time.Time
	// failoverGaps holds the gaps since the last call of TakeFailoverGaps.
	failoverGaps []time.Duration
}

// New returns a group that is not running yet. Call Run to open its control
// connections.
func New(cfg Config) *Group {
	g := &Group{
		cfg:          cfg,
		contract:     cfg.Contract,
		controlConns: make(map[cwgroup.MemberID]*cwtarget.ControlConn),
		sup:          cwfailover.NewSupervisor(cfg.Self, cfg.ClaimSeed, cfg.Group.Name, cfg.Group.MemberIDs()),
		changed:      make(chan struct{}),
	}
	g.updateMembers(cfg.Clock.Now())
	for _, t := range cfg.Group.Targets {
		g.controlConns[t.ID] = &cwtarget.ControlConn{
			Member:  t.ID,
			Address: t.Address,
			Startup: cwtarget.Startup{User: "cicadawalk", Database: cfg.Service, Application: cwtarget.ControlApplication},
			Clock:   cfg.Clock,
			Events:  g,
		}
	}
	return g
}

// Run keeps the group up to date until ctx ends, then ends all waits.
func (g *Group) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	for _, f := range g.controlConns {
		eg.Go(func() error { return f.Run(ctx) })
	}
	eg.Go(func() error { return g.loop(ctx, eg) })
	err := eg.Wait()
	g.close()
	return err
}

// close ends the waits of a group that was changed or removed in the catalogue. The
// group receives no further reports, so the waits would not end on their own.
func (g *Group) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.tracker.Close()
	g.notify()
}

// loop runs a tick at each interval until ctx ends.
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
	c := g.tickInputs()
	g.mu.Lock()
	c.OpenWrites, c.Acknowledged = g.openWrites, g.tracker.Newest()
	c.MembersCheckTerm, c.WithoutTable = g.contract.ChecksTerm, g.contract.FailoverWithoutTable
	g.updateMembers(now)
	g.tracker.Update(g.sup.View(), now)
	g.measureGap(now)
	commands := g.sup.Tick(now, c)
	result, ended := g.sup.TakeResult(now, c)
	if ended {
		g.notify()
	}
	g.mu.Unlock()
	if ended {
		g.recordResult(result)
	}
	g.dispatch(ctx, eg, commands)
}

// tickInputs returns what is known of the other watchers. It calls Config.Watchers
// without holding the group's lock.
func (g *Group) tickInputs() cwfailover.TickInputs {
	live := g.cfg.Watchers.Live()
	if !g.cachedRank.validFor(live) {
		g.cachedRank = cachedRank{live: live, rank: cwrendezvous.Rank(string(g.cfg.Self), g.cfg.Group.Name, live)}
	}
	return cwfailover.TickInputs{ListedProxies: len(live), Rank: g.cachedRank.rank}
}

// cachedRank is a rank with the list of instances that it was computed from. Hashing
// 1,700 instances on each tick would cost more than all other control work.
type cachedRank struct {
	live []string
	rank int
}

// validFor reports whether the rank was computed from this list. It compares the slices
// by identity.
func (r cachedRank) validFor(live []string) bool {
	return len(r.live) > 0 && len(r.live) == len(live) && &r.live[0] == &live[0]
}

// StatusReceived implements cwtarget.ControlEvents.
func (g *Group) StatusReceived(r cwtarget.Report, sentAt time.Time) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	voteChanged := g.sup.AddReport(cwgroup.Report{Status: r.Status, At: now, Reachable: true}, r.Following, now)
	if p, ok := g.sup.View().Primary(); ok && p.Member == r.Member && r.Role == cwgroup.RolePrimary {
		if at, ok := cwroute.ConfirmedAt(g.sup.View(), p, sentAt); ok && !sentAt.IsZero() {
			g.history.Observe(r.Durable, at)
		}
		g.lag.ObservePrimary(r.Durable, now)
	} else {
		g.lag.ObserveReplica(r.Member, r.Applied, now)
	}
	g.tracker.Update(g.sup.View(), now)
	g.notify()
	g.mu.Unlock()
	g.publish(voteChanged)
}

// Unreachable implements cwtarget.ControlEvents.
func (g *Group) Unreachable(id cwgroup.MemberID) {
	g.mu.Lock()
	voteChanged := g.sup.SetUnreachable(id, g.cfg.Clock.Now())
	g.notify()
	g.mu.Unlock()
	g.publish(voteChanged)
	g.cfg.Pools.Cull(id)
}

// ConnUnresponsive implements cwtarget.ControlEvents.
func (g *Group) ConnUnresponsive(id cwgroup.MemberID) {
	g.cfg.Log.Warn("silentConnections", "group", g.cfg.Group.Name, "target", id)
	g.cfg.Pools.Cull(id)
}

// notify wakes everything that waits for a change. The caller holds mu.
func (g *Group) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// publish sends this proxy's vote to the other watchers if it has changed.
func (g *Group) publish(changed bool) {
	if changed {
		go g.cfg.Watchers.Publish()
	}
}

// Vote returns this proxy's vote, to be sent with heartbeats.
func (g *Group) Vote() cwfailover.Vote {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sup.Vote()
}

// ObserveVote records another watcher's vote.
func (g *Group) ObserveVote(v cwfailover.Vote) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v.ReceivedAt = g.cfg.Clock.Now()
	g.sup.AddVote(v)
}

// View returns the current view.
func (g *Group) View() cwgroup.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sup.View()
}

// Name returns the group's name.
func (g *Group) Name() string { return g.cfg.Group.Name }

// SetContract replaces the contract of the group's catalogue entry.
func (g *Group) SetContract(c cwcatalogue.Contract) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.contract = c
}

// SetStopping sets which members are about to stop as planned. The group places no new
// work there, and replaces the primary if it is one of them.
func (g *Group) SetStopping(ids []cwgroup.MemberID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sup.SetStopping(ids, g.cfg.Clock.Now())
	g.notify()
}

// measureGap records how long no write could be placed. The caller holds mu.
func (g *Group) measureGap(now time.Time) {
	p, ok := cwroute.WritablePrimary(g.sup.View(), now)
	switch {
	case !ok && g.writesBlockedSince.IsZero() && g.sup.View().Term() > 0:
		g.writesBlockedSince = now
	case ok && !g.writesBlockedSince.IsZero():
		gap := now.Sub(g.writesBlockedSince)
		g.writesBlockedSince = time.Time{}
		g.failoverGaps = append(g.failoverGaps, gap)
		g.cfg.Log.Info("writesResumed", "group", g.cfg.Group.Name, "primary", p.Member, "term", p.AdoptedTerm, "gapMs", gap.Milliseconds())
	}
}

// TakeFailoverGaps returns the durations of the failover gaps that ended since the last
// call.
func (g *Group) TakeFailoverGaps() []time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.failoverGaps
	g.failoverGaps = nil
	return out
}
