package cwlead

import (
	"context"
	"errors"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/proxy/cwtargets"
)

// DialFailed implements cwtargets.Events.
func (g *Group) DialFailed(to cwport.Endpoint, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.members[to.ID]; !ok {
		return
	}
	if rep, ok := g.sup.View().Report(to.ID); ok && rep.Reachable {
		g.cfg.Log.Warn("targetLost", "group", g.cfg.Service, "target", to.ID, "cause", err)
	}
	now := g.cfg.Clock.Now()
	if !g.lost[to.ID] {
		// Only the first time: a member that refuses at once is tried with each
		// tick, and each failure would bring the next one.
		g.wake()
	}
	g.lost[to.ID] = true
	g.sup.Unreachable(to.ID, now)
	g.noteCutOff(now)
	g.notify()
}

// refusedForNow reports whether a target that refused a connection is there all
// the same.
//
// The failure: a target has as many connections as it takes, a fresh one to try
// it is refused, and the target counts as lost. It shows as a primary that is
// replaced, or reads that are refused, on the busiest days.
func refusedForNow(err error) bool {
	var refused *cwport.RefusedError
	return errors.As(err, &refused) && refused.Code == cwstatement.TooManyConnections
}

// Suspect probes a member on a fresh connection, after one of
// the older ones went silent. Idle connections older than a fresh one that
// works are closed.
func (g *Group) Suspect(id cwgroup.MemberID) {
	m, ok := g.Member(id)
	if !ok || !g.startAsking(id) {
		return
	}
	go g.runProbe(m)
}

func (g *Group) runProbe(m Member) {
	defer g.stopAsking(m.ID)
	at := g.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	t, err := g.cfg.Dialer.Dial(ctx, m.Pool.Endpoint(), "")
	if refusedForNow(err) {
		return
	}
	if err != nil {
		g.DialFailed(m.Pool.Endpoint(), err)
		return
	}
	defer func() { _ = t.Close() }()
	if err := t.SetTimeout(askTimeout); err != nil {
		g.DialFailed(m.Pool.Endpoint(), err)
		return
	}
	asked := g.cfg.Clock.Now()
	h, err := t.Health()
	if refused := (*cwport.RefusedError)(nil); errors.As(err, &refused) {
		return
	}
	if err != nil {
		g.DialFailed(m.Pool.Endpoint(), err)
		return
	}
	m.Pool.Cull(at)
	g.heard(m.ID, h, asked)
}

// startAsking reports whether no question to the member is on its way.
func (g *Group) startAsking(id cwgroup.MemberID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.asked[id] {
		return false
	}
	g.asked[id] = true
	return true
}

func (g *Group) stopAsking(id cwgroup.MemberID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.asked, id)
}

// ask asks a member about itself on a connection of its pool.
func (g *Group) ask(m Member) {
	if !g.startAsking(m.ID) {
		return
	}
	go g.runAsk(m)
}

// askAll asks each of some members about itself.
func (g *Group) askAll(all []Member) {
	for _, m := range all {
		g.ask(m)
	}
}

func (g *Group) runAsk(m Member) {
	sent := g.cfg.Clock.Now()
	err := g.with(m, askTimeout, func(t cwport.Target, asked time.Time) error {
		h, err := t.Health()
		if err == nil {
			g.heard(m.ID, h, asked)
		}
		return err
	})
	if err == nil {
		g.stopAsking(m.ID)
		return
	}
	var refused *cwport.RefusedError
	if g.away(&m) && !errors.As(err, &refused) {
		g.cfg.Path.RecordOverdue(sent)
	}
	g.cfg.Log.Debug("noHealth", "group", g.cfg.Service, "target", m.ID, "cause", err)
	var unreachable *cwtargets.UnreachableError
	if errors.As(err, &unreachable) {
		// Its pool gives a connection far more time.
		g.runProbe(m)
		return
	}
	g.stopAsking(m.ID)
}

// with lends a connection to f. A connection on which f failed for another
// reason than a refusal is closed, and the member is tried anew.
func (g *Group) with(m Member, d time.Duration, f func(t cwport.Target, asked time.Time) error) error {
	c, err := m.Pool.AcquireFirst(context.Background(), g.cfg.Clock.Now().Add(d))
	if err != nil {
		return err
	}
	if err := c.SetTimeout(d); err != nil {
		m.Pool.Discard(c)
		return err
	}
	err = f(c.Target, g.cfg.Clock.Now())
	var refused *cwport.RefusedError
	if err != nil && !errors.As(err, &refused) {
		m.Pool.Discard(c)
		g.Suspect(m.ID)
		return err
	}
	m.Pool.Release(c)
	return err
}
