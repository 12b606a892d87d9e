package cwoutlier

import (
	"slices"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
)

// Due reports whether evaluationInterval has passed since the last evaluation.
func (d *Detector) Due(now time.Time) bool { return !now.Before(d.nextEvaluated) }

// Evaluate ejects the members among the candidates that are outliers, within the limits
// of the group, and those whose trial got no result. The candidates are the members that
// could serve reads, ejected or not. It does nothing unless Due returns true.
func (d *Detector) Evaluate(all []Candidate, now time.Time) []Event {
	if !d.Due(now) {
		return nil
	}
	d.nextEvaluated = now.Add(evaluationInterval)
	var events []Event
	ejected := 0
	for _, c := range all {
		s := d.state(c.Member)
		if !s.trialAt.IsZero() && now.Sub(s.trialAt) > trialTimeout {
			events = append(events, d.eject(c.Member, s.reason, now))
		}
		if s.reason != "" {
			ejected++
		}
	}
	for ejected < min(max(1, len(all)/maxEjectedDivisor), len(all)-1) {
		id, why, ok := d.worst(all, now)
		if !ok {
			break
		}
		events = append(events, d.eject(id, why, now))
		ejected++
	}
	return events
}

// worst returns the admitted member that serves callers worst compared with the others.
// The last result is false if none is an outlier.
func (d *Detector) worst(all []Candidate, now time.Time) (worst cwgroup.MemberID, why Reason, found bool) {
	worstShare := 0.0
	for _, c := range all {
		s := d.state(c.Member)
		if s.reason != "" {
			continue
		}
		var rest counts
		restSlots, saturated := 0, true
		for _, o := range all {
			if other := d.state(o.Member); o.Member != c.Member && other.reason == "" {
				rest = rest.plus(other.counts.at(now))
				restSlots += o.Slots
				saturated = saturated && o.Saturated
			}
		}
		reason, share := s.counts.at(now).compare(rest, c.Slots, restSlots)
		if reason == "" || saturated && share < hopelessShare {
			continue
		}
		if share > worstShare {
			worst, why, found, worstShare = c.Member, reason, true, share
		}
	}
	return worst, why, found
}

// Ejected returns the members that are ejected, in order of their ids.
func (d *Detector) Ejected() []cwgroup.MemberID {
	var out []cwgroup.MemberID
	for id, s := range d.members {
		if s.reason != "" {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
