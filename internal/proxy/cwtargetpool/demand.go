package cwtargetpool

import (
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwlimit"
)

// Demand returns the statements that wait for admission or are in progress. If the slots
// are no longer divided, it first admits the statements that this allows: otherwise they
// would wait until a statement begins or ends.
func (p *Pool) Demand() cwlimit.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.divided {
		p.updateLimit(p.clock.Now())
	}
	return p.admission.Demand()
}

// RecordDemand records the demand of another holder at the target, as of a time. self is
// the name of this holder. While statements wait at any holder, the statements in
// progress here are limited to this holder's share of the slots.
func (p *Pool) RecordDemand(self, holder string, d cwlimit.Demand, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.self = self
	p.shares.Record(holder, d, at)
	p.updateLimit(p.clock.Now())
}

// SlotShare returns this holder's share of the slots, and false if they are not divided.
func (p *Pool) SlotShare() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.share(p.clock.Now())
}

// share returns this holder's share of the slots. The caller holds mu.
func (p *Pool) share(now time.Time) (int, bool) {
	return p.shares.Share(p.self, p.admission.Demand(), p.concurrency.Initial, now)
}

// limit returns the number of statements that may be in progress, and records whether
// the slots are divided. The caller holds mu.
func (p *Pool) limit(now time.Time) int {
	n := p.concurrency.Limit()
	share, divided := p.share(now)
	p.divided = divided
	if divided {
		n = min(n, share)
	}
	return n
}

// updateLimit applies the limit and admits the statements that it allows. The caller
// holds mu.
func (p *Pool) updateLimit(now time.Time) { p.admission.SetLimit(p.limit(now), now) }
