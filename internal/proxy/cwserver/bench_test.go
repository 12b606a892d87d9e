package cwserver_test

import (
	"context"
	"net"
	"runtime"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"cicadawalk.example/cicadawalk/internal/tool/cwbound"
	"cicadawalk.example/cicadawalk/internal/tool/cwdemo"
)

// startBenchmark starts a demo cluster with a table of 100 rows. It returns a
// connection to its proxy, one directly to the primary, and the cluster.
func startBenchmark(b *testing.B) (proxy, direct *pgx.Conn, cluster *cwdemo.Cluster) {
	b.Helper()
	cluster, err := cwdemo.Start(cwdemo.Options{Proxies: 1})
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(cluster.Stop)
	ctx := context.Background()
	proxy, err = pgx.Connect(ctx, cluster.URL(0))
	qt.Assert(b, err, qt.IsNil)
	direct, err = pgx.Connect(ctx, cwdemo.URL(cluster.Databases[0].Addr()))
	qt.Assert(b, err, qt.IsNil)
	_, err = proxy.Exec(ctx, "CREATE TABLE ronda (id bigint PRIMARY KEY, gate text)")
	qt.Assert(b, err, qt.IsNil)
	for i := range 100 {
		_, err = proxy.Exec(ctx, "INSERT INTO ronda VALUES ($1, 'north')", i)
		qt.Assert(b, err, qt.IsNil)
	}
	b.Cleanup(func() {
		_ = proxy.Close(ctx)
		_ = direct.Close(ctx)
	})
	return proxy, direct, cluster
}

// pointRead selects one row by its primary key.
func pointRead(b *testing.B, conn *pgx.Conn, n int) {
	var gate string
	if err := conn.QueryRow(context.Background(), "SELECT gate FROM ronda WHERE id = $1", n%100).Scan(&gate); err != nil {
		b.Fatal(err)
	}
}

func BenchmarkPointRead(b *testing.B) {
	proxy, direct, _ := startBenchmark(b)
	for name, conn := range map[string]*pgx.Conn{"direct": direct, "proxy": proxy} {
		b.Run(name, func(b *testing.B) {
			for i := range b.N {
				pointRead(b, conn, i)
			}
		})
	}
}

func BenchmarkWrite(b *testing.B) {
	proxy, direct, _ := startBenchmark(b)
	for name, conn := range map[string]*pgx.Conn{"direct": direct, "proxy": proxy} {
		b.Run(name, func(b *testing.B) {
			for i := range b.N {
				if _, err := conn.Exec(context.Background(), "UPDATE ronda SET gate = 'south' WHERE id = $1", i%100); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPointReads measures throughput with eight concurrent clients.
func BenchmarkPointReads(b *testing.B) {
	_, _, cluster := startBenchmark(b)
	for name, url := range map[string]string{"direct": cwdemo.URL(cluster.Databases[0].Addr()), "proxy": cluster.URL(0)} {
		b.Run(name, func(b *testing.B) {
			var wg sync.WaitGroup
			for range 8 {
				conn, err := pgx.Connect(context.Background(), url)
				qt.Assert(b, err, qt.IsNil)
				defer conn.Close(context.Background())
				wg.Add(1)
				go func() {
					defer wg.Done()
					for i := range b.N / 8 {
						pointRead(b, conn, i)
					}
				}()
			}
			wg.Wait()
		})
	}
}

// TestAllocationsOfAForwardedStatement bounds the allocations of the proxy for one
// statement: the difference between running SELECT 1 through the proxy and
// directly, with everything in one process.
func TestAllocationsOfAForwardedStatement(t *testing.T) {
	ctx := context.Background()
	cluster, err := cwdemo.Start(cwdemo.Options{Proxies: 1})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(cluster.Stop)
	perRead := func(url string) float64 {
		conn, err := pgx.Connect(ctx, url)
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close(ctx)
		var n int64
		return testing.AllocsPerRun(2000, func() {
			if err := conn.QueryRow(ctx, "SELECT 1").Scan(&n); err != nil {
				t.Error(err)
			}
		})
	}
	direct, proxy := perRead(cwdemo.URL(cluster.Databases[0].Addr())), perRead(cluster.URL(0))
	cwbound.CheckBound(t, "allocationsPerForwardedStatement", proxy-direct)
}

// TestMemoryOfAnIdleClient bounds the heap and stack memory of an idle client
// connection. The clients are plain sockets in the same process, so the measured
// value is slightly too high.
func TestMemoryOfAnIdleClient(t *testing.T) {
	cluster, err := cwdemo.Start(cwdemo.Options{Proxies: 1})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(cluster.Stop)
	start, err := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "u", "database": cwdemo.ServiceName},
	}).Encode(nil)
	qt.Assert(t, err, qt.IsNil)
	connect := func(n int) {
		buf := make([]byte, 4096)
		for range n {
			conn, err := net.Dial("tcp", cluster.Proxies[0].Addr())
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(func() { _ = conn.Close() })
			_, err = conn.Write(start)
			qt.Assert(t, err, qt.IsNil)
			_, err = conn.Read(buf)
			qt.Assert(t, err, qt.IsNil)
		}
	}
	inUse := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapInuse + m.StackInuse)
	}
	connect(200)
	before := inUse()
	const callers = 2000
	connect(callers)
	cwbound.CheckBound(t, "bytesPerIdleCaller", (inUse()-before)/callers)
}
