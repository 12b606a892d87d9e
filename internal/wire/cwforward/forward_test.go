package cwforward

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfeed"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwcompress"
)

func exampleStatement() cwport.ForwardRequest {
	return cwport.ForwardRequest{
		Transaction: "front-1/7", Begin: cwstatement.BeginRead,
		Entry: cwcatalogue.Entry{
			Service: "bookings", Groups: []cwcatalogue.Group{{Name: "ledger"}},
			Contract: cwcatalogue.Contract{
				Reads: cwcatalogue.ReadYourWrites, StatementTimeout: time.Second, MaxAge: 1500 * time.Millisecond,
				Aim: 200 * time.Millisecond, Priority: 2, IdleTransaction: 5 * time.Second,
			},
		},
		Statement: cwstatement.Statement{ID: "5c0e", Verb: cwstatement.Execute, Name: "s1", Args: "1a4 \u00e9\"x"},
		Prepared:  &cwport.Prepared{Text: "q2c", Writes: true},
		Values:    map[string]string{"lang": "es"},
		LastWrite: cwgroup.LogPosition{Term: 3, Index: 1207},
		Elapsed:   3 * time.Millisecond,
	}
}

// Guards against a statement or a row that another instance receives with other bytes, among
// other things: a JSON string has no room for text that is not UTF-8.
func TestStatementRoundTrip(t *testing.T) {
	t.Run("a statement", func(t *testing.T) {
		b, err := json.Marshal(encodeStatement(exampleStatement()))
		qt.Assert(t, err, qt.IsNil)
		got, err := decodeStatement(b)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, exampleStatement())
	})
	t.Run("an answer", func(t *testing.T) {
		want := cwport.ForwardResponse{
			Answer:         cwstatement.Response{Rows: []string{"a", "b c"}, Proof: "7.1f3", Code: cwstatement.Busy, Detail: "why", State: cwstatement.InFailedTransaction},
			CommitPosition: cwgroup.LogPosition{Term: 3, Index: 9}, TryOtherHolder: true, Leaving: true,
		}
		got, err := encodeResult(want).decode()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, want)
	})
	t.Run("texts that are not UTF-8", func(t *testing.T) {
		want := exampleStatement()
		want.Statement.ID, want.Statement.Args, want.Prepared.Text = "\xff", "Mu\xf1oz", "q\xe9"
		want.Values = map[string]string{"n\xe9": "\xfe\n", "lang": "es"}
		b, err := json.Marshal(encodeStatement(want))
		qt.Assert(t, err, qt.IsNil)
		got, err := decodeStatement(b)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, want)
		answer := cwport.ForwardResponse{Answer: cwstatement.Response{Rows: []string{"Mu\xf1oz", "b"}, Proof: "7\xff", Detail: "\xe9"}}
		b, err = json.Marshal(encodeResult(answer))
		qt.Assert(t, err, qt.IsNil)
		var body resultBody
		qt.Assert(t, json.Unmarshal(b, &body), qt.IsNil)
		decoded, err := body.decode()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, decoded, qt.DeepEquals, answer)
	})
	t.Run("a long text that JSON would escape", func(t *testing.T) {
		want := exampleStatement()
		want.Statement.Args = strings.Repeat("\x01", 1<<20)
		b, err := json.Marshal(encodeStatement(want))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(b) < maxMessage, qt.IsTrue)
		got, err := decodeStatement(b)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got.Statement == want.Statement, qt.IsTrue)
	})
	t.Run("an unknown encoding", func(t *testing.T) {
		_, err := decodeStatement([]byte(`{"encoding":"rot13","entry":{"group":"g"},"verb":"read"}`))
		qt.Assert(t, err, qt.ErrorAs, new(*MalformedMessageError))
		_, err = resultBody{Encoding: "rot13", State: "idle"}.decode()
		qt.Assert(t, err, qt.ErrorAs, new(*MalformedMessageError))
	})
	t.Run("an unknown code does not mean that nothing was changed", func(t *testing.T) {
		got, err := resultBody{Code: "later", State: "idle"}.decode()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got.Answer.Code.NoEffect(), qt.IsFalse)
		qt.Assert(t, got.Answer.Code, qt.Not(qt.Equals), cwstatement.OK)
	})
}

func exampleNews() cwport.ChangesResponse {
	return cwport.ChangesResponse{
		Topics: [cwport.TopicCount]cwport.TopicChanges{
			cwport.TopicDesired: {Version: 9, Complete: true, Rows: []cwport.Row{{Key: "config", Value: []byte("{}"), Version: 7}}, Age: time.Second},
			cwport.TopicTargets: {Version: 9, Rows: []cwport.Row{{Key: "i-1", Version: 8, Removed: true}, {Key: "x", Version: 9, Garbled: true}}},
			cwport.TopicOwn:     {Version: 4, Age: 250 * time.Microsecond},
		},
		Held: 20 * time.Millisecond, TargetsUnavailable: true,
	}
}

func TestNewsRoundTrip(t *testing.T) {
	t.Run("a request", func(t *testing.T) {
		want := cwport.ChangesRequest{After: [cwport.TopicCount]cwfeed.Version{1, 2, 3}, Wait: 1500 * time.Millisecond}
		b, err := json.Marshal(encodeNewsRequest(want))
		qt.Assert(t, err, qt.IsNil)
		got, err := decodeNewsRequest(b)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, want)
	})
	t.Run("news", func(t *testing.T) {
		b, err := json.Marshal(encodeNews(t, exampleNews()))
		qt.Assert(t, err, qt.IsNil)
		var body newsBody
		qt.Assert(t, json.Unmarshal(b, &body), qt.IsNil)
		got, err := body.decode()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, exampleNews())
	})
	t.Run("a packed row", func(t *testing.T) {
		value := bytes.Repeat([]byte("route "), 10_000)
		packed, err := cwcompress.Compress(value)
		qt.Assert(t, err, qt.IsNil)
		n := exampleNews()
		n.Topics[cwport.TopicDesired].Rows = []cwport.Row{{Key: "config", Version: 7, Packed: packed}}
		got, err := encodeNews(t, n).decode()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got.Topics[cwport.TopicDesired].Rows, qt.DeepEquals, []cwport.Row{{Key: "config", Version: 7, Value: value, Packed: packed}})
	})
	for _, tc := range []struct{ name, text string }{
		{"a packed row that is not compressed data", `{"topics":[{"version":1,"rows":[{"key":"k","version":1,"packed":"AAAA"}]},{"version":1},{"version":1}]}`},
		{"packed rows that are not compressed data", `{"topics":[{"version":1,"packed":"AAAA"},{"version":1},{"version":1}]}`},
		{"a negative age", `{"topics":[{"version":1,"ageUs":-5},{"version":1,"ageUs":0},{"version":1,"ageUs":0}]}`},
		{"a negative hold time", `{"topics":[{"version":1},{"version":1},{"version":1}],"heldUs":-1}`},
		{"a missing topic", `{"topics":[{"version":1},{"version":1}]}`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var body newsBody
			qt.Assert(t, json.Unmarshal([]byte(tc.text), &body), qt.IsNil)
			_, err := body.decode()
			qt.Assert(t, err, qt.ErrorAs, new(*MalformedMessageError))
		})
	}
}

// Guards against accepting malformed answers. Another instance may run a different
// version or send garbage.
func FuzzNews(f *testing.F) {
	b, err := json.Marshal(encodeNews(f, exampleNews()))
	qt.Assert(f, err, qt.IsNil)
	f.Add(b)
	f.Add([]byte(`{"topics":[{"ageUs":-1},{},{}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var body newsBody
		if json.Unmarshal(b, &body) != nil {
			return
		}
		n, err := body.decode()
		if err != nil {
			return
		}
		for _, topic := range n.Topics {
			qt.Assert(t, topic.Age >= 0, qt.IsTrue)
		}
	})
}

// Guards against accepting malformed statements. Another instance may run a different
// version or send garbage.
func FuzzDecodeStatement(f *testing.F) {
	b, err := json.Marshal(encodeStatement(exampleStatement()))
	qt.Assert(f, err, qt.IsNil)
	f.Add(b)
	f.Add([]byte(`{"verb":"execute","entry":{"group":"g"}}`))
	f.Add([]byte(`{"verb":"begin"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := decodeStatement(b)
		if err == nil && (h.Entry.Groups[0].Name == "" || !holderRuns(h.Statement.Verb)) {
			t.Fatalf("accepted %+v", h)
		}
	})
}

// fakeHandler answers statements with a function and reports closed connections.
type fakeHandler struct {
	answer func(h cwport.ForwardRequest) cwport.ForwardResponse
	closed chan any
}

func (h *fakeHandler) ServeForwarded(_ any, ho cwport.ForwardRequest, reply func(cwport.ForwardResponse)) {
	reply(h.answer(ho))
}

func (*fakeHandler) RefuseForwarded(cwport.ForwardRequest, error) cwport.ForwardResponse {
	return cwport.ForwardResponse{Answer: cwstatement.Failure(cwstatement.Busy, "no memory")}
}

func (h *fakeHandler) ConnectionClosed(from any) { h.closed <- from }

func serve(c *qt.C, h *fakeHandler) string { return serveNews(c, h, nil) }

func serveNews(c *qt.C, h *fakeHandler, news cwport.ChangesServer) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- (&Server{Handler: h, News: news}).Run(ctx, ln) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	return ln.Addr().String()
}

func TestConcurrentStatementsOnOneConnection(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	h := &fakeHandler{closed: make(chan any, 1), answer: func(h cwport.ForwardRequest) cwport.ForwardResponse {
		if h.Statement.ID == "slow" {
			<-release
		}
		return cwport.ForwardResponse{Answer: cwstatement.Response{Rows: []string{h.Statement.ID}}}
	}}
	conn, err := Dial(context.Background(), "holder", serve(c, h), nil)
	c.Assert(err, qt.IsNil)

	slow := make(chan error, 1)
	go func() {
		ho := exampleStatement()
		ho.Statement.ID = "slow"
		_, err := conn.Forward(context.Background(), ho)
		slow <- err
	}()
	r, err := conn.Forward(context.Background(), exampleStatement())
	c.Assert(err, qt.IsNil)
	c.Assert(r.Answer.Rows, qt.DeepEquals, []string{"5c0e"}, qt.Commentf("a slow statement must not block others on the same connection"))
	close(release)
	c.Assert(<-slow, qt.IsNil)

	c.Assert(conn.Close(), qt.IsNil)
	<-h.closed
	_, err = conn.Forward(context.Background(), exampleStatement())
	var lost *cwport.NoResponseError
	c.Assert(errors.As(err, &lost), qt.IsTrue)
}

// Guards against long statements that end the connection of two instances, and with it all other
// statements on it: together they are longer than the other instance takes without an answer.
func TestLongStatementsTogetherKeepTheConnection(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	h := &fakeHandler{closed: make(chan any, 1), answer: func(cwport.ForwardRequest) cwport.ForwardResponse {
		<-release
		return cwport.ForwardResponse{}
	}}
	conn, err := Dial(context.Background(), "holder", serve(c, h), nil)
	c.Assert(err, qt.IsNil)
	long := exampleStatement()
	long.Statement.Args = strings.Repeat("\xff", 1<<20)
	const statements = 6
	results := make(chan error, statements)
	for range statements {
		go func() {
			_, err := conn.Forward(context.Background(), long)
			results <- err
		}()
	}
	var unsent int
	for unsent < statements-2 {
		var lost *cwport.NoResponseError
		c.Assert(errors.As(<-results, &lost), qt.IsTrue)
		c.Assert(lost.NotSent, qt.IsTrue, qt.Commentf("%v", lost))
		unsent++
	}
	close(release)
	for range statements - unsent {
		c.Assert(<-results, qt.IsNil)
	}
	c.Assert(conn.Close(), qt.IsNil)
	<-h.closed
}

// Guards against the loss of answers that are ready: a server that stopped closed its
// connections while a request was being answered.
func TestStoppingServerAnswersWhatItHasRead(t *testing.T) {
	c := qt.New(t)
	read, release := make(chan struct{}), make(chan struct{})
	h := &fakeHandler{closed: make(chan any, 1), answer: func(h cwport.ForwardRequest) cwport.ForwardResponse {
		close(read)
		<-release
		return cwport.ForwardResponse{Answer: cwstatement.Response{Rows: []string{h.Statement.ID}}}
	}}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- (&Server{Handler: h}).Run(ctx, ln) }()
	conn, err := Dial(context.Background(), "holder", ln.Addr().String(), nil)
	c.Assert(err, qt.IsNil)
	answered := make(chan error, 1)
	go func() {
		_, err := conn.Forward(context.Background(), exampleStatement())
		answered <- err
	}()
	<-read
	cancel()
	time.AfterFunc(drainTimeout/10, func() { close(release) })
	c.Assert(<-answered, qt.IsNil)
	c.Assert(<-ended, qt.IsNil)
	<-conn.Done()
}

// newsFunc answers requests for store changes with a function.
type newsFunc func(context.Context, cwport.ChangesRequest) (cwport.ChangesResponse, error)

func (f newsFunc) ServeChanges(ctx context.Context, q cwport.ChangesRequest) (cwport.ChangesResponse, error) {
	return f(ctx, q)
}

func TestNewsOverAConnection(t *testing.T) {
	h := &fakeHandler{closed: make(chan any, 16), answer: func(cwport.ForwardRequest) cwport.ForwardResponse { return cwport.ForwardResponse{} }}
	question := cwport.ChangesRequest{After: [cwport.TopicCount]cwfeed.Version{4, 5, 6}, Wait: time.Second}
	ask := func(c *qt.C, f cwport.ChangesServer) (*Conn, cwport.ChangesResponse, error) {
		conn, err := Dial(context.Background(), "feeder", serveNews(c, h, f), nil)
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = conn.Close() })
		n, err := conn.ServeChanges(context.Background(), question)
		return conn, n, err
	}
	t.Run("an answer", func(t *testing.T) {
		c := qt.New(t)
		var got cwport.ChangesRequest
		_, n, err := ask(c, newsFunc(func(_ context.Context, q cwport.ChangesRequest) (cwport.ChangesResponse, error) {
			got = q
			return exampleNews(), nil
		}))
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, question)
		c.Assert(n, qt.DeepEquals, exampleNews())
	})
	t.Run("refusal keeps the connection open", func(t *testing.T) {
		c := qt.New(t)
		conn, _, err := ask(c, newsFunc(func(context.Context, cwport.ChangesRequest) (cwport.ChangesResponse, error) {
			return cwport.ChangesResponse{}, &cwport.NotLoadedError{}
		}))
		c.Assert(err, qt.ErrorAs, new(*cwport.NotLoadedError))
		c.Assert(conn.Ping(context.Background()), qt.IsNil)
	})
	t.Run("an instance without a source", func(t *testing.T) {
		_, _, err := ask(qt.New(t), nil)
		qt.Assert(t, err, qt.ErrorAs, new(*cwport.NotLoadedError))
	})
	// Guards against a goroutine leak: when a follower disconnected while its request
	// was waiting for changes, the goroutine ran until the wait time of the request.
	t.Run("a request ends with its connection", func(t *testing.T) {
		c := qt.New(t)
		held, ended := make(chan struct{}), make(chan struct{})
		conn, err := Dial(context.Background(), "feeder", serveNews(c, h, newsFunc(func(ctx context.Context, _ cwport.ChangesRequest) (cwport.ChangesResponse, error) {
			close(held)
			<-ctx.Done()
			close(ended)
			return cwport.ChangesResponse{}, ctx.Err()
		})), nil)
		c.Assert(err, qt.IsNil)
		lost := make(chan error, 1)
		go func() {
			_, err := conn.ServeChanges(context.Background(), question)
			lost <- err
		}()
		<-held
		c.Assert(conn.Close(), qt.IsNil)
		c.Assert(<-lost, qt.IsNotNil)
		<-ended
	})
}

// Guards against forwarding statements to a paused instance. Its kernel still accepts
// connections, and a statement sent on one would wait until its timeout.
func TestDialFailsForUnresponsiveInstance(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	_, err = Dial(context.Background(), "holder", ln.Addr().String(), nil)
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
}

func encodeNews(t testing.TB, n cwport.ChangesResponse) newsBody {
	t.Helper()
	var p newsEncoder
	b, err := p.encode(n)
	qt.Assert(t, err, qt.IsNil)
	return b
}

// Guards against slow starts: without compression, each feeder sends 1 MB of rows to each
// of its followers when all instances start at once.
func TestManyRowsAreCompressedOnce(t *testing.T) {
	var p newsEncoder
	var n cwport.ChangesResponse
	for i := range 900 {
		n.Topics[cwport.TopicTargets].Rows = append(n.Topics[cwport.TopicTargets].Rows, cwport.Row{
			Key: fmt.Sprintf("i-%08x", i), Version: cwfeed.Version(i + 1),
			Value: fmt.Appendf(nil, `{"service":"ledger%d","address":"10.2.0.%d:8080","zone":"a","slots":3,"state":"ready"}`, i/3, i%250),
		})
	}
	targets := &n.Topics[cwport.TopicTargets]
	targets.Version, targets.Complete = 900, true
	first, err := p.encode(n)
	qt.Assert(t, err, qt.IsNil)
	plain, err := json.Marshal(encodeRows(targets.Rows))
	qt.Assert(t, err, qt.IsNil)
	size := len(first.Topics[cwport.TopicTargets].Packed)
	t.Logf("%d bytes compressed, %d uncompressed", size, len(plain))
	qt.Assert(t, size < len(plain)/5, qt.IsTrue, qt.Commentf("%d of %d bytes", size, len(plain)))
	got, err := first.decode()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, n)

	second, err := p.encode(n)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, &second.Topics[cwport.TopicTargets].Packed[0], qt.Equals, &first.Topics[cwport.TopicTargets].Packed[0])

	targets.Version, targets.Rows = 901, targets.Rows[1:]
	third, err := p.encode(n)
	qt.Assert(t, err, qt.IsNil)
	got, err = third.decode()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, n)
}

// Guards against a link that hangs, with all calls and the probe that is to find it, where the other
// side has stopped reading.
func TestCallsEndWhereTheOtherSideStopsReading(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		// The answer to the ping of Dial, whose request has the id 0.
		_, _ = conn.Read(make([]byte, 1<<10))
		_, _ = conn.Write([]byte(`{"jsonrpc":"2.0","id":0,"result":{}}`))
		accepted <- conn
	}()
	conn, err := Dial(context.Background(), "holder", ln.Addr().String(), nil)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	defer func() { _ = (<-accepted).Close() }()
	h := exampleStatement()
	h.Statement.Text = "WRITE i " + strings.Repeat("x", 500_000)
	began := time.Now()
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		_, err := conn.Forward(ctx, h)
		cancel()
		c.Assert(err, qt.IsNotNil)
	}
	c.Assert(conn.Ping(context.Background()), qt.IsNotNil)
	c.Assert(time.Since(began) < 10*time.Second, qt.IsTrue)
}
