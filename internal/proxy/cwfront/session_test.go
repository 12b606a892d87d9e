package cwfront_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwsession"
	"cicadawalk.example/cicadawalk/internal/standin/cwdatabase"
	"cicadawalk.example/cicadawalk/internal/standin/cwlink"
	"cicadawalk.example/cicadawalk/internal/tool/cwdemo"
)

var background = context.Background()

// bench is a group of three databases behind two proxies, with a link before
// each database that tests can cut.
type bench struct {
	*cwdemo.Bench
	links map[cwgroup.MemberID]*cwlink.Link
}

func newBench(c *qt.C, opts cwdemo.Options) *bench {
	c.Helper()
	b := &bench{links: make(map[cwgroup.MemberID]*cwlink.Link)}
	opts.Proxies = 2
	opts.Direct = func(id cwgroup.MemberID, addr string) string {
		l, err := cwlink.Start("127.0.0.1:0", addr)
		c.Assert(err, qt.IsNil)
		c.Cleanup(l.Stop)
		b.links[id] = l
		return l.Addr()
	}
	var err error
	b.Bench, err = cwdemo.Start(opts)
	c.Assert(err, qt.IsNil)
	c.Cleanup(b.Stop)
	return b
}

func (b *bench) connect(c *qt.C, proxy int, params ...string) *pgx.Conn {
	c.Helper()
	conn, err := b.tryConnect(proxy, params...)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close(background) })
	return conn
}

func (b *bench) tryConnect(proxy int, params ...string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(b.URL(proxy))
	if err != nil {
		return nil, err
	}
	for i := 0; i < len(params); i += 2 {
		cfg.RuntimeParams[params[i]] = params[i+1]
	}
	return pgx.ConnectConfig(background, cfg)
}

func exec(c *qt.C, conn *pgx.Conn, query string, args ...any) string {
	c.Helper()
	tag, err := conn.Exec(background, query, args...)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", query))
	return tag.String()
}

func queryText(c *qt.C, conn *pgx.Conn, query string, args ...any) string {
	c.Helper()
	var s string
	c.Assert(conn.QueryRow(background, query, args...).Scan(&s), qt.IsNil, qt.Commentf("%s", query))
	return s
}

func queryInt(c *qt.C, conn *pgx.Conn, query string, args ...any) int64 {
	c.Helper()
	var n int64
	c.Assert(conn.QueryRow(background, query, args...).Scan(&n), qt.IsNil, qt.Commentf("%s", query))
	return n
}

// assertRefused checks an error's SQLSTATE and, for a refusal of the system's
// own, whether it says "not run".
func assertRefused(c *qt.C, err error, code string) *pgconn.PgError {
	c.Helper()
	var pe *pgconn.PgError
	c.Assert(err, qt.ErrorAs, &pe)
	c.Assert(pe.Code, qt.Equals, code, qt.Commentf("%s", pe.Message))
	return pe
}

func token(conn *pgx.Conn) string { return conn.PgConn().ParameterStatus("cicadawalk.sessionToken") }

func TestStatements(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, cwdemo.Options{})
	conn := b.connect(c, 0)
	exec(c, conn, "CREATE TABLE ronda (id bigint PRIMARY KEY, gate text, note text)")

	c.Run("simple protocol with several statements", func(c *qt.C) {
		res, err := conn.PgConn().Exec(background, "INSERT INTO ronda VALUES (1, 'a', NULL); INSERT INTO ronda VALUES (2, 'b', ''); SELECT id FROM ronda ORDER BY id").ReadAll()
		c.Assert(err, qt.IsNil)
		c.Assert(len(res), qt.Equals, 3)
		c.Assert(len(res[2].Rows), qt.Equals, 2)
	})
	c.Run("several statements are one transaction", func(c *qt.C) {
		_, err := conn.PgConn().Exec(background, "INSERT INTO ronda VALUES (50, 'a', NULL); INSERT INTO ronda VALUES (1, 'b', '')").ReadAll()
		assertRefused(c, err, "23505")
		c.Assert(queryInt(c, conn, "SELECT count(*) FROM ronda WHERE id = 50"), qt.Equals, int64(0))
	})
	c.Run("null and empty differ", func(c *qt.C) {
		var a, e *string
		c.Assert(conn.QueryRow(background, "SELECT note FROM ronda WHERE id = $1", 1).Scan(&a), qt.IsNil)
		c.Assert(conn.QueryRow(background, "SELECT note FROM ronda WHERE id = $1", 2).Scan(&e), qt.IsNil)
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
			_, err := conn.Exec(background, query)
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
			c.Assert(conn.QueryRow(background, "SELECT id FROM ronda WHERE id = $1", mode, 100+i).Scan(&id), qt.IsNil)
			c.Assert(id, qt.Equals, int64(100+i))
		}
	})
	c.Run("a batch", func(c *qt.C) {
		batch := &pgx.Batch{}
		batch.Queue("INSERT INTO ronda VALUES ($1, 'q', NULL)", 200)
		batch.Queue("SELECT count(*) FROM ronda WHERE id = $1", 200)
		br := conn.SendBatch(background, batch)
		_, err := br.Exec()
		c.Assert(err, qt.IsNil)
		var n int64
		c.Assert(br.QueryRow().Scan(&n), qt.IsNil)
		c.Assert(n, qt.Equals, int64(1))
		c.Assert(br.Close(), qt.IsNil)
	})
	c.Run("wrong database", func(c *qt.C) {
		cfg, err := pgx.ParseConfig(strings.Replace(b.URL(0), cwdemo.Service, "absent", 1))
		c.Assert(err, qt.IsNil)
		_, err = pgx.ConnectConfig(background, cfg)
		assertRefused(c, err, "3D000")
	})
}

func TestTransactions(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, cwdemo.Options{})
	conn, other := b.connect(c, 0), b.connect(c, 1)
	exec(c, conn, "CREATE TABLE ronda (id bigint PRIMARY KEY)")

	c.Run("commit and rollback", func(c *qt.C) {
		tx, err := conn.Begin(background)
		c.Assert(err, qt.IsNil)
		_, err = tx.Exec(background, "INSERT INTO ronda VALUES ($1)", 1)
		c.Assert(err, qt.IsNil)
		c.Assert(queryInt(c, other, "SELECT count(*) FROM ronda"), qt.Equals, int64(0))
		c.Assert(tx.Commit(background), qt.IsNil)
		c.Assert(queryInt(c, conn, "SELECT count(*) FROM ronda"), qt.Equals, int64(1))
		exec(c, conn, "BEGIN")
		exec(c, conn, "DELETE FROM ronda")
		exec(c, conn, "ROLLBACK")
		c.Assert(queryInt(c, conn, "SELECT count(*) FROM ronda"), qt.Equals, int64(1))
	})
	c.Run("an error aborts the transaction until it ends", func(c *qt.C) {
		exec(c, conn, "BEGIN")
		_, err := conn.Exec(background, "INSERT INTO ronda VALUES (1)")
		assertRefused(c, err, "23505")
		_, err = conn.Exec(background, "SELECT 1")
		assertRefused(c, err, "25P02")
		c.Assert(exec(c, conn, "COMMIT"), qt.Equals, "ROLLBACK")
	})
	c.Run("a refusal by the proxy aborts it, too", func(c *qt.C) {
		exec(c, conn, "BEGIN")
		exec(c, conn, "INSERT INTO ronda VALUES (77)")
		_, err := conn.Exec(background, "COPY ronda TO STDOUT")
		assertRefused(c, err, "0A000")
		_, err = conn.Exec(background, "INSERT INTO ronda VALUES (78)")
		assertRefused(c, err, "25P02")
		c.Assert(exec(c, conn, "COMMIT"), qt.Equals, "ROLLBACK")
		c.Assert(queryInt(c, conn, "SELECT count(*) FROM ronda WHERE id > 70"), qt.Equals, int64(0))
	})
	c.Run("read only runs at a replica", func(c *qt.C) {
		tx, err := conn.BeginTx(background, pgx.TxOptions{AccessMode: pgx.ReadOnly})
		c.Assert(err, qt.IsNil)
		var recovery string
		c.Assert(tx.QueryRow(background, "SELECT pg_is_in_recovery()").Scan(&recovery), qt.IsNil)
		c.Assert(recovery, qt.Equals, "true")
		c.Assert(tx.Commit(background), qt.IsNil)
	})
	c.Run("ending one that was not begun", func(c *qt.C) {
		exec(c, conn, "COMMIT")
		exec(c, conn, "ROLLBACK")
	})
}

// A casero sees dates in another casero's format: one session sets a setting,
// its pooled connection goes to the next, who never set it.
func TestSettingsStayWithTheirSession(t *testing.T) {
	c := qt.New(t)
	contract := cwdemo.DefaultContract()
	contract.Connections = 6 // one connection for each proxy
	b := newBench(c, cwdemo.Options{Contract: contract})
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
	_, err := one.Exec(background, "SET cicadawalk.maxAge = 'soon'")
	assertRefused(c, err, "22023")
}

// An owner opens a gate record, the phone reconnects through another proxy, and
// the record is not there: the replica near that proxy lags. With the token, or
// without, the second proxy must not answer from data that is too old.
func TestReadsOwnWritesAfterRoaming(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, cwdemo.Options{})
	conn := b.connect(c, 0)
	exec(c, conn, "CREATE TABLE ronda (id bigint PRIMARY KEY)")
	for _, d := range b.Databases[1:] {
		d.SetFaults(cwdatabase.Faults{ApplyLag: 400 * time.Millisecond})
	}
	for i := range 5 {
		exec(c, conn, "INSERT INTO ronda VALUES ($1)", i)
		with := b.connect(c, 1, "cicadawalk.sessionToken", token(conn))
		c.Assert(queryInt(c, with, "SELECT count(*) FROM ronda"), qt.Equals, int64(i+1))
		without := b.connect(c, 1)
		c.Assert(queryInt(c, without, "SELECT count(*) FROM ronda"), qt.Equals, int64(i+1))
	}
	c.Run("a token that is not ours", func(c *qt.C) {
		for _, bad := range []string{"x", "cw1.", "cw1.AAAA", strings.Repeat("a", 5000), token(conn) + "x"} {
			_, err := b.tryConnect(1, "cicadawalk.sessionToken", bad)
			assertRefused(c, err, "22023")
		}
	})
}

// A caller with a forged token that names a position far in the future must
// get an answer, not wait for a record that never comes.
func TestTokenFromTheFuture(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, cwdemo.Options{})
	conn := b.connect(c, 0)
	exec(c, conn, "CREATE TABLE ronda (id bigint PRIMARY KEY)")
	forged := forge(c, "rondas-1", cwgroup.Mark{Term: 9, Position: 1 << 40})
	late := b.connect(c, 1, "cicadawalk.sessionToken", forged)
	began := time.Now()
	_, err := late.Exec(background, "SELECT count(*) FROM ronda")
	assertRefused(c, err, "22023")
	c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue)
}

// A canceled statement ends, and only that one: the next caller who is lent the
// same connection must not be hit by a cancel that arrives late.
func TestCancel(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, cwdemo.Options{})
	conn, other := b.connect(c, 0), b.connect(c, 0)
	ctx, cancel := context.WithCancel(background)
	go func() {
		<-time.After(100 * time.Millisecond)
		_ = conn.PgConn().CancelRequest(background)
	}()
	_, err := conn.Exec(ctx, "SELECT pg_sleep(20)")
	cancel()
	assertRefused(c, err, "57014")
	c.Assert(queryInt(c, conn, "SELECT 1"), qt.Equals, int64(1))
	for range 20 {
		_ = conn.PgConn().CancelRequest(background)
		c.Assert(queryInt(c, other, "SELECT 1"), qt.Equals, int64(1))
	}
	c.Run("through another proxy", func(c *qt.C) {
		go func() {
			<-time.After(100 * time.Millisecond)
			c.Check(cancelAt(b.Proxies[1].Addr(), conn.PgConn()), qt.IsNil)
		}()
		_, err := conn.Exec(background, "SELECT pg_sleep(20)")
		assertRefused(c, err, "57014")
	})
}

func cancelAt(addr string, pc *pgconn.PgConn) error {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer nc.Close()
	buf, err := (&pgproto3.CancelRequest{ProcessID: pc.PID(), SecretKey: pc.SecretKey()}).Encode(nil)
	if err != nil {
		return err
	}
	_, err = nc.Write(buf)
	return err
}

// Somebody sends garbage, or far too much, or leaves in the middle. The others
// must not notice.
func TestBadCallers(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, cwdemo.Options{})
	conn := b.connect(c, 0)
	exec(c, conn, "CREATE TABLE ronda (id bigint PRIMARY KEY)")
	raw := func(c *qt.C) net.Conn {
		nc, err := net.Dial("tcp", b.Proxies[0].Addr())
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = nc.Close() })
		return nc
	}
	started := func(c *qt.C) (net.Conn, *pgproto3.Frontend) {
		nc := raw(c)
		f := pgproto3.NewFrontend(nc, nc)
		f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u", "database": cwdemo.Service}})
		c.Assert(f.Flush(), qt.IsNil)
		for {
			m, err := f.Receive()
			c.Assert(err, qt.IsNil)
			if _, ok := m.(*pgproto3.ReadyForQuery); ok {
				return nc, f
			}
		}
	}
	c.Run("garbage before the start-up", func(c *qt.C) {
		nc := raw(c)
		_, _ = nc.Write([]byte("GET / HTTP/1.1\r\n\r\n\r\n"))
		assertEnds(c, nc)
	})
	c.Run("an oversized message", func(c *qt.C) {
		nc, _ := started(c)
		_, _ = nc.Write([]byte{'Q', 0x7f, 0xff, 0xff, 0xff})
		assertEnds(c, nc)
	})
	c.Run("an unknown message", func(c *qt.C) {
		nc, _ := started(c)
		_, _ = nc.Write([]byte{'!', 0, 0, 0, 4})
		assertEnds(c, nc)
	})
	c.Run("gone in the middle of a transaction", func(c *qt.C) {
		nc, f := started(c)
		f.Send(&pgproto3.Query{String: "BEGIN; INSERT INTO ronda VALUES (1)"})
		c.Assert(f.Flush(), qt.IsNil)
		_, err := f.Receive()
		c.Assert(err, qt.IsNil)
		_ = nc.Close()
		exec(c, conn, "INSERT INTO ronda VALUES (2)")
		c.Assert(queryInt(c, conn, "SELECT count(*) FROM ronda WHERE id = 1"), qt.Equals, int64(0))
	})
	c.Run("gone before the answer", func(c *qt.C) {
		nc, f := started(c)
		f.Send(&pgproto3.Query{String: "SELECT pg_sleep(0.05)"})
		c.Assert(f.Flush(), qt.IsNil)
		_ = nc.Close()
		c.Assert(queryInt(c, conn, "SELECT 1"), qt.Equals, int64(1))
	})
}

// assertEnds checks that the proxy closes the connection.
func assertEnds(c *qt.C, nc net.Conn) {
	c.Helper()
	_ = nc.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := io.Copy(io.Discard, nc)
	var ne net.Error
	c.Assert(errors.As(err, &ne) && ne.Timeout(), qt.IsFalse)
}

// Two callers use one connection in turns, with answers that differ, and each
// must get its own: a mixed-up answer would show another client's bookings.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	c := qt.New(t)
	contract := cwdemo.DefaultContract()
	contract.Connections = 6
	b := newBench(c, cwdemo.Options{Contract: contract})
	conns := make([]*pgx.Conn, 8)
	for i := range conns {
		conns[i] = b.connect(c, i%2)
	}
	errs := make(chan error, len(conns))
	for i, conn := range conns {
		go func() {
			for n := range 50 {
				want := fmt.Sprintf("%d-%d", i, n)
				var got string
				err := conn.QueryRow(background, "SELECT CAST($1 AS text)", want).Scan(&got)
				if err == nil && got != want {
					err = fmt.Errorf("got %q, want %q", got, want)
				}
				if err != nil {
					errs <- err
					return
				}
			}
			errs <- nil
		}()
	}
	for range conns {
		c.Assert(<-errs, qt.IsNil)
	}
}

// A booking of one depot is looked for among another's: the service keeps its
// records in three groups, and every proxy must find the same one for a shard.
func TestShards(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, cwdemo.Options{Groups: 3})
	conn := b.connect(c, 0)
	_, err := conn.Exec(background, "SELECT 1")
	assertRefused(c, err, "22023")
	used := make(map[string]bool)
	for i := range 9 {
		shard := fmt.Sprintf("estancia-%d", i)
		one, two := b.connect(c, 0, "cicadawalk.shard", shard), b.connect(c, 1)
		exec(c, one, "CREATE TABLE IF NOT EXISTS ronda (shard text)")
		exec(c, one, "INSERT INTO ronda VALUES ($1)", shard)
		exec(c, two, "SET cicadawalk.shard = '"+shard+"'")
		exec(c, two, "SET cicadawalk.sessionToken = '"+token(one)+"'")
		c.Assert(queryInt(c, two, "SELECT count(*) FROM ronda WHERE shard = $1", shard), qt.Equals, int64(1))
		tok, err := cwsession.ParseToken(token(one))
		c.Assert(err, qt.IsNil)
		for _, g := range []string{"rondas-1", "rondas-2", "rondas-3"} {
			if _, ok := tok.Mark(g); ok {
				used[g] = true
			}
		}
	}
	c.Assert(len(used) > 1, qt.IsTrue)
}

// An answer that comes after its caller was told that time ran out must not be
// given to the next caller on the same connection.
func TestLateAnswerIsNobodysElse(t *testing.T) {
	c := qt.New(t)
	contract := cwdemo.DefaultContract()
	contract.Connections, contract.StatementTimeout = 6, 300*time.Millisecond
	b := newBench(c, cwdemo.Options{Contract: contract})
	conn, other := b.connect(c, 0), b.connect(c, 0)
	for range 3 {
		_, err := conn.Exec(background, "SELECT pg_sleep(0.8)")
		pe := assertRefused(c, err, "40001")
		c.Assert(pe.Detail, qt.Contains, "notRun=true")
		for range 5 {
			c.Assert(queryInt(c, other, "SELECT 7"), qt.Equals, int64(7))
		}
	}
}

// Something between proxy and database loses track of the open connections. A
// statement there must end soon, say truly what became of it, and leave the
// others alone; a long statement looks the same and must not be cut.
func TestSilentConnections(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, cwdemo.Options{})
	exec(c, b.connect(c, 0), "CREATE TABLE ronda (id bigint)")
	silence := func() {
		for _, l := range b.links {
			l.Silence()
		}
	}
	c.Run("a long statement goes on", func(c *qt.C) {
		exec(c, b.connect(c, 0), "SELECT pg_sleep(2.2)")
	})
	c.Run("in a transaction", func(c *qt.C) {
		conn := b.connect(c, 0)
		exec(c, conn, "BEGIN")
		exec(c, conn, "INSERT INTO ronda VALUES (1)")
		silence()
		_, err := conn.Exec(background, "INSERT INTO ronda VALUES (2)")
		pe := assertRefused(c, err, "40001")
		c.Assert(pe.Detail, qt.Contains, "notRun=true")
		exec(c, conn, "ROLLBACK")
	})
	c.Run("idle in the pool, then a read and a write", func(c *qt.C) {
		conn := b.connect(c, 0)
		queryInt(c, conn, "SELECT count(*) FROM ronda")
		silence()
		<-time.After(600 * time.Millisecond)
		c.Assert(queryInt(c, conn, "SELECT count(*) FROM ronda WHERE id = 1"), qt.Equals, int64(0))
		exec(c, conn, "INSERT INTO ronda VALUES (3)")
	})
	c.Run("under a write", func(c *qt.C) {
		conn := b.connect(c, 0)
		exec(c, conn, "INSERT INTO ronda VALUES (4)")
		silence()
		_, err := conn.Exec(background, "INSERT INTO ronda VALUES (5)")
		assertRefused(c, err, "08007")
	})
}

// A clerk sees "canceling statement due to user request" and nobody canceled
// anything: his booking waited for a lock at a database that was just then put
// out of charge, which ends its sessions. He must be told what is true of his
// booking, and the next one must find the new primary.
func TestDatabasePutOutOfChargeUnderAWaitingWrite(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, cwdemo.Options{})
	holder, waiting, sleeping := b.connect(c, 0), b.connect(c, 0), b.connect(c, 1)
	exec(c, holder, "CREATE TABLE ronda (id bigint)")
	exec(c, sleeping, "BEGIN")
	slept := make(chan error)
	go func() {
		_, err := sleeping.Exec(background, "SELECT pg_sleep(8)")
		slept <- err
	}()
	exec(c, holder, "BEGIN")
	exec(c, holder, "INSERT INTO ronda VALUES (1)")
	done := make(chan error)
	go func() {
		_, err := waiting.Exec(background, "INSERT INTO ronda VALUES (2)")
		done <- err
	}()
	direct, err := pgx.Connect(background, cwdemo.URL(b.Databases[0].Addr()))
	c.Assert(err, qt.IsNil)
	defer direct.Close(background)
	<-time.After(100 * time.Millisecond)
	exec(c, direct, "SELECT * FROM group_adopt(2, 'somebody')", pgx.QueryExecModeSimpleProtocol)
	// Either the lock came first, and the database refused the write, which then
	// ran at the new primary; or the end of the session did.
	want := int64(2)
	if err := <-done; err != nil {
		assertRefused(c, err, "08007")
		want = 1
	}
	c.Assert(assertRefused(c, <-slept, "40001").Detail, qt.Contains, "notRun=true")
	_, err = holder.Exec(background, "COMMIT")
	c.Assert(err, qt.IsNotNil)
	exec(c, b.connect(c, 1), "INSERT INTO ronda VALUES (3)")
	c.Assert(queryInt(c, b.connect(c, 0), "SELECT count(*) FROM ronda"), qt.Equals, want)
}
