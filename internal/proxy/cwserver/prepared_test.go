package cwserver_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgconn"

	"cicadawalk.example/cicadawalk/internal/standin/cwlink"
	"cicadawalk.example/cicadawalk/internal/tool/cwdemo"
)

// Guards against a session that can never run a statement again: its first attempt
// is refused as not run, and each retry because the prepared statement already
// exists (42P05).
func TestRefusedStatementCanBePreparedAgain(t *testing.T) {
	c := qt.New(t)
	b := startProxies(c, cwdemo.Options{})
	conn := b.connect(c, 0)
	query := func() error {
		var n int
		return conn.QueryRow(testContext, "SELECT 1").Scan(&n)
	}
	setFaults := func(faults cwlink.Faults) {
		for _, l := range b.links {
			l.SetFaults(faults)
		}
	}
	setFaults(cwlink.Faults{Refuse: true})
	// Deallocate after each success, so that the refused attempt has to prepare the
	// statement.
	for end := time.Now().Add(10 * time.Second); query() == nil; {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("nothing is refused"))
		c.Assert(conn.DeallocateAll(testContext), qt.IsNil)
	}
	setFaults(cwlink.Faults{})
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		err := query()
		if err == nil {
			return
		}
		var pe *pgconn.PgError
		c.Assert(errors.As(err, &pe), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(pe.Code, qt.Not(qt.Equals), "42P05", qt.Commentf("%s", pe.Message))
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("still refused: %v", err))
	}
}
