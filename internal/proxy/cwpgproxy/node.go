// Package cwpgproxy assembles one PostgreSQL proxy: the catalogue, the groups, the
// connection pools, the server for callers' sessions, the connections to other
// proxies, and the HTTP endpoints.
//
// A node keeps no state that is needed after its process has ended. The catalogue
// is in the platform's table and, while that is unavailable, at other proxies; the
// primary of a group is known from the group's members; and the position up to which
// a session has read or written is in the token that its caller keeps.
package cwpgproxy

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwlimit"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmemoryguard"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmonitor"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpgpool"
	"cicadawalk.example/cicadawalk/internal/proxy/cwserver"
	"cicadawalk.example/cicadawalk/internal/wire/cwcataloguestore"
	"cicadawalk.example/cicadawalk/internal/wire/cwpeer"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// Error is the class of errors that New returns.
var Error = errs.Class("proxy")

// serverVersion is the server version that is reported to callers. Drivers decide by
// it which features they use.
const serverVersion = "16.0 (cicadawalk)"

// Config holds the settings and dependencies of a node.
type Config struct {
	// Instance is this instance's id in the platform's list.
	Instance string
	// DataCentre is the name of this instance's data centre.
	DataCentre string
	// Listen, PeerListen and HTTPListen are the addresses to listen on for callers,
	// other proxies, and HTTP, IP:port.
	Listen, PeerListen, HTTPListen string
	Table                          cwplatform.Table
	Instances                      cwplatform.Instances
	// Peers are the addresses of other proxies to contact while the platform's list
	// could not be read or names no other proxy.
	Peers []string
	// ListLag is the maximum time by which the list of instances is out of date.
	ListLag time.Duration
	// DrainTimeout bounds the time in which sessions may end during a shutdown.
	DrainTimeout time.Duration
	// MemoryLimit is the memory that the process may take, in bytes; zero means no limit.
	MemoryLimit int64
	Clock       clockwork.Clock
	Log         *log.Logger
	// RunID differs for each run of an instance. It makes the ids of claims and audit
	// records unique.
	RunID string
}

// Node is one proxy. Make one with New.
type Node struct {
	cfg         Config
	store       cwcataloguestore.Store
	server      *cwserver.Server
	metricSet   *metrics.Set
	failoverGap *metrics.Histogram
	audit       *auditRecorder

	// runCtx ends when the node has drained. The groups run under it, in groupsEG.
	runCtx   context.Context
	groupsEG *errgroup.Group

	revision        atomic.Uint64
	catalogueLoaded atomic.Bool

	mu        sync.RWMutex
	catalogue cwcatalogue.Catalogue
	entries   map[string]cwcatalogue.Entry
	// changes are the changes of each revision after changesBase, up to the current one.
	changes     []revisionChange
	changesBase cwcatalogue.Revision
	groups      map[string]*runningGroup
	pools       map[cwgroup.MemberID]*poolState
	instances   []cwplatform.Instance
	// live are the ids of the live instances, including this one.
	live []string
	// instancesListed is true once the platform's list of instances was read.
	instancesListed bool
	partners        map[string]*cwpeer.Partner
	// fetching is true while fetchFromInstance requests a catalogue.
	fetching bool

	ln, peerLn, httpLn net.Listener
}

// runningGroup is a group and the catalogue's description that it was created from.
type runningGroup struct {
	*cwmonitor.Group
	spec   cwcatalogue.Group
	cancel context.CancelFunc
}

// poolState is the pool of a target and this proxy's share of its connections.
type poolState struct {
	*cwpgpool.Pool
	service      string
	delayedShare cwlimit.DelayedShare
	// drained is true once the target, which has a planned stop, was no longer a primary
	// and had no statement of this proxy in progress.
	drained bool
}

// New returns a node with open listeners, which serves once Run is called.
func New(cfg Config) (*Node, error) {
	n := &Node{
		cfg:       cfg,
		live:      []string{cfg.Instance},
		store:     cwcataloguestore.Store{Table: cfg.Table},
		metricSet: metrics.NewSet(),
		entries:   make(map[string]cwcatalogue.Entry),
		groups:    make(map[string]*runningGroup),
		pools:     make(map[cwgroup.MemberID]*poolState),
		partners:  make(map[string]*cwpeer.Partner),
	}
	n.audit = newAuditRecorder(n.store, cfg)
	n.failoverGap = n.metricSet.NewHistogram("cicadawalk_failover_gap_seconds")
	n.server = &cwserver.Server{
		Proxy:       n,
		Clock:       cfg.Clock,
		Log:         cfg.Log,
		Metrics:     cwserver.NewMetrics(n.metricSet),
		Version:     serverVersion,
		InstanceTag: cwserver.InstanceTag(cfg.Instance),
		Memory:      cwmemoryguard.New(cwmemoryguard.PartyLimit(cfg.MemoryLimit), cfg.Clock, cfg.Log, n.metricSet),
	}
	n.registerGauges()
	for _, l := range []struct {
		addr string
		into *net.Listener
	}{{cfg.Listen, &n.ln}, {cfg.PeerListen, &n.peerLn}, {cfg.HTTPListen, &n.httpLn}} {
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			n.closeListeners()
			return nil, Error.Wrap(err)
		}
		*l.into = ln
	}
	return n, nil
}

func (n *Node) closeListeners() {
	for _, ln := range []net.Listener{n.ln, n.peerLn, n.httpLn} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// Addr returns the address of the listener for callers.
func (n *Node) Addr() string { return n.ln.Addr().String() }

// PeerAddr returns the address of the listener for other proxies.
func (n *Node) PeerAddr() string { return n.peerLn.Addr().String() }

// HTTPAddr returns the address of the listener for metrics and status.
func (n *Node) HTTPAddr() string { return n.httpLn.Addr().String() }

// Run serves until ctx ends and then drains: it accepts no more callers, and gives
// statements and transactions in progress up to DrainTimeout to end.
func (n *Node) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.runCtx = run
	cwmemoryguard.SetSoftLimit(n.cfg.MemoryLimit)
	n.groupsEG = &errgroup.Group{}
	eg := &errgroup.Group{}
	eg.Go(func() error { return n.loopInstances(run) })
	eg.Go(func() error { return n.loopCatalogue(run) })
	eg.Go(func() error { return n.loopHeartbeat(run) })
	eg.Go(func() error { return n.loopShares(run) })
	eg.Go(func() error { return n.audit.writeLoop(run) })
	peers := cwpeer.Server{Handler: n}
	eg.Go(func() error { return peers.Run(run, n.peerLn) })
	httpServer := &http.Server{Handler: n.handler(), ReadHeaderTimeout: 5 * time.Second}
	eg.Go(func() error { return n.runHTTP(run, httpServer) })
	n.cfg.Log.Info("started", "instance", n.cfg.Instance, "dataCentre", n.cfg.DataCentre,
		"listen", n.Addr(), "peerListen", n.PeerAddr(), "httpListen", n.HTTPAddr())

	err := n.server.Run(ctx, n.ln)
	n.cfg.Log.Info("draining", "instance", n.cfg.Instance, "callers", n.server.SessionCount())
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.cfg.DrainTimeout)
	defer cancel()
	drained := n.server.Drain(drainCtx)
	stop()
	_ = n.groupsEG.Wait()
	_ = eg.Wait()
	n.closePools()
	n.cfg.Log.Info("stopped", "instance", n.cfg.Instance, "cut", drained != nil)
	return err
}

func (n *Node) runHTTP(ctx context.Context, s *http.Server) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	_ = s.Serve(n.httpLn)
	return nil
}

func (n *Node) closePools() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.pools {
		p.Close()
	}
	for _, p := range n.partners {
		p.Close()
	}
}

// sleep waits for d, or until ctx ends if that is earlier.
func (n *Node) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-n.cfg.Clock.After(d):
	case <-ctx.Done():
	}
}

// Entry implements cwserver.Proxy.
func (n *Node) Entry(service string) (cwcatalogue.Entry, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	e, ok := n.entries[service]
	return e, ok
}

// Revision implements cwserver.Proxy.
func (n *Node) Revision() uint64 { return n.revision.Load() }

// Ready implements cwserver.Proxy. A node is ready once it has the highest
// revision among the table and the partners that answered. A proxy that starts while
// the table is unavailable must not serve an outdated catalogue.
func (n *Node) Ready() bool { return n.catalogueLoaded.Load() && n.revision.Load() > 0 }

// Group implements cwserver.Proxy.
func (n *Node) Group(name string) (*cwmonitor.Group, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	g, ok := n.groups[name]
	if !ok {
		return nil, false
	}
	return g.Group, true
}

// Pool implements cwserver.Proxy.
func (n *Node) Pool(id cwgroup.MemberID) (*cwpgpool.Pool, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	p, ok := n.pools[id]
	if !ok {
		return nil, false
	}
	return p.Pool, true
}

// Load implements cwmonitor.Pools.
func (n *Node) Load(id cwgroup.MemberID) float64 {
	p, ok := n.Pool(id)
	if !ok {
		return 0
	}
	return p.Load()
}

// Cull implements cwmonitor.Pools.
func (n *Node) Cull(id cwgroup.MemberID) {
	if p, ok := n.Pool(id); ok {
		p.RetireConnections()
	}
}

// Live implements cwmonitor.PeerWatchers.
func (n *Node) Live() []string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.live
}

// setInstances sets the platform's list of instances. It replaces the slice of live
// ids only if that changes, so that callers of Live can detect a change by comparing
// slices' addresses. The caller holds mu.
func (n *Node) setInstances(list []cwplatform.Instance) {
	n.instances, n.instancesListed = list, true
	live := []string{}
	for _, i := range list {
		if i.State == cwplatform.InstanceLive {
			live = append(live, i.ID)
		}
	}
	if !slices.Contains(live, n.cfg.Instance) {
		live = append(live, n.cfg.Instance)
	}
	if !slices.Equal(live, n.live) {
		n.live = live
	}
}

// connectionHoldersLocked returns the ids of the instances that may have connections
// to targets: all that are listed. This includes instances that are shutting down, and
// includes this one only once it is listed. The caller holds mu.
func (n *Node) connectionHoldersLocked() []string {
	out := make([]string, 0, len(n.instances))
	for _, i := range n.instances {
		out = append(out, i.ID)
	}
	return out
}

func (n *Node) instanceID() cwfailover.InstanceID { return cwfailover.InstanceID(n.cfg.Instance) }
