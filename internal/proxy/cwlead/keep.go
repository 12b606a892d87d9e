package cwlead

import (
	"context"
	"errors"
	"hash/fnv"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

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
