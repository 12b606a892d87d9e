package cwpgproxy_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/standin/cwlink"
	"cicadawalk.example/cicadawalk/internal/tool/cwdemo"
	"cicadawalk.example/cicadawalk/internal/tool/cwload"
	"cicadawalk.example/cicadawalk/internal/wire/cwcataloguestore"
	"cicadawalk.example/cicadawalk/internal/wire/cwplatform"
)

var background = context.Background()

// testCluster is a running demo cluster. All connections to a database pass through a
// link, which can inject network faults; links[i] belongs to Databases[i].
type testCluster struct {
	*cwdemo.Cluster
	links []*cwlink.Link
}

func newTestCluster(t *testing.T, opts cwdemo.Options) (*qt.C, *testCluster) {
	t.Helper()
	c := qt.New(t)
	b := &testCluster{}
	if opts.Proxies == 0 {
		opts.Proxies = 2
	}
	opts.RewriteAddress = func(_ cwgroup.MemberID, addr string) string {
		l, err := cwlink.Start("127.0.0.1:0", addr)
		c.Assert(err, qt.IsNil)
		c.Cleanup(l.Stop)
		b.links = append(b.links, l)
		return l.Addr()
	}
	var err error
	b.Cluster, err = cwdemo.Start(opts)
	c.Assert(err, qt.IsNil)
	c.Cleanup(b.Stop)
	return c, b
}

func (b *testCluster) urls() []string {
	var out []string
	for i := range b.Proxies {
		out = append(out, b.URL(i))
	}
	return out
}

func (b *testCluster) connect(c *qt.C, proxy int, params ...string) *pgx.Conn {
	c.Helper()
	cfg, err := pgx.ParseConfig(b.URL(proxy))
	c.Assert(err, qt.IsNil)
	for i := 0; i < len(params); i += 2 {
		cfg.RuntimeParams[params[i]] = params[i+1]
	}
	conn, err := pgx.ConnectConfig(background, cfg)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close(background) })
	return conn
}

func (b *testCluster) store() cwcataloguestore.Store {
	return cwcataloguestore.Store{Table: &cwplatform.Client{URL: b.Platform.URL()}}
}

// runLoad runs sessions for d that switch proxies and use request keys, and calls fault
// after a quarter of d. change modifies the plan before; it may be nil.
func (b *testCluster) runLoad(c *qt.C, d time.Duration, change func(*cwload.Plan), fault func()) *cwload.Report {
	c.Helper()
	plan := cwload.Plan{
		URLs: b.urls(), Sessions: 8, Duration: d, WriteShare: 0.3, Rate: 400, SwitchProxyEvery: 15,
		RequestKeys: true, Seed: 1, Table: "ronda",
	}
	if change != nil {
		change(&plan)
	}
	// The time counts from the start of the sessions, so that the fault does not hit the
	// creation of the table.
	plan.OnStart = func() {
		timer := time.AfterFunc(d/4, fault)
		c.Cleanup(func() { timer.Stop() })
	}
	rep, err := cwload.Run(background, plan, b.URL(0))
	c.Assert(err, qt.IsNil)
	return rep
}

// assertGuarantees checks that a load met the guarantees and had no other errors.
func assertGuarantees(c *qt.C, rep *cwload.Report) {
	c.Helper()
	c.Check(rep.Lost, qt.Equals, 0)
	c.Check(rep.Duplicated, qt.Equals, 0)
	c.Check(rep.StaleOwnReads, qt.Equals, 0)
	c.Check(rep.FalseNotRun, qt.Equals, 0)
	c.Check(rep.Acknowledged > 0, qt.IsTrue)
	c.Check(rep.FirstError, qt.Equals, "")
}

func exec(c *qt.C, conn *pgx.Conn, query string, args ...any) {
	c.Helper()
	_, err := conn.Exec(background, query, args...)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", query))
}

func queryInt(c *qt.C, conn *pgx.Conn, query string, args ...any) int64 {
	c.Helper()
	var n int64
	c.Assert(conn.QueryRow(background, query, args...).Scan(&n), qt.IsNil, qt.Commentf("%s", query))
	return n
}

func assertCode(c *qt.C, err error, code string) *pgconn.PgError {
	c.Helper()
	var pe *pgconn.PgError
	c.Assert(err, qt.ErrorAs, &pe)
	c.Assert(pe.Code, qt.Equals, code, qt.Commentf("%s", pe.Message))
	return pe
}

func assertNotRun(c *qt.C, err error) *pgconn.PgError {
	c.Helper()
	var pe *pgconn.PgError
	c.Assert(err, qt.ErrorAs, &pe)
	c.Assert(pe.Detail, qt.Matches, `notRun=true retryAfterMs=\d+`, qt.Commentf("%s %s", pe.Code, pe.Message))
	return pe
}

func waitFor(c *qt.C, what string, ok func() bool) {
	c.Helper()
	for range 2000 {
		if ok() {
			return
		}
		<-time.After(5 * time.Millisecond)
	}
	c.Fatalf("%s did not happen", what)
}

func setRequestKey(c *qt.C, conn *pgx.Conn, key string) {
	c.Helper()
	exec(c, conn, fmt.Sprintf("SET cicadawalk.requestKey = '%s'", key))
}
