package cwdemo

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
)

// A session that moves to another proxy with its token must read its own write there.
func TestReadOwnWriteAcrossProxies(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	b, err := Start(Options{Proxies: 2})
	c.Assert(err, qt.IsNil)
	c.Cleanup(b.Stop)
	conn, err := pgx.Connect(ctx, b.URL(0))
	c.Assert(err, qt.IsNil)
	_, err = conn.Exec(ctx, "CREATE TABLE ronda (id bigint PRIMARY KEY, gate text)")
	c.Assert(err, qt.IsNil)
	_, err = conn.Exec(ctx, "INSERT INTO ronda VALUES ($1, $2)", 1, "north")
	c.Assert(err, qt.IsNil)
	token := conn.PgConn().ParameterStatus("cicadawalk.sessionToken")
	c.Assert(token, qt.Not(qt.Equals), "")
	cfg, err := pgx.ParseConfig(b.URL(1))
	c.Assert(err, qt.IsNil)
	cfg.RuntimeParams["cicadawalk.sessionToken"] = token
	other, err := pgx.ConnectConfig(ctx, cfg)
	c.Assert(err, qt.IsNil)
	var gate string
	c.Assert(other.QueryRow(ctx, "SELECT gate FROM ronda WHERE id = $1", 1).Scan(&gate), qt.IsNil)
	c.Assert(gate, qt.Equals, "north")
	_ = conn.Close(ctx)
	_ = other.Close(ctx)
}
