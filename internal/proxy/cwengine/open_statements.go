package cwengine

import (
	"slices"
	"sync"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
)

// origin is the sender of a statement.
type origin string

const (
	fromCaller   origin = "caller"
	fromInstance origin = "instance"
)

// openStatement is a statement that this instance has read and not yet answered. Its
// fields are guarded by the lock of its openStatements.
type openStatement struct {
	id     string
	verb   cwstatement.Verb
	from   origin
	readAt time.Time
	// holder is the instance that it was last forwarded to, and target the member that it
	// was last sent to; empty if there is none.
	holder string
	target cwgroup.MemberID
}

// openStatements has the statements that this instance has read and not yet answered.
// The zero value is empty. It is safe for concurrent use.
type openStatements struct {
	mu  sync.Mutex
	all map[*openStatement]struct{}
}

// begin adds a statement that was read.
func (o *openStatements) begin(st cwstatement.Statement, from origin, now time.Time) *openStatement {
	s := &openStatement{id: st.ID, verb: st.Verb, from: from, readAt: now}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.all == nil {
		o.all = make(map[*openStatement]struct{})
	}
	o.all[s] = struct{}{}
	return s
}

// end removes a statement that was answered. It has no effect on nil.
func (o *openStatements) end(s *openStatement) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.all, s)
}

// recordForward records that a statement is sent to another instance. It has no effect
// on nil.
func (o *openStatements) recordForward(s *openStatement, holder string) {
	if s == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s.holder = holder
}

// recordTarget records that a statement is sent to a member. It has no effect on nil.
func (o *openStatements) recordTarget(s *openStatement, target cwgroup.MemberID) {
	if s == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s.target = target
}

// list returns copies of the statements, the oldest first.
func (o *openStatements) list() []openStatement {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]openStatement, 0, len(o.all))
	for s := range o.all {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b openStatement) int { return a.readAt.Compare(b.readAt) })
	return out
}

// openCounts are numbers of open statements.
type openCounts struct{ callers, forwarded, instances int }

// count returns the numbers of statements of callers, those of them that were forwarded,
// and of statements of other instances.
func (o *openStatements) count() openCounts {
	var n openCounts
	for _, s := range o.list() {
		switch {
		case s.from == fromInstance:
			n.instances++
		case s.holder != "":
			n.forwarded++
			n.callers++
		default:
			n.callers++
		}
	}
	return n
}

// logStopStep logs what is open at a step of a shutdown that began at a time.
func (e *Engine) logStopStep(step string, began time.Time) {
	n := e.open.count()
	e.mu.RLock()
	sessions, transactions := len(e.sessions), len(e.forwardedTransactions)
	e.mu.RUnlock()
	e.cfg.Log.Info("stopStep", "step", step, "sessions", sessions, "statements", n.callers, "forwarded", n.forwarded,
		"statementsOfInstances", n.instances, "transactionsOfInstances", transactions, "tookMs", e.cfg.Clock.Since(began).Milliseconds())
}

// LogUnanswered logs each statement that has no answer. It is called right before the
// process ends, when none should be left.
func (e *Engine) LogUnanswered() {
	for _, s := range e.open.list() {
		e.cfg.Metrics.countUnanswered(s.from)
		e.cfg.Log.Error("statementUnanswered", "id", s.id, "verb", s.verb, "from", s.from, "holder", s.holder, "target", s.target,
			"ageMs", e.cfg.Clock.Since(s.readAt).Milliseconds())
	}
}
