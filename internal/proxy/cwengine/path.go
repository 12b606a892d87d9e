package cwengine

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwpath"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

const (
	// idlePathWait is the longest pause of the loop.
	idlePathWait = 5 * time.Second
	// pingTimeout bounds the connection attempt of a ping, or the ping on a new
	// connection.
	pingTimeout = 250 * time.Millisecond
	// settleTime is the wait for answers that have arrived but have not been read when
	// the timeout of a ping ends. An instance that was paused reads them at once.
	settleTime = 10 * time.Millisecond
)

// pathWatch exchanges reports and pings with other instances to find out whether other
// data centres answer. Only its loop uses its state, except for wakeups and stale.
type pathWatch struct {
	engine *Engine
	rand   *rand.Rand
	// wakeups has an element if there may be reports to send.
	wakeups chan struct{}
	// stale is true if the lists of instances have changed.
	stale atomic.Bool

	// active is true if there are neighbours and other data centres. candidates are the
	// instances to ping, by data centre.
	active     bool
	candidates [][]string
	// sentinelRank is the rank of this instance among the sentinels; it is valid if
	// sentinel is true.
	sentinelRank int
	sentinel     bool
	// nextPingAt is the time of the next round of pings; zero if none is planned.
	nextPingAt time.Time
	// suspectedSince is when the suspicion began that the loop knows of; zero if it
	// knows of none.
	suspectedSince time.Time
}

func newPathWatch(e *Engine) *pathWatch {
	w := &pathWatch{engine: e, rand: rand.New(rand.NewPCG(e.cfg.PathSeed, 0)), wakeups: make(chan struct{}, 1)}
	w.stale.Store(true)
	return w
}

// instancesChanged makes the loop read the lists of other instances again.
func (w *pathWatch) instancesChanged() {
	w.stale.Store(true)
	w.wake()
}

// wake makes the loop run at once. It does not block.
func (w *pathWatch) wake() {
	select {
	case w.wakeups <- struct{}{}:
	default:
	}
}

// loop sends reports and pings until ctx ends. It always returns nil.
func (w *pathWatch) loop(ctx context.Context) error {
	for {
		w.refresh()
		w.observeSuspicion()
		w.sendReports(ctx)
		w.ping(ctx)
		select {
		case <-w.wakeups:
		case <-w.engine.cfg.Clock.After(w.untilNext()):
		case <-ctx.Done():
			return nil
		}
	}
}

// refresh reads the lists of other instances if they have changed. Reports are exchanged
// only if there are neighbours and other data centres.
func (w *pathWatch) refresh() {
	if !w.stale.Swap(false) {
		return
	}
	cfg := &w.engine.cfg
	neighbours, remote := cfg.PathNetwork.PathNeighbours()
	w.active = len(neighbours) > 0 && len(remote) > 0
	if !w.active {
		neighbours = nil
	}
	w.candidates = cwpath.PingCandidates(cfg.Name, remote)
	rank, sentinel := cwpath.SentinelRank(cfg.Name, cfg.DataCentre, append([]string{cfg.Name}, neighbours...))
	w.sentinelRank, w.sentinel = rank, sentinel && w.active
	w.engine.pathActive.Store(w.active)
	cfg.RemotePath.WithDetector(func(d *cwpath.Detector) { d.SetNeighbours(neighbours) })
}

// observeSuspicion plans pings when suspicion begins or ends, and logs the end.
func (w *pathWatch) observeSuspicion() {
	cfg, now := &w.engine.cfg, w.engine.cfg.Clock.Now()
	var begunAt time.Time
	cfg.RemotePath.WithDetector(func(d *cwpath.Detector) { begunAt = d.BegunAt() })
	if begunAt.Equal(w.suspectedSince) {
		return
	}
	if !w.suspectedSince.IsZero() {
		cfg.Log.Info("pathAnswers", "suspectedMs", now.Sub(w.suspectedSince).Milliseconds())
	}
	w.suspectedSince, w.nextPingAt = begunAt, time.Time{}
}

// sendReports sends the reports that are due, each in a goroutine of its own. It drops
// them if this instance does not share reports.
func (w *pathWatch) sendReports(ctx context.Context) {
	var due []cwpath.Message
	w.engine.cfg.RemotePath.WithDetector(func(d *cwpath.Detector) { due = d.TakeMessages() })
	if len(due) == 0 || !w.engine.sharesPathReports() {
		return
	}
	for _, m := range due {
		go w.runReport(ctx, m)
	}
}

// runReport sends a report and records its reply.
func (w *pathWatch) runReport(ctx context.Context, m cwpath.Message) {
	cfg, sentAt := &w.engine.cfg, w.engine.cfg.Clock.Now()
	cfg.Metrics.PathReports.Inc()
	reply, err := cfg.PathNetwork.SendPathReport(ctx, m.To, encodePathReport(cfg.DataCentre, m.Report, sentAt))
	cfg.RemotePath.WithDetector(func(d *cwpath.Detector) {
		now := cfg.Clock.Now()
		switch {
		case errors.As(err, new(*cwport.MethodUnknownError)):
			d.MethodUnknown(m.To, now)
		case err != nil:
			d.CallFailed(now)
		default:
			d.ReceiveReply(m.To, decodePathReply(reply, sentAt))
		}
	})
	if err != nil {
		cfg.Metrics.PathReportsLost.Inc()
		cfg.Log.Debug("pathReportLost", "to", m.To, "cause", err)
	}
	w.wake()
}

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
			go w.runPing(ctx, to, true, nil)
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
	go w.runPing(ctx, targets[0], false, answered)
	if w.awaitPing(ctx, answered, cwpath.PingPatience) {
		return
	}
	for _, to := range targets[1:] {
		go w.runPing(ctx, to, true, answered)
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

// runPing pings an instance of another data centre, on a new connection if fresh is true.
// It sends to answered, which may be nil and must have room, if there was an answer.
func (w *pathWatch) runPing(ctx context.Context, to string, fresh bool, answered chan<- struct{}) {
	cfg := &w.engine.cfg
	cfg.Metrics.PathPings.Inc()
	sentAt := cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	err := cfg.PathNetwork.PingRemote(ctx, to, fresh)
	if err != nil {
		cfg.Log.Debug("pathPingLost", "to", to, "cause", err)
		// An instance that refuses connections at once says nothing about the path.
		if cfg.Clock.Since(sentAt) >= cwpath.ConfirmTimeout {
			cfg.RemotePath.RecordOverdue(sentAt)
		}
		return
	}
	if answered != nil {
		answered <- struct{}{}
	}
}

// ServePathReport implements cwport.PathServer. Reports are ignored if they come from
// another data centre, or while this instance does not share reports.
func (e *Engine) ServePathReport(r cwport.PathReport) cwport.PathReply {
	if r.DataCentre != e.cfg.DataCentre || r.Instance == e.cfg.Name || !e.sharesPathReports() {
		e.cfg.Metrics.PathReportsIgnored.Inc()
		return cwport.PathReply{}
	}
	e.cfg.Metrics.PathReportsReceived.Inc()
	now := e.cfg.Clock.Now()
	report := cwpath.Report{
		ID: r.ID, Instance: r.Instance, SilentSince: now.Add(-r.Silent), NotReadySince: timeOfAge(r.NotReady, now), Ended: r.Ended,
	}
	reply := e.cfg.RemotePath.ReceiveReport(report, now)
	out := cwport.PathReply{NotReady: ageOfTime(reply.NotReadySince, now)}
	if !reply.AnsweredAt.IsZero() {
		out.Answered, out.HasAnswer = max(0, now.Sub(reply.AnsweredAt)), true
	}
	return out
}

func encodePathReport(dataCentre string, r cwpath.Report, now time.Time) cwport.PathReport {
	return cwport.PathReport{
		ID: r.ID, DataCentre: dataCentre, Instance: r.Instance, Silent: max(0, now.Sub(r.SilentSince)), NotReady: ageOfTime(r.NotReadySince, now), Ended: r.Ended,
	}
}

// decodePathReply converts the reply to a report that was sent at sentAt.
func decodePathReply(r cwport.PathReply, sentAt time.Time) cwpath.Reply {
	out := cwpath.Reply{NotReadySince: timeOfAge(r.NotReady, sentAt)}
	if r.HasAnswer {
		out.AnsweredAt = sentAt.Add(-r.Answered)
	}
	return out
}

// ageOfTime returns the age of a time in a message, at least a microsecond; zero for no
// time.
func ageOfTime(t, now time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(time.Microsecond, now.Sub(t))
}

// timeOfAge returns the time that had the given age at now; zero for no age.
func timeOfAge(age time.Duration, now time.Time) time.Time {
	if age == 0 {
		return time.Time{}
	}
	return now.Add(-age)
}
