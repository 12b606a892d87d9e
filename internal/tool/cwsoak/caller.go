package cwsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Times of a caller.
const (
	answerWithin = 3 * time.Second
	thinkTime    = 15 * time.Millisecond
	sessionPause = 50 * time.Millisecond
	// calmFor is how long no unplanned fault may have been for a cut to count.
	calmFor = 3 * time.Second
	// crossing is how long a statement and the end of its session may be on
	// their way to each other: an instance that sends a resting caller away has
	// not read what comes at the same moment, and nothing of it ran.
	crossing = 5 * time.Millisecond
)

// caller is one person: a session after the other, at any instance, each for
// some statements.
type caller struct {
	world *world
	id    int
	rand  *rand.Rand
	// items counts the items, n the numbers written to the present one.
	items, n int
	item     string
	group    *group
	// sent counts the statements, for their ids.
	sent int
}

func (c *caller) loop(ctx context.Context) error {
	c.nextItem()
	for pause(ctx, sessionPause) {
		c.session(ctx)
	}
	return nil
}

// nextItem begins a new item. After a write of which nobody knows whether it
// ran, it may yet run later, over a newer number of the same item.
func (c *caller) nextItem() {
	c.group = c.world.groups[c.rand.IntN(len(c.world.groups))]
	c.item, c.n = fmt.Sprintf("i%d-%d", c.id, c.items), 0
	c.items++
	c.world.ledger.open(c.group.Service, c.item)
}

// session serves one session until it ends.
func (c *caller) session(ctx context.Context) {
	p := c.world.instances[c.rand.IntN(len(c.world.instances))]
	kind := rules[c.rand.IntN(len(rules))]
	key := c.world.access.key(workspaceOf(c.id))
	t, err := c.world.cfg.Platform.Caller.Dial(ctx, cwport.Endpoint{Service: kind.prefix + c.group.Service, Address: p.callers}, key)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	s := &session{caller: c, target: t, process: p, rule: kind.rule, key: key}
	s.life, _ = p.state()
	for range 3 + c.rand.IntN(20) {
		if !pause(ctx, time.Duration(c.rand.Int64N(int64(2*thinkTime)))) || !s.operation() {
			return
		}
	}
}

// session is a caller's connection to one instance.
type session struct {
	caller  *caller
	target  cwport.Target
	process *process
	rule    cwcatalogue.ReadRule
	key     string
	// life is the count of starts of the process when the session began.
	life int
	// wrote is the highest number of the caller's item that it acknowledged.
	wrote int
	// txBegan is when the open transaction was sent; zero if there is none.
	txBegan time.Time
}

// operation does one thing. It returns false once the session is of no use.
func (s *session) operation() bool {
	switch r := s.caller.rand.IntN(10); {
	case r < 4:
		return s.read(s.caller.item)
	case r < 6:
		name, ok := s.caller.world.ledger.any(s.caller.group.Service, s.caller.rand.IntN)
		return !ok || s.read(name)
	case r < 9:
		return s.write()
	default:
		return s.transaction()
	}
}

// ask sends one statement. The second result is false if no answer came.
func (s *session) ask(verb cwstatement.Verb, text string) (cwstatement.Response, string, bool) {
	c := s.caller
	c.sent++
	id := fmt.Sprintf("c%d-%d", c.id, c.sent)
	if err := s.target.SetTimeout(answerWithin); err != nil {
		return cwstatement.Response{}, id, false
	}
	began := time.Now()
	if verb == cwstatement.Read {
		s.noteRead(id, began)
	}
	a, err := ask(s.target, cwstatement.Command{ID: id, Verb: verb, Text: text})
	if err != nil {
		s.cut(began, err)
		return a, id, false
	}
	if a.Code == cwstatement.OK && verb != cwstatement.Begin && verb != cwstatement.Rollback {
		c.world.checkKey(s.key, began)
		if a.State == cwstatement.Idle && verb != cwstatement.Commit {
			c.world.access.count(workspaceOf(c.id), began)
		}
	}
	return a, id, true
}

// noteRead notes what a read that is sent now must see.
func (s *session) noteRead(id string, began time.Time) {
	if !s.txBegan.IsZero() {
		began = s.txBegan
	}
	c := s.caller
	r := sentRead{group: c.group.Service, instance: s.process.name, rule: s.rule, began: began}
	if s.rule == cwcatalogue.ReadOwnWrites && s.wrote > 0 {
		r.item, r.wrote = c.item, s.wrote
	}
	c.world.ledger.noteRead(id, r)
}

// cut checks a connection that ended in the middle of a statement.
func (s *session) cut(began time.Time, err error) {
	took := time.Since(began)
	life, ending := s.process.state()
	planned := ending || life != s.life
	if planned && took > crossing && took < answerWithin && s.caller.world.calm(calmFor+took) {
		s.caller.world.ledger.fail(Cut, "by %s after %v: %v", s.process.name, took, err)
	}
}

// checkProof checks that an answer is to the statement.
func (s *session) checkProof(a cwstatement.Response, id string) {
	if a.Proof != "proof-"+id {
		s.caller.world.ledger.fail(Mixed, "%s got %q", id, a.Proof)
	}
}

func (s *session) read(name string) bool {
	l := s.caller.world.ledger
	age := maxAge
	if s.rule == cwcatalogue.ReadNewest {
		age = 0
	}
	floor := l.floor(name, age)
	if s.rule == cwcatalogue.ReadOwnWrites && name == s.caller.item {
		floor = max(floor, s.wrote)
	}
	a, id, ok := s.ask(cwstatement.Read, "READ "+name)
	if !ok || a.Code != cwstatement.OK {
		return ok
	}
	s.checkProof(a, id)
	s.checkValue(name, a, floor)
	return true
}

func (s *session) checkValue(name string, a cwstatement.Response, floor int) {
	if len(a.Rows) != 1 {
		s.caller.world.ledger.fail(Mixed, "%d rows for %s", len(a.Rows), name)
		return
	}
	n := 0
	if a.Rows[0] != "" {
		var err error
		if n, err = strconv.Atoi(a.Rows[0]); err != nil {
			s.caller.world.ledger.fail(Mixed, "%q for %s", a.Rows[0], name)
			return
		}
	}
	if n < floor {
		s.caller.world.ledger.fail(Stale, "%s read of %s at %s: %d, not %d", s.rule, name, s.process.name, n, floor)
	}
}

func (s *session) write() bool {
	c := s.caller
	c.n++
	a, id, ok := s.ask(cwstatement.Write, fmt.Sprintf("WRITE %s %d", c.item, c.n))
	if ok && a.Code == cwstatement.OK {
		s.checkProof(a, id)
	}
	return s.written(a, ok)
}

// written takes the outcome of a write or a commit. It returns false once the
// session is of no use: the next item may be of another group.
func (s *session) written(a cwstatement.Response, answered bool) bool {
	c := s.caller
	switch {
	case answered && a.Code == cwstatement.OK:
		c.world.ledger.ack(c.item, c.n)
		s.wrote = c.n
	case answered && a.Code.NoEffect():
		c.world.ledger.deny(c.item, c.n)
	case answered && a.Code == cwstatement.Unauthorised:
		// The key was taken away; the next session has the new one.
		c.world.ledger.deny(c.item, c.n)
		return false
	default:
		c.world.ledger.doubt()
		c.nextItem()
		return false
	}
	return true
}

// transaction writes, reads what it wrote, and commits or rolls back.
func (s *session) transaction() bool {
	c := s.caller
	s.txBegan = time.Now()
	defer func() { s.txBegan = time.Time{} }()
	if a, _, ok := s.ask(cwstatement.Begin, "BEGIN"); !ok || a.Code != cwstatement.OK {
		return ok
	}
	c.n++
	a, id, ok := s.ask(cwstatement.Write, fmt.Sprintf("WRITE %s %d", c.item, c.n))
	if ok && a.Code == cwstatement.OK {
		s.checkProof(a, id)
		a, id, ok = s.ask(cwstatement.Read, "READ "+c.item)
		if ok && a.Code == cwstatement.OK {
			s.checkProof(a, id)
			s.checkValue(c.item, a, c.n)
		}
	}
	if !ok {
		// Nothing was committed, and a connection that ends rolls back.
		c.world.ledger.deny(c.item, c.n)
		return false
	}
	if a.Code != cwstatement.OK || c.rand.IntN(4) == 0 {
		c.world.ledger.deny(c.item, c.n)
		_, _, ok = s.ask(cwstatement.Rollback, "ROLLBACK")
		return ok
	}
	a, _, ok = s.ask(cwstatement.Commit, "COMMIT")
	return s.written(a, ok)
}
