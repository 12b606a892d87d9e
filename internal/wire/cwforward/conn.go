package cwforward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/semaphore"

	"cicadawalk.example/cicadawalk/internal/proxy/cwmemoryguard"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/wire/cwlisten"
)

// Bounds of a connection.
const (
	// maxMessage is the largest message, in bytes. It exceeds the limit of a
	// statement, which is 1 MB.
	maxMessage = 4 << 20
	// maxUnanswered is the greatest length of all statements together that wait for their answer
	// on one connection, in bytes. The rest of maxMessage is for requests of other kinds.
	maxUnanswered = maxMessage - 256<<10
	// idleTimeout closes a connection on which the client sends nothing. Clients
	// send pings far more often.
	idleTimeout = time.Minute
	// drainTimeout limits how long a server that stops waits for the answers to requests
	// that it has read. The engine has answered all statements by then.
	drainTimeout = 100 * time.Millisecond
	// dialTimeout limits the time to open a connection. It covers a few round
	// trips between data centres and the queue of a busy instance.
	dialTimeout = 500 * time.Millisecond
)

// Handler runs forwarded statements.
type Handler interface {
	// ServeForwarded runs a forwarded statement and calls reply once with its answer, which
	// may be before it returns. The value of from identifies the connection that the
	// statement came from.
	ServeForwarded(from any, h cwport.ForwardRequest, reply func(cwport.ForwardResponse))
	// ConnectionClosed is called when a connection has ended. The transactions that
	// were forwarded on it end with it.
	ConnectionClosed(from any)
	// RefuseForwarded returns the answer to a forwarded statement for which there is no memory.
	// The request has its transaction, begin and verb only.
	RefuseForwarded(h cwport.ForwardRequest, cause error) cwport.ForwardResponse
}

// Server handles requests from other instances: forwarded statements, requests for
// store changes, quota requests, path reports, requests for reports of members and
// reports of demand.
type Server struct {
	Handler Handler
	// News answers requests for store changes. If it is nil, they are refused.
	News cwport.ChangesServer
	// Quotas answers quota requests. If it is nil, they are refused.
	Quotas cwport.QuotaServer
	// Path processes path reports. If it is nil, they are refused.
	Path cwport.PathServer
	// Members answers requests for reports of members. If it is nil, they are refused.
	Members cwport.MembersServer
	// Demands answers reports of demand. If it is nil, they are refused.
	Demands cwport.DemandServer
	// OnMalformed is called with the method of a message that was dropped because it is
	// malformed; it may be nil.
	OnMalformed func(method string)
	// Memory bounds the memory that other instances make this one hold; nil for no bound.
	Memory *cwmemoryguard.Guard

	encoder newsEncoder
}

// Run accepts connections until ctx ends, and waits until all of them are closed. The
// requests that were read by then are answered first, for at most drainTimeout.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	l := cwlisten.Listener{Listener: ln, Handle: s.serve}
	defer l.Wait()
	return l.Run(ctx)
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	bounded := &cwlisten.LimitedConn{Conn: conn, MaxMessage: maxMessage, IdleTimeout: idleTimeout}
	defer s.Handler.ConnectionClosed(bounded)
	requests := newRequests(ctx, s, bounded)
	memory := s.Memory.Open(nil)
	defer memory.Close()
	// A jsonrpc2 connection closes when its context ends, whatever is unanswered.
	rpc := jsonrpc2.NewConn(context.WithoutCancel(ctx), newStream(bounded, memory, serverWriteTimeout), requests)
	defer func() { _ = rpc.Close() }()
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		requests.await(drainTimeout)
	}
}

// answerNews handles a request for store changes.
func (s *Server) answerNews(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	if s.News == nil || req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	q, err := decodeNewsRequest(*req.Params)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	n, err := s.News.ServeChanges(ctx, q)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	b, err := s.encoder.encode(n)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	return b, nil
}

// Conn is a client connection to another instance.
type Conn struct {
	name string
	rpc  *jsonrpc2.Conn
	// statements bounds the length of the statements that wait for their answer.
	//
	// It prevents the long statements of some callers from ending those of all others on the
	// connection: the other instance takes more than maxMessage bytes without an answer in
	// between for one message, and closes.
	statements *semaphore.Weighted
	// memory is charged for answers that are being read, until the connection has ended.
	memory *cwmemoryguard.Holder
}

// run closes the account of the connection when it has ended.
func (c *Conn) run() {
	<-c.Done()
	c.memory.Close()
}

// TooManyBytesError reports a statement that does not fit beside those that wait for their answer
// on a connection. Length is the greatest length of its message in bytes.
type TooManyBytesError struct{ Length int64 }

func (e *TooManyBytesError) Error() string {
	return fmt.Sprintf("a statement of up to %d bytes does not fit beside those without an answer", e.Length)
}

// discardHandler ignores requests on the client side of a connection. Servers send
// responses only.
type discardHandler struct{}

// Handle implements jsonrpc2.Handler.
func (discardHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// Dial connects to the instance called name and waits for the answer to a ping. An
// accepted connection alone does not show that the instance responds, because the
// kernel also accepts connections for a paused process. Dial fails after 500 ms. The memory for
// answers is charged to memory, which may be nil.
func Dial(ctx context.Context, name, address string, memory *cwmemoryguard.Guard) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	c := &Conn{name: name, statements: semaphore.NewWeighted(maxUnanswered), memory: memory.Open(nil)}
	c.rpc = jsonrpc2.NewConn(context.WithoutCancel(ctx), newStream(nc, c.memory, clientWriteTimeout), discardHandler{})
	go c.run()
	if err := c.Ping(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// Forward forwards a statement to the holder and returns its answer. Errors are of type
// *cwport.NoResponseError. A statement that does not fit beside those that wait for their answer
// is not sent.
func (c *Conn) Forward(ctx context.Context, h cwport.ForwardRequest) (cwport.ForwardResponse, error) {
	n := maxEncodedLength(h)
	if !c.statements.TryAcquire(n) {
		return cwport.ForwardResponse{}, &cwport.NoResponseError{Instance: c.name, NotSent: true, Cause: &TooManyBytesError{Length: n}}
	}
	defer c.statements.Release(n)
	var b resultBody
	err := c.rpc.Call(ctx, methodForward, encodeStatement(h), &b)
	var refused *jsonrpc2.Error
	switch {
	case errors.As(err, &refused):
		return cwport.ForwardResponse{}, &cwport.NoResponseError{Instance: c.name, NotSent: refused.Code == jsonrpc2.CodeInvalidParams, Cause: err}
	case err != nil:
		return cwport.ForwardResponse{}, &cwport.NoResponseError{Instance: c.name, Cause: err}
	}
	r, err := b.decode()
	if err != nil {
		return cwport.ForwardResponse{}, &cwport.NoResponseError{Instance: c.name, Cause: err}
	}
	return r, nil
}

// ServeChanges implements cwport.ChangesServer. After any error other than a
// *cwport.NotLoadedError, the connection must be closed.
func (c *Conn) ServeChanges(ctx context.Context, q cwport.ChangesRequest) (cwport.ChangesResponse, error) {
	var b newsBody
	err := c.rpc.Call(ctx, methodNews, encodeNewsRequest(q), &b)
	var refused *jsonrpc2.Error
	switch {
	case errors.As(err, &refused):
		return cwport.ChangesResponse{}, &cwport.NotLoadedError{Cause: err}
	case err != nil:
		return cwport.ChangesResponse{}, err
	}
	return b.decode()
}

// Ping checks that the other instance responds.
func (c *Conn) Ping(ctx context.Context) error { return c.rpc.Call(ctx, methodPing, struct{}{}, nil) }

// Done is closed once the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Close closes the connection. Pending calls fail.
func (c *Conn) Close() error { return c.rpc.Close() }
