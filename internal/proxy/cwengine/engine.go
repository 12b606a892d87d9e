// Package cwengine runs client sessions against replicated database groups. It
// does not depend on the wire protocol.
//
// A caller is a client of the proxy, and a target is a database server. The
// targets that replicate one database form a group with one primary; they are its
// members. A group has the name of its service. The catalogue maps the database
// names that callers use (entries) to groups. Several proxy instances run side by
// side. For each group some of them are holders: they keep connections to its
// members and watch them. An instance forwards the statements of its callers to a
// holder, and runs them itself if no holder can.
//
// An Engine has the catalogue, the list of targets and the state of each group. A
// session handles one statement at a time. The engine itself answers statements
// that change settings, prepare statements or begin transactions, and passes them
// to a target only when a later statement needs them there, so an idle session
// holds no connection. These rules decide for every protocol what is sent to a
// target and what may be retried:
//
//   - A statement that certainly did not run may be retried on another target.
//   - A read may run twice.
//   - A write or commit that may have reached a target is never sent again.
//   - A commit is reported as successful only once a second member has it.
package cwengine

import (
	"context"
	"math/rand/v2"
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
	"cicadawalk.example/cicadawalk/internal/core/cwpath"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwleadership"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmemoryguard"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// acceptRetryDelay is the wait after a failed accept. It prevents a busy loop
// when the process runs out of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Config holds the settings and dependencies of an engine.
type Config struct {
	Clock clockwork.Clock
	Log   *log.Logger
	// NewGroup creates the group of a service.
	NewGroup func(service string) *cwleadership.Group
	// GracePeriod is the time between the start of a shutdown and the exit of the
	// process.
	GracePeriod time.Duration
	// Metrics may be nil; New creates metrics then.
	Metrics *Metrics
	// Name is the name of this instance, unique among all instances.
	Name string
	// RunID is different for each run of an instance. It makes the names of its
	// transactions unique.
	RunID string
	// Holders tells which instances hold a group. If it is nil, this instance holds
	// all groups.
	Holders cwport.Holders
	// WorkspaceHolders selects the holder for callers with a workspace. If it is nil, the
	// workspace has no influence.
	WorkspaceHolders cwport.WorkspaceHolders
	// Observers returns the instances to ask for reports of a group's members; nil if
	// this instance asks nobody.
	Observers cwport.Observers
	// DataCentre is that of this instance.
	DataCentre string
	// RemotePath tracks whether other data centres answer. All groups share it; if it is
	// nil, New creates one. If it has no clock, it gets that of the engine.
	RemotePath *cwleadership.RemotePath
	// PathNetwork reaches other instances to find out whether other data centres answer;
	// if it is nil, this instance finds out by itself. PathSeed seeds the choice of the
	// instances that it uses.
	PathNetwork cwport.PathNetwork
	PathSeed    uint64
	// KeyRevocationBound is the time within which a revoked key must be out of use;
	// zero means no bound. CatalogueConfirmedAt returns a time at which the store
	// certainly had nothing newer than the catalogue in force.
	KeyRevocationBound   time.Duration
	CatalogueConfirmedAt func() time.Time
	// RecordedSize returns the size of a service's group according to the stored row
	// of its members, or zero if there is no such row. It may be nil.
	RecordedSize func(service string) int
	// FirstStart is true if no instance has run before, so that no stored or
	// remembered group sizes can exist.
	FirstStart bool
	// Memory bounds the memory that callers and other instances make this instance hold; nil for
	// no bound.
	Memory *cwmemoryguard.Guard
	// Meter enforces the quotas of workspaces; nil if there are none.
	Meter cwport.QuotaMeter
}

// Engine serves the sessions of callers and runs their statements on groups of
// targets. New creates one, and Start must be called before any other method. Its
// methods are safe for concurrent use.
type Engine struct {
	cfg Config

	mu sync.RWMutex
	// revision is that of the catalogue in force and never decreases.
	revision cwcatalogue.Revision
	// era is the newest known era of the platform's store, and eraKnown is true once
	// one was received. restoredAt is when a later era was received, which means that
	// the store was restored from an older copy; zero if that has not happened.
	era        uint64
	eraKnown   bool
	restoredAt time.Time
	entries    *cwcatalogue.EntryTable
	access     accessRules
	listings   targetList
	// memberships has the number of members of each service's group. absentListings
	// has the last listing of each member that is no longer listed but still counts.
	memberships    map[string]cwgroup.Membership
	absentListings map[cwgroup.MemberID]cwport.ListedTarget
	// lastRecorded has the recorded sizes of each service's group as last read.
	lastRecorded map[string]recordedSize
	// rows has the newest stored failover row of each group, whether or not the
	// catalogue is known yet.
	rows   map[string]cwfailover.Row
	groups map[string]*runningGroup
	// plans has an entry for every group in the catalogue, running or not.
	plans    map[string]*groupPlan
	sessions map[*session]struct{}
	// forwardedTransactions has the open transactions that other instances forwarded
	// here, by name.
	forwardedTransactions map[string]*forwardedTransaction

	// catalogueLoaded is closed when the first catalogue is in force, and
	// listingsLoaded is set with the first list of targets.
	catalogueLoaded chan struct{}
	listingsLoaded  atomic.Bool
	// draining is true from the begin of a shutdown, and refusing once it refuses what
	// begins.
	draining, refusing atomic.Bool
	// listener is that of Serve, and serving is closed when Serve has ended; nil before.
	listener net.Listener
	serving  chan struct{}
	// isolated is true while this instance or its data centre is cut off. groupsCutOff
	// is true while this instance by itself reaches a majority of no group.
	isolated, groupsCutOff atomic.Bool
	// pathActive is true while this instance knows others of its data centre, and other
	// data centres, so that path reports are exchanged.
	pathActive atomic.Bool
	// path exchanges path reports; nil if there is no PathNetwork. Start sets it.
	path     *pathWatch
	probesMu sync.Mutex
	// probes measures the interval of the load balancer's probes. Protected by probesMu.
	probes cwpath.ProbeInterval
	// failedProbes counts the consecutive probes of the load balancer that were
	// answered with "not ready".
	failedProbes atomic.Int64
	// transactionSeq numbers the transactions that this instance forwards.
	transactionSeq atomic.Uint64
	// open has the statements that were read and not yet answered.
	open   openStatements
	eg     *errgroup.Group
	runCtx context.Context
}

// New returns an engine without a catalogue and without targets.
func New(cfg Config) *Engine {
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics()
	}
	if cfg.RemotePath == nil {
		cfg.RemotePath = &cwleadership.RemotePath{}
	}
	if cfg.RemotePath.Clock == nil {
		cfg.RemotePath.Clock = cfg.Clock
	}
	e := &Engine{
		cfg:                   cfg,
		memberships:           make(map[string]cwgroup.Membership),
		absentListings:        make(map[cwgroup.MemberID]cwport.ListedTarget),
		rows:                  make(map[string]cwfailover.Row),
		lastRecorded:          make(map[string]recordedSize),
		groups:                make(map[string]*runningGroup),
		sessions:              make(map[*session]struct{}),
		forwardedTransactions: make(map[string]*forwardedTransaction),
		catalogueLoaded:       make(chan struct{}),
	}
	cfg.Metrics.addOpenGauges(e.open.count)
	return e
}

// Ready reports whether this instance can serve new callers: it has a catalogue and
// a list of targets, is not shutting down, can check keys, is not isolated, and does
// not suspect the network path to other data centres.
func (e *Engine) Ready() bool {
	// CatalogueConfirmedAt may need a lock that is held while UpdateTargets waits
	// for e.mu, so it is called before e.mu is locked.
	stale := e.keysStale(e.cfg.Clock.Now())
	e.mu.RLock()
	defer e.mu.RUnlock()
	if e.access.keysRequired && stale {
		return false
	}
	return e.revision > 0 && e.listingsLoaded.Load() && !e.draining.Load() && !e.isolated.Load() && !e.cfg.RemotePath.Suspected()
}

// Revision returns the revision of the catalogue in force; zero if there is none.
func (e *Engine) Revision() cwcatalogue.Revision {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.revision
}

// SetCatalogue puts a newer catalogue in force. One of the same or an older revision
// is ignored.
func (e *Engine) SetCatalogue(c cwcatalogue.Catalogue) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Revision <= e.revision {
		return
	}
	e.cfg.Log.Info("catalogueInForce", "revision", c.Revision, "before", e.revision, "entries", len(c.Entries)+c.EntryTable.Len())
	if e.revision == 0 {
		close(e.catalogueLoaded)
	}
	e.revision = c.Revision
	e.entries = c.EntryTable
	if e.entries == nil {
		e.entries = cwcatalogue.NewEntryTable(c.Entries...)
	}
	before := e.access
	e.access = newAccessRules(c)
	e.logAccessChanges(before)
	e.updateGroups()
	e.closeRevokedSessions()
}

// SetTargets replaces the whole list of targets.
func (e *Engine) SetTargets(all []cwport.ListedTarget) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// It is not known since when the targets of the first list have been draining.
	var learnt time.Time
	if e.listingsLoaded.Load() {
		learnt = e.cfg.Clock.Now()
	}
	before := e.listings
	e.listings = targetList{}
	for _, l := range all {
		e.listings.set(before.withDrainingSince(l, learnt))
	}
	e.listingsLoaded.Store(true)
	e.updateGroups()
}

// UpdateTargets applies changes to the list of targets: listed are the new or changed
// targets, removed are those that are no longer listed.
//
// With a thousand groups, some target changes every few moments. Therefore only the
// groups of the changed targets are updated.
func (e *Engine) UpdateTargets(listed []cwport.ListedTarget, removed []cwgroup.MemberID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := make(map[string]bool)
	now := e.cfg.Clock.Now()
	for _, l := range listed {
		changed[e.listings.byID[l.ID].Service] = true
		changed[l.Service] = true
		e.listings.set(e.listings.withDrainingSince(l, now))
	}
	for _, id := range removed {
		changed[e.listings.byID[id].Service] = true
		e.removeTarget(id)
	}
	for service := range changed {
		e.updateMembership(service, now)
		if p := e.plans[service]; p != nil {
			e.updateGroup(service, p)
		}
	}
	e.pruneAbsentListings()
}

// admit decides whether a caller may use the database that it names.
//
// An instance that has just started, or whose store is unavailable, has no
// catalogue yet. Callers that were told then that their database does not exist
// took that as final. They wait for the first catalogue instead, and are told when
// to retry if none arrives in time.
func (e *Engine) admit(st cwport.Startup) cwstatement.Response {
	select {
	case <-e.catalogueLoaded:
	case <-e.cfg.Clock.After(catalogueWait):
		return cwstatement.RetryLater(cwstatement.Aborted, "the instance has no catalogue yet", catalogueRetryAfter)
	}
	entry, ok := e.findEntry(st.Database)
	if !ok {
		return noDatabase(st.Database)
	}
	_, a := e.workspaceOf(entry, st.KeyDigest, e.cfg.Clock.Now())
	return a
}

// groupName returns the name of the group that serves a database, for logs; empty if
// there is none.
func (e *Engine) groupName(database string) string {
	if entry, ok := e.findEntry(database); ok {
		return entry.Groups[0].Name
	}
	return ""
}

// Start starts the background loops of the engine, which run until ctx ends. It
// must be called once, before any other method.
func (e *Engine) Start(ctx context.Context, eg *errgroup.Group) {
	e.runCtx, e.eg = ctx, eg
	e.cfg.RemotePath.OnSuspicion = e.handlePathSuspicion
	if e.cfg.PathNetwork != nil {
		e.path = newPathWatch(e)
		e.cfg.RemotePath.Configure(e.cfg.Name, rand.New(rand.NewPCG(e.cfg.PathSeed, 1)))
		e.cfg.RemotePath.OnMessages = e.path.wake
		eg.Go(func() error { return e.path.loop(ctx) })
	}
	eg.Go(func() error { return e.loopIsolation(ctx) })
	eg.Go(func() error { return e.loopForwarded(ctx) })
	eg.Go(func() error { return e.loopMemberships(ctx) })
}

// Serve accepts connections from a listener and runs a session on each. It returns
// nil when Drain closes the listener, or when accepting fails after the context of Start
// has ended; other failures are logged and retried.
func (e *Engine) Serve(ln net.Listener, codec func(net.Conn) cwport.CallerConn) error {
	e.mu.Lock()
	e.listener, e.serving = ln, make(chan struct{})
	e.mu.Unlock()
	defer close(e.serving)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if e.runCtx.Err() != nil || e.isAcceptingOver(err) {
				return nil
			}
			e.cfg.Log.Warn("acceptFailed", "cause", err)
			e.cfg.Clock.Sleep(acceptRetryDelay)
			continue
		}
		e.boundReceiveBuffer(conn)
		s := e.newSession(codec(conn))
		e.mu.Lock()
		e.sessions[s] = struct{}{}
		e.mu.Unlock()
		go s.serve()
	}
}

// boundReceiveBuffer bounds what the kernel keeps of a caller's messages while the session does not
// read them.
func (e *Engine) boundReceiveBuffer(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok || e.cfg.Memory == nil {
		return
	}
	if err := tcp.SetReadBuffer(cwmemoryguard.ReceiveBuffer); err != nil {
		e.cfg.Log.Debug("receiveBufferUnchanged", "cause", err)
	}
}

// removeSession removes a session that has ended.
func (e *Engine) removeSession(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, s)
}

// SessionCount returns the number of open sessions, including transactions and
// statements that other instances have forwarded here.
func (e *Engine) SessionCount() int {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return len(e.sessions) + len(e.forwardedTransactions) + e.open.countOfInstances()
}
