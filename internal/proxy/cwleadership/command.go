package cwleadership

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwclaim"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// Timeouts and intervals of commands.
const (
	// commandTimeout bounds one command to a member, the table or the platform.
	commandTimeout = 500 * time.Millisecond
	// busyRetryDelay is the wait before a command that a busy member refused is sent
	// again: about the time of one or two statements in its queue.
	busyRetryDelay = 15 * time.Millisecond
)

// executeCommand executes one command of the supervisor and returns the response to it.
func (g *Group) executeCommand(ctx context.Context, cmd cwfailover.Command) cwfailover.Response {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	resp := cwfailover.Response{Kind: cmd.Kind, Member: cmd.Member, Claim: cmd.Claim}
	// The process may have been suspended since the command was made, and another proxy
	// may have taken over. The clock also counts the time of a suspension.
	if g.cfg.Clock.Now().After(cmd.NotAfter) {
		resp.Failed, resp.RowOutcome = true, cwfailover.RowUnavailable
		g.cfg.Log.Warn("orderTooLate", "group", g.cfg.Service, "order", cmd.Kind, "target", cmd.Member, "term", cmd.Term, "claim", cmd.Claim)
		return resp
	}
	var err error
	switch cmd.Kind {
	case cwfailover.WriteClaim, cwfailover.ReadClaim, cwfailover.RecordReplacedTerm, cwfailover.RecordPrimary:
		resp.RowOutcome = g.executeRowCommand(ctx, cmd)
		g.cfg.Log.Info("order", "group", g.cfg.Service, "order", cmd.Kind, "term", cmd.Term, "claim", cmd.Claim, "row", resp.RowOutcome)
		return resp
	case cwfailover.AdoptTerm:
		resp.Status, err = g.adopt(cmd)
	case cwfailover.Promote:
		err = g.promote(ctx, cmd)
	default:
		err = g.follow(cmd)
	}
	resp.Failed = err != nil
	g.cfg.Log.Info("order", "group", g.cfg.Service, "order", cmd.Kind, "target", cmd.Member, "term", cmd.Term, "claim", cmd.Claim,
		"position", resp.Status.Durable, "fenced", resp.Status.FencedTerm, "cause", err)
	return resp
}

func (g *Group) executeRowCommand(ctx context.Context, cmd cwfailover.Command) cwfailover.RowOutcome {
	claims := cwclaim.Store{Table: g.cfg.Table, Group: g.cfg.Service, Self: g.cfg.Self, MayClaim: g.mayClaim}
	r := claims.Execute(ctx, cmd)
	readsBack := cmd.Kind == cwfailover.ReadClaim || cmd.Kind == cwfailover.RecordReplacedTerm
	if !readsBack || r.Outcome != cwfailover.RowConfirmed {
		return r.Outcome
	}
	version, err := strconv.ParseUint(r.ETag, 10, 64)
	if err != nil {
		g.cfg.Log.Error("rowWithoutVersion", "group", g.cfg.Service, "cause", err)
		return cwfailover.RowUnavailable
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.rowMayBeLost(g.cfg.Clock.Now()) {
		g.cfg.Log.Warn("claimFromBeforeRestore", "group", g.cfg.Service, "term", cmd.Term, "claim", cmd.Claim)
		return cwfailover.RowConflict
	}
	g.fencingToken = version
	return r.Outcome
}

// mayClaim reports whether the row, as just read, may be claimed.
//
// A member promoted a moment ago doesn't report as primary yet. An instance that has
// not heard of the change sees a group without a primary and promotes another member;
// the first instance, which sees neither lead, then promotes once more, so that holders
// keep replacing each other's primary. The row read for the claim is therefore taken
// into account like any other update of the row: a change first seen in it is given
// promotionTimeout to show its primary, and another holder's finished change is left
// alone for Config.MinHolderInterval.
func (g *Group) mayClaim(row cwfailover.Row, t cwgroup.Term) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	g.observeRow(row)
	if g.promotionPending(now) || g.rowMayBeLost(now) {
		return false
	}
	if row.Done && row.Owner != g.cfg.Self && row.Claim != "" && now.Sub(g.rowSeenAt) < g.cfg.MinHolderInterval {
		return false
	}
	return g.sup.MayClaim(row, t, now)
}

// sendWithRetry sends a command, given by f, to a member on the next free connection of
// its pool and repeats it until commandTimeout while the member is busy.
func (g *Group) sendWithRetry(id cwgroup.MemberID, f func(cwport.TargetConn) (cwstatement.Health, error)) (cwstatement.Health, error) {
	m, ok := g.Member(id)
	if !ok {
		return cwstatement.Health{}, &cwport.RefusedError{Code: cwstatement.WrongTarget, Detail: "no longer listed"}
	}
	end := g.cfg.Clock.Now().Add(commandTimeout)
	for {
		h, err := g.sendOnce(m, f)
		var refused *cwport.RefusedError
		busy := errors.As(err, &refused) && refused.Code == cwstatement.Busy
		if !busy || !g.cfg.Clock.Now().Add(busyRetryDelay).Before(end) {
			return h, err
		}
		g.cfg.Clock.Sleep(busyRetryDelay)
	}
}

func (g *Group) sendOnce(m Member, f func(cwport.TargetConn) (cwstatement.Health, error)) (cwstatement.Health, error) {
	var h cwstatement.Health
	err := g.withConn(m, commandTimeout, func(t cwport.TargetConn, sentAt time.Time) error {
		var err error
		if h, err = f(t); err == nil {
			g.observeHealth(m.ID, h, sentAt)
		}
		return err
	})
	return h, err
}

// nextTerm returns the term that a change of primary leads to, given the term t of a
// member's log.
//
// After a failed attempt to replace a primary, the next claim has a higher number than
// the term that follows. Replicas fenced for the claim's number would still wait for a
// later term once the new primary leads. They would receive nothing from it, and it
// could neither acknowledge nor confirm anything. Members are therefore fenced for the
// next term of the group, whatever number the claim has.
func (g *Group) nextTerm(t cwgroup.Term) cwgroup.Term {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(t, g.term, g.refusedTerm) + 1
}

// maxUnseenTerms is how many terms in a row a member may refuse to be fenced for before the
// attempt is given up. Each is one promotion that this proxy has not seen.
const maxUnseenTerms = 4

// fence stops a replica from receiving records of a primary of an earlier term, and returns the
// term for which it asked in the end. term is that of the replica's log. The error is a
// *NotFencedError if the replica goes on receiving.
//
// A member refuses a fence that is not above the newest term in which any member was promoted,
// and a primary in a data centre that is cut off shows in no log on this side. The term of the
// log then stays behind, and each attempt would ask for the same term in vain, so the next ones
// are tried.
func (g *Group) fence(id cwgroup.MemberID, t cwport.TargetConn, term cwgroup.Term) (cwstatement.Health, cwgroup.Term, error) {
	first := g.nextTerm(term)
	for next := first; ; next++ {
		h, err := t.Fence(next)
		if err != nil {
			return h, next, err
		}
		if h.FencedTerm >= next {
			g.recordRefusedTerms(first, next)
			return h, next, nil
		}
		if next-first == maxUnseenTerms {
			return h, next, &NotFencedError{Member: id, Term: next, Status: h}
		}
	}
}

// recordRefusedTerms records that a member refused to be fenced for the terms from first on, and
// was fenced for the given one.
func (g *Group) recordRefusedTerms(first, fenced cwgroup.Term) {
	if fenced == first {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusedTerm = max(g.refusedTerm, fenced-1)
	g.cfg.Log.Info("unseenTerm", "group", g.cfg.Service, "known", g.term, "refused", fenced-1)
	g.observeTerm(fenced-1, g.cfg.Clock.Now())
}

// NotFencedError reports a member that accepted the command to fence for a term but still
// receives records of an earlier term. Status is its answer.
type NotFencedError struct {
	Member cwgroup.MemberID
	Term   cwgroup.Term
	Status cwstatement.Health
}

func (e *NotFencedError) Error() string {
	return fmt.Sprintf("%s was not fenced for term %d: it is a %v in term %d at %v, fenced for %d",
		e.Member, e.Term, e.Status.Role, e.Status.Term, e.Status.LogEnd, e.Status.FencedTerm)
}

// adopt stops a member from receiving records of a primary of an earlier term: a
// replica is fenced, a primary is demoted to a replica.
func (g *Group) adopt(cmd cwfailover.Command) (cwgroup.Status, error) {
	var before, fenced cwgroup.Term
	h, err := g.sendWithRetry(cmd.Member, func(t cwport.TargetConn) (cwstatement.Health, error) {
		h, err := t.Health()
		if err != nil {
			return h, err
		}
		before = h.Term
		if h.Role == cwgroup.RolePrimary {
			fenced = g.nextTerm(h.Term)
			return t.Demote(fenced)
		}
		h, fenced, err = g.fence(cmd.Member, t, h.Term)
		return h, err
	})
	if err == nil {
		err = g.checkFencedLog(cmd.Member, h.LogEnd)
	}
	if err != nil {
		return cwgroup.Status{}, err
	}
	return cwgroup.Status{
		Member: cmd.Member, AdoptedTerm: cmd.Term, PriorTerm: before, FencedTerm: fenced, Claim: cmd.Claim, Durable: h.LogEnd,
	}, nil
}

func (g *Group) promote(ctx context.Context, cmd cwfailover.Command) error {
	g.mu.Lock()
	fence := g.fencingToken
	g.mu.Unlock()
	err := g.cfg.Promoter.Promote(ctx, cwport.Promotion{
		Service: g.cfg.Service, ID: cmd.Member, Holder: string(g.cfg.Self), FencingToken: fence,
	})
	var unknown *cwplatform.UnknownError
	if errors.As(err, &unknown) {
		// The promotion may have taken effect. If it has, the new primary shows within
		// promotionTimeout; until then no proxy promotes again.
		g.cfg.Log.Warn("promotionUnknown", "group", g.cfg.Service, "target", cmd.Member, "cause", err)
		return nil
	}
	return err
}

// follow makes a member that doesn't follow the primary rejoin the group: a replaced
// primary is demoted to a replica.
func (g *Group) follow(cmd cwfailover.Command) error {
	_, err := g.sendWithRetry(cmd.Member, func(t cwport.TargetConn) (cwstatement.Health, error) {
		h, err := t.Health()
		if err != nil {
			return h, err
		}
		if h.Role == cwgroup.RolePrimary {
			return t.Demote(g.nextTerm(h.Term))
		}
		return h, nil
	})
	return err
}
