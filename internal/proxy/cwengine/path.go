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
		w.observeSuspicion(ctx)
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

// observeSuspicion plans pings when suspicion begins or ends, and logs the end. If a
// neighbour's answer ended it, a round of pings finds out whether this instance is cut off
// alone.
func (w *pathWatch) observeSuspicion(ctx context.Context) {
	cfg, now := &w.engine.cfg, w.engine.cfg.Clock.Now()
	var begunAt time.Time
	unconfirmed := false
	cfg.RemotePath.WithDetector(func(d *cwpath.Detector) { begunAt, unconfirmed = d.BegunAt(), d.Unconfirmed() })
	if begunAt.Equal(w.suspectedSince) {
		return
	}
	if !w.suspectedSince.IsZero() {
		cfg.Log.Info("pathAnswers", "suspectedMs", now.Sub(w.suspectedSince).Milliseconds())
	}
	w.suspectedSince, w.nextPingAt = begunAt, time.Time{}
	if unconfirmed && w.active {
		go w.runPingRound(ctx, cwpath.PingTargets(w.candidates, 1+cwpath.ConfirmPings, w.rand))
	}
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
