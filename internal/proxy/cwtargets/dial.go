package cwtargets

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// grow opens connections for the waiting. The caller holds mu.
func (p *Pool) grow(now time.Time) {
	if p.limit < p.ceiling && now.Sub(p.refusedAt) >= growAfter {
		p.limit = p.open + 1
		p.refusedAt = now
	}
	for _, w := range p.unserved() {
		if p.closed || p.open >= p.limit && !p.makeRoom(w) {
			return
		}
		p.open++
		p.dialing++
		p.dials[w.workspace]++
		go p.runDial(w.workspace)
	}
}

// unserved returns those that wait and for whom no connection is being opened,
// in their order. The caller holds mu.
func (p *Pool) unserved() []*waiter {
	if len(p.waiting) == 0 {
		return nil
	}
	coming := maps.Clone(p.dials)
	var out []*waiter
	for _, w := range p.waiting {
		if coming[w.workspace] > 0 {
			coming[w.workspace]--
			continue
		}
		out = append(out, w)
	}
	return out
}

// makeRoom closes the connection that has rested for longest for one that w can
// use. It returns false if there is none. The caller holds mu.
//
// The failure: the connections of a target are few, each belongs to a workspace,
// and those of workspaces that came first rest while others wait.
func (p *Pool) makeRoom(w *waiter) bool {
	i := slices.IndexFunc(p.idle, func(c *Conn) bool { return !w.fits(c) })
	if i < 0 {
		return false
	}
	p.dropIdle(i)
	return true
}

// runDial opens one connection and gives it to the next that waits for it.
func (p *Pool) runDial(workspace string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	t, err := p.dialer.Dial(ctx, p.to, workspace)
	now := p.clock.Now()
	p.mu.Lock()
	p.dialing--
	p.dialed(workspace)
	if err != nil {
		p.dialFailed(err, now)
		p.mu.Unlock()
		var refused *cwport.RefusedError
		if !errors.As(err, &refused) || refused.Code != cwstatement.TooManyConnections {
			p.events.DialFailed(p.to, err)
		}
		return
	}
	p.redial = 0
	c := &Conn{Target: t, Workspace: workspace, Values: map[string]string{}, Prepared: map[string]bool{}, born: now, used: now}
	p.giveBack(c, now)
	p.mu.Unlock()
}

// dialed notes that a connection of the workspace is no longer being opened. The
// caller holds mu.
func (p *Pool) dialed(workspace string) {
	p.dials[workspace]--
	if p.dials[workspace] == 0 {
		delete(p.dials, workspace)
	}
}

// dialFailed records that one connection could not be opened. The caller holds
// mu.
func (p *Pool) dialFailed(err error, now time.Time) {
	p.open--
	p.redial = min(max(2*p.redial, redialMin), redialMax)
	p.redialAt, p.dialErr = now.Add(p.redial), err
	var refused *cwport.RefusedError
	if errors.As(err, &refused) && refused.Code == cwstatement.TooManyConnections {
		p.limit, p.refusedAt, p.crowdedAt = max(1, p.open), now, now
		if p.open > 0 {
			// One that rests may make room for those that wait.
			p.grow(now)
			return
		}
	}
	// Statements that wait may go elsewhere; those that an open connection can still
	// serve stay.
	keep := 0
	if p.open > 0 {
		keep = len(p.waiting) - 1
	}
	for len(p.waiting) > max(0, keep) {
		w := p.waiting[len(p.waiting)-1]
		p.waiting = p.waiting[:len(p.waiting)-1]
		w.result <- lent{err: &UnreachableError{Cause: err}}
	}
}

// giveBack hands a usable connection to the first who waits. The caller holds
// mu.
func (p *Pool) giveBack(c *Conn, now time.Time) {
	if p.closed || p.open > p.ceiling {
		p.open--
		_ = c.Close()
		return
	}
	p.expire(now)
	if i := slices.IndexFunc(p.waiting, func(w *waiter) bool { return w.fits(c) }); i >= 0 {
		w := p.waiting[i]
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.lend(c, now)
		w.result <- lent{conn: c}
		return
	}
	p.idle = append(p.idle, c)
	p.grow(now)
}

// expire tells those whose deadline has passed. The caller holds mu.
func (p *Pool) expire(now time.Time) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool {
		late := w.deadline.Before(now)
		if late {
			w.result <- lent{err: &FullError{RetryAfter: max(p.expect(), minRetryAfter)}}
		}
		return late
	})
}
