package cwtargetpool

import (
	"slices"
	"time"
)

// TrimIdle closes connections that have been idle for idleTimeout. One is kept, so
// that a health check needs no new connection.
//
// While the target is crowded, TrimIdle closes connections after crowdedIdleTimeout
// and keeps none: if there are more proxies than the target accepts connections,
// those that kept one would lock the others out.
func (p *Pool) TrimIdle() {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	timeout, keep := idleTimeout, 1
	if !p.crowdedAt.IsZero() && now.Sub(p.crowdedAt) < crowdedPeriod {
		timeout, keep = crowdedIdleTimeout, 0
	}
	for len(p.idle) > keep && now.Sub(p.idle[0].lastUsed) > timeout {
		p.closeIdle(0)
	}
}

// ObserveConnections passes in the number of connections that the target has from all
// proxies. From crowdedPercent of its maximum the target counts as crowded.
func (p *Pool) ObserveConnections(connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if connections*100 >= p.maxConnections*crowdedPercent {
		p.crowdedAt = p.clock.Now()
	}
}

// closeIdle closes the idle connection at an index. The caller holds mu.
func (p *Pool) closeIdle(i int) {
	_ = p.idle[i].Close()
	p.idle = slices.Delete(p.idle, i, i+1)
	p.open--
}

// CloseIdleBefore closes the idle connections that were opened before at. It is called
// with the time at which a new connection was seen to work.
//
// A middlebox can lose track of all open connections: what is sent on them gets no
// answer, while new connections work. Without CloseIdleBefore, each of the older connections
// would cost another statement its timeout.
func (p *Pool) CloseIdleBefore(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].openedAt.Before(at) {
			p.closeIdle(i)
		}
	}
}

// Close closes the pool and fails all waiters with a *ClosedError. Lent
// connections are closed when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for len(p.idle) > 0 {
		p.closeIdle(len(p.idle) - 1)
	}
	for _, w := range p.waiting {
		w.result <- lendResult{err: &ClosedError{}}
	}
	p.waiting = nil
}
