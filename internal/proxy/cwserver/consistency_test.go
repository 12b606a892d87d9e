package cwserver_test

import (
	"context"
	"fmt"
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

// Guards against stale reads after a client reconnects through another proxy,
// while the replicas lag by 400 ms. The second proxy must return the client's own
// writes with or without a session token.
func TestReadYourWritesThroughAnotherProxy(t *testing.T) {
	c := qt.New(t)
	b := startProxies(c, cwdemo.Options{})
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
	c.Run("invalid token", func(c *qt.C) {
		for _, bad := range []string{"x", "cw1.", "cw1.AAAA", strings.Repeat("a", 5000), token(conn) + "x"} {
			_, err := b.tryConnect(1, "cicadawalk.sessionToken", bad)
			assertRefused(c, err, "22023")
		}
	})
}

// Guards against a read that waits forever: a forged token names a log position
// far beyond the end of the group's log. It must be refused.
func TestTokenAheadOfGroupIsRefused(t *testing.T) {
	c := qt.New(t)
	b := startProxies(c, cwdemo.Options{})
	conn := b.connect(c, 0)
	exec(c, conn, "CREATE TABLE ronda (id bigint PRIMARY KEY)")
	forged := forgeToken(c, "rondas-1", cwgroup.LogPosition{Term: 9, Index: 1 << 40})
	reader := b.connect(c, 1, "cicadawalk.sessionToken", forged)
	began := time.Now()
	_, err := reader.Exec(testContext, "SELECT count(*) FROM ronda")
	assertRefused(c, err, "22023")
	c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue)
}

// A CancelRequest must end its statement and no other one. Guards against a late
// cancel request that hits the next client on the same pooled connection.
func TestCancel(t *testing.T) {
	c := qt.New(t)
	b := startProxies(c, cwdemo.Options{})
	conn, other := b.connect(c, 0), b.connect(c, 0)
	ctx, cancel := context.WithCancel(testContext)
	go func() {
		<-time.After(100 * time.Millisecond)
		_ = conn.PgConn().CancelRequest(testContext)
	}()
	_, err := conn.Exec(ctx, "SELECT pg_sleep(20)")
	cancel()
	assertRefused(c, err, "57014")
	c.Assert(queryInt(c, conn, "SELECT 1"), qt.Equals, int64(1))
	for range 20 {
		_ = conn.PgConn().CancelRequest(testContext)
		c.Assert(queryInt(c, other, "SELECT 1"), qt.Equals, int64(1))
	}
	c.Run("through another proxy", func(c *qt.C) {
		go func() {
			<-time.After(100 * time.Millisecond)
			c.Check(cancelAt(b.Proxies[1].Addr(), conn.PgConn()), qt.IsNil)
		}()
		_, err := conn.Exec(testContext, "SELECT pg_sleep(20)")
		assertRefused(c, err, "57014")
	})
}

// cancelAt sends a CancelRequest for the session of pc to the proxy at addr.
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

// Guards against a response that reaches the wrong client: eight clients share a
// small connection pool, and each must get the response to its own query.
func TestEachClientGetsItsOwnResponse(t *testing.T) {
	c := qt.New(t)
	contract := cwdemo.DefaultContract()
	contract.Connections = 6
	b := startProxies(c, cwdemo.Options{Contract: contract})
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
				err := conn.QueryRow(testContext, "SELECT CAST($1 AS text)", want).Scan(&got)
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

// The records of a service are distributed over three groups by shard. Guards
// against proxies that select different groups for a shard, so that a record is
// not found through another proxy.
func TestShards(t *testing.T) {
	c := qt.New(t)
	b := startProxies(c, cwdemo.Options{Groups: 3})
	conn := b.connect(c, 0)
	_, err := conn.Exec(testContext, "SELECT 1")
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
			if _, ok := tok.Position(g); ok {
				used[g] = true
			}
		}
	}
	c.Assert(len(used) > 1, qt.IsTrue)
}

// Guards against a response that arrives after its statement timed out and is then
// given to the next client on the same pooled connection.
func TestLateResponseReachesNoOtherClient(t *testing.T) {
	c := qt.New(t)
	contract := cwdemo.DefaultContract()
	contract.Connections, contract.StatementTimeout = 6, 300*time.Millisecond
	b := startProxies(c, cwdemo.Options{Contract: contract})
	conn, other := b.connect(c, 0), b.connect(c, 0)
	for range 3 {
		_, err := conn.Exec(testContext, "SELECT pg_sleep(0.8)")
		pe := assertRefused(c, err, "40001")
		c.Assert(pe.Detail, qt.Contains, "notRun=true")
		for range 5 {
			c.Assert(queryInt(c, other, "SELECT 7"), qt.Equals, int64(7))
		}
	}
}

// A device between proxy and database drops the state of open connections, which
// then go silent. A statement on such a connection must end soon with an error
// that states its outcome correctly, and other statements must not be affected. A
// long statement looks the same to the proxy and must not be ended.
func TestSilentConnections(t *testing.T) {
	c := qt.New(t)
	b := startProxies(c, cwdemo.Options{})
	exec(c, b.connect(c, 0), "CREATE TABLE ronda (id bigint)")
	silence := func() {
		for _, l := range b.links {
			l.SilenceConnections()
		}
	}
	c.Run("a long statement is not ended", func(c *qt.C) {
		exec(c, b.connect(c, 0), "SELECT pg_sleep(2.2)")
	})
	c.Run("a large statement in transit is not ended", func(c *qt.C) {
		conn := b.connect(c, 0)
		exec(c, conn, "CREATE TABLE parte (id bigint, note text)")
		for _, l := range b.links {
			l.SetFaults(cwlink.Faults{Delay: 60 * time.Millisecond})
		}
		exec(c, conn, "INSERT INTO parte VALUES ($1, $2)", 1, strings.Repeat("x", 1<<20))
		for _, l := range b.links {
			l.SetFaults(cwlink.Faults{})
		}
	})
	c.Run("in a transaction", func(c *qt.C) {
		conn := b.connect(c, 0)
		exec(c, conn, "BEGIN")
		exec(c, conn, "INSERT INTO ronda VALUES (1)")
		silence()
		_, err := conn.Exec(testContext, "INSERT INTO ronda VALUES (2)")
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
		_, err := conn.Exec(testContext, "INSERT INTO ronda VALUES (5)")
		assertRefused(c, err, "08007")
	})
}

// Guards against the misleading error "canceling statement due to user request"
// when a write waits for a lock at a primary that is demoted, which ends its
// sessions. The client must be told the outcome of its write, and the next write
// must run at the new primary.
func TestDemotionUnderAWaitingWrite(t *testing.T) {
	c := qt.New(t)
	b := startProxies(c, cwdemo.Options{})
	holder, waiting, sleeping := b.connect(c, 0), b.connect(c, 0), b.connect(c, 1)
	exec(c, holder, "CREATE TABLE ronda (id bigint)")
	exec(c, sleeping, "BEGIN")
	slept := make(chan error)
	go func() {
		_, err := sleeping.Exec(testContext, "SELECT pg_sleep(8)")
		slept <- err
	}()
	exec(c, holder, "BEGIN")
	exec(c, holder, "INSERT INTO ronda VALUES (1)")
	done := make(chan error)
	go func() {
		_, err := waiting.Exec(testContext, "INSERT INTO ronda VALUES (2)")
		done <- err
	}()
	direct, err := pgx.Connect(testContext, cwdemo.URL(b.Databases[0].Addr()))
	c.Assert(err, qt.IsNil)
	defer direct.Close(testContext)
	<-time.After(100 * time.Millisecond)
	exec(c, direct, "SELECT * FROM group_adopt(2, 'somebody')", pgx.QueryExecModeSimpleProtocol)
	// If the write got the lock first, the database refused it and it then ran at
	// the new primary. If the session ended first, the outcome is unknown.
	want := int64(2)
	if err := <-done; err != nil {
		assertRefused(c, err, "08007")
		want = 1
	}
	c.Assert(assertRefused(c, <-slept, "40001").Detail, qt.Contains, "notRun=true")
	_, err = holder.Exec(testContext, "COMMIT")
	c.Assert(err, qt.IsNotNil)
	exec(c, b.connect(c, 1), "INSERT INTO ronda VALUES (3)")
	c.Assert(queryInt(c, b.connect(c, 0), "SELECT count(*) FROM ronda"), qt.Equals, want)
}

// Guards against a write that is reported as successful and only then as failed,
// because a long response was streamed to the client before a majority had
// acknowledged the write.
func TestNoSuccessBeforeAcknowledgement(t *testing.T) {
	c := qt.New(t)
	contract := cwdemo.DefaultContract()
	contract.AckTimeout = 200 * time.Millisecond
	b := startProxies(c, cwdemo.Options{Contract: contract})
	exec(c, b.connect(c, 0), "CREATE TABLE ronda (note text)")
	b.Databases[0].SetFaults(cwdatabase.Faults{NoReplication: true})
	nc, err := net.Dial("tcp", b.Proxies[0].Addr())
	c.Assert(err, qt.IsNil)
	defer nc.Close()
	f := pgproto3.NewFrontend(nc, nc)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u", "database": cwdemo.ServiceName}})
	f.Send(&pgproto3.Query{String: "INSERT INTO ronda VALUES ('" + strings.Repeat("x", 9<<20) + "') RETURNING note"})
	c.Assert(f.Flush(), qt.IsNil)
	for ready := 0; ready < 2; {
		m, err := f.Receive()
		c.Assert(err, qt.IsNil)
		switch m := m.(type) {
		case *pgproto3.CommandComplete:
			c.Fatalf("got %s before the acknowledgement", m.CommandTag)
		case *pgproto3.ErrorResponse:
			c.Assert(m.Code, qt.Equals, "08007")
		case *pgproto3.ReadyForQuery:
			ready++
		}
	}
}
