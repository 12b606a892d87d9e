package cwserver

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmonitor"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpgpool"
)

// noGroupProxy is a stub Proxy whose only entry has two groups, so that
// without a shard no statement has a group to run in.
type noGroupProxy struct{}

func (noGroupProxy) Ready() bool      { return true }
func (noGroupProxy) Revision() uint64 { return 1 }
func (noGroupProxy) Entry(string) (cwcatalogue.Entry, bool) {
	return cwcatalogue.Entry{Service: "s", Groups: []cwcatalogue.Group{{Name: "a"}, {Name: "b"}}}, true
}
func (noGroupProxy) Group(string) (*cwmonitor.Group, bool)        { return nil, false }
func (noGroupProxy) Pool(cwgroup.MemberID) (*cwpgpool.Pool, bool) { return nil, false }
func (noGroupProxy) ForwardCancel(uint32, []byte)                 {}

// FuzzSession sends arbitrary bytes after a start-up message. The session must end
// once the client has closed the connection, and must never panic or hang.
func FuzzSession(f *testing.F) {
	encode := func(msgs ...pgproto3.FrontendMessage) []byte {
		var out []byte
		for _, m := range msgs {
			out, _ = m.Encode(out)
		}
		return out
	}
	f.Add(encode(&pgproto3.Query{String: "SELECT 1; SET a = 'b'"}))
	f.Add(encode(&pgproto3.Query{String: "SET cicadawalk.maxAge = '5s'"}, &pgproto3.Query{String: "SHOW cicadawalk.maxAge"}))
	f.Add(encode(&pgproto3.Parse{Name: "x", Query: "SELECT $1"}, &pgproto3.Bind{PreparedStatement: "x"}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}))
	f.Add(encode(&pgproto3.Parse{Query: "SHOW cicadawalk.sessionToken"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{}, &pgproto3.Sync{}))
	f.Add(encode(&pgproto3.Close{ObjectType: 'S', Name: "x"}, &pgproto3.Sync{}, &pgproto3.Terminate{}))
	f.Add([]byte{'Q', 0, 0, 0, 3})
	f.Add([]byte{'B', 0, 0, 0, 6, 0, 0})
	start := encode(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u", "database": "s"}})
	f.Fuzz(func(t *testing.T, data []byte) {
		server := &Server{
			Proxy:   noGroupProxy{},
			Clock:   clockwork.NewRealClock(),
			Log:     log.New(io.Discard),
			Metrics: NewMetrics(metrics.NewSet()),
			Version: "16",
		}
		clientConn, proxyConn := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			server.serve(proxyConn)
		}()
		go func() { _, _ = io.Copy(io.Discard, clientConn) }()
		go func() {
			_, _ = clientConn.Write(append(append([]byte{}, start...), data...))
			_ = clientConn.Close()
		}()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatal("the session did not end within 5s")
		}
	})
}
