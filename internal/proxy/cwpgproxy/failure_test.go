package cwpgproxy_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/standin/cwdatabase"
	"cicadawalk.example/cicadawalk/internal/standin/cwlink"
	"cicadawalk.example/cicadawalk/internal/standin/cwplatformserver"
	"cicadawalk.example/cicadawalk/internal/tool/cwdemo"
	"cicadawalk.example/cicadawalk/internal/tool/cwload"
	"cicadawalk.example/cicadawalk/internal/wire/cwcataloguestore"
)

// Guards against the loss of acknowledged writes, for example of one that was committed
// at the primary and at no replica before the primary failed. Callers switch proxies
// and write during each failure. No acknowledged write may be lost, duplicated or missing
// in its session's own reads.
func TestAcknowledgedWritesUnderFailure(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(b *testCluster)
	}{
		{"primary killed", func(b *testCluster) { b.Databases[0].Stop() }},
		{"primary killed while both replicas lag", func(b *testCluster) {
			for _, d := range b.Databases[1:] {
				d.SetFaults(cwdatabase.Faults{StreamLag: 150 * time.Millisecond})
			}
			b.Databases[0].Stop()
		}},
		{"primary frozen, then resumed", func(b *testCluster) {
			b.Databases[0].SetFaults(cwdatabase.Faults{Frozen: true})
			time.AfterFunc(1500*time.Millisecond, func() { b.Databases[0].SetFaults(cwdatabase.Faults{}) })
		}},
		{"primary cut off from its replicas", func(b *testCluster) {
			b.Databases[0].SetFaults(cwdatabase.Faults{NoReplication: true})
		}},
		{"primary killed, then restarted with unreplicated records", func(b *testCluster) {
			b.Databases[0].Stop()
			time.AfterFunc(1200*time.Millisecond, func() { _ = b.Databases[0].Restart() })
		}},
		{"two primaries killed, the first restarted", func(b *testCluster) {
			b.Databases[0].Stop()
			time.AfterFunc(1200*time.Millisecond, func() { _ = b.Databases[0].Restart() })
			time.AfterFunc(2000*time.Millisecond, func() {
				if i := b.PrimaryIndex(); i > 0 {
					b.Databases[i].Stop()
				}
			})
		}},
		{"open connections to the primary deliver nothing", func(b *testCluster) { b.links[0].SilenceConnections() }},
		{"open connections to all databases deliver nothing", func(b *testCluster) {
			for _, l := range b.links {
				l.SilenceConnections()
			}
		}},
		{"network to the primary cut", func(b *testCluster) { b.links[0].SetFaults(cwlink.Faults{Cut: true}) }},
		{"table down and primary killed", func(b *testCluster) {
			b.Platform.SetFaults(cwplatformserver.Faults{Down: true})
			b.Databases[0].Stop()
		}},
		{"table slow, its answer lost, and primary killed", func(b *testCluster) {
			b.Platform.SetFaults(cwplatformserver.Faults{Delay: 50 * time.Millisecond, LoseCommitAnswers: 3})
			b.Databases[0].Stop()
		}},
		{"answers of commits lost", func(b *testCluster) {
			b.Databases[0].SetFaults(cwdatabase.Faults{LoseCommitAnswers: 10})
		}},
		{"connections broken before the commit", func(b *testCluster) {
			b.Databases[0].SetFaults(cwdatabase.Faults{DropBeforeCommit: 10})
		}},
		{"a proxy stopped", func(b *testCluster) { _ = b.Proxies[1].Stop() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c, b := newTestCluster(t, cwdemo.Options{})
			assertGuarantees(c, b.runLoad(c, 4*time.Second, nil, func() { tc.fault(b) }))
		})
	}
}

// Guards against a load generator that stops when its first statement is refused as
// not run, instead of retrying it after the given time.
func TestLoadRetriesAfterRefusal(t *testing.T) {
	t.Parallel()
	c, b := newTestCluster(t, cwdemo.Options{})
	for _, l := range b.links {
		l.SetFaults(cwlink.Faults{Refuse: true})
	}
	time.AfterFunc(2*time.Second, func() {
		for _, l := range b.links {
			l.SetFaults(cwlink.Faults{})
		}
	})
	assertGuarantees(c, b.runLoad(c, time.Second, nil, func() {}))
}

// The audit trail shows each change of primary that the proxies made on their own, with
// the primary and term before and after.
func TestFailoverIsRecordedInTheAuditTrail(t *testing.T) {
	t.Parallel()
	c, b := newTestCluster(t, cwdemo.Options{})
	b.Databases[0].Stop()
	var acts []cwcataloguestore.Action
	waitFor(c, "an entry in the audit trail", func() bool {
		acts, _ = b.store().Actions(background)
		return len(acts) > 0
	})
	c.Assert(acts[0].Kind, qt.Equals, "primaryChanged")
	c.Assert(acts[0].Before, qt.Equals, "libro-1 term 1")
	c.Assert(acts[0].After, qt.Matches, "libro-[23] term 2")
}

// The same guarantees as in TestAcknowledgedWritesUnderFailure without request keys. If
// the answer of a commit is lost, the caller is told that the outcome is unknown, and an
// answer that says "not run" must be true.
func TestAcknowledgedWritesWithoutRequestKeys(t *testing.T) {
	t.Parallel()
	c, b := newTestCluster(t, cwdemo.Options{})
	rep := b.runLoad(c, 4*time.Second, func(p *cwload.Plan) { p.RequestKeys, p.DropToken = false, true }, func() {
		b.Databases[0].SetFaults(cwdatabase.Faults{LoseCommitAnswers: 5})
		time.AfterFunc(time.Second, b.Databases[0].Stop)
	})
	assertGuarantees(c, rep)
	c.Assert(rep.Unknown > 0, qt.IsTrue)
}

// Guards against running a write twice when its answer is lost and the caller repeats
// it through another proxy. With a request key, the repeated write gets the answer of
// the first one and runs once.
func TestRequestKey(t *testing.T) {
	t.Parallel()
	c, b := newTestCluster(t, cwdemo.Options{})
	one, two := b.connect(c, 0), b.connect(c, 1)
	exec(c, one, "CREATE TABLE booking (id bigint, crusher text)")
	count := func(c *qt.C, id int) int64 {
		return queryInt(c, b.connect(c, 0), "SELECT count(*) FROM booking WHERE id = $1", id)
	}
	c.Run("the same write through two proxies in turn", func(c *qt.C) {
		for _, conn := range []int{0, 1} {
			conn := b.connect(c, conn)
			setRequestKey(c, conn, "k1")
			c.Assert(queryInt(c, conn, "INSERT INTO booking VALUES (1, 'jaw') RETURNING id"), qt.Equals, int64(1))
		}
		c.Assert(count(c, 1), qt.Equals, int64(1))
	})
	c.Run("the answer of the commit is lost", func(c *qt.C) {
		setRequestKey(c, one, "k2")
		b.Databases[0].SetFaults(cwdatabase.Faults{LoseCommitAnswers: 1})
		exec(c, one, "INSERT INTO booking VALUES ($1, 'cone')", 2)
		c.Assert(count(c, 2), qt.Equals, int64(1))
	})
	c.Run("the connection breaks before the commit", func(c *qt.C) {
		setRequestKey(c, one, "k3")
		b.Databases[0].SetFaults(cwdatabase.Faults{DropBeforeCommit: 1})
		_, err := one.Exec(background, "INSERT INTO booking VALUES ($1, 'cone')", 3)
		assertNotRun(c, err)
		c.Assert(count(c, 3), qt.Equals, int64(0))
		setRequestKey(c, two, "k3")
		exec(c, two, "INSERT INTO booking VALUES ($1, 'cone')", 3)
		c.Assert(count(c, 3), qt.Equals, int64(1))
	})
	c.Run("the same key with another statement", func(c *qt.C) {
		setRequestKey(c, two, "k1")
		_, err := two.Exec(background, "INSERT INTO booking VALUES (9, 'jaw') RETURNING id")
		assertCode(c, err, "23505")
		c.Assert(count(c, 9), qt.Equals, int64(0))
	})
	c.Run("the same key concurrently through two proxies", func(c *qt.C) {
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
		setRequestKey(c, one, "k6")
		_, err := one.Exec(background, "INSERT INTO absent VALUES (1)")
		assertCode(c, err, "42P01")
		setRequestKey(c, one, "k6")
		exec(c, one, "INSERT INTO booking VALUES ($1, 'jaw')", 6)
		c.Assert(count(c, 6), qt.Equals, int64(1))
	})
	c.Run("a transaction", func(c *qt.C) {
		for i := range 2 {
			conn := b.connect(c, i)
			setRequestKey(c, conn, "k7")
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
				setRequestKey(c, conn, key)
				exec(c, conn, "INSERT INTO booking VALUES ($1, 'jaw')", 20+i)
			}
			c.Assert(count(c, 20+i), qt.Equals, int64(1))
		}
	})
	c.Run("an answer too long to be recorded", func(c *qt.C) {
		for i, size := range []int{100 << 10, 9 << 20} {
			conn := b.connect(c, 0)
			setRequestKey(c, conn, fmt.Sprint("long", i))
			_, err := conn.Exec(background, "INSERT INTO booking VALUES (12, $1) RETURNING crusher", strings.Repeat("x", size))
			assertNotRun(c, err)
			assertCode(c, err, "54000")
			c.Assert(count(c, 12), qt.Equals, int64(0))
		}
	})
	c.Run("a transaction whose COMMIT loses its answer", func(c *qt.C) {
		conn := b.connect(c, 0)
		setRequestKey(c, conn, "k10")
		exec(c, conn, "BEGIN")
		exec(c, conn, "INSERT INTO booking VALUES ($1, 'jaw')", 10)
		b.Databases[0].SetFaults(cwdatabase.Faults{LoseCommitAnswers: 1})
		exec(c, conn, "COMMIT")
		c.Assert(count(c, 10), qt.Equals, int64(1))
	})
	c.Run("a transaction whose connection breaks at the COMMIT", func(c *qt.C) {
		conn := b.connect(c, 0)
		setRequestKey(c, conn, "k11")
		exec(c, conn, "BEGIN")
		exec(c, conn, "INSERT INTO booking VALUES ($1, 'jaw')", 11)
		b.Databases[0].SetFaults(cwdatabase.Faults{DropBeforeCommit: 1})
		_, err := conn.Exec(background, "COMMIT")
		assertNotRun(c, err)
		c.Assert(count(c, 11), qt.Equals, int64(0))
		setRequestKey(c, conn, "k11")
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

// Guards against exceeding the target's limit of connections when all callers reconnect
// at once: the database would then refuse connections, in the worst case those of a
// failover. Eight proxies that start together and retry together must stay within the
// limit, and tell refused callers when to retry.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	t.Parallel()
	contract := cwdemo.DefaultContract()
	contract.QueueLimit = 2
	contract.StatementTimeout = 2 * time.Second
	c, b := newTestCluster(t, cwdemo.Options{Proxies: 8, Contract: contract, ListLag: 200 * time.Millisecond})
	exec(c, b.connect(c, 0), "CREATE TABLE ronda (id bigint)")
	for _, d := range b.Databases {
		d.SetFaults(cwdatabase.Faults{ServiceTime: 20 * time.Millisecond})
	}
	stop := make(chan struct{})
	maxOpen := make(chan int)
	go func() {
		high := 0
		for {
			select {
			case <-stop:
				maxOpen <- high
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
	c.Assert(<-maxOpen <= contract.Connections, qt.IsTrue)
	c.Assert(refused > 0, qt.IsTrue)
	for _, d := range b.Databases {
		d.SetFaults(cwdatabase.Faults{})
	}
	c.Assert(queryInt(c, b.connect(c, 0), "SELECT count(*) FROM ronda"), qt.Equals, int64(ran))
}

// A data centre is cut off: its proxy reaches one replica, but neither the primary nor
// the platform. Reads that accept data of a given age are served until the data is
// older, and other statements are refused at once as not run. After the network is
// restored, service resumes without an operator.
func TestDataCentreCutOff(t *testing.T) {
	t.Parallel()
	c, b := newTestCluster(t, cwdemo.Options{})
	conn := b.connect(c, 0)
	exec(c, conn, "CREATE TABLE ronda (id bigint)")
	exec(c, conn, "INSERT INTO ronda VALUES (1)")
	aged := b.connect(c, 1, "cicadawalk.maxAge", "2500ms")
	c.Assert(queryInt(c, aged, "SELECT count(*) FROM ronda"), qt.Equals, int64(1))
	b.Platform.SetFaults(cwplatformserver.Faults{Down: true})
	b.links[0].SetFaults(cwlink.Faults{Cut: true})
	b.links[2].SetFaults(cwlink.Faults{Cut: true})
	waitFor(c, "detection of the network failure", func() bool { return b.Proxies[0].Status().Groups[0].State == "readsOnly" })
	c.Assert(queryInt(c, aged, "SELECT count(*) FROM ronda"), qt.Equals, int64(1))
	_, err := conn.Exec(background, "INSERT INTO ronda VALUES (2)")
	assertNotRun(c, err)
	waitFor(c, "refusal of data that is too old", func() bool {
		_, err := aged.Exec(background, "SELECT count(*) FROM ronda")
		if err != nil {
			assertNotRun(c, err)
		}
		return err != nil
	})
	b.links[0].SetFaults(cwlink.Faults{})
	b.links[2].SetFaults(cwlink.Faults{})
	b.Platform.SetFaults(cwplatformserver.Faults{})
	waitFor(c, "resumption of writes", func() bool {
		_, err := conn.Exec(background, "INSERT INTO ronda VALUES (3)")
		return err == nil
	})
	other := b.connect(c, 1)
	var n int64
	waitFor(c, "resumption of reads at the other proxy", func() bool {
		err := other.QueryRow(background, "SELECT count(*) FROM ronda").Scan(&n)
		if err != nil {
			assertNotRun(c, err)
		}
		return err == nil
	})
	c.Assert(n, qt.Equals, int64(2))
}

// Guards against writes that stay unavailable when no proxy reaches the primary although
// its replicas still do. Eight proxies with four partners each must find out that a
// majority of all proxies has lost the primary, and replace it.
func TestEightProxiesReplaceAnUnreachablePrimary(t *testing.T) {
	t.Parallel()
	c, b := newTestCluster(t, cwdemo.Options{Proxies: 8})
	conn := b.connect(c, 0)
	exec(c, conn, "CREATE TABLE ronda (id bigint)")
	b.links[0].SetFaults(cwlink.Faults{Cut: true})
	waitFor(c, "a change of primary", func() bool { return b.PrimaryIndex() > 0 })
	waitFor(c, "resumption of writes", func() bool {
		_, err := conn.Exec(background, "INSERT INTO ronda VALUES (1)")
		return err == nil
	})
}
