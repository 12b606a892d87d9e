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

func startPair(c *qt.C) (primary, replica *RunningMember) {
	primary = startMember(c, Config{ID: "a", Primary: true})
	replica = startMember(c, Config{ID: "b", PrimaryAddr: primary.Addr(), PrimaryID: "a"})
	return primary, replica
}

func startMember(c *qt.C, cfg Config) *RunningMember {
	cfg.Listen, cfg.MaxConnections, cfg.Slots, cfg.ChecksTerm = "127.0.0.1:0", 20, 3, true
	m, err := Start(cfg)
	c.Assert(err, qt.IsNil)
	c.Cleanup(m.Stop)
	return m
}

func dial(c *qt.C, m *RunningMember) *pgx.Conn {
	conn, err := pgx.Connect(context.Background(), "postgres://u@"+m.Addr()+"/db?sslmode=disable")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func waitFor(c *qt.C, description string, condition func() bool) {
	for range 500 {
		if condition() {
			return
		}
		<-time.After(5 * time.Millisecond)
	}
	c.Fatalf("%s did not happen", description)
}

func assertSQLState(c *qt.C, err error, code string) {
	c.Helper()
	var pe *pgconn.PgError
	c.Assert(err, qt.ErrorAs, &pe)
	c.Assert(pe.Code, qt.Equals, code)
}

func TestPgxDriver(t *testing.T) {
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
	assertSQLState(c, err, "23505")
	_, err = conn.Exec(ctx, "SELECT * FROM absent")
	assertSQLState(c, err, "42P01")
	_, err = conn.Exec(ctx, "SELEC 1")
	assertSQLState(c, err, "42601")

	waitFor(c, "replication", func() bool { return replica.Status().Applied == primary.Status().Durable })
	rc := dial(c, replica)
	c.Assert(rc.QueryRow(ctx, "SELECT count(*) FROM round").Scan(&n), qt.IsNil)
	c.Assert(n, qt.Equals, int64(2))
	_, err = rc.Exec(ctx, "DELETE FROM round")
	assertSQLState(c, err, "25006")
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
	assertSQLState(c, err, "23505")
	_, err = tx.Exec(ctx, "SELECT 1")
	assertSQLState(c, err, "25P02")
	c.Assert(tx.Rollback(ctx), qt.IsNil)
	c.Assert(other.QueryRow(ctx, "SELECT count(*) FROM round").Scan(&n), qt.IsNil)
	c.Assert(n, qt.Equals, int64(0))
}

// Guards against a replaced primary that rejoins the group and keeps records that
// no replica has: its clients would read a record that was never acknowledged,
// and later see it disappear. Such a record remains when a replica is promoted
// before it has received the end of the old primary's log.
func TestRejoiningPrimaryTruncatesItsLog(t *testing.T) {
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

	_, err = replica.adoptTerm(2, "x")
	c.Assert(err, qt.IsNil)
	_, err = replica.promote(ctx, 2, "x")
	c.Assert(err, qt.IsNil)
	_, err = primary.followPrimary(2, "x", "b", replica.Addr())
	c.Assert(err, qt.IsNil)
	waitFor(c, "truncation of the old primary's log", func() bool { return primary.Status().Applied == replica.Status().Durable })
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
		{"unreplicated records of an old term", log(1, 1, 2), log(1, 1, 1, 1), 2},
		{"abandoned branch in between", log(1, 3, 3), log(1, 2, 2), 1},
		{"equal", log(1, 2), log(1, 2), 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			req := streamRequest{Last: cwgroup.LogIndex(len(tc.replica)), Epochs: epochsOf(tc.replica)}
			qt.Assert(t, commonPrefix(tc.primary, req), qt.Equals, tc.want)
		})
	}
}
