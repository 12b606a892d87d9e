package cwtargets

import (
	"context"
	"errors"
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
	for p.dialing < len(p.waiting) && p.open < p.limit && !p.closed {
		p.open++
		p.dialing++
		go p.runDial()
	}
}

// runDial opens one connection and gives it to the next that waits.
func (p *Pool) runDial() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	t, err := p.dialer.Dial(ctx, p.to)
	now := p.clock.Now()
	p.mu.Lock()
	p.dialing--
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
	c := &Conn{Target: t, Values: map[string]string{}, Prepared: map[string]bool{}, born: now, used: now}
	p.giveBack(c, now)
	p.mu.Unlock()
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
	for len(p.waiting) > 0 {
		w := p.waiting[0]
		p.waiting = p.waiting[1:]
		if w.deadline.Before(now) {
			w.result <- lent{err: &FullError{RetryAfter: max(p.expect(), minRetryAfter)}}
			continue
		}
		p.lend(c, now)
		w.result <- lent{conn: c}
		return
	}
	p.idle = append(p.idle, c)
}
