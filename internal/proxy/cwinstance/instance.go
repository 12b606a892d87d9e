// Package cwinstance is one instance of the proxy on a platform: it joins the
// engine, the directory and the listeners, and ends them in order.
package cwinstance

import (
	"context"
	"errors"
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
	"cicadawalk.example/cicadawalk/internal/proxy/cwlead"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmembers"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmeter"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpeers"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwhandover"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// Error is the class of failures to start an instance.
var Error = errs.Class("instance")

// probeTimeout bounds a probe's request headers.
const probeTimeout = 5 * time.Second

// Config is what an instance is made with.
type Config struct {
	Name       string
	DataCentre string
	// Callers, Ready and Metrics are addresses to listen on, IP:port; Metrics
	// may be empty.
	Callers, Ready, Metrics string
	// ReadyPath is where the balancer's probe asks.
	ReadyPath string
	Grace     time.Duration
	Waits     cwdirectory.PollWaits
	// GoneAfter is how long after its entry a target is taken as gone.
	GoneAfter time.Duration
	// Turn is the least time between the acts of two holders of a duty.
	Turn    time.Duration
	Codec   func(net.Conn) cwport.Caller
	Dialer  cwport.Dialer
	Source  cwport.Source
	Decoder cwport.Decoder
	// Stale is how old the word of another instance about the store may be.
	Stale cwdirectory.StaleAfter
	Table cwplatform.Table
	// Era returns the newest era of the store that any answer has told.
	Era      func() uint64
	Promoter cwport.Promoter
	Clock    clockwork.Clock
	Log      *log.Logger
	// Seed makes claim ids unique between runs.
	Seed string
	// Peers is where other instances hand statements over, IP:port.
	Peers string
	// KeyBound is how soon nothing may run any more with a key that was taken
	// away; zero sets no bound.
	KeyBound time.Duration
	// DataCentres is how many data centres there are, Quota how exactly quotas
	// are kept, and FirstStart true if no instance was there before.
	DataCentres int
	Quota       cwcatalogue.QuotaTolerance
	FirstStart  bool
}

// Instance is one running proxy. Make one with New.
type Instance struct {
	cfg     Config
	engine  *cwengine.Engine
	peers   *cwpeers.Peers
	members *cwmembers.Recorder
	path    *cwlead.RemotePath
	metrics *cwengine.Metrics
	dir     *cwdirectory.Directory
	meter   *cwmeter.Meter
}

// New returns an instance that is not running.
func New(cfg Config) *Instance {
	in := &Instance{cfg: cfg, path: &cwlead.RemotePath{}, metrics: cwengine.NewMetrics()}
	in.peers = &cwpeers.Peers{
		Self:  cwholder.Instance{ID: cfg.Name, DataCentre: cfg.DataCentre, Address: cfg.Peers},
		Table: cfg.Table, Dial: dialPeer, Clock: cfg.Clock, Log: cfg.Log, FirstStart: cfg.FirstStart, Path: in.path,
	}
	in.peers.OnChange = in.rehold
	in.members = &cwmembers.Recorder{Table: cfg.Table, Clock: cfg.Clock, Log: cfg.Log, HolderRank: in.place, GroupCount: in.groups}
	in.dir = &cwdirectory.Directory{
		PollWaits: cfg.Waits, RemovalDelay: cfg.GoneAfter, Source: cfg.Source, Sink: in, Clock: cfg.Clock, Log: cfg.Log,
		Feeders: in.peers, Decoder: cfg.Decoder, StaleAfter: cfg.Stale,
		RememberedTargets: in.members.RecordedMembers,
		Counts: cwdirectory.Counts{
			StoreRequests: in.metrics.StoreRequests, FeederAnswers: in.metrics.FeederAnswers, NewsServed: in.metrics.FeedAnswersSent,
			StoreRestores: in.metrics.StoreRestores, OutdatedAnswers: in.metrics.OutdatedStoreAnswers,
		},
	}
	in.members.Counted = in.counted
	engine := cwengine.Config{
		Clock: cfg.Clock, Log: cfg.Log, GracePeriod: cfg.Grace, Metrics: in.metrics, NewGroup: in.newGroup,
		Name: cfg.Name, RunID: cfg.Seed, Holders: in.peers, Path: in.path,
		KeyRevocationBound: cfg.KeyBound, CatalogueConfirmedAt: in.dir.Confirmed, RecordedSize: in.members.RecordedSize,
		FirstStart: cfg.FirstStart,
	}
	if cfg.Quota.Window > 0 {
		in.meter = &cwmeter.Meter{
			Rule: cfg.Quota, Peers: in.peers, Clock: cfg.Clock, Log: cfg.Log, Quota: in.quota,
			DataCentres: cfg.DataCentres, FirstStart: cfg.FirstStart,
		}
		engine.Meter = in.meter
	}
	in.engine = cwengine.New(engine)
	in.metrics.AddAgeGauge(in.age)
	in.metrics.AddRevisionGauge(func() float64 { return float64(in.engine.Revision()) })
	in.metrics.AddEraGauge(func() float64 { return float64(in.dir.Era()) })
	return in
}

// age returns how old the desired state in force may be, in seconds; centuries
// before there is one.
func (in *Instance) age() float64 { return in.cfg.Clock.Since(in.dir.Confirmed()).Seconds() }

// counted returns the members of each group; nil while the store does not tell of
// targets.
func (in *Instance) counted() map[string]cwmembers.Count {
	if !in.dir.TargetsAvailable() {
		return nil
	}
	return in.engine.Members()
}

// quotas returns who answers for the quotas kept here; nil if there are none.
func (in *Instance) quotas() cwport.QuotaTeller {
	if in.meter == nil {
		return nil
	}
	return in.meter
}

// quota returns the quota of a workspace by the catalogue in force.
func (in *Instance) quota(workspace string) (cwcatalogue.Quota, bool) {
	return in.engine.Quota(workspace)
}

// place returns this instance's place among the holders of a service's group.
func (in *Instance) place(service string) (int, bool) { return in.engine.HolderRank(service) }

func (in *Instance) groups() int { return in.engine.GroupCount() }

func (in *Instance) rehold() { in.engine.RefreshHolders() }

func dialPeer(ctx context.Context, name, address string) (cwpeers.Conn, error) {
	return cwhandover.Dial(ctx, name, address)
}

// dialer counts the connections that it opens.
type dialer struct {
	cwport.Dialer
	metrics *cwengine.Metrics
}

// Dial implements cwport.Dialer.
func (d dialer) Dial(ctx context.Context, to cwport.Endpoint, workspace string) (cwport.Target, error) {
	d.metrics.TargetConnections.Inc()
	return d.Dialer.Dial(ctx, to, workspace)
}

func (in *Instance) newGroup(service string) *cwlead.Group {
	return cwlead.New(cwlead.Config{
		Self: cwfailover.InstanceID(in.cfg.Name), DataCentre: in.cfg.DataCentre, Service: service,
		Clock: in.cfg.Clock, Log: in.cfg.Log, Dialer: dialer{in.cfg.Dialer, in.metrics}, Table: in.cfg.Table,
		Era: in.cfg.Era, Promoter: in.cfg.Promoter, MinHolderInterval: in.cfg.Turn, ClaimSeed: in.cfg.Seed, RemotePath: in.path,
	})
}

// Run serves until ctx ends, then lets the sessions end.
func (in *Instance) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp4", in.cfg.Callers)
	if err != nil {
		return Error.Wrap(err)
	}
	others, err := net.Listen("tcp4", in.cfg.Peers)
	if err != nil {
		_ = callers.Close()
		return Error.Wrap(err)
	}
	run, stop := context.WithCancel(context.Background())
	defer stop()
	eg, run := errgroup.WithContext(run)
	in.engine.Start(run, eg)
	if in.meter != nil {
		in.meter.Start()
	}
	probes := []*http.Server{in.server(in.cfg.Ready, in.cfg.ReadyPath, in.ready)}
	if in.cfg.Metrics != "" {
		probes = append(probes, in.server(in.cfg.Metrics, "/metrics", in.writeMetrics))
	}
	for _, p := range probes {
		eg.Go(func() error { return serveHTTP(p) })
	}
	eg.Go(func() error { return in.loopMemory(run) })
	eg.Go(func() error { return in.dir.Run(run) })
	eg.Go(func() error { return in.members.Run(run) })
	eg.Go(func() error { return in.peers.Run(run) })
	eg.Go(func() error {
		return (&cwhandover.Server{Handler: in.engine, News: in.dir, Quotas: in.quotas()}).Run(run, others)
	})
	eg.Go(func() error { return in.engine.Serve(callers, in.cfg.Codec) })
	in.cfg.Log.Info("started", "instance", in.cfg.Name, "dataCentre", in.cfg.DataCentre, "listen", in.cfg.Callers)
	select {
	case <-ctx.Done():
		in.engine.Drain()
	case <-run.Done():
	}
	stop()
	_ = callers.Close()
	for _, p := range probes {
		_ = p.Close()
	}
	err = eg.Wait()
	in.cfg.Log.Info("stopped", "instance", in.cfg.Name, "cause", err)
	return Error.Wrap(err)
}

func (in *Instance) server(address, path string, h http.HandlerFunc) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, h)
	return &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: probeTimeout}
}

func serveHTTP(s *http.Server) error {
	err := s.ListenAndServe()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (in *Instance) ready(w http.ResponseWriter, _ *http.Request) {
	if !in.engine.AnswerProbe() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (in *Instance) writeMetrics(w http.ResponseWriter, _ *http.Request) { in.metrics.Write(w) }

// SetCatalogue implements cwdirectory.Sink.
func (in *Instance) SetCatalogue(c cwcatalogue.Catalogue) { in.engine.SetCatalogue(c) }

// SetTargets implements cwdirectory.Sink.
func (in *Instance) SetTargets(all []cwport.Listing) { in.engine.SetListings(all) }

// UpdateTargets implements cwdirectory.Sink.
func (in *Instance) UpdateTargets(listed []cwport.Listing, removed []cwgroup.MemberID) {
	in.engine.ChangeListings(listed, removed)
}

// SetEra implements cwdirectory.Sink.
func (in *Instance) SetEra(era uint64) { in.engine.SetEra(era) }

// ApplyRows implements cwdirectory.Sink.
func (in *Instance) ApplyRows(rows []cwport.Row, whole bool) {
	in.peers.ApplyRows(rows, whole)
	in.members.ObserveRows(rows, whole)
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
