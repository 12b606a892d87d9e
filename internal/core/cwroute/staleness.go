package cwroute

import (
	"slices"
	"sort"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// sampleSpacing and maxSamples bound the memory of a PositionHistory: 256 samples
// at intervals of 250 ms cover about one minute.
const (
	sampleSpacing = 250 * time.Millisecond
	maxSamples    = 256
)

// sample is an observed position of the primary's log.
type sample struct {
	at       time.Time
	position cwgroup.LogPosition
}

// PositionHistory records the primary's log position over time, so that the age of
// a replica's data follows from the replica's log position alone. All times are by
// this proxy's clock; a target's clock is never used. The zero PositionHistory is
// empty and ready to use.
type PositionHistory struct {
	// Spacing is the minimum time between two samples that are kept. Zero means
	// 250 ms.
	Spacing time.Duration
	// samples are in ascending order of both time and position.
	samples []sample
}

// spacing returns Spacing or its default.
func (h *PositionHistory) spacing() time.Duration {
	if h.Spacing == 0 {
		return sampleSpacing
	}
	return h.Spacing
}

// Observe records that the primary's log ended at m at some moment not before at.
// Pass the time at which the status request was sent, not the time at which the
// response arrived, so that ages are never underestimated. Observations that go
// back in time or in position are ignored.
func (h *PositionHistory) Observe(m cwgroup.LogPosition, at time.Time) {
	n := len(h.samples)
	if n > 0 && (!m.AtLeast(h.samples[n-1].position) || at.Sub(h.samples[n-1].at) < 0) {
		return
	}
	if n > 1 && h.samples[n-1].at.Sub(h.samples[n-2].at) < h.spacing() {
		h.samples[n-1] = sample{at: at, position: m}
		return
	}
	if n == maxSamples {
		copy(h.samples, h.samples[1:])
		h.samples = h.samples[:n-1]
	}
	h.samples = append(h.samples, sample{at: at, position: m})
}

// Age returns an upper bound of the age of data that ends at m. The second
// result is false if the history does not reach back far enough.
//
// While the primary is unreachable no samples are added, so ages keep growing: a
// data centre that is cut off serves reads with a maximum age until that age is
// exceeded, and no longer.
func (h *PositionHistory) Age(m cwgroup.LogPosition, now time.Time) (time.Duration, bool) {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if m.AtLeast(h.samples[i].position) {
			return max(0, now.Sub(h.samples[i].at)), true
		}
	}
	return 0, false
}

// FirstSince returns the position and the time of the first sample taken at or
// after t. Everything acknowledged before t is at or below that position. The last
// result is false if there is no sample since t.
func (h *PositionHistory) FirstSince(t time.Time) (cwgroup.LogPosition, time.Time, bool) {
	i := sort.Search(len(h.samples), func(i int) bool { return !h.samples[i].at.Before(t) })
	if i == len(h.samples) {
		return cwgroup.LogPosition{}, time.Time{}, false
	}
	return h.samples[i].position, h.samples[i].at, true
}

// PositionSample is a sample of a PositionHistory.
type PositionSample struct {
	At       time.Time
	Position cwgroup.LogPosition
}

// Latest returns the last sample not after t and the last sample of all, in ascending
// order of time, as far as there are such samples.
func (h *PositionHistory) Latest(t time.Time) []PositionSample {
	var out []PositionSample
	last := len(h.samples) - 1
	i := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].at.After(t) }) - 1
	if i >= 0 && i < last {
		out = append(out, PositionSample{At: h.samples[i].at, Position: h.samples[i].position})
	}
	if last >= 0 {
		out = append(out, PositionSample{At: h.samples[last].at, Position: h.samples[last].position})
	}
	return out
}

// CommittedAfter returns the time of the latest sample in which the primary's
// log ended below m. The record at m was committed after that time, and a
// replica that has the record received it from the primary after that time. The
// second result is false if no sample is old enough.
func (h *PositionHistory) CommittedAfter(m cwgroup.LogPosition) (time.Time, bool) {
	i := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].position.AtLeast(m) })
	if i == 0 {
		return time.Time{}, false
	}
	return h.samples[i-1].at, true
}

// ConfirmedAt returns the time at which the primary's log position, which was
// requested at requestedAt, was certainly the newest of the group. That is the time
// at which a majority of the members, the primary included, was last known to be in
// the primary's term, and never later than requestedAt. The second result is false
// if there is no such majority.
//
// Without the majority, a replaced primary that is cut off from the other
// members together with this proxy would keep answering promptly while its data
// gets older, and would serve reads with a maximum age indefinitely.
func ConfirmedAt(v cwgroup.View, primary cwgroup.Report, requestedAt time.Time) (time.Time, bool) {
	var inTerm []cwgroup.Report
	for _, r := range v.Reports() {
		if r.Member != primary.Member && r.AdoptedTerm == primary.AdoptedTerm {
			inTerm = append(inTerm, r)
		}
	}
	slices.SortFunc(inTerm, func(a, b cwgroup.Report) int { return b.At.Compare(a.At) })
	at := requestedAt
	confirming := []cwgroup.MemberID{primary.Member}
	for {
		if v.Quorums().Decides(cwgroup.SetOf(confirming...)) {
			return at, true
		}
		if len(inTerm) == 0 {
			return time.Time{}, false
		}
		confirming = append(confirming, inTerm[0].Member)
		if inTerm[0].At.Before(at) {
			at = inTerm[0].At
		}
		inTerm = inTerm[1:]
	}
}

// lagSmoothingDivisor is the divisor of the moving average of the lag: the
// newest value has a weight of 1/lagSmoothingDivisor.
const lagSmoothingDivisor = 4

// LagTracker measures the replication lag of each replica: how long it takes to
// apply the records of the primary, by this proxy's clock. The zero LagTracker is
// ready to use.
type LagTracker struct {
	// primarySamples holds the latest log positions of the primary in ascending
	// order, each with the time at which it was first observed.
	primarySamples []sample
	// averageLag is the moving average of each replica's lag. lastApplied is the
	// newest position that each replica is known to have applied.
	averageLag  map[cwgroup.MemberID]time.Duration
	lastApplied map[cwgroup.MemberID]cwgroup.LogPosition
}

// ObservePrimary records that the primary's log was observed to end at m.
func (l *LagTracker) ObservePrimary(m cwgroup.LogPosition, now time.Time) {
	if n := len(l.primarySamples); n > 0 && l.primarySamples[n-1].position.AtLeast(m) {
		return
	}
	if len(l.primarySamples) == maxSamples {
		copy(l.primarySamples, l.primarySamples[1:])
		l.primarySamples = l.primarySamples[:maxSamples-1]
	}
	l.primarySamples = append(l.primarySamples, sample{at: now, position: m})
}

// firstObserved returns when the primary's log was first observed at or past m.
// The second result is false if m is at or below the oldest sample, or if the
// log was not observed that far yet.
func (l *LagTracker) firstObserved(m cwgroup.LogPosition) (time.Time, bool) {
	if len(l.primarySamples) == 0 || l.primarySamples[0].position.AtLeast(m) {
		return time.Time{}, false
	}
	for _, s := range l.primarySamples {
		if s.position.AtLeast(m) {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// ObserveReplica records that the member has applied the log up to m.
func (l *LagTracker) ObserveReplica(id cwgroup.MemberID, m cwgroup.LogPosition, now time.Time) {
	if l.averageLag == nil {
		l.averageLag = make(map[cwgroup.MemberID]time.Duration)
		l.lastApplied = make(map[cwgroup.MemberID]cwgroup.LogPosition)
	}
	if l.lastApplied[id].AtLeast(m) {
		return
	}
	l.lastApplied[id] = m
	at, ok := l.firstObserved(m)
	if !ok {
		return
	}
	old, known := l.averageLag[id]
	if !known {
		l.averageLag[id] = now.Sub(at)
		return
	}
	l.averageLag[id] = old + (now.Sub(at)-old)/lagSmoothingDivisor
}

// CatchUp returns the expected time until the member has applied m: its average
// lag, less the time since the primary was first observed at or past m.
func (l *LagTracker) CatchUp(id cwgroup.MemberID, m cwgroup.LogPosition, now time.Time) time.Duration {
	lag := l.averageLag[id]
	if at, ok := l.firstObserved(m); ok {
		return max(0, lag-now.Sub(at))
	}
	return lag
}
