package cwserver_test

import (
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/standin/cwlink"
	"cicadawalk.example/cicadawalk/internal/tool/cwdemo"
)

var testContext = context.Background()

// testProxies is a demo cluster of two proxies and a group of three databases. Its
// links carry the traffic to each database, and tests can inject faults there.
type testProxies struct {
	*cwdemo.Cluster
	links map[cwgroup.MemberID]*cwlink.Link
}

// startProxies starts the cluster and stops it at the end of the test.
func startProxies(c *qt.C, opts cwdemo.Options) *testProxies {
	c.Helper()
	b := &testProxies{links: make(map[cwgroup.MemberID]*cwlink.Link)}
	opts.Proxies = 2
	opts.RewriteAddress = func(id cwgroup.MemberID, addr string) string {
		l, err := cwlink.Start("127.0.0.1:0", addr)
		c.Assert(err, qt.IsNil)
		c.Cleanup(l.Stop)
		b.links[id] = l
		return l.Addr()
	}
	var err error
	b.Cluster, err = cwdemo.Start(opts)
	c.Assert(err, qt.IsNil)
	c.Cleanup(b.Stop)
	return b
}

// connect connects to a proxy, with start-up parameters given as pairs of name and
// value.
func (b *testProxies) connect(c *qt.C, proxy int, params ...string) *pgx.Conn {
	c.Helper()
	conn, err := b.tryConnect(proxy, params...)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close(testContext) })
	return conn
}

func (b *testProxies) tryConnect(proxy int, params ...string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(b.URL(proxy))
	if err != nil {
		return nil, err
	}
	for i := 0; i < len(params); i += 2 {
		cfg.RuntimeParams[params[i]] = params[i+1]
	}
	return pgx.ConnectConfig(testContext, cfg)
}

// exec runs a statement that must succeed, and returns its command tag.
func exec(c *qt.C, conn *pgx.Conn, query string, args ...any) string {
	c.Helper()
	tag, err := conn.Exec(testContext, query, args...)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", query))
	return tag.String()
}

func queryText(c *qt.C, conn *pgx.Conn, query string, args ...any) string {
	c.Helper()
	var s string
	c.Assert(conn.QueryRow(testContext, query, args...).Scan(&s), qt.IsNil, qt.Commentf("%s", query))
	return s
}

func queryInt(c *qt.C, conn *pgx.Conn, query string, args ...any) int64 {
	c.Helper()
	var n int64
	c.Assert(conn.QueryRow(testContext, query, args...).Scan(&n), qt.IsNil, qt.Commentf("%s", query))
	return n
}

// assertRefused checks that err is an ErrorResponse with the SQLSTATE code, and
// returns it.
func assertRefused(c *qt.C, err error, code string) *pgconn.PgError {
	c.Helper()
	var pe *pgconn.PgError
	c.Assert(err, qt.ErrorAs, &pe)
	c.Assert(pe.Code, qt.Equals, code, qt.Commentf("%s", pe.Message))
	return pe
}

// token returns the session token last reported on the connection.
func token(conn *pgx.Conn) string { return conn.PgConn().ParameterStatus("cicadawalk.sessionToken") }

func TestStatements(t *testing.T) {
	c := qt.New(t)
	b := startProxies(c, cwdemo.Options{})
	conn := b.connect(c, 0)
	exec(c, conn, "CREATE TABLE ronda (id bigint PRIMARY KEY, gate text, note text)")

	c.Run("simple protocol with several statements", func(c *qt.C) {
		res, err := conn.PgConn().Exec(testContext, "INSERT INTO ronda VALUES (1, 'a', NULL); INSERT INTO ronda VALUES (2, 'b', ''); SELECT id FROM ronda ORDER BY id").ReadAll()
		c.Assert(err, qt.IsNil)
		c.Assert(len(res), qt.Equals, 3)
		c.Assert(len(res[2].Rows), qt.Equals, 2)
	})
	c.Run("several statements are one transaction", func(c *qt.C) {
		_, err := conn.PgConn().Exec(testContext, "INSERT INTO ronda VALUES (50, 'a', NULL); INSERT INTO ronda VALUES (1, 'b', '')").ReadAll()
		assertRefused(c, err, "23505")
		c.Assert(queryInt(c, conn, "SELECT count(*) FROM ronda WHERE id = 50"), qt.Equals, int64(0))
	})
	c.Run("null and empty differ", func(c *qt.C) {
		var a, e *string
		c.Assert(conn.QueryRow(testContext, "SELECT note FROM ronda WHERE id = $1", 1).Scan(&a), qt.IsNil)
		c.Assert(conn.QueryRow(testContext, "SELECT note FROM ronda WHERE id = $1", 2).Scan(&e), qt.IsNil)
		c.Assert(a, qt.IsNil)
		c.Assert(*e, qt.Equals, "")
	})
	c.Run("one megabyte there and back", func(c *qt.C) {
		big := strings.Repeat("x", 1<<20)
		exec(c, conn, "INSERT INTO ronda VALUES ($1, 'big', $2)", 3, big)
		c.Assert(queryText(c, conn, "SELECT note FROM ronda WHERE id = 3") == big, qt.IsTrue)
	})
	c.Run("empty query", func(c *qt.C) {
		exec(c, conn, "")
		exec(c, conn, ";")
		exec(c, conn, "-- nothing")
	})
	c.Run("errors leave the session usable", func(c *qt.C) {
		for query, code := range map[string]string{
			"SELEC 1":                              "42601",
			"SELECT * FROM absent":                 "42P01",
			"SELECT absent FROM ronda":             "42703",
			"INSERT INTO ronda VALUES (1, '', '')": "23505",
			"COPY ronda TO STDOUT":                 "0A000",
			"COPY ronda FROM STDIN":                "0A000",
			"LISTEN x":                             "0A000",
			"SELECT pg_advisory_lock(1)":           "0A000",
			"CREATE TEMP TABLE x (id int)":         "0A000",
			"PREPARE x AS SELECT 1":                "0A000",
		} {
			_, err := conn.Exec(testContext, query)
			assertRefused(c, err, code)
		}
		c.Assert(queryInt(c, conn, "SELECT 1"), qt.Equals, int64(1))
	})
	c.Run("returning", func(c *qt.C) {
		c.Assert(queryInt(c, conn, "INSERT INTO ronda VALUES ($1, 'r', NULL) RETURNING id", 9), qt.Equals, int64(9))
	})
	c.Run("every execution mode of the driver", func(c *qt.C) {
		for i, mode := range []pgx.QueryExecMode{
			pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe,
			pgx.QueryExecModeDescribeExec, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
		} {
			exec(c, conn, "INSERT INTO ronda VALUES ($1, $2, 'm')", mode, 100+i, "g")
			var id int64
			c.Assert(conn.QueryRow(testContext, "SELECT id FROM ronda WHERE id = $1", mode, 100+i).Scan(&id), qt.IsNil)
			c.Assert(id, qt.Equals, int64(100+i))
		}
	})
	c.Run("a batch", func(c *qt.C) {
		batch := &pgx.Batch{}
		batch.Queue("INSERT INTO ronda VALUES ($1, 'q', NULL)", 200)
		batch.Queue("SELECT count(*) FROM ronda WHERE id = $1", 200)
		br := conn.SendBatch(testContext, batch)
		_, err := br.Exec()
		c.Assert(err, qt.IsNil)
		var n int64
		c.Assert(br.QueryRow().Scan(&n), qt.IsNil)
		c.Assert(n, qt.Equals, int64(1))
		c.Assert(br.Close(), qt.IsNil)
	})
	c.Run("wrong database", func(c *qt.C) {
		cfg, err := pgx.ParseConfig(strings.Replace(b.URL(0), cwdemo.ServiceName, "absent", 1))
		c.Assert(err, qt.IsNil)
		_, err = pgx.ConnectConfig(testContext, cfg)
		assertRefused(c, err, "3D000")
	})
}

func TestTransactions(t *testing.T) {
	c := qt.New(t)
	b := startProxies(c, cwdemo.Options{})
	conn, other := b.connect(c, 0), b.connect(c, 1)
	exec(c, conn, "CREATE TABLE ronda (id bigint PRIMARY KEY)")

	c.Run("commit and rollback", func(c *qt.C) {
		tx, err := conn.Begin(testContext)
		c.Assert(err, qt.IsNil)
		_, err = tx.Exec(testContext, "INSERT INTO ronda VALUES ($1)", 1)
		c.Assert(err, qt.IsNil)
		c.Assert(queryInt(c, other, "SELECT count(*) FROM ronda"), qt.Equals, int64(0))
		c.Assert(tx.Commit(testContext), qt.IsNil)
		c.Assert(queryInt(c, conn, "SELECT count(*) FROM ronda"), qt.Equals, int64(1))
		exec(c, conn, "BEGIN")
		exec(c, conn, "DELETE FROM ronda")
		exec(c, conn, "ROLLBACK")
		c.Assert(queryInt(c, conn, "SELECT count(*) FROM ronda"), qt.Equals, int64(1))
	})
	c.Run("an error aborts the transaction until it ends", func(c *qt.C) {
		exec(c, conn, "BEGIN")
		_, err := conn.Exec(testContext, "INSERT INTO ronda VALUES (1)")
		assertRefused(c, err, "23505")
		_, err = conn.Exec(testContext, "SELECT 1")
		assertRefused(c, err, "25P02")
		c.Assert(exec(c, conn, "COMMIT"), qt.Equals, "ROLLBACK")
	})
	c.Run("a refusal by the proxy aborts it, too", func(c *qt.C) {
		exec(c, conn, "BEGIN")
		exec(c, conn, "INSERT INTO ronda VALUES (77)")
		_, err := conn.Exec(testContext, "COPY ronda TO STDOUT")
		assertRefused(c, err, "0A000")
		_, err = conn.Exec(testContext, "INSERT INTO ronda VALUES (78)")
		assertRefused(c, err, "25P02")
		c.Assert(exec(c, conn, "COMMIT"), qt.Equals, "ROLLBACK")
		c.Assert(queryInt(c, conn, "SELECT count(*) FROM ronda WHERE id > 70"), qt.Equals, int64(0))
	})
	c.Run("read only runs at a replica", func(c *qt.C) {
		tx, err := conn.BeginTx(testContext, pgx.TxOptions{AccessMode: pgx.ReadOnly})
		c.Assert(err, qt.IsNil)
		var recovery string
		c.Assert(tx.QueryRow(testContext, "SELECT pg_is_in_recovery()").Scan(&recovery), qt.IsNil)
		c.Assert(recovery, qt.Equals, "true")
		c.Assert(tx.Commit(testContext), qt.IsNil)
	})
	c.Run("ending one that was not begun", func(c *qt.C) {
		exec(c, conn, "COMMIT")
		exec(c, conn, "ROLLBACK")
	})
}

// Guards against settings that leak between clients: one session changes a setting,
// and its pooled connection is then used by a session that did not.
func TestSettingsDoNotLeakBetweenSessions(t *testing.T) {
	c := qt.New(t)
	contract := cwdemo.DefaultContract()
	contract.Connections = 6 // one connection for each proxy
	b := startProxies(c, cwdemo.Options{Contract: contract})
	one, two := b.connect(c, 0), b.connect(c, 0)
	exec(c, one, "SET work_mem = '7MB'")
	c.Assert(queryText(c, one, "SHOW work_mem"), qt.Equals, "7MB")
	c.Assert(queryText(c, two, "SHOW work_mem"), qt.Equals, "")
	c.Assert(queryText(c, one, "SHOW work_mem"), qt.Equals, "7MB")
	exec(c, one, "BEGIN")
	exec(c, one, "SET work_mem = '9MB'")
	exec(c, one, "ROLLBACK")
	c.Assert(queryText(c, one, "SHOW work_mem"), qt.Equals, "7MB")
	exec(c, one, "RESET ALL")
	c.Assert(queryText(c, one, "SHOW work_mem"), qt.Equals, "")
	exec(c, one, "SET cicadawalk.maxAge = '5s'")
	c.Assert(queryText(c, one, "SHOW cicadawalk.maxAge"), qt.Equals, "5s")
	c.Assert(queryText(c, two, "SHOW cicadawalk.maxAge"), qt.Equals, "0s")
	_, err := one.Exec(testContext, "SET cicadawalk.maxAge = 'soon'")
	assertRefused(c, err, "22023")
}
