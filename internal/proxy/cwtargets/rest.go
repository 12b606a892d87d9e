package cwtargets

import (
	"slices"
	"time"
)

// Trim closes connections that have rested for long. One is kept, so that the
// target can be asked about itself at once, unless the target is crowded: with
// more proxies than it takes connections, those that keep one would shut the
// others out.
func (p *Pool) Trim() {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	rest, keep := restFor, 1
	if !p.crowdedAt.IsZero() && now.Sub(p.crowdedAt) < crowdedFor {
		rest, keep = restScarce, 0
	}
	for len(p.idle) > keep && now.Sub(p.idle[0].used) > rest {
		p.dropIdle(0)
	}
}

// Crowded takes how many connections the target has from everybody.
func (p *Pool) Crowded(connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if connections*100 >= p.ceiling*crowdedShare {
		p.crowdedAt = p.clock.Now()
	}
}

// dropIdle closes an idle connection. The caller holds mu.
func (p *Pool) dropIdle(i int) {
	_ = p.idle[i].Close()
	p.idle = slices.Delete(p.idle, i, i+1)
	p.open--
}

// Cull closes the idle connections that are older than at.
//
// The failure: something between the two ends has lost track of the open
// connections; whatever is sent on them gets no answer, while new ones work. It
// shows as time-outs in series. Once a fresh connection has worked, the older
// ones are not lent again.
func (p *Pool) Cull(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].born.Before(at) {
			p.dropIdle(i)
		}
	}
}

// Close closes the pool. Connections that are lent are closed when they come
// back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for len(p.idle) > 0 {
		p.dropIdle(len(p.idle) - 1)
	}
	for _, w := range p.waiting {
		w.result <- lent{err: &ClosedError{}}
	}
	p.waiting = nil
}
