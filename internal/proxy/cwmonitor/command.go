package cwmonitor

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

// commandTimeout bounds one command to a member, including its answer.
const commandTimeout = 500 * time.Millisecond

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

// executeCommand executes one command of the supervisor and returns the response to it.
func (g *Group) executeCommand(ctx context.Context, cmd cwfailover.Command) cwfailover.Response {
	resp := cwfailover.Response{Kind: cmd.Kind, Member: cmd.Member, Claim: cmd.Claim}
	// The process may have been paused since the command was made. The clock is
	// monotonic; after NotAfter another proxy may have taken over.
	if g.cfg.Clock.Now().After(cmd.NotAfter) {
		resp.Failed, resp.RowOutcome = true, cwfailover.RowUnavailable
		return resp
	}
	switch cmd.Kind {
	case cwfailover.WriteClaim, cwfailover.ReadClaim, cwfailover.RecordReplacedTerm, cwfailover.RecordPrimary:
		resp.RowOutcome = g.claimStore().Execute(ctx, cmd).Outcome
		return resp
	}
	r, err := g.sendMemberCommand(ctx, cmd)
	if err != nil {
		resp.Failed = true
		return resp
	}
	resp.Status = r.Status
	return resp
}

func (g *Group) claimStore() cwclaim.Store {
	return cwclaim.Store{Table: g.cfg.Table, Group: g.cfg.Group.Name, Self: g.cfg.Self, MayClaim: g.mayClaim}
}

// mayClaim reports whether the row may be claimed for a term.
func (g *Group) mayClaim(row cwfailover.Row, t cwgroup.Term) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sup.MayClaim(row, t, g.cfg.Clock.Now())
}

// sendMemberCommand sends a command to a member over its control connection and returns
// its report.
func (g *Group) sendMemberCommand(ctx context.Context, cmd cwfailover.Command) (cwtarget.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	conn := g.controlConns[cmd.Member]
	switch cmd.Kind {
	case cwfailover.AdoptTerm:
		return conn.Adopt(ctx, cmd.Term, cmd.Claim)
	case cwfailover.Promote:
		return conn.Promote(ctx, cmd.Term, cmd.Claim)
	default:
		t, _ := g.cfg.Group.Target(cmd.Primary)
		return conn.Follow(ctx, cmd.Term, cmd.Claim, cmd.Primary, t.Address)
	}
}
