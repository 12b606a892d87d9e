// Package cwnode is one proxy: it joins the catalogue, the groups, the pools,
// the callers' sessions and the other proxies.
//
// Nothing that a node keeps is needed after it is gone. The catalogue comes
// from the platform's table or, while that is away, from other proxies; who
// leads a group comes from the group's own members; what a session has seen is
// with its caller.
package cwnode

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
	"cicadawalk.example/cicadawalk/internal/proxy/cwfront"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpool"
	"cicadawalk.example/cicadawalk/internal/proxy/cwwatch"
	"cicadawalk.example/cicadawalk/internal/wire/cwpeer"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
	"cicadawalk.example/cicadawalk/internal/wire/cwstore"
)

// Error is the class of failures to start or run a node.
var Error = errs.Class("proxy")

// serverVersion is what callers are told; drivers choose features by it.
const serverVersion = "16.0 (cicadawalk)"

// Config is what a node is made with.
type Config struct {
	// Instance is this instance's id, as the platform lists it.
	Instance string
	// DataCentre is where this instance is.
	DataCentre string
	// Listen, PeerListen and HTTPListen are IP addresses and ports for callers,
	// other proxies, and metrics.
	Listen, PeerListen, HTTPListen string
	Table                          cwplatform.Table
	Instances                      cwplatform.Instances
	// Peers are addresses of other proxies to ask while the platform is away.
	Peers []string
	// ListLag is the longest time by which the list of instances lags.
	ListLag time.Duration
	// DrainTimeout bounds the shutdown.
	DrainTimeout time.Duration
	Clock        clockwork.Clock
	Log          *log.Logger
	// Seed makes ids unique between runs of an instance.
	Seed string
}

// Node is one proxy. Make one with New.
type Node struct {
	cfg     Config
	store   cwstore.Store
	server  *cwfront.Server
	set     *metrics.Set
	gap     *metrics.Histogram
	journal *journal

	// run is done once the node shuts down; groups run under it.
	run      context.Context
	groupsEG *errgroup.Group

	revision atomic.Uint64
	synced   atomic.Bool

	mu        sync.RWMutex
	catalogue cwcatalogue.Catalogue
	entries   map[string]cwcatalogue.Entry
	// steps lead from the revision stepsFrom to the present one.
	steps     []step
	stepsFrom cwcatalogue.Revision
	groups    map[string]*runningGroup
	pools     map[cwgroup.MemberID]*poolState
	instances []cwplatform.Instance
	// live are the ids of the live instances, this one included.
	live []string
	// listed is true once the platform's list was read.
	listed   bool
	partners map[string]*cwpeer.Partner
	// fetching is true while a partner is asked for its catalogue.
	fetching bool

	ln, peerLn, httpLn net.Listener
}

type runningGroup struct {
	*cwwatch.Group
	spec   cwcatalogue.Group
	cancel context.CancelFunc
}

type poolState struct {
	*cwpool.Pool
	service string
	held    cwlimit.DelayedShare
	// drained is true once a stopping target had no work of this proxy left.
	drained bool
}

// New opens the node's listeners.
func New(cfg Config) (*Node, error) {
	n := &Node{
		cfg:      cfg,
		live:     []string{cfg.Instance},
		store:    cwstore.Store{Table: cfg.Table},
		set:      metrics.NewSet(),
		entries:  make(map[string]cwcatalogue.Entry),
		groups:   make(map[string]*runningGroup),
		pools:    make(map[cwgroup.MemberID]*poolState),
		partners: make(map[string]*cwpeer.Partner),
	}
	n.journal = newJournal(n.store, cfg)
	n.gap = n.set.NewHistogram("cicadawalk_failover_gap_seconds")
	n.server = &cwfront.Server{
		Proxy:       n,
		Clock:       cfg.Clock,
		Log:         cfg.Log,
		Metrics:     cwfront.NewMetrics(n.set),
		Version:     serverVersion,
		InstanceTag: cwfront.InstanceTag(cfg.Instance),
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

// Addr returns the address for callers.
func (n *Node) Addr() string { return n.ln.Addr().String() }

// PeerAddr returns the address for other proxies.
func (n *Node) PeerAddr() string { return n.peerLn.Addr().String() }

// HTTPAddr returns the address for metrics and status.
func (n *Node) HTTPAddr() string { return n.httpLn.Addr().String() }

// Run serves until ctx ends, then drains: no new caller is taken, statements
// and transactions in progress end, within DrainTimeout.
func (n *Node) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.run = run
	n.groupsEG = &errgroup.Group{}
	eg := &errgroup.Group{}
	eg.Go(func() error { return n.loopInstances(run) })
	eg.Go(func() error { return n.loopCatalogue(run) })
	eg.Go(func() error { return n.loopHeartbeat(run) })
	eg.Go(func() error { return n.loopShares(run) })
	eg.Go(func() error { return n.journal.loop(run) })
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

// pause waits, or returns early if ctx ends.
func (n *Node) pause(ctx context.Context, d time.Duration) {
	select {
	case <-n.cfg.Clock.After(d):
	case <-ctx.Done():
	}
}

// Entry implements cwfront.Proxy.
func (n *Node) Entry(service string) (cwcatalogue.Entry, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	e, ok := n.entries[service]
	return e, ok
}

// Revision implements cwfront.Proxy.
func (n *Node) Revision() uint64 { return n.revision.Load() }

// Ready implements cwfront.Proxy. A node is ready once it has the highest
// revision of the table and the partners that answer; a proxy that started
// while the table was away must not serve by a catalogue that others have left
// behind.
func (n *Node) Ready() bool { return n.synced.Load() && n.revision.Load() > 0 }

// Group implements cwfront.Proxy.
func (n *Node) Group(name string) (*cwwatch.Group, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	g, ok := n.groups[name]
	if !ok {
		return nil, false
	}
	return g.Group, true
}

// Pool implements cwfront.Proxy.
func (n *Node) Pool(id cwgroup.MemberID) (*cwpool.Pool, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	p, ok := n.pools[id]
	if !ok {
		return nil, false
	}
	return p.Pool, true
}

// Load implements cwwatch.Pools.
func (n *Node) Load(id cwgroup.MemberID) float64 {
	p, ok := n.Pool(id)
	if !ok {
		return 0
	}
	return p.Load()
}

// Cull implements cwwatch.Pools.
func (n *Node) Cull(id cwgroup.MemberID) {
	if p, ok := n.Pool(id); ok {
		p.CullIdle()
	}
}

// Live implements cwwatch.PeerWatchers.
func (n *Node) Live() []string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.live
}

// setInstances takes the platform's list. The list of live ids is made anew
// only if it differs, so that whoever holds it can tell by its address. The
// caller holds mu.
func (n *Node) setInstances(list []cwplatform.Instance) {
	n.instances, n.listed = list, true
	live := []string{}
	for _, i := range list {
		if i.State == cwplatform.Live {
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

// holdersLocked returns the instances that may hold connections: also those that
// are leaving, until they are gone, and this one only once it is listed.
func (n *Node) holdersLocked() []string {
	out := make([]string, 0, len(n.instances))
	for _, i := range n.instances {
		out = append(out, i.ID)
	}
	return out
}

func (n *Node) instanceID() cwfailover.InstanceID { return cwfailover.InstanceID(n.cfg.Instance) }
