package cwhandover

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

func example() cwport.Handover {
	return cwport.Handover{
		Transaction: "front-1/7", Begin: cwstatement.BeginRead,
		Entry: cwcatalogue.Entry{
			Service: "bookings", Groups: []cwcatalogue.Group{{Name: "ledger"}},
			Contract: cwcatalogue.Contract{
				Reads: cwcatalogue.ReadOwnWrites, StatementTimeout: time.Second, MaxAge: 1500 * time.Millisecond,
				Aim: 200 * time.Millisecond, Priority: 2, Synchronous: true, IdleTransaction: 5 * time.Second,
			},
		},
		Statement: cwstatement.Statement{ID: "5c0e", Verb: cwstatement.Execute, Name: "s1", Rest: "1a4 \u00e9\"x"},
		Prepared:  &cwport.Prepared{Shape: "q2c", Writes: true},
		Values:    map[string]string{"lang": "es"},
		Seen:      cwgroup.Mark{Term: 3, Position: 1207},
		Elapsed:   3 * time.Millisecond,
	}
}

func TestCodec(t *testing.T) {
	t.Run("a statement", func(t *testing.T) {
		b, err := json.Marshal(bodyOfHand(example()))
		qt.Assert(t, err, qt.IsNil)
		got, err := handOf(b)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, example())
	})
	t.Run("an answer", func(t *testing.T) {
		want := cwport.Handed{
			Answer: cwstatement.Answer{Rows: []string{"a", "b c"}, Proof: "7.1f3", Code: cwstatement.Busy, Detail: "why", State: cwstatement.Failed},
			Wrote:  cwgroup.Mark{Term: 3, Position: 9}, Elsewhere: true,
		}
		got, err := bodyOfHanded(want).handed()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, want)
	})
	t.Run("a code of a later version promises nothing", func(t *testing.T) {
		got, err := handedBody{Code: "later", State: "idle"}.handed()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got.Answer.Code.Promises(), qt.IsFalse)
		qt.Assert(t, got.Answer.Code, qt.Not(qt.Equals), cwstatement.OK)
	})
}

// What comes from another instance may be of another version, or garbage.
func FuzzHand(f *testing.F) {
	b, err := json.Marshal(bodyOfHand(example()))
	qt.Assert(f, err, qt.IsNil)
	f.Add(b)
	f.Add([]byte(`{"verb":"execute","entry":{"group":"g"}}`))
	f.Add([]byte(`{"verb":"begin"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := handOf(b)
		if err == nil && (h.Entry.Groups[0].Name == "" || !runs(h.Statement.Verb)) {
			t.Fatalf("accepted %+v", h)
		}
	})
}

// handler answers by a function.
type handler struct {
	answer func(h cwport.Handover) cwport.Handed
	left   chan any
}

func (h *handler) Hand(_ any, ho cwport.Handover) cwport.Handed { return h.answer(ho) }

func (h *handler) Left(from any) { h.left <- from }

func serve(c *qt.C, h *handler) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- (&Server{Handler: h}).Run(ctx, ln) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	return ln.Addr().String()
}

func TestConn(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	h := &handler{left: make(chan any, 1), answer: func(h cwport.Handover) cwport.Handed {
		if h.Statement.ID == "slow" {
			<-release
		}
		return cwport.Handed{Answer: cwstatement.Answer{Rows: []string{h.Statement.ID}}}
	}}
	conn, err := Dial(context.Background(), "holder", serve(c, h))
	c.Assert(err, qt.IsNil)

	slow := make(chan error, 1)
	go func() {
		ho := example()
		ho.Statement.ID = "slow"
		_, err := conn.Hand(context.Background(), ho)
		slow <- err
	}()
	r, err := conn.Hand(context.Background(), example())
	c.Assert(err, qt.IsNil)
	c.Assert(r.Answer.Rows, qt.DeepEquals, []string{"5c0e"}, qt.Commentf("a slow statement holds nobody up"))
	close(release)
	c.Assert(<-slow, qt.IsNil)

	c.Assert(conn.Close(), qt.IsNil)
	<-h.left
	_, err = conn.Hand(context.Background(), example())
	var lost *cwport.LostError
	c.Assert(errors.As(err, &lost), qt.IsTrue)
}

// An instance that stands still accepts connections, since its kernel does. A
// statement given to it would wait until its time is up.
func TestStandingInstanceIsNotConnected(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	_, err = Dial(context.Background(), "holder", ln.Addr().String())
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
}
