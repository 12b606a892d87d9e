package cwwatch

import (
	"context"
	"fmt"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// Times of keeping.
const (
	// rankDelay is how long each lower rank waits for the ranks above it.
	rankDelay = 150 * time.Millisecond
	// orderTimeout bounds one order to a member.
	orderTimeout = 500 * time.Millisecond
	// keeperTick lets time pass in a keeper.
	keeperTick = 10 * time.Millisecond
	// retryChange is the pause after a change that failed; the rank is added.
	retryChange = 300 * time.Millisecond
	// strandedFor is how long a member may be beyond the primary's term before
	// the term is raised for it.
	strandedFor = 3 * time.Second
	// drainLimit is how long a planned stop waits for open transactions before
	// it is put off. Nothing is cut.
	drainLimit = 30 * time.Second
)

// decide says whether this proxy begins to change the primary now. The caller
// holds mu.
func (g *Group) decide(now time.Time) (plan cwfailover.Plan, drain, start bool) {
	if g.keeping || now.Before(g.retryAt) {
		return plan, false, false
	}
	plan = g.plan()
	if g.detector.Decide(g.view, len(g.cfg.Watchers.Live()), now) {
		if g.due.IsZero() {
			g.due = now.Add(time.Duration(g.rank()) * rankDelay)
		}
		return plan, false, !now.Before(g.due)
	}
	g.due = time.Time{}
	if p, ok := g.view.Primary(); ok && g.stopping[p.Member] && g.rank() == 0 && g.successor(now) != "" {
		plan.Avoid = p.Member
		return plan, true, true
	}
	return plan, false, g.stranded(now)
}

// stranded reports whether a member has been beyond the primary's term for so
// long that the term is to be raised. The caller holds mu.
func (g *Group) stranded(now time.Time) bool {
	if !cwfailover.Stranded(g.view, now) || g.rank() != 0 {
		g.strandedSince = time.Time{}
		return false
	}
	if g.strandedSince.IsZero() {
		g.strandedSince = now
	}
	return now.Sub(g.strandedSince) >= strandedFor
}

// mayRepair limits repairs to one proxy, or all if it stays away, and to the
// times without a change. The caller holds mu.
func (g *Group) mayRepair(now time.Time) bool {
	if g.keeping || now.Before(g.retryAt) {
		return false
	}
	g.retryAt = now.Add(retryChange)
	return true
}

func (g *Group) plan() cwfailover.Plan {
	g.claims++
	p, _ := g.view.Primary()
	return cwfailover.Plan{
		Group:        g.cfg.Group.Name,
		Members:      g.cfg.Group.MemberIDs(),
		Term:         cwfailover.NextTerm(g.view),
		Claim:        cwgroup.ClaimID(fmt.Sprintf("%s-%s-%d", g.cfg.Self, g.cfg.Seed, g.claims)),
		ChecksTerm:   g.contract.ChecksTerm,
		WithoutTable: g.contract.FailoverWithoutTable,
		Prefer:       p.Member,
	}
}

// successor returns a member that could take over from a stopping primary.
func (g *Group) successor(now time.Time) cwgroup.MemberID {
	for _, r := range g.view.Reports() {
		if r.Role == cwgroup.RoleReplica && r.Reachable && now.Sub(r.At) <= cwfailover.FreshMember && !g.stopping[r.Member] {
			return r.Member
		}
	}
	return ""
}

// answer is what came back for an order.
type answer struct{ cwfailover.Event }

// keep carries out a change of primary.
func (g *Group) keep(ctx context.Context, plan cwfailover.Plan, drain bool) {
	began := g.cfg.Clock.Now()
	before := g.View()
	old, _ := before.Primary()
	if drain && !g.drain(ctx, old.Member) {
		g.endKeep(retryChange)
		return
	}
	k := cwfailover.NewKeeper(plan)
	answers := make(chan answer, 4*len(plan.Members)+4)
	dispatch := func(orders []cwfailover.Order) {
		for _, o := range orders {
			go func() { answers <- answer{g.send(ctx, o)} }()
		}
	}
	dispatch(k.Start(g.cfg.Clock.Now()))
	for !k.Ended() && ctx.Err() == nil {
		select {
		case a := <-answers:
			dispatch(k.Handle(a.Event, g.cfg.Clock.Now()))
		case <-g.cfg.Clock.After(keeperTick):
			dispatch(k.Tick(g.cfg.Clock.Now()))
		case <-ctx.Done():
		}
	}
	took := g.cfg.Clock.Since(began)
	if k.Phase() == cwfailover.Done {
		g.cfg.Log.Info("primaryChanged", "group", plan.Group, "term", plan.Term, "before", old.Member, "after", k.Primary(), "planned", drain, "tookMs", took.Milliseconds())
		g.cfg.Journal.Record("primaryChanged", plan.Group, fmt.Sprintf("%s term %d", old.Member, old.Adopted), fmt.Sprintf("%s term %d", k.Primary(), plan.Term))
		g.endKeep(retryChange)
		return
	}
	g.cfg.Log.Warn("primaryNotChanged", "group", plan.Group, "term", plan.Term, "reason", k.Reason(), "tookMs", took.Milliseconds())
	g.endKeep(retryChange)
}

func (g *Group) endKeep(pause time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.keeping = false
	g.due = time.Time{}
	g.strandedSince = time.Time{}
	g.retryAt = g.cfg.Clock.Now().Add(pause + time.Duration(g.rank())*rankDelay)
	g.notify()
}

// drain waits until a stopping primary has no open write transaction and a
// successor has everything. All proxies keep new writes back meanwhile, since
// they know of the stop from the catalogue. It returns false to put the stop
// off: a transaction in progress is never cut.
func (g *Group) drain(ctx context.Context, primary cwgroup.MemberID) bool {
	limit := g.cfg.Clock.Now().Add(drainLimit)
	for ctx.Err() == nil && g.cfg.Clock.Now().Before(limit) {
		r, err := g.feeds[primary].Status(ctx)
		if err != nil || r.Role != cwgroup.RolePrimary {
			return false
		}
		g.mu.Lock()
		still := g.stopping[primary]
		caught := false
		for _, rep := range g.view.Reports() {
			caught = caught || rep.Member != primary && !g.stopping[rep.Member] && rep.Last.AtLeast(r.Last)
		}
		quiet := g.openWrites == 0
		changed := g.changed
		g.mu.Unlock()
		if !still {
			return false
		}
		if r.OpenWrites == 0 && quiet && caught {
			return true
		}
		g.await(ctx, changed, 20*time.Millisecond)
	}
	return false
}

// send carries out one order and returns its answer as an event.
func (g *Group) send(ctx context.Context, o cwfailover.Order) cwfailover.Event {
	ev := cwfailover.Event{Kind: o.Kind, Member: o.Member}
	// This proxy may have been paused since the order was made. The clock is
	// monotonic; past NotAfter somebody else may be at work.
	if g.cfg.Clock.Now().After(o.NotAfter) {
		ev.Failed, ev.Row = true, cwfailover.RowUnavailable
		return ev
	}
	switch o.Kind {
	case cwfailover.ClaimRow, cwfailover.ReadRow, cwfailover.RecordRow:
		ev.Row = g.sendRow(ctx, o)
		return ev
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	feed := g.feeds[o.Member]
	var err error
	var r cwtarget.Report
	switch o.Kind {
	case cwfailover.Adopt:
		r, err = feed.Adopt(ctx, o.Term, o.Claim)
	case cwfailover.Promote:
		r, err = feed.Promote(ctx, o.Term, o.Claim)
	case cwfailover.Follow:
		t, _ := g.cfg.Group.Target(o.Primary)
		r, err = feed.Follow(ctx, o.Term, o.Claim, o.Primary, t.Address)
	}
	if err != nil {
		ev.Failed = true
		return ev
	}
	ev.Status = r.Status
	return ev
}
