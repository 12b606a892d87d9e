package cwlead

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
)

// SetRow takes the group's row as it stands in the table.
func (g *Group) SetRow(row cwfailover.Row) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteRow(row)
}

// noteRow takes the group's row. The caller holds mu.
func (g *Group) noteRow(row cwfailover.Row) {
	g.rowReplaces(row)
	if row == g.row || row.Term < g.row.Term || row.Claim == g.row.Claim && g.row.Done {
		return
	}
	g.cfg.Log.Info("claimSeen", "group", g.cfg.Service, "term", row.Term, "claim", row.Claim, "keeper", row.Keeper, "primary", row.Primary, "done", row.Done)
	g.row, g.rowSeen, g.rowTerm = row, g.cfg.Clock.Now(), g.term
	if p, ok := g.sup.View().Primary(); ok && p.Member == row.Primary && g.term > 0 {
		// What the row tells has shown already.
		g.rowTerm = g.term - 1
	}
	g.notify()
}

// rowReplaces takes which terms are replaced by the row. The caller holds mu.
func (g *Group) rowReplaces(row cwfailover.Row) {
	if row.Replaced <= g.sup.View().Replaced() {
		return
	}
	g.sup.SetReplaced(row.Replaced, g.cfg.Clock.Now())
	g.cfg.Log.Info("termsReplaced", "group", g.cfg.Service, "upTo", row.Replaced, "known", g.term, "claim", row.Claim, "keeper", row.Keeper)
	g.notify()
}

// Run lets time pass until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	err := g.loop(ctx, eg)
	return errors.Join(err, eg.Wait())
}

func (g *Group) loop(ctx context.Context, eg *errgroup.Group) error {
	for {
		select {
		case <-g.cfg.Clock.After(g.pause()):
		case <-g.hurry:
		case <-ctx.Done():
			return nil
		}
		g.tick(ctx, eg)
	}
}

// wake lets the next tick come at once.
//
// The failure: a target is lost while the group is calm, and what follows waits
// for the end of a calm pause.
func (g *Group) wake() {
	select {
	case g.hurry <- struct{}{}:
	default:
	}
}

// pause returns how long nothing needs to be done.
func (g *Group) pause() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	switch {
	case g.restoring(now):
		return tick
	case !g.watched(now):
		return idleTick
	case g.unsettled(now):
		return tick
	}
	return calmTick
}

// unsettled reports whether the primary is suspected or about to change. The
// caller holds mu.
func (g *Group) unsettled(now time.Time) bool {
	p, ok := g.sup.View().Primary()
	return !ok || g.sup.Suspects() || g.sup.Keeping() || g.changing(now) || g.pending(now) || g.sup.Stopping(p.Member)
}

func (g *Group) tick(ctx context.Context, eg *errgroup.Group) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	for _, m := range g.members {
		m.Pool.Trim()
	}
	g.recount(now)
	g.noteCutOff(now)
	g.readRow(now)
	g.restoreRow(now)
	if !g.watched(now) {
		g.mu.Unlock()
		return
	}
	g.observeAcks(now)
	c := cwfailover.Conditions{
		Listed: watchers, Rank: g.rank, RowTerm: g.row.Term,
		Pending: g.pending(now) || g.rowMayBeLost(now) || g.changing(now) && !g.sup.Keeping(),
	}
	orders := g.sup.Tick(now, c)
	result, ended := g.sup.Ended(now, c)
	ask := g.due(now)
	g.mu.Unlock()
	if ended {
		g.tell(result)
	}
	for _, m := range ask {
		g.tickAsk(m)
	}
	g.dispatch(ctx, eg, orders)
}

// ranks is the number of places in the order in which proxies begin a change of
// primary. They do not know each other, so a place is drawn by name: among eight
// proxies two have the first place, and few run into each other's claims.
const ranks = 4

// rankOf draws a proxy's place for a group.
func rankOf(self cwfailover.InstanceID, service string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(string(self) + "/" + service))
	return int(h.Sum32() % ranks)
}

// watchers is the number of proxies that a suspicion is weighed against. The
// others are not heard, so this proxy alone is never a majority of them: the
// replicas' word must agree with its suspicion.
const watchers = 2

// tickAsk asks a member in the way that its state calls for.
func (g *Group) tickAsk(m Member) {
	g.mu.Lock()
	lost := g.lost[m.ID]
	g.mu.Unlock()
	if lost {
		g.Suspect(m.ID)
		return
	}
	g.ask(m)
}

// due returns the members to be asked now. The caller holds mu.
func (g *Group) due(now time.Time) []Member {
	v := g.sup.View()
	p, ok := v.Primary()
	var ask []Member
	if !ok || g.unsettled(now) {
		for _, m := range g.members {
			ask = append(ask, *m)
		}
		return ask
	}
	// One of a few instances watches a group that nobody asks for; all would
	// use up the target's connections.
	first := g.rank == 0 || g.used(now)
	if m := g.members[p.Member]; m != nil && first && now.Sub(p.At) > calmAsk {
		ask = append(ask, *m)
	}
	for id, m := range g.members {
		if g.lost[id] && id != p.Member {
			ask = append(ask, *m)
		}
	}
	return ask
}

// dispatch sends orders, each in its own goroutine, and hands what comes back
// to the supervisor.
func (g *Group) dispatch(ctx context.Context, eg *errgroup.Group, orders []cwfailover.Order) {
	for _, o := range orders {
		eg.Go(func() error {
			ev := g.send(ctx, o)
			g.mu.Lock()
			next := g.sup.Handle(ev, g.cfg.Clock.Now())
			g.mu.Unlock()
			g.dispatch(ctx, eg, next)
			return nil
		})
	}
}

func (g *Group) tell(r cwfailover.Result) {
	if !r.Changed() {
		g.cfg.Log.Warn("primaryNotChanged", "group", r.Plan.Group, "term", r.Plan.Term, "claim", r.Plan.Claim,
			"reason", r.Reason, "tookMs", r.Took.Milliseconds())
		return
	}
	g.cfg.Log.Info("primaryChanged", "group", r.Plan.Group, "term", r.Plan.Term, "claim", r.Plan.Claim, "before", r.Before.Member,
		"after", r.Primary, "planned", r.Planned, "tookMs", r.Took.Milliseconds())
}
