// Package cwinstance assembles one instance of the proxy: the engine that serves
// callers, the directory that follows the platform's store, the connections to
// other instances, the quota meter, and the listeners. It starts them together and
// stops them in order.
package cwinstance

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwholder"
	"cicadawalk.example/cicadawalk/internal/proxy/cwclaim"
	"cicadawalk.example/cicadawalk/internal/proxy/cwdirectory"
	"cicadawalk.example/cicadawalk/internal/proxy/cwengine"
	"cicadawalk.example/cicadawalk/internal/proxy/cwleadership"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmembers"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmemoryguard"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpeers"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/proxy/cwquotameter"
	"cicadawalk.example/cicadawalk/internal/wire/cwforward"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// Error is the class of errors that Run returns.
var Error = errs.Class("instance")

// Limits of the HTTP servers.
const (
	// probeTimeout bounds reading the headers of a request.
	probeTimeout = 5 * time.Second
	// probeIdleTimeout closes a connection without a request. Probes come every second.
	probeIdleTimeout = time.Minute
	// maxProbeHeader is the length of the headers of a request, in bytes.
	maxProbeHeader = 4 << 10
	// httpDrainTimeout bounds the wait for requests in progress when the instance stops.
	httpDrainTimeout = 100 * time.Millisecond
)

// Config holds the settings and dependencies of an instance.
type Config struct {
	// Name is the instance's name, unique among all instances.
	Name       string
	DataCentre string
	// CallerListen, ReadyListen and MetricsListen are the addresses to listen on for
	// callers, health probes and metrics, IP:port; MetricsListen may be empty.
	CallerListen, ReadyListen, MetricsListen string
	// ReadyPath is the HTTP path of the load balancer's health probe.
	ReadyPath string
	// GracePeriod is the time between the start of a shutdown and the exit of the process.
	GracePeriod time.Duration
	PollWaits   cwdirectory.PollWaits
	// RemovalDelay is how long after its entry disappeared from the list a target is
	// removed.
	RemovalDelay time.Duration
	// MinHolderInterval is the minimum time between changes of primary by two different
	// holders of a claim.
	MinHolderInterval time.Duration
	// NewCallerConn returns the adapter for the protocol of a caller's connection.
	NewCallerConn func(net.Conn) cwport.CallerConn
	Dialer        cwport.Dialer
	Source        cwport.Source
	Decoder       cwport.Decoder
	// StaleAfter is the age beyond which data of the store that came from another instance
	// is requested from the store itself.
	StaleAfter cwdirectory.StaleAfter
	Table      cwplatform.Table
	// Era returns the newest era of the store in any of its answers so far. The era
	// increases with each restore of the store from an older copy.
	Era      func() uint64
	Promoter cwport.Promoter
	Clock    clockwork.Clock
	Log      *log.Logger
	// RunID differs for each run of an instance. It makes the ids of claims and
	// transactions unique.
	RunID string
	// PeerListen is the address to listen on for other instances, IP:port.
	PeerListen string
	// Capacity is the instance's capacity in thousandths of a core; zero if it is
	// unknown.
	Capacity int
	// MemoryLimit is the memory that the process may take, in bytes; zero means no limit.
	MemoryLimit int64
	// KeyRevocationBound is the time within which a revoked key must be out of use; zero
	// means no bound.
	KeyRevocationBound time.Duration
	// DataCentres is the number of data centres, QuotaTolerance the tolerance within
	// which quotas are kept, and FirstStart true if no instance ran before. Without a
	// window in QuotaTolerance, quotas are not enforced.
	DataCentres    int
	QuotaTolerance cwcatalogue.QuotaTolerance
	FirstStart     bool
}

// Instance is one proxy process with all its parts. Make one with New.
type Instance struct {
	cfg        Config
	engine     *cwengine.Engine
	peers      *cwpeers.Peers
	members    *cwmembers.Recorder
	remotePath *cwleadership.RemotePath
	metrics    *cwengine.Metrics
	directory  *cwdirectory.Directory
	meter      *cwquotameter.Meter
	memory     *cwmemoryguard.Guard
}

// New returns an instance that serves once Run is called.
func New(cfg Config) *Instance {
	in := &Instance{cfg: cfg, remotePath: &cwleadership.RemotePath{Clock: cfg.Clock}, metrics: cwengine.NewMetrics()}
	in.memory = cwmemoryguard.New(cwmemoryguard.PartyLimit(cfg.MemoryLimit), cfg.Clock, cfg.Log, in.metrics.Set())
	in.peers = &cwpeers.Peers{
		Self: cwholder.Instance{ID: cfg.Name, DataCentre: cfg.DataCentre, Address: cfg.PeerListen}, Capacity: cfg.Capacity,
		Table: cfg.Table, Dial: in.dialPeer, Clock: cfg.Clock, Log: cfg.Log, FirstStart: cfg.FirstStart, PathMonitor: in.remotePath,
		PathDown:      in.pathDown,
		PathSuspected: in.remotePath.Suspected,
	}
	in.peers.OnChange = in.refreshHolders
	in.peers.OnMalformed = in.metrics.CountMalformed
	in.members = &cwmembers.Recorder{Table: cfg.Table, Clock: cfg.Clock, Log: cfg.Log, HolderRank: in.holderRank, GroupCount: in.groupCount}
	in.directory = &cwdirectory.Directory{
		PollWaits: cfg.PollWaits, RemovalDelay: cfg.RemovalDelay, Source: cfg.Source, Sink: in, Clock: cfg.Clock, Log: cfg.Log,
		Feeders: in.peers, Decoder: cfg.Decoder, StaleAfter: cfg.StaleAfter,
		RememberedTargets: in.members.RecordedMembers,
		Counts: cwdirectory.Counts{
			StoreRequests: in.metrics.StoreRequests, FeederAnswers: in.metrics.FeederAnswers, FeedAnswersSent: in.metrics.FeedAnswersSent,
			StoreRestores: in.metrics.StoreRestores, OutdatedAnswers: in.metrics.OutdatedStoreAnswers,
		},
	}
	in.members.Counted = in.countMembers
	engine := cwengine.Config{
		Clock: cfg.Clock, Log: cfg.Log, GracePeriod: cfg.GracePeriod, Metrics: in.metrics, NewGroup: in.newGroup,
		Name: cfg.Name, RunID: cfg.RunID, Holders: in.peers, WorkspaceHolders: in.peers, Observers: in.peers,
		DataCentre: cfg.DataCentre, RemotePath: in.remotePath, PathNetwork: in.peers, PathSeed: seedOf(cfg.Name, cfg.RunID),
		KeyRevocationBound: cfg.KeyRevocationBound, CatalogueConfirmedAt: in.directory.Confirmed, RecordedSize: in.members.RecordedSize,
		FirstStart: cfg.FirstStart, Memory: in.memory,
	}
	if cfg.QuotaTolerance.Window > 0 {
		in.meter = &cwquotameter.Meter{
			Tolerance: cfg.QuotaTolerance, Issuers: in.peers, Clock: cfg.Clock, Log: cfg.Log, QuotaOf: in.quota,
			DataCentres: cfg.DataCentres, FirstStart: cfg.FirstStart, RunID: cfg.RunID,
			Counts: cwquotameter.Counts{
				ContendedIssued: in.metrics.QuotaContendedIssued, ContendedAllowed: in.metrics.QuotaContendedAllowed,
				Returned: in.metrics.QuotaReturned, Delayed: in.metrics.QuotaDelayed, Refused: in.metrics.QuotaIssuerRefused,
			},
		}
		engine.Meter = in.meter
	}
	in.engine = cwengine.New(engine)
	in.metrics.AddIsolationGauges(in.remotePath.Suspected, in.engine.Isolated)
	in.peers.Demand = in.engine
	in.metrics.AddAgeGauge(in.catalogueAge)
	in.metrics.AddRevisionGauge(func() float64 { return float64(in.engine.Revision()) })
	in.metrics.AddEraGauge(func() float64 { return float64(in.directory.Era()) })
	return in
}

// pathDown reports whether other data centres do not answer.
func (in *Instance) pathDown() bool { return in.remotePath.Down(in.cfg.Clock.Now()) }

// seedOf returns a seed of random numbers that differs for each run of an instance.
func seedOf(name, runID string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "/" + runID))
	return h.Sum64()
}

// catalogueAge returns an upper bound for the age of the desired state in force, in
// seconds. Before there is one, the result is centuries.
func (in *Instance) catalogueAge() float64 {
	return in.cfg.Clock.Since(in.directory.Confirmed()).Seconds()
}

// countMembers returns the members of each group; nil while the store doesn't answer
// requests for the list of targets.
func (in *Instance) countMembers() map[string]cwmembers.CountedMembers {
	if !in.directory.TargetsAvailable() {
		return nil
	}
	return in.engine.Members()
}

// quotaServer returns the issuer of quota at this instance; nil if quotas are not
// enforced.
func (in *Instance) quotaServer() cwport.QuotaServer {
	if in.meter == nil {
		return nil
	}
	return in.meter
}

// quota returns the quota of a workspace according to the catalogue in force.
func (in *Instance) quota(workspace string) (cwcatalogue.Quota, bool) {
	return in.engine.Quota(workspace)
}

// holderRank returns this instance's rank among the holders of a service's group, and
// false if it doesn't hold the group.
func (in *Instance) holderRank(service string) (int, bool) { return in.engine.HolderRank(service) }

func (in *Instance) groupCount() int { return in.engine.GroupCount() }

func (in *Instance) refreshHolders() { in.engine.RefreshHolders() }

func (in *Instance) dialPeer(ctx context.Context, name, address string) (cwpeers.Conn, error) {
	return cwforward.Dial(ctx, name, address, in.memory)
}

// countingDialer counts the connections to targets in the metrics.
type countingDialer struct {
	cwport.Dialer
	metrics *cwengine.Metrics
}

// Dial implements cwport.Dialer.
func (d countingDialer) Dial(ctx context.Context, to cwport.Endpoint, workspace string) (cwport.TargetConn, error) {
	d.metrics.TargetConnections.Inc()
	return d.Dialer.Dial(ctx, to, workspace)
}

func (in *Instance) newGroup(service string) *cwleadership.Group {
	return cwleadership.New(cwleadership.Config{
		Self: cwfailover.InstanceID(in.cfg.Name), DataCentre: in.cfg.DataCentre, Service: service,
		Clock: in.cfg.Clock, Log: in.cfg.Log, Dialer: countingDialer{in.cfg.Dialer, in.metrics}, Table: in.cfg.Table,
		Era: in.cfg.Era, Promoter: in.cfg.Promoter, MinHolderInterval: in.cfg.MinHolderInterval, LeavingServes: in.cfg.RemovalDelay, ClaimSeed: in.cfg.RunID, RemotePath: in.remotePath,
		Observers:  func() []cwport.Observer { return in.engine.Observers(service) },
		CountCheck: in.metrics.CountHealthCheck, CountAnswer: in.metrics.CountObserverAnswer,
		OnOutlier: in.metrics.CountOutlier,
	})
}

// Run serves until ctx ends, or until a part fails. Then it stops in this order, in which
// nothing that was read, or that another instance has forwarded, is left without its answer:
//
//  1. The engine drains: the sessions of callers end, and all statements are answered, those
//     of other instances too. The other parts go on meanwhile, since statements need them.
//  2. The server for other instances writes the answers that are left and closes its
//     connections, and all other parts end.
//
// It returns the error of the part that failed.
func (in *Instance) Run(ctx context.Context) error {
	ls, err := in.listen()
	if err != nil {
		return Error.Wrap(err)
	}
	return in.serve(ctx, ls)
}

// serve is Run with open listeners.
func (in *Instance) serve(ctx context.Context, ls listeners) error {
	run, stop := context.WithCancel(context.Background())
	defer stop()
	// A part that fails must not end the others before the engine has drained, so they run
	// on a context that the group does not cancel.
	eg, failed := errgroup.WithContext(run)
	in.engine.Start(run, eg)
	if in.meter != nil {
		in.meter.Start()
	}
	httpServers := []*http.Server{newHTTPServer(in.cfg.ReadyPath, in.serveReady), newHTTPServer("/metrics", in.serveMetrics)}
	for i, ln := range ls.http {
		eg.Go(func() error { return serveHTTP(httpServers[i], ln) })
	}
	eg.Go(func() error { return in.loopReleaseMemory(run) })
	eg.Go(func() error { return in.directory.Run(run) })
	eg.Go(func() error { return in.members.Run(run) })
	eg.Go(func() error { return in.peers.Run(run) })
	eg.Go(func() error {
		return in.newPeerServer().Run(run, ls.peers)
	})
	eg.Go(func() error { return in.engine.Serve(ls.callers, in.cfg.NewCallerConn) })
	in.cfg.Log.Info("started", "instance", in.cfg.Name, "dataCentre", in.cfg.DataCentre, "listen", in.cfg.CallerListen)
	select {
	case <-ctx.Done():
	case <-failed.Done():
	}
	in.engine.Drain()
	stop()
	// Drain closes it unless Serve had not begun.
	_ = ls.callers.Close()
	for _, s := range httpServers {
		shutDownHTTP(s)
	}
	err := eg.Wait()
	in.engine.LogUnanswered()
	in.cfg.Log.Info("stopped", "instance", in.cfg.Name, "cause", err)
	return Error.Wrap(err)
}

// listeners are the listeners of an instance. http are those for probes and, if there is an
// address for them, for metrics.
type listeners struct {
	callers, peers net.Listener
	http           []net.Listener
}

// listen opens all listeners. On an error it closes those that it has opened.
func (in *Instance) listen() (listeners, error) {
	addresses := []string{in.cfg.CallerListen, in.cfg.PeerListen, in.cfg.ReadyListen}
	if in.cfg.MetricsListen != "" {
		addresses = append(addresses, in.cfg.MetricsListen)
	}
	var all []net.Listener
	for _, a := range addresses {
		ln, err := net.Listen("tcp4", a)
		if err != nil {
			for _, open := range all {
				_ = open.Close()
			}
			return listeners{}, err
		}
		all = append(all, ln)
	}
	return listeners{callers: all[0], peers: all[1], http: all[2:]}, nil
}

func newHTTPServer(path string, h http.HandlerFunc) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, h)
	return &http.Server{Handler: mux, ReadHeaderTimeout: probeTimeout, IdleTimeout: probeIdleTimeout, MaxHeaderBytes: maxProbeHeader}
}

func serveHTTP(s *http.Server, ln net.Listener) error {
	err := s.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutDownHTTP ends a server once the requests that it has read are answered, after
// httpDrainTimeout at the latest.
func shutDownHTTP(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), httpDrainTimeout)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

func (in *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !in.engine.AnswerProbe() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (in *Instance) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	in.engine.UpdateAdmissionMetrics()
	in.metrics.Write(w)
}

// newPeerServer returns the server for other instances.
func (in *Instance) newPeerServer() *cwforward.Server {
	return &cwforward.Server{
		Handler: in.engine, News: in.directory, Quotas: in.quotaServer(), Path: in.engine, Members: in.engine,
		Demands: in.peers, OnMalformed: in.metrics.CountMalformed, Memory: in.memory,
	}
}

// SetCatalogue implements cwdirectory.Sink.
func (in *Instance) SetCatalogue(c cwcatalogue.Catalogue) {
	in.engine.SetCatalogue(c)
}

// SetTargets implements cwdirectory.Sink.
func (in *Instance) SetTargets(all []cwport.ListedTarget) { in.engine.SetTargets(all) }

// UpdateTargets implements cwdirectory.Sink.
func (in *Instance) UpdateTargets(listed []cwport.ListedTarget, removed []cwgroup.MemberID) {
	in.engine.UpdateTargets(listed, removed)
}

// SetEra implements cwdirectory.Sink.
func (in *Instance) SetEra(era uint64) {
	in.engine.SetEra(era)
}

// ApplyRows implements cwdirectory.Sink.
func (in *Instance) ApplyRows(rows []cwport.Row, complete bool) {
	in.peers.ApplyRows(rows, complete)
	in.members.ObserveRows(rows, complete)
	for _, r := range rows {
		service, ok := cwclaim.GroupOfKey(r.Key)
		if !ok || r.Removed {
			continue
		}
		row, err := cwclaim.Decode(r.Value)
		if err != nil {
			in.cfg.Log.Error("claimUnreadable", "key", r.Key, "cause", err)
			continue
		}
		in.engine.SetRow(service, row)
	}
}
