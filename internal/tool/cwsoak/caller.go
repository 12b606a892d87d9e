package cwsoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Timing of a caller.
const (
	// answerTimeout is how long a caller waits for the answer to a statement.
	answerTimeout = 3 * time.Second
	meanThinkTime = 15 * time.Millisecond
	sessionPause  = 50 * time.Millisecond
	// minUndisturbed is the time before a statement in which there must have been no
	// unplanned fault for an interruption of the statement to count as a violation.
	minUndisturbed = 3 * time.Second
	// crossingWindow is the time within which a statement and the end of its session
	// may cross on the network. An instance that closes an idle session has not read
	// a statement that arrives at the same moment, so nothing of it ran.
	crossingWindow = 5 * time.Millisecond
)

// caller opens one session after another, each at a random instance and for a few
// operations.
type caller struct {
	env  *environment
	id   int
	rand *rand.Rand
	// itemCount is the number of items so far, lastNumber the last number that was
	// written to the current item.
	itemCount, lastNumber int
	item                  string
	group                 *group
	// statementCount is the number of statements so far, for their ids.
	statementCount int
}

func (c *caller) run(ctx context.Context) error {
	c.startItem()
	for sleep(ctx, sessionPause) {
		c.runSession(ctx)
	}
	return nil
}

// startItem begins a new item. It is called after a write with an unknown outcome:
// that write may still run later and overwrite a newer number of the same item.
func (c *caller) startItem() {
	c.group = c.env.groups[c.rand.IntN(len(c.env.groups))]
	c.item, c.lastNumber = itemName(c.id, c.itemCount), 0
	c.itemCount++
	c.env.ledger.addItem(c.group.Service, c.item)
}

// runSession opens a session at a random instance, with a random read rule, and runs 3
// to 22 operations on it, fewer if the session becomes unusable.
func (c *caller) runSession(ctx context.Context) {
	c.visit(ctx, visit{
		process:    c.env.instances[c.rand.IntN(len(c.env.instances))],
		operations: func() int { return 3 + c.rand.IntN(20) }, think: meanThinkTime,
	})
}

// visit is one session of a caller: its instance, its number of operations, and the mean
// time between two of them.
type visit struct {
	process    *process
	operations func() int
	think      time.Duration
}

// visit opens a session with a random read rule and runs operations on it, fewer if the
// session becomes unusable.
func (c *caller) visit(ctx context.Context, v visit) {
	readRule := readRules[c.rand.IntN(len(readRules))]
	key := c.env.access.currentKey(workspaceOf(c.id))
	t, err := c.env.cfg.Platform.Caller.Dial(ctx, cwport.Endpoint{Service: readRule.prefix + c.group.Service, Address: v.process.callerAddress}, key)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	s := &session{caller: c, target: t, process: v.process, rule: readRule.rule, key: key}
	s.startCount, _ = v.process.state()
	for range v.operations() {
		if !sleep(ctx, time.Duration(c.rand.Int64N(int64(2*v.think)))) || s.hasEnded() || !s.runOperation() {
			return
		}
	}
}

// session is a caller's connection to one instance.
type session struct {
	caller  *caller
	target  cwport.TargetConn
	process *process
	rule    cwcatalogue.ReadConsistency
	key     string
	// startCount is the number of starts of the process when the session began.
	startCount int
	// ackedNumber is the highest number of the caller's item that was acknowledged in
	// this session; zero if there is none.
	ackedNumber int
	// txStarted is when the BEGIN of the open transaction was sent; zero if no
	// transaction is open.
	txStarted time.Time
}

// hasEnded reports whether the instance has ended the session while no statement was in
// progress. It may say so by an error; any other message is an answer to nothing.
func (s *session) hasEnded() bool {
	if s.target.NoUnreadInput() {
		return false
	}
	if s.target.SetTimeout(answerTimeout) != nil {
		return true
	}
	a, err := s.target.Receive()
	var broken net.Error
	if err == nil || !errors.Is(err, io.EOF) && !errors.As(err, &broken) {
		s.caller.env.ledger.addViolation(MismatchedAnswer, "%s answered nothing that was asked: %v %v", s.process.name, a, err)
	}
	return true
}

// runOperation runs a random operation: a read of the caller's own item (40%), a read of
// any item of the group (20%), a write (30%) or a transaction (10%). It returns false
// if the session is no longer usable.
func (s *session) runOperation() bool {
	switch r := s.caller.rand.IntN(10); {
	case r < 4:
		return s.read(s.caller.item)
	case r < 6:
		name, ok := s.caller.env.ledger.randomItem(s.caller.group.Service, s.caller.rand.IntN)
		return !ok || s.read(name)
	case r < 9:
		return s.write()
	default:
		return s.runTransaction()
	}
}

// execute sends one statement and returns its answer and id; false if no answer
// arrived. For a statement that succeeded, it checks that the key was not revoked, and
// counts the operation for the check of the quota.
func (s *session) execute(verb cwstatement.Verb, text string) (cwstatement.Response, string, bool) {
	c := s.caller
	c.statementCount++
	id := fmt.Sprintf("c%d-%d", c.id, c.statementCount)
	if err := s.target.SetTimeout(answerTimeout); err != nil {
		return cwstatement.Response{}, id, false
	}
	began := time.Now()
	if verb == cwstatement.Read {
		s.recordRead(id, began)
	}
	a, err := roundTrip(s.target, cwstatement.Command{ID: id, Verb: verb, Text: text})
	if err != nil {
		s.checkInterruption(id, began, err)
		return a, id, false
	}
	if a.Code == cwstatement.OK {
		c.env.served.count.Add(1)
	}
	s.checkCrowdedOut(a, id)
	if a.Code == cwstatement.OK && verb != cwstatement.Begin && verb != cwstatement.Rollback {
		c.env.checkKey(s.key, began)
		if a.State == cwstatement.Idle && verb != cwstatement.Commit {
			c.env.access.countOperation(workspaceOf(c.id), began)
		}
	}
	return a, id, true
}

// recordRead records what a read that is sent now must see.
func (s *session) recordRead(id string, began time.Time) {
	if !s.txStarted.IsZero() {
		began = s.txStarted
	}
	c := s.caller
	r := sentRead{group: c.group.Service, instance: s.process.name, rule: s.rule, startedAt: began}
	if s.rule == cwcatalogue.ReadYourWrites && s.ackedNumber > 0 {
		r.item, r.ackedNumber = c.item, s.ackedNumber
	}
	c.env.ledger.recordRead(id, r)
}

// checkInterruption reports a violation if a planned stop of the instance interrupted a
// statement, unless the cause can be an unplanned fault, the timeout, or a statement
// that crossed the end of its session. If there are planned stops only, it records the
// statement for checkUnanswered.
func (s *session) checkInterruption(id string, began time.Time, err error) {
	took := time.Since(began)
	startCount, stopping := s.process.state()
	planned := stopping || startCount != s.startCount
	if s.caller.env.cfg.Stops {
		s.caller.env.ledger.recordUnanswered(unanswered{id: id, instance: s.process.name, took: took, stopping: planned, cause: err})
		return
	}
	if planned && took > crossingWindow && took < answerTimeout && s.caller.env.undisturbedFor(minUndisturbed+took) {
		s.caller.env.ledger.addViolation(StatementInterrupted, "statement interrupted by %s after %v: %v", s.process.name, took, err)
	}
}

// checkProof checks that an answer belongs to the statement with the id.
func (s *session) checkProof(a cwstatement.Response, id string) {
	if a.Proof != "proof-"+id {
		s.caller.env.ledger.addViolation(MismatchedAnswer, "statement %s got proof %q", id, a.Proof)
	}
}

// read reads an item and checks the value. It returns false if no answer arrived.
func (s *session) read(name string) bool {
	l := s.caller.env.ledger
	age := maxAge
	if s.rule == cwcatalogue.ReadLatest {
		age = 0
	}
	floor := l.minVisible(name, age)
	if s.rule == cwcatalogue.ReadYourWrites && name == s.caller.item {
		floor = max(floor, s.ackedNumber)
	}
	a, id, ok := s.execute(cwstatement.Read, "READ "+name)
	if !ok || a.Code != cwstatement.OK {
		return ok
	}
	s.checkProof(a, id)
	s.checkValue(name, a, floor)
	return true
}

// checkValue checks that an answer has one row with a number of at least floor. An empty
// value stands for 0.
func (s *session) checkValue(name string, a cwstatement.Response, floor int) {
	if len(a.Rows) != 1 {
		s.caller.env.ledger.addViolation(MismatchedAnswer, "%d rows for item %q", len(a.Rows), name)
		return
	}
	n := 0
	if a.Rows[0] != "" {
		var ok bool
		if n, ok = writtenNumber(name, a.Rows[0]); !ok {
			s.caller.env.ledger.addViolation(MismatchedAnswer, "value %q for item %q", a.Rows[0], name)
			return
		}
	}
	if n < floor {
		s.caller.env.ledger.addViolation(StaleRead, "%s read of item %q at %s returned %d, must be at least %d", s.rule, name, s.process.name, n, floor)
	}
}

// write writes the next number to the caller's item.
func (s *session) write() bool {
	c := s.caller
	c.lastNumber++
	a, id, ok := s.execute(cwstatement.Write, "WRITE "+c.item+" "+writtenText(c.item, c.lastNumber))
	if ok && a.Code == cwstatement.OK {
		s.checkProof(a, id)
	}
	return s.recordOutcome(a, ok)
}

// recordOutcome records the outcome of a write or a commit. It returns false if the
// session must be given up: after an unknown outcome the next item may belong to another
// group.
func (s *session) recordOutcome(a cwstatement.Response, answered bool) bool {
	c := s.caller
	switch {
	case answered && a.Code == cwstatement.OK:
		c.env.ledger.acknowledge(c.item, c.lastNumber)
		s.ackedNumber = c.lastNumber
	case answered && a.Code.NoEffect():
		c.env.ledger.recordNotRun(c.item, c.lastNumber)
	case answered && a.Code == cwstatement.Unauthorised:
		// The key was revoked; the next session uses the new one.
		c.env.ledger.recordNotRun(c.item, c.lastNumber)
		return false
	default:
		c.env.ledger.recordUnresolved()
		c.startItem()
		return false
	}
	return true
}

// runTransaction runs a transaction that writes, reads its own write, and commits, or
// rolls back after a failure and in a quarter of the cases.
func (s *session) runTransaction() bool {
	c := s.caller
	s.txStarted = time.Now()
	defer func() { s.txStarted = time.Time{} }()
	if a, _, ok := s.execute(cwstatement.Begin, "BEGIN"); !ok || a.Code != cwstatement.OK {
		return ok
	}
	c.lastNumber++
	a, id, ok := s.execute(cwstatement.Write, "WRITE "+c.item+" "+writtenText(c.item, c.lastNumber))
	if ok && a.Code == cwstatement.OK {
		s.checkProof(a, id)
		a, id, ok = s.execute(cwstatement.Read, "READ "+c.item)
		if ok && a.Code == cwstatement.OK {
			s.checkProof(a, id)
			s.checkValue(c.item, a, c.lastNumber)
		}
	}
	if !ok {
		// No COMMIT was sent, and the end of a connection rolls its transaction back.
		c.env.ledger.recordNotRun(c.item, c.lastNumber)
		return false
	}
	if a.Code != cwstatement.OK || c.rand.IntN(4) == 0 {
		c.env.ledger.recordNotRun(c.item, c.lastNumber)
		_, _, ok = s.execute(cwstatement.Rollback, "ROLLBACK")
		return ok
	}
	a, _, ok = s.execute(cwstatement.Commit, "COMMIT")
	return s.recordOutcome(a, ok)
}
