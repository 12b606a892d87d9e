package cwtargets

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwlimit"
	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
)

// Turn is a statement's place among those in progress at a target. It must be
// given back by Done or Drop, once.
type Turn struct {
	pool *Pool
	at   time.Time
}

// Claim says how urgent a statement is.
type Claim struct {
	// Deadline is when it must have started at the latest.
	Deadline time.Time
	// Priority is lower for what goes first; Due orders within a priority.
	Priority int
	Due      time.Time
}

// Enter waits for a statement's turn, until its deadline at most and not at all
// if it is not expected to come by then. The error is a *FullError, and nothing
// has run.
func (p *Pool) Enter(c Claim) (Turn, error) {
	ready := make(chan *cwrefusal.Refusal, 1)
	ticket := &cwlimit.Ticket{
		Deadline: c.Deadline, Priority: c.Priority, Due: c.Due,
		OnDecision: func(r *cwrefusal.Refusal) { ready <- r },
	}
	p.mu.Lock()
	p.gate.Submit(ticket, p.clock.Now())
	p.mu.Unlock()
	select {
	case r := <-ready:
		return p.turn(r)
	default:
	}
	t := p.clock.NewTimer(c.Deadline.Sub(p.clock.Now()))
	defer t.Stop()
	select {
	case r := <-ready:
		return p.turn(r)
	case <-t.Chan():
	}
	p.mu.Lock()
	p.gate.Cancel(ticket)
	p.mu.Unlock()
	select {
	case r := <-ready:
		// The turn came while this goroutine gave up.
		return p.turn(r)
	default:
		return Turn{}, &FullError{RetryAfter: minRetryAfter}
	}
}

func (p *Pool) turn(r *cwrefusal.Refusal) (Turn, error) {
	if r != nil {
		return Turn{}, &FullError{RetryAfter: r.RetryAfter}
	}
	return Turn{pool: p, at: p.clock.Now()}, nil
}

// Done ends a turn whose statement was executed.
func (t Turn) Done() { t.leave(true) }

// Drop ends a turn whose statement was refused or got no answer; how long that
// took says nothing about the target's queue.
func (t Turn) Drop() { t.leave(false) }

func (t Turn) leave(measure bool) {
	p := t.pool
	now := p.clock.Now()
	took := now.Sub(t.at)
	p.mu.Lock()
	defer p.mu.Unlock()
	if measure {
		p.pace.Observe(took, p.gate.Queued())
		p.gate.Limit = p.pace.Limit()
		p.gate.Release(took, now)
		return
	}
	p.gate.Release(p.pace.Latency(), now)
}
