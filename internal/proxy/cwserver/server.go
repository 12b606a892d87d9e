// Package cwserver implements the PostgreSQL wire protocol towards clients.
//
// A Server accepts client connections and runs a session for each. A session
// reads one request, which is a simple query or an extended-protocol batch, and
// routes it: reads go to a member of the replication group whose data is recent
// enough, all else goes to the primary. It borrows a pooled connection for the
// length of the statement or transaction and relays the response. The response
// to a write is held back until a majority of the group's members has the
// record.
//
// Apart from an open transaction, no session state exists only on a target's
// connection. What a client needs in order to continue on another connection or
// proxy is in its session token; the settings and prepared statements of a
// session are kept by the proxy and applied to whichever connection it borrows.
package cwserver

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"hash/fnv"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwlimit"
	"cicadawalk.example/cicadawalk/internal/core/cwmemory"
	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmemoryguard"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmonitor"
	"cicadawalk.example/cicadawalk/internal/proxy/cwpgpool"
	"cicadawalk.example/cicadawalk/internal/wire/cwlisten"
	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
)

// Proxy gives sessions access to the rest of the proxy.
type Proxy interface {
	// Ready reports whether the proxy has a catalogue that it may serve clients
	// from.
	Ready() bool
	// Revision returns the catalogue revision, which changes whenever an entry or
	// a group changes.
	Revision() uint64
	// Entry returns the catalogue entry of a service, and false if there is none.
	Entry(service string) (cwcatalogue.Entry, bool)
	// Group returns the monitored state of a replication group, and false if this
	// proxy does not have it yet.
	Group(name string) (*cwmonitor.Group, bool)
	// Pool returns the connection pool of a group member, and false if this proxy
	// does not have it yet.
	Pool(id cwgroup.MemberID) (*cwpgpool.Pool, bool)
	// ForwardCancel forwards a cancel request to the proxies whose tag is in the
	// process id; see InstanceTag.
	ForwardCancel(pid uint32, secret []byte)
}

// Limits on what is read from clients.
const (
	// MaxMessageSize is the largest message accepted after the handshake, in bytes.
	MaxMessageSize = 64 << 20
	// maxStartupMessage is the largest start-up message accepted, in bytes.
	maxStartupMessage = 16 << 10
	// HandshakeTimeout bounds the whole handshake, from accepting the connection
	// until the response to the start-up message is sent.
	HandshakeTimeout = 10 * time.Second
	// maxBatchMessages is the largest number of messages that are buffered before
	// a Sync or Flush.
	maxBatchMessages = 10000
)

// Metrics holds the metrics of all sessions of a Server.
type Metrics struct {
	Statements, ReplicaReads, PrimaryReads, Writes    *metrics.Counter
	NotRunRefusals, UnknownRefusals, Retries, Replays *metrics.Counter
	AckWait                                           *metrics.Histogram
}

// NewMetrics creates the metrics and registers them in s.
func NewMetrics(s *metrics.Set) *Metrics {
	return &Metrics{
		Statements:      s.NewCounter("cicadawalk_statements_total"),
		ReplicaReads:    s.NewCounter(`cicadawalk_reads_total{at="replica"}`),
		PrimaryReads:    s.NewCounter(`cicadawalk_reads_total{at="primary"}`),
		Writes:          s.NewCounter("cicadawalk_writes_total"),
		NotRunRefusals:  s.NewCounter(`cicadawalk_refusals_total{outcome="notRun"}`),
		UnknownRefusals: s.NewCounter(`cicadawalk_refusals_total{outcome="unknown"}`),
		Retries:         s.NewCounter("cicadawalk_retries_total"),
		Replays:         s.NewCounter("cicadawalk_replays_total"),
		AckWait:         s.NewHistogram("cicadawalk_ack_wait_seconds"),
	}
}

// Server accepts client connections. Set the exported fields before Run.
type Server struct {
	Proxy   Proxy
	Clock   clockwork.Clock
	Log     *log.Logger
	Metrics *Metrics
	// InstanceTag identifies this proxy in the process ids of its sessions; see the
	// function InstanceTag.
	InstanceTag uint16
	// Memory bounds the memory that clients make the proxy hold; nil for no bound.
	Memory *cwmemoryguard.Guard
	// Version is reported to clients as server_version.
	Version string

	statementCache cwsql.Cache
	draining       atomic.Bool
	// statements ends, by endStatements, when statements in progress are given up.
	statements    context.Context
	endStatements context.CancelFunc
	retryBudget   retryBudget
	listener      *cwlisten.Listener

	mu       sync.Mutex
	sessions map[cancelKey]*session
}

// The retry budget: each statement earns a tenth of a retry, and up to 200
// retries can be saved for the moment when a primary is replaced.
const (
	retryRatio      = 0.1
	maxSavedRetries = 200
)

// retryBudget limits the retries of all sessions together, so that retries do
// not multiply the load during an outage. It is safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	budget cwlimit.RetryBudget
}

func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Ratio, b.budget.Max = retryRatio, maxSavedRetries
	b.budget.Earn()
}

func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Spend()
}

// cancelKey identifies a session in a CancelRequest.
type cancelKey struct {
	pid    uint32
	secret uint32
}

// Run accepts client connections on ln until ctx ends. It returns without
// waiting for the sessions to end; see Drain.
func (srv *Server) Run(ctx context.Context, ln net.Listener) error {
	srv.statements, srv.endStatements = context.WithCancel(context.WithoutCancel(ctx))
	srv.listener = &cwlisten.Listener{
		Listener:     ln,
		Handle:       func(_ context.Context, conn net.Conn) { srv.serve(conn) },
		AcceptFailed: func(err error) { srv.Log.Warn("acceptFailed", "error", err) },
	}
	return srv.listener.Run(ctx)
}

func (srv *Server) serve(conn net.Conn) {
	defer conn.Close()
	s := newSession(srv, conn)
	defer s.memory.Close()
	if err := s.memory.Charge(cwmemory.Connection, connectionBytes); err != nil {
		s.sendError("FATAL", cwrefusal.NotRun(cwrefusal.TooManyConnections, cwmemoryguard.RetryAfter, "%v", err))
		_ = s.flush()
		return
	}
	if !s.handshake() {
		return
	}
	srv.register(s)
	defer srv.unregister(s)
	s.run()
}

func (srv *Server) register(s *session) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.sessions == nil {
		srv.sessions = make(map[cancelKey]*session)
	}
	srv.sessions[s.cancelKey] = s
}

func (srv *Server) unregister(s *session) {
	srv.mu.Lock()
	delete(srv.sessions, s.cancelKey)
	srv.mu.Unlock()
}

// Draining reports whether Drain was called; new clients are then refused.
func (srv *Server) Draining() bool { return srv.draining.Load() }

// SessionCount returns the number of clients that have completed the handshake.
func (srv *Server) SessionCount() int {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return len(srv.sessions)
}

func newCancelKey(tag uint16) cancelKey {
	var b [6]byte
	_, _ = rand.Read(b[:])
	pid := uint32(tag&tagMask)<<tagShift | uint32(binary.BigEndian.Uint16(b[:2]))
	return cancelKey{pid: pid, secret: binary.BigEndian.Uint32(b[2:])}
}

// Layout of a session's process id, which has 31 bits: the upper 15 are the
// proxy's tag, and the lower 16 are random for each session.
const (
	tagShift = 16
	tagMask  = 0x7fff
)

// InstanceTag returns the tag of an instance, a 15-bit hash of its id. The
// platform's load balancer may route a CancelRequest to any proxy; the tag in its
// process id tells which proxy to forward it to. Two instances can have the same
// tag; the request is then forwarded to both.
func InstanceTag(instance string) uint16 {
	h := fnv.New32a()
	h.Write([]byte(instance))
	sum := h.Sum32()
	return uint16(sum^sum>>16) & tagMask
}

// ProcessIDTag returns the proxy tag contained in a session's process id.
func ProcessIDTag(pid uint32) uint16 { return uint16(pid>>tagShift) & tagMask }

// CancelSession cancels the statement that a session of this proxy is running, if
// any. It reports whether this proxy has a session with that process id and
// secret.
func (srv *Server) CancelSession(pid uint32, secret []byte) bool {
	if len(secret) != 4 {
		return false
	}
	srv.mu.Lock()
	s, ok := srv.sessions[cancelKey{pid: pid, secret: binary.BigEndian.Uint32(secret)}]
	srv.mu.Unlock()
	if ok {
		s.cancelStatement()
	}
	return ok
}

// giveUpTime is how long sessions have for their last messages after a drain has given up
// their statements: two polls of a target that does not answer, and the message itself.
const giveUpTime = 2*readPollInterval + 250*time.Millisecond

// Drain refuses new clients and closes each session once it has no statement in
// progress and no open transaction. It returns nil when all sessions have ended.
//
// If ctx ends first, the remaining statements are answered as far as they are known, their
// transactions are rolled back, and after giveUpTime at most all connections are closed. It
// returns ctx's error then. Without the answers a client would not learn whether its
// statement may have run.
func (srv *Server) Drain(ctx context.Context) error {
	srv.draining.Store(true)
	srv.interruptWaiting(false)
	done := make(chan struct{})
	go func() {
		srv.listener.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	srv.endStatements()
	srv.interruptWaiting(true)
	select {
	case <-done:
	case <-time.After(giveUpTime):
		srv.closeAll()
	}
	return ctx.Err()
}

// interruptWaiting ends the sessions that wait for their client, those in a transaction
// only if all is true.
func (srv *Server) interruptWaiting(all bool) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	for _, s := range srv.sessions {
		s.interruptWaiting(all)
	}
}

func (srv *Server) closeAll() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	for _, s := range srv.sessions {
		_ = s.conn.Close()
	}
}
