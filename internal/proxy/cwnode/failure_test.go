package cwnode_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/standin/cwdatabase"
	"cicadawalk.example/cicadawalk/internal/standin/cwlink"
	"cicadawalk.example/cicadawalk/internal/standin/cwtable"
	"cicadawalk.example/cicadawalk/internal/tool/cwdemo"
	"cicadawalk.example/cicadawalk/internal/tool/cwload"
	"cicadawalk.example/cicadawalk/internal/wire/cwstore"
)

// A casero's acknowledged round is gone after the primary dies: it had
// committed there and on no replica. Callers roam and write while each failure
// happens; nothing that was acknowledged may be missing, doubled or stale.
func TestLedgerUnderFailure(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(b *bench)
	}{
		{"primary killed", func(b *bench) { b.Databases[0].Stop() }},
		{"primary killed while both replicas are behind", func(b *bench) {
			for _, d := range b.Databases[1:] {
				d.SetFaults(cwdatabase.Faults{StreamLag: 150 * time.Millisecond})
			}
			b.Databases[0].Stop()
		}},
		{"primary frozen, then back", func(b *bench) {
			b.Databases[0].SetFaults(cwdatabase.Faults{Frozen: true})
			time.AfterFunc(1500*time.Millisecond, func() { b.Databases[0].SetFaults(cwdatabase.Faults{}) })
		}},
		{"primary cut off from its replicas", func(b *bench) {
			b.Databases[0].SetFaults(cwdatabase.Faults{NoReplication: true})
		}},
		{"primary killed, back with its tail", func(b *bench) {
			b.Databases[0].Stop()
			time.AfterFunc(1200*time.Millisecond, func() { _ = b.Databases[0].Restart() })
		}},
		{"two primaries killed, the first back", func(b *bench) {
			b.Databases[0].Stop()
			time.AfterFunc(1200*time.Millisecond, func() { _ = b.Databases[0].Restart() })
			time.AfterFunc(2000*time.Millisecond, func() {
				if i := b.PrimaryIndex(); i > 0 {
					b.Databases[i].Stop()
				}
			})
		}},
		{"path to the primary silent for open connections", func(b *bench) { b.links[0].SilenceConnections() }},
		{"all paths silent for open connections", func(b *bench) {
			for _, l := range b.links {
				l.SilenceConnections()
			}
		}},
		{"path to the primary cut", func(b *bench) { b.links[0].SetFaults(cwlink.Faults{Cut: true}) }},
		{"table down and primary killed", func(b *bench) {
			b.Platform.SetFaults(cwtable.Faults{Down: true})
			b.Databases[0].Stop()
		}},
		{"table slow, its answer lost, and primary killed", func(b *bench) {
			b.Platform.SetFaults(cwtable.Faults{Delay: 50 * time.Millisecond, LoseCommitAnswers: 3})
			b.Databases[0].Stop()
		}},
		{"answers of commits lost", func(b *bench) {
			b.Databases[0].SetFaults(cwdatabase.Faults{LoseCommitAnswers: 10})
		}},
		{"connections broken before the commit", func(b *bench) {
			b.Databases[0].SetFaults(cwdatabase.Faults{DropBeforeCommit: 10})
		}},
		{"a proxy stopped", func(b *bench) { _ = b.Proxies[1].Stop() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c, b := newBench(t, cwdemo.Options{})
			assertKept(c, b.load(c, 4*time.Second, nil, func() { tc.fault(b) }))
		})
	}
}

// Guards against a load that ends with its first statement, which was refused as not run.
func TestLoadComesBackWhenItIsTold(t *testing.T) {
	t.Parallel()
	c, b := newBench(t, cwdemo.Options{})
	for _, l := range b.links {
		l.SetFaults(cwlink.Faults{Refuse: true})
	}
	time.AfterFunc(2*time.Second, func() {
		for _, l := range b.links {
			l.SetFaults(cwlink.Faults{})
		}
	})
	assertKept(c, b.load(c, time.Second, nil, func() {}))
}

// An operator asks the next day why another database is in charge. The audit
// trail must say what the proxies did by themselves.
func TestFailoverStandsInTheAuditTrail(t *testing.T) {
	t.Parallel()
	c, b := newBench(t, cwdemo.Options{})
	b.Databases[0].Stop()
	var acts []cwstore.Act
	waitFor(c, "the act being recorded", func() bool {
		acts, _ = b.store().Acts(background)
		return len(acts) > 0
	})
	c.Assert(acts[0].Kind, qt.Equals, "primaryChanged")
	c.Assert(acts[0].Before, qt.Equals, "libro-1 term 1")
	c.Assert(acts[0].After, qt.Matches, "libro-[23] term 2")
}

// The same without request keys: an answer that is lost must say that the
// outcome is unknown, and "not run" must be true.
func TestLedgerWithoutKeys(t *testing.T) {
	t.Parallel()
	c, b := newBench(t, cwdemo.Options{})
	rep := b.load(c, 4*time.Second, func(p *cwload.Plan) { p.RequestKeys, p.DropToken = false, true }, func() {
		b.Databases[0].SetFaults(cwdatabase.Faults{LoseCommitAnswers: 5})
		time.AfterFunc(time.Second, b.Databases[0].Stop)
	})
	assertKept(c, rep)
	c.Assert(rep.Unknown > 0, qt.IsTrue)
}

// A booking's answer is lost on the way; the clerk sends it again through
// another proxy, and two low-loaders set out. With a request key the second
// answer is the first one's, and the booking is there once.
func TestRequestKey(t *testing.T) {
	t.Parallel()
	c, b := newBench(t, cwdemo.Options{})
	one, two := b.connect(c, 0), b.connect(c, 1)
	exec(c, one, "CREATE TABLE booking (id bigint, crusher text)")
	count := func(c *qt.C, id int) int64 {
		return queryInt(c, b.connect(c, 0), "SELECT count(*) FROM booking WHERE id = $1", id)
	}
	c.Run("sent twice through two proxies", func(c *qt.C) {
		for _, conn := range []int{0, 1} {
			conn := b.connect(c, conn)
			setKey(c, conn, "k1")
			c.Assert(queryInt(c, conn, "INSERT INTO booking VALUES (1, 'jaw') RETURNING id"), qt.Equals, int64(1))
		}
		c.Assert(count(c, 1), qt.Equals, int64(1))
	})
	c.Run("the answer of the commit is lost", func(c *qt.C) {
		setKey(c, one, "k2")
		b.Databases[0].SetFaults(cwdatabase.Faults{LoseCommitAnswers: 1})
		exec(c, one, "INSERT INTO booking VALUES ($1, 'cone')", 2)
		c.Assert(count(c, 2), qt.Equals, int64(1))
	})
	c.Run("the connection breaks before the commit", func(c *qt.C) {
		setKey(c, one, "k3")
		b.Databases[0].SetFaults(cwdatabase.Faults{DropBeforeCommit: 1})
		_, err := one.Exec(background, "INSERT INTO booking VALUES ($1, 'cone')", 3)
		assertNotRun(c, err)
		c.Assert(count(c, 3), qt.Equals, int64(0))
		setKey(c, two, "k3")
		exec(c, two, "INSERT INTO booking VALUES ($1, 'cone')", 3)
		c.Assert(count(c, 3), qt.Equals, int64(1))
	})
	c.Run("the same key with another statement", func(c *qt.C) {
		setKey(c, two, "k1")
		_, err := two.Exec(background, "INSERT INTO booking VALUES (9, 'jaw') RETURNING id")
		assertCode(c, err, "23505")
		c.Assert(count(c, 9), qt.Equals, int64(0))
	})
	c.Run("the same key at once through two proxies", func(c *qt.C) {
		var wg sync.WaitGroup
		for i := range 6 {
			conn := b.connect(c, i%2)
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, _ = conn.Exec(background, "SET cicadawalk.requestKey = 'k5'")
				_, _ = conn.Exec(background, "INSERT INTO booking VALUES ($1, 'jaw')", 5)
			}()
		}
		wg.Wait()
		c.Assert(count(c, 5), qt.Equals, int64(1))
	})
	c.Run("a statement that fails leaves the key unused", func(c *qt.C) {
		setKey(c, one, "k6")
		_, err := one.Exec(background, "INSERT INTO absent VALUES (1)")
		assertCode(c, err, "42P01")
		setKey(c, one, "k6")
		exec(c, one, "INSERT INTO booking VALUES ($1, 'jaw')", 6)
		c.Assert(count(c, 6), qt.Equals, int64(1))
	})
	c.Run("a transaction", func(c *qt.C) {
		for i := range 2 {
			conn := b.connect(c, i)
			setKey(c, conn, "k7")
			_, err := conn.Exec(background, "BEGIN")
			if i == 1 {
				assertCode(c, err, "23505")
				continue
			}
			c.Assert(err, qt.IsNil)
			exec(c, conn, "INSERT INTO booking VALUES ($1, 'jaw')", 7)
			exec(c, conn, "COMMIT")
		}
		c.Assert(count(c, 7), qt.Equals, int64(1))
	})
	c.Run("a key that looks like a placeholder or has quotes", func(c *qt.C) {
		for i, key := range []string{"a$2", "$1$2$3", "it''s", "x'';--"} {
			for range 2 {
				conn := b.connect(c, 0)
				setKey(c, conn, key)
				exec(c, conn, "INSERT INTO booking VALUES ($1, 'jaw')", 20+i)
			}
			c.Assert(count(c, 20+i), qt.Equals, int64(1))
		}
	})
	c.Run("an answer too long to be recorded", func(c *qt.C) {
		for i, size := range []int{100 << 10, 9 << 20} {
			conn := b.connect(c, 0)
			setKey(c, conn, fmt.Sprint("long", i))
			_, err := conn.Exec(background, "INSERT INTO booking VALUES (12, $1) RETURNING crusher", strings.Repeat("x", size))
			assertNotRun(c, err)
			assertCode(c, err, "54000")
			c.Assert(count(c, 12), qt.Equals, int64(0))
		}
	})
	c.Run("a transaction whose COMMIT loses its answer", func(c *qt.C) {
		conn := b.connect(c, 0)
		setKey(c, conn, "k10")
		exec(c, conn, "BEGIN")
		exec(c, conn, "INSERT INTO booking VALUES ($1, 'jaw')", 10)
		b.Databases[0].SetFaults(cwdatabase.Faults{LoseCommitAnswers: 1})
		exec(c, conn, "COMMIT")
		c.Assert(count(c, 10), qt.Equals, int64(1))
	})
	c.Run("a transaction whose connection breaks at the COMMIT", func(c *qt.C) {
		conn := b.connect(c, 0)
		setKey(c, conn, "k11")
		exec(c, conn, "BEGIN")
		exec(c, conn, "INSERT INTO booking VALUES ($1, 'jaw')", 11)
		b.Databases[0].SetFaults(cwdatabase.Faults{DropBeforeCommit: 1})
		_, err := conn.Exec(background, "COMMIT")
		assertNotRun(c, err)
		c.Assert(count(c, 11), qt.Equals, int64(0))
		setKey(c, conn, "k11")
		exec(c, conn, "BEGIN")
		exec(c, conn, "INSERT INTO booking VALUES ($1, 'jaw')", 11)
		exec(c, conn, "COMMIT")
		c.Assert(count(c, 11), qt.Equals, int64(1))
	})
	c.Run("without a key the outcome is unknown", func(c *qt.C) {
		b.Databases[0].SetFaults(cwdatabase.Faults{LoseCommitAnswers: 1})
		_, err := one.Exec(background, "INSERT INTO booking VALUES ($1, 'jaw')", 8)
		assertCode(c, err, "08007")
	})
}

// Phones reconnect all at once and the database refuses connections, at worst
// those of a failover. Eight proxies that start together and retry together
// must stay within the target's limit, and tell callers when to come back.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	t.Parallel()
	contract := cwdemo.DefaultContract()
	contract.QueueLimit = 2
	contract.StatementTimeout = 2 * time.Second
	c, b := newBench(t, cwdemo.Options{Proxies: 8, Contract: contract, ListLag: 200 * time.Millisecond})
	exec(c, b.connect(c, 0), "CREATE TABLE ronda (id bigint)")
	for _, d := range b.Databases {
		d.SetFaults(cwdatabase.Faults{ServiceTime: 20 * time.Millisecond})
	}
	stop := make(chan struct{})
	most := make(chan int)
	go func() {
		high := 0
		for {
			select {
			case <-stop:
				most <- high
				return
			case <-time.After(time.Millisecond):
				for _, d := range b.Databases {
					high = max(high, d.Connections())
				}
			}
		}
	}()
	var wg sync.WaitGroup
	var mu sync.Mutex
	refused, ran := 0, 0
	for i := range 64 {
		conn := b.connect(c, i%8)
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 6 {
				_, err := conn.Exec(background, "INSERT INTO ronda VALUES (1)")
				mu.Lock()
				if err != nil {
					assertNotRun(c, err)
					refused++
				} else {
					ran++
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	close(stop)
	c.Assert(<-most <= contract.Connections, qt.IsTrue)
	c.Assert(refused > 0, qt.IsTrue)
	for _, d := range b.Databases {
		d.SetFaults(cwdatabase.Faults{})
	}
	c.Assert(queryInt(c, b.connect(c, 0), "SELECT count(*) FROM ronda"), qt.Equals, int64(ran))
}

// A hall is cut off: its proxy reaches one replica, neither the primary nor the
// platform. Owners who accept data of some age are served while it is that
// young, the others are told at once that their request was not run, and after
// the cut all goes on without anyone ordering it.
func TestDataCentreCutOff(t *testing.T) {
	t.Parallel()
	c, b := newBench(t, cwdemo.Options{})
	conn := b.connect(c, 0)
	exec(c, conn, "CREATE TABLE ronda (id bigint)")
	exec(c, conn, "INSERT INTO ronda VALUES (1)")
	aged := b.connect(c, 1, "cicadawalk.maxAge", "2500ms")
	c.Assert(queryInt(c, aged, "SELECT count(*) FROM ronda"), qt.Equals, int64(1))
	b.Platform.SetFaults(cwtable.Faults{Down: true})
	b.links[0].SetFaults(cwlink.Faults{Cut: true})
	b.links[2].SetFaults(cwlink.Faults{Cut: true})
	waitFor(c, "the cut being seen", func() bool { return b.Proxies[0].Status().Groups[0].State == "readsOnly" })
	c.Assert(queryInt(c, aged, "SELECT count(*) FROM ronda"), qt.Equals, int64(1))
	_, err := conn.Exec(background, "INSERT INTO ronda VALUES (2)")
	assertNotRun(c, err)
	waitFor(c, "the data growing too old", func() bool {
		_, err := aged.Exec(background, "SELECT count(*) FROM ronda")
		if err != nil {
			assertNotRun(c, err)
		}
		return err != nil
	})
	b.links[0].SetFaults(cwlink.Faults{})
	b.links[2].SetFaults(cwlink.Faults{})
	b.Platform.SetFaults(cwtable.Faults{})
	waitFor(c, "writes going on", func() bool {
		_, err := conn.Exec(background, "INSERT INTO ronda VALUES (3)")
		return err == nil
	})
	other := b.connect(c, 1)
	var n int64
	waitFor(c, "reads going on at the other proxy", func() bool {
		err := other.QueryRow(background, "SELECT count(*) FROM ronda").Scan(&n)
		if err != nil {
			assertNotRun(c, err)
		}
		return err == nil
	})
	c.Assert(n, qt.Equals, int64(2))
}

// Bookings stand still: no proxy reaches the primary any more, though its
// replicas still do. Eight proxies with four partners each must agree that a
// majority of them all has lost it.
func TestEightProxiesAgree(t *testing.T) {
	t.Parallel()
	c, b := newBench(t, cwdemo.Options{Proxies: 8})
	conn := b.connect(c, 0)
	exec(c, conn, "CREATE TABLE ronda (id bigint)")
	b.links[0].SetFaults(cwlink.Faults{Cut: true})
	waitFor(c, "another primary", func() bool { return b.PrimaryIndex() > 0 })
	waitFor(c, "writes going on", func() bool {
		_, err := conn.Exec(background, "INSERT INTO ronda VALUES (1)")
		return err == nil
	})
}
