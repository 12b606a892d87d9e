package cwinstance

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/proxy/cwpeers"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// syncBuffer is a buffer that several goroutines write to.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// Guards against statements that are cut off because another part of the instance has failed.
func TestFailedPartDrainsFirst(t *testing.T) {
	c := qt.New(t)
	f, out := newFakeStore(3, 1), &syncBuffer{}
	in := New(Config{
		Name: instanceName(0), DataCentre: dataCentreName(0), CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		ReadyListen: "127.0.0.1:0", ReadyPath: "/ready", GracePeriod: 600 * time.Millisecond, Dialer: unreachable{}, Source: f, Decoder: f,
		Table: unreachable{}, Era: func() uint64 { return 0 }, Clock: clockwork.NewRealClock(), DataCentres: dataCentreCount,
		Log:           log.NewWithOptions(out, log.Options{Formatter: log.LogfmtFormatter}),
		NewCallerConn: func(net.Conn) cwport.CallerConn { return nil },
	})
	in.peers.Dial = func(context.Context, string, string) (cwpeers.Conn, error) { return nil, errUnreachable }
	ls, err := in.listen()
	c.Assert(err, qt.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- in.serve(context.Background(), ls) }()
	time.Sleep(100 * time.Millisecond)
	c.Assert(ls.http[0].Close(), qt.IsNil)
	c.Assert(<-ended, qt.ErrorIs, net.ErrClosed)
	lines := out.b.String()
	drained, stopped := strings.Index(lines, "msg=drained"), strings.Index(lines, "msg=stopped")
	c.Assert(drained >= 0 && drained < stopped, qt.IsTrue, qt.Commentf("%s", lines))
	for _, ln := range []net.Listener{ls.callers, ls.peers} {
		_, err := net.Dial("tcp4", ln.Addr().String())
		c.Assert(err, qt.IsNotNil)
	}
}
