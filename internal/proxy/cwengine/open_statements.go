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
	// mayCommit is true if it can commit a write, and inTransaction if it runs inside a
	// transaction that it does not end.
	mayCommit, inTransaction bool
	// requester gets the answer, from whoever has claimed the statement.
	requester requester
	claimed   bool
}

// requester is the sender of an open statement.
type requester interface {
	// writeAnswer writes the answer to a statement that is given up, and ends the session
	// if the sender is a caller.
	writeAnswer(s *openStatement, a cwstatement.Response)
}

// interruptedAnswer returns the answer to a statement that is given up. What may have been
// sent may commit later; all else has no effect, since nothing is sent any more, and the
// transaction that it belongs to is rolled back.
func (s *openStatement) interruptedAnswer() cwstatement.Response {
	switch {
	case s.mayCommit && (s.holder != "" || s.target != ""):
		return cwstatement.Failure(cwstatement.Unresolved, "the instance is shutting down, and the database has not answered")
	case s.inTransaction:
		return shutdownAnswer().WithState(cwstatement.InFailedTransaction)
	}
	return shutdownAnswer()
}

// openStatements has the statements that this instance has read and not yet answered.
// The zero value is empty. It is safe for concurrent use.
type openStatements struct {
	mu  sync.Mutex
	all map[*openStatement]struct{}
	// ofInstances is the number of those that came from other instances.
	ofInstances int
}

// begin adds a statement that was read.
func (o *openStatements) begin(s *openStatement) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.all == nil {
		o.all = make(map[*openStatement]struct{})
	}
	o.all[s] = struct{}{}
	if s.from == fromInstance {
		o.ofInstances++
	}
}

// run gives up a statement that the caller of run has claimed: it answers and removes it.
func (o *openStatements) run(s *openStatement) {
	s.requester.writeAnswer(s, s.interruptedAnswer())
	o.end(s)
}

// countOfInstances returns the number of statements of other instances.
func (o *openStatements) countOfInstances() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ofInstances
}

// empty reports whether there is no statement.
func (o *openStatements) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.all) == 0
}

// claim reports whether the caller is to answer a statement; false if its answer was given
// already.
func (o *openStatements) claim(s *openStatement) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	first := !s.claimed
	s.claimed = true
	return first
}

// interrupt claims all statements that nobody has claimed, and returns them, the oldest
// first.
func (o *openStatements) interrupt() []*openStatement {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []*openStatement
	for s := range o.all {
		if !s.claimed {
			s.claimed = true
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *openStatement) int { return a.readAt.Compare(b.readAt) })
	return out
}

// end removes a statement that was answered.
func (o *openStatements) end(s *openStatement) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.all, s)
	if s.from == fromInstance {
		o.ofInstances--
	}
}

// recordForward records that a statement is sent to another instance. It returns false if
// the statement must not be sent, because it was given up. For nil it returns true.
func (o *openStatements) recordForward(s *openStatement, holder string) bool {
	return o.recordSent(s, func() { s.holder = holder })
}

// recordTarget records that a statement is sent to a member. It returns false if the
// statement must not be sent, because it was given up. For nil it returns true.
func (o *openStatements) recordTarget(s *openStatement, target cwgroup.MemberID) bool {
	return o.recordSent(s, func() { s.target = target })
}

func (o *openStatements) recordSent(s *openStatement, record func()) bool {
	if s == nil {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if s.claimed {
		return false
	}
	record()
	return true
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

// LogUnanswered logs each statement that has no answer. It is called right before the
// process ends, when none should be left.
func (e *Engine) LogUnanswered() {
	for _, s := range e.open.list() {
		e.cfg.Metrics.countUnanswered(s.from)
		e.cfg.Log.Error("statementUnanswered", "id", s.id, "verb", s.verb, "from", s.from, "holder", s.holder, "target", s.target,
			"ageMs", e.cfg.Clock.Since(s.readAt).Milliseconds())
	}
}
