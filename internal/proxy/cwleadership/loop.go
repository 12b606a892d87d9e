package cwleadership

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwevidence"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
)

// SetRow records the group's row as read from the table.
func (g *Group) SetRow(row cwfailover.Row) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observeRow(row)
}

// observeRow records the group's row unless it is older than the known one. The caller
// holds mu.
func (g *Group) observeRow(row cwfailover.Row) {
	g.observeReplacedTerms(row)
	if row == g.row || row.Term < g.row.Term || row.Claim == g.row.Claim && g.row.Done {
		return
	}
	g.cfg.Log.Info("claimSeen", "group", g.cfg.Service, "term", row.Term, "claim", row.Claim, "keeper", row.Owner, "primary", row.Primary, "done", row.Done)
	g.row, g.rowSeenAt, g.termWhenRowSeen = row, g.cfg.Clock.Now(), g.term
	g.resetBackoffs()
	if p, ok := g.sup.View().Primary(); ok && p.Member == row.Primary && g.term > 0 {
		// The change of primary that the row records is already visible.
		g.termWhenRowSeen = g.term - 1
	}
	g.notify()
}

// observeReplacedTerms records which terms have been replaced according to the row. The
// caller holds mu.
func (g *Group) observeReplacedTerms(row cwfailover.Row) {
	if row.ReplacedTerm <= g.sup.View().ReplacedTerm() {
		return
	}
	g.sup.SetReplacedTerm(row.ReplacedTerm, g.cfg.Clock.Now())
	g.cfg.Log.Info("termsReplaced", "group", g.cfg.Service, "upTo", row.ReplacedTerm, "known", g.term, "claim", row.Claim, "keeper", row.Owner)
	g.notify()
}

// Run runs the group's periodic work until ctx ends, then waits for the commands in
// progress.
func (g *Group) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	err := g.loop(ctx, eg)
	return errors.Join(err, eg.Wait())
}

func (g *Group) loop(ctx context.Context, eg *errgroup.Group) error {
	for {
		select {
		case <-g.cfg.Clock.After(g.tickInterval()):
		case <-g.wakeups:
		case <-ctx.Done():
			return nil
		}
		g.tick(ctx, eg)
	}
}

// wake makes the loop run its next tick at once. Without it, a target that becomes
// unreachable in a steady group would be acted on only after the rest of the long tick
// interval.
func (g *Group) wake() {
	select {
	case g.wakeups <- struct{}{}:
	default:
	}
}

// tickInterval returns the time until the next tick.
func (g *Group) tickInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	switch {
	case g.rowRestorePending(now):
		return activeTick
	case !g.watched(now):
		return idleTick
	case g.unsettled(now):
		return activeTick
	}
	return steadyTick
}

// unsettled reports whether the primary is unknown, suspected, stopping or being
// changed, or a member may be stranded in a term that it cannot follow the primary in.
//
// Writes to a primary whose replicas are stranded get no answer where it waits for them,
// and nothing else shows the state of its replicas: they have to be asked until it is
// known, or until the group has moved to a new term. The caller holds mu.
func (g *Group) unsettled(now time.Time) bool {
	v := g.sup.View()
	p, ok := v.Primary()
	return !ok || cwfailover.MayHaveStrandedMember(v) || g.sup.Suspects() || g.sup.ChangingPrimary() || g.claimInProgress(now) || g.promotionPending(now) || g.sup.Stopping(p.Member)
}

func (g *Group) tick(ctx context.Context, eg *errgroup.Group) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	for _, m := range g.members {
		m.Pool.TrimIdle()
	}
	g.updateCountedMembers(now)
	g.updateReachability(now)
	g.observePath()
	g.startRowRead(now)
	g.startRowRestore(now)
	if !g.watched(now) {
		g.mu.Unlock()
		return
	}
	g.resolveAckWaits(now)
	c := cwfailover.TickInputs{
		ListedProxies: assumedWatchers, Rank: g.rank, RowTerm: g.row.Term, Acknowledged: g.tracker.Newest(),
		OtherChangePending: g.promotionPending(now) || g.rowMayBeLost(now) || g.claimInProgress(now) && !g.sup.ChangingPrimary(),
	}
	commands := g.sup.Tick(now, c)
	result, ended := g.sup.TakeResult(now, c)
	ask, cause := g.membersToCheck(now)
	settle := g.settleDue(now)
	if cause != CauseUnsettled {
		g.rounds = cwevidence.Rounds{}
	}
	g.mu.Unlock()
	if ended {
		g.logResult(result)
	}
	g.checkOrAsk(ask, cause)
	if settle {
		g.requestConfirmation(Lease, false)
	}
	g.dispatch(ctx, eg, commands)
}

// rankCount is the number of ranks that proxies have for a change of primary; the first
// rank is 0, and proxies of a later rank wait longer before they begin. Proxies don't
// know each other, so each takes its rank from a hash of its name: among eight proxies
// two have the first rank, and claims seldom conflict.
const rankCount = 4

// rankOf returns a proxy's rank for a group.
func rankOf(self cwfailover.InstanceID, service string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(string(self) + "/" + service))
	return int(h.Sum32() % rankCount)
}

// assumedWatchers is the number of proxies that a suspicion is weighed against. The
// votes of the others are not received here, so this proxy alone is never a majority:
// the replicas must report the loss of the primary as well.
const assumedWatchers = 2

// membersToCheck returns the members that need a health check or a probe now, and the
// cause. The caller holds mu.
func (g *Group) membersToCheck(now time.Time) ([]Member, CheckCause) {
	v := g.sup.View()
	p, ok := v.Primary()
	var ask []Member
	if !ok || g.unsettled(now) {
		for _, m := range g.members {
			ask = append(ask, *m)
		}
		return ask, CauseUnsettled
	}
	// Only proxies of the first rank check the primary of a group without traffic.
	// Checks by all proxies would use up the target's connections.
	checksIdle := g.rank == 0 || g.inUse(now)
	cause := CauseUnreachable
	if m := g.members[p.Member]; m != nil && checksIdle && now.Sub(p.At) > idleCheckInterval {
		ask, cause = append(ask, *m), CauseIdle
	}
	for id, m := range g.members {
		if g.unreachable[id] && id != p.Member {
			ask = append(ask, *m)
		}
	}
	return ask, cause
}

// dispatch executes commands of the supervisor, each in its own goroutine, and passes
// the responses to the supervisor, which may return further commands.
func (g *Group) dispatch(ctx context.Context, eg *errgroup.Group, commands []cwfailover.Command) {
	for _, cmd := range commands {
		eg.Go(func() error {
			resp := g.executeCommand(ctx, cmd)
			g.mu.Lock()
			next := g.sup.Handle(resp, g.cfg.Clock.Now())
			g.mu.Unlock()
			g.dispatch(ctx, eg, next)
			return nil
		})
	}
}

// logResult logs how a change of primary ended.
func (g *Group) logResult(r cwfailover.Result) {
	if !r.Changed() {
		g.cfg.Log.Warn("primaryNotChanged", "group", r.Plan.Group, "term", r.Plan.Term, "claim", r.Plan.Claim,
			"reason", r.Reason, "tookMs", r.Duration.Milliseconds(),
			"fenced", r.Fenced, "notFenced", r.NotFenced, "acknowledged", r.Plan.Acknowledged, "quorums", r.Plan.Quorums)
		return
	}
	g.cfg.Log.Info("primaryChanged", "group", r.Plan.Group, "term", r.Plan.Term, "claim", r.Plan.Claim, "before", r.OldPrimary.Member,
		"after", r.NewPrimary, "planned", r.Planned, "tookMs", r.Duration.Milliseconds())
}
