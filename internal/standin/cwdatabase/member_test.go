package cwdatabase

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

func startPair(c *qt.C) (primary, replica *Running) {
	primary = startMember(c, Config{ID: "a", Primary: true})
	replica = startMember(c, Config{ID: "b", Follow: primary.Addr(), FollowID: "a"})
	return primary, replica
}

func startMember(c *qt.C, cfg Config) *Running {
	cfg.Listen, cfg.Connections, cfg.Slots, cfg.ChecksTerm = "127.0.0.1:0", 20, 3, true
	m, err := Start(cfg)
	c.Assert(err, qt.IsNil)
	c.Cleanup(m.Stop)
	return m
}

func dial(c *qt.C, m *Running) *pgx.Conn {
	conn, err := pgx.Connect(context.Background(), "postgres://u@"+m.Addr()+"/db?sslmode=disable")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func waitFor(c *qt.C, what string, ok func() bool) {
	for range 500 {
		if ok() {
			return
		}
		<-time.After(5 * time.Millisecond)
	}
	c.Fatalf("%s did not happen", what)
}

func assertState(c *qt.C, err error, code string) {
	c.Helper()
	var pe *pgconn.PgError
	c.Assert(err, qt.ErrorAs, &pe)
	c.Assert(pe.Code, qt.Equals, code)
}

func TestDriver(t *testing.T) {
	ctx := context.Background()
	c := qt.New(t)
	primary, replica := startPair(c)
	conn := dial(c, primary)
	_, err := conn.Exec(ctx, "CREATE TABLE round (id bigint PRIMARY KEY, gate text, open boolean, data bytea)")
	c.Assert(err, qt.IsNil)
	_, err = conn.Exec(ctx, "INSERT INTO round VALUES ($1, $2, $3, $4)", 7, "north", true, []byte{1, 2})
	c.Assert(err, qt.IsNil)
	var id, n int64
	var gate string
	var open bool
	var data []byte
	err = conn.QueryRow(ctx, "SELECT id, gate, open, data, count(*) FROM round WHERE id = $1", 7).Scan(&id, &gate, &open, &data, &n)
	c.Assert(err, qt.IsNil)
	c.Assert(fmt.Sprintf("%d %s %t %v %d", id, gate, open, data, n), qt.Equals, "7 north true [1 2] 1")
	err = conn.QueryRow(ctx, "INSERT INTO round VALUES (8, NULL, false, NULL) RETURNING id, gate").Scan(&id, new(*string))
	c.Assert(err, qt.IsNil)
	c.Assert(id, qt.Equals, int64(8))

	_, err = conn.Exec(ctx, "INSERT INTO round VALUES (8, 'x', false, NULL)")
	assertState(c, err, "23505")
	_, err = conn.Exec(ctx, "SELECT * FROM absent")
	assertState(c, err, "42P01")
	_, err = conn.Exec(ctx, "SELEC 1")
	assertState(c, err, "42601")

	waitFor(c, "replication", func() bool { return replica.Status().Applied == primary.Status().Durable })
	rc := dial(c, replica)
	c.Assert(rc.QueryRow(ctx, "SELECT count(*) FROM round").Scan(&n), qt.IsNil)
	c.Assert(n, qt.Equals, int64(2))
	_, err = rc.Exec(ctx, "DELETE FROM round")
	assertState(c, err, "25006")
}

func TestTransaction(t *testing.T) {
	ctx := context.Background()
	c := qt.New(t)
	primary, _ := startPair(c)
	conn, other := dial(c, primary), dial(c, primary)
	_, err := conn.Exec(ctx, "CREATE TABLE round (id bigint PRIMARY KEY)")
	c.Assert(err, qt.IsNil)
	tx, err := conn.Begin(ctx)
	c.Assert(err, qt.IsNil)
	_, err = tx.Exec(ctx, "INSERT INTO round VALUES (1)")
	c.Assert(err, qt.IsNil)
	var n int64
	c.Assert(other.QueryRow(ctx, "SELECT count(*) FROM round").Scan(&n), qt.IsNil)
	c.Assert(n, qt.Equals, int64(0))
	_, err = tx.Exec(ctx, "INSERT INTO round VALUES (1)")
	assertState(c, err, "23505")
	_, err = tx.Exec(ctx, "SELECT 1")
	assertState(c, err, "25P02")
	c.Assert(tx.Rollback(ctx), qt.IsNil)
	c.Assert(other.QueryRow(ctx, "SELECT count(*) FROM round").Scan(&n), qt.IsNil)
	c.Assert(n, qt.Equals, int64(0))
}

// A user sees a record that nobody acknowledged, and then sees it vanish: the
// primary was cut off with a record that no replica has, a replica was promoted,
// and the old primary came back. Its tail must be cut before it follows.
func TestOldPrimaryCutsItsTail(t *testing.T) {
	ctx := context.Background()
	c := qt.New(t)
	primary, replica := startPair(c)
	conn := dial(c, primary)
	_, err := conn.Exec(ctx, "CREATE TABLE round (id bigint PRIMARY KEY)")
	c.Assert(err, qt.IsNil)
	waitFor(c, "replication", func() bool { return replica.Status().Applied == primary.Status().Durable })
	replica.SetFaults(Faults{StreamLag: time.Hour})
	_, err = conn.Exec(ctx, "INSERT INTO round VALUES (1)")
	c.Assert(err, qt.IsNil)

	_, err = replica.adopt(2, "x")
	c.Assert(err, qt.IsNil)
	_, err = replica.promote(ctx, 2, "x")
	c.Assert(err, qt.IsNil)
	_, err = primary.followOrder(2, "x", "b", replica.Addr())
	c.Assert(err, qt.IsNil)
	waitFor(c, "the tail being cut", func() bool { return primary.Status().Applied == replica.Status().Durable })
	var n int64
	c.Assert(dial(c, primary).QueryRow(ctx, "SELECT count(*) FROM round").Scan(&n), qt.IsNil)
	c.Assert(n, qt.Equals, int64(0))
}

func TestCommonPrefix(t *testing.T) {
	log := func(terms ...cwgroup.Term) (out []record) {
		for _, t := range terms {
			out = append(out, record{Term: t})
		}
		return out
	}
	for _, tc := range []struct {
		name             string
		primary, replica []record
		want             cwgroup.LogIndex
	}{
		{"empty replica", log(1, 1), log(), 0},
		{"behind", log(1, 1, 1), log(1, 1), 2},
		{"tail of an old term", log(1, 1, 2), log(1, 1, 1, 1), 2},
		{"dead branch in between", log(1, 3, 3), log(1, 2, 2), 1},
		{"equal", log(1, 2), log(1, 2), 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			req := streamRequest{Last: cwgroup.LogIndex(len(tc.replica)), Epochs: epochsOf(tc.replica)}
			qt.Assert(t, commonPrefix(tc.primary, req), qt.Equals, tc.want)
		})
	}
}
