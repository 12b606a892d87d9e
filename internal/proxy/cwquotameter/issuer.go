package cwquotameter

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwquota"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// issuedShard is a shard that this instance keeps.
type issuedShard struct {
	shard *cwquota.Shard
	// heldAt is when the list of instances was last seen to give the shard to this
	// instance.
	heldAt time.Time
}

// IssueQuota implements cwport.QuotaServer.
func (m *Meter) IssueQuota(r cwport.QuotaRequest) cwport.QuotaDecision {
	m.Start()
	quota, ok := m.QuotaOf(r.Workspace)
	listing := m.Issuers.QuotaListing(r.Workspace)
	if !ok || listing.Known && !listing.Issuer {
		return cwport.QuotaDecision{Unknown: true, RetryAfter: unknownRetryAfter}
	}
	params := cwquota.ParamsFor(quota, m.Tolerance, max(1, m.DataCentres)*cwholder.MinPerDataCentre)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	s := m.shardOf(r.Workspace, params, listing, now)
	d := s.shard.Take(cwquota.Request{Priority: r.Priority, MaxWait: r.MaxWait, Repeated: r.Repeated, Place: r.Place}, now)
	m.count(r, d)
	v := cwport.QuotaDecision{Allowed: d.Allowed, RetryAfter: d.RetryAfter, Place: d.Place}
	if d.Allowed && d.Grant != 0 {
		v.Grant = cwport.QuotaGrant{Run: m.RunID, Grant: d.Grant}
	}
	return v
}

// shardOf returns the shard of a workspace, and begins a new tenure if it may have been
// lost in between. The caller holds mu.
func (m *Meter) shardOf(workspace string, params cwquota.Params, l cwquota.Listing, now time.Time) *issuedShard {
	s := m.shards[workspace]
	switch {
	case s == nil:
		tenure := l.FirstTenureOf(m.started, params.Window, m.FirstStart)
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

// count updates the metrics after a decision. An operation that waits for its token is
// not refused yet.
func (m *Meter) count(r cwport.QuotaRequest, d cwquota.Decision) {
	add(m.Counts.ContendedIssued, d.Sample.Issued)
	add(m.Counts.ContendedAllowed, d.Sample.Allowed)
	if !d.Allowed && r.MaxWait > 0 && d.Place == 0 {
		add(m.Counts.Refused[cwquota.PriorityIndex(r.Priority)], 1)
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
