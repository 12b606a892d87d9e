package cwquotameter

import (
	"context"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwquota"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Times of the record of window mode, as seen by the operations that need it.
const (
	// recordWait is how long an operation waits at most for the store, and the longest
	// retry time that is stated while the store is asked: the whole limit of the window
	// is available as soon as it has answered. It answers two requests in this time
	// unless it is slow.
	recordWait = 50 * time.Millisecond
	// attemptPause is the pause after an attempt that failed.
	attemptPause = time.Second
)

// issuedShard is a shard that this instance keeps.
type issuedShard struct {
	shard *cwquota.Shard
	// heldAt is when the list of instances was last seen to give the shard to this
	// instance.
	heldAt time.Time
	// attempt is closed when the current attempt to get a lease has ended; nil if there
	// is none.
	attempt chan struct{}
	// attemptAfter is the time before which no attempt is made.
	attemptAfter time.Time
	// windowMode is true if the use of window mode was logged, and its end was not.
	windowMode bool
}

// IssueQuota implements cwport.QuotaServer. An operation that is refused while the
// store is asked for a lease waits for it, within its own wait.
func (m *Meter) IssueQuota(r cwport.QuotaRequest) cwport.QuotaDecision {
	v, attempt := m.issue(r)
	if !v.Allowed && attempt != nil {
		if r.MaxWait > minWait && m.awaitAttempt(attempt, min(r.MaxWait, recordWait)) {
			v, _ = m.issue(r)
		}
		v.RetryAfter = min(v.RetryAfter, recordWait)
	}
	if !v.Allowed && !v.Unknown && r.MaxWait > 0 {
		add(m.Counts.Refused[cwquota.PriorityIndex(r.Priority)], 1)
	}
	return v
}

func (m *Meter) awaitAttempt(attempt <-chan struct{}, wait time.Duration) bool {
	t := m.Clock.NewTimer(wait)
	defer t.Stop()
	select {
	case <-attempt:
		return true
	case <-t.Chan():
		return false
	}
}

// issue requests quota from this instance's shard. If the operation is refused and the
// store is being asked for a lease, it returns the attempt.
func (m *Meter) issue(r cwport.QuotaRequest) (cwport.QuotaDecision, <-chan struct{}) {
	m.Start()
	quota, ok := m.QuotaOf(r.Workspace)
	listing := m.Issuers.QuotaListing(r.Workspace)
	if !ok || listing.Known && !listing.Issuer {
		return cwport.QuotaDecision{Unknown: true, RetryAfter: unknownRetryAfter}, nil
	}
	m.Prepare()
	params := cwquota.ParamsFor(quota, m.Tolerance, max(1, m.DataCentres)*cwholder.MinPerDataCentre)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	s := m.shardOf(r.Workspace, params.ForRank(listing, m.started, now), listing, now)
	request := cwquota.Request{Priority: r.Priority, MaxWait: r.MaxWait, Repeated: r.Repeated}
	if s.attempt != nil && !s.shard.WindowMode(now) {
		// Until the attempt has ended, the place in the order of retries isn't known.
		request.MaxWait = 0
	}
	d := s.shard.Take(request, now)
	m.count(d)
	if s.shard.WantsLease(now) {
		m.startAttempt(r.Workspace, s, now)
	}
	v := cwport.QuotaDecision{Allowed: d.Allowed, Delay: d.Delay, RetryAfter: d.RetryAfter}
	if d.Allowed && d.Grant != 0 {
		v.Grant = cwport.QuotaGrant{Run: m.RunID, Grant: d.Grant}
	}
	if s.attempt == nil || s.shard.WindowMode(now) {
		return v, nil
	}
	return v, s.attempt
}

// shardOf returns the shard of a workspace, and begins a new tenure if it may have been
// lost in between. The caller holds mu.
func (m *Meter) shardOf(workspace string, params cwquota.Params, l cwquota.Listing, now time.Time) *issuedShard {
	s := m.shards[workspace]
	switch {
	case s == nil:
		active := m.records.activeAtStart(workspace)
		tenure := l.FirstTenureOf(m.started, params.Window, m.FirstStart, active)
		s = &issuedShard{shard: cwquota.NewShard(params, tenure)}
		if m.shards == nil {
			m.shards = make(map[string]*issuedShard)
		}
		m.shards[workspace] = s
	case l.GainedSince(s.heldAt):
		s.shard.Gain(cwquota.GainedTenure(l.GainedAt, params.Window), now)
	}
	s.heldAt = now
	s.shard.SetParams(params, now)
	return s
}

// count updates the metrics after a decision.
func (m *Meter) count(d cwquota.Decision) {
	add(m.Counts.ContendedIssued, d.Sample.Issued)
	add(m.Counts.ContendedAllowed, d.Sample.Allowed)
	if d.Delay > 0 {
		add(m.Counts.Delayed, 1)
	}
}

// ReturnIssued implements cwport.QuotaServer.
func (m *Meter) ReturnIssued(workspace string, g cwport.QuotaGrant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.shards[workspace]
	if s == nil || g.Run != m.RunID || !s.shard.Return(g.Grant, m.Clock.Now()) {
		m.Log.Debug("quotaReturnIgnored", "workspace", workspace, "run", g.Run)
		return
	}
	add(m.Counts.Returned, 1)
}

// startAttempt begins an attempt to get a lease. The caller holds mu.
func (m *Meter) startAttempt(workspace string, s *issuedShard, now time.Time) {
	if m.Table == nil || s.attempt != nil || now.Before(s.attemptAfter) {
		return
	}
	s.attempt = make(chan struct{})
	go m.runAttempt(workspace, s, m.era.number)
}

// runAttempt writes the workspace's row, so that window mode may be used.
func (m *Meter) runAttempt(workspace string, s *issuedShard, era uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	until, err := m.store().lease(ctx, workspace, m.Name)
	m.mu.Lock()
	defer m.mu.Unlock()
	defer close(s.attempt)
	defer func() { s.attempt = nil }()
	now := m.Clock.Now()
	switch {
	case err != nil:
		s.attemptAfter = now.Add(attemptPause)
		m.Log.Warn("quotaNotRecorded", "workspace", workspace, "cause", err)
		return
	case era != m.era.number:
		// The row may be missing from the copy to which the store was restored.
		return
	}
	s.shard.Lease(until)
	m.records.expectActive(workspace, until)
	if !s.windowMode {
		s.windowMode = true
		m.Log.Info("quotaWindowMode", "workspace", workspace, "leaseMs", until.Sub(now).Milliseconds())
	}
}
