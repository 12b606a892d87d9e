package cwtargetpool

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// dialForWaiters opens a connection for each waiter that has none on the way, as
// far as openLimit allows or an idle connection can be closed instead. It first
// raises a lowered openLimit by one if raiseLimitAfter has passed. The caller
// holds mu.
func (p *Pool) dialForWaiters(now time.Time) {
	if p.openLimit < p.maxConnections && now.Sub(p.limitChangedAt) >= raiseLimitAfter {
		p.openLimit = p.open + 1
		p.limitChangedAt = now
	}
	for _, w := range p.waitersWithoutDial() {
		if p.closed || p.open >= p.openLimit && !p.closeIdleFor(w) {
			return
		}
		p.open++
		p.dialing++
		p.dialsByWorkspace[w.workspace]++
		go p.dialAndLend(w.workspace)
	}
}

// waitersWithoutDial returns the waiters for which no connection is being
// opened, in their order. The caller holds mu.
func (p *Pool) waitersWithoutDial() []*waiter {
	if len(p.waiting) == 0 {
		return nil
	}
	dialing := maps.Clone(p.dialsByWorkspace)
	var out []*waiter
	for _, w := range p.waiting {
		if dialing[w.workspace] > 0 {
			dialing[w.workspace]--
			continue
		}
		out = append(out, w)
	}
	return out
}

// closeIdleFor closes the connection that w can't use and that has been idle for
// longest, so that one for w can be opened. It returns false if there is none.
// The caller holds mu.
//
// Each of a target's few connections belongs to one workspace. Without this, idle
// connections of the workspaces that came first would keep callers of other
// workspaces waiting.
func (p *Pool) closeIdleFor(w *waiter) bool {
	i := slices.IndexFunc(p.idle, func(c *Conn) bool { return !w.canUse(c) })
	if i < 0 {
		return false
	}
	p.closeIdle(i)
	return true
}

// dialAndLend opens one connection and lends it to the first waiter that can use
// it.
func (p *Pool) dialAndLend(workspace string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	t, err := p.dialer.Dial(ctx, p.endpoint, workspace)
	now := p.clock.Now()
	p.mu.Lock()
	p.dialing--
	p.recordDialEnd(workspace)
	if err != nil {
		p.recordDialFailure(err, now)
		p.mu.Unlock()
		var refused *cwport.RefusedError
		if !errors.As(err, &refused) || refused.Code != cwstatement.TooManyConnections {
			p.events.DialFailed(p.endpoint, err)
		}
		return
	}
	p.redialPause = 0
	c := &Conn{TargetConn: t, Workspace: workspace, settings: map[textDigest]textDigest{}, Prepared: map[string]bool{}, openedAt: now, lastUsed: now}
	p.lendOrKeepIdle(c, now)
	p.mu.Unlock()
}

// recordDialEnd records that an attempt to open a connection of the workspace has
// ended. The caller holds mu.
func (p *Pool) recordDialEnd(workspace string) {
	p.dialsByWorkspace[workspace]--
	if p.dialsByWorkspace[workspace] == 0 {
		delete(p.dialsByWorkspace, workspace)
	}
}

// recordDialFailure records that a connection could not be opened. If the target
// refused it because of its limit, openLimit falls to the number of open
// connections, and the waiters stay if there are any. Otherwise the last waiter
// fails, or all of them if no connection is open. The caller holds mu.
func (p *Pool) recordDialFailure(err error, now time.Time) {
	p.open--
	p.redialPause = min(max(2*p.redialPause, minRedialPause), maxRedialPause)
	p.redialAt, p.dialErr = now.Add(p.redialPause), err
	var refused *cwport.RefusedError
	if errors.As(err, &refused) && refused.Code == cwstatement.TooManyConnections {
		p.openLimit, p.limitChangedAt, p.crowdedAt = max(1, p.open), now, now
		if p.open > 0 {
			// An idle connection may be closed for a waiter.
			p.dialForWaiters(now)
			return
		}
	}
	// A failed statement may still run at another target. If a connection is open, it
	// can still serve the waiters other than the last.
	keep := 0
	if p.open > 0 {
		keep = len(p.waiting) - 1
	}
	for len(p.waiting) > max(0, keep) {
		w := p.waiting[len(p.waiting)-1]
		p.waiting = p.waiting[:len(p.waiting)-1]
		w.result <- lendResult{err: &UnreachableError{Cause: err}}
	}
}

// lendOrKeepIdle lends a usable connection to the first waiter that can use it,
// or keeps it idle. It closes the connection if the pool is closed or too many
// are open. The caller holds mu.
func (p *Pool) lendOrKeepIdle(c *Conn, now time.Time) {
	if p.closed || p.open > p.maxConnections {
		p.open--
		_ = c.Close()
		return
	}
	p.failExpired(now)
	if i := slices.IndexFunc(p.waiting, func(w *waiter) bool { return w.canUse(c) }); i >= 0 {
		w := p.waiting[i]
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.recordLend(c, now)
		w.result <- lendResult{conn: c}
		return
	}
	p.idle = append(p.idle, c)
	p.dialForWaiters(now)
}

// failExpired fails the waiters whose deadline has passed. The caller holds mu.
func (p *Pool) failExpired(now time.Time) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool {
		late := w.deadline.Before(now)
		if late {
			w.result <- lendResult{err: &OverloadedError{RetryAfter: max(p.expectedWait(), minRetryAfter)}}
		}
		return late
	})
}
