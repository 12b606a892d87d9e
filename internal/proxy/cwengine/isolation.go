package cwengine

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwpath"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// Timing and limits of the detection of isolation.
const (
	// isolationCheckInterval is the time between two checks.
	isolationCheckInterval = 100 * time.Millisecond
	// isolatedAfter is how long all groups must look unreachable before the
	// instance reports itself not ready. A lost primary or a few refused connections
	// are over sooner, or leave other groups reachable.
	isolatedAfter = 100 * time.Millisecond
	// failedProbesToClose is how many consecutive probes must have been answered
	// with "not ready" before idle sessions are closed. The load balancer sends
	// callers elsewhere from then on; a caller whose session is closed earlier
	// reconnects to this instance.
	failedProbesToClose = 2
	// groupsProbedOnSuspicion is how many groups are probed to end a suspicion of
	// the network path if this instance watches no group. It is more than one, since
	// all members of one group can be lost.
	groupsProbedOnSuspicion = 3
	// closeIdleAfter is how long groups must have looked unreachable before idle
	// sessions are closed if no probes arrive: the time of two probes, one second
	// apart.
	closeIdleAfter = 2400 * time.Millisecond
)

// loopIsolation reports this instance as not ready while it is cut off from the
// targets and other instances may not be.
//
// When a data centre is cut off from the others, its callers still reach their
// instance, and would be refused for as long as the cut lasts although the rest of the
// system works. An instance that reaches a majority of no group in use reports itself
// not ready and closes idle sessions, so that callers reconnect to instances that can
// serve them. If all members of one group are lost to everybody, other groups are
// still reachable, and the instance stays ready.
//
// If other instances of the data centre do not reach other data centres either, the
// instance counts as isolated sooner: see jointlyIsolated.
func (e *Engine) loopIsolation(ctx context.Context) error {
	var c isolationCheck
	for ctx.Err() == nil {
		select {
		case <-e.cfg.Clock.After(e.isolationCheckWait()):
		case <-ctx.Done():
			return nil
		}
		e.checkIsolation(&c, e.cfg.Clock.Now())
	}
	return nil
}

// isolationCheck is the state of loopIsolation.
type isolationCheck struct {
	// since is the time since which all groups have looked unreachable; zero if they
	// don't.
	since time.Time
	// closedAt is when idle sessions were last closed, and probedAt when members in
	// other data centres were last probed.
	closedAt, probedAt time.Time
}

// isolationCheckWait returns the time until the next check.
func (e *Engine) isolationCheckWait() time.Duration {
	var until time.Duration
	e.cfg.RemotePath.WithDetector(func(d *cwpath.Detector) { until = d.UntilIsolated(e.cfg.Clock.Now()) })
	if until > 0 {
		return min(until, isolationCheckInterval)
	}
	return isolationCheckInterval
}

func (e *Engine) checkIsolation(c *isolationCheck, now time.Time) {
	if e.probesMembers(now) && now.Sub(c.probedAt) >= isolationCheckInterval {
		// Probing goes on until a member answers, even without callers.
		c.probedAt = now
		e.probeOtherDataCentres()
	}
	elsewhere := e.primaryElsewhere()
	if !elsewhere && !e.allGroupsCutOff() {
		c.since = time.Time{}
	} else if c.since.IsZero() {
		c.since = now
	}
	alone := !c.since.IsZero() && now.Sub(c.since) >= isolatedAfter
	e.groupsCutOff.Store(alone)
	e.setIsolated(alone || e.jointlyIsolated(now))
	closeIdle := e.isolated.Load() && e.mayCloseIdle(now, c.since)
	if closeIdle && (!elsewhere || now.Sub(c.closedAt) >= closeIdleAfter) {
		c.closedAt = now
		e.closeIdleSessions(false, cwstatement.RetryLater(cwstatement.Aborted, "the instance is cut off", unreachableRetryAfter))
	}
}

// probesMembers reports whether members in other data centres are probed: if a request
// of this instance is overdue, or a neighbour's report has not been refuted in time.
//
// A report reaches a whole data centre within some tens of milliseconds. If all its
// instances probed the members of all their groups at once, a false report would cost
// the targets thousands of connections.
func (e *Engine) probesMembers(now time.Time) bool {
	probes := false
	e.cfg.RemotePath.WithDetector(func(d *cwpath.Detector) { probes = d.SuspectedDirectly() || d.Down(now) })
	return probes
}

// jointlyIsolated reports whether this data centre as a whole is cut off from the
// others, according to the reports of its instances.
func (e *Engine) jointlyIsolated(now time.Time) bool {
	isolated := false
	e.cfg.RemotePath.WithDetector(func(d *cwpath.Detector) { isolated = d.Isolated(now) })
	return isolated && e.sharesPathReports()
}

// sharesPathReports reports whether this instance finds out together with others whether
// its data centre is cut off: it knows other instances of its data centre, and other
// data centres, and no group has the majority of its members here.
//
// While a data centre that has the majority of a group is cut off, only its own
// instances can serve the group, so they must not leave the rotation together.
func (e *Engine) sharesPathReports() bool {
	if !e.pathActive.Load() {
		return false
	}
	e.mu.RLock()
	defer e.mu.RUnlock()
	known := false
	for service := range e.plans {
		here := 0
		for _, id := range e.listings.byService[service] {
			known = true
			if e.listings.byID[id].DataCentre == e.cfg.DataCentre {
				here++
			}
		}
		if here > 0 && here >= cwgroup.Majority(e.memberships[service].Size()) {
			return false
		}
	}
	return known
}

// mayCloseIdle reports whether the load balancer sends callers whose sessions are closed
// elsewhere. since is the time since which all groups have looked unreachable.
func (e *Engine) mayCloseIdle(now, since time.Time) bool {
	joined, closes := 0, false
	interval := e.probeInterval()
	e.cfg.RemotePath.WithDetector(func(d *cwpath.Detector) { joined, closes = d.Joined(), d.MayCloseIdle(interval, now) })
	if joined > 1 {
		return closes
	}
	return e.failedProbes.Load() >= failedProbesToClose || !since.IsZero() && now.Sub(since) >= closeIdleAfter
}

// probeInterval returns the interval of the load balancer's probes.
func (e *Engine) probeInterval() time.Duration {
	e.probesMu.Lock()
	defer e.probesMu.Unlock()
	return e.probes.Interval()
}

// primaryElsewhere reports whether other instances are likely to serve some group
// that this one cannot reach.
func (e *Engine) primaryElsewhere() bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	elsewhere := false
	for _, g := range e.groups {
		elsewhere = g.ServedElsewhere() || elsewhere
	}
	return elsewhere
}

// allGroupsCutOff reports whether every group in use is cut off. Once it has
// been so for isolatedAfter, it returns true until a majority of some group answers.
func (e *Engine) allGroupsCutOff() bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if e.groupsCutOff.Load() {
		return !e.reachesAny()
	}
	seen := false
	for _, g := range e.groups {
		switch {
		case g.RecentlyUnserved():
		case !g.ReachabilityKnown():
			continue
		case !g.MajorityUnreachable():
			return false
		}
		seen = true
	}
	return seen
}

// reachesAny reports whether a majority of any group answers. The callers have left
// and use no group any more, so the groups that were cut off are kept under watch.
//
// Otherwise an isolated instance could come to a group that it has not tried yet,
// count it as reachable and report itself ready; the load balancer would then use the
// whole data centre again. Only answers end the isolation. Members that became reachable
// one after the other may have answered at different times, and without callers only the
// primary is checked regularly, so they are probed together. The caller holds mu.
func (e *Engine) reachesAny() bool {
	reached := false
	for _, g := range e.groups {
		answering := g.MajorityAnswering()
		switch {
		case g.MajorityUnreachable() || g.RecentlyUnserved():
			g.KeepWatching()
		case !answering:
			g.ProbeReachable()
		}
		reached = reached || answering
	}
	return reached
}

// Isolated reports whether this instance or its data centre is cut off.
func (e *Engine) Isolated() bool { return e.isolated.Load() }

// AnswerProbe answers a health probe of the load balancer: it reports whether callers
// may connect.
func (e *Engine) AnswerProbe() bool {
	e.probesMu.Lock()
	e.probes.Observe(e.cfg.Clock.Now())
	e.probesMu.Unlock()
	ready := e.Ready()
	if ready {
		e.failedProbes.Store(0)
	} else {
		e.failedProbes.Add(1)
	}
	return ready
}

// handlePathSuspicion is called when the path to other data centres begins to be
// suspected.
func (e *Engine) handlePathSuspicion() {
	direct := false
	e.cfg.RemotePath.WithDetector(func(d *cwpath.Detector) { direct = d.SuspectedDirectly() })
	e.cfg.Metrics.countPathSuspicion(direct)
	e.cfg.Log.Warn("pathSuspected", "direct", direct, "sessions", e.SessionCount())
	if direct {
		e.probeOtherDataCentres()
	}
}

// probeOtherDataCentres makes all groups that this instance watches probe their
// members in other data centres, unless a probe is in progress. If it watches no
// group, some groups are watched anyway: any answer ends the suspicion, and without
// one it would never end.
func (e *Engine) probeOtherDataCentres() {
	e.mu.RLock()
	defer e.mu.RUnlock()
	probed := false
	for _, g := range e.groups {
		probed = g.ProbeRemote() || probed
	}
	if probed {
		return
	}
	n := 0
	for _, g := range e.groups {
		if n++; n > groupsProbedOnSuspicion {
			return
		}
		g.KeepWatching()
	}
}

func (e *Engine) setIsolated(isolated bool) {
	if e.isolated.Swap(isolated) == isolated {
		return
	}
	if isolated {
		joined := 0
		e.cfg.RemotePath.WithDetector(func(d *cwpath.Detector) { joined = d.Joined() })
		e.cfg.Log.Warn("isolated", "sessions", e.SessionCount(), "joined", joined)
		return
	}
	e.cfg.Log.Info("reconnected", "sessions", e.SessionCount())
}
