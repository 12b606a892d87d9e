package cwquota

import "time"

// Tenure states since when an issuer keeps a shard, and what its predecessor may have
// issued shortly before. It is immutable.
type Tenure struct {
	// since is when the issuer's bucket began.
	since time.Time
	// full is true if the bucket begins full.
	full bool
	// refillFrom is when the bucket begins to be refilled; not before since.
	refillFrom time.Time
	// capUntil is until when only the initial tokens are issued.
	capUntil time.Time
}

// FirstTenure is for a shard that had no issuer before.
func FirstTenure(since time.Time) Tenure { return Tenure{since: since, full: true, refillFrom: since} }

// RestartTenure is for an issuer whose predecessor ended before it began.
func RestartTenure(since time.Time) Tenure { return Tenure{since: since, refillFrom: since} }

// GainedTenure is for an issuer that keeps a shard since a change of the list of
// instances. Its predecessor may not know of the change for up to one window, and its
// tokens count for one more.
func GainedTenure(since time.Time, window time.Duration) Tenure {
	return Tenure{since: since, refillFrom: since.Add(window), capUntil: since.Add(2 * window)}
}

// Listing is what an instance's list of instances says about a shard.
type Listing struct {
	// Known is false until a list was read. An instance that receives a request before
	// counts as the issuer: requests come only from instances whose list says so.
	Known bool
	// Issuer is true if the instance keeps the shard according to the list.
	Issuer bool
	// GainedAt is the last change by which the instance may have gained shards: the
	// removal of another instance, or its own addition. AddedAt is the last addition of
	// another instance, by which it may have lost some. They are zero if there was none
	// since the first list.
	GainedAt, AddedAt time.Time
}

// GainedSince reports whether the shard may have been lost and gained again since a
// time at which the instance was known to keep it. Additions alone take shards away and
// give none back.
func (l Listing) GainedSince(held time.Time) bool {
	return !l.AddedAt.Before(held) && !l.GainedAt.Before(held)
}

// FirstTenureOf returns the tenure of an issuer that started at started and has not
// issued for the shard yet. first is true if the whole system started for the first
// time.
func (l Listing) FirstTenureOf(started time.Time, window time.Duration, first bool) Tenure {
	switch {
	case first && !l.GainedAt.After(started.Add(window)):
		return FirstTenure(started)
	case l.GainedAt.After(started):
		return GainedTenure(l.GainedAt, window)
	}
	return RestartTenure(started)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
