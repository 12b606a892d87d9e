package cwengine

import (
	"context"
	"time"
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
func (e *Engine) loopIsolation(ctx context.Context) error {
	var since, lastClosed time.Time
	for ctx.Err() == nil {
		select {
		case <-e.cfg.Clock.After(isolationCheckInterval):
		case <-ctx.Done():
			return nil
		}
		now := e.cfg.Clock.Now()
		if e.cfg.RemotePath.Suspected() {
			// Probing goes on until a member answers, even without callers.
			e.probeOtherDataCentres()
		}
		elsewhere := e.primaryElsewhere()
		if !elsewhere && !e.allGroupsCutOff() {
			since = time.Time{}
		} else if since.IsZero() {
			since = now
		}
		e.setIsolated(!since.IsZero() && now.Sub(since) >= isolatedAfter)
		closeIdle := e.isolated.Load() && (e.failedProbes.Load() >= failedProbesToClose || now.Sub(since) >= closeIdleAfter)
		if closeIdle && (!elsewhere || now.Sub(lastClosed) >= closeIdleAfter) {
			lastClosed = now
			e.closeIdleSessions(false)
		}
	}
	return nil
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

// allGroupsCutOff reports whether every group in use is cut off. While the instance is
// isolated, it returns true until a majority of some group answers.
func (e *Engine) allGroupsCutOff() bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if e.isolated.Load() {
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
// whole data centre again. Only answers end the isolation. The caller holds mu.
func (e *Engine) reachesAny() bool {
	reached := false
	for _, g := range e.groups {
		if g.MajorityUnreachable() || g.RecentlyUnserved() {
			g.KeepWatching()
		}
		reached = reached || g.MajorityAnswering()
	}
	return reached
}

// AnswerProbe answers a health probe of the load balancer: it reports whether callers
// may connect.
func (e *Engine) AnswerProbe() bool {
	ready := e.Ready()
	if ready {
		e.failedProbes.Store(0)
	} else {
		e.failedProbes.Add(1)
	}
	return ready
}

// handlePathSuspicion is called when no member in another data centre answers any
// more.
func (e *Engine) handlePathSuspicion() {
	e.cfg.Log.Warn("pathSuspected", "sessions", e.SessionCount())
	e.probeOtherDataCentres()
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
		e.cfg.Log.Warn("isolated", "sessions", e.SessionCount())
		return
	}
	e.cfg.Log.Info("reconnected", "sessions", e.SessionCount())
}
