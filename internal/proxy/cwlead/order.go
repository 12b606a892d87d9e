package cwlead

import (
	"context"
	"errors"
	"strconv"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwclaim"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// Times of orders.
const (
	// orderTimeout bounds one order to a member or the platform.
	orderTimeout = 500 * time.Millisecond
	// busyPause is the wait before an order that a busy member refused is given
	// again: a statement or two of its queue.
	busyPause = 15 * time.Millisecond
)

// send carries out one order and returns its answer as an event.
func (g *Group) send(ctx context.Context, o cwfailover.Order) cwfailover.Event {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	ev := cwfailover.Event{Kind: o.Kind, Member: o.Member, Claim: o.Claim}
	// The failure: this process slept since the order was made, and somebody
	// else took over. The clock counts sleep, too.
	if g.cfg.Clock.Now().After(o.NotAfter) {
		ev.Failed, ev.Row = true, cwfailover.RowUnavailable
		g.cfg.Log.Warn("orderTooLate", "group", g.cfg.Service, "order", o.Kind, "target", o.Member, "term", o.Term, "claim", o.Claim)
		return ev
	}
	var err error
	switch o.Kind {
	case cwfailover.ClaimRow, cwfailover.ReadRow, cwfailover.AnnounceRow, cwfailover.RecordRow:
		ev.Row = g.sendRow(ctx, o)
		g.cfg.Log.Info("order", "group", g.cfg.Service, "order", o.Kind, "term", o.Term, "claim", o.Claim, "row", ev.Row)
		return ev
	case cwfailover.Adopt:
		ev.Status, err = g.adopt(o)
	case cwfailover.Promote:
		err = g.promote(ctx, o)
	default:
		err = g.follow(o)
	}
	ev.Failed = err != nil
	g.cfg.Log.Info("order", "group", g.cfg.Service, "order", o.Kind, "target", o.Member, "term", o.Term, "claim", o.Claim,
		"position", ev.Status.Last, "cause", err)
	return ev
}

func (g *Group) sendRow(ctx context.Context, o cwfailover.Order) cwfailover.RowOutcome {
	claims := cwclaim.Claims{Table: g.cfg.Table, Group: g.cfg.Service, Self: g.cfg.Self, MayClaim: g.mayClaim}
	r := claims.Send(ctx, o)
	tells := o.Kind == cwfailover.ReadRow || o.Kind == cwfailover.AnnounceRow
	if !tells || r.Outcome != cwfailover.RowDone {
		return r.Outcome
	}
	version, err := strconv.ParseUint(r.Tag, 10, 64)
	if err != nil {
		g.cfg.Log.Error("rowWithoutVersion", "group", g.cfg.Service, "cause", err)
		return cwfailover.RowUnavailable
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.rowMayBeLost(g.cfg.Clock.Now()) {
		g.cfg.Log.Warn("claimFromBeforeRestore", "group", g.cfg.Service, "term", o.Term, "claim", o.Claim)
		return cwfailover.RowConflict
	}
	g.fence = version
	return r.Outcome
}

// mayClaim reports whether the row, as it was just read, may be claimed.
//
// The failure: a member was promoted a moment ago and does not lead yet, so the
// group has no primary, and an instance that has not heard of the change
// promotes again; then the first one, which sees neither lead, once more. It
// shows as holders that act by turns. The row read for the claim is news like
// any other: a change that this instance learns of by it is given the time to
// show its primary, and another holder's act is left alone for a turn.
func (g *Group) mayClaim(row cwfailover.Row, t cwgroup.Term) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	g.noteRow(row)
	if g.pending(now) || g.rowMayBeLost(now) {
		return false
	}
	if row.Done && row.Keeper != g.cfg.Self && row.Claim != "" && now.Sub(g.rowSeen) < g.cfg.Turn {
		return false
	}
	return g.sup.MayClaim(row, t, now)
}

// order gives an order to a member on the pool's next free connection.
func (g *Group) order(id cwgroup.MemberID, f func(cwport.Target) (cwstatement.Health, error)) (cwstatement.Health, error) {
	m, ok := g.Member(id)
	if !ok {
		return cwstatement.Health{}, &cwport.RefusedError{Code: cwstatement.WrongTarget, Detail: "no longer listed"}
	}
	end := g.cfg.Clock.Now().Add(orderTimeout)
	for {
		h, err := g.orderOnce(m, f)
		var refused *cwport.RefusedError
		busy := errors.As(err, &refused) && refused.Code == cwstatement.Busy
		if !busy || !g.cfg.Clock.Now().Add(busyPause).Before(end) {
			return h, err
		}
		g.cfg.Clock.Sleep(busyPause)
	}
}

func (g *Group) orderOnce(m Member, f func(cwport.Target) (cwstatement.Health, error)) (cwstatement.Health, error) {
	var h cwstatement.Health
	err := g.with(m, orderTimeout, func(t cwport.Target, asked time.Time) error {
		var err error
		if h, err = f(t); err == nil {
			g.heard(m.ID, h, asked)
		}
		return err
	})
	return h, err
}

// nextTerm returns the term that a change of primary leads to, where a member's
// log is in a term.
//
// The failure: an attempt to replace a primary fails, the next claim
// has a higher number than the term that follows, and replicas are fenced for
// it: once the new primary leads they still wait for a later term and receive
// nothing, so that it can acknowledge and confirm nothing. Members are therefore
// fenced for the next term of the group, whatever the claim is called.
func (g *Group) nextTerm(t cwgroup.Term) cwgroup.Term {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(t, g.term) + 1
}

// NotFencedError reports a member that goes on receiving.
type NotFencedError struct{ Member cwgroup.MemberID }

func (e *NotFencedError) Error() string { return string(e.Member) + " goes on receiving" }

// adopt makes a member stop receiving from a primary of an earlier term: a
// replica is fenced, a primary becomes a replica.
func (g *Group) adopt(o cwfailover.Order) (cwgroup.Status, error) {
	var before cwgroup.Term
	h, err := g.order(o.Member, func(t cwport.Target) (cwstatement.Health, error) {
		h, err := t.Health()
		if err != nil {
			return h, err
		}
		before = h.Term
		next := g.nextTerm(h.Term)
		if h.Role == cwgroup.RolePrimary {
			return t.Demote(next)
		}
		if h, err = t.Fence(next); err == nil && h.Fence < next {
			return h, &NotFencedError{Member: o.Member}
		}
		return h, err
	})
	if err == nil {
		err = g.fenceCounts(o.Member, h.Received)
	}
	if err != nil {
		return cwgroup.Status{}, err
	}
	return cwgroup.Status{Member: o.Member, Adopted: o.Term, Before: before, Claim: o.Claim, Last: h.Received}, nil
}

func (g *Group) promote(ctx context.Context, o cwfailover.Order) error {
	g.mu.Lock()
	fence := g.fence
	g.mu.Unlock()
	err := g.cfg.Promoter.Promote(ctx, cwport.Promotion{
		Service: g.cfg.Service, ID: o.Member, Holder: string(g.cfg.Self), Fence: fence,
	})
	var unknown *cwplatform.UnknownError
	if errors.As(err, &unknown) {
		// It may have taken effect. Whoever leads shows within the patience
		// for a promotion; until then nobody promotes again.
		g.cfg.Log.Warn("promotionUnknown", "group", g.cfg.Service, "target", o.Member, "cause", err)
		return nil
	}
	return err
}

// follow brings back a member that is not following the primary.
func (g *Group) follow(o cwfailover.Order) error {
	_, err := g.order(o.Member, func(t cwport.Target) (cwstatement.Health, error) {
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
