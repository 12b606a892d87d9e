package cwroute

import (
	"slices"
	"sort"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// sampleSpacing and maxSamples bound the memory of a history: 256 samples of a
// quarter of a second reach back about a minute.
const (
	sampleSpacing = 250 * time.Millisecond
	maxSamples    = 256
)

type sample struct {
	at   time.Time
	mark cwgroup.Mark
}

// History remembers where the primary was at which time, so that the age of a
// replica's data can be told from its mark alone. All times are those of this
// proxy; a target's clock is never used. The zero History is empty.
type History struct {
	// Spacing is the time between samples that are kept; zero stands for a
	// quarter of a second.
	Spacing time.Duration
	// samples ascend in time and in mark.
	samples []sample
}

func (h *History) spacing() time.Duration {
	if h.Spacing == 0 {
		return sampleSpacing
	}
	return h.Spacing
}

// Observe records that the primary's log ended at m at some moment not before
// at. Pass the time at which the question was sent, not the time at which the
// answer came, so that ages are never underestimated.
func (h *History) Observe(m cwgroup.Mark, at time.Time) {
	n := len(h.samples)
	if n > 0 && (!m.AtLeast(h.samples[n-1].mark) || at.Sub(h.samples[n-1].at) < 0) {
		return
	}
	if n > 1 && h.samples[n-1].at.Sub(h.samples[n-2].at) < h.spacing() {
		h.samples[n-1] = sample{at: at, mark: m}
		return
	}
	if n == maxSamples {
		copy(h.samples, h.samples[1:])
		h.samples = h.samples[:n-1]
	}
	h.samples = append(h.samples, sample{at: at, mark: m})
}

// Age returns how old data that ends at m is at most. The second result is
// false if the history does not reach back far enough.
//
// While the primary cannot be seen there are no new samples, so ages keep
// growing: a data centre that is cut off serves reads of a stated age until the
// age has passed, and no longer.
func (h *History) Age(m cwgroup.Mark, now time.Time) (time.Duration, bool) {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if m.AtLeast(h.samples[i].mark) {
			return max(0, now.Sub(h.samples[i].at)), true
		}
	}
	return 0, false
}

// Since returns the lowest known mark of the primary that was seen at or after
// t, and when: whatever was acknowledged before t is at or below it. The last
// result is false if the primary was not seen since.
func (h *History) Since(t time.Time) (cwgroup.Mark, time.Time, bool) {
	i := sort.Search(len(h.samples), func(i int) bool { return !h.samples[i].at.Before(t) })
	if i == len(h.samples) {
		return cwgroup.Mark{}, time.Time{}, false
	}
	return h.samples[i].mark, h.samples[i].at, true
}

// CommittedAfter returns the latest sampled time after which the record at m was
// certainly committed: the primary's log ended below m then. Whoever holds the
// record received it from the primary later than that. The second result is
// false if no sample is old enough.
func (h *History) CommittedAfter(m cwgroup.Mark) (time.Time, bool) {
	i := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].mark.AtLeast(m) })
	if i == 0 {
		return time.Time{}, false
	}
	return h.samples[i-1].at, true
}

// Sampled returns the time at which a primary's answer to a question that was
// sent at asked may be taken as the newest there was: when a majority, the
// primary among them, was last heard to be in its term. The second result is
// false if there is no such majority.
//
// The failure: a primary that was replaced, and this proxy with it, are cut off
// from the rest. Its answers are prompt, but its data gets older and older, and
// reads of a stated age would be served from it for good.
func Sampled(v cwgroup.View, primary cwgroup.Report, asked time.Time) (time.Time, bool) {
	need := cwgroup.Majority(v.Size()) - 1
	var heard []time.Time
	for _, r := range v.Reports() {
		if r.Member != primary.Member && r.Adopted == primary.Adopted {
			heard = append(heard, r.At)
		}
	}
	if len(heard) < need {
		return time.Time{}, false
	}
	if need == 0 {
		return asked, true
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	if at := heard[need-1]; at.Before(asked) {
		return at, true
	}
	return asked, true
}

// lagSmoothing is the weight of the newest lag in the average, as a divisor.
const lagSmoothing = 4

// LagMeter measures how long each replica takes to apply what the primary has,
// by this proxy's clock. The zero LagMeter is ready.
type LagMeter struct {
	// seen are the latest marks of the primary with the time at which each was
	// first seen, ascending.
	seen []sample
	lag  map[cwgroup.MemberID]time.Duration
	last map[cwgroup.MemberID]cwgroup.Mark
}

// Primary records that the primary's log was seen to end at m.
func (l *LagMeter) Primary(m cwgroup.Mark, now time.Time) {
	if n := len(l.seen); n > 0 && l.seen[n-1].mark.AtLeast(m) {
		return
	}
	if len(l.seen) == maxSamples {
		copy(l.seen, l.seen[1:])
		l.seen = l.seen[:maxSamples-1]
	}
	l.seen = append(l.seen, sample{at: now, mark: m})
}

// firstSeen returns when the primary was first seen at or past m.
func (l *LagMeter) firstSeen(m cwgroup.Mark) (time.Time, bool) {
	if len(l.seen) == 0 || l.seen[0].mark.AtLeast(m) {
		return time.Time{}, false
	}
	for _, s := range l.seen {
		if s.mark.AtLeast(m) {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// Replica records that the member has applied up to m.
func (l *LagMeter) Replica(id cwgroup.MemberID, m cwgroup.Mark, now time.Time) {
	if l.lag == nil {
		l.lag = make(map[cwgroup.MemberID]time.Duration)
		l.last = make(map[cwgroup.MemberID]cwgroup.Mark)
	}
	if l.last[id].AtLeast(m) {
		return
	}
	l.last[id] = m
	at, ok := l.firstSeen(m)
	if !ok {
		return
	}
	old, known := l.lag[id]
	if !known {
		l.lag[id] = now.Sub(at)
		return
	}
	l.lag[id] = old + (now.Sub(at)-old)/lagSmoothing
}

// Forget forgets what a member has applied. Its lag stays.
func (l *LagMeter) Forget(id cwgroup.MemberID) { delete(l.last, id) }

// Lag returns the member's average lag.
func (l *LagMeter) Lag(id cwgroup.MemberID) time.Duration { return l.lag[id] }

// CatchUp returns the expected time until the member has applied m.
func (l *LagMeter) CatchUp(id cwgroup.MemberID, m cwgroup.Mark, now time.Time) time.Duration {
	lag := l.lag[id]
	if at, ok := l.firstSeen(m); ok {
		return max(0, lag-now.Sub(at))
	}
	return lag
}
