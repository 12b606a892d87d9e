// Package cwfront serves callers.
//
// A Server accepts connections and gives each a session. A session reads what
// its caller sends up to the end of a statement or batch, decides by its kind
// where it goes, borrows a connection there for as long as the statement or
// transaction lasts, and passes the answer back. The answer to a write is held
// until a majority of the group has the record. Whatever the session needs in
// order to go on at another connection or proxy is with the caller or in the
// session's settings, never on a target's connection.
package cwfront

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
	"cicadawalk.example/cicadawalk/internal/proxy/cwpool"
	"cicadawalk.example/cicadawalk/internal/proxy/cwwatch"
	"cicadawalk.example/cicadawalk/internal/wire/cwlisten"
	"cicadawalk.example/cicadawalk/internal/wire/cwsql"
)

// Services is what the sessions need of the proxy around them.
type Services interface {
	// Ready reports whether the proxy knows enough to serve.
	Ready() bool
	// Revision changes whenever entries or groups change.
	Revision() uint64
	// Entry returns the catalogue's entry of a service.
	Entry(service string) (cwcatalogue.Entry, bool)
	// Group returns the live state of a group.
	Group(name string) (*cwwatch.Group, bool)
	// Pool returns the pool of connections to a member.
	Pool(id cwgroup.MemberID) (*cwpool.Pool, bool)
	// ForwardCancel passes a request to cancel on to the proxy that its process
	// id tells.
	ForwardCancel(pid uint32, secret []byte)
}

// Limits of what is read from callers.
const (
	// MaxMessage is the longest message, in bytes.
	MaxMessage = 64 << 20
	// maxStartup is the longest start-up message, in bytes.
	maxStartup = 16 << 10
	// HandshakeTimeout bounds the time until the start-up message is complete.
	HandshakeTimeout = 10 * time.Second
	// maxBatch bounds the messages of a batch before its Sync.
	maxBatch = 10000
)

// Metrics are the figures of the sessions.
type Metrics struct {
	Statements, ReplicaReads, PrimaryReads, Writes *metrics.Counter
	NotRun, Unknown, Retries, Replays              *metrics.Counter
	AckWait                                        *metrics.Histogram
}

// NewMetrics registers the figures in a set.
func NewMetrics(s *metrics.Set) *Metrics {
	return &Metrics{
		Statements:   s.NewCounter("cicadawalk_statements_total"),
		ReplicaReads: s.NewCounter(`cicadawalk_reads_total{at="replica"}`),
		PrimaryReads: s.NewCounter(`cicadawalk_reads_total{at="primary"}`),
		Writes:       s.NewCounter("cicadawalk_writes_total"),
		NotRun:       s.NewCounter(`cicadawalk_refusals_total{outcome="notRun"}`),
		Unknown:      s.NewCounter(`cicadawalk_refusals_total{outcome="unknown"}`),
		Retries:      s.NewCounter("cicadawalk_retries_total"),
		Replays:      s.NewCounter("cicadawalk_replays_total"),
		AckWait:      s.NewHistogram("cicadawalk_ack_wait_seconds"),
	}
}

// Server accepts callers. Set the exported fields before Run.
type Server struct {
	Services Services
	Clock    clockwork.Clock
	Log      *log.Logger
	Metrics  *Metrics
	// Tag is in the process ids of this proxy's sessions, see TagOf.
	Tag uint16
	// Version is reported to callers as server_version.
	Version string

	parsed   cwsql.Cache
	draining atomic.Bool
	retries  budget
	listener *cwlisten.Listener

	mu       sync.Mutex
	sessions map[cancelKey]*session
}

// Bounds of retries: one for ten statements, and a few saved up for the moment
// in which a primary is replaced.
const (
	retryRatio = 0.1
	retrySaved = 200
)

// budget bounds the retries of all sessions together, so that an outage is not
// multiplied.
type budget struct {
	mu sync.Mutex
	b  cwlimit.RetryBudget
}

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.b.Ratio, b.b.Max = retryRatio, retrySaved
	b.b.Earn()
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Spend()
}

// cancelKey names a session in a request to cancel.
type cancelKey struct {
	pid    uint32
	secret uint32
}

// Run accepts callers until ctx ends, and then returns without waiting for the
// sessions; see Drain.
func (v *Server) Run(ctx context.Context, ln net.Listener) error {
	v.listener = &cwlisten.Listener{
		Listener: ln,
		Handle:   func(_ context.Context, conn net.Conn) { v.serve(conn) },
		Failed:   func(err error) { v.Log.Warn("acceptFailed", "error", err) },
	}
	return v.listener.Run(ctx)
}

func (v *Server) serve(conn net.Conn) {
	defer conn.Close()
	s := newSession(v, conn)
	if !s.startup() {
		return
	}
	v.register(s)
	defer v.unregister(s)
	s.run()
}

func (v *Server) register(s *session) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.sessions == nil {
		v.sessions = make(map[cancelKey]*session)
	}
	v.sessions[s.key] = s
}

func (v *Server) unregister(s *session) {
	v.mu.Lock()
	delete(v.sessions, s.key)
	v.mu.Unlock()
}

// Draining reports whether the server takes no more callers.
func (v *Server) Draining() bool { return v.draining.Load() }

// Sessions returns the number of connected callers.
func (v *Server) Sessions() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.sessions)
}

func newCancelKey(tag uint16) cancelKey {
	var b [6]byte
	_, _ = rand.Read(b[:])
	pid := uint32(tag&tagMask)<<tagShift | uint32(binary.BigEndian.Uint16(b[:2]))
	return cancelKey{pid: pid, secret: binary.BigEndian.Uint32(b[2:])}
}

// A process id is 31 bits: 15 tell the proxy, 16 the session.
const (
	tagShift = 16
	tagMask  = 0x7fff
)

// TagOf returns the tag of an instance. The platform's balancer may bring a
// request to cancel to any proxy; the tag in its process id tells which one to
// pass it on to. Two instances can have the same tag; then both are told.
func TagOf(instance string) uint16 {
	h := fnv.New32a()
	h.Write([]byte(instance))
	sum := h.Sum32()
	return uint16(sum^sum>>16) & tagMask
}

// TagOfPID returns the tag that a process id has.
func TagOfPID(pid uint32) uint16 { return uint16(pid>>tagShift) & tagMask }

// CancelLocal ends the statement of a session of this proxy. It reports whether
// there is such a session.
func (v *Server) CancelLocal(pid uint32, secret []byte) bool {
	if len(secret) != 4 {
		return false
	}
	v.mu.Lock()
	s, ok := v.sessions[cancelKey{pid: pid, secret: binary.BigEndian.Uint32(secret)}]
	v.mu.Unlock()
	if ok {
		s.cancelStatement()
	}
	return ok
}

// Drain lets the sessions end: each is closed once no statement is in progress
// and no transaction is open. It returns when all are gone, or with ctx's error
// if that takes longer.
func (v *Server) Drain(ctx context.Context) error {
	v.draining.Store(true)
	v.mu.Lock()
	for _, s := range v.sessions {
		s.wakeIdle()
	}
	v.mu.Unlock()
	done := make(chan struct{})
	go func() {
		v.listener.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		v.closeAll()
		return ctx.Err()
	}
}

func (v *Server) closeAll() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.sessions {
		_ = s.conn.Close()
	}
}
