// Package cwpeer implements the protocol between proxies: JSON-RPC 2.0 over TCP.
//
// Each proxy keeps connections to a few other proxies, its partners. It sends them
// heartbeats with its catalogue revision and its votes about the primaries that it
// monitors. A changed vote is sent immediately. A proxy that receives a higher revision
// requests the catalogue. A cancel request for a session of another proxy is forwarded
// to the proxy that has it. There are no other messages, and all partners have equal
// roles.
package cwpeer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwfailover"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/wire/cwlisten"
)

// Names of the RPC methods.
const (
	methodHeartbeat = "heartbeat"
	methodCatalogue = "catalogue"
	methodCancel    = "cancel"
)

// Intervals, timeouts and limits of the protocol.
const (
	// HeartbeatInterval is the time between heartbeats. A new vote or revision is sent
	// immediately.
	HeartbeatInterval = time.Second
	// dialTimeout limits the time to connect to a partner.
	dialTimeout = 500 * time.Millisecond
	// callTimeout limits the time of one call. After a timeout the next call opens
	// a new connection, because an open connection can become unresponsive while
	// new ones work.
	callTimeout = time.Second
	// maxMessage is the largest message accepted from a partner, in bytes.
	maxMessage = 16 << 20
)

// Heartbeat is the periodic message of a proxy to its partners.
type Heartbeat struct {
	Instance cwfailover.InstanceID
	Revision cwcatalogue.Revision
	// Votes holds the proxy's votes by group.
	Votes map[string]cwfailover.Vote
}

// Handler handles the messages of partners.
type Handler interface {
	// Heartbeat handles a heartbeat.
	Heartbeat(h Heartbeat)
	// CatalogueSince returns the changes after a revision, or the whole catalogue
	// if there are too many.
	CatalogueSince(r cwcatalogue.Revision) (Update, error)
	// CancelLocal cancels the running statement of the session with this process id
	// and secret, if this proxy has that session.
	CancelLocal(pid uint32, secret []byte)
	// Allowed reports whether this proxy accepts messages from an instance.
	Allowed(id cwfailover.InstanceID) bool
}

// Update updates a catalogue to a revision. It holds the parts that changed since Base,
// or the whole catalogue if Document is set.
type Update struct {
	Base, Revision cwcatalogue.Revision
	Changed        map[string][]byte
	Document       []byte
}

type heartbeatBody struct {
	Instance string              `json:"instance"`
	Revision uint64              `json:"revision"`
	Votes    map[string]voteBody `json:"votes,omitempty"`
}

type voteBody struct {
	Term    uint64 `json:"term"`
	Suspect bool   `json:"suspect,omitempty"`
}

type catalogueRequestBody struct {
	Instance string `json:"instance"`
	Since    uint64 `json:"since"`
}

type updateBody struct {
	Base     uint64                     `json:"base"`
	Revision uint64                     `json:"revision"`
	Changed  map[string]json.RawMessage `json:"changed,omitempty"`
	Document json.RawMessage            `json:"document,omitempty"`
}

func (u Update) body() updateBody {
	b := updateBody{Base: uint64(u.Base), Revision: uint64(u.Revision), Document: u.Document, Changed: make(map[string]json.RawMessage, len(u.Changed))}
	for name, value := range u.Changed {
		b.Changed[name] = value
	}
	return b
}

func (b updateBody) update() Update {
	u := Update{Base: cwcatalogue.Revision(b.Base), Revision: cwcatalogue.Revision(b.Revision), Document: b.Document, Changed: make(map[string][]byte, len(b.Changed))}
	for name, value := range b.Changed {
		u.Changed[name] = value
	}
	return u
}

type cancelBody struct {
	Instance string `json:"instance"`
	PID      uint32 `json:"pid"`
	Secret   []byte `json:"secret"`
}

func (h Heartbeat) body() heartbeatBody {
	b := heartbeatBody{Instance: string(h.Instance), Revision: uint64(h.Revision), Votes: make(map[string]voteBody, len(h.Votes))}
	for g, v := range h.Votes {
		b.Votes[g] = voteBody{Term: uint64(v.Term), Suspect: v.Suspect}
	}
	return b
}

func (b heartbeatBody) heartbeat() Heartbeat {
	h := Heartbeat{
		Instance: cwfailover.InstanceID(b.Instance),
		Revision: cwcatalogue.Revision(b.Revision),
		Votes:    make(map[string]cwfailover.Vote, len(b.Votes)),
	}
	for g, v := range b.Votes {
		h.Votes[g] = cwfailover.Vote{Instance: h.Instance, Term: cwgroup.Term(v.Term), Suspect: v.Suspect}
	}
	return h
}

// Server receives the messages of partners.
type Server struct {
	Handler Handler
}

// Run accepts connections until ctx ends, and waits until all of them are closed.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	l := cwlisten.Listener{Listener: ln, Handle: s.serve}
	defer l.Wait()
	return l.Run(ctx)
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	limited := &cwlisten.LimitedConn{Conn: conn, MaxMessage: maxMessage, IdleTimeout: idleTimeout}
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(limited, jsonrpc2.VSCodeObjectCodec{}),
		jsonrpc2.HandlerWithError(s.handle))
	defer rpc.Close()
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
	}
}

// idleTimeout closes a connection on which the partner sends nothing.
const idleTimeout = 20 * HeartbeatInterval

func (s *Server) handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Params == nil || len(*req.Params) > maxMessage {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "parameters are missing or too long"}
	}
	var who struct {
		Instance string `json:"instance"`
	}
	if err := json.Unmarshal(*req.Params, &who); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if !s.Handler.Allowed(cwfailover.InstanceID(who.Instance)) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "this instance is not in the platform's list"}
	}
	switch req.Method {
	case methodHeartbeat:
		var b heartbeatBody
		if err := json.Unmarshal(*req.Params, &b); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		s.Handler.Heartbeat(b.heartbeat())
		return struct{}{}, nil
	case methodCatalogue:
		var b catalogueRequestBody
		if err := json.Unmarshal(*req.Params, &b); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		u, err := s.Handler.CatalogueSince(cwcatalogue.Revision(b.Since))
		if err != nil {
			return nil, err
		}
		return u.body(), nil
	case methodCancel:
		var b cancelBody
		if err := json.Unmarshal(*req.Params, &b); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		s.Handler.CancelLocal(b.PID, b.Secret)
		return struct{}{}, nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
}

// Partner is a client for one other proxy. It connects when it is needed.
type Partner struct {
	// Self is the instance that sends the messages.
	Self    cwfailover.InstanceID
	Address string

	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// discardHandler ignores requests on the client side of a connection. Servers send
// responses only.
type discardHandler struct{}

// Handle implements jsonrpc2.Handler.
func (discardHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

func (p *Partner) call(ctx context.Context, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := p.connect(ctx)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	var refused *jsonrpc2.Error
	if err != nil && !errors.As(err, &refused) {
		p.drop(conn)
	}
	return err
}

func (p *Partner) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		return p.conn, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", p.Address)
	if err != nil {
		return nil, err
	}
	p.conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewBufferedStream(nc, jsonrpc2.VSCodeObjectCodec{}), discardHandler{})
	return p.conn, nil
}

func (p *Partner) drop(conn *jsonrpc2.Conn) {
	p.mu.Lock()
	if p.conn == conn {
		p.conn = nil
	}
	p.mu.Unlock()
	_ = conn.Close()
}

// Close closes the connection. A later call opens a new one.
func (p *Partner) Close() {
	p.mu.Lock()
	conn := p.conn
	p.conn = nil
	p.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// Heartbeat sends a heartbeat. The call fails after one second without an answer.
func (p *Partner) Heartbeat(ctx context.Context, h Heartbeat) error {
	return p.call(ctx, methodHeartbeat, h.body(), nil)
}

// CatalogueSince requests the changes of the partner's catalogue after a revision.
func (p *Partner) CatalogueSince(ctx context.Context, r cwcatalogue.Revision) (Update, error) {
	var b updateBody
	err := p.call(ctx, methodCatalogue, catalogueRequestBody{Instance: string(p.Self), Since: uint64(r)}, &b)
	return b.update(), err
}

// Cancel forwards a cancel request.
func (p *Partner) Cancel(ctx context.Context, pid uint32, secret []byte) error {
	return p.call(ctx, methodCancel, cancelBody{Instance: string(p.Self), PID: pid, Secret: secret}, nil)
}
