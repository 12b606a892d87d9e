package cwleadership

import (
	"context"
	"errors"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwpath"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/proxy/cwtargetpool"
)

// DialFailed implements cwtargetpool.Events.
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
	if !g.unreachable[to.ID] {
		// Wake the loop only for the first failure. A member that refuses connections
		// at once is dialled on every tick, and each failure would otherwise trigger
		// the next tick.
		g.wake()
	}
	g.unreachable[to.ID] = true
	g.sup.SetUnreachable(to.ID, now)
	g.updateReachability(now)
	g.notify()
}

// isConnectionLimit reports whether a target refused a connection only because its
// connection limit was reached. Such a target is reachable.
//
// Without this check a probe of a target that has reached its limit would count the
// target as unreachable. Under the highest load that replaced healthy primaries and
// refused reads.
func isConnectionLimit(err error) bool {
	var refused *cwport.RefusedError
	return errors.As(err, &refused) && refused.Code == cwstatement.TooManyConnections
}

// Probe probes a member over a fresh connection after an existing connection went
// silent. If the probe succeeds, idle connections older than the probe are closed.
func (g *Group) Probe(id cwgroup.MemberID) { g.probe(id, CauseOverdue) }

func (g *Group) probe(id cwgroup.MemberID, cause CheckCause) {
	m, ok := g.Member(id)
	if !ok || !g.beginHealthCheck(id, cause) {
		return
	}
	go g.runProbe(m)
}

func (g *Group) runProbe(m Member) {
	defer g.endHealthCheck(m.ID)
	at := g.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	t, err := g.cfg.Dialer.Dial(ctx, m.Pool.Endpoint(), "")
	if isConnectionLimit(err) {
		return
	}
	if err != nil {
		g.DialFailed(m.Pool.Endpoint(), err)
		return
	}
	defer func() { _ = t.Close() }()
	if err := t.SetTimeout(healthTimeout); err != nil {
		g.DialFailed(m.Pool.Endpoint(), err)
		return
	}
	sentAt := g.cfg.Clock.Now()
	h, err := t.Health()
	if refused := (*cwport.RefusedError)(nil); errors.As(err, &refused) {
		return
	}
	if err != nil {
		g.DialFailed(m.Pool.Endpoint(), err)
		return
	}
	m.Pool.CloseIdleBefore(at)
	g.observeHealth(m.ID, h, sentAt)
}

// beginHealthCheck marks a health check or probe of the member as in progress. It
// returns false if one already is, or if the member is no longer listed.
func (g *Group) beginHealthCheck(id cwgroup.MemberID, cause CheckCause) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, listed := g.members[id]; !listed || g.checking[id] {
		return false
	}
	g.checking[id] = true
	g.lastCheckAt[id] = g.cfg.Clock.Now()
	if g.cfg.CountCheck != nil {
		g.cfg.CountCheck(cause)
	}
	return true
}

func (g *Group) endHealthCheck(id cwgroup.MemberID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.checking, id)
}

// check starts a health check of each member in the list that may be checked now (see
// limitChecks): over a pooled connection, or over a fresh one if the member can't be
// reached.
func (g *Group) check(all []Member, cause CheckCause) {
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	all = g.limitChecks(all, now)
	unreachable := make(map[cwgroup.MemberID]bool)
	for _, m := range all {
		unreachable[m.ID] = g.unreachable[m.ID]
	}
	g.mu.Unlock()
	for _, m := range all {
		if unreachable[m.ID] {
			g.probe(m.ID, cause)
		} else if g.beginHealthCheck(m.ID, cause) {
			go g.runHealthCheck(m)
		}
	}
}

func (g *Group) runHealthCheck(m Member) {
	startedAt := g.cfg.Clock.Now()
	err := g.withConn(m, healthTimeout, func(t cwport.TargetConn, requestedAt time.Time) error {
		h, err := t.Health()
		if err == nil {
			g.observeHealth(m.ID, h, requestedAt)
		}
		return err
	})
	if err == nil {
		g.endHealthCheck(m.ID)
		return
	}
	if g.isRemote(&m) && isOverdue(err, g.cfg.Clock.Since(startedAt)) {
		g.cfg.RemotePath.RecordOverdue(startedAt)
	}
	g.cfg.Log.Debug("noHealth", "group", g.cfg.Service, "target", m.ID, "cause", err)
	var unreachable *cwtargetpool.UnreachableError
	if errors.As(err, &unreachable) {
		// The pool allows far more time to open a connection than a probe does.
		g.runProbe(m)
		return
	}
	g.endHealthCheck(m.ID)
}

// isOverdue reports whether a health check that failed after the given time suggests that
// the network path is silent. A refusal is an answer, and without a free connection nothing
// was sent.
//
// A check fails at once if the pool waits before it connects again, or the connection was
// reset. After a cut this happens at many members, though the path works again.
func isOverdue(err error, took time.Duration) bool {
	var refused *cwport.RefusedError
	var overloaded *cwtargetpool.OverloadedError
	return took >= cwpath.MinOverdue && !errors.As(err, &refused) && !errors.As(err, &overloaded)
}

// withConn runs f, with the time at which it starts, on a pooled connection with timeout
// d. If f fails for any reason other than a refusal by the target, the connection is
// closed and the member is probed.
func (g *Group) withConn(m Member, d time.Duration, f func(t cwport.TargetConn, sentAt time.Time) error) error {
	c, err := m.Pool.AcquireUrgent(context.Background(), g.cfg.Clock.Now().Add(d))
	if err != nil {
		return err
	}
	if err := c.SetTimeout(d); err != nil {
		m.Pool.Discard(c)
		return err
	}
	err = f(c.TargetConn, g.cfg.Clock.Now())
	var refused *cwport.RefusedError
	if err != nil && !errors.As(err, &refused) {
		m.Pool.Discard(c)
		g.Probe(m.ID)
		return err
	}
	m.Pool.Release(c)
	return err
}
