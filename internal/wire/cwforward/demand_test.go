package cwforward

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/jsonrpc2"

	"cicadawalk.example/cicadawalk/internal/core/cwlimit"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// demandEcho answers reports of demand with the same members.
type demandEcho struct{ group, holder string }

func (d *demandEcho) ExchangeDemand(group, holder string, members []cwport.MemberDemand) []cwport.MemberDemand {
	d.group, d.holder = group, holder
	return members
}

// dialDemandServer returns a connection to a server with the given source of demand, and
// the count of malformed messages.
func dialDemandServer(c *qt.C, d cwport.DemandServer) (*Conn, *atomic.Int64) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done, malformed := make(chan error), &atomic.Int64{}
	h := &fakeHandler{closed: make(chan any, 16), answer: func(cwport.ForwardRequest) cwport.ForwardResponse { return cwport.ForwardResponse{} }}
	go func() {
		done <- (&Server{Handler: h, Demands: d, OnMalformed: func(string) { malformed.Add(1) }}).Run(ctx, ln)
	}()
	conn, err := Dial(ctx, "holder", ln.Addr().String(), nil)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
		_ = conn.Close()
	})
	return conn, malformed
}

func TestDemandOverAConnection(t *testing.T) {
	want := []cwport.MemberDemand{
		{Member: "m-1", Demand: cwlimit.Demand{Running: 3, Waiting: map[int]int{0: 2, 5: 40}}},
		{Member: "m-2", Demand: cwlimit.Demand{}},
	}
	t.Run("an exchange", func(t *testing.T) {
		c, d := qt.New(t), &demandEcho{}
		conn, _ := dialDemandServer(c, d)
		got, err := conn.ExchangeDemand(context.Background(), "g", "front-1", want)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.DeepEquals, want)
		c.Assert(*d, qt.Equals, demandEcho{"g", "front-1"})
	})
	t.Run("an older build lacks the method", func(t *testing.T) {
		c := qt.New(t)
		conn, _ := dialDemandServer(c, nil)
		_, err := conn.ExchangeDemand(context.Background(), "g", "front-1", want)
		c.Assert(err, qt.ErrorAs, new(*cwport.MethodUnknownError))
		c.Assert(conn.Ping(context.Background()), qt.IsNil)
	})
	t.Run("malformed reports are refused and counted, and the connection stays", func(t *testing.T) {
		c := qt.New(t)
		conn, malformed := dialDemandServer(c, &demandEcho{})
		for n, params := range malformedDemand() {
			var refused *jsonrpc2.Error
			c.Assert(conn.rpc.Call(context.Background(), methodDemand, params, nil), qt.ErrorAs, &refused)
			c.Assert(refused.Code, qt.Equals, int64(jsonrpc2.CodeInvalidParams))
			c.Assert(malformed.Load(), qt.Equals, int64(n+1))
		}
		_, err := conn.ExchangeDemand(context.Background(), "g", "", want)
		c.Assert(err, qt.IsNotNil)
		c.Assert(conn.Ping(context.Background()), qt.IsNil)
	})
	t.Run("a report without parameters is malformed, not of an unknown method", func(t *testing.T) {
		malformed := 0
		s := Server{Demands: &demandEcho{}, OnMalformed: func(string) { malformed++ }}
		_, err := s.answerDemand(&jsonrpc2.Request{Method: methodDemand})
		var refused *jsonrpc2.Error
		qt.Assert(t, err, qt.ErrorAs, &refused)
		qt.Check(t, refused.Code, qt.Equals, int64(jsonrpc2.CodeInvalidParams))
		qt.Check(t, malformed, qt.Equals, 1)
	})
	t.Run("a report that is too long ends the connection", func(t *testing.T) {
		c := qt.New(t)
		conn, _ := dialDemandServer(c, &demandEcho{})
		_, err := conn.ExchangeDemand(context.Background(), strings.Repeat("g", maxMessage+1), "front-1", nil)
		c.Assert(err, qt.IsNotNil)
	})
	t.Run("malformed answers", func(t *testing.T) {
		for _, text := range append(malformedDemand(), json.RawMessage(`{"group":"other"}`), json.RawMessage(strings.Repeat(" ", maxMessage+1))) {
			_, err := decodeDemand(text, "g")
			qt.Check(t, err, qt.ErrorAs, new(*MalformedMessageError))
		}
	})
	t.Run("contention in the answer to a statement", func(t *testing.T) {
		got, err := encodeResult(cwport.ForwardResponse{Contended: true}).decode()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got.Contended, qt.IsTrue)
	})
	t.Run("unknown fields are ignored", func(t *testing.T) {
		got, err := decodeDemand([]byte(`{"group":"g","later":1,"members":[{"member":"m","running":1,"later":[]}]}`), "g")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, []cwport.MemberDemand{{Member: "m", Demand: cwlimit.Demand{Running: 1}}})
	})
}

func malformedDemand() []json.RawMessage {
	out := []json.RawMessage{json.RawMessage(`[]`), json.RawMessage(`{"instance":"x"}`), json.RawMessage(`{"group":"g","instance":"x","members":7}`)}
	for _, member := range []string{
		`{}`, `{"member":"m","running":-1}`, `{"member":"m","running":1e9}`, `{"member":"m","waiting":[{"priority":0,"count":0}]}`,
		`{"member":"m","waiting":[{"priority":0,"count":-4}]}`, `{"member":"m","waiting":[{"priority":0,"count":99999999}]}`,
		`{"member":"m","waiting":[{"priority":1,"count":1},{"priority":1,"count":2}]}`,
		`{"member":"m","waiting":[` + strings.Repeat(`{"priority":1,"count":1},`, maxListLength) + `{"priority":1,"count":1}]}`,
	} {
		out = append(out, json.RawMessage(fmt.Sprintf(`{"group":"g","instance":"x","members":[%s]}`, member)))
	}
	return append(out, json.RawMessage(`{"group":"g","instance":"x","members":[`+strings.Repeat(`{"member":"m"},`, maxListLength)+`{"member":"m"}]}`))
}
