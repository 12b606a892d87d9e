// Package cwdemo runs proxies, stand-in databases and a stand-in of the platform in one
// process, for the demo command and for tests.
//
// A Cluster is such a deployment: groups of three databases, the platform's table service,
// and a number of proxies. RunScenario runs a failover scenario on it: sessions move between
// two proxies while the primary is stopped. Serve runs it until it is interrupted.
package cwdemo

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpgproxy"
	"cicadawalk.example/cicadawalk/internal/standin/cwdatabase"
	"cicadawalk.example/cicadawalk/internal/standin/cwplatformserver"
	"cicadawalk.example/cicadawalk/internal/wire/cwcataloguestore"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

// defaultDrainTimeout is longer than the statements of the demo.
const defaultDrainTimeout = 20 * time.Second

// Error is the class of the demo's errors.
var Error = errs.Class("demo")

// ServiceName is the name of the demo's database service.
const ServiceName = "libro-rondas"

// hosts are the loopback addresses of the databases, one for each data centre.
var hosts = []string{"127.0.1.1", "127.0.2.1", "127.0.3.1"}

// dataCentres are the names of the data centres, in the order of hosts.
var dataCentres = []string{"hall-rufino", "hall-chivilcoy", "hall-casilda"}

// Options configures a Cluster.
type Options struct {
	// Proxies is the number of proxies. Listen has their addresses, IP:port each;
	// proxies without one listen on a free port.
	Proxies int
	Listen  []string
	// ListLag is the delay of the platform's list of instances.
	ListLag time.Duration
	// Contract is the contract of the catalogue's entry; the zero value stands for
	// DefaultContract.
	Contract cwcatalogue.Contract
	// Log receives the log lines of the proxies; nil discards them.
	Log io.Writer
	// Groups is the number of groups of the service; zero means one.
	Groups int
	// DrainTimeout is how long sessions have to end when a proxy stops; zero means 20 s.
	DrainTimeout time.Duration
	// RewriteAddress lets tests put a relay between proxies and databases: it returns the
	// address that the catalogue has for a database. It may be nil.
	RewriteAddress func(id cwgroup.MemberID, address string) string
}

// DefaultContract returns the contract of the demo's catalogue entry.
func DefaultContract() cwcatalogue.Contract {
	return cwcatalogue.Contract{
		Class:                cwcatalogue.ClassReplicaReads,
		Connections:          25,
		Slots:                8,
		QueueLimit:           256,
		StatementTimeout:     10 * time.Second,
		AckTimeout:           5 * time.Second,
		ReadWait:             150 * time.Millisecond,
		ChecksTerm:           true,
		FailoverWithoutTable: true,
	}
}

// Cluster is a running deployment. Make one with Start, and end it with Stop.
type Cluster struct {
	// Databases are the databases of all groups, three for each group.
	Databases []*cwdatabase.RunningMember
	Platform  *cwplatformserver.Platform
	Proxies   []*Proxy
	opts      Options
}

// Proxy is one running proxy of a Cluster.
type Proxy struct {
	*cwpgproxy.Node
	cancel context.CancelFunc
	eg     errgroup.Group
}

// Stop drains the proxy, as SIGTERM does.
func (p *Proxy) Stop() error {
	p.cancel()
	return p.eg.Wait()
}

// Start starts the databases, the platform and the proxies, and waits up to 10 s until the
// proxies are ready.
func Start(opts Options) (*Cluster, error) {
	if opts.Contract == (cwcatalogue.Contract{}) {
		opts.Contract = DefaultContract()
	}
	if opts.Log == nil {
		opts.Log = io.Discard
	}
	b := &Cluster{opts: opts}
	if err := b.start(); err != nil {
		b.Stop()
		return nil, err
	}
	return b, nil
}

func (b *Cluster) start() error {
	if err := b.startDatabases(); err != nil {
		return err
	}
	p, err := cwplatformserver.Start("127.0.0.1:0", b.opts.ListLag)
	if err != nil {
		return err
	}
	b.Platform = p
	client := &cwplatform.Client{URL: p.URL()}
	change := cwcataloguestore.Change{ID: "demo", Who: "demo", At: time.Now().UTC(), Note: "first catalogue"}
	if _, err := (cwcataloguestore.Store{Table: client}).Apply(context.Background(), b.Catalogue(), change); err != nil {
		return err
	}
	for i := range b.opts.Proxies {
		if _, err := b.StartProxy(i); err != nil {
			return err
		}
	}
	return b.WaitReady(10 * time.Second)
}

func (b *Cluster) startDatabases() error {
	for g := range max(1, b.opts.Groups) {
		if err := b.startGroup(g); err != nil {
			return err
		}
	}
	return nil
}

// startGroup starts three databases; the first is the primary.
func (b *Cluster) startGroup(g int) error {
	prefix := "libro"
	if g > 0 {
		prefix = fmt.Sprintf("libro-g%d", g+1)
	}
	for i, host := range hosts {
		cfg := cwdatabase.Config{
			ID:             cwgroup.MemberID(fmt.Sprintf("%s-%d", prefix, i+1)),
			Listen:         host + ":0",
			MaxConnections: b.opts.Contract.Connections,
			Slots:          b.opts.Contract.Slots,
			ConnectDelay:   10 * time.Millisecond,
			ChecksTerm:     b.opts.Contract.ChecksTerm,
			Primary:        i == 0,
		}
		if i > 0 {
			first := b.Databases[g*len(hosts)]
			cfg.PrimaryAddr, cfg.PrimaryID = first.Addr(), first.Status().Member
		}
		m, err := cwdatabase.Start(cfg)
		if err != nil {
			return err
		}
		b.Databases = append(b.Databases, m)
	}
	return nil
}

// Catalogue returns the demo's catalogue; its revision is 0.
func (b *Cluster) Catalogue() cwcatalogue.Catalogue {
	c := cwcatalogue.Catalogue{}
	for i, dc := range dataCentres {
		c.DataCentres = append(c.DataCentres, cwcatalogue.DataCentre{Name: dc, Region: "pampa-humeda"})
		for _, other := range dataCentres[:i] {
			c.Links = append(c.Links, cwcatalogue.Link{A: other, B: dc, Delay: time.Millisecond})
		}
	}
	var groups []cwcatalogue.Group
	for i, d := range b.Databases {
		if i%len(hosts) == 0 {
			groups = append(groups, cwcatalogue.Group{Name: fmt.Sprintf("rondas-%d", len(groups)+1)})
		}
		g := &groups[len(groups)-1]
		id, addr := d.Status().Member, d.Addr()
		if b.opts.RewriteAddress != nil {
			addr = b.opts.RewriteAddress(id, addr)
		}
		g.Targets = append(g.Targets, cwcatalogue.Target{ID: id, DataCentre: dataCentres[i%len(hosts)], Address: addr})
	}
	return c.WithEntry(cwcatalogue.Entry{
		Service:  ServiceName,
		Title:    "libro central de rondas",
		Owner:    "Cámara Argentina de Rondas de Casero para Estancias",
		Contract: b.opts.Contract,
		Groups:   groups,
	})
}

// StartProxy starts the proxy with an index and adds it to the platform's list of
// instances. It does not wait until the proxy is ready.
func (b *Cluster) StartProxy(i int) (*Proxy, error) {
	listen := "127.0.0.1:0"
	if i < len(b.opts.Listen) {
		listen = b.opts.Listen[i]
	}
	client := &cwplatform.Client{URL: b.Platform.URL()}
	node, err := cwpgproxy.New(cwpgproxy.Config{
		Instance:     fmt.Sprintf("entry-%d", i+1),
		DataCentre:   dataCentres[i%len(dataCentres)],
		Listen:       listen,
		PeerListen:   "127.0.0.1:0",
		HTTPListen:   "127.0.0.1:0",
		Table:        client,
		Instances:    client,
		ListLag:      b.opts.ListLag,
		DrainTimeout: cmp.Or(b.opts.DrainTimeout, defaultDrainTimeout),
		Clock:        clockwork.NewRealClock(),
		Log:          log.NewWithOptions(b.opts.Log, log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true}),
		RunID:        fmt.Sprintf("%x", time.Now().UnixNano()),
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proxy{Node: node, cancel: cancel}
	p.eg.Go(func() error { return node.Run(ctx) })
	b.Proxies = append(b.Proxies, p)
	b.UpdateInstanceList()
	return p, nil
}

// UpdateInstanceList replaces the platform's list of instances by the current proxies.
func (b *Cluster) UpdateInstanceList() {
	var list []cwplatform.InstanceBody
	for i, p := range b.Proxies {
		list = append(list, cwplatform.InstanceBody{
			ID:         fmt.Sprintf("entry-%d", i+1),
			DataCentre: dataCentres[i%len(dataCentres)],
			Peer:       p.PeerAddr(),
			State:      string(cwplatform.InstanceLive),
		})
	}
	b.Platform.SetInstances(list)
}

// WaitReady waits until each proxy can serve writes. It fails after limit.
func (b *Cluster) WaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		if b.allReady() {
			return nil
		}
		if time.Now().After(deadline) {
			return Error.New("the proxies did not become ready within %v", limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// allReady reports whether each proxy serves all its groups and has a share of the
// connections of each target.
func (b *Cluster) allReady() bool {
	for _, p := range b.Proxies {
		s := p.Status()
		if !s.Ready || len(s.Groups) == 0 {
			return false
		}
		for _, g := range s.Groups {
			if g.State != "well" {
				return false
			}
		}
		for _, t := range s.Targets {
			if t.Share == 0 {
				return false
			}
		}
	}
	return true
}

// URL returns the connection string of a proxy.
func (b *Cluster) URL(i int) string {
	return URL(b.Proxies[i].Addr())
}

// URL returns the connection string for the demo's service at an address, IP:port.
func URL(addr string) string {
	ap, err := netip.ParseAddrPort(addr)
	host := addr
	if err == nil && strings.HasPrefix(addr, "127.0.0.1:") {
		host = fmt.Sprintf("127.0.0.1:%d", ap.Port())
	}
	return "postgres://casero@" + host + "/" + ServiceName + "?sslmode=disable"
}

// PrimaryIndex returns the index in Databases of the primary with the highest term in the
// first group; -1 if there is none.
func (b *Cluster) PrimaryIndex() int {
	best, term := -1, cwgroup.Term(0)
	for i, d := range b.Databases[:len(hosts)] {
		if s := d.Status(); s.Role == cwgroup.RolePrimary && s.AdoptedTerm > term {
			best, term = i, s.AdoptedTerm
		}
	}
	return best
}

// Stop stops the proxies, the databases and the platform.
func (b *Cluster) Stop() {
	for _, p := range b.Proxies {
		_ = p.Stop()
	}
	for _, d := range b.Databases {
		d.Stop()
	}
	if b.Platform != nil {
		b.Platform.Stop()
	}
}
