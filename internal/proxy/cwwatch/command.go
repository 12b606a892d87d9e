package cwwatch

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwclaim"
	"cicadawalk.example/cicadawalk/internal/wire/cwtarget"
)

// orderTimeout bounds one order to a member, including its answer.
const orderTimeout = 500 * time.Millisecond

// dispatch executes orders, each in its own goroutine, and passes the results to the
// supervisor, which may return further orders.
func (g *Group) dispatch(ctx context.Context, eg *errgroup.Group, orders []cwfailover.Command) {
	for _, o := range orders {
		eg.Go(func() error {
			ev := g.executeOrder(ctx, o)
			g.mu.Lock()
			next := g.sup.Handle(ev, g.cfg.Clock.Now())
			g.mu.Unlock()
			g.dispatch(ctx, eg, next)
			return nil
		})
	}
}

// recordResult logs how a change of primary ended, and records a successful one in the
// journal.
func (g *Group) recordResult(r cwfailover.Result) {
	if !r.Changed() {
		g.cfg.Log.Warn("primaryNotChanged", "group", r.Plan.Group, "term", r.Plan.Term,
			"reason", r.Reason, "tookMs", r.Duration.Milliseconds())
		return
	}
	g.cfg.Log.Info("primaryChanged", "group", r.Plan.Group, "term", r.Plan.Term, "before", r.OldPrimary.Member,
		"after", r.NewPrimary, "planned", r.Planned, "tookMs", r.Duration.Milliseconds())
	g.cfg.Journal.Record("primaryChanged", r.Plan.Group,
		fmt.Sprintf("%s term %d", r.OldPrimary.Member, r.OldPrimary.AdoptedTerm), fmt.Sprintf("%s term %d", r.NewPrimary, r.Plan.Term))
}

// executeOrder executes one order of the supervisor and returns the outcome as an
// event.
func (g *Group) executeOrder(ctx context.Context, o cwfailover.Command) cwfailover.Response {
	ev := cwfailover.Response{Kind: o.Kind, Member: o.Member, Claim: o.Claim}
	// The process may have been paused since the order was made. The clock is
	// monotonic; after NotAfter another proxy may have taken over.
	if g.cfg.Clock.Now().After(o.NotAfter) {
		ev.Failed, ev.RowOutcome = true, cwfailover.RowUnavailable
		return ev
	}
	switch o.Kind {
	case cwfailover.WriteClaim, cwfailover.ReadClaim, cwfailover.RecordReplacedTerm, cwfailover.RecordPrimary:
		ev.RowOutcome = g.claims().Execute(ctx, o).Outcome
		return ev
	}
	r, err := g.sendMemberOrder(ctx, o)
	if err != nil {
		ev.Failed = true
		return ev
	}
	ev.Status = r.Status
	return ev
}

func (g *Group) claims() cwclaim.Store {
	return cwclaim.Store{Table: g.cfg.Table, Group: g.cfg.Group.Name, Self: g.cfg.Self, MayClaim: g.mayClaim}
}

// mayClaim reports whether the row may be claimed for a term.
func (g *Group) mayClaim(row cwfailover.Row, t cwgroup.Term) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sup.MayClaim(row, t, g.cfg.Clock.Now())
}

// sendMemberOrder sends an order to a member over its feed and returns its report.
func (g *Group) sendMemberOrder(ctx context.Context, o cwfailover.Command) (cwtarget.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	feed := g.feeds[o.Member]
	switch o.Kind {
	case cwfailover.AdoptTerm:
		return feed.Adopt(ctx, o.Term, o.Claim)
	case cwfailover.Promote:
		return feed.Promote(ctx, o.Term, o.Claim)
	default:
		t, _ := g.cfg.Group.Target(o.Primary)
		return feed.Follow(ctx, o.Term, o.Claim, o.Primary, t.Address)
	}
}
