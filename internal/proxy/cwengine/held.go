package cwengine

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwcatalogue"
	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwlead"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// Times of transactions that other instances have handed over.
const (
	// restAtMost is how long one may rest where its entry tells no bound.
	restAtMost = 30 * time.Second
	// restSlack is added to the bound: the caller's own instance keeps it, too,
	// and says why.
	restSlack = 2 * time.Second
	// sweepStep is how often those that rest are looked at.
	sweepStep = time.Second
)

// held is a transaction of another instance's caller that runs here.
type held struct {
	// from is the connection that brought it; it ends with that.
	from any

	mu      sync.Mutex
	session *session
	// used is when its last statement ended, in nanoseconds by the clock.
	used atomic.Int64
	over bool
	// lost is true once the connection has ended.
	lost atomic.Bool
}

// Hand runs a statement that another instance has handed over.
func (e *Engine) Hand(from any, h cwport.Handover) cwport.Handed {
	e.handing.Add(1)
	defer e.handing.Add(-1)
	began := e.cfg.Clock.Now().Add(-h.Elapsed)
	if h.Transaction != "" && h.Begin == cwstatement.Unknown {
		return e.handAgain(h, began)
	}
	group, ok := e.use(h.Entry.Groups[0].Name)
	if !ok || e.draining.Load() {
		return elsewhere("the instance does not serve the group")
	}
	s := &session{engine: e, database: h.Entry.Service, given: &given{entry: h.Entry, group: group}}
	s.take(h)
	if h.Transaction == "" {
		return s.answerHeld(h, group, s.handle(h.Statement, began))
	}
	if a := s.begin(cwstatement.Statement{Verb: h.Begin}); a.Code != cwstatement.OK {
		return s.answerHeld(h, group, a.WithState(cwstatement.Failed))
	}
	t := &held{from: from, session: s}
	t.used.Store(e.cfg.Clock.Now().UnixNano())
	t.mu.Lock()
	defer t.mu.Unlock()
	e.mu.Lock()
	e.held[h.Transaction] = t
	e.mu.Unlock()
	return e.runHeld(t, h, began)
}

// handAgain runs a further statement of a transaction.
func (e *Engine) handAgain(h cwport.Handover, began time.Time) cwport.Handed {
	e.mu.RLock()
	t, ok := e.held[h.Transaction]
	e.mu.RUnlock()
	if !ok {
		return goneHeld(h.Statement.Verb)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over {
		return goneHeld(h.Statement.Verb)
	}
	t.session.take(h)
	return e.runHeld(t, h, began)
}

// goneHeld is the answer for a transaction that was rolled back meanwhile. A
// commit ends it for the caller, too.
func goneHeld(v cwstatement.Verb) cwport.Handed {
	a := cwstatement.RetryLater(cwstatement.Aborted, "the transaction was rolled back", unreachableRetry)
	if v != cwstatement.Commit {
		a = a.WithState(cwstatement.Failed)
	}
	return cwport.Handed{Answer: a}
}

// runHeld runs a statement of a transaction. The caller holds t.mu.
func (e *Engine) runHeld(t *held, h cwport.Handover, began time.Time) cwport.Handed {
	a := t.session.handle(h.Statement, began)
	t.used.Store(e.cfg.Clock.Now().UnixNano())
	if a.State != cwstatement.Open || t.lost.Load() {
		t.end("")
		e.forgetHeld(h.Transaction, t)
	}
	return t.session.answerHeld(h, t.session.given.group, a)
}

// end rolls the transaction back if it is open. The caller holds t.mu.
func (t *held) end(why string) {
	t.over = true
	if tx := t.session.tx; tx != nil {
		tx.fail(why)
	}
}

func (e *Engine) forgetHeld(name string, t *held) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held[name] == t {
		delete(e.held, name)
	}
}

// take takes what the caller's instance says of the session.
func (s *session) take(h cwport.Handover) {
	group := h.Entry.Groups[0].Name
	s.workspace, s.values = h.Workspace, h.Values
	s.prepared = nil
	if h.Prepared != nil {
		p := h.Prepared
		s.prepared = map[string]prepared{
			h.Statement.Name: {target: targetName(p.Writes, p.Shape), shape: p.Shape, writes: p.Writes},
		}
	}
	s.wrote = nil
	if h.Seen.Position > 0 {
		s.sawWrite(group, h.Seen)
	}
}

// answerHeld is the answer to the caller's own instance.
//
// The failure: this instance is cut off from the group's targets while others
// are not, and callers are refused though they could be served. What was refused
// here with the promise that nothing is kept may run elsewhere; the first
// statement of a transaction, too.
func (s *session) answerHeld(h cwport.Handover, group *cwlead.Group, a cwstatement.Answer) cwport.Handed {
	r := cwport.Handed{Answer: a}
	first := h.Transaction == "" || h.Begin != cwstatement.Unknown
	if a.Code != cwstatement.OK {
		r.Elsewhere = first && group.CutOff() && a.Code.Promises()
		return r
	}
	if m := s.wrote[h.Entry.Groups[0].Name]; m != h.Seen {
		r.Wrote = m
	}
	return r
}

func elsewhere(why string) cwport.Handed {
	return cwport.Handed{Answer: cwstatement.RetryLater(cwstatement.Aborted, why, unreachableRetry), Elsewhere: true}
}

// Left rolls back the transactions that came on a connection that has ended.
func (e *Engine) Left(from any) {
	e.endHeld("the caller's instance is gone", func(t *held) bool {
		if t.from == from {
			t.lost.Store(true)
		}
		return t.lost.Load()
	})
}

// endHeld rolls back the transactions for which f is true. One that runs a
// statement is left alone.
func (e *Engine) endHeld(why string, f func(*held) bool) {
	e.mu.RLock()
	all := maps.Clone(e.held)
	e.mu.RUnlock()
	for name, t := range all {
		if !f(t) || !t.mu.TryLock() {
			continue
		}
		t.end(why)
		t.mu.Unlock()
		e.forgetHeld(name, t)
	}
}

// loopHeld ends transactions that rest for too long.
//
// The failure: the caller's instance loses power, which shows by nothing, and
// its transactions hold connections for good. Its callers are gone with it.
func (e *Engine) loopHeld(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-e.cfg.Clock.After(sweepStep):
		case <-ctx.Done():
			return nil
		}
		now := e.cfg.Clock.Now()
		e.endHeld("the transaction rested for too long", func(t *held) bool {
			used := time.Unix(0, t.used.Load())
			bound := t.session.given.entry.Contract.IdleTransaction
			if bound == 0 {
				bound = restAtMost
			}
			return now.Sub(used) > bound+restSlack
		})
	}
	return nil
}

// given is the entry of a session that another instance has handed over.
type given struct {
	entry cwcatalogue.Entry
	group *cwlead.Group
}
