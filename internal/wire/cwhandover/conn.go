package cwhandover

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwlisten"
)

// Bounds of a connection.
const (
	// maxMessage is above the megabyte that a statement may have, in bytes.
	maxMessage = 4 << 20
	// idleTimeout is how long the calling side may send nothing. It pings far
	// more often.
	idleTimeout = time.Minute
	// dialTimeout bounds a new connection: some round trips between data
	// centres, and a busy instance's queue.
	dialTimeout = 500 * time.Millisecond
)

// Handler runs what is handed over.
type Handler interface {
	// Hand runs a statement. From differs for each connection.
	Hand(from any, h cwport.Handover) cwport.Handed
	// Left tells that a connection has ended, with the transactions on it.
	Left(from any)
}

// Server takes the statements of other instances, and their questions for news.
type Server struct {
	Handler Handler
	// News may be nil; then nothing is told.
	News cwport.NewsTeller
	// Quotas may be nil; then this instance keeps none.
	Quotas cwport.QuotaTeller

	packer packer
}

// Run accepts connections until ctx ends.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	l := cwlisten.Listener{Listener: ln, Handle: s.serve}
	defer l.Wait()
	return l.Run(ctx)
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	bounded := &cwlisten.Bounded{Conn: conn, MaxMessage: maxMessage, Idle: idleTimeout}
	defer s.Handler.Left(bounded)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	handle := func(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		switch req.Method {
		case methodNews:
			return s.tell(ctx, req)
		case methodQuota:
			return s.tellQuota(req)
		}
		return s.handle(bounded, req)
	}
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(bounded), jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(handle).SuppressErrClosed()))
	defer func() { _ = rpc.Close() }()
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
	}
}

func (s *Server) handle(from any, req *jsonrpc2.Request) (any, error) {
	switch {
	case req.Method == methodPing:
		return struct{}{}, nil
	case req.Method != methodHand || req.Params == nil:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	h, err := handOf(*req.Params)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return bodyOfHanded(s.Handler.Hand(from, h)), nil
}

// tell answers a question for news.
func (s *Server) tell(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	if s.News == nil || req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	q, err := questionOf(*req.Params)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	n, err := s.News.TellNews(ctx, q)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	b, err := s.packer.body(n)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	return b, nil
}

// Conn is a connection to a holder.
type Conn struct {
	name string
	rpc  *jsonrpc2.Conn
}

// ignore is the handler of the calling side: holders do not call back.
type ignore struct{}

// Handle implements jsonrpc2.Handler.
func (ignore) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// Dial connects to the holder called name. The connection is returned once the
// holder has answered on it: the kernel accepts connections of a process that
// stands still.
func Dial(ctx context.Context, name, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	c := &Conn{name: name, rpc: jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewPlainObjectStream(nc), ignore{})}
	if err := c.Ping(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// Hand runs a statement at the holder. An error is a *cwport.LostError.
func (c *Conn) Hand(ctx context.Context, h cwport.Handover) (cwport.Handed, error) {
	var b handedBody
	err := c.rpc.Call(ctx, methodHand, bodyOfHand(h), &b)
	var refused *jsonrpc2.Error
	switch {
	case errors.As(err, &refused):
		return cwport.Handed{}, &cwport.LostError{Holder: c.name, NotSent: refused.Code == jsonrpc2.CodeInvalidParams, Cause: err}
	case err != nil:
		return cwport.Handed{}, &cwport.LostError{Holder: c.name, Cause: err}
	}
	r, err := b.handed()
	if err != nil {
		return cwport.Handed{}, &cwport.LostError{Holder: c.name, Cause: err}
	}
	return r, nil
}

// TellNews implements cwport.NewsTeller. After an error other
// than a *cwport.NoNewsError the connection is of no more use.
func (c *Conn) TellNews(ctx context.Context, q cwport.NewsQuestion) (cwport.News, error) {
	var b newsBody
	err := c.rpc.Call(ctx, methodNews, bodyOfQuestion(q), &b)
	var refused *jsonrpc2.Error
	switch {
	case errors.As(err, &refused):
		return cwport.News{}, &cwport.NoNewsError{Cause: err}
	case err != nil:
		return cwport.News{}, err
	}
	return b.news()
}

// Ping probes the other end.
func (c *Conn) Ping(ctx context.Context) error { return c.rpc.Call(ctx, methodPing, struct{}{}, nil) }

// Done is closed once the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Close ends the connection. What is under way on it is lost.
func (c *Conn) Close() error { return c.rpc.Close() }
