// Package cwmemoryguard shares the memory budget of a process among its connections.
//
// A Guard decides by the rules of cwmemory. A Holder is the account of one connection, or of one
// statement of another instance. The guard tells the holder that has to give way, counts what is
// held and refused, and logs refusals, one line a second at most.
package cwmemoryguard

import (
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"cicadawalk.example/cicadawalk/internal/core/cwmemory"
)

// Bytes that are charged for what has no length of its own.
const (
	// ConnectionBytes is for an open connection with its buffers and its goroutine.
	ConnectionBytes = 6 << 10
	// StatementBytes is for a statement in progress: the stack that its goroutine needs, and what
	// the kernel receives on the connection meanwhile.
	StatementBytes = 16 << 10
	// ReceiveBuffer is the size of the kernel's receive buffer of a caller's connection.
	ReceiveBuffer = 16 << 10
)

// RetryAfter is the retry delay for those that were refused: some statements end meanwhile.
const RetryAfter = 100 * time.Millisecond

// logInterval is the least time between two lines about refusals.
const logInterval = time.Second

// Guard shares a budget. It is safe for concurrent use. A nil Guard grants everything.
type Guard struct {
	clock clockwork.Clock
	log   *log.Logger
	// refusals counts by kind, and gaveWay the holders that were told to give way.
	refusals map[cwmemory.Kind]*metrics.Counter
	gaveWay  *metrics.Counter

	mu      sync.Mutex
	budget  *cwmemory.Budget
	holders map[*cwmemory.Account]*Holder
	// loggedAt is the time of the last line about a refusal, and unlogged the number of refusals
	// since then.
	loggedAt time.Time
	unlogged int
}

// New returns a guard with a limit in bytes and registers its metrics in set. The limit is that of
// what parties hold, not of the process; zero means no limit.
func New(limit int64, clock clockwork.Clock, logger *log.Logger, set *metrics.Set) *Guard {
	g := &Guard{
		clock: clock, log: logger, budget: cwmemory.New(limit), holders: make(map[*cwmemory.Account]*Holder),
		refusals: make(map[cwmemory.Kind]*metrics.Counter), gaveWay: set.NewCounter("cicadawalk_memory_gave_way_total"),
	}
	set.NewGauge("cicadawalk_memory_limit_bytes", func() float64 { return float64(limit) })
	for _, k := range cwmemory.Kinds() {
		label := `{kind="` + k.String() + `"}`
		g.refusals[k] = set.NewCounter("cicadawalk_memory_refused_total" + label)
		set.NewGauge("cicadawalk_memory_held_bytes"+label, func() float64 { return float64(g.Held(k)) })
	}
	return g
}

// Held returns the bytes of one kind that all holders hold.
func (g *Guard) Held(k cwmemory.Kind) int64 {
	if g == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Held(k)
}

// Open returns a holder without bytes. giveWay is called when the holder has to give way, possibly
// more than once and from any goroutine; it must not block. If it is nil, the holder never gives way.
func (g *Guard) Open(giveWay func()) *Holder {
	if g == nil {
		return nil
	}
	h := &Holder{guard: g, account: &cwmemory.Account{}, giveWay: giveWay}
	if giveWay == nil {
		h.account = cwmemory.NewFixedAccount()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holders[h.account] = h
	return h
}

// charge returns the holder that has to give way.
func (g *Guard) charge(h *Holder, k cwmemory.Kind, n int64) (*Holder, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	victim, err := g.budget.Charge(h.account, k, n)
	if err != nil {
		g.recordRefusal(k, err)
	}
	return g.holders[victim], err
}

// recordRefusal counts and logs a refused charge. The caller holds mu.
func (g *Guard) recordRefusal(k cwmemory.Kind, err error) {
	g.refusals[k].Inc()
	g.unlogged++
	now := g.clock.Now()
	var exceeded *cwmemory.ExceededError
	if now.Sub(g.loggedAt) < logInterval || !errors.As(err, &exceeded) {
		return
	}
	g.log.Warn("memoryRefused", "kind", k, "wantedBytes", exceeded.Wanted, "heldBytes", exceeded.Held,
		"totalBytes", exceeded.Total, "limitBytes", exceeded.Limit, "refused", g.unlogged)
	g.loggedAt, g.unlogged = now, 0
}

// Holder is the account of one party. It is safe for concurrent use. A nil Holder holds nothing and
// is granted everything.
type Holder struct {
	guard   *Guard
	account *cwmemory.Account
	giveWay func()
}

// Charge adds n bytes. The error is a *cwmemory.ExceededError; nothing is charged then.
func (h *Holder) Charge(k cwmemory.Kind, n int64) error {
	if h == nil {
		return nil
	}
	victim, err := h.guard.charge(h, k, n)
	if victim != nil {
		h.guard.gaveWay.Inc()
		victim.giveWay()
	}
	return err
}

// Release returns n bytes, at most those that are held.
func (h *Holder) Release(k cwmemory.Kind, n int64) {
	if h == nil {
		return
	}
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	h.guard.budget.Release(h.account, k, n)
}

// ReleaseAll returns all bytes of some kinds.
func (h *Holder) ReleaseAll(kinds ...cwmemory.Kind) {
	if h == nil {
		return
	}
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	for _, k := range kinds {
		h.guard.budget.Release(h.account, k, h.account.Held(k))
	}
}

// Close returns all bytes. Later charges are refused.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	h.guard.budget.Close(h.account)
	delete(h.guard.holders, h.account)
}

// Held returns the bytes of one kind that the holder holds.
func (h *Holder) Held(k cwmemory.Kind) int64 {
	if h == nil {
		return 0
	}
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	return h.account.Held(k)
}
