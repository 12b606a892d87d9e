// Package cwquotameter enforces the quotas of workspaces. The quota of a workspace is
// split into shards, each of which is kept by one instance, its issuer.
//
// For each operation, a Meter asks the issuers of the workspace's quota until one
// allows it. It also answers the requests of other instances for the shards that
// this instance keeps. How a quota is split and how much an issuer allows is
// decided by cwquota.
package cwquotameter

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

// Timeouts of requests to issuers.
const (
	// askTimeout bounds a request to an issuer: a few round trips between data centres
	// and the time in a busy instance's queue. After it the next issuer is asked.
	// Callers expect answers within some hundred milliseconds, which include other
	// waits as well.
	askTimeout = 50 * time.Millisecond
	// unresponsivePause is the time for which an issuer that did not answer isn't
	// asked again.
	unresponsivePause = 500 * time.Millisecond
	// connectWait is the time for which an operation waits for a connection to any
	// issuer, and connectPollInterval the interval at which it checks. Connections are
	// opened within some milliseconds once instances know of each other.
	connectWait         = 200 * time.Millisecond
	connectPollInterval = 10 * time.Millisecond
	// unknownRetryAfter is the time after which callers are told to retry if no issuer
	// can be asked: the time in which an instance finds out which others are reachable.
	unknownRetryAfter = 300 * time.Millisecond
)

// Meter implements cwport.QuotaMeter and cwport.QuotaServer. Set the exported fields
// before use. Its methods are safe for concurrent use.
type Meter struct {
	// Tolerance is the tolerance within which quotas are kept.
	Tolerance cwcatalogue.QuotaTolerance
	// Issuers selects the issuers to ask.
	Issuers cwport.QuotaIssuers
	Clock   clockwork.Clock
	Log     *log.Logger
	// QuotaOf returns a workspace's quota according to the catalogue in force; false if
	// it is not known.
	QuotaOf func(workspace string) (cwcatalogue.Quota, bool)
	// DataCentres is the number of data centres.
	DataCentres int
	// FirstStart is true if no instance ran before, so that the shards have had no
	// earlier issuer and start full.
	FirstStart bool

	startOnce sync.Once
	started   time.Time

	mu sync.Mutex
	// shards are the shards that this instance keeps, by workspace.
	shards map[string]*cwquota.Shard
	// pauses are the issuers that aren't asked for now.
	pauses map[issuerKey]issuerPause
}

// issuerKey identifies an issuer of a workspace's quota.
type issuerKey struct{ workspace, issuer string }

// issuerPause is the time until which an issuer isn't asked, and the reason.
type issuerPause struct {
	until time.Time
	// unresponsive is true if the issuer did not answer or could not tell, false if it
	// had no quota left.
	unresponsive bool
}

// Start records the time from which this instance issues quota. Only the first
// call has an effect.
func (m *Meter) Start() { m.startOnce.Do(func() { m.started = m.Clock.Now() }) }

// Take implements cwport.QuotaMeter. It asks the issuers of this data centre, then
// those of the others, and waits up to connectWait while none can be asked.
func (m *Meter) Take(workspace string) cwport.QuotaDecision {
	m.Start()
	end := m.Clock.Now().Add(connectWait)
	for {
		v := m.askIssuers(workspace, false)
		if !v.Allowed {
			v = betterDecision(v, m.askIssuers(workspace, true))
		}
		if !v.Unknown || !m.Clock.Now().Before(end) {
			return v
		}
		m.Clock.Sleep(connectPollInterval)
	}
}

// askIssuers asks the issuers of this data centre, or those of the others if remote
// is true, until one allows the operation. It returns the best decision.
func (m *Meter) askIssuers(workspace string, remote bool) cwport.QuotaDecision {
	out := cwport.QuotaDecision{Unknown: true, RetryAfter: unknownRetryAfter}
	for _, issuer := range m.Issuers.QuotaIssuers(workspace, remote) {
		pause, ok := m.pauseOf(issuerKey{workspace, issuer.Name})
		v := cwport.QuotaDecision{Unknown: pause.unresponsive, RetryAfter: pause.until.Sub(m.Clock.Now())}
		if !ok {
			v = m.ask(workspace, issuer)
		}
		if out = betterDecision(out, v); out.Allowed {
			return out
		}
	}
	return out
}

// betterDecision returns the decision that is better for the caller: an allowed one
// first, then the one with the shorter RetryAfter, and an unknown one last.
func betterDecision(a, b cwport.QuotaDecision) cwport.QuotaDecision {
	switch {
	case a.Allowed || b.Unknown:
		return a
	case b.Allowed || a.Unknown || b.RetryAfter < a.RetryAfter:
		return b
	}
	return a
}

// pauseOf returns the current pause of an issuer; false if it may be asked.
func (m *Meter) pauseOf(key issuerKey) (issuerPause, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	pause, ok := m.pauses[key]
	if ok && !m.Clock.Now().Before(pause.until) {
		delete(m.pauses, key)
		ok = false
	}
	return pause, ok
}

// setPause keeps an issuer from being asked for a workspace's quota for a time.
//
// Without it, if a workspace sends many times its quota, each of its operations
// would ask all issuers in vain. Refused operations would then cost more than
// served ones and delay the callers of other workspaces.
func (m *Meter) setPause(key issuerKey, d time.Duration, unresponsive bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pauses == nil {
		m.pauses = make(map[issuerKey]issuerPause)
	}
	m.pauses[key] = issuerPause{until: m.Clock.Now().Add(d), unresponsive: unresponsive}
}

// ask asks one issuer, and pauses it if it does not allow the operation.
func (m *Meter) ask(workspace string, issuer cwport.QuotaIssuer) cwport.QuotaDecision {
	if issuer.Ask == nil {
		return m.IssueQuota(workspace)
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	v, err := issuer.Ask(ctx, workspace)
	key := issuerKey{workspace, issuer.Name}
	switch {
	case err != nil:
		m.Log.Debug("quotaNotAsked", "workspace", workspace, "issuer", issuer.Name, "cause", err)
		m.setPause(key, unresponsivePause, true)
		return cwport.QuotaDecision{Unknown: true}
	case !v.Allowed:
		m.setPause(key, v.RetryAfter, v.Unknown)
	}
	return v
}

// IssueQuota implements cwport.QuotaServer.
func (m *Meter) IssueQuota(workspace string) cwport.QuotaDecision {
	m.Start()
	quota, ok := m.QuotaOf(workspace)
	if !ok {
		return cwport.QuotaDecision{Unknown: true, RetryAfter: unknownRetryAfter}
	}
	params := cwquota.BucketParamsFor(quota, m.Tolerance, max(1, m.DataCentres)*cwholder.MinPerDataCentre)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	shard := m.shards[workspace]
	if shard == nil {
		shard = cwquota.NewShard(params, m.started, m.FirstStart)
		if m.shards == nil {
			m.shards = make(map[string]*cwquota.Shard)
		}
		m.shards[workspace] = shard
	}
	shard.SetParams(params, now)
	allowed, wait := shard.Take(now)
	return cwport.QuotaDecision{Allowed: allowed, RetryAfter: wait}
}
