package cwengine

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwleadership"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmemoryguard"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
	"cicadawalk.example/cicadawalk/internal/proxy/cwtargetpool"
)

// Timeouts of transactions that other instances have forwarded.
const (
	// defaultIdleTimeout applies to entries without an idle timeout of their own.
	defaultIdleTimeout = 30 * time.Second
	// idleTimeoutSlack is added to the timeout, because the caller's own instance
	// enforces it as well and tells the caller the reason.
	idleTimeoutSlack = 2 * time.Second
	// idleCheckInterval is the time between two checks for idle transactions.
	idleCheckInterval = time.Second
)

// forwardedTransaction is a transaction that runs here for a caller of another
// instance.
type forwardedTransaction struct {
	// conn identifies the connection on which it arrived. The transaction is rolled
	// back when that connection ends.
	conn any

	mu      sync.Mutex
	session *session
	// lastUsed is the end of its last statement, in nanoseconds since the Unix epoch.
	lastUsed atomic.Int64
	ended    bool
	// connClosed is true once the connection has ended.
	connClosed atomic.Bool
}

// ServeForwarded runs a statement that another instance has forwarded, and calls reply once
// with its answer, at the latest when a shutdown gives the statement up. The answer has
// TryOtherHolder set if nothing ran and another holder may run the statement. from
// identifies the connection on which it arrived; see ConnectionClosed.
func (e *Engine) ServeForwarded(from any, h cwport.ForwardRequest, reply func(cwport.ForwardResponse)) {
	open := newForwardedStatement(h, reply, e.cfg.Clock.Now())
	e.open.begin(open)
	r := e.runForwardedRequest(from, h, open)
	if !e.open.claim(open) {
		return
	}
	reply(r)
	e.open.end(open)
}

// forwardRequester gets the answers to a statement of another instance. It implements
// requester.
type forwardRequester struct {
	reply func(cwport.ForwardResponse)
	// first is true if the statement may run at another holder.
	first bool
}

func newForwardedStatement(h cwport.ForwardRequest, reply func(cwport.ForwardResponse), now time.Time) *openStatement {
	v := h.Statement.Verb
	single := h.Transaction == ""
	mayWrite := v == cwstatement.Write || v == cwstatement.Execute && h.Prepared != nil && h.Prepared.Writes
	return &openStatement{
		id: h.Statement.ID, verb: v, from: fromInstance, readAt: now,
		requester: &forwardRequester{reply: reply, first: isFirst(h)},
		mayCommit: single && mayWrite || v == cwstatement.Commit, inTransaction: !single && v != cwstatement.Commit,
	}
}

// writeAnswer implements requester.
func (r *forwardRequester) writeAnswer(s *openStatement, a cwstatement.Response) {
	r.reply(cwport.ForwardResponse{Answer: a, TryOtherHolder: r.first && a.Code.NoEffect(), NotRun: s.target == "", Leaving: true})
}

// isFirst reports whether a statement is single or the first of its transaction.
func isFirst(h cwport.ForwardRequest) bool {
	return h.Transaction == "" || h.Begin != cwstatement.UnknownVerb
}

// runForwardedRequest runs a statement of another instance and returns its answer.
func (e *Engine) runForwardedRequest(from any, h cwport.ForwardRequest, open *openStatement) cwport.ForwardResponse {
	began := open.readAt.Add(-h.Elapsed)
	if h.Transaction != "" && h.Begin == cwstatement.UnknownVerb {
		return e.continueForwarded(h, open, began)
	}
	if e.draining.Load() {
		r := runElsewhere("the instance is shutting down")
		r.Leaving = true
		return r
	}
	group, ok := e.groupForStatement(h.Entry.Groups[0].Name)
	if !ok {
		return runElsewhere("the instance does not serve the group")
	}
	s := &session{engine: e, database: h.Entry.Service, open: open, forwarded: &forwardedContext{entry: h.Entry, group: group}, memory: noMemory}
	s.applyForwardRequest(h)
	if h.Transaction == "" {
		return s.newForwardResponse(h, group, s.handle(h.Statement, began))
	}
	if a := s.begin(cwstatement.Statement{Verb: h.Begin}); a.Code != cwstatement.OK {
		return s.newForwardResponse(h, group, a.WithState(cwstatement.InFailedTransaction))
	}
	t := &forwardedTransaction{conn: from, session: s}
	t.lastUsed.Store(e.cfg.Clock.Now().UnixNano())
	t.mu.Lock()
	defer t.mu.Unlock()
	e.mu.Lock()
	e.forwardedTransactions[h.Transaction] = t
	e.mu.Unlock()
	return e.runForwarded(t, h, began)
}

// continueForwarded runs a statement of a transaction after the first one.
func (e *Engine) continueForwarded(h cwport.ForwardRequest, open *openStatement, began time.Time) cwport.ForwardResponse {
	e.mu.RLock()
	t, ok := e.forwardedTransactions[h.Transaction]
	e.mu.RUnlock()
	if !ok {
		return rolledBackAnswer(h.Statement.Verb)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return rolledBackAnswer(h.Statement.Verb)
	}
	t.session.applyForwardRequest(h)
	t.session.open = open
	return e.runForwarded(t, h, began)
}

// rolledBackAnswer is the answer for a transaction that has been rolled back in the
// meantime. A commit ends the transaction for the caller as well.
func rolledBackAnswer(v cwstatement.Verb) cwport.ForwardResponse {
	a := cwstatement.RetryLater(cwstatement.Aborted, "the transaction was rolled back", unreachableRetryAfter)
	if v != cwstatement.Commit {
		a = a.WithState(cwstatement.InFailedTransaction)
	}
	return cwport.ForwardResponse{Answer: a}
}

// runForwarded runs a statement of a transaction, and removes the transaction if it
// is over then. The caller holds t.mu.
func (e *Engine) runForwarded(t *forwardedTransaction, h cwport.ForwardRequest, began time.Time) cwport.ForwardResponse {
	a := t.session.handle(h.Statement, began)
	t.session.releaseForwardRequest()
	t.lastUsed.Store(e.cfg.Clock.Now().UnixNano())
	if a.State != cwstatement.InTransaction || t.connClosed.Load() {
		t.rollback("")
		e.removeForwarded(h.Transaction, t)
	}
	return t.session.newForwardResponse(h, t.session.forwarded.group, a)
}

// rollback ends the transaction and rolls it back if it is open. The caller holds
// t.mu.
func (t *forwardedTransaction) rollback(reason string) {
	t.ended = true
	if tx := t.session.tx; tx != nil {
		tx.fail(reason)
	}
}

func (e *Engine) removeForwarded(name string, t *forwardedTransaction) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.forwardedTransactions[name] == t {
		delete(e.forwardedTransactions, name)
	}
}

// applyForwardRequest replaces the state of the session by that in the message from the
// caller's instance.
func (s *session) applyForwardRequest(h cwport.ForwardRequest) {
	group := h.Entry.Groups[0].Name
	s.sessionState = sessionState{settings: cwtargetpool.NewSettings(h.Values)}
	s.workspace = h.Workspace
	if h.Memory != nil {
		s.memory = h.Memory
	}
	if h.Prepared != nil {
		p := h.Prepared
		s.prepared = map[string]preparedStatement{
			h.Statement.Name: {name: preparedName(p.Writes, p.Text), text: p.Text, writes: p.Writes},
		}
	}
	s.lastWrites = nil
	if h.LastWrite.Index > 0 {
		s.recordWrite(group, h.LastWrite)
	}
}

// noMemory is an account that grants everything.
var noMemory cwport.Memory = (*cwmemoryguard.Holder)(nil)

// releaseForwardRequest drops what the session got with a statement of a transaction. The next
// statement brings it again.
func (s *session) releaseForwardRequest() {
	s.sessionState, s.memory = sessionState{}, noMemory
}

// RefuseForwarded returns the answer to a statement for which there is no memory here, and rolls
// back its transaction. h has the transaction, begin and verb only.
func (e *Engine) RefuseForwarded(h cwport.ForwardRequest, cause error) cwport.ForwardResponse {
	a := memoryRefusal(cause)
	if h.Transaction != "" {
		e.mu.RLock()
		refused := e.forwardedTransactions[h.Transaction]
		e.mu.RUnlock()
		e.rollbackForwarded(a.Detail, func(t *forwardedTransaction) bool { return t == refused })
		if h.Statement.Verb != cwstatement.Commit {
			a = a.WithState(cwstatement.InFailedTransaction)
		}
	}
	return cwport.ForwardResponse{Answer: a, NotRun: isFirst(h)}
}

// newForwardResponse builds the answer to the caller's own instance.
//
// If this instance is cut off from the group's members, other instances may still
// reach them, and refusing the caller would be wrong. A statement that was refused
// here with the guarantee that nothing of it is kept may run on another instance, as
// may the first statement of a transaction.
func (s *session) newForwardResponse(h cwport.ForwardRequest, group *cwleadership.Group, a cwstatement.Response) cwport.ForwardResponse {
	r := cwport.ForwardResponse{
		Answer: a, Contended: s.workspace != "" && group.Contended(), NotRun: !s.operation.mayHaveRun && a.Code != cwstatement.OK,
	}
	if a.Code != cwstatement.OK {
		r.TryOtherHolder = isFirst(h) && group.MajorityUnreachable() && a.Code.NoEffect()
		return r
	}
	if m := s.lastWrites[h.Entry.Groups[0].Name]; m != h.LastWrite {
		r.CommitPosition = m
	}
	return r
}

// runElsewhere returns the answer that makes the caller's instance try another holder.
func runElsewhere(detail string) cwport.ForwardResponse {
	return cwport.ForwardResponse{Answer: cwstatement.RetryLater(cwstatement.Aborted, detail, unreachableRetryAfter), TryOtherHolder: true, NotRun: true}
}

// ConnectionClosed rolls back the transactions that arrived on a connection that has ended.
func (e *Engine) ConnectionClosed(from any) {
	e.rollbackForwarded("the caller's instance is gone", func(t *forwardedTransaction) bool {
		if t.conn == from {
			t.connClosed.Store(true)
		}
		return t.connClosed.Load()
	})
}

// rollbackForwarded rolls back the transactions for which f returns true. It skips
// those that are running a statement.
func (e *Engine) rollbackForwarded(reason string, f func(*forwardedTransaction) bool) {
	e.mu.RLock()
	all := maps.Clone(e.forwardedTransactions)
	e.mu.RUnlock()
	for name, t := range all {
		if !f(t) || !t.mu.TryLock() {
			continue
		}
		t.rollback(reason)
		t.mu.Unlock()
		e.removeForwarded(name, t)
	}
}

// loopForwarded rolls back transactions that have been idle for too long.
//
// When the caller's instance loses power, nothing reports that its connection has
// ended, and its transactions would hold connections to targets for good. The callers
// of that instance are gone as well.
func (e *Engine) loopForwarded(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-e.cfg.Clock.After(idleCheckInterval):
		case <-ctx.Done():
			return nil
		}
		now := e.cfg.Clock.Now()
		e.rollbackForwarded("the transaction rested for too long", func(t *forwardedTransaction) bool {
			used := time.Unix(0, t.lastUsed.Load())
			bound := t.session.forwarded.entry.Contract.IdleTransaction
			if bound == 0 {
				bound = defaultIdleTimeout
			}
			return now.Sub(used) > bound+idleTimeoutSlack
		})
	}
	return nil
}

// forwardedContext is the entry and group of a session that runs statements for
// another instance.
type forwardedContext struct {
	entry cwcatalogue.Entry
	group *cwleadership.Group
}
