package cwserver

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwmemory"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmemoryguard"
	"cicadawalk.example/cicadawalk/internal/wire/cwframe"
)

const testMemoryLimit = 4 << 20

// memoryServer serves sessions whose clients may hold testMemoryLimit bytes, without a database.
type memoryServer struct {
	c      *qt.C
	server *Server
	guard  *cwmemoryguard.Guard
}

func newMemoryServer(t *testing.T) *memoryServer {
	clock, logger := clockwork.NewRealClock(), log.New(io.Discard)
	g := cwmemoryguard.New(testMemoryLimit, clock, logger, metrics.NewSet())
	srv := &Server{Clock: clock, Log: logger, Metrics: NewMetrics(metrics.NewSet()), Memory: g}
	srv.statements = t.Context()
	return &memoryServer{c: qt.New(t), server: srv, guard: g}
}

// connect starts a session after its handshake and returns the client's side.
func (m *memoryServer) connect() (net.Conn, *pgproto3.Frontend) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	m.c.Assert(err, qt.IsNil)
	near, err := net.Dial("tcp4", ln.Addr().String())
	m.c.Assert(err, qt.IsNil)
	far, err := ln.Accept()
	m.c.Assert(err, qt.IsNil)
	m.c.Assert(ln.Close(), qt.IsNil)
	s := newSession(m.server, far)
	s.input.SetHeaderLength(cwframe.MessageHeader)
	s.input.Admit = s.admitMessage
	s.backend.SetMaxBodyLen(MaxMessageSize)
	go func() {
		defer func() { _ = far.Close() }()
		defer s.memory.Close()
		s.run()
	}()
	m.c.Cleanup(func() { _ = near.Close() })
	return near, pgproto3.NewFrontend(near, near)
}

// prepare sends a Parse with a text of a length and a Sync, and returns the SQLSTATE of the answer.
func (m *memoryServer) prepare(f *pgproto3.Frontend, name string, length int) string {
	f.SendParse(&pgproto3.Parse{Name: name, Query: "SHOW cicadawalk.shard -- " + strings.Repeat("x", length)})
	f.SendSync(&pgproto3.Sync{})
	var flushed sync.WaitGroup
	// The server may answer before it has read everything.
	flushed.Go(func() { _ = f.Flush() })
	defer flushed.Wait()
	code := ""
	for {
		msg, err := f.Receive()
		if err != nil {
			return "closed"
		}
		switch msg := msg.(type) {
		case *pgproto3.ErrorResponse:
			code = msg.Code
		case *pgproto3.ReadyForQuery:
			return code
		}
	}
}

// Guards against a client whose prepared statements take the memory of all, and against others that
// are refused beside it.
func TestPreparedStatementsAreBounded(t *testing.T) {
	m := newMemoryServer(t)
	_, hostile := m.connect()
	code, n := "", 0
	for code == "" && n < 100 {
		code = m.prepare(hostile, strings.Repeat("p", n+1), 100_000)
		n++
	}
	m.c.Assert(code, qt.Equals, "53200")
	m.c.Assert(m.guard.Held(cwmemory.Session) <= testMemoryLimit/2, qt.IsTrue)
	_, ordinary := m.connect()
	m.c.Assert(m.prepare(ordinary, "p", 4000), qt.Equals, "")
	m.c.Assert(m.prepare(hostile, "last", 100), qt.Equals, "", qt.Commentf("the session goes on"))
}

// Guards against memory that is taken for the length of a message before it has arrived.
func TestAnnouncedMessageIsBounded(t *testing.T) {
	m := newMemoryServer(t)
	for range 5 {
		conn, _ := m.connect()
		b := binary.BigEndian.AppendUint32([]byte{'Q'}, 60<<20)
		_, err := conn.Write(append(b, strings.Repeat("x", 100<<10)...))
		m.c.Assert(err, qt.IsNil)
	}
	m.c.Assert(m.guard.Held(cwmemory.Message), qt.Equals, int64(0))
	_, ordinary := m.connect()
	m.c.Assert(m.prepare(ordinary, "p", 4000), qt.Equals, "")
}

// Guards against a session that keeps what another needs, and that learns nothing of its end.
func TestSessionThatGivesWayIsTold(t *testing.T) {
	m := newMemoryServer(t)
	_, large := m.connect()
	for i := range 15 {
		m.prepare(large, strings.Repeat("p", i+1), 100_000)
	}
	for range 10 {
		_, other := m.connect()
		m.prepare(other, "p", 60_000)
	}
	msg, err := large.Receive()
	m.c.Assert(err, qt.IsNil)
	m.c.Assert(msg.(*pgproto3.ErrorResponse).Code, qt.Equals, "53200")
	for began := time.Now(); m.guard.Held(cwmemory.Session) > 10*130_000; time.Sleep(time.Millisecond) {
		m.c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue)
	}
}
