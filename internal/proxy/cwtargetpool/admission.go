package cwtargetpool

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwlimit"
	"cicadawalk.example/cicadawalk/internal/core/cwrefusal"
)

// Admission is the admission of one statement to a target. It counts as in progress
// until Done or DoneUnmeasured is called, which must happen exactly once.
type Admission struct {
	pool      *Pool
	ticket    *cwlimit.Ticket
	startedAt time.Time
}

// Urgency determines a statement's position in the queue for a target.
type Urgency struct {
	// Deadline is the latest time at which the statement may start.
	Deadline time.Time
	// Priority orders the waiting statements; the lowest goes first.
	Priority int
	// Due orders the statements of one priority; the earliest goes first. Zero stands
	// for Deadline.
	Due time.Time
	// Workspace is the workspace of the statement; empty if it has none. Statements of
	// one priority are admitted fairly among workspaces.
	Workspace string
}

// Admit waits until the statement may start, at most until its deadline. It fails
// at once if the statement is not expected to start by then. The error is an
// *OverloadedError, and nothing has run.
func (p *Pool) Admit(c Urgency) (Admission, error) {
	ready := make(chan *cwrefusal.Refusal, 1)
	ticket := &cwlimit.Ticket{
		Deadline: c.Deadline, Priority: c.Priority, Due: c.Due, Workspace: c.Workspace,
		OnDecision: func(r *cwrefusal.Refusal) { ready <- r },
	}
	p.mu.Lock()
	if p.divided {
		p.updateLimit(p.clock.Now())
	}
	p.admission.Submit(ticket, p.clock.Now())
	p.mu.Unlock()
	select {
	case r := <-ready:
		return p.newAdmission(ticket, r)
	default:
	}
	t := p.clock.NewTimer(c.Deadline.Sub(p.clock.Now()))
	defer t.Stop()
	select {
	case r := <-ready:
		return p.newAdmission(ticket, r)
	case <-t.Chan():
	}
	p.mu.Lock()
	p.admission.Cancel(ticket)
	p.mu.Unlock()
	select {
	case r := <-ready:
		// The statement was admitted between the timeout and Cancel.
		return p.newAdmission(ticket, r)
	default:
		return Admission{}, &OverloadedError{RetryAfter: minRetryAfter}
	}
}

func (p *Pool) newAdmission(t *cwlimit.Ticket, r *cwrefusal.Refusal) (Admission, error) {
	if r != nil {
		return Admission{}, &OverloadedError{RetryAfter: r.RetryAfter}
	}
	return Admission{pool: p, ticket: t, startedAt: p.clock.Now()}, nil
}

// Done ends the admission of a statement that was executed. Its duration adjusts the
// number of statements that may be in progress.
func (t Admission) Done() { t.end(true) }

// DoneUnmeasured ends the admission of a statement that was refused or got no answer.
// Its duration is ignored, because it says nothing about the target's load.
func (t Admission) DoneUnmeasured() { t.end(false) }

func (t Admission) end(measure bool) {
	p := t.pool
	now := p.clock.Now()
	took := now.Sub(t.startedAt)
	p.mu.Lock()
	defer p.mu.Unlock()
	if measure {
		p.concurrency.Observe(took, p.admission.Queued())
		p.admission.Limit = p.limit(now)
		p.admission.Complete(t.ticket, took, now)
		return
	}
	if p.divided {
		p.admission.Limit = p.limit(now)
	}
	p.admission.Release(p.concurrency.Latency(), now)
}
