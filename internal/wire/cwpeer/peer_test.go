package cwpeer

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/standin/cwlink"
)

// recorder is a Handler that records the messages it receives.
type recorder struct {
	mu         sync.Mutex
	heartbeats []Heartbeat
	pid        uint32
}

func (r *recorder) Heartbeat(h Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeats = append(r.heartbeats, h)
}

func (r *recorder) CatalogueSince(since cwcatalogue.Revision) (Update, error) {
	return Update{Base: since, Revision: since + 1, Changed: map[string][]byte{"stops": []byte("{}")}}, nil
}

func (r *recorder) CancelLocal(pid uint32, _ []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pid = pid
}

func (r *recorder) Allowed(id cwfailover.InstanceID) bool { return id == "entry-1" }

// received returns the heartbeats and the process id of the last cancel request.
func (r *recorder) received() ([]Heartbeat, uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heartbeats, r.pid
}

func serve(c *qt.C) (*recorder, string) {
	rec := &recorder{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	s := Server{Handler: rec}
	go func() { done <- s.Run(ctx, ln) }()
	c.Cleanup(func() {
		cancel()
		<-done
	})
	return rec, ln.Addr().String()
}

func sampleHeartbeat(vote bool) Heartbeat {
	return Heartbeat{Instance: "entry-1", Revision: 7, Votes: map[string]cwfailover.Vote{
		"g": {Instance: "entry-1", Term: 3, Suspect: vote},
	}}
}

func TestMessages(t *testing.T) {
	c := qt.New(t)
	rec, addr := serve(c)
	ctx := context.Background()
	p := &Partner{Self: "entry-1", Address: addr}
	defer p.Close()
	c.Assert(p.Heartbeat(ctx, sampleHeartbeat(true)), qt.IsNil)
	beats, _ := rec.received()
	c.Assert(beats, qt.DeepEquals, []Heartbeat{sampleHeartbeat(true)})
	u, err := p.CatalogueSince(ctx, 4)
	c.Assert(err, qt.IsNil)
	c.Assert(u.Base, qt.Equals, cwcatalogue.Revision(4))
	c.Assert(string(u.Changed["stops"]), qt.Equals, "{}")
	c.Assert(p.Cancel(ctx, 9, []byte{1, 2, 3, 4}), qt.IsNil)
	_, pid := rec.received()
	c.Assert(pid, qt.Equals, uint32(9))
}

func TestUnlistedInstanceIsRefused(t *testing.T) {
	c := qt.New(t)
	rec, addr := serve(c)
	p := &Partner{Self: "stranger", Address: addr}
	defer p.Close()
	h := sampleHeartbeat(false)
	h.Instance = "stranger"
	c.Assert(p.Heartbeat(context.Background(), h), qt.IsNotNil)
	_, err := p.CatalogueSince(context.Background(), 0)
	c.Assert(err, qt.IsNotNil)
	beats, _ := rec.received()
	c.Assert(beats, qt.HasLen, 0)
}

// Guards against votes that do not arrive, so that a failover has to wait for the
// platform's list. The open connection between two proxies becomes unresponsive for
// good while new ones work. A call without an answer must close the connection, and the
// next call must open a new one.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	c := qt.New(t)
	rec, addr := serve(c)
	l, err := cwlink.Start("127.0.0.1:0", addr)
	c.Assert(err, qt.IsNil)
	defer l.Stop()
	p := &Partner{Self: "entry-1", Address: l.Addr()}
	defer p.Close()
	ctx := context.Background()
	c.Assert(p.Heartbeat(ctx, sampleHeartbeat(false)), qt.IsNil)
	l.SilenceConnections()
	c.Assert(p.Heartbeat(ctx, sampleHeartbeat(false)), qt.IsNotNil)
	c.Assert(p.Heartbeat(ctx, sampleHeartbeat(true)), qt.IsNil)
	beats, _ := rec.received()
	c.Assert(beats[len(beats)-1].Votes["g"].Suspect, qt.IsTrue)
}

// Guards against unbounded memory use. A process that is not a partner sends an endless
// message. The connection must be closed at the size limit of a message.
func TestOversizedMessageClosesConnection(t *testing.T) {
	c := qt.New(t)
	_, addr := serve(c)
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = conn.Write([]byte("Content-Length: 4000000000\r\n\r\n{\"jsonrpc\":\"2.0\",\"method\":\""))
	c.Assert(err, qt.IsNil)
	chunk := bytes.Repeat([]byte("x"), 1<<20)
	sent := 0
	for sent < 8*maxMessage {
		n, err := conn.Write(chunk)
		sent += n
		if err != nil {
			break
		}
	}
	c.Assert(sent < 8*maxMessage, qt.IsTrue)
}
