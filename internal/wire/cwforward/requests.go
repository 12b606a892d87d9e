package cwforward

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"cicadawalk.example/cicadawalk/internal/core/cwmemory"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmemoryguard"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// requests handles the requests on one connection, each in a goroutine of its own, and
// knows how many of them have no answer. It implements jsonrpc2.Handler.
type requests struct {
	server *Server
	// from identifies the connection.
	from any
	// ctx ends when the server stops. The connection goes on until its requests are
	// answered.
	ctx context.Context
	// others handles all requests but forwarded statements.
	others jsonrpc2.Handler

	mu sync.Mutex
	// open is the number of requests that were read and not answered, and none is closed
	// while it is zero.
	open int
	none chan struct{}
}

func newRequests(ctx context.Context, s *Server, from any) *requests {
	r := &requests{server: s, from: from, ctx: ctx, none: make(chan struct{})}
	r.others = jsonrpc2.HandlerWithError(r.answer).SuppressErrClosed()
	close(r.none)
	return r
}

// Handle implements jsonrpc2.Handler. It counts a request before the next one is read.
func (r *requests) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	r.begin()
	memory := r.server.Memory.Open(nil)
	var noRoom error
	if req.Params != nil {
		noRoom = memory.Charge(cwmemory.Statement, cwmemoryguard.StatementBytes+requestCopies*int64(len(*req.Params)))
	}
	go r.run(ctx, conn, req, memory, noRoom)
}

// requestCopies is how often the body of a request is kept until it is answered: as it was read,
// decoded, and as the message to a target.
const requestCopies = 3

// run answers a request and closes its account. noRoom is the error if there was no memory for it.
func (r *requests) run(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, memory *cwmemoryguard.Holder, noRoom error) {
	if req.Method == methodForward && req.Params != nil {
		r.runStatement(ctx, conn, req, memory, noRoom)
		return
	}
	defer memory.Close()
	defer r.end()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.ctx, cancel)()
	r.others.Handle(ctx, conn, req)
}

// runStatement runs a forwarded statement. Its answer can be written before it is over.
func (r *requests) runStatement(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, memory *cwmemoryguard.Holder, noRoom error) {
	answer := func(a cwport.ForwardResponse) {
		defer r.end()
		defer memory.Close()
		_ = conn.Reply(ctx, req.ID, encodeResult(a))
	}
	if noRoom != nil {
		answer(r.server.Handler.RefuseForwarded(decodeTransaction(*req.Params), noRoom))
		return
	}
	h, err := decodeStatement(*req.Params)
	if err != nil {
		defer r.end()
		defer memory.Close()
		refusal := &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		// A connection that has ended has nobody to answer.
		_ = conn.ReplyWithError(ctx, req.ID, refusal)
		return
	}
	h.Memory = memory
	r.server.Handler.ServeForwarded(r.from, h, answer)
}

// answer handles a request that is no forwarded statement.
func (r *requests) answer(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	s := r.server
	switch req.Method {
	case methodPing:
		return struct{}{}, nil
	case methodNews:
		return s.answerNews(ctx, req)
	case methodQuota:
		return s.answerQuota(req)
	case methodPath:
		return s.answerPath(req)
	case methodMembers:
		return s.answerMembers(ctx, req)
	case methodDemand:
		return s.answerDemand(req)
	case methodQuotaReturn:
		return s.answerQuotaReturn(req)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
}

func (r *requests) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == 0 {
		r.none = make(chan struct{})
	}
	r.open++
}

func (r *requests) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open--; r.open == 0 {
		close(r.none)
	}
}

// await waits until all requests are answered, for at most d.
func (r *requests) await(d time.Duration) {
	r.mu.Lock()
	none := r.none
	r.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-none:
	case <-t.C:
	}
}
