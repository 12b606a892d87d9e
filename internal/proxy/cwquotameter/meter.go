// Package cwquotameter enforces the quotas of workspaces. The quota of a workspace is
// split into shards, each of which is kept by one instance, its issuer.
//
// For each operation, a Meter asks the issuers of the workspace's quota until one
// allows it. It also answers the requests of other instances for the shards that
// this instance keeps. How a quota is split and how much an issuer allows is decided by
// cwquota.
package cwquotameter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
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
	// asked again, and unsupportedPause that for one that keeps no quotas.
	unresponsivePause = 500 * time.Millisecond
	unsupportedPause  = 30 * time.Second
	// maxRefusedPause is the longest time for which an issuer that refused isn't asked
	// again. Tokens that are returned, or that higher priorities don't need after all,
	// come back sooner than the retry time that it stated.
	maxRefusedPause = 200 * time.Millisecond
	// connectWait is the time for which an operation waits for a connection to any
	// issuer, and connectPollInterval the interval at which it checks. Connections are
	// opened within some milliseconds once instances know of each other.
	connectWait         = 200 * time.Millisecond
	connectPollInterval = 10 * time.Millisecond
	// unknownRetryAfter is the time after which callers are told to retry if no issuer
	// can be asked: the time in which an instance finds out which others are reachable.
	unknownRetryAfter = 300 * time.Millisecond
	// minWait is the MaxWait of an operation that can't wait but is to get a place in
	// the order of retries.
	minWait = time.Microsecond
)

// Counts holds the metrics of a Meter. Nil counters are skipped.
type Counts struct {
	// ContendedIssued and ContendedAllowed sum up, over the times at which an operation
	// was refused by this issuer, the tokens issued in the last window and
	// the limit of the window.
	ContendedIssued, ContendedAllowed *metrics.Counter
	// Returned counts grants that were returned to this issuer, Delayed operations of
	// this instance that waited for their place in the order of retries.
	Returned, Delayed *metrics.Counter
	// Refused counts refused operations by priority.
	Refused [cwquota.Priorities]*metrics.Counter
}

// add increases a counter that may be nil.
func add(c *metrics.Counter, n int) {
	if c != nil {
		c.Add(n)
	}
}

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
	// RunID identifies this run of this instance.
	RunID  string
	Counts Counts

	startOnce sync.Once
	started   time.Time

	mu sync.Mutex
	// shards are the shards that this instance keeps, by workspace.
	shards map[string]*issuedShard
	// pauses are the issuers that aren't asked for now.
	pauses map[issuerKey]issuerPause
}

// issuerKey identifies an issuer of a workspace's quota for operations of a priority.
type issuerKey struct {
	workspace, issuer string
	priority          int
}

// issuerPause is the time until which an issuer isn't asked, and the reason.
type issuerPause struct {
	until time.Time
	// unresponsive is true if the issuer did not answer or could not tell, false if it
	// had no quota left.
	unresponsive bool
}

// Start records the time from which this instance issues quota. Only the first
// call has an effect.
func (m *Meter) Start() {
	m.startOnce.Do(func() { m.started = m.Clock.Now() })
}

// offer is the best decision so far, and the issuer that gave it.
type offer struct {
	cwport.QuotaDecision
	issuer cwport.QuotaIssuer
}

// Take implements cwport.QuotaMeter. It asks the issuers of this data centre, then
// those of the others, and waits up to connectWait while none can be asked. If all have
// refused, it asks the one with the shortest retry time again, and waits for that time
// if the operation may wait so long.
func (m *Meter) Take(r cwport.QuotaRequest) cwport.QuotaDecision {
	m.Start()
	now := m.Clock.Now()
	waitEnd, connectEnd := now.Add(r.MaxWait), now.Add(connectWait)
	r.MaxWait = 0
	for {
		best := m.askIssuers(&r, false)
		if !best.Allowed {
			best = best.better(m.askIssuers(&r, true))
		}
		now = m.Clock.Now()
		switch {
		case best.Allowed:
			return best.QuotaDecision
		case !best.Unknown:
			r.MaxWait = max(minWait, waitEnd.Sub(now))
			return m.askAgain(r, best)
		case !now.Before(connectEnd):
			return best.QuotaDecision
		}
		m.Clock.Sleep(connectPollInterval)
	}
}

// askIssuers asks the issuers of this data centre, or those of the others if remote
// is true, until one allows the operation, and records in r that one was asked. It
// returns the best decision.
func (m *Meter) askIssuers(r *cwport.QuotaRequest, remote bool) offer {
	out := offer{QuotaDecision: cwport.QuotaDecision{Unknown: true, RetryAfter: unknownRetryAfter}}
	for _, issuer := range m.Issuers.QuotaIssuers(r.Workspace, remote) {
		pause, ok := m.pauseOf(issuerKey{r.Workspace, issuer.Name, r.Priority})
		v := cwport.QuotaDecision{Unknown: pause.unresponsive, RetryAfter: pause.until.Sub(m.Clock.Now())}
		if !ok {
			v = m.ask(*r, issuer)
			r.Repeated = true
		}
		if out = out.better(offer{QuotaDecision: v, issuer: issuer}); out.Allowed {
			return out
		}
	}
	return out
}

// askAgain asks the issuer that stated the shortest retry time for a place in the order of
// retries. If the operation may wait for it, it does, and the issuer is asked once more.
func (m *Meter) askAgain(r cwport.QuotaRequest, best offer) cwport.QuotaDecision {
	v := m.ask(r, best.issuer)
	switch {
	case v.Unknown:
		return best.QuotaDecision
	case v.Allowed || v.RetryAfter > r.MaxWait:
		return v
	}
	add(m.Counts.Delayed, 1)
	m.Clock.Sleep(v.RetryAfter)
	r.Place, r.Repeated, r.MaxWait = v.Place, true, minWait
	if again := m.ask(r, best.issuer); !again.Unknown {
		return again
	}
	return v
}

// better returns the offer that is better for the caller: an allowed one first, then the
// one with the shorter RetryAfter, and an unknown one last.
func (o offer) better(other offer) offer {
	switch {
	case o.Allowed || other.Unknown:
		return o
	case other.Allowed || o.Unknown || other.RetryAfter < o.RetryAfter:
		return other
	}
	return o
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
func (m *Meter) ask(r cwport.QuotaRequest, issuer cwport.QuotaIssuer) cwport.QuotaDecision {
	if issuer.Remote == nil {
		v := m.IssueQuota(r)
		v.Issuer = issuer.Name
		return v
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	v, err := issuer.Remote.AskQuota(ctx, r)
	v.Issuer = issuer.Name
	key := issuerKey{r.Workspace, issuer.Name, r.Priority}
	switch {
	case err != nil:
		m.Log.Debug("quotaNotAsked", "workspace", r.Workspace, "issuer", issuer.Name, "cause", err)
		m.setPause(key, pauseAfter(err), true)
		return cwport.QuotaDecision{Unknown: true}
	case v.Unknown:
		m.setPause(key, v.RetryAfter, true)
	case !v.Allowed:
		m.setPause(key, min(v.RetryAfter, maxRefusedPause), false)
	}
	return v
}

// pauseAfter returns how long an issuer isn't asked after an error.
func pauseAfter(err error) time.Duration {
	var unsupported *cwport.UnsupportedError
	if errors.As(err, &unsupported) {
		return unsupportedPause
	}
	return unresponsivePause
}

// Return implements cwport.QuotaMeter. A return that does not reach the issuer is lost:
// the token then counts until the end of the window.
func (m *Meter) Return(workspace string, d cwport.QuotaDecision) {
	if d.Grant == (cwport.QuotaGrant{}) {
		return
	}
	for _, remote := range []bool{false, true} {
		for _, issuer := range m.Issuers.QuotaIssuers(workspace, remote) {
			if issuer.Name != d.Issuer {
				continue
			}
			if issuer.Remote == nil {
				m.ReturnIssued(workspace, d.Grant)
			} else {
				go m.runReturn(issuer, workspace, d.Grant)
			}
			return
		}
	}
}

// runReturn sends a grant back to its issuer.
func (m *Meter) runReturn(issuer cwport.QuotaIssuer, workspace string, g cwport.QuotaGrant) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	if err := issuer.Remote.ReturnQuota(ctx, workspace, g); err != nil {
		m.Log.Debug("quotaNotReturned", "workspace", workspace, "issuer", issuer.Name, "cause", err)
	}
}
