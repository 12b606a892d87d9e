package cwserver_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/tool/cwdemo"
)

// Clients that send malformed or oversized messages, or disconnect in the middle of
// a transaction or statement, must not affect other clients.
func TestMisbehavingClients(t *testing.T) {
	c := qt.New(t)
	b := startProxies(c, cwdemo.Options{})
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
		f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u", "database": cwdemo.ServiceName}})
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
	c.Run("disconnect in the middle of a transaction", func(c *qt.C) {
		nc, f := started(c)
		f.Send(&pgproto3.Query{String: "BEGIN; INSERT INTO ronda VALUES (1)"})
		c.Assert(f.Flush(), qt.IsNil)
		_, err := f.Receive()
		c.Assert(err, qt.IsNil)
		_ = nc.Close()
		exec(c, conn, "INSERT INTO ronda VALUES (2)")
		c.Assert(queryInt(c, conn, "SELECT count(*) FROM ronda WHERE id = 1"), qt.Equals, int64(0))
	})
	c.Run("disconnect before the response", func(c *qt.C) {
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

// Guards against a driver that hangs, at once or at its next statement, after it
// sends a Flush in the middle of a batch: the flushed part was answered, but the
// Sync that ends the batch never reached the database.
func TestFlush(t *testing.T) {
	c := qt.New(t)
	b := startProxies(c, cwdemo.Options{})
	exec(c, b.connect(c, 0), "CREATE TABLE ronda (id bigint PRIMARY KEY)")
	nc, err := net.Dial("tcp", b.Proxies[0].Addr())
	c.Assert(err, qt.IsNil)
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	f := pgproto3.NewFrontend(nc, nc)
	// sendAndReadUntil sends messages and reads responses up to one with the type
	// byte last. It returns the type bytes of the responses except ParameterStatus,
	// each ReadyForQuery followed by its transaction status.
	sendAndReadUntil := func(c *qt.C, last byte, msgs ...pgproto3.FrontendMessage) string {
		for _, m := range msgs {
			f.Send(m)
		}
		c.Assert(f.Flush(), qt.IsNil)
		var kinds []byte
		for {
			m, err := f.Receive()
			c.Assert(err, qt.IsNil)
			buf, err := m.Encode(nil)
			c.Assert(err, qt.IsNil)
			if buf[0] != 'S' {
				kinds = append(kinds, buf[0])
			}
			if z, ok := m.(*pgproto3.ReadyForQuery); ok {
				kinds = append(kinds, z.TxStatus)
			}
			if buf[0] == last {
				return string(kinds)
			}
		}
	}
	run := func(sql string) []pgproto3.FrontendMessage {
		return []pgproto3.FrontendMessage{&pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Execute{}}
	}
	flush, sync := &pgproto3.Flush{}, &pgproto3.Sync{}
	sendAndReadUntil(c, 'Z', &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u", "database": cwdemo.ServiceName}})
	for _, begin := range []bool{false, true} {
		c.Run(fmt.Sprintf("in a transaction %t", begin), func(c *qt.C) {
			idle, after := "ZI", "ZI"
			if begin {
				sendAndReadUntil(c, 'Z', &pgproto3.Query{String: "BEGIN"})
				idle, after = "ZT", "ZE"
			}
			c.Assert(sendAndReadUntil(c, 'C', append(run("SELECT 1"), flush)...), qt.Equals, "12DC")
			c.Assert(sendAndReadUntil(c, 'C', append(run("SELECT 2"), flush)...), qt.Equals, "12DC")
			c.Assert(sendAndReadUntil(c, 'Z', sync), qt.Equals, idle)
			c.Assert(sendAndReadUntil(c, 'E', append(run("SELECT * FROM absent"), flush)...), qt.Matches, "1?2?E")
			c.Assert(sendAndReadUntil(c, 'Z', append(run("SELECT 3"), sync)...), qt.Equals, after)
			c.Assert(sendAndReadUntil(c, 'E', append(run("SELECT * FROM absent"), flush)...), qt.Matches, "1?2?E")
			c.Assert(sendAndReadUntil(c, 'Z', sync), qt.Equals, after)
			if begin {
				c.Assert(sendAndReadUntil(c, 'Z', &pgproto3.Query{String: "ROLLBACK"}), qt.Equals, "CZI")
			}
			c.Assert(sendAndReadUntil(c, 'Z', &pgproto3.Query{String: "SELECT 4"}), qt.Equals, "TDCZI")
		})
	}
}
