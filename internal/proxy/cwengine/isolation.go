package cwengine

import (
	"context"
	"time"
)

// Times of isolation.
const (
	// isolationStep is how often an instance asks itself whether it is cut off.
	isolationStep = 100 * time.Millisecond
	// isolatedAfter is how long it must look cut off before it says so; a lost
	// primary or a few refused connections are over sooner, or leave other
	// groups in reach.
	isolatedAfter = 100 * time.Millisecond
	// missedToLeave is how many probes in a row the balancer must have been told
	// that an instance is not ready until it sends callers elsewhere. Whoever is
	// sent away earlier comes back here.
	missedToLeave = 2
	// askedInSuspicion is how many groups are asked to end a suspicion where none is
	// watched: more than one, since one can be lost as a whole.
	askedInSuspicion = 3
	// moveAfter is how long after it looked cut off callers that rest are sent
	// away where no probes come: time for two of them, a second apart.
	moveAfter = 2400 * time.Millisecond
)

// loopIsolation tells the balancer when this instance is cut off from the
// targets while others may not be.
//
// The failure: a data centre is cut off from the others, and its callers, who
// still reach it, are refused for as long as the cut lasts though the rest of
// the system is well. An instance that reaches the majority of no group that it
// is asked for reports itself not ready and sends resting callers away; they
// come back through instances that serve. Where all of a group's members are
// lost to everybody, other groups are still in reach, and the instance stays.
func (e *Engine) loopIsolation(ctx context.Context) error {
	var since, sentAway time.Time
	for ctx.Err() == nil {
		select {
		case <-e.cfg.Clock.After(isolationStep):
		case <-ctx.Done():
			return nil
		}
		now := e.cfg.Clock.Now()
		if e.cfg.Path.Suspected() {
			// Until something answers, also after the last caller has gone.
			e.suspectAway()
		}
		overtaken := e.overtaken()
		if !overtaken && !e.cutOff() {
			since = time.Time{}
		} else if since.IsZero() {
			since = now
		}
		e.setIsolated(!since.IsZero() && now.Sub(since) >= isolatedAfter)
		out := e.isolated.Load() && (e.missed.Load() >= missedToLeave || now.Sub(since) >= moveAfter)
		if out && (!overtaken || now.Sub(sentAway) >= moveAfter) {
			sentAway = now
			e.sendAway(false)
		}
	}
	return nil
}

// overtaken reports whether a group is led where this instance does not reach it.
func (e *Engine) overtaken() bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	overtaken := false
	for _, g := range e.groups {
		overtaken = g.Overtaken() || overtaken
	}
	return overtaken
}

// cutOff reports whether every group that is in use is cut off.
func (e *Engine) cutOff() bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if e.isolated.Load() {
		return !e.reachesAny()
	}
	seen := false
	for _, g := range e.groups {
		switch {
		case g.Unserved():
		case !g.Used():
			continue
		case !g.CutOff():
			return false
		}
		seen = true
	}
	return seen
}

// reachesAny reports whether any group's majority answers. Callers have gone and
// would use none; those that were cut off are watched on.
//
// The failure: an instance that is cut off meets a group that it has not tried
// yet, takes it for one in reach, and reports itself ready; then the balancer
// uses the whole data centre again. Only answers end an isolation.
func (e *Engine) reachesAny() bool {
	reached := false
	for _, g := range e.groups {
		if g.CutOff() || g.Unserved() {
			g.KeepWatching()
		}
		reached = reached || g.Reached()
	}
	return reached
}

// Probe answers a probe of the balancer: it reports whether callers may come.
func (e *Engine) Probe() bool {
	ready := e.Ready()
	if ready {
		e.missed.Store(0)
	} else {
		e.missed.Add(1)
	}
	return ready
}

// suspectPath records that nothing comes from other data centres any more.
func (e *Engine) suspectPath() {
	e.cfg.Log.Warn("pathSuspected", "sessions", e.Sessions())
	e.suspectAway()
}

// suspectAway has all groups that this instance watches probe their
// members in other data centres, but for probes that are under way. Where
// it watches none any more, some are asked all the same: any answer ends the
// suspicion, and without one it would never end.
func (e *Engine) suspectAway() {
	e.mu.RLock()
	defer e.mu.RUnlock()
	asked := false
	for _, g := range e.groups {
		asked = g.SuspectAway() || asked
	}
	if asked {
		return
	}
	n := 0
	for _, g := range e.groups {
		if n++; n > askedInSuspicion {
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
		e.cfg.Log.Warn("isolated", "sessions", e.Sessions())
		return
	}
	e.cfg.Log.Info("reconnected", "sessions", e.Sessions())
}
