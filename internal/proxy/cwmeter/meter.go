// Package cwmeter asks the issuers of a workspace's quota for its operations, and
// answers others where this instance is one. How a quota is split and what an
// issuer gives is decided by cwquota.
package cwmeter

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/core/cwquota"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Times of asking.
const (
	// askTimeout bounds a question: a few round trips between data centres and a
	// busy instance's queue. Beyond it the next issuer is asked; callers want
	// answers within some hundred milliseconds, and have others to wait for.
	askTimeout = 50 * time.Millisecond
	// silentFor is how long an issuer that did not answer is left alone.
	silentFor = 500 * time.Millisecond
	// patience is how long an operation waits for a connection to any issuer, and
	// patienceStep how often it looks. Connections are opened within some
	// milliseconds once instances know of each other.
	patience     = 200 * time.Millisecond
	patienceStep = 10 * time.Millisecond
	// unknownRetry is what callers are told where no issuer can be asked: the
	// time in which an instance finds out whom it reaches.
	unknownRetry = 300 * time.Millisecond
)

// Meter implements cwport.Meter and cwport.QuotaTeller. Set the fields before
// use.
type Meter struct {
	Rule  cwcatalogue.QuotaTolerance
	Peers cwport.QuotaIssuers
	Clock clockwork.Clock
	Log   *log.Logger
	// Quota returns a workspace's quota by the catalogue in force.
	Quota func(workspace string) (cwcatalogue.Quota, bool)
	// DataCentres is how many data centres there are.
	DataCentres int
	// FirstStart is true if no instance was there before.
	FirstStart bool

	once    sync.Once
	started time.Time

	mu sync.Mutex
	// shards are those that this instance keeps.
	shards map[string]*cwquota.Shard
	// blocked are issuers that need not be asked yet.
	blocked map[question]block
}

// question is what is asked of whom.
type question struct{ workspace, issuer string }

// block is why an issuer is not asked before a time.
type block struct {
	until time.Time
	// silent is true if it did not answer, false if it had no quota.
	silent bool
}

// Start notes that this instance runs from now on.
func (m *Meter) Start() { m.once.Do(func() { m.started = m.Clock.Now() }) }

// Take implements cwport.Meter.
func (m *Meter) Take(workspace string) cwport.Verdict {
	m.Start()
	end := m.Clock.Now().Add(patience)
	for {
		v := m.round(workspace, false)
		if !v.Allowed {
			v = sooner(v, m.round(workspace, true))
		}
		if !v.Unknown || !m.Clock.Now().Before(end) {
			return v
		}
		m.Clock.Sleep(patienceStep)
	}
}

// round asks the issuers of this data centre, or the others, until one allows the
// operation.
func (m *Meter) round(workspace string, far bool) cwport.Verdict {
	out := cwport.Verdict{Unknown: true, RetryAfter: unknownRetry}
	for _, issuer := range m.Peers.QuotaIssuers(workspace, far) {
		b, ok := m.blockedBy(question{workspace, issuer.Name})
		v := cwport.Verdict{Unknown: b.silent, RetryAfter: b.until.Sub(m.Clock.Now())}
		if !ok {
			v = m.ask(workspace, issuer)
		}
		if out = sooner(out, v); out.Allowed {
			return out
		}
	}
	return out
}

// sooner returns the verdict that is better for the caller.
func sooner(a, b cwport.Verdict) cwport.Verdict {
	switch {
	case a.Allowed || b.Unknown:
		return a
	case b.Allowed || a.Unknown || b.RetryAfter < a.RetryAfter:
		return b
	}
	return a
}

// blockedBy returns why a question is not asked now.
func (m *Meter) blockedBy(q question) (block, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, ok := m.blocked[q]
	if ok && !m.Clock.Now().Before(b.until) {
		delete(m.blocked, q)
		ok = false
	}
	return b, ok
}

// block leaves a question unasked for a while.
//
// The failure: a workspace sends many times its quota, and each of its operations
// asks all issuers in vain: what is refused costs more than what is served, and
// the callers of others wait.
func (m *Meter) block(q question, d time.Duration, silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.blocked == nil {
		m.blocked = make(map[question]block)
	}
	m.blocked[q] = block{until: m.Clock.Now().Add(d), silent: silent}
}

// ask asks one issuer.
func (m *Meter) ask(workspace string, issuer cwport.QuotaIssuer) cwport.Verdict {
	if issuer.Ask == nil {
		return m.TellQuota(workspace)
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	v, err := issuer.Ask(ctx, workspace)
	q := question{workspace, issuer.Name}
	switch {
	case err != nil:
		m.Log.Debug("quotaNotAsked", "workspace", workspace, "issuer", issuer.Name, "cause", err)
		m.block(q, silentFor, true)
		return cwport.Verdict{Unknown: true}
	case !v.Allowed:
		m.block(q, v.RetryAfter, v.Unknown)
	}
	return v
}

// TellQuota implements cwport.QuotaTeller.
func (m *Meter) TellQuota(workspace string) cwport.Verdict {
	m.Start()
	q, ok := m.Quota(workspace)
	if !ok {
		return cwport.Verdict{Unknown: true, RetryAfter: unknownRetry}
	}
	shape := cwquota.BucketParamsFor(q, m.Rule, max(1, m.DataCentres)*cwholder.MinPerDataCentre)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	s := m.shards[workspace]
	if s == nil {
		s = cwquota.NewShard(shape, m.started, m.FirstStart)
		if m.shards == nil {
			m.shards = make(map[string]*cwquota.Shard)
		}
		m.shards[workspace] = s
	}
	s.SetParams(shape, now)
	allowed, wait := s.Take(now)
	return cwport.Verdict{Allowed: allowed, RetryAfter: wait}
}
