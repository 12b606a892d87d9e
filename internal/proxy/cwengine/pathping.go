package cwengine

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwpath"
)

const (
	// idlePathWait is the longest pause of the loop.
	idlePathWait = 5 * time.Second
	// pingTimeout bounds a ping with the connection that it opens.
	pingTimeout = 250 * time.Millisecond
	// settleTime is the wait for answers that have arrived but have not been read when
	// the timeout of a ping ends. An instance that was paused reads them at once.
	settleTime = 10 * time.Millisecond
)

// ping starts the pings that are due: a round of a sentinel, or probes because of a
// suspicion.
func (w *pathWatch) ping(ctx context.Context) {
	now := w.engine.cfg.Clock.Now()
	suspected := !w.suspectedSince.IsZero()
	if !w.active || !suspected && !w.sentinel || now.Before(w.nextPingAt) {
		return
	}
	if suspected {
		w.nextPingAt = now.Add(cwpath.SuspectedPingInterval)
	} else {
		planned := !w.nextPingAt.IsZero()
		w.nextPingAt = cwpath.NextPing(w.sentinelRank, now)
		if !planned {
			return
		}
	}
	switch {
	case !w.engine.sharesPathReports():
	case suspected:
		w.engine.cfg.RemotePath.WithDetector(func(d *cwpath.Detector) { d.ObserveProbe(now) })
		for _, to := range cwpath.PingTargets(w.candidates, cwpath.ConfirmPings, w.rand) {
			go w.runPing(ctx, to, nil)
		}
	default:
		go w.runPingRound(ctx, cwpath.PingTargets(w.candidates, 1+cwpath.ConfirmPings, w.rand))
	}
}

// untilNext returns the time until the loop has something to do without being woken.
func (w *pathWatch) untilNext() time.Duration {
	if !w.active || w.nextPingAt.IsZero() || !w.sentinel && w.suspectedSince.IsZero() {
		return idlePathWait
	}
	return max(time.Millisecond, w.nextPingAt.Sub(w.engine.cfg.Clock.Now()))
}

// runPingRound pings the first target, and the others if it does not answer soon. If
// none answers, the path is suspected.
//
// An instance of another data centre may be lost or paused, so a single ping shows
// nothing.
func (w *pathWatch) runPingRound(ctx context.Context, targets []string) {
	if len(targets) == 0 {
		return
	}
	sentAt := w.engine.cfg.Clock.Now()
	answered := make(chan struct{}, len(targets))
	go w.runPing(ctx, targets[0], answered)
	if w.awaitPing(ctx, answered, cwpath.FirstPingTimeout) {
		return
	}
	for _, to := range targets[1:] {
		go w.runPing(ctx, to, answered)
	}
	if !w.awaitPing(ctx, answered, cwpath.ConfirmTimeout) && !w.awaitPing(ctx, answered, settleTime) {
		w.engine.cfg.RemotePath.RecordOverdue(sentAt)
	}
}

// awaitPing waits up to d for an answer. It returns true if one came or ctx ended.
func (w *pathWatch) awaitPing(ctx context.Context, answered <-chan struct{}, d time.Duration) bool {
	t := w.engine.cfg.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-answered:
		return true
	case <-ctx.Done():
		return true
	case <-t.Chan():
		return false
	}
}

// runPing pings an instance of another data centre. It sends to answered, which may be
// nil and must have room, if there was an answer.
func (w *pathWatch) runPing(ctx context.Context, to string, answered chan<- struct{}) {
	cfg := &w.engine.cfg
	cfg.Metrics.PathPings.Inc()
	sentAt := cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	err := cfg.PathNetwork.PingRemote(ctx, to)
	if err != nil {
		cfg.Log.Debug("pathPingLost", "to", to, "cause", err)
		if cfg.Clock.Since(sentAt) >= cwpath.MinOverdue {
			cfg.RemotePath.RecordOverdue(sentAt)
		}
		return
	}
	if answered != nil {
		answered <- struct{}{}
	}
}
