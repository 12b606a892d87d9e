package cwquota

import "time"

// Shard is one shard at its issuer. It is created by NewShard and is not safe for
// concurrent use.
type Shard struct {
	params Params
	tenure Tenure
	// level is the number of tokens in the bucket at updatedAt; 0 <= level <=
	// params.Depth.
	level     float64
	updatedAt time.Time
	// issuedEarly is the number of tokens that were issued before tenure.capUntil.
	issuedEarly float64
	ring        slotRing
	demand      demand
	// contendedUntil is one window after the last request that no issuer could serve at
	// once. Priorities are compared until then.
	contendedUntil time.Time
	// sampledSlot is the slot for which the last Sample was returned.
	sampledSlot int64
}

// NewShard returns the shard of an issuer.
func NewShard(params Params, t Tenure) *Shard {
	level := params.Initial
	if t.full {
		level = params.Depth
	}
	return &Shard{
		params: params, tenure: t, level: min(level, params.Depth), updatedAt: t.since,
		ring: newSlotRing(params.Window, t.since), demand: demand{averaging: params.Window / demandTimePart},
	}
}

// SetParams changes the parameters after a change of the quota. Tokens above the new
// depth are lost.
func (s *Shard) SetParams(params Params, now time.Time) {
	if s.params == params {
		return
	}
	s.advance(now)
	s.params, s.level = params, min(s.level, params.Depth)
	s.ring.observe(params.Depth - s.level)
}

// Gain begins a new tenure of a shard that another instance may have kept in between.
func (s *Shard) Gain(t Tenure, now time.Time) {
	s.advance(now)
	s.tenure, s.level, s.issuedEarly = t, min(s.level, s.params.Initial), 0
	s.ring.observe(0)
}

// Take requests a token.
func (s *Shard) Take(r Request, now time.Time) Decision {
	s.advance(now)
	p := PriorityIndex(r.Priority)
	if !r.Repeated {
		s.demand.record(p, now)
	}
	if r.Place != 0 {
		s.demand.use(p, r.Place)
	}
	aside := 0.0
	if s.contended(now) {
		aside = s.demand.higherRate(p)
	}
	if s.allows(aside, r.Place != 0, now) && (r.Place != 0 || s.leavesKept(aside, p, now)) {
		return s.issue(now)
	}
	d := s.refuse(p, s.wait(aside, p, now), r.MaxWait, now)
	if r.MaxWait > 0 {
		s.contendedUntil = now.Add(s.params.Window)
		d.Sample = s.sample()
	}
	return d
}

// Return takes back the token of an operation that ran nowhere. It returns false if the
// token is unknown, older than the window, or was returned before.
func (s *Shard) Return(g Grant, now time.Time) bool {
	s.advance(now)
	if !s.ring.giveBack(g) {
		return false
	}
	s.level = min(s.params.Depth, s.level+s.ring.credit(g))
	return true
}

// advance refills the bucket and makes the slot of now the current one.
func (s *Shard) advance(now time.Time) {
	if d := now.Sub(later(s.updatedAt, s.tenure.refillFrom)); d > 0 {
		s.level = min(s.params.Depth, s.level+d.Seconds()*s.params.Rate)
	}
	s.updatedAt = later(s.updatedAt, now)
	s.ring.advance(now)
	s.demand.advance(s.ring.current)
	s.ring.observe(s.params.Depth - s.level)
}

// contended reports whether priorities are compared. While every request is served, no
// priority has to give way.
func (s *Shard) contended(now time.Time) bool { return now.Before(s.contendedUntil) }

// issue issues a token.
func (s *Shard) issue(now time.Time) Decision {
	s.level--
	if now.Before(s.tenure.capUntil) {
		s.issuedEarly++
	}
	return Decision{Allowed: true, Grant: s.ring.issue()}
}

// reserve returns the number of tokens that are set aside for higher priorities, which
// request them at the given rate, for one window.
func (s *Shard) reserve(aside float64) float64 {
	if aside <= 0 {
		return 0
	}
	// The next request of a higher priority finds a token, also if the bucket fills as
	// fast as these come on average.
	return 1 + max(0, aside-s.params.Rate)*s.params.Window.Seconds()
}

// allows reports whether a token may be issued while tokens are set aside at the given
// rate.
//
// placed is true for an operation that has waited for its place. Its wait included the
// token for the next request of a higher priority. Those that came meanwhile have had
// that one, so that it isn't set aside again.
func (s *Shard) allows(aside float64, placed bool, now time.Time) bool {
	if now.Before(s.tenure.capUntil) && s.issuedEarly+1 > s.params.Initial {
		return false
	}
	needed := 1 + s.reserve(aside)
	if placed && aside > 0 {
		needed--
	}
	return s.level >= needed
}

// leavesKept reports whether the tokens that are kept for waiting operations of the same
// or a higher priority are there when these come back, if another one is issued now.
func (s *Shard) leavesKept(aside float64, priority int, now time.Time) bool {
	kept := &s.demand.kept
	available, refill := s.level-s.reserve(aside)-1, max(0, s.params.Rate-aside)
	missing := kept.total(priority)
	for slot := s.ring.current; missing > 0; slot++ {
		n := kept.in(slot, priority)
		missing -= n
		available -= float64(n)
		age := max(0, s.ring.start(slot).Sub(now))
		if n > 0 && available+refill*age.Seconds() < 0 {
			return false
		}
	}
	return true
}

const (
	// zeroRateWait is the wait for a quota that never has another token unless it is
	// changed.
	zeroRateWait = 10 * time.Second
	// roundingWait is added to waits, so that a rounded one isn't over before the token
	// is there.
	roundingWait = time.Microsecond
)

// wait returns the time until the bucket has the token that follows those that were
// promised to operations of the same or a higher priority.
func (s *Shard) wait(aside float64, priority int, now time.Time) time.Duration {
	if s.params.Rate <= 0 {
		return zeroRateWait
	}
	missing := 1 + s.reserve(aside) + float64(s.demand.promised.total(priority)) - s.level
	wait := s.params.Window
	if rate := s.params.Rate - aside; rate > 0 {
		wait = time.Duration(missing/rate*float64(time.Second)) + roundingWait
	}
	return max(0, wait, s.tenure.capUntil.Sub(now))
}

// refuse gives a refused operation its place in the order of retries if it has asked for
// one.
func (s *Shard) refuse(priority int, wait, maxWait time.Duration, now time.Time) Decision {
	d := Decision{RetryAfter: wait}
	if maxWait <= 0 || wait > maxPromiseWindows*s.params.Window {
		return d
	}
	slot, waits := s.ring.number(now.Add(wait)), wait <= maxWait
	if s.demand.promise(priority, slot, waits) && waits {
		d.Place = slot
	}
	return d
}

// sample returns the use of the window, at most once per slot.
func (s *Shard) sample() Sample {
	allowed := int(s.params.Limit)
	if s.sampledSlot == s.ring.current || allowed == 0 {
		return Sample{}
	}
	s.sampledSlot = s.ring.current
	return Sample{Issued: min(s.ring.inWindow, allowed), Allowed: allowed}
}
