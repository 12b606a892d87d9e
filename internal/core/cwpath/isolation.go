package cwpath

import (
	"slices"
	"time"
)

// Isolated reports whether the data centre as a whole counts as cut off from the others.
// If a neighbour had an answer since the silence began, this instance is cut off alone.
//
// The caller must also check that all groups of targets have their majority in other
// data centres. Otherwise this data centre can still serve some, and callers must not be
// sent away.
func (d *Detector) Isolated(now time.Time) bool {
	alone := !d.directSince.IsZero() && refutes(d.neighbourAnsweredAt, d.directSince)
	return d.Joined() > 1 && !alone && !d.probedAt.IsZero() && d.UntilIsolated(now) <= 0
}

// UntilIsolated returns how long the suspicion in effect must still last until Isolated
// may become true. It is negative if the time has passed, and zero without suspicion.
func (d *Detector) UntilIsolated(now time.Time) time.Duration {
	if !d.Suspected() {
		return 0
	}
	began := d.begunAt
	if d.probedAt.After(began) {
		began = d.probedAt
	}
	return began.Add(IsolationDelay).Sub(now)
}

// Down reports whether suspicion has lasted for IsolationDelay. Requests to other data
// centres are then pointless.
func (d *Detector) Down(now time.Time) bool {
	return d.Suspected() && now.Sub(d.begunAt) >= IsolationDelay
}

// MayCloseIdle reports whether the load balancer would place callers in other data
// centres: two of its probes have passed since the last instance known to have joined
// became not ready. An instance that joined later than MaxReportAge does not count, so
// that one that joins repeatedly does not keep idle sessions open.
func (d *Detector) MayCloseIdle(probeInterval time.Duration, now time.Time) bool {
	if !d.Suspected() {
		return false
	}
	last := d.begunAt
	for _, at := range d.joined {
		if at.After(last) && at.Sub(d.begunAt) <= MaxReportAge {
			last = at
		}
	}
	return now.Sub(last) >= 2*probeInterval
}

const (
	// defaultProbeInterval applies until the interval of the load balancer is known.
	defaultProbeInterval = time.Second
	// probeSamples is the number of intervals of which the median counts. An instance
	// that pauses sees some that are too long and some that are too short.
	probeSamples = 5
)

// ProbeInterval measures the interval of the load balancer's probes. The zero
// ProbeInterval has seen none.
type ProbeInterval struct {
	last time.Time
	gaps []time.Duration
}

// Observe records a probe.
func (p *ProbeInterval) Observe(now time.Time) {
	if !p.last.IsZero() {
		p.gaps = append(p.gaps, now.Sub(p.last))
		p.gaps = p.gaps[max(0, len(p.gaps)-probeSamples):]
	}
	p.last = now
}

// Interval returns the median of the latest intervals, or one second until enough
// probes were seen.
func (p *ProbeInterval) Interval() time.Duration {
	if len(p.gaps) < probeSamples {
		return defaultProbeInterval
	}
	return slices.Sorted(slices.Values(p.gaps))[probeSamples/2]
}
