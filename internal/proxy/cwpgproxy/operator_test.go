package cwpgproxy_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/standin/cwdatabase"
	"cicadawalk.example/cicadawalk/internal/standin/cwplatformserver"
	"cicadawalk.example/cicadawalk/internal/tool/cwdemo"
	"cicadawalk.example/cicadawalk/internal/wire/cwcataloguestore"
)

// Guards against lost updates of the catalogue. If two operators edit it concurrently,
// the second change must be refused with the name of the operator whose change came
// first. An accepted change must reach every proxy, including one that could not reach
// the platform, and must never be reverted.
func TestCatalogueChanges(t *testing.T) {
	t.Parallel()
	c, b := newTestCluster(t, cwdemo.Options{})
	store := b.store()
	base, err := store.Load(background)
	c.Assert(err, qt.IsNil)
	apply := func(cat cwcatalogue.Catalogue, who string, timeout time.Duration) error {
		e, _ := cat.Entry(cwdemo.ServiceName)
		e.Contract.StatementTimeout = timeout
		_, err := store.Apply(background, cat.WithEntry(e), cwcataloguestore.Change{ID: who, Who: who, At: time.Now(), Summary: []string{"changed the time limit"}})
		return err
	}
	inForce := func(rev uint64) func() bool {
		return func() bool {
			for _, p := range b.Proxies {
				if p.Revision() != rev {
					return false
				}
			}
			return true
		}
	}
	c.Run("concurrent changes", func(c *qt.C) {
		c.Assert(apply(base, "maria", 9*time.Second), qt.IsNil)
		err := apply(base, "jorge", 8*time.Second)
		var conflict *cwcataloguestore.ConflictError
		c.Assert(err, qt.ErrorAs, &conflict)
		c.Assert(conflict.Since[0].Who, qt.Equals, "maria")
		waitFor(c, "revision 2 everywhere", inForce(2))
	})
	c.Run("the table's answer is lost", func(c *qt.C) {
		cat, err := store.Load(background)
		c.Assert(err, qt.IsNil)
		b.Platform.SetFaults(cwplatformserver.Faults{LoseCommitAnswers: 1})
		c.Assert(apply(cat, "ana", 7*time.Second), qt.IsNil)
		history, err := store.History(background)
		c.Assert(err, qt.IsNil)
		c.Assert(history[len(history)-1].Who, qt.Equals, "ana")
		waitFor(c, "revision 3 everywhere", inForce(3))
	})
	c.Run("partners get only what changed", func(c *qt.C) {
		u, err := b.Proxies[0].CatalogueSince(2)
		c.Assert(err, qt.IsNil)
		c.Assert(u.Revision, qt.Equals, cwcatalogue.Revision(3))
		c.Assert(u.Changed, qt.HasLen, 1)
		c.Assert(u.Document, qt.HasLen, 0)
		u, err = b.Proxies[0].CatalogueSince(0)
		c.Assert(err, qt.IsNil)
		c.Assert(len(u.Document) > 0, qt.IsTrue)
	})
	c.Run("a proxy that started later", func(c *qt.C) {
		cat, err := store.Load(background)
		c.Assert(err, qt.IsNil)
		later, err := b.StartProxy(len(b.Proxies))
		c.Assert(err, qt.IsNil)
		waitFor(c, "readiness of the third proxy", later.Ready)
		c.Assert(apply(cat, "eva", 6*time.Second), qt.IsNil)
		waitFor(c, "revision 4 everywhere", inForce(4))
	})
	c.Run("the table is down", func(c *qt.C) {
		b.Platform.SetFaults(cwplatformserver.Faults{Down: true})
		p, err := b.StartProxy(len(b.Proxies))
		c.Assert(err, qt.IsNil)
		c.Assert(p.Ready(), qt.IsFalse)
		b.Platform.SetFaults(cwplatformserver.Faults{})
		waitFor(c, "readiness of the new proxy", p.Ready)
		c.Assert(p.Revision(), qt.Equals, uint64(4))
	})
}

// Guards against statements that still reach a database after its planned stop, and
// against transactions that are aborted by it. A planned stop of the primary promotes
// another member, and one of a replica moves its reads to others; neither interrupts a
// transaction.
func TestPlannedStop(t *testing.T) {
	for _, target := range []string{"libro-1", "libro-2"} {
		t.Run(target, func(t *testing.T) {
			t.Parallel()
			c, b := newTestCluster(t, cwdemo.Options{})
			id := cwgroup.MemberID(target)
			rep := b.runLoad(c, 7*time.Second, nil, func() {
				for range 2 { // two operators plan the same stop
					cat, err := b.store().Load(background)
					c.Check(err, qt.IsNil)
					if cat.HasPlannedStop(id) {
						continue
					}
					_, err = b.store().Apply(background, cat.WithPlannedStop(cwcatalogue.PlannedStop{Target: id, PlannedBy: "ana"}),
						cwcataloguestore.Change{ID: fmt.Sprint(time.Now()), Who: "ana", At: time.Now()})
					c.Check(err, qt.IsNil)
				}
			})
			assertGuarantees(c, rep)
			c.Check(rep.Unknown, qt.Equals, 0)
			c.Check(b.Databases[b.PrimaryIndex()].Status().Member, qt.Not(qt.Equals), id)
			busy := func() int {
				n := 0
				for _, p := range b.Proxies {
					for _, s := range p.Status().Targets {
						if s.Target == target {
							n += s.Busy
						}
					}
				}
				return n
			}
			c.Check(busy(), qt.Equals, 0)
			acts, err := b.store().Actions(background)
			c.Assert(err, qt.IsNil)
			drained := 0
			for _, a := range acts {
				if a.Kind == "targetDrained" && a.Subject == target {
					drained++
				}
			}
			c.Check(drained, qt.Equals, len(b.Proxies))
		})
	}
}

// A proxy that shuts down lets transactions in progress end, refuses new callers, and
// closes idle sessions.
func TestProxyDrains(t *testing.T) {
	t.Parallel()
	c, b := newTestCluster(t, cwdemo.Options{})
	conn, idle := b.connect(c, 1), b.connect(c, 1)
	exec(c, conn, "CREATE TABLE ronda (id bigint)")
	exec(c, conn, "BEGIN")
	exec(c, conn, "INSERT INTO ronda VALUES (1)")
	done := make(chan error)
	go func() { done <- b.Proxies[1].Stop() }()
	waitFor(c, "the end of the idle session", func() bool { return idle.Ping(background) != nil })
	exec(c, conn, "INSERT INTO ronda VALUES (2)")
	exec(c, conn, "COMMIT")
	c.Assert(<-done, qt.IsNil)
	c.Assert(queryInt(c, b.connect(c, 0), "SELECT count(*) FROM ronda"), qt.Equals, int64(2))
}

// Guards against clients that are cut off in the middle of a statement when the time of a
// shutdown is over.
func TestShutdownAnswersStatementsInProgress(t *testing.T) {
	t.Parallel()
	c, b := newTestCluster(t, cwdemo.Options{DrainTimeout: 300 * time.Millisecond})
	reader, writer, idle := b.connect(c, 1), b.connect(c, 1), b.connect(c, 1)
	exec(c, reader, "CREATE TABLE ronda (id bigint)")
	exec(c, writer, "BEGIN")
	exec(c, writer, "INSERT INTO ronda VALUES (1)")
	exec(c, idle, "BEGIN")
	c.Assert(queryInt(c, idle, "SELECT count(*) FROM ronda"), qt.Equals, int64(0))
	answers := make(chan error, 2)
	for _, conn := range []*pgx.Conn{reader, writer} {
		go func() {
			_, err := conn.Exec(background, "SELECT pg_sleep(20)")
			answers <- err
		}()
	}
	time.Sleep(100 * time.Millisecond)
	c.Assert(b.Proxies[1].Stop(), qt.IsNil)
	assertNotRun(c, <-answers)
	assertNotRun(c, <-answers)
	_, err := idle.Exec(background, "COMMIT")
	assertCode(c, err, "57P01")
	c.Assert(queryInt(c, b.connect(c, 0), "SELECT count(*) FROM ronda"), qt.Equals, int64(0))
}

// Guards against a client that is cut off while its write, which has run, awaits the
// acknowledgement of another database.
func TestShutdownAnswersWriteWithoutAcknowledgement(t *testing.T) {
	t.Parallel()
	c, b := newTestCluster(t, cwdemo.Options{DrainTimeout: 300 * time.Millisecond})
	conn := b.connect(c, 1)
	exec(c, conn, "CREATE TABLE ronda (id bigint)")
	// Replicas that are found to be gone would have the write refused before it runs.
	b.Databases[0].SetFaults(cwdatabase.Faults{NoReplication: true})
	answer := make(chan error, 1)
	go func() {
		_, err := conn.Exec(background, "INSERT INTO ronda VALUES (1)")
		answer <- err
	}()
	time.Sleep(50 * time.Millisecond)
	c.Assert(b.Proxies[1].Stop(), qt.IsNil)
	assertCode(c, <-answer, "08007")
}

// Guards against cancel requests without effect: a load balancer may send the request
// to another proxy than the one that runs the statement. Whichever of eight proxies it
// reaches, the statement must be cancelled.
func TestCancelReachesItsProxy(t *testing.T) {
	t.Parallel()
	c, b := newTestCluster(t, cwdemo.Options{Proxies: 8})
	conn := b.connect(c, 0)
	buf, err := (&pgproto3.CancelRequest{ProcessID: conn.PgConn().PID(), SecretKey: conn.PgConn().SecretKey()}).Encode(nil)
	c.Assert(err, qt.IsNil)
	for _, p := range b.Proxies[1:] {
		timer := time.AfterFunc(50*time.Millisecond, func() {
			nc, err := net.Dial("tcp", p.Addr())
			if err == nil {
				_, _ = nc.Write(buf)
				_ = nc.Close()
			}
		})
		ctx, cancel := context.WithTimeout(background, 3*time.Second)
		_, err := conn.Exec(ctx, "SELECT pg_sleep(20)")
		cancel()
		timer.Stop()
		assertCode(c, err, "57014")
	}
}
