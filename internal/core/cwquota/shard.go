package cwquota

import "time"

// lookaheadSlots is the number of slots by which tokens are set aside early, so that one
// is left for a request of a higher priority that comes a little sooner than on average.
const lookaheadSlots = 2

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
	// leaseUntil is the end of the lease for window mode, and windowUntil the time until
	// which tokens that window mode issued may be in the window.
	leaseUntil, windowUntil time.Time
	// exceeded is true if the bucket was empty, since the last call of WantsLease, at a
	// request that no other issuer could serve, or at any request in window mode.
	exceeded bool
	demand   demand
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
	s.ring.observe(0, params.Depth-s.level)
}

// PredecessorInactive records that the predecessor did not use window mode. It has no
// effect on a shard that was gained.
func (s *Shard) PredecessorInactive() {
	if s.tenure.refillFrom.Equal(s.tenure.since) {
		s.tenure.capUntil = time.Time{}
	}
}

// Gain begins a new tenure of a shard that another instance may have kept in between.
func (s *Shard) Gain(t Tenure, now time.Time) {
	s.advance(now)
	s.tenure, s.level, s.issuedEarly = t, min(s.level, s.params.Initial), 0
	s.ring.observe(0, 0)
	s.leaseUntil = time.Time{}
}

// Lease allows window mode until a time.
func (s *Shard) Lease(until time.Time) { s.leaseUntil = later(s.leaseUntil, until) }

// DropLease ends window mode.
func (s *Shard) DropLease() { s.leaseUntil = time.Time{} }

// LeaseUntil returns the end of the last lease; zero if there was none.
func (s *Shard) LeaseUntil() time.Time { return s.leaseUntil }

// WindowMode reports whether the shard issues in window mode.
func (s *Shard) WindowMode(now time.Time) bool {
	return now.Before(s.leaseUntil) && now.After(s.tenure.settledAt)
}

// WantsLease reports whether a lease is needed, or has to be renewed, because the bucket
// was empty at a request since the last call.
func (s *Shard) WantsLease(now time.Time) bool {
	wanted := s.exceeded
	s.exceeded = false
	return wanted && now.After(s.tenure.settledAt) && !now.Before(s.leaseUntil.Add(-renewBefore))
}

// Take requests a token.
func (s *Shard) Take(r Request, now time.Time) Decision {
	s.advance(now)
	p := PriorityIndex(r.Priority)
	if !r.Repeated {
		s.demand.record(p, now)
	}
	windowMode := s.WindowMode(now)
	// A shard with an empty bucket doesn't mean that the workspace exceeds its quota:
	// callers use the shards of their own data centre first.
	s.exceeded = s.exceeded || s.level < 1 && (windowMode || r.MaxWait > 0)
	d := Decision{}
	if windowMode {
		d = s.takeFromWindow(p, r.MaxWait, now)
	} else {
		d = s.takeFromBucket(p, r.MaxWait, now)
	}
	if r.MaxWait > 0 && (!d.Allowed || d.Delay > 0) {
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
	s.ring.observe(0, s.params.Depth-s.level)
}

// contended reports whether priorities are compared. While every request is served, no
// priority has to give way.
func (s *Shard) contended(now time.Time) bool { return now.Before(s.contendedUntil) }

// forecast returns the number of tokens that can be issued for each slot to operations
// of a priority. It sets aside what the higher priorities will request at their present
// rates, and what their refused operations were promised.
func (s *Shard) forecast(priority int, now time.Time) forecast {
	f := s.ring.forecast(s.params.Limit)
	if priority == 0 || !s.contended(now) {
		return f
	}
	rate := s.demand.higherRate(priority)
	first, each := rate*s.ring.start(1).Sub(now).Seconds(), rate*s.ring.length.Seconds()
	f.setAside(func(k int) float64 {
		expected := each
		if k == 0 {
			expected = first + lookaheadSlots*each
		}
		return max(expected, float64(s.demand.promisedIn(k, priority)))
	})
	return f
}

// takeFromWindow requests a token in window mode.
func (s *Shard) takeFromWindow(priority int, maxWait time.Duration, now time.Time) Decision {
	f := s.forecast(priority, now)
	if f[0] >= 1 {
		return s.issueFromWindow(0, now)
	}
	k, ok := f.first(1, 1)
	if ok && k <= delaySlots && s.ring.start(k).Sub(now) <= maxWait {
		return s.issueFromWindow(k, now)
	}
	return Decision{RetryAfter: s.place(priority, s.windowWait(&f, priority, now), maxWait, now)}
}

// issueFromWindow issues a token for the slot k slots after the current one.
func (s *Shard) issueFromWindow(k int, now time.Time) Decision {
	s.level = max(0, s.level-1)
	// The bucket does not count all tokens of window mode, so it gets none of them back.
	s.ring.observe(0, 0)
	s.ring.observe(k, 0)
	s.windowUntil = now.Add(s.params.Window + MaxDelay(s.params.Window) + s.ring.length)
	d := Decision{Allowed: true, Grant: s.ring.issue(k)}
	if k > 0 {
		d.Delay = s.ring.start(k).Sub(now)
	}
	return d
}

// windowWait returns the time until the token returns that follows those that were
// promised to operations of the same priority. The forecast leaves out those of higher
// ones.
func (s *Shard) windowWait(f *forecast, priority int, now time.Time) time.Duration {
	if k, ok := f.first(1, 1+float64(s.demand.outstanding[priority])); ok {
		return s.ring.start(k).Sub(now)
	}
	ahead := float64(s.demand.ahead(priority))
	if s.params.Limit < 1 {
		return max(s.params.Window, zeroRateWait)
	}
	return s.params.Window + time.Duration((1+ahead)/s.params.Limit*float64(s.params.Window))
}

// takeFromBucket requests a token in bucket mode. No delay is granted: a successor
// doesn't know of delayed operations, and begins to issue at once.
func (s *Shard) takeFromBucket(priority int, maxWait time.Duration, now time.Time) Decision {
	aside := 0.0
	if s.contended(now) {
		aside = s.demand.higherRate(priority)
	}
	if s.bucketAllows(aside, now) {
		s.level--
		if now.Before(s.tenure.capUntil) {
			s.issuedEarly++
		}
		return Decision{Allowed: true, Grant: s.ring.issue(0)}
	}
	return Decision{RetryAfter: s.place(priority, s.bucketWait(aside, priority, now), maxWait, now)}
}

// bucketAllows reports whether a token may be issued in bucket mode, while tokens are
// set aside at the given rate for one window.
func (s *Shard) bucketAllows(aside float64, now time.Time) bool {
	if now.Before(s.tenure.capUntil) && s.issuedEarly+1 > s.params.Initial {
		return false
	}
	reserve := max(0, aside-s.params.Rate) * s.params.Window.Seconds()
	if aside > 0 {
		// The next request of a higher priority finds a token, also if the bucket fills
		// as fast as these come on average.
		reserve++
	}
	if s.level-reserve < 1 {
		return false
	}
	if now.Before(s.windowUntil) {
		f := s.ring.forecast(s.params.Limit)
		return f[0] >= 1
	}
	return true
}

// zeroRateWait is the wait for a quota that never has another token unless it is
// changed.
const zeroRateWait = 10 * time.Second

// bucketWait returns the time until the bucket has the token that follows those that
// were promised to operations of the same or a higher priority.
func (s *Shard) bucketWait(aside float64, priority int, now time.Time) time.Duration {
	if s.params.Rate <= 0 {
		return zeroRateWait
	}
	missing := 1 + float64(s.demand.ahead(priority)) - s.level
	wait := s.params.Window
	if rate := s.params.Rate - aside; rate > 0 {
		wait = time.Duration(missing / rate * float64(time.Second))
	}
	if now.Before(s.windowUntil) {
		f := s.forecast(priority, now)
		wait = max(wait, s.windowWait(&f, priority, now))
	}
	return max(0, wait, s.tenure.capUntil.Sub(now))
}

// place gives a refused operation its place in the order of retries if it has asked for
// one, and returns its wait.
func (s *Shard) place(priority int, wait, maxWait time.Duration, now time.Time) time.Duration {
	if maxWait > 0 && wait <= maxPromiseWindows*s.params.Window {
		s.demand.promise(priority, s.ring.number(now.Add(wait)))
	}
	return wait
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
