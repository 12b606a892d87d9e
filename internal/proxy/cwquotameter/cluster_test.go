package cwquotameter

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwquota"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

var errStoreAway = errors.New("the store is away")

// fakeTable is the store. Each request takes storeTime.
type fakeTable struct {
	mu       sync.Mutex
	rows     map[string]cwplatform.Row
	versions int
	// away makes requests fail, lostAnswers is the number of writes that are applied and
	// whose answer is lost.
	away bool
	// era is the number of restores from older copies.
	era                  uint64
	lostAnswers          int
	gets, lists, commits int
}

const storeTime = 10 * time.Millisecond

func (f *fakeTable) begin(n *int) error {
	time.Sleep(storeTime)
	f.mu.Lock()
	*n++
	if f.away {
		return &cwplatform.UnavailableError{Cause: errStoreAway}
	}
	return nil
}

func (f *fakeTable) Get(_ context.Context, key string) (cwplatform.Row, error) {
	defer f.mu.Unlock()
	if err := f.begin(&f.gets); err != nil {
		return cwplatform.Row{}, err
	}
	r, ok := f.rows[key]
	if !ok {
		return r, &cwplatform.NotFoundError{Key: key}
	}
	return r, nil
}

func (f *fakeTable) List(_ context.Context, prefix string) (out []cwplatform.Row, err error) {
	defer f.mu.Unlock()
	if err := f.begin(&f.lists); err != nil {
		return nil, err
	}
	for key, r := range f.rows {
		if strings.HasPrefix(key, prefix) {
			out = append(out, r)
		}
	}
	return out, nil
}

func (f *fakeTable) Commit(_ context.Context, c cwplatform.Change) error {
	defer f.mu.Unlock()
	if err := f.begin(&f.commits); err != nil {
		return err
	}
	key := c.Put[0].Key
	if f.rows[key].ETag != c.Expect[0].ETag {
		return &cwplatform.ConflictError{Key: key}
	}
	f.versions++
	f.rows[key] = cwplatform.Row{Key: key, Value: c.Put[0].Value, ETag: strconv.Itoa(f.versions)}
	if f.lostAnswers > 0 {
		f.lostAnswers--
		return &cwplatform.UnknownError{Cause: errStoreAway}
	}
	return nil
}

// linkTime is the time of a message to another instance.
const linkTime = 2 * time.Millisecond

// cluster is a deployment of two data centres with two instances each, all of which are
// issuers of every workspace, on virtual time.
type cluster struct {
	*testing.T
	ctx    context.Context
	quota  cwcatalogue.Quota
	table  *fakeTable
	meters []*Meter
	// stops end the goroutines of each instance.
	stops []context.CancelFunc

	mu  sync.Mutex
	ran []time.Time
}

const (
	clusterSize  = 4
	dataCentres  = 2
	perCentre    = clusterSize / dataCentres
	quotaRate    = 100
	usualLoad    = 60
	burstLoad    = 7 * usualLoad
	clusterBurst = 100
)

// runCluster plays f in a cluster that has run before.
func runCluster(t *testing.T, f func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cluster{
			T: t, ctx: ctx, table: &fakeTable{rows: make(map[string]cwplatform.Row)},
			quota: cwcatalogue.Quota{Rate: quotaRate, Burst: clusterBurst}, meters: make([]*Meter, clusterSize),
			stops: make([]context.CancelFunc, clusterSize),
		}
		for i := range c.meters {
			c.start(i)
		}
		f(c)
		cancel()
		// Requests to the store end.
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// start starts an instance, or kills it and starts it again.
func (c *cluster) start(i int) {
	if c.stops[i] != nil {
		c.stops[i]()
	}
	ctx, stop := context.WithCancel(c.ctx)
	c.stops[i] = stop
	m := &Meter{
		Tolerance: cwcatalogue.QuotaTolerance{Window: window, Overage: 0.1, Slack: 20},
		Issuers:   &clusterIssuers{cluster: c, self: i}, Table: c.table, Clock: clockwork.NewRealClock(), Log: log.New(io.Discard),
		QuotaOf:     func(string) (cwcatalogue.Quota, bool) { return c.quota, true },
		Era:         c.era,
		DataCentres: dataCentres, Name: strconv.Itoa(i), RunID: strconv.Itoa(i) + time.Now().String(),
		Counts: Counts{
			ContendedIssued: &metrics.Counter{}, ContendedAllowed: &metrics.Counter{}, Returned: &metrics.Counter{}, Delayed: &metrics.Counter{},
		},
	}
	c.meters[i] = m
	m.Start()
	m.Prepare()
	go func() { _ = m.Run(ctx) }()
}

func (c *cluster) era() uint64 {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.table.era
}

// clusterIssuers implements cwport.QuotaIssuers at one instance.
type clusterIssuers struct {
	cluster *cluster
	self    int
}

func (s *clusterIssuers) QuotaIssuers(_ string, remote bool) (out []cwport.QuotaIssuer) {
	for k := range clusterSize {
		i := (s.self + k) % clusterSize
		issuer := cwport.QuotaIssuer{Name: strconv.Itoa(i)}
		if i != s.self {
			issuer.Remote = clusterLink{cluster: s.cluster, to: i}
		}
		if remote == (i/perCentre != s.self/perCentre) {
			out = append(out, issuer)
		}
	}
	return out
}

func (s *clusterIssuers) QuotaListing(string) cwquota.Listing {
	return cwquota.Listing{Known: true, Issuer: true, Complete: true, Rank: s.self}
}

// clusterLink is the link to an instance.
type clusterLink struct {
	cluster *cluster
	to      int
}

func (l clusterLink) AskQuota(ctx context.Context, r cwport.QuotaRequest) (cwport.QuotaDecision, error) {
	time.Sleep(linkTime)
	d := l.cluster.meters[l.to].IssueQuota(r)
	time.Sleep(linkTime)
	return d, ctx.Err()
}

func (l clusterLink) ReturnQuota(ctx context.Context, workspace string, g cwport.QuotaGrant) error {
	time.Sleep(linkTime)
	l.cluster.meters[l.to].ReturnIssued(workspace, g)
	return ctx.Err()
}

// window is the window of the rule.
const window = 5 * time.Second

// callers is a flow of operations.
type callers struct {
	rate     float64
	priority int
	maxWait  time.Duration
	retries  int
	// instances is the number of instances at which they are, all if it is 0.
	instances int
}

// outcome counts the operations of callers.
type outcome struct {
	mu           sync.Mutex
	sent, served int
}

// run lets callers send operations for a time. Each refused one is retried after the
// time that it was told.
func (c *cluster) run(d time.Duration, all ...callers) []*outcome {
	var wg sync.WaitGroup
	out := make([]*outcome, len(all))
	for i, from := range all {
		out[i] = &outcome{}
		random := rand.New(rand.NewPCG(uint64(i), 1))
		wg.Go(func() {
			for end := time.Now().Add(d); time.Now().Before(end); {
				time.Sleep(time.Duration(random.ExpFloat64() / from.rate * float64(time.Second)))
				at := random.IntN(cmp.Or(from.instances, clusterSize))
				wg.Go(func() { c.operate(at, from, out[i]) })
			}
		})
	}
	wg.Wait()
	return out
}

func (c *cluster) operate(at int, from callers, o *outcome) {
	o.mu.Lock()
	o.sent++
	o.mu.Unlock()
	for try := range 1 + from.retries {
		d := c.meters[at].Take(cwport.QuotaRequest{Workspace: workspace, Priority: from.priority, MaxWait: from.maxWait})
		if d.Allowed {
			o.mu.Lock()
			o.served++
			o.mu.Unlock()
			c.mu.Lock()
			c.ran = append(c.ran, time.Now())
			c.mu.Unlock()
			return
		}
		if try < from.retries {
			time.Sleep(d.RetryAfter)
		}
	}
}

// ranBetween returns the number of operations that ran in a time span.
func (c *cluster) ranBetween(from, to time.Time) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.ran {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// limit is the number of operations that the issuers allow in one window.
func (c *cluster) limit() float64 {
	m := c.meters[0]
	return clusterSize * cwquota.ParamsFor(c.quota, m.Tolerance, clusterSize).Limit
}

// assertWithinQuota fails if some window has more operations than the rule allows.
func (c *cluster) assertWithinQuota() {
	r := c.meters[0].Tolerance
	rule := (c.quota.Rate*r.Window.Seconds()+c.quota.Burst)*(1+r.Overage) + r.Slack
	for _, from := range c.ran {
		n := c.ranBetween(from, from.Add(r.Window))
		qt.Assert(c, float64(n) <= rule, qt.IsTrue, qt.Commentf("%d operations in one window, %.0f allowed", n, rule))
	}
}
