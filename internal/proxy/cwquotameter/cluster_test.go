package cwquotameter

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"strconv"
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
)

// linkTime is the time of a message to another instance.
const linkTime = 2 * time.Millisecond

// askingTime is the time in which all other issuers answer, and one of them twice.
const askingTime = 2 * (clusterSize + 1) * linkTime

// cluster is a deployment of two data centres with two instances each, all of which are
// issuers of every workspace, on virtual time.
type cluster struct {
	*testing.T
	quota  cwcatalogue.Quota
	meters []*Meter

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
		c := &cluster{
			T: t, quota: cwcatalogue.Quota{Rate: quotaRate, Burst: clusterBurst}, meters: make([]*Meter, clusterSize),
		}
		for i := range c.meters {
			c.start(i)
		}
		f(c)
	})
}

// start starts an instance, or kills it and starts it again.
func (c *cluster) start(i int) {
	m := &Meter{
		Tolerance: cwcatalogue.QuotaTolerance{Window: window, Overage: 0.1, Slack: 20},
		Issuers:   &clusterIssuers{cluster: c, self: i}, Clock: clockwork.NewRealClock(), Log: log.New(io.Discard),
		QuotaOf:     func(string) (cwcatalogue.Quota, bool) { return c.quota, true },
		DataCentres: dataCentres, RunID: strconv.Itoa(i) + time.Now().String(),
		Counts: Counts{
			ContendedIssued: &metrics.Counter{}, ContendedAllowed: &metrics.Counter{}, Returned: &metrics.Counter{}, Delayed: &metrics.Counter{},
		},
	}
	c.meters[i] = m
	m.Start()
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
	return cwquota.Listing{Known: true, Issuer: true}
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
	// late and inVain count operations that waited longer than asking all issuers takes,
	// and were then served or refused.
	late, inVain int
	// waited is the sum of the times that the served operations waited.
	waited time.Duration
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
	began := time.Now()
	for try := range 1 + from.retries {
		d := c.meters[at].Take(cwport.QuotaRequest{Workspace: workspace, Priority: from.priority, MaxWait: from.maxWait})
		if d.Allowed {
			o.mu.Lock()
			o.served++
			o.waited += time.Since(began)
			if time.Since(began) > askingTime {
				o.late++
			}
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
	if from.retries == 0 && time.Since(began) > askingTime {
		o.mu.Lock()
		o.inVain++
		o.mu.Unlock()
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
