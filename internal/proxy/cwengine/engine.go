// Package cwengine serves callers' sessions on groups of targets, whatever the
// protocol.
//
// An Engine holds the catalogue and a group for each service that it names. A
// session reads one statement at a time. Settings, prepared statements and the
// beginning of a transaction are answered here and carried to a target only
// when a statement needs them there, so that a resting session holds no
// connection. What reaches a target and whether it may be tried again is
// decided in one place for every protocol:
//
//   - A statement that certainly did not run may be tried elsewhere.
//   - A read may run twice.
//   - A write or commit that may have reached a target is never sent again.
//   - A commit is answered with success once a second member has it.
package cwengine

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwlead"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Times of the end of an instance.
const (
	// LeaveAfter is how long after the first sign of a shutdown callers that
	// rest are sent away: the balancer needs two probes, a second apart, to see
	// that this instance takes no new callers.
	LeaveAfter = 2500 * time.Millisecond
	// acceptPause is the wait after a failure to accept, so that a lack of
	// descriptors does not turn into a busy loop.
	acceptPause = 20 * time.Millisecond
)

// Config is what an engine is made with.
type Config struct {
	Clock clockwork.Clock
	Log   *log.Logger
	// NewGroup makes the group of a service.
	NewGroup func(service string) *cwlead.Group
	// Grace is the time from the first sign of a shutdown to the end.
	Grace time.Duration
	// Metrics may be nil.
	Metrics *Metrics
	// Name is this instance's, unique among all of them.
	Name string
	// Seed differs between the runs of an instance.
	Seed string
	// Holders tells who holds groups; nil if this instance holds all.
	Holders cwport.Holders
	// Path is what the groups share; nil if each has its own.
	Path *cwlead.Path
	// KeyBound is how soon nothing may run any more with a key that was taken
	// away; zero sets no bound. Confirmed returns a time at which the store had
	// certainly nothing newer than the catalogue in force.
	KeyBound  time.Duration
	Confirmed func() time.Time
	// Recorded returns how many members a service's group has by the row of its
	// members; zero if there is none. It may be nil.
	Recorded func(service string) int
	// FirstStart is true if no instance was there before; then nobody could remember
	// anything.
	FirstStart bool
	// Meter keeps the quotas of workspaces; nil if there are none.
	Meter cwport.Meter
}

// Engine serves sessions. Make one with New.
type Engine struct {
	cfg Config

	mu sync.RWMutex
	// revision never falls.
	revision cwcatalogue.Revision
	// era is that of the platform's store; eraKnown is true once one was told.
	// restoredAt is when a later one was, zero if none was.
	era        uint64
	eraKnown   bool
	restoredAt time.Time
	entries    *cwcatalogue.Table
	access     access
	listings   listings
	// memberships tell how many members each service's group has; absent has what was
	// last listed of those that are gone and keep their place.
	memberships map[string]cwgroup.Membership
	absent      map[cwgroup.MemberID]cwport.Listing
	// recorded is what was last seen of what is remembered of each service's group.
	recorded map[string]recorded
	// rows are the newest rows of the groups in the table, whether or not the
	// catalogue is known.
	rows   map[string]cwfailover.Row
	groups map[string]*runningGroup
	// plans are of all groups, made or not.
	plans    map[string]*plan
	sessions map[*session]struct{}
	// held are the transactions that other instances have handed over.
	held map[string]*held

	// informed is closed with the first catalogue.
	informed chan struct{}
	listed   atomic.Bool
	draining atomic.Bool
	// isolated is true while this instance reaches no group's majority.
	isolated atomic.Bool
	// missed counts the balancer's probes in a row that were told that this
	// instance is not ready.
	missed atomic.Int64
	// named counts the transactions that were named, handing the statements of
	// other instances that are under way.
	named   atomic.Uint64
	handing atomic.Int64
	eg      *errgroup.Group
	run     context.Context
}

// New returns an engine that knows nothing yet.
func New(cfg Config) *Engine {
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics()
	}
	if cfg.Path == nil {
		cfg.Path = &cwlead.Path{}
	}
	return &Engine{
		cfg:         cfg,
		memberships: make(map[string]cwgroup.Membership),
		absent:      make(map[cwgroup.MemberID]cwport.Listing),
		rows:        make(map[string]cwfailover.Row),
		recorded:    make(map[string]recorded),
		groups:      make(map[string]*runningGroup),
		sessions:    make(map[*session]struct{}),
		held:        make(map[string]*held),
		informed:    make(chan struct{}),
	}
}

// Ready reports whether callers may come.
func (e *Engine) Ready() bool {
	// Whoever tells of targets holds the lock that this answer takes.
	stale := e.keysStale(e.cfg.Clock.Now())
	e.mu.RLock()
	defer e.mu.RUnlock()
	if e.access.keyed && stale {
		return false
	}
	return e.revision > 0 && e.listed.Load() && !e.draining.Load() && !e.isolated.Load() && !e.cfg.Path.Suspected()
}

// Revision returns the revision that is in force.
func (e *Engine) Revision() cwcatalogue.Revision {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.revision
}

// SetCatalogue puts a newer catalogue in force. An older one changes nothing.
func (e *Engine) SetCatalogue(c cwcatalogue.Catalogue) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Revision <= e.revision {
		return
	}
	e.cfg.Log.Info("catalogueInForce", "revision", c.Revision, "before", e.revision, "entries", len(c.Entries)+c.Table.Len())
	if e.revision == 0 {
		close(e.informed)
	}
	e.revision = c.Revision
	e.entries = c.Table
	if e.entries == nil {
		e.entries = cwcatalogue.TableOf(c.Entries...)
	}
	before := e.access
	e.access = accessOf(c)
	e.logAccess(before)
	e.regroup()
	e.sendRevokedAway()
}

// SetListings replaces the whole list of targets.
func (e *Engine) SetListings(all []cwport.Listing) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listings = listings{}
	for _, l := range all {
		e.listings.put(l)
	}
	e.listed.Store(true)
	e.regroup()
}

// ChangeListings takes changes of the list of targets.
//
// The load it answers: a thousand groups, of which a target changes every few moments.
// Only the groups of the targets that are told are looked at.
func (e *Engine) ChangeListings(listed []cwport.Listing, removed []cwgroup.MemberID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := make(map[string]bool)
	for _, l := range listed {
		changed[e.listings.byID[l.ID].Service] = true
		changed[l.Service] = true
		e.listings.put(l)
	}
	for _, id := range removed {
		changed[e.listings.byID[id].Service] = true
		e.takeOut(id)
	}
	now := e.cfg.Clock.Now()
	for service := range changed {
		e.updateMembership(service, now)
		if p := e.plans[service]; p != nil {
			e.replan(service, p)
		}
	}
	e.forgetAbsent()
}

// admit answers whether a caller may use what it names.
//
// The failure: an instance has just started, or the store is away, and callers
// who come before its first catalogue are told that their database does not
// exist; they take that as final. Nobody knows yet, so they wait for the
// catalogue, and are sent away with the time to come back if there is none.
func (e *Engine) admit(st cwport.Startup) cwstatement.Answer {
	select {
	case <-e.informed:
	case <-e.cfg.Clock.After(catalogueWait):
		return cwstatement.RetryLater(cwstatement.Aborted, "the instance has no catalogue yet", catalogueRetry)
	}
	entry, ok := e.entryNamed(st.Database)
	if !ok {
		return noDatabase(st.Database)
	}
	_, a := e.workspaceOf(entry, st.Key, e.cfg.Clock.Now())
	return a
}

// groupName returns the group that serves what a caller names, for logs; empty if
// there is none.
func (e *Engine) groupName(database string) string {
	if entry, ok := e.entryNamed(database); ok {
		return entry.Groups[0].Name
	}
	return ""
}

// Start lets the engine run under ctx. Call it once, before anything else.
func (e *Engine) Start(ctx context.Context, eg *errgroup.Group) {
	e.run, e.eg = ctx, eg
	e.cfg.Path.OnSuspicion = e.suspectPath
	eg.Go(func() error { return e.loopIsolation(ctx) })
	eg.Go(func() error { return e.loopHeld(ctx) })
	eg.Go(func() error { return e.loopMemberships(ctx) })
}

// Serve takes callers from a listener until it is closed.
func (e *Engine) Serve(ln net.Listener, codec func(net.Conn) cwport.Caller) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			if e.run.Err() != nil {
				return nil
			}
			e.cfg.Log.Warn("acceptFailed", "cause", err)
			e.cfg.Clock.Sleep(acceptPause)
			continue
		}
		s := &session{engine: e, caller: codec(conn)}
		e.mu.Lock()
		e.sessions[s] = struct{}{}
		e.mu.Unlock()
		go s.run()
	}
}

// forget takes a session that has ended.
func (e *Engine) forget(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, s)
}

// Sessions returns the number of open sessions, those of other instances that
// run something here included.
func (e *Engine) Sessions() int {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return len(e.sessions) + len(e.held) + int(e.handing.Load())
}

// Drain lets sessions end: no new callers come, resting sessions are closed
// once the balancer knows, and open transactions have the first half of the
// grace. It returns once all sessions have ended, or shortly before the grace
// has passed.
func (e *Engine) Drain() {
	began := e.cfg.Clock.Now()
	e.draining.Store(true)
	e.cfg.Log.Info("draining", "sessions", e.Sessions())
	e.cfg.Clock.Sleep(min(LeaveAfter, e.cfg.Grace/2))
	for e.Sessions() > 0 && e.cfg.Clock.Since(began) < e.cfg.Grace*5/6 {
		e.sendAway(e.cfg.Clock.Since(began) >= e.cfg.Grace*6/10)
		e.cfg.Clock.Sleep(drainStep)
	}
	e.cfg.Log.Info("drained", "sessions", e.Sessions(), "tookMs", e.cfg.Clock.Since(began).Milliseconds())
}

// drainStep is how often the remaining sessions are looked at.
const drainStep = 50 * time.Millisecond

// sendAway ends resting sessions, and with transactions also those that rest
// inside one.
func (e *Engine) sendAway(transactions bool) {
	e.mu.RLock()
	for s := range e.sessions {
		s.sendAway(transactions)
	}
	e.mu.RUnlock()
	if transactions {
		e.endHeld("the instance ends", func(*held) bool { return true })
	}
}
